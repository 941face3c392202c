//! Status of resources.

use {
    lynxwheel_protocol::{
        ClaimPurpose, Condition, FINAL_CONDITION, Kind, READY_CONDITION, ResourceRef, ResourceView,
        VmPhase, WaveGoal,
    },
    lynxwheel_state::{FleetState, JobPhase, JobState, PoolState, VmState, WaveState},
    serde_json::{Value, json},
};

/// Maximum number of exhausted pools that the status of a wave names.
const MAX_NAMED_POOLS: usize = 5;

/// Conditions of a resource with the values from which they follow.
struct Status {
    conditions: Vec<Condition>,
    values: Value,
}

/// Returns a resource with its status in `state`.
#[must_use]
pub fn resource_view(state: &FleetState, reference: &ResourceRef) -> Option<ResourceView> {
    let declared = state.declared(reference)?;
    let name = reference.name.as_str();
    let status = match reference.kind {
        Kind::Policy => policy_status(state, name),
        Kind::Team => team_status(state, name),
        Kind::Pool => pool_status(state, name),
        Kind::Vm => state.vms().get(name).map(vm_status),
        Kind::Service => service_status(state, name),
        Kind::Job => state.jobs().get(name).map(job_status),
        Kind::Wave => state.waves().get(name).map(|wave| wave_status(state, wave)),
    }?;
    Some(ResourceView {
        resource: declared.resource,
        revision: declared.revision,
        observed_revision: state.offset(),
        conditions: status.conditions,
        status: status.values,
    })
}

fn condition(name: &str, holds: bool, reason: impl Into<String>) -> Condition {
    Condition {
        name: name.into(),
        holds,
        reason: reason.into(),
    }
}

fn policy_status(state: &FleetState, name: &str) -> Option<Status> {
    let in_force = state.policy()?.name.as_str();
    let holds = in_force == name;
    let reason = if holds {
        "in force".to_owned()
    } else {
        format!("policy {in_force} is in force, the first by name")
    };
    Some(Status {
        conditions: vec![condition(READY_CONDITION, holds, reason)],
        values: Value::Null,
    })
}

fn team_status(state: &FleetState, name: &str) -> Option<Status> {
    let team = state.teams().get(name)?;
    let holds = team.used.fits(&team.spec.quota);
    let reason = if holds {
        "within its quota"
    } else {
        "running jobs use more than the quota"
    };
    Some(Status {
        conditions: vec![condition(READY_CONDITION, holds, reason)],
        values: json!({ "used": team.used }),
    })
}

fn pool_status(state: &FleetState, name: &str) -> Option<Status> {
    let pool = state.pools().get(name)?;
    let availability = pool.availability();
    let (available, floor) = (availability.available, availability.floor);
    let (members, size) = (availability.members, pool.spec.size);
    let ready = condition(
        READY_CONDITION,
        available >= floor,
        format!("{available} VMs available, {floor} promised"),
    );
    let full = condition(
        "FullSize",
        members >= size,
        format!("{members} VMs of the promised {size}"),
    );
    Some(Status {
        conditions: vec![ready, full],
        values: json!({ "members": members, "available": available, "floor": floor }),
    })
}

fn vm_status(vm: &VmState) -> Status {
    let holds = vm.is_available() && vm.pool == vm.wanted_pool;
    let values = json!({
        "pool": vm.pool,
        "zone": vm.zone,
        "rack": vm.rack,
        "phase": vm.phase,
        "incarnation": vm.incarnation,
        "reserved": vm.reserved,
        "maintained_ms": vm.maintained_ms,
        "claim": vm.claim,
    });
    Status {
        conditions: vec![condition(READY_CONDITION, holds, vm_reason(vm))],
        values,
    }
}

fn vm_reason(vm: &VmState) -> String {
    if let Some(claim) = &vm.claim {
        return match &claim.purpose {
            ClaimPurpose::Maintain(wave) => format!("being maintained by wave {wave}"),
            ClaimPurpose::Move(pool) => format!("being moved to pool {pool}"),
        };
    }
    if vm.pool != vm.wanted_pool {
        return format!("waits to be moved to pool {}", vm.wanted_pool);
    }
    match vm.phase {
        VmPhase::Live => "available".into(),
        VmPhase::Leaving => "the platform takes it away".into(),
        VmPhase::Failed => "failed".into(),
        VmPhase::Unknown => "no fresh sign of life yet".into(),
    }
}

fn service_status(state: &FleetState, name: &str) -> Option<Status> {
    let spec = state.service(name)?;
    let available = state.pools().get(spec.pool.as_str())?.available;
    let reason = format!("pool {} has {available} VMs available", spec.pool);
    Some(Status {
        conditions: vec![condition(READY_CONDITION, available > 0, reason)],
        values: json!({ "endpoints": available }),
    })
}

fn job_status(job: &JobState) -> Status {
    let holds = match job.phase {
        JobPhase::Succeeded => true,
        JobPhase::Cancelled => job.spec.cancelled,
        JobPhase::GivenUp | JobPhase::Pending | JobPhase::Running => false,
    };
    let reason = job_reason(job);
    let values = json!({
        "phase": job.phase,
        "attempts": job.attempts,
        "vm": job.attempt.as_ref().map(|attempt| &attempt.vm),
        "reason": job.reason,
    });
    Status {
        conditions: vec![
            condition(READY_CONDITION, holds, reason.clone()),
            condition(FINAL_CONDITION, job.is_final(), reason),
        ],
        values,
    }
}

fn job_reason(job: &JobState) -> String {
    if !job.reason.is_empty() {
        return job.reason.to_string();
    }
    match (job.phase, &job.attempt) {
        (JobPhase::Running, Some(attempt)) if attempt.stopping => {
            format!("being stopped on VM {}", attempt.vm)
        }
        (JobPhase::Running, Some(attempt)) => format!("runs on VM {}", attempt.vm),
        (JobPhase::Succeeded, _) => "succeeded".into(),
        (JobPhase::GivenUp, _) => "given up".into(),
        (JobPhase::Cancelled, _) => "cancelled".into(),
        (JobPhase::Pending | JobPhase::Running, _) => "waits for a VM".into(),
    }
}

fn due_vms<'a>(state: &'a FleetState, wave: &'a WaveState) -> impl Iterator<Item = &'a VmState> {
    state
        .vms()
        .iter()
        .filter(|vm| wave.spec.pools.binary_search(&vm.pool).is_ok())
        .filter(|vm| vm.maintained_ms < wave.spec.due_before_ms)
}

/// Describes the progress of a running wave and the pools whose budgets delay it.
fn running_reason(state: &FleetState, wave: &WaveState, due: usize) -> String {
    let is_due = |pool: &PoolState| due_vms(state, wave).any(|vm| vm.pool == pool.spec.name);
    let exhausted: Vec<String> = wave
        .spec
        .pools
        .iter()
        .filter_map(|name| state.pools().get(name.as_str()))
        .filter(|pool| pool.availability().spare_vms() == 0 && is_due(pool))
        .take(MAX_NAMED_POOLS)
        .map(|pool| format!("{} {} of {}", pool.spec.name, pool.available, pool.floor()))
        .collect();
    let claimed = wave.claimed;
    if exhausted.is_empty() {
        return format!("{due} VMs are due, {claimed} in work");
    }
    let exhausted = exhausted.join(", ");
    format!("{due} VMs are due, {claimed} in work; no VM to spare in pools {exhausted}")
}

fn wave_status(state: &FleetState, wave: &WaveState) -> Status {
    let due = due_vms(state, wave).count();
    let is_idle = wave.claimed == 0;
    let (holds, reason) = match wave.spec.goal {
        WaveGoal::Run if due == 0 && is_idle => (true, "complete".to_owned()),
        WaveGoal::Run => (false, running_reason(state, wave, due)),
        WaveGoal::Pause if is_idle => (true, format!("paused with {due} VMs due")),
        WaveGoal::Abort if is_idle => (true, format!("aborted with {due} VMs due")),
        WaveGoal::Pause => (false, format!("pausing, {} VMs are in work", wave.claimed)),
        WaveGoal::Abort => (false, format!("aborting, {} VMs are in work", wave.claimed)),
    };
    let values = json!({
        "due": due,
        "claimed": wave.claimed,
        "done": wave.done,
        "failed": wave.failed,
        "started_ms": wave.started_ms,
        "last_done_ms": wave.last_done_ms,
    });
    Status {
        conditions: vec![condition(READY_CONDITION, holds, reason)],
        values,
    }
}
