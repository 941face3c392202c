//! Commands that change one declaration: waves and VM moves.

use {
    crate::{client::ApiClient, commands::get_declared, error::CtlError, watch},
    lynxwheel_protocol::{
        Kind, PoolName, Problem, ProblemReason, Resource, ResourceRef, VmName, VmSpec, WaveAction,
        WaveGoal, WaveName, WaveSpec,
    },
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Kinds whose resources run on the VMs of a pool.
const POOL_USERS: [Kind; 2] = [Kind::Service, Kind::Job];

/// Declares a new wave.
pub(crate) async fn start_wave(
    client: &ApiClient,
    wave: &WaveName,
    pools: &[PoolName],
    due_before_ms: Option<u64>,
) -> Result<String, CtlError> {
    let mut pools = pools.to_vec();
    pools.sort();
    pools.dedup();
    let resource = Resource::Wave(WaveSpec {
        name: wave.clone(),
        pools,
        action: WaveAction::Reboot,
        goal: WaveGoal::Run,
        due_before_ms: due_before_ms.unwrap_or_else(now_ms),
        deadline_ms: 0,
    });
    let response = client.put(&resource, 0, false).await?;
    Ok(format!(
        "wave {wave} started at revision {}",
        response.revision
    ))
}

/// Sets the goal of a wave.
pub(crate) async fn set_goal(
    client: &ApiClient,
    wave: &WaveName,
    goal: WaveGoal,
) -> Result<String, CtlError> {
    let reference = ResourceRef::new(Kind::Wave, wave.as_str());
    let mut view = get_declared(client, &reference).await?;
    if let Resource::Wave(spec) = &mut view.resource {
        if spec.goal == goal {
            return Ok(format!("wave {wave} was told so before"));
        }
        spec.goal = goal;
    }
    let response = client.put(&view.resource, view.revision, false).await?;
    let effect = match goal {
        WaveGoal::Run => "goes on",
        WaveGoal::Pause => "claims nothing new",
        WaveGoal::Abort => "is given up",
    };
    Ok(format!(
        "wave {wave} {effect} from revision {}",
        response.revision
    ))
}

/// Declares another pool for a VM and, with `wait_s`, waits until the move is complete.
pub(crate) async fn move_vm(
    client: &ApiClient,
    vm: &VmName,
    pool: &PoolName,
    wait_s: Option<u64>,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<String, CtlError> {
    let reference = ResourceRef::new(Kind::Vm, vm.as_str());
    let view = get_declared(client, &reference).await?;
    let resource = Resource::Vm(VmSpec {
        name: vm.clone(),
        pool: pool.clone(),
    });
    let mut message = format!("VM {vm} is to be in pool {pool} already");
    if view.resource != resource {
        let response = client.put(&resource, view.revision, false).await?;
        message = format!(
            "VM {vm} is to move to pool {pool} from revision {}",
            response.revision
        );
    }
    let Some(wait_s) = wait_s else {
        return Ok(message);
    };
    progress(&message);
    let timeout = Duration::from_secs(wait_s);
    watch::watch_resource(client, &reference, true, timeout, progress).await
}

/// Rejects a pool that a service or job uses as the target of a drain: the drained VM would get
/// new work there.
pub(crate) async fn check_unused(client: &ApiClient, pool: &PoolName) -> Result<(), CtlError> {
    get_declared(client, &ResourceRef::new(Kind::Pool, pool.as_str())).await?;
    for kind in POOL_USERS {
        for view in client.list(kind).await?.items {
            let dependencies = view.resource.dependencies();
            let is_user = dependencies
                .iter()
                .any(|used| used.kind == Kind::Pool && used.name == pool.as_str());
            if is_user {
                let detail = format!("pool {pool} is used by {}", view.resource.reference());
                return Err(CtlError::Refused {
                    action: "drain".into(),
                    problem: Box::new(Problem::new(ProblemReason::Rejected, detail)),
                });
            }
        }
    }
    Ok(())
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
