//! Status of resources beside their declarations.

use {
    lynxwheel_protocol::{Condition, Kind, ResourceRef, ResourceView},
    lynxwheel_state::FleetState,
    serde_json::{Value, json},
};

/// Returns a resource with its status at the state's offset.
#[must_use]
pub fn view(state: &FleetState, reference: &ResourceRef) -> Option<ResourceView> {
    let declared = state.declared(reference)?;
    let name = reference.name.as_str();
    let (conditions, status) = match reference.kind {
        Kind::Pool => pool_status(state, name),
        Kind::Vm => vm_status(state, name),
        Kind::Job => job_status(state, name),
        Kind::Wave => wave_status(state, name),
        Kind::Policy | Kind::Team | Kind::Service => (vec![ready(true, "declared")], Value::Null),
    };
    Some(ResourceView {
        resource: declared.resource,
        revision: declared.revision,
        observed_revision: state.offset(),
        conditions,
        status,
    })
}

fn ready(holds: bool, reason: &str) -> Condition {
    Condition {
        name: "Ready".into(),
        holds,
        reason: reason.into(),
    }
}

fn pool_status(state: &FleetState, name: &str) -> (Vec<Condition>, Value) {
    let Some(pool) = state.pools().get(name) else {
        return (Vec::new(), Value::Null);
    };
    let availability = pool.availability();
    let is_ready = availability.available >= availability.floor;
    let reason = if is_ready {
        "the budget holds"
    } else {
        "fewer VMs than promised"
    };
    let status = json!({
        "members": availability.members,
        "available": availability.available,
        "floor": availability.floor,
    });
    (vec![ready(is_ready, reason)], status)
}

fn vm_status(state: &FleetState, name: &str) -> (Vec<Condition>, Value) {
    let Some(vm) = state.vms().get(name) else {
        return (Vec::new(), Value::Null);
    };
    let is_ready = vm.is_available() && vm.pool == vm.wanted_pool;
    let reason = if is_ready {
        "available"
    } else {
        "not available or to be moved"
    };
    (
        vec![ready(is_ready, reason)],
        json!({ "pool": vm.pool, "phase": vm.phase, "claim": vm.claim }),
    )
}

fn job_status(state: &FleetState, name: &str) -> (Vec<Condition>, Value) {
    let Some(job) = state.jobs().get(name) else {
        return (Vec::new(), Value::Null);
    };
    let status = json!({
        "phase": job.phase,
        "attempts": job.attempts,
        "vm": job.attempt.as_ref().map(|attempt| &attempt.vm),
        "reason": job.reason,
    });
    (vec![ready(job.is_final(), job.reason.as_str())], status)
}

fn wave_status(state: &FleetState, name: &str) -> (Vec<Condition>, Value) {
    let Some(wave) = state.waves().get(name) else {
        return (Vec::new(), Value::Null);
    };
    let due = state
        .vms()
        .iter()
        .filter(|vm| wave.spec.pools.binary_search(&vm.pool).is_ok())
        .filter(|vm| vm.maintained_ms < wave.spec.due_before_ms)
        .count();
    let is_ready = due == 0 && wave.claimed == 0;
    let status = json!({
        "due": due,
        "claimed": wave.claimed,
        "done": wave.done,
        "failed": wave.failed,
        "started_ms": wave.started_ms,
        "last_done_ms": wave.last_done_ms,
    });
    (
        vec![ready(
            is_ready,
            if is_ready { "complete" } else { "VMs are due" },
        )],
        status,
    )
}
