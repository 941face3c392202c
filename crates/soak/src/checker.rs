//! Checks what callers and endpoints observe against the invariants of the fleet.

use {
    crate::{
        accounts::{ACCOUNT_COUNT, AccountIndex, account_name, highest_quota},
        faults::Fault,
        lock,
    },
    compact_str::CompactString,
    http::{StatusCode, header},
    lynxwheel_engine::{JobId, JobSpec, JobState, TaskRef},
    lynxwheel_platform_standin::{LONGEST_RUN_MS, Observation, ObservedEnd},
    lynxwheel_transport::ClientResponse,
    std::{
        fmt,
        sync::Mutex,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time after a cancellation is acknowledged in which its tasks may still start, in milliseconds:
/// covers the longest delay of an order at an endpoint and a takeover.
const CANCEL_GRACE_MS: u128 = 8_000;

/// Time after a cancellation is acknowledged within which its tasks must have ended, including the
/// time that a stop may take.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_200);

/// Time without faults after which tasks of cancelled jobs must be stopped: the ownership of a node
/// that failed has expired, and its successor has called the endpoints.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// Time after a change of an endpoint's capacity in which starts may exceed the new one, in
/// milliseconds: the time in which nodes must notice, and one heartbeat.
const CAPACITY_GRACE: Duration = Duration::from_millis(3_300);

/// Number of crashed endpoints after which starts of the task are counted.
const COUNTED_AFTER_CRASHES: u32 = 3;

/// Maximum number of starts of a task after that.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// Number of crashed endpoints from which a task may be given up.
const GIVEN_UP_AFTER_CRASHES: u32 = 2;

/// Text in the body of every refusal of a submission.
const NEVER_RUNS: &str = "never runs";

/// Time within which the tasks of a job must start while another account floods, not counting
/// [`OWNER_OUTAGE`]s: the longest run, after which all CPU of the endpoints has been given anew, and
/// the target latency of the queues.
const SERVED_WITHIN: Duration = Duration::from_millis(LONGEST_RUN_MS + 600);

/// Time after an owner was killed in which nothing needs to start: the owner timeout of 1.3 s, the
/// delay of 0.7 s with which small nodes claim, and the first calls of the successor.
const OWNER_OUTAGE: Duration = Duration::from_secs(3);

/// What callers know about the submission of a job.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent")]
struct SubmissionOutcome {
    is_accepted: bool,
    is_unknown: bool,
    /// Whether an attempt is in progress.
    is_pending: bool,
    is_refused: bool,
}

impl SubmissionOutcome {
    /// Returns whether every attempt so far was rejected, so that the job must not run.
    fn is_rejected(self) -> bool {
        !self.is_accepted && !self.is_unknown && !self.is_pending
    }
}

/// Number of refusals of submissions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalCounts {
    /// Responses with status 503.
    pub unavailable: usize,
    /// Responses with status 429.
    pub too_many_requests: usize,
    /// Jobs that were refused and never accepted.
    pub refused_jobs: usize,
    /// Jobs that were accepted after a refusal.
    pub accepted_later: usize,
}

/// Time in which one account submits more than the endpoints can do.
#[derive(Clone, Copy, Debug)]
struct Flood {
    account: AccountIndex,
    since: Instant,
}

/// Run of a task on an incarnation of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RunOn {
    incarnation: CompactString,
    run: u32,
}

impl fmt::Display for RunOn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "run {} on {}", self.run, self.incarnation)
    }
}

/// Completed run whose end can still be acknowledged.
#[derive(Clone, Debug)]
struct DoneRun {
    run: RunOn,
    /// Number under which its endpoint lists the end.
    number: Option<u64>,
    /// Later starts of the task.
    later: Vec<RunOn>,
}

/// Completed run whose end was acknowledged.
#[derive(Clone, Debug)]
struct AcknowledgedRun {
    run: RunOn,
    number: Option<u64>,
    /// Number up to which ends were acknowledged.
    acknowledged: u64,
}

impl fmt::Display for AcknowledgedRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            run, acknowledged, ..
        } = self;
        let number = self.number.map(|number| number.to_string());
        let number = number.as_deref().unwrap_or("unknown");
        write!(
            formatter,
            "{run} was done (end {number}, acknowledged up to {acknowledged})"
        )
    }
}

/// Violated invariant.
#[derive(Clone, Debug)]
struct Violation {
    text: String,
    /// Start that violates it, which may be told to stop later.
    start: Option<(TaskRef, RunOn)>,
}

impl Violation {
    fn of_run(text: String, task: TaskRef, run: RunOn) -> Self {
        let start = Some((task, run));
        Self { text, start }
    }
}

impl From<String> for Violation {
    fn from(text: String) -> Self {
        Self { text, start: None }
    }
}

#[derive(Clone, Debug, Default)]
struct TaskRecord {
    /// Incarnation of the endpoint and run number of each run in progress.
    running: Vec<(CompactString, u32)>,
    done: Vec<DoneRun>,
    has_completed: bool,
    acknowledged: Option<AcknowledgedRun>,
    /// Stops that incarnations have received, each of which also applies to earlier runs.
    stops: Vec<RunOn>,
    has_started: bool,
    failures: u32,
    failures_acknowledged: u32,
    starts_after_last_failure: u32,
    /// Endpoints that ended under the task without notice or an order for their VM.
    lost_endpoints: u32,
    /// Endpoints that the task has crashed.
    crashes: u32,
    starts_after_crashes: u32,
}

impl TaskRecord {
    fn record_start(&mut self, incarnation: &CompactString, run: u32) {
        self.has_started = true;
        for done in &mut self.done {
            done.later.push(RunOn {
                incarnation: incarnation.clone(),
                run,
            });
        }
    }
}

/// Capacities that the registry entry of an incarnation has shown, and since when.
#[derive(Clone, Debug)]
struct ShownCapacities {
    incarnation: CompactString,
    /// The earliest first.
    cpu_millis: Vec<(Instant, u64)>,
}

impl ShownCapacities {
    /// Returns the highest capacity shown between `since` and now.
    fn highest_since(&self, since: Instant) -> u64 {
        let later = self.cpu_millis.partition_point(|(at, _)| *at <= since);
        let relevant = &self.cpu_millis[later.saturating_sub(1)..];
        let shown = relevant.iter().map(|(_, cpu_millis)| *cpu_millis);
        shown.max().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct JobRecord {
    id: JobId,
    account: AccountIndex,
    spec: JobSpec,
    pool: CompactString,
    max_attempts: u32,
    outcome: SubmissionOutcome,
    accepted_at: Option<Instant>,
    is_started: bool,
    /// Time from which each task has started at least once.
    all_started_at: Option<Instant>,
    is_cancel_requested: bool,
    cancelled_at: Option<Instant>,
    tasks: Vec<(TaskRef, TaskRecord)>,
}

impl JobRecord {
    fn task(&mut self, task: &TaskRef) -> Option<&mut TaskRecord> {
        let index = self.tasks.binary_search_by_key(task, |known| known.0);
        index.ok().map(|index| &mut self.tasks[index].1)
    }

    /// Returns whether all tasks are done, or the job may have failed.
    fn has_ended(&self) -> bool {
        let mut tasks = self.tasks.iter().map(|(_, task)| task);
        tasks.clone().all(|task| task.has_completed)
            || tasks.any(|task| task.failures >= self.max_attempts)
    }

    fn is_step_complete(&self, step: u16) -> bool {
        let mut tasks = self.tasks.iter().filter(|(task, _)| task.step == step);
        tasks.all(|(_, record)| record.has_completed)
    }

    /// Returns whether an incarnation was told to stop a run of a task.
    fn is_told_to_stop(&self, task: &TaskRef, run: &RunOn) -> bool {
        let index = self.tasks.binary_search_by_key(task, |known| known.0);
        let mut stops = index.iter().flat_map(|&index| &self.tasks[index].1.stops);
        stops.any(|stop| stop.incarnation == run.incarnation && stop.run >= run.run)
    }

    fn cpu_millis(&self, task: &TaskRef) -> u64 {
        let step = self.spec.steps.get(usize::from(task.step));
        step.map_or(0, |step| step.resources.cpu_millis)
    }
}

#[derive(Debug, Default)]
struct State {
    jobs: Vec<JobRecord>,
    /// CPU in use by incarnation of an endpoint, in thousandths of a core.
    cpu_in_use: Vec<(CompactString, u64)>,
    capacities: Vec<ShownCapacities>,
    active_faults: usize,
    /// End of the last fault and of its aftermath.
    quiet_since: Option<Instant>,
    /// Number of active faults that may hide capacities from nodes.
    hiding_faults: usize,
    /// End of the last such fault.
    shown_since: Option<Instant>,
    /// VM, its highest fencing token and the holder of that token.
    orders: Vec<(CompactString, u64, CompactString)>,
    violations: Vec<Violation>,
    /// Observations and faults with their times in Unix milliseconds.
    trace: Vec<(u64, String)>,
    are_quotas_lifted: bool,
    flood: Option<Flood>,
    /// Starts and ends of the outages after owners were killed.
    outages: Vec<(Instant, Instant)>,
    refusals: RefusalCounts,
    starts: usize,
    last_start: Option<Instant>,
    /// Longest time between two starts since it was last taken.
    longest_gap: Duration,
}

impl State {
    fn job(&mut self, id: JobId) -> Option<&mut JobRecord> {
        let index = self.jobs.binary_search_by_key(&id, |job| job.id);
        index.ok().map(|index| &mut self.jobs[index])
    }

    /// Returns the CPU that the tasks of an account use, in thousandths of a core.
    fn running_cpu_millis(&self, account: AccountIndex) -> u64 {
        let jobs = self.jobs.iter().filter(|job| job.account == account);
        let tasks =
            jobs.flat_map(|job| job.tasks.iter().map(move |(task, seen)| (job, task, seen)));
        tasks
            .map(|(job, task, seen)| {
                let runs = u64::try_from(seen.running.len()).unwrap_or_default();
                runs * job.cpu_millis(task)
            })
            .sum()
    }

    fn record_capacity(&mut self, incarnation: CompactString, shown: u64) {
        let change = (Instant::now(), shown);
        let mut known = self.capacities.iter_mut();
        match known.find(|known| known.incarnation == incarnation) {
            Some(known) => known.cpu_millis.push(change),
            None => self.capacities.push(ShownCapacities {
                incarnation,
                cpu_millis: vec![change],
            }),
        }
    }

    /// Returns the CPU that starts on an incarnation must not exceed now, or `None` if nodes may
    /// not know its latest capacity.
    fn capacity_limit(&self, incarnation: &CompactString, now: Instant) -> Option<u64> {
        let since = now.checked_sub(CAPACITY_GRACE)?;
        if self.hiding_faults > 0 || self.shown_since.is_some_and(|end| end > since) {
            return None;
        }
        let mut known = self.capacities.iter();
        let known = known.find(|known| known.incarnation == *incarnation)?;
        Some(known.highest_since(since))
    }

    /// Returns the time between two instants without the outages of owners.
    fn time_with_owner(&self, from: Instant, to: Instant) -> Duration {
        let outages = self.outages.iter().map(|(start, end)| {
            let (start, end) = ((*start).max(from), (*end).min(to));
            end.saturating_duration_since(start)
        });
        let outage: Duration = outages.sum();
        to.saturating_duration_since(from).saturating_sub(outage)
    }

    /// Returns the jobs of an account that were accepted since `since` and not cancelled.
    fn jobs_accepted_since(
        &self,
        account: AccountIndex,
        since: Instant,
    ) -> impl Iterator<Item = (&JobRecord, Instant)> {
        self.jobs.iter().filter_map(move |job| {
            let is_relevant = job.account == account && !job.is_cancel_requested;
            let accepted_at = job.accepted_at.filter(|at| is_relevant && *at >= since);
            accepted_at.map(|at| (job, at))
        })
    }

    fn record_violation(&mut self, text: String) {
        self.violations.push(text.into());
    }

    /// Returns the text of a violation.
    fn describe(&self, violation: &Violation) -> String {
        let Violation { text, start } = violation;
        let Some((task, run)) = start else {
            return text.clone();
        };
        let index = self.jobs.binary_search_by_key(&task.job, |job| job.id);
        let is_told = index.is_ok_and(|index| self.jobs[index].is_told_to_stop(task, run));
        let told = if is_told { "told" } else { "not told" };
        format!("{text}; run {} was {told} to stop", run.run)
    }

    fn record_start(&mut self, now: Instant) {
        if let Some(last) = self.last_start.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    /// Adds `change` to the CPU in use on an endpoint and returns the new total.
    fn adjust_cpu_in_use(&mut self, incarnation: &CompactString, change: i64) -> u64 {
        let index = self
            .cpu_in_use
            .iter()
            .position(|(known, _)| known == incarnation);
        let index = index.unwrap_or_else(|| {
            self.cpu_in_use.push((incarnation.clone(), 0));
            self.cpu_in_use.len() - 1
        });
        let in_use = &mut self.cpu_in_use[index].1;
        *in_use = in_use.saturating_add_signed(change);
        *in_use
    }
}

/// A job that was accepted and not cancelled.
#[derive(Clone, Debug)]
pub struct ExpectedJob {
    /// Id of the job.
    pub job: JobId,
    /// Account that submitted it.
    pub account: AccountIndex,
    /// Pool in which it runs.
    pub pool: CompactString,
    /// Whether its tasks run until they are stopped.
    pub is_long_running: bool,
}

/// Records what callers and endpoints observe, and the invariants that it violates.
#[derive(Debug)]
pub struct Checker {
    state: Mutex<State>,
    started_at: Instant,
    /// CPU capacity of every endpoint, in thousandths of a core.
    cpu_millis: u64,
    /// Maximum number of VMs of a wave that may be down at the same time.
    max_down: usize,
}

impl Checker {
    /// Creates a checker that has observed nothing yet.
    #[must_use]
    pub fn new(cpu_millis: u64, max_down: usize) -> Self {
        Self {
            state: Mutex::default(),
            started_at: Instant::now(),
            cpu_millis,
            max_down,
        }
    }

    /// Returns the violations, each with the seconds since the start of the run.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let state = lock(&self.state);
        let violations = state.violations.iter();
        violations
            .map(|violation| state.describe(violation))
            .collect()
    }

    /// Adds a line to the trace.
    pub fn trace(&self, text: &str) {
        lock(&self.state).trace.push((unix_ms(), text.into()));
    }

    /// Returns the observations and faults, a line each, which begins with the time in Unix
    /// milliseconds.
    #[must_use]
    pub fn trace_lines(&self) -> Vec<String> {
        let state = lock(&self.state);
        let lines = state.trace.iter();
        lines
            .map(|(at_ms, text)| format!("{at_ms} {text}"))
            .collect()
    }

    /// Returns the number of task runs that have started.
    #[must_use]
    pub fn started_runs(&self) -> usize {
        lock(&self.state).starts
    }

    /// Returns the longest time between two starts since the last call, and resets it.
    #[must_use]
    pub fn take_longest_gap(&self) -> Duration {
        std::mem::take(&mut lock(&self.state).longest_gap)
    }

    /// Stops checking the quotas of accounts.
    pub fn lift_quotas(&self) {
        lock(&self.state).are_quotas_lifted = true;
    }

    /// Records that a fault begins.
    pub fn begin_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.trace.push((unix_ms(), format!("begin {fault:?}")));
        state.active_faults += 1;
        if fault == Fault::KillOwner {
            let now = Instant::now();
            state.outages.push((now, now + OWNER_OUTAGE));
        }
        state.hiding_faults += usize::from(fault.hides_capacities());
    }

    /// Records that a fault has ended.
    pub fn end_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.trace.push((unix_ms(), format!("end {fault:?}")));
        state.active_faults = state.active_faults.saturating_sub(1);
        state.quiet_since = state
            .quiet_since
            .max(Some(Instant::now() + fault.aftermath()));
        if fault.hides_capacities() {
            state.hiding_faults = state.hiding_faults.saturating_sub(1);
            state.shown_since = Some(Instant::now());
        }
    }

    /// Records that all faults have ended.
    pub fn end_all_faults(&self) {
        let mut state = lock(&self.state);
        state.active_faults = 0;
        state.quiet_since = state.quiet_since.max(Some(Instant::now()));
    }

    /// Returns the time until tasks of cancelled jobs must be stopped unless another fault begins,
    /// or `None` while a fault is active.
    #[must_use]
    pub fn time_until_quiet(&self) -> Option<Duration> {
        let state = lock(&self.state);
        if state.active_faults > 0 {
            return None;
        }
        let quiet_since = state.quiet_since.unwrap_or(self.started_at);
        Some((quiet_since + QUIET_TIME).saturating_duration_since(Instant::now()))
    }

    /// Checks that no task of a cancelled job runs, unless faults may still delay its stop.
    pub fn check_cancelled_jobs(&self) {
        if self.time_until_quiet() != Some(Duration::ZERO) {
            return;
        }
        let mut state = lock(&self.state);
        let mut violations = Vec::new();
        for job in &state.jobs {
            let Some(elapsed) = job.cancelled_at.map(|at| at.elapsed()) else {
                continue;
            };
            let runs = job.tasks.iter().flat_map(|(task, seen)| {
                let runs = seen.running.iter();
                runs.map(move |(incarnation, run)| format!("{task} run {run} on {incarnation}"))
            });
            let overdue = runs.filter(|_| elapsed > CANCEL_LIMIT);
            violations.extend(overdue.map(|name| {
                let elapsed_s = elapsed.as_secs_f64();
                let text = self.timestamped(&format!(
                    "{name}: runs {elapsed_s:.3} s after the cancellation of its job"
                ));
                Violation::from(text)
            }));
        }
        state.violations.append(&mut violations);
    }

    /// Records a violation.
    pub fn record_violation(&self, text: &str) {
        let text = self.timestamped(text);
        lock(&self.state).record_violation(text);
    }

    fn timestamped(&self, text: &str) -> String {
        format!("{:8.3} s  {text}", self.started_at.elapsed().as_secs_f64())
    }

    /// Records a job before it is submitted.
    pub fn record_submission(
        &self,
        id: JobId,
        account: AccountIndex,
        spec: &JobSpec,
        pool: &str,
        max_attempts: u32,
    ) {
        let mut state = lock(&self.state);
        let mut tasks = Vec::new();
        for (step, spec) in (0..).zip(&spec.steps) {
            for index in 0..spec.count {
                let task = TaskRef {
                    job: id,
                    occurrence: 0,
                    step,
                    index,
                };
                tasks.push((task, TaskRecord::default()));
            }
        }
        let job = JobRecord {
            id,
            account,
            spec: spec.clone(),
            pool: pool.into(),
            max_attempts,
            outcome: SubmissionOutcome::default(),
            accepted_at: None,
            is_started: false,
            all_started_at: None,
            is_cancel_requested: false,
            cancelled_at: None,
            tasks,
        };
        if let Err(index) = state.jobs.binary_search_by_key(&id, |job| job.id) {
            state.jobs.insert(index, job);
        }
    }

    /// Records that a job was accepted.
    pub fn record_acceptance(&self, id: JobId) {
        let mut state = lock(&self.state);
        let Some(job) = state.job(id) else {
            return;
        };
        let is_first = !job.outcome.is_accepted;
        let is_accepted_later = is_first && job.outcome.is_refused;
        job.outcome.is_accepted = true;
        job.outcome.is_pending = false;
        job.accepted_at.get_or_insert_with(Instant::now);
        state.refusals.accepted_later += usize::from(is_accepted_later);
    }

    /// Records that a job is about to be submitted, for the first time or again.
    pub fn begin_attempt(&self, id: JobId) {
        if let Some(job) = lock(&self.state).job(id) {
            job.outcome.is_pending = true;
        }
    }

    /// Records that an attempt to submit a job was denied because of its key.
    pub fn record_denial(&self, id: JobId) {
        if let Some(job) = lock(&self.state).job(id) {
            job.outcome.is_pending = false;
        }
    }

    /// Checks and records the refusal of a submission. Returns the time after which it asks for
    /// another attempt, in seconds.
    pub fn check_refusal(&self, id: JobId, refusal: &ClientResponse) -> Option<u64> {
        let value = refusal.header(header::RETRY_AFTER.as_str());
        let retry_after_s = value.and_then(parse_retry_after);
        let body = String::from_utf8_lossy(&refusal.body);
        let status = refusal.status.as_u16();
        if retry_after_s.is_none() {
            self.record_violation(&format!(
                "{id}: refused with {status} and Retry-After {value:?}, which is no whole number \
                 of seconds of at least 1: {body}"
            ));
        }
        if !body.contains(NEVER_RUNS) {
            self.record_violation(&format!(
                "{id}: refused with {status} without stating that it never runs: {body}"
            ));
        }
        let mut state = lock(&self.state);
        if refusal.status == StatusCode::TOO_MANY_REQUESTS {
            state.refusals.too_many_requests += 1;
        } else {
            state.refusals.unavailable += 1;
        }
        if let Some(job) = state.job(id) {
            job.outcome.is_pending = false;
            job.outcome.is_refused = true;
        }
        retry_after_s
    }

    /// Returns the number of refusals so far.
    #[must_use]
    pub fn refusals(&self) -> RefusalCounts {
        let state = lock(&self.state);
        let refused = state
            .jobs
            .iter()
            .filter(|job| job.outcome.is_refused && !job.outcome.is_accepted);
        RefusalCounts {
            refused_jobs: refused.count(),
            ..state.refusals
        }
    }

    /// Records that an account begins to submit more than the endpoints can do.
    pub fn begin_flood(&self, account: AccountIndex) {
        let since = Instant::now();
        lock(&self.state).flood = Some(Flood { account, since });
    }

    /// Checks at the end of a flood that the other accounts were served while it lasted.
    pub fn end_flood(&self) {
        let mut state = lock(&self.state);
        let Some(Flood { account, since }) = state.flood.take() else {
            return;
        };
        let now = Instant::now();
        let mut violations = Vec::new();
        for other in (0..ACCOUNT_COUNT).filter(|other| *other != account) {
            let mut has_ended_job = false;
            for (job, accepted_at) in state.jobs_accepted_since(other, since) {
                has_ended_job |= job.has_ended();
                let started_at = job.all_started_at.unwrap_or(now);
                let waited = state.time_with_owner(accepted_at, started_at);
                if waited > SERVED_WITHIN {
                    violations.push(format!(
                        "{}: a job of {} waited {:.3} s with an owner while {} flooded",
                        job.id,
                        account_name(other),
                        waited.as_secs_f64(),
                        account_name(account)
                    ));
                }
            }
            if !has_ended_job {
                violations.push(format!(
                    "no job of {} was accepted and ended while {} flooded",
                    account_name(other),
                    account_name(account)
                ));
            }
        }
        for violation in violations {
            let text = self.timestamped(&violation);
            state.record_violation(text);
        }
    }

    /// Records that the outcome of a submission is unknown.
    pub fn record_unknown_outcome(&self, id: JobId) {
        if let Some(job) = lock(&self.state).job(id) {
            job.outcome.is_unknown = true;
            job.outcome.is_pending = false;
        }
    }

    /// Records that a cancellation is about to be requested.
    pub fn record_cancel_request(&self, id: JobId) {
        if let Some(job) = lock(&self.state).job(id) {
            job.is_cancel_requested = true;
        }
    }

    /// Records that a cancellation was acknowledged.
    pub fn record_cancellation(&self, id: JobId) {
        if let Some(job) = lock(&self.state).job(id) {
            job.cancelled_at.get_or_insert_with(Instant::now);
        }
    }

    /// Checks the state of a job that a caller received; `None` means that the job is unknown.
    pub fn check_reported_state(&self, id: JobId, reported: Option<JobState>) {
        let mut state = lock(&self.state);
        let Some(job) = state.job(id) else {
            return;
        };
        let is_complete = job.tasks.iter().all(|(_, task)| task.has_completed);
        let max_attempts = job.max_attempts;
        let may_fail = job.tasks.iter().any(|(_, task)| {
            task.failures >= max_attempts || task.lost_endpoints >= GIVEN_UP_AFTER_CRASHES
        });
        let violation = match reported {
            None if job.outcome.is_accepted => Some("an accepted job is unknown"),
            Some(JobState::Completed) if !is_complete => Some("reported as completed too early"),
            Some(JobState::Failed) if !may_fail => Some("reported as failed with attempts left"),
            Some(JobState::Cancelled) if !job.is_cancel_requested => {
                Some("reported as cancelled without a cancel request")
            }
            _ => None,
        };
        if let Some(violation) = violation {
            let text = self.timestamped(&format!("{id}: {violation}"));
            state.record_violation(text);
        }
    }

    /// Returns the accepted jobs for which no cancellation was requested.
    #[must_use]
    pub fn expected_jobs(&self) -> Vec<ExpectedJob> {
        let state = lock(&self.state);
        let expected = state
            .jobs
            .iter()
            .filter(|job| job.outcome.is_accepted && !job.is_cancel_requested);
        expected
            .map(|job| {
                let is_long_running = job.spec.steps.iter().any(|step| step.long_running);
                ExpectedJob {
                    job: job.id,
                    account: job.account,
                    pool: job.pool.clone(),
                    is_long_running,
                }
            })
            .collect()
    }

    /// Returns the number of running tasks of a job, and of all its tasks.
    #[must_use]
    pub fn count_running_tasks(&self, id: JobId) -> (usize, usize) {
        let mut state = lock(&self.state);
        state.job(id).map_or((0, 0), |job| {
            let running = job
                .tasks
                .iter()
                .filter(|(_, task)| !task.running.is_empty());
            (running.count(), job.tasks.len())
        })
    }

    /// Checks at the end of a run that no job ran whose every submission was rejected.
    pub fn check_rejected_jobs(&self) {
        let mut state = lock(&self.state);
        let rejected: Vec<JobId> = state
            .jobs
            .iter()
            .filter(|job| job.outcome.is_rejected() && job.is_started)
            .map(|job| job.id)
            .collect();
        for id in rejected {
            let text =
                self.timestamped(&format!("{id}: ran although every submission was rejected"));
            state.record_violation(text);
        }
    }

    /// Checks an observation of a stand-in.
    pub fn observe(&self, observation: Observation) {
        let mut state = lock(&self.state);
        state.trace.push((unix_ms(), format!("{observation:?}")));
        let violations = match observation {
            Observation::Started {
                incarnation,
                pool,
                task,
                run,
                payload,
            } => {
                let texts = self.check_start(&mut state, &incarnation, &pool, task, run, &payload);
                let started = RunOn { incarnation, run };
                let violation = |text| Violation::of_run(text, task, started.clone());
                texts.into_iter().map(violation).collect()
            }
            Observation::Ended {
                incarnation,
                task,
                run,
                end,
                number,
            } => {
                record_end(&mut state, &incarnation, &task, run, end, number);
                Vec::new()
            }
            Observation::Acknowledged {
                task,
                run,
                end,
                acknowledged,
                is_listed,
            } => {
                let mut violations = check_ack(&mut state, &task, run, end, acknowledged);
                if !is_listed {
                    violations.push(Violation::from(format!(
                        "{task} run {run}: its end as {end:?} is acknowledged up to {acknowledged} \
                         before a report has listed it"
                    )));
                }
                violations
            }
            Observation::StopOrdered {
                incarnation,
                task,
                run,
            } => {
                let job = state.job(task.job);
                if let Some(known) = job.and_then(|job| job.task(&task)) {
                    known.stops.push(RunOn { incarnation, run });
                }
                Vec::new()
            }
            Observation::EndsExpired { incarnation } => {
                forget_unacknowledged(&mut state, &incarnation);
                Vec::new()
            }
            Observation::CapacityShown {
                incarnation,
                cpu_millis,
            } => {
                state.record_capacity(incarnation, cpu_millis);
                Vec::new()
            }
            Observation::VmOrder {
                vm,
                holder,
                fencing_token,
            } => {
                let texts = check_vm_order(&mut state, vm, holder, fencing_token);
                texts.into_iter().map(Violation::from).collect()
            }
            Observation::MaintenanceStarted {
                vm,
                wave,
                others_down,
            } if others_down >= self.max_down => {
                vec![Violation::from(format!(
                    "{vm}: maintenance of wave {wave} while {others_down} other VMs are down"
                ))]
            }
            Observation::Renewed { .. } | Observation::MaintenanceStarted { .. } => Vec::new(),
        };
        for violation in violations {
            let text = self.timestamped(&violation.text);
            state.violations.push(Violation { text, ..violation });
        }
    }

    fn check_start(
        &self,
        state: &mut State,
        incarnation: &CompactString,
        pool: &CompactString,
        task: TaskRef,
        run: u32,
        payload: &CompactString,
    ) -> Vec<String> {
        state.starts += 1;
        state.record_start(Instant::now());
        let name = format!("{task} run {run} on {incarnation}");
        let Some(job) = state.job(task.job) else {
            return vec![format!("{name}: its job was never submitted")];
        };
        job.is_started = true;
        let mut violations = Vec::new();
        if job.outcome.is_rejected() {
            violations.push(format!(
                "{name}: started although every submission so far was rejected"
            ));
        }
        if job.spec.payload != *payload {
            violations.push(format!("{name}: payload differs from that of its job"));
        }
        if job.pool != *pool {
            violations.push(format!("{name}: started in the wrong pool {pool}"));
        }
        let is_late = |at: Instant| at.elapsed().as_millis() > CANCEL_GRACE_MS;
        if job.cancelled_at.is_some_and(is_late) {
            violations.push(format!(
                "{name}: started too long after its job was cancelled"
            ));
        }
        let step = job.spec.steps.get(usize::from(task.step));
        let depends_on = step.map(|step| step.depends_on.clone()).unwrap_or_default();
        if !depends_on
            .iter()
            .all(|&earlier| job.is_step_complete(earlier))
        {
            violations.push(format!(
                "{name}: started before a step that it depends on was done"
            ));
        }
        let max_attempts = job.max_attempts;
        let is_long_running = step.is_some_and(|step| step.long_running);
        let cpu_millis = job.cpu_millis(&task);
        let Some(known) = job.task(&task) else {
            return vec![format!("{name}: its job has no such task")];
        };
        if let Some((other, other_run)) = known.running.first() {
            violations.push(format!(
                "{name}: run {other_run} is still in progress on {other}"
            ));
        }
        if let Some(earlier) = &known.acknowledged {
            violations.push(format!(
                "{name}: started after its completion was acknowledged: {earlier}"
            ));
        }
        known.record_start(incarnation, run);
        if !is_long_running && known.failures_acknowledged >= max_attempts {
            violations.push(format!(
                "{name}: started after its last allowed failure was acknowledged"
            ));
        } else if !is_long_running && known.failures >= max_attempts {
            known.starts_after_last_failure += 1;
        }
        if known.crashes >= COUNTED_AFTER_CRASHES {
            known.starts_after_crashes += 1;
            if known.starts_after_crashes > MAX_STARTS_AFTER_CRASHES {
                violations.push(format!(
                    "{name}: start {} after the task crashed {COUNTED_AFTER_CRASHES} endpoints",
                    known.starts_after_crashes
                ));
            }
        }
        known.running.push((incarnation.clone(), run));
        if job.tasks.iter().all(|(_, task)| task.has_started) {
            job.all_started_at.get_or_insert_with(Instant::now);
        }
        let account = job.account;
        let running = state.running_cpu_millis(account);
        let quota = highest_quota(account).filter(|_| !state.are_quotas_lifted);
        if quota.is_some_and(|quota| running > quota) {
            violations.push(format!(
                "{name}: its account uses {running} millicores, more than any quota"
            ));
        }
        let used =
            state.adjust_cpu_in_use(incarnation, i64::try_from(cpu_millis).unwrap_or_default());
        if used > self.cpu_millis {
            violations.push(format!(
                "{name}: {used} of {} millicores are in use on the endpoint",
                self.cpu_millis
            ));
        } else if let Some(limit) = state.capacity_limit(incarnation, Instant::now())
            && used > limit
        {
            violations.push(format!(
                "{name}: {used} millicores are in use on the endpoint, which last showed {limit}"
            ));
        }
        violations
    }
}

/// Returns the time in Unix milliseconds, as in the logs of nodes.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the value of a `Retry-After` header if it is a whole number of seconds of at least 1.
fn parse_retry_after(value: &str) -> Option<u64> {
    let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
    let retry_after_s = value.parse().ok().filter(|seconds| *seconds > 0);
    retry_after_s.filter(|_| is_number)
}

fn record_end(
    state: &mut State,
    incarnation: &CompactString,
    task: &TaskRef,
    run: u32,
    end: ObservedEnd,
    number: Option<u64>,
) {
    let Some(job) = state.job(task.job) else {
        return;
    };
    let cpu_millis = job.cpu_millis(task);
    if let Some(known) = job.task(task) {
        known
            .running
            .retain(|(at, known_run)| at != incarnation || *known_run != run);
        match end {
            ObservedEnd::Done => {
                known.done.push(DoneRun {
                    run: RunOn {
                        incarnation: incarnation.clone(),
                        run,
                    },
                    number,
                    later: Vec::new(),
                });
                known.has_completed = true;
            }
            ObservedEnd::Failed => known.failures += 1,
            ObservedEnd::Lost => known.lost_endpoints += 1,
            ObservedEnd::Crashed => {
                known.lost_endpoints += 1;
                known.crashes += 1;
            }
            ObservedEnd::Stopped | ObservedEnd::Lapsed => {}
        }
    }
    state.adjust_cpu_in_use(incarnation, -i64::try_from(cpu_millis).unwrap_or_default());
}

/// Forgets the completed runs of an incarnation whose ends can no longer be acknowledged.
fn forget_unacknowledged(state: &mut State, incarnation: &CompactString) {
    for (_, known) in state.jobs.iter_mut().flat_map(|job| &mut job.tasks) {
        known
            .done
            .retain(|done| done.run.incarnation != *incarnation);
    }
}

fn check_ack(
    state: &mut State,
    task: &TaskRef,
    run: u32,
    end: ObservedEnd,
    acknowledged: u64,
) -> Vec<Violation> {
    let Some(job) = state.job(task.job) else {
        return Vec::new();
    };
    let max_attempts = job.max_attempts;
    let Some(known) = job.task(task) else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    if let Some(done) = known.done.iter().find(|done| done.run.run == run) {
        let earlier = AcknowledgedRun {
            run: done.run.clone(),
            number: done.number,
            acknowledged,
        };
        for later in &done.later {
            let text = format!("{task} {later}: started again after {earlier}");
            violations.push(Violation::of_run(text, *task, later.clone()));
        }
        known.acknowledged = Some(earlier);
    }
    if end == ObservedEnd::Failed {
        known.failures_acknowledged += 1;
        if known.failures_acknowledged >= max_attempts && known.starts_after_last_failure > 0 {
            violations.push(Violation::from(format!(
                "{task}: started again after its last allowed failure"
            )));
        }
    }
    violations
}

fn check_vm_order(
    state: &mut State,
    vm: CompactString,
    holder: CompactString,
    fencing_token: u64,
) -> Vec<String> {
    let Some(index) = state.orders.iter().position(|(known, ..)| *known == vm) else {
        state.orders.push((vm, fencing_token, holder));
        return Vec::new();
    };
    let (_, highest, known_holder) = &mut state.orders[index];
    if fencing_token < *highest {
        return vec![format!(
            "{vm}: order with fencing token {fencing_token} after one with {highest}"
        )];
    }
    if fencing_token == *highest && *known_holder != holder {
        return vec![format!(
            "{vm}: {holder} and {known_holder} both use fencing token {fencing_token}"
        )];
    }
    *highest = fencing_token;
    *known_holder = holder;
    Vec::new()
}
