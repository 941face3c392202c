//! One run: traffic and faults, healing, and the report.

use {
    crate::{
        callers::Callers,
        checker::{Checker, ExpectedJob},
        faults::plan_faults,
        scene::{SETTLE_MS, Scene},
        world::{GRACE_MS, World},
    },
    lynxwheel_engine::JobId,
    nix::sys::signal::Signal,
    std::{
        fs, io,
        path::{Path, PathBuf},
        process,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Time after the healing in which everything that was accepted has to come to its end, in
/// milliseconds: the longest silence, leases that run out, and the work itself, several times over.
const CALM_MS: u64 = 40_000;

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The real program.
    pub program: PathBuf,
    /// Seed of faults and traffic.
    pub seed: u64,
    /// Length of traffic and faults, in milliseconds.
    pub length_ms: u64,
    /// Nodes.
    pub nodes: usize,
    /// Whether each node calls so few endpoints that the owner needs the others.
    pub are_nodes_small: bool,
    /// Folder for settings and logs of the nodes; kept when a promise is broken.
    pub folder: PathBuf,
}

impl SoakPlan {
    /// Plans a run of a seed with a folder of its own.
    #[must_use]
    pub fn new(program: &Path, seed: u64, length_ms: u64, nodes: usize) -> Self {
        let name = format!("lynxwheel-soak-{}-{seed}", process::id());
        Self {
            program: program.into(),
            seed,
            length_ms,
            nodes,
            are_nodes_small: false,
            folder: std::env::temp_dir().join(name),
        }
    }

    /// Lets every node be so small that the owner needs the others to call its endpoints.
    #[must_use]
    pub fn with_small_nodes(self, are_nodes_small: bool) -> Self {
        Self {
            are_nodes_small,
            ..self
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Violated invariants, each with the seconds since the start of the run.
    pub violations: Vec<String>,
    /// Number of jobs that were accepted and not cancelled.
    pub expected_jobs: usize,
    /// Number of task runs that started.
    pub started_runs: usize,
    /// Number of injected faults.
    pub fault_count: usize,
}

/// Runs a seed.
///
/// # Errors
///
/// Fails when stand-ins or nodes cannot be started.
pub async fn run_soak(plan: &SoakPlan) -> io::Result<SoakReport> {
    let scene = Scene::start(plan).await?;
    let mut tasks = JoinSet::new();
    scene.call(plan.seed, plan.length_ms, &mut tasks);
    let Scene {
        checker,
        world,
        callers,
    } = scene;
    let faults = plan_faults(plan.seed, plan.length_ms, plan.nodes, world.endpoints.len());
    let fault_count = faults.len();
    for planned in faults {
        let world = Arc::clone(&world);
        tasks.spawn(async move { world.suffer(planned).await });
    }
    while tasks.join_next().await.is_some() {}
    checker.lift_quotas();
    world.heal();
    sleep(Duration::from_millis(SETTLE_MS)).await;
    check_calm(&callers, &checker).await;
    check_stop(&world, &checker).await;
    checker.check_rejected_jobs();
    if checker.expected_jobs().is_empty() {
        checker.record_violation("no job was accepted");
    }
    let report = SoakReport {
        violations: checker.violations(),
        expected_jobs: checker.expected_jobs().len(),
        started_runs: checker.started_runs(),
        fault_count,
    };
    drop(world);
    if report.violations.is_empty() {
        fs::remove_dir_all(&plan.folder)?;
    }
    Ok(report)
}

/// Checks that what was accepted comes to its end, and that lasting tasks are all at work.
async fn check_calm(callers: &Callers, checker: &Arc<Checker>) {
    let until = Instant::now() + Duration::from_millis(CALM_MS);
    let mut checks = JoinSet::new();
    for expected in checker.expected_jobs() {
        let ExpectedJob { job, account, .. } = expected;
        let callers = callers.clone();
        let checker = Arc::clone(checker);
        checks.spawn(async move {
            let is_well = if expected.is_long_running {
                are_at_work(&checker, job, until).await
            } else {
                callers.settles(job, account, &expected.pool, until).await
            };
            if !is_well {
                let (live, all) = checker.count_running_tasks(job);
                let text = format!("{job}: accepted, and {live} of {all} tasks run at the end");
                checker.record_violation(&text);
            }
        });
    }
    while checks.join_next().await.is_some() {}
}

async fn are_at_work(checker: &Checker, job: JobId, until: Instant) -> bool {
    while Instant::now() < until {
        let (live, all) = checker.count_running_tasks(job);
        if live == all {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Checks that every node stops in time when it is told to.
async fn check_stop(world: &World, checker: &Checker) {
    for node in &world.nodes {
        node.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + Duration::from_millis(GRACE_MS);
    for (number, node) in world.nodes.iter().enumerate() {
        while node.ended().is_none() && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        match node.ended() {
            Some(status) if status.success() => {}
            Some(status) => checker.record_violation(&format!("node{number} ended: {status}")),
            None => checker.record_violation(&format!("node{number} did not stop in time")),
        }
    }
}
