//! Runs one seed: traffic with faults, recovery, and the final checks.

use {
    crate::{
        callers::{Callers, query_interval},
        checker::{Checker, ExpectedJob, RefusalCounts},
        cluster::{Cluster, ENDPOINT_CPU_MILLIS, QUEUES_CPU_MILLIS, SHUTDOWN_MS, TOTAL_CPU_MILLIS},
        faults::{
            PlannedFault, plan_capacity_changes, plan_faults, plan_late_appends, plan_overloads,
            plan_owner_kills, plan_partitions, plan_restarts,
        },
        flood::FloodPlan,
        harness::{Harness, STARTUP_MS},
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

/// Time after the end of all faults within which every accepted job has to end, in milliseconds:
/// several times what the detection of silent nodes, the expiry of leases and the jobs take.
const RECOVERY_MS: u64 = 40_000;

/// Time for which orders are refused after the last other fault has begun, in milliseconds:
/// otherwise a later takeover could send all stops again.
const LATE_REFUSALS_MS: u64 = 4_000;

/// Time for which the other faults go on after the floods, in milliseconds: they find the endpoints
/// with a backlog.
const FAULTS_AFTER_FLOODS_MS: u64 = 4_000;

/// Time after the last partition until the other faults begin, in milliseconds.
const AFTER_PARTITIONS_MS: u64 = 3_000;

/// Name of the file with observations and faults in the directory of a run.
const TRACE_FILE: &str = "trace.log";

/// Parameters of a run.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the options are independent")]
pub struct SoakPlan {
    /// Path of the `lynxwheel` program.
    pub program: PathBuf,
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Duration of the traffic and the faults, in milliseconds.
    pub traffic_ms: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether each node can call so few endpoints that the owner depends on delegates.
    pub has_small_nodes: bool,
    /// Whether the store executes many appends late.
    pub has_late_appends: bool,
    /// Whether some tasks crash their endpoints, and whether the capacity of endpoints changes.
    pub has_unstable_endpoints: bool,
    /// Whether endpoints refuse orders, and whether callers cancel jobs that take long.
    pub has_refused_orders: bool,
    /// Whether one account submits several times what all endpoints can do, and then all accounts
    /// do, while owners are killed. The other faults and traffic follow the first of these floods.
    pub has_overload: bool,
    /// Whether configurations have so much time that nodes poll the store seldom.
    pub has_long_polls: bool,
    /// Whether endpoints start again under the ids that they had, and more often.
    pub has_kept_ids: bool,
    /// Whether owners are cut off from the store, together with some endpoints, for longer than
    /// leases last. The other faults and traffic follow.
    pub has_partitions: bool,
    /// Directory for settings and logs of the nodes, kept when an invariant is violated.
    pub directory: PathBuf,
}

impl SoakPlan {
    /// Creates the parameters for a seed, with a directory of its own.
    #[must_use]
    pub fn new(program: &Path, seed: u64, traffic_ms: u64, nodes: usize) -> Self {
        let name = format!("lynxwheel-soak-{}-{seed}", process::id());
        Self {
            program: program.into(),
            seed,
            traffic_ms,
            nodes,
            has_small_nodes: false,
            has_late_appends: false,
            has_unstable_endpoints: false,
            has_refused_orders: false,
            has_overload: false,
            has_long_polls: false,
            has_kept_ids: false,
            has_partitions: false,
            directory: std::env::temp_dir().join(name),
        }
    }

    /// Sets whether each node can call so few endpoints that the owner depends on delegates.
    #[must_use]
    pub fn with_small_nodes(self, has_small_nodes: bool) -> Self {
        Self {
            has_small_nodes,
            ..self
        }
    }

    /// Sets whether the store executes many appends late.
    #[must_use]
    pub fn with_late_appends(self, has_late_appends: bool) -> Self {
        Self {
            has_late_appends,
            ..self
        }
    }

    /// Sets whether some tasks crash their endpoints, and whether the capacity of endpoints changes.
    #[must_use]
    pub fn with_unstable_endpoints(self, has_unstable_endpoints: bool) -> Self {
        Self {
            has_unstable_endpoints,
            ..self
        }
    }

    /// Sets whether endpoints refuse orders, and whether callers cancel jobs that take long.
    #[must_use]
    pub fn with_refused_orders(self, has_refused_orders: bool) -> Self {
        Self {
            has_refused_orders,
            ..self
        }
    }

    /// Sets whether accounts submit several times what all endpoints can do.
    #[must_use]
    pub fn with_overload(self, has_overload: bool) -> Self {
        Self {
            has_overload,
            ..self
        }
    }

    /// Sets whether configurations have so much time that nodes poll the store seldom.
    #[must_use]
    pub fn with_long_polls(self, has_long_polls: bool) -> Self {
        Self {
            has_long_polls,
            ..self
        }
    }

    /// Sets whether endpoints start again under the ids that they had, and more often.
    #[must_use]
    pub fn with_kept_ids(self, has_kept_ids: bool) -> Self {
        Self {
            has_kept_ids,
            ..self
        }
    }

    /// Sets whether owners are cut off together with some endpoints.
    #[must_use]
    pub fn with_partitions(self, has_partitions: bool) -> Self {
        Self {
            has_partitions,
            ..self
        }
    }

    /// Returns the floods of a run under overload.
    fn flood_plan(&self) -> Option<FloodPlan> {
        let flood = || FloodPlan::new(self.seed, self.traffic_ms, TOTAL_CPU_MILLIS);
        self.has_overload.then(flood)
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
    /// Submissions that were refused.
    pub refusals: RefusalCounts,
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error if a stand-in or a node cannot be started.
pub async fn run_soak(plan: &SoakPlan) -> io::Result<SoakReport> {
    let harness = Harness::start(plan).await?;
    let mut tasks = JoinSet::new();
    let mut traffic_ms = plan.traffic_ms;
    let mut fault_count = 0;
    if let Some(flood) = plan.flood_plan() {
        traffic_ms = flood.all_ms() + FAULTS_AFTER_FLOODS_MS;
        let kills = plan_owner_kills(plan.seed, plan.traffic_ms + traffic_ms);
        fault_count += kills.len();
        flood.start(&harness.callers, &harness.checker, &mut tasks);
        start_faults(&harness.cluster, kills, &mut tasks);
        sleep(Duration::from_millis(plan.traffic_ms)).await;
    }
    if plan.has_partitions {
        let partitions = plan_partitions(plan.seed, traffic_ms, harness.cluster.endpoints.len());
        let ends_ms = partitions.iter().map(|it| it.start_ms + it.duration_ms);
        let length_ms = ends_ms.max().unwrap_or_default() + AFTER_PARTITIONS_MS;
        fault_count += partitions.len();
        harness.start_prolonged_caller(plan.seed, length_ms, &mut tasks);
        start_faults(&harness.cluster, partitions, &mut tasks);
        sleep(Duration::from_millis(length_ms)).await;
    }
    harness.start_callers(plan.seed, traffic_ms, &mut tasks);
    if plan.has_unstable_endpoints {
        harness.start_crashing_caller(plan.seed, traffic_ms, &mut tasks);
    }
    let refusals_ms = traffic_ms + LATE_REFUSALS_MS;
    if plan.has_refused_orders {
        harness.start_cancelling_callers(plan.seed, refusals_ms, &mut tasks);
    }
    let Harness {
        checker,
        cluster,
        callers,
    } = harness;
    let endpoints = cluster.endpoints.len();
    let mut faults = plan_faults(plan.seed, traffic_ms, plan.nodes, endpoints);
    if plan.has_late_appends {
        faults.extend(plan_late_appends(plan.seed, traffic_ms));
    }
    if plan.has_unstable_endpoints {
        faults.extend(plan_capacity_changes(
            plan.seed,
            traffic_ms,
            endpoints,
            ENDPOINT_CPU_MILLIS,
        ));
    }
    if plan.has_refused_orders {
        faults.extend(plan_overloads(plan.seed, refusals_ms, endpoints));
    }
    if plan.has_kept_ids {
        faults.extend(plan_restarts(plan.seed, traffic_ms, endpoints));
    }
    fault_count += faults.len();
    start_faults(&cluster, faults, &mut tasks);
    while tasks.join_next().await.is_some() {}
    checker.lift_quotas();
    cluster.end_all_faults();
    sleep(Duration::from_millis(STARTUP_MS)).await;
    let work_ms = plan
        .flood_plan()
        .map_or(0, |flood| flood.work_ms(QUEUES_CPU_MILLIS));
    tokio::join!(
        check_recovery(&callers, &checker, RECOVERY_MS + work_ms),
        check_cancelled_jobs(&checker)
    );
    check_shutdown(&cluster, &checker).await;
    checker.check_rejected_jobs();
    if checker.expected_jobs().is_empty() {
        checker.record_violation("no job was accepted");
    }
    let report = SoakReport {
        violations: checker.violations(),
        expected_jobs: checker.expected_jobs().len(),
        started_runs: checker.started_runs(),
        fault_count,
        refusals: checker.refusals(),
    };
    drop(cluster);
    if report.violations.is_empty() {
        fs::remove_dir_all(&plan.directory)?;
    } else {
        let trace = checker.trace_lines().join("\n");
        fs::write(plan.directory.join(TRACE_FILE), trace)?;
    }
    Ok(report)
}

/// Starts tasks that each inject a fault at its time.
fn start_faults(cluster: &Arc<Cluster>, faults: Vec<PlannedFault>, tasks: &mut JoinSet<()>) {
    for planned in faults {
        let cluster = Arc::clone(cluster);
        tasks.spawn(async move { cluster.inject(planned).await });
    }
}

/// Checks that every accepted job ends within `limit_ms`, and that all tasks of long-running jobs
/// run.
async fn check_recovery(callers: &Callers, checker: &Arc<Checker>, limit_ms: u64) {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    let mut checks = JoinSet::new();
    let expected_jobs = checker.expected_jobs();
    let query_interval = query_interval(expected_jobs.len());
    for expected in expected_jobs {
        let ExpectedJob { job, account, .. } = expected;
        let callers = callers.clone();
        let checker = Arc::clone(checker);
        checks.spawn(async move {
            let has_recovered = if expected.is_long_running {
                await_running_tasks(&checker, job, until).await
            } else {
                callers
                    .await_end(job, account, &expected.pool, query_interval, until)
                    .await
            };
            if !has_recovered {
                let (running, all) = checker.count_running_tasks(job);
                let text =
                    format!("{job}: accepted but not ended; {running} of {all} tasks are running");
                checker.record_violation(&text);
            }
        });
    }
    while checks.join_next().await.is_some() {}
}

/// Checks that no task of a cancelled job runs once no fault has been active for a while.
async fn check_cancelled_jobs(checker: &Checker) {
    while let Some(rest) = checker.time_until_quiet().filter(|rest| !rest.is_zero()) {
        sleep(rest).await;
    }
    checker.check_cancelled_jobs();
}

/// Waits until all tasks of a job run; returns whether they do before the deadline.
async fn await_running_tasks(checker: &Checker, job: JobId, until: Instant) -> bool {
    while Instant::now() < until {
        let (running, all) = checker.count_running_tasks(job);
        if running == all {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Checks that every node exits successfully within its grace period after SIGTERM.
async fn check_shutdown(cluster: &Cluster, checker: &Checker) {
    for node in &cluster.nodes {
        node.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + Duration::from_millis(SHUTDOWN_MS);
    for (number, node) in cluster.nodes.iter().enumerate() {
        while node.exit_status().is_none() && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        match node.exit_status() {
            Some(status) if status.success() => {}
            Some(status) => checker.record_violation(&format!("node{number} ended: {status}")),
            None => checker.record_violation(&format!(
                "node{number} did not stop within its grace period"
            )),
        }
    }
}
