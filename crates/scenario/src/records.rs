//! Records that are proposed by the steps of a node.

use {
    crate::{command::Command, node::SimNode},
    lynxwheel_protocol::{ClaimPurpose, KeyOutcome, RecordBody, RequestKey, Resources},
    std::error::Error,
};

/// Maximum time between the recheck and the start of an action, in milliseconds.
pub(crate) const ACTION_WINDOW_MS: u64 = 10_000;

/// Returns the record of a step, with the fencing token that the node last knew.
pub(crate) fn step_record(
    node: &SimNode,
    command: &Command,
    now_ms: u64,
) -> Result<RecordBody, Box<dyn Error>> {
    let fence = |vm: &str| {
        let claim = node.state().vms().get(vm).and_then(|vm| vm.claim.as_ref());
        let known = claim.map_or(0, |claim| claim.fence);
        node.known_claim(vm).map_or(known, |claim| claim.fence)
    };
    let body = match command {
        Command::Claim { vm, wave, pool } => RecordBody::Claim {
            vm: vm.as_str().into(),
            purpose: purpose(wave.as_deref(), pool.as_deref())?,
            holder: node.name.clone(),
        },
        Command::Begin { vm } => RecordBody::Begin {
            vm: vm.as_str().into(),
            fence: fence(vm),
            not_after_ms: now_ms + node.clock_ahead_ms + ACTION_WINDOW_MS,
        },
        Command::TakeOver { vm } => RecordBody::TakeOver {
            vm: vm.as_str().into(),
            fence: node
                .state()
                .vms()
                .get(vm)
                .and_then(|vm| vm.claim.as_ref())
                .map_or(0, |claim| claim.fence),
            holder: node.name.clone(),
        },
        Command::Release { vm } => RecordBody::Release {
            vm: vm.as_str().into(),
            fence: fence(vm),
        },
        Command::Done { vm, succeeded } => RecordBody::Done {
            vm: vm.as_str().into(),
            fence: fence(vm),
            succeeded: *succeeded,
        },
        Command::HandOver { vm } => RecordBody::HandOver {
            vm: vm.as_str().into(),
            fence: fence(vm),
        },
        Command::StartJob { job, vm } => start_record(node, job, vm)?,
        Command::GiveUp { job, reason } => RecordBody::GiveUp {
            job: job.as_str().into(),
            reason: reason.as_str().into(),
        },
        Command::Usage { job, cores_milli } => usage_record(node, job, *cores_milli)?,
        Command::Quarantine { vm, for_ms } => RecordBody::Quarantine {
            vm: vm.as_str().into(),
            until_ms: now_ms + for_ms,
        },
        Command::Intent { key } => RecordBody::Intent {
            key: RequestKey(*key),
            request_digest: 1,
            holder: node.name.clone(),
        },
        Command::Outcome { key, status } => RecordBody::Outcome {
            key: RequestKey(*key),
            outcome: status.map_or(KeyOutcome::Unknown, KeyOutcome::Answered),
        },
        Command::RaiseVersion { fold_version } => RecordBody::RaiseVersion {
            fold_version: *fold_version,
        },
        _ => return Err("this step takes no node name as its prefix".into()),
    };
    Ok(body)
}

fn purpose(wave: Option<&str>, pool: Option<&str>) -> Result<ClaimPurpose, Box<dyn Error>> {
    match (wave, pool) {
        (Some(wave), None) => Ok(ClaimPurpose::Maintain(wave.into())),
        (None, Some(pool)) => Ok(ClaimPurpose::Move(pool.into())),
        _ => Err("expected either wave or pool".into()),
    }
}

fn start_record(node: &SimNode, name: &str, vm: &str) -> Result<RecordBody, Box<dyn Error>> {
    let job = node.state().jobs().get(name).ok_or("no such job")?;
    Ok(RecordBody::Start {
        job: name.into(),
        attempt: job.attempts + 1,
        vm: vm.into(),
        reserved: job.spec.demand,
        holder: node.name.clone(),
    })
}

fn usage_record(
    node: &SimNode,
    name: &str,
    cores_milli: u32,
) -> Result<RecordBody, Box<dyn Error>> {
    let job = node.state().jobs().get(name).ok_or("no such job")?;
    Ok(RecordBody::Usage {
        job: name.into(),
        attempt: job.attempts,
        used: Resources {
            cores_milli,
            memory_mib: cores_milli,
            accelerators: 0,
        },
    })
}
