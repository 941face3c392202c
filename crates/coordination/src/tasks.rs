//! Starts and monitors the attempts that this node is responsible for.

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

/// Timeout of a call to a worker, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of connections to the platform for tasks.
const MAX_CONNECTIONS: usize = 16;

/// Prefix of the error reason with which a worker refuses to start an attempt.
const NOT_STARTED_REASON: &str = "status 409";

/// CPU share for finding the attempts to poll.
const CPU_SHARE: CpuShare = CpuShare::new(5);

/// Runs attempts for as long as it is polled.
pub(crate) async fn run_attempts(node: Node) {
    let platform = Client::new(node.settings().platform, MAX_CONNECTIONS);
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let mut offsets = node.published_state().subscribe();
    let mut schedule = PollSchedule::default();
    loop {
        let started_at = Instant::now();
        let state = node.state();
        let live_nodes = node.live_nodes();
        let now_ms = node.clock().now_ms();
        let mut steps = JoinSet::new();
        schedule.retain_running(&state);
        for job in state.jobs().iter() {
            let Some(attempt) = &job.attempt else {
                continue;
            };
            if !is_responsible(&node, &live_nodes, job, attempt) {
                continue;
            }
            let age_ms = now_ms.saturating_sub(attempt.since_ms);
            let is_due = schedule.is_due(job, age_ms, now_ms);
            if is_due || needs_immediate_poll(&state, attempt) {
                let step = AttemptStep {
                    node: node.clone(),
                    platform: platform.clone(),
                    job: job.clone(),
                    attempt: attempt.clone(),
                };
                steps.spawn(step.run());
            }
        }
        let pause = CPU_SHARE.pause_after(started_at.elapsed());
        steps.join_all().await;
        tokio::time::sleep(pause).await;
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// Returns whether an attempt is stopping, or its VM is lost or claimed.
fn needs_immediate_poll(state: &FleetState, attempt: &Attempt) -> bool {
    let vm = state.vms().get(attempt.vm.as_str());
    let is_claimed = vm.is_some_and(|vm| vm.claim.is_some());
    attempt.stopping || is_claimed || is_vm_lost(vm, attempt)
}

/// Returns whether the VM of an attempt has failed, was deleted or has a newer incarnation.
fn is_vm_lost(vm: Option<&VmState>, attempt: &Attempt) -> bool {
    vm.is_none_or(|vm| vm.phase == VmPhase::Failed || vm.incarnation > attempt.vm_incarnation)
}

/// Returns whether this node is responsible for an attempt: as its holder, or in place of a holder
/// that is gone.
///
/// Without a successor the lease of a running attempt would expire.
fn is_responsible(node: &Node, live_nodes: &[NodeName], job: &JobState, attempt: &Attempt) -> bool {
    let own = &node.settings().identity.node;
    if attempt.holder == *own {
        return true;
    }
    let is_holder_gone = live_nodes.binary_search(&attempt.holder).is_err();
    is_holder_gone && rendezvous_rank(job.spec.pool.as_str(), own, live_nodes) == 0
}

/// Next step of an attempt.
struct AttemptStep {
    node: Node,
    platform: Client,
    job: JobState,
    attempt: Attempt,
}

impl AttemptStep {
    async fn run(self) {
        let state = self.node.state();
        let vm = state.vms().get(self.attempt.vm.as_str());
        if is_vm_lost(vm, &self.attempt) {
            // The fold rejects the end before the lease has expired. Proposing it earlier would
            // fill the log with rejected records in every tick after the loss of a rack.
            if state.is_attempt_over(&self.attempt) {
                self.propose_end(JobOutcome::Lost).await;
            }
            return;
        }
        match self.start().await {
            Err(error) if error.reason.starts_with(NOT_STARTED_REASON) => {
                self.propose_end(JobOutcome::NotStarted).await;
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
        if let Some(report) = self.fetch_report().await {
            self.handle_report(&report).await;
        }
    }

    /// Starts the attempt; a worker that already runs it renews its lease instead.
    ///
    /// The worker refuses a start for an earlier incarnation of its VM, which may have run the
    /// attempt already, and one after `not_after_ms`, when a holder that was paused could start it
    /// in parallel with its successor.
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
            .post_message(&path, &start, Duration::from_millis(CALL_TIMEOUT_MS))
            .await
    }

    async fn stop(&self) {
        let path = format!(
            "/vms/{}/tasks/{}/stop?attempt={}",
            self.attempt.vm, self.job.spec.name, self.job.attempts
        );
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        if let Err(error) = self
            .platform
            .post_message::<_, bool>(&path, &(), timeout)
            .await
        {
            warn!(event = "task_stop_failed", job = self.job.spec.name.as_str(); "{error}");
        }
    }

    async fn fetch_report(&self) -> Option<TaskReport> {
        let path = format!("/vms/{}/tasks", self.attempt.vm);
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let reports: Vec<TaskReport> = self.platform.get_message(&path, timeout).await.ok()?;
        reports
            .into_iter()
            .find(|report| report.job == self.job.spec.name && report.attempt == self.job.attempts)
    }

    async fn handle_report(&self, report: &TaskReport) {
        match report.state {
            TaskState::Running => self.record_usage(report).await,
            TaskState::Succeeded => self.propose_end(JobOutcome::Succeeded).await,
            TaskState::Failed => self.propose_end(JobOutcome::Failed).await,
            TaskState::Checkpointed => self.propose_end(JobOutcome::Checkpointed).await,
        }
    }

    /// Records the usage if it is well above the estimate, which limits the records per job.
    async fn record_usage(&self, report: &TaskReport) {
        let known_usage = &self.job.estimate.used;
        let is_significant = report.used.cores_milli
            > known_usage.cores_milli + known_usage.cores_milli / 4
            || report.used.memory_mib > known_usage.memory_mib + known_usage.memory_mib / 4
            || report.used.accelerators > known_usage.accelerators;
        if !is_significant || report.used == self.attempt.reserved {
            return;
        }
        let body = RecordBody::Usage {
            job: self.job.spec.name.clone(),
            attempt: self.job.attempts,
            used: report.used,
        };
        self.node.proposer().propose_and_confirm(body).await;
    }

    async fn propose_end(&self, outcome: JobOutcome) {
        let body = RecordBody::End {
            job: self.job.spec.name.clone(),
            attempt: self.job.attempts,
            outcome,
        };
        if self.node.proposer().propose_and_confirm(body).await {
            info!(event = "placement", decision = "end", job = self.job.spec.name.as_str(),
                vm = self.attempt.vm.as_str(), outcome = format!("{outcome:?}").as_str();
                "recorded the end of an attempt");
        }
    }
}
