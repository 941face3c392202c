//! The embedded platform: everything in one process, for development.

use {
    crate::{
        audit::audit,
        config::Config,
        daemon::Daemon,
        report::{DevReport, PoolReport, RequestReport},
    },
    http::{Method, StatusCode},
    lynxwheel_coordination::{Clock, PeerAddress},
    lynxwheel_protocol::{
        Amount, Budget, Class, JobSpec, LogEntry, PoolSpec, Resource, Resources, ServiceSpec,
        TeamSpec, VmSpec, WaveAction, WaveGoal, WaveSpec,
    },
    lynxwheel_standin::{PlatformServer, REQUEST_ID_HEADER, VmTemplate},
    lynxwheel_state::{FleetState, JobPhase, JobState, VmState},
    lynxwheel_transport::{Client, ClientRequest},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        time::Duration,
    },
    tokio::{task::JoinSet, time::Instant},
};

/// Nodes of the embedded system.
const NODES: u32 = 2;

/// VMs of the embedded platform.
const VMS: u32 = 12;

/// Time that a VM takes to reboot, in milliseconds.
const REBOOT_MS: u64 = 300;

/// Requests of each kind.
const REQUESTS: u32 = 100;

/// Jobs of each pool.
const JOBS: u32 = 4;

/// Time within which everything must be done.
const LIMIT: Duration = Duration::from_mins(2);

/// Pause between two looks at what is waited for.
const POLL: Duration = Duration::from_millis(20);

/// Time that one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Pools with their floors.
const POOLS: [(&str, u32); 2] = [("notices", 4), ("billing", 3)];

/// VM that is moved while the wave runs.
const MOVED_VM: &str = "vm-0";

/// Pool that it is moved to.
const MOVE_TARGET: &str = "billing";

/// A platform and nodes in this process.
struct Fleet {
    platform: PlatformServer,
    daemons: Vec<Daemon>,
}

impl Fleet {
    async fn start() -> Result<Self, String> {
        let templates: Vec<VmTemplate> = (0..VMS).map(VmTemplate::numbered).collect();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port, &templates, REBOOT_MS)
            .await
            .map_err(|error| error.to_string())?;
        let nodes = peer_addresses().map_err(|error| error.to_string())?;
        let mut daemons = Vec::new();
        for number in 1..=NODES {
            let config = config(number, platform.address(), &nodes);
            daemons.push(
                Daemon::start(&config)
                    .await
                    .map_err(|error| error.to_string())?,
            );
        }
        let fleet = Self { platform, daemons };
        fleet.wait_until_current().await?;
        Ok(fleet)
    }

    async fn wait_until_current(&self) -> Result<(), String> {
        let until = Instant::now() + LIMIT;
        while !self.daemons.iter().all(|daemon| daemon.node().is_current()) {
            if Instant::now() > until {
                return Err("waited too long until the nodes are current".into());
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    fn state(&self) -> std::sync::Arc<FleetState> {
        self.daemons[0].node().state()
    }

    async fn declare(&self, resources: &[Resource]) -> Result<(), String> {
        let operators = Client::new(self.daemons[0].operators(), 4);
        for resource in resources {
            let body = serde_json::to_vec(resource).map_err(|error| error.to_string())?;
            let path = format!("/v1/{}/{}", resource.kind(), resource.name());
            let request = ClientRequest::new(Method::PUT, path).with_body(body);
            let answer = operators
                .call(&request, CALL_LIMIT)
                .await
                .map_err(|error| error.to_string())?;
            if answer.status != StatusCode::OK {
                let text = String::from_utf8_lossy(&answer.body);
                return Err(format!("{}: {text}", resource.reference()));
            }
        }
        Ok(())
    }

    async fn wait_until(
        &self,
        what: &str,
        holds: impl Fn(&FleetState) -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + LIMIT;
        while !holds(&self.state()) {
            if Instant::now() > until {
                return Err(format!("waited too long until {what}"));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    fn entries(&self) -> Vec<LogEntry> {
        self.platform
            .with_platform(|platform| platform.log.read("fleet", 1, usize::MAX).entries)
    }
}

/// Runs the main job on an embedded platform: declare, serve, maintain, and report.
///
/// # Errors
///
/// Returns the reason when the job cannot be run to its end.
pub async fn dev_once() -> Result<DevReport, String> {
    let fleet = Fleet::start().await?;
    fleet.declare(&declarations()).await?;
    fleet
        .wait_until("every VM is available", |state| {
            state.vms().len() == VMS as usize && state.vms().iter().all(VmState::is_available)
        })
        .await?;
    let wave_ms = Clock::system().now_ms();
    fleet.declare(&[wave(wave_ms), moved_vm()]).await?;
    let requests = serve_requests(&fleet).await;
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
        .wait_until("every job has its answer", |state| {
            state.jobs().iter().all(JobState::is_final)
        })
        .await?;
    let report = judge(&fleet, requests, wave_ms);
    for daemon in fleet.daemons {
        daemon.stop().await;
    }
    fleet.platform.stop();
    Ok(report)
}

/// Runs the embedded platform with nodes until the process is ended.
///
/// # Errors
///
/// Returns the reason when it cannot be started.
pub async fn dev_stay() -> Result<(), String> {
    let fleet = Fleet::start().await?;
    fleet.declare(&declarations()).await?;
    println!("platform   http://{}", fleet.platform.address());
    for daemon in &fleet.daemons {
        println!(
            "{}     callers http://{}  operators http://{}",
            daemon.node().settings().identity.node,
            daemon.callers(),
            daemon.operators()
        );
    }
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| error.to_string())
}

/// Runs only the platform with its endpoints until the process is ended.
///
/// # Errors
///
/// Returns the reason when it cannot be started.
pub async fn dev_platform(listen: SocketAddr, vms: u32, reboot_ms: u64) -> Result<(), String> {
    let templates: Vec<VmTemplate> = (0..vms).map(VmTemplate::numbered).collect();
    let platform = PlatformServer::start(listen, &templates, reboot_ms)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    println!("platform http://{}", platform.address());
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| error.to_string())
}

/// Finds a free address for each node's peer listener, which the others must know beforehand.
fn peer_addresses() -> io::Result<Vec<PeerAddress>> {
    let listeners: Vec<TcpListener> = (0..NODES)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<io::Result<_>>()?;
    (1..)
        .zip(&listeners)
        .map(|(number, listener)| {
            Ok(PeerAddress {
                node: node_name(number).as_str().into(),
                address: listener.local_addr()?,
            })
        })
        .collect()
}

fn config(number: u32, platform: SocketAddr, nodes: &[PeerAddress]) -> Config {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let name = node_name(number);
    let (own, peers): (Vec<PeerAddress>, Vec<PeerAddress>) = nodes
        .iter()
        .cloned()
        .partition(|peer| peer.node.as_str() == name);
    Config {
        node: node_name(number),
        zone: format!("zone-{number}"),
        callers: any_port,
        operators: any_port,
        peers_listen: own.first().map_or(any_port, |own| own.address),
        platform,
        stream: "fleet".into(),
        peers,
        propose_timeout_ms: 3_000,
        tick_ms: 50,
        rank_delay_ms: 100,
        action_timeout_ms: 60_000,
        drain_ms: 100,
        log_level: "error".into(),
        log_file: None,
    }
}

fn node_name(number: u32) -> String {
    format!("node-{number}")
}

fn declarations() -> Vec<Resource> {
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
            slots_per_endpoint: 8,
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
        for job in 0..JOBS {
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

/// Declares a VM of the first pool into the second.
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

/// Sends requests of both kinds to all nodes in turn, each non-idempotent one twice.
async fn serve_requests(fleet: &Fleet) -> RequestReport {
    let clients: Vec<Client> = fleet
        .daemons
        .iter()
        .map(|daemon| Client::new(daemon.callers(), 16))
        .collect();
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
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
        tokio::time::sleep(Duration::from_millis(5)).await;
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
    match client.call(&request, CALL_LIMIT).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            let own = format!("request={id} ");
            if answer.body.starts_with(own.as_bytes()) && answer.body.ends_with(b"\n") {
                CallOutcome::Answered
            } else {
                CallOutcome::Wrong
            }
        }
        Ok(_) => CallOutcome::Refused,
        Err(_) => CallOutcome::Failed,
    }
}

fn judge(fleet: &Fleet, mut requests: RequestReport, wave_ms: u64) -> DevReport {
    let state = fleet.state();
    let audits = audit(&fleet.entries());
    requests.doubled = doubled_runs(&fleet.platform);
    let mut pools = Vec::new();
    let mut broken = Vec::new();
    for audit in audits {
        let Some(pool) = state.pools().get(audit.pool.as_str()) else {
            continue;
        };
        if !audit.was_ready || audit.lowest_available < pool.floor() {
            broken.push(format!("pool {} fell below its budget", audit.pool));
        }
        let members = || state.vms().iter().filter(|vm| vm.pool == audit.pool);
        let last_ms = members()
            .map(|vm| vm.maintained_ms)
            .max()
            .unwrap_or(wave_ms);
        let jobs = state
            .jobs()
            .iter()
            .filter(|job| job.spec.pool == audit.pool);
        pools.push(PoolReport {
            pool: audit.pool.to_string(),
            vms: pool.members,
            promised: pool.floor(),
            lowest: audit.lowest_available,
            roll_out_ms: last_ms.saturating_sub(wave_ms),
            vm_moves: audit.moved_in,
            job_moves: jobs.map(|job| job.attempts.saturating_sub(1)).sum(),
        });
    }
    let succeeded = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Succeeded)
        .count();
    let counts = [
        (requests.failed, "requests got no answer"),
        (requests.wrong, "answers were not the caller's own"),
        (requests.doubled, "non-idempotent requests ran twice"),
        (
            u32::try_from(state.jobs().len() - succeeded).unwrap_or(u32::MAX),
            "jobs did not succeed",
        ),
    ];
    for (count, what) in counts {
        if count > 0 {
            broken.push(format!("{count} {what}"));
        }
    }
    DevReport {
        pools,
        requests,
        jobs_succeeded: u32::try_from(succeeded).unwrap_or(u32::MAX),
        jobs_declared: u32::try_from(state.jobs().len()).unwrap_or(u32::MAX),
        broken,
    }
}

fn doubled_runs(platform: &PlatformServer) -> u32 {
    let mut keys: Vec<String> = platform
        .runs()
        .into_iter()
        .filter(|run| run.method == "POST")
        .map(|run| run.key)
        .collect();
    keys.sort();
    let total = keys.len();
    keys.dedup();
    u32::try_from(total - keys.len()).unwrap_or(u32::MAX)
}
