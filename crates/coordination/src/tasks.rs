//! Starting and watching the attempts that this node holds.

use {
    crate::{cpu_share::CpuShare, node::Node, poll_schedule::PollSchedule},
    log::{info, warn},
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{
        JobOutcome, NodeName, RecordBody, TaskReport, TaskStart, TaskState, VmPhase,
    },
    lynxwheel_state::{Attempt, FleetState, JobState, TASK_LEASE_MS, VmState},
    lynxwheel_transport::{Client, TransportError},
    std::time::Duration,
    tokio::{task::JoinSet, time::Instant},
};

/// Time that a call to a worker may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Connections to the platform for tasks.
const CONNECTIONS: usize = 16;

/// Status by which a worker says that it did not start an attempt.
const NOT_STARTED: &str = "status 409";

/// Share of a core that looking for attempts may take.
const CPU_SHARE: CpuShare = CpuShare::new(5);

/// Runs attempts for as long as it is polled.
pub(crate) async fn run(node: Node) {
    let platform = Client::new(node.settings().platform, CONNECTIONS);
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let mut offsets = node.published_state().subscribe();
    let mut schedule = PollSchedule::default();
    loop {
        let began = Instant::now();
        let state = node.state();
        let nodes = node.live_nodes();
        let now_ms = node.clock().now_ms();
        let mut steps = JoinSet::new();
        schedule.retain_running(&state);
        for job in state.jobs().iter() {
            let Some(attempt) = &job.attempt else {
                continue;
            };
            if !is_own(&node, &nodes, job, attempt) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(attempt.since_ms);
            let is_due = schedule.is_due(job, age_ms, now_ms);
            if is_due || needs_step(&state, attempt) {
                let step = TaskStep {
                    node: node.clone(),
                    platform: platform.clone(),
                    job: job.clone(),
                    attempt: attempt.clone(),
                };
                steps.spawn(step.take());
            }
        }
        let rest = CPU_SHARE.pause_after(began.elapsed());
        steps.join_all().await;
        tokio::time::sleep(rest).await;
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// Tells whether an attempt is to stop, or its VM is gone or claimed, which cannot wait.
fn needs_step(state: &FleetState, attempt: &Attempt) -> bool {
    let vm = state.vms().get(attempt.vm.as_str());
    let is_claimed = vm.is_some_and(|vm| vm.claim.is_some());
    attempt.stopping || is_claimed || is_vm_gone(vm, attempt)
}

/// Tells whether the VM that an attempt was placed on cannot be asked about it any more.
fn is_vm_gone(vm: Option<&VmState>, attempt: &Attempt) -> bool {
    vm.is_none_or(|vm| vm.phase == VmPhase::Failed || vm.incarnation > attempt.vm_incarnation)
}

/// Tells whether this node watches an attempt: as its holder, or in place of one that is gone.
///
/// Without a successor the lease of a running job would lapse and its run be lost.
fn is_own(node: &Node, nodes: &[NodeName], job: &JobState, attempt: &Attempt) -> bool {
    let own = &node.settings().identity.node;
    if attempt.holder == *own {
        return true;
    }
    let is_gone = nodes.binary_search(&attempt.holder).is_err();
    is_gone && rendezvous_rank(job.spec.pool.as_str(), own, nodes) == 0
}

/// Next step of one attempt.
struct TaskStep {
    node: Node,
    platform: Client,
    job: JobState,
    attempt: Attempt,
}

impl TaskStep {
    async fn take(self) {
        let state = self.node.state();
        let vm = state.vms().get(self.attempt.vm.as_str());
        if is_vm_gone(vm, &self.attempt) {
            // Asked before, the fold would reject it: a lost rack's attempts would fill the log
            // with rejected records, some in each tick, until their leases have lapsed.
            if state.is_over(&self.attempt) {
                self.end(JobOutcome::Lost).await;
            }
            return;
        }
        match self.start().await {
            Err(error) if error.reason.starts_with(NOT_STARTED) => {
                self.end(JobOutcome::NotStarted).await;
                return;
            }
            Err(error) => {
                warn!(event = "task_call_failed", job = self.job.spec.name.as_str(),
                    vm = self.attempt.vm.as_str(); "{error}");
                return;
            }
            Ok(_) => {}
        }
        let is_drained = vm.is_some_and(|vm| vm.claim.is_some());
        if self.attempt.stopping || is_drained && self.job.spec.checkpoint {
            self.stop().await;
        }
        if let Some(report) = self.report().await {
            self.note(&report).await;
        }
    }

    /// Starts the attempt; a worker that knows it already renews its lease instead.
    ///
    /// The worker refuses a start for an earlier life of its VM, which ran the attempt once and
    /// forgot it, and one that comes too late: a holder that was paused for longer than the
    /// attempt took to count as lost would start it beside its successor.
    async fn start(&self) -> Result<bool, TransportError> {
        let start = TaskStart {
            job: self.job.spec.name.clone(),
            attempt: self.job.attempts,
            reserved: self.attempt.reserved,
            run_time_ms: self.job.spec.run_time_ms,
            lease_ms: TASK_LEASE_MS,
            vm_incarnation: self.attempt.vm_incarnation,
            not_after_ms: self.attempt.since_ms + TASK_LEASE_MS,
        };
        let path = format!("/vms/{}/tasks", self.attempt.vm);
        self.platform
            .exchange(&path, &start, Duration::from_millis(CALL_TIMEOUT_MS))
            .await
    }

    async fn stop(&self) {
        let path = format!(
            "/vms/{}/tasks/{}/stop?attempt={}",
            self.attempt.vm, self.job.spec.name, self.job.attempts
        );
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        if let Err(error) = self.platform.exchange::<_, bool>(&path, &(), limit).await {
            warn!(event = "task_stop_failed", job = self.job.spec.name.as_str(); "{error}");
        }
    }

    async fn report(&self) -> Option<TaskReport> {
        let path = format!("/vms/{}/tasks", self.attempt.vm);
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let reports: Vec<TaskReport> = self.platform.fetch(&path, limit).await.ok()?;
        reports
            .into_iter()
            .find(|report| report.job == self.job.spec.name && report.attempt == self.job.attempts)
    }

    async fn note(&self, report: &TaskReport) {
        match report.state {
            TaskState::Running => self.note_usage(report).await,
            TaskState::Succeeded => self.end(JobOutcome::Succeeded).await,
            TaskState::Failed => self.end(JobOutcome::Failed).await,
            TaskState::Checkpointed => self.end(JobOutcome::Checkpointed).await,
        }
    }

    /// Records the use when it is well above what is known; most jobs take one record or none.
    async fn note_usage(&self, report: &TaskReport) {
        let known = &self.job.estimate.used;
        let is_news = report.used.cores_milli > known.cores_milli + known.cores_milli / 4
            || report.used.memory_mib > known.memory_mib + known.memory_mib / 4
            || report.used.accelerators > known.accelerators;
        if !is_news || report.used == self.attempt.reserved {
            return;
        }
        let body = RecordBody::Usage {
            job: self.job.spec.name.clone(),
            attempt: self.job.attempts,
            used: report.used,
        };
        self.node.proposer().propose_and_confirm(body).await;
    }

    async fn end(&self, outcome: JobOutcome) {
        let body = RecordBody::End {
            job: self.job.spec.name.clone(),
            attempt: self.job.attempts,
            outcome,
        };
        if self.node.proposer().propose_and_confirm(body).await {
            info!(event = "placement", decision = "end", job = self.job.spec.name.as_str(),
                vm = self.attempt.vm.as_str(), outcome = format!("{outcome:?}").as_str();
                "");
        }
    }
}
