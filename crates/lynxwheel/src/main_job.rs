//! The main job of the development fleet: declares resources, sends requests during a maintenance
//! wave and a VM move, and checks the guarantees.

use {
    crate::{
        audit::{PoolAudit, audit},
        embedded::Fleet,
        report::{DevReport, PoolReport, RequestReport},
    },
    http::{Method, StatusCode},
    lynxwheel_coordination::Clock,
    lynxwheel_protocol::{
        Amount, Budget, Class, JobSpec, PoolSpec, Resource, Resources, ServiceSpec, TeamSpec,
        VmSpec, WaveAction, WaveGoal, WaveSpec,
    },
    lynxwheel_standin::{PlatformServer, REQUEST_ID_HEADER},
    lynxwheel_state::{FleetState, JobPhase, JobState, PoolState, VmState},
    lynxwheel_transport::{Client, ClientRequest},
    std::time::Duration,
    tokio::task::JoinSet,
};

/// Number of VMs of the embedded platform.
pub(crate) const VMS: u32 = 12;

/// Concurrent requests per endpoint.
const SLOTS: u32 = 8;

/// Rounds of requests.
const REQUEST_ROUNDS: u32 = 100;

/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(5);

/// Number of jobs of each pool.
const JOBS_PER_POOL: u32 = 4;

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Names and floors of the pools.
const POOLS: [(&str, u32); 2] = [("notices", 4), ("billing", 3)];

/// VM that moves to another pool while the wave runs.
const MOVED_VM: &str = "vm-0";

/// Pool that [`MOVED_VM`] moves to.
const MOVE_TARGET: &str = "billing";

/// Runs the main job on a fleet and returns the report.
pub(crate) async fn run_main_job(fleet: &Fleet) -> Result<DevReport, String> {
    fleet.declare(&declarations()).await?;
    fleet
        .wait_until("every VM is available", |state| {
            state.vms().len() == VMS as usize && state.vms().iter().all(VmState::is_available)
        })
        .await?;
    let wave_ms = Clock::system().now_ms();
    fleet.declare(&[wave(wave_ms), moved_vm()]).await?;
    let requests = serve_requests(fleet).await;
    fleet
        .wait_until("the wave is complete", |state| {
            is_wave_complete(state, wave_ms)
        })
        .await?;
    fleet
        .wait_until("the VM is moved", |state| {
            state
                .vms()
                .get(MOVED_VM)
                .is_some_and(|vm| vm.pool.as_str() == MOVE_TARGET)
        })
        .await?;
    fleet
        .wait_until("every job is complete", |state| {
            state.jobs().iter().all(JobState::is_final)
        })
        .await?;
    Ok(build_report(fleet, requests, wave_ms))
}

/// Returns a team, and two pools with a service, VMs and jobs each.
pub(crate) fn declarations() -> Vec<Resource> {
    let mut resources = vec![Resource::Team(TeamSpec {
        name: "office".into(),
        quota: Resources {
            cores_milli: 64_000,
            memory_mib: 262_144,
            accelerators: 0,
        },
    })];
    for (number, (name, floor)) in (0_u32..).zip(POOLS) {
        resources.push(Resource::Pool(PoolSpec {
            name: name.into(),
            size: VMS / 2,
            budget: Budget {
                min_available: Amount::Count(floor),
                zones_at_once: 1,
            },
        }));
        resources.push(Resource::Service(ServiceSpec {
            name: name.into(),
            pool: name.into(),
            slots_per_endpoint: SLOTS,
            connections_per_endpoint: 64,
            deadline_ms: 10_000,
            team_rate_per_s: 0,
        }));
        for vm in (0..VMS).filter(|vm| vm % 2 == number) {
            resources.push(Resource::Vm(VmSpec {
                name: format!("vm-{vm}").into(),
                pool: name.into(),
            }));
        }
        for job in 0..JOBS_PER_POOL {
            resources.push(Resource::Job(JobSpec {
                name: format!("{name}-{job}").into(),
                pool: name.into(),
                team: "office".into(),
                class: Class::Batch,
                demand: Resources {
                    cores_milli: 2_000,
                    memory_mib: 4_096,
                    accelerators: 0,
                },
                run_time_ms: 500,
                checkpoint: true,
                max_attempts: 3,
                cancelled: false,
            }));
        }
    }
    resources
}

/// Returns a wave over all pools that reboots every VM.
fn wave(now_ms: u64) -> Resource {
    let mut pools: Vec<_> = POOLS.iter().map(|(name, _)| (*name).into()).collect();
    pools.sort();
    Resource::Wave(WaveSpec {
        name: "kernel".into(),
        pools,
        action: WaveAction::Reboot,
        goal: WaveGoal::Run,
        due_before_ms: now_ms,
        deadline_ms: 0,
    })
}

/// Returns the declaration that moves [`MOVED_VM`] to [`MOVE_TARGET`].
fn moved_vm() -> Resource {
    Resource::Vm(VmSpec {
        name: MOVED_VM.into(),
        pool: MOVE_TARGET.into(),
    })
}

fn is_wave_complete(state: &FleetState, wave_ms: u64) -> bool {
    state
        .vms()
        .iter()
        .all(|vm| vm.maintained_ms >= wave_ms && vm.is_available())
}

/// Sends requests to all nodes in turn: idempotent ones once, each non-idempotent one twice with
/// the same key.
async fn serve_requests(fleet: &Fleet) -> RequestReport {
    let clients: Vec<Client> = fleet
        .daemons
        .iter()
        .map(|daemon| Client::new(daemon.caller_address(), 16))
        .collect();
    let mut calls = JoinSet::new();
    for number in 0..REQUEST_ROUNDS {
        for (service, _) in POOLS {
            let client = clients[number as usize % clients.len()].clone();
            calls.spawn(call(
                client,
                service,
                Method::GET,
                format!("get-{service}-{number}"),
            ));
        }
        let first = clients[number as usize % clients.len()].clone();
        let second = clients[(number as usize + 1) % clients.len()].clone();
        let id = format!("renewal-{number}");
        calls.spawn(call(first, "billing", Method::POST, id.clone()));
        calls.spawn(call(second, "billing", Method::POST, id));
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    let mut report = RequestReport::default();
    while let Some(outcome) = calls.join_next().await {
        match outcome {
            Ok(CallOutcome::Answered) => report.answered += 1,
            Ok(CallOutcome::Refused) => report.refused += 1,
            Ok(CallOutcome::Wrong) => report.wrong += 1,
            Ok(CallOutcome::Failed) | Err(_) => report.failed += 1,
        }
    }
    report
}

/// Outcome of one request.
enum CallOutcome {
    Answered,
    Refused,
    Failed,
    Wrong,
}

async fn call(client: Client, service: &str, method: Method, id: String) -> CallOutcome {
    let mut request = ClientRequest::new(method.clone(), format!("/{service}/work?ms=5"))
        .with_header(REQUEST_ID_HEADER, id.clone());
    if method == Method::POST {
        request = request.with_header("idempotency-key", id.clone());
    }
    match client.call(&request, CALL_TIMEOUT).await {
        Ok(response) if response.status == StatusCode::OK => {
            let expected = format!("request={id} ");
            if response.body.starts_with(expected.as_bytes()) && response.body.ends_with(b"\n") {
                CallOutcome::Answered
            } else {
                CallOutcome::Wrong
            }
        }
        Ok(_) => CallOutcome::Refused,
        Err(_) => CallOutcome::Failed,
    }
}

/// Checks the guarantees against the log, the endpoints' runs and the responses.
fn build_report(fleet: &Fleet, mut requests: RequestReport, wave_ms: u64) -> DevReport {
    let state = fleet.state();
    requests.doubled = duplicate_run_count(&fleet.platform);
    let mut pools = Vec::new();
    let mut violations = Vec::new();
    for audit in audit(&fleet.entries()) {
        let Some(pool) = state.pools().get(audit.pool.as_str()) else {
            continue;
        };
        if !audit.has_reached_floor || audit.lowest_available < pool.floor() {
            violations.push(format!("pool {} fell below its budget", audit.pool));
        }
        pools.push(pool_report(&state, pool, &audit, wave_ms));
    }
    let succeeded = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Succeeded)
        .count();
    let violation_counts = [
        (requests.failed, "requests got no answer"),
        (requests.wrong, "answers were not the caller's own"),
        (requests.doubled, "non-idempotent requests ran twice"),
        (
            overload_count(&fleet.platform),
            "requests ran beyond an endpoint's slots",
        ),
        (
            to_u32(state.jobs().len() - succeeded),
            "jobs did not succeed",
        ),
    ];
    for (count, what) in violation_counts {
        if count > 0 {
            violations.push(format!("{count} {what}"));
        }
    }
    DevReport {
        pools,
        requests,
        jobs_succeeded: to_u32(succeeded),
        jobs_declared: to_u32(state.jobs().len()),
        broken: violations,
    }
}

fn pool_report(
    state: &FleetState,
    pool: &PoolState,
    audit: &PoolAudit,
    wave_ms: u64,
) -> PoolReport {
    let members = state.vms().iter().filter(|vm| vm.pool == audit.pool);
    let last_ms = members.map(|vm| vm.maintained_ms).max().unwrap_or(wave_ms);
    let jobs = state
        .jobs()
        .iter()
        .filter(|job| job.spec.pool == audit.pool);
    PoolReport {
        pool: audit.pool.to_string(),
        vms: pool.members,
        promised: pool.floor(),
        lowest: audit.lowest_available,
        roll_out_ms: last_ms.saturating_sub(wave_ms),
        vm_moves: audit.vms_moved_in,
        job_moves: jobs.map(|job| job.attempts.saturating_sub(1)).sum(),
    }
}

/// Counts repeated runs of non-idempotent requests, beyond the first run of each key.
fn duplicate_run_count(platform: &PlatformServer) -> u32 {
    let mut keys: Vec<String> = platform
        .runs()
        .into_iter()
        .filter(|run| run.method == "POST")
        .map(|run| run.key)
        .collect();
    keys.sort();
    let total = keys.len();
    keys.dedup();
    to_u32(total - keys.len())
}

/// Counts the requests that an endpoint ran beyond its slots.
fn overload_count(platform: &PlatformServer) -> u32 {
    let runs = platform.runs();
    to_u32(runs.iter().filter(|run| run.in_progress > SLOTS).count())
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
