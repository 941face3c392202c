//! Records that a node proposes for its attempts.

use {
    lynxwheel_coordination::{Node, NodeIdentity, NodeSettings, ProposeError},
    lynxwheel_protocol::{
        Amount, Budget, Class, JobSpec, PoolSpec, RecordBody, Resource, Resources, TeamSpec,
        VmPhase, VmSpec, decode_record,
    },
    lynxwheel_standin::{PlatformServer, VmTemplate},
    lynxwheel_state::{FleetState, JobPhase},
    lynxwheel_transport::Shutdown,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TICK_MS: u64 = 20;

const DEMAND: Resources = Resources {
    cores_milli: 1_000,
    memory_mib: 1_024,
    accelerators: 0,
};

fn declarations() -> Vec<Resource> {
    vec![
        Resource::Team(TeamSpec {
            name: "billing".into(),
            quota: DEMAND,
        }),
        Resource::Pool(PoolSpec {
            name: "night".into(),
            size: 1,
            budget: Budget {
                min_available: Amount::Count(0),
                zones_at_once: 1,
            },
        }),
        Resource::Vm(VmSpec {
            name: "vm-0".into(),
            pool: "night".into(),
        }),
        Resource::Job(JobSpec {
            name: "reconcile".into(),
            pool: "night".into(),
            team: "billing".into(),
            class: Class::Batch,
            demand: DEMAND,
            run_time_ms: 3_600_000,
            checkpoint: false,
            max_attempts: 3,
            cancelled: false,
        }),
    ]
}

async fn declare(node: &Node, resource: Resource) {
    let body = RecordBody::Put {
        resource: Box::new(resource),
        if_revision: None,
    };
    loop {
        match node.proposer().propose(body.clone()).await {
            Ok(decision) => return assert!(decision.verdict.is_accepted(), "{decision:?}"),
            Err(ProposeError::NotAppended { .. }) => tokio::time::sleep(POLL_INTERVAL).await,
            Err(error) => panic!("{error}"),
        }
    }
}

async fn wait_until(node: &Node, what: &str, condition: impl Fn(&FleetState) -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition(&node.state()) {
        assert!(Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against proposing the end of an attempt on a failed VM in every tick, although the fold
/// rejects it until the attempt's lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_on_a_failed_vm_is_not_reported_in_every_tick() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port, &[VmTemplate::numbered(0)], 100)
        .await
        .expect("start the platform");
    let identity = NodeIdentity::new("node-1", "zone-1");
    let mut settings = NodeSettings::new(identity, platform.address());
    settings.poll_interval_ms = TICK_MS;
    let shutdown = Shutdown::new();
    let (node, threads) = Node::start(settings, &shutdown);
    for resource in declarations() {
        declare(&node, resource).await;
    }
    wait_until(&node, "the job runs", |state| {
        let job = state.jobs().get("reconcile").expect("declared");
        job.phase == JobPhase::Running
    })
    .await;
    platform.with_platform(|platform| {
        let vm = platform.machine_mut("vm-0").expect("vm-0");
        vm.shut_down(u64::MAX);
    });
    wait_until(&node, "the failure is known", |state| {
        let vm = state.vms().get("vm-0").expect("declared");
        vm.phase == VmPhase::Failed
    })
    .await;
    tokio::time::sleep(Duration::from_millis(20 * TICK_MS)).await;
    let entries = platform.with_platform(|platform| platform.log.read("fleet", 1, usize::MAX));
    let ends = entries.entries.iter().filter(|entry| {
        let record = decode_record(&entry.bytes).expect("a record");
        matches!(record.body, RecordBody::End { .. })
    });
    assert_eq!(
        ends.count(),
        0,
        "ends proposed before the lease has expired"
    );
    shutdown.begin();
    tokio::task::spawn_blocking(move || threads.join())
        .await
        .expect("no panic");
}
