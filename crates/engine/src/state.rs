//! Jobs in progress: their tasks and the runs of each task.

use {
    crate::{
        config::Queue,
        crash_history::CrashHistoryRecord,
        event::{EndpointKey, Now, ReplyToken},
        job::{JobId, JobSpec, JobState, MAX_OPEN_TASKS, StepSpec, TaskRef},
        pacing::RunPace,
        quota::AccountNumber,
        restarts::LATE_CALL_MS,
    },
    compact_str::CompactString,
    std::net::SocketAddr,
};

/// Progress of starting a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Decided; the order is sent once the decision is stored.
    Placed,
    /// The order was sent and has no response yet.
    Ordered,
    /// The order got no response and may still take effect.
    Unanswered,
    /// The endpoint has confirmed the run.
    Confirmed,
    /// Decided by a previous owner and not yet confirmed by the endpoint.
    Inherited,
}

/// Progress of stopping a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// It is not to be stopped.
    None,
    /// Decided; the order is sent once the decision is stored.
    Decided,
    /// The decision is stored, so that the order may be sent.
    Stored,
    /// The endpoint has executed the order, so that the run can no longer start there. Reports show
    /// when it has ended.
    Executed,
}

/// One run of a task, from the decision to start it until it is known to have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Run number.
    pub run: u32,
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Progress of the start.
    pub phase: Phase,
    /// Number of renewals sent to the endpoint when the run was confirmed. Only a report of a later
    /// renewal that omits the run proves that it has ended.
    pub confirmed_at_renewal: u64,
    /// Whether a try of the start got no answer, so that it may have taken effect or may still do so
    /// until the run is confirmed or its stop is executed.
    pub may_start_late: bool,
    /// When the last try of the start without an answer was given up, on the monotonic clock.
    pub unanswered_at_ms: u64,
    /// Whether a try of the start may still take effect although the run was confirmed, as it was moved
    /// to another incarnation since, which need not know it.
    pub may_start_again: bool,
    /// Whether the endpoint has rejected a retry of the start, and would reject others.
    pub is_rejected: bool,
    /// Progress of stopping the run.
    pub stop: StopPhase,
    /// When the stop was decided, on the monotonic clock; `None` before that, or if a previous
    /// owner decided it.
    pub stopping_since_ms: Option<u64>,
    /// When it was last logged that the run is listed although it is to be stopped, on the
    /// monotonic clock; 0 for never.
    pub unwanted_logged_at_ms: u64,
    /// Earliest time to retry an order, on the monotonic clock.
    pub retry_at_ms: u64,
    /// When the start was decided, on the monotonic clock; 0 if a previous owner decided it.
    pub decided_at_ms: u64,
    /// When the run was first known to be active, on the endpoint's clock, which all owners can read.
    pub active_since_clock_ms: Option<u64>,
    /// For how long reports to this owner or an earlier one show the run as active, in milliseconds.
    pub active_ms: u64,
    /// Progress in percent; 100 for a long-running task that is working.
    pub percent: u32,
    /// When progress was last observed, on the endpoint's clock; `None` before the first report.
    pub progress_clock_ms: Option<u64>,
    /// Speed as ordered and as known.
    pub pace: RunPace,
}

impl Attempt {
    /// Creates an attempt whose decision is not stored yet.
    #[must_use]
    pub fn new(run: u32, endpoint: EndpointKey, decided_at_ms: u64) -> Self {
        Self {
            run,
            endpoint,
            phase: Phase::Placed,
            confirmed_at_renewal: 0,
            may_start_late: false,
            unanswered_at_ms: 0,
            may_start_again: false,
            is_rejected: false,
            stop: StopPhase::None,
            stopping_since_ms: None,
            unwanted_logged_at_ms: 0,
            retry_at_ms: 0,
            decided_at_ms,
            active_since_clock_ms: None,
            active_ms: 0,
            percent: 0,
            progress_clock_ms: None,
            // A previous owner, which decided at an unknown time, may have ordered any.
            pace: if decided_at_ms == 0 {
                RunPace::unknown()
            } else {
                RunPace::new()
            },
        }
    }

    /// Moves the run to another incarnation of its endpoint, whose reports decide on it from now on.
    pub(crate) fn move_to(&mut self, endpoint: EndpointKey, renewals: u64, now: Now) {
        self.endpoint = endpoint;
        self.confirmed_at_renewal = renewals;
        self.active_since_clock_ms = None;
        self.active_ms = 0;
        self.progress_clock_ms = None;
        // It starts at full speed, and orders under way may reach either incarnation.
        self.pace = RunPace::unknown();
        // That one has executed no stop yet.
        self.stop = self.stop.min(StopPhase::Stored);
        self.may_start_again = self.has_late_try(now);
        if matches!(self.phase, Phase::Ordered | Phase::Unanswered) {
            self.await_stop(now);
        }
    }

    /// Returns whether a try of the start may still be on its way to the endpoint.
    pub(crate) fn has_late_try(&self, now: Now) -> bool {
        self.may_start_late && now.steady_ms < self.unanswered_at_ms + LATE_CALL_MS
    }

    /// Marks the run as one that may still start, unless a stop rules that out.
    pub(crate) fn await_stop(&mut self, now: Now) {
        if !self.may_start_late {
            self.unanswered_at_ms = now.steady_ms;
        }
        self.phase = Phase::Unanswered;
        self.may_start_late = true;
        self.is_rejected = true;
    }

    /// Returns whether the run is to be stopped.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop > StopPhase::None
    }

    /// Returns whether an order to stop the run may be sent, as the decision is stored.
    #[must_use]
    pub fn is_stop_stored(&self) -> bool {
        self.stop >= StopPhase::Stored
    }

    /// Returns whether a previous owner decided the start.
    #[must_use]
    pub fn is_inherited(&self) -> bool {
        self.decided_at_ms == 0
    }

    /// Returns the time since the start was decided, in milliseconds; `None` if a previous owner
    /// decided it.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        let is_own = !self.is_inherited();
        is_own.then(|| now.steady_ms.saturating_sub(self.decided_at_ms))
    }
}

/// A run that was removed when its lease expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Whether its start is unlikely to have caused a crash.
    pub is_unlikely: bool,
    /// Whether a crash would seem to be an immediate effect of its start.
    pub is_immediate: bool,
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    /// Highest run number.
    pub run: u32,
    /// Number of failed runs.
    pub failed_runs: u32,
    /// Whether a run has completed.
    pub is_done: bool,
    /// Latest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Runs that may be active.
    pub attempts: Vec<Attempt>,
    /// Earliest time of the next start, on the monotonic clock.
    pub not_before_ms: u64,
    /// Endpoint on which the task last failed.
    pub avoided_endpoint: Option<EndpointKey>,
    /// Number of endpoints that crashed under its runs.
    pub crashes: u32,
    /// Those of them that its starts are unlikely to have caused.
    pub unlikely_crashes: u32,
    /// Those of the others for which only tasks of its job were charged.
    pub unshared_crashes: u32,
    /// Those that seem to be immediate effects of its starts.
    pub immediate_crashes: u32,
    /// Number of other crashes in the pools of its endpoints, from shortly before its first crash to its
    /// last one.
    pub other_crashes: u32,
    /// Number of the last recent crash that was counted.
    pub(crate) counted_crash: u64,
    /// Runs whose leases expired on endpoints that may have crashed, the latest last.
    pub lost_runs: Vec<LostRun>,
    /// Time until which it waits for an empty endpoint after crashes, on the monotonic clock.
    pub isolate_until_ms: u64,
}

impl Task {
    /// Returns whether the task waits for a start.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.attempts.is_empty()
    }
}

/// Tasks of one step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepRun {
    /// Tasks.
    pub tasks: Vec<Task>,
}

impl StepRun {
    /// Creates a step without runs.
    #[must_use]
    pub fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); usize::from(spec.count)],
        }
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn waiting_tasks(&self) -> u64 {
        let count = self.tasks.iter().filter(|task| task.is_waiting()).count();
        u64::try_from(count).unwrap_or_default()
    }

    /// Returns whether every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Occurrence {
    /// Occurrence number, from 0.
    pub number: u32,
    /// Steps.
    pub steps: Vec<StepRun>,
}

impl Occurrence {
    /// Creates an occurrence without runs.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        Self {
            number,
            steps: spec.steps.iter().map(StepRun::new).collect(),
        }
    }

    /// Returns whether every step is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }

    /// Returns whether every step that `spec` depends on is done.
    #[must_use]
    pub fn is_open(&self, spec: &StepSpec) -> bool {
        spec.depends_on
            .iter()
            .all(|&before| self.steps[usize::from(before)].is_done())
    }
}

/// A job that has not ended or that still has active runs.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Queue as configured at submission, or by a later configuration.
    pub queue: Queue,
    /// Job description.
    pub spec: JobSpec,
    /// Client account that submitted the job; empty for none.
    pub account: CompactString,
    /// Number of the account in the quota tracker.
    pub account_number: AccountNumber,
    /// Wall-clock time of submission, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Current state.
    pub state: JobState,
    /// State visible to callers; `None` until the job is stored.
    pub visible_state: Option<JobState>,
    /// Occurrences that have started and are not done.
    pub occurrences: Vec<Occurrence>,
    /// Number of the next occurrence to start.
    pub next_occurrence: u32,
    /// Whether the job differs from its stored record.
    pub is_dirty: bool,
    /// State of the record of the crash history.
    pub(crate) crash_history: CrashHistoryRecord,
    /// Whether the current job description is stored or on its way to the store.
    pub is_spec_stored: bool,
    /// Whether any record of the job was sent to the store.
    pub was_sent: bool,
    /// Node that keeps the payload for a while, if known.
    pub origin: Option<SocketAddr>,
    /// Callers that wait for the job to be stored.
    pub waiting_callers: Vec<ReplyToken>,
    /// When the job ended, on the monotonic clock.
    pub ended_ms: u64,
}

impl Job {
    /// Creates a newly submitted job.
    #[must_use]
    pub fn new(id: JobId, queue: Queue, spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            id,
            queue,
            spec,
            account: CompactString::default(),
            account_number: AccountNumber::default(),
            accepted_ms,
            state: JobState::Queued,
            visible_state: None,
            occurrences: Vec::new(),
            next_occurrence: 0,
            is_dirty: true,
            crash_history: CrashHistoryRecord::default(),
            is_spec_stored: false,
            was_sent: false,
            origin: None,
            waiting_callers: Vec::new(),
            ended_ms: 0,
        }
    }

    /// Sets the client account that submitted the job.
    #[must_use]
    pub fn with_account(mut self, account: CompactString) -> Self {
        self.account = account;
        self
    }

    /// Returns whether no record of the job was ever sent to the store.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !self.was_sent
    }

    /// Returns whether the description is known; an owner may have found only the progress.
    #[must_use]
    pub fn has_spec(&self) -> bool {
        !self.spec.steps.is_empty()
    }

    /// Returns whether any occurrence has not started.
    #[must_use]
    pub fn has_future_occurrences(&self) -> bool {
        self.has_spec() && self.next_occurrence < self.spec.occurrences()
    }

    /// Returns whether the next occurrence is due.
    #[must_use]
    pub fn is_next_occurrence_due(&self, wall_ms: u64) -> bool {
        self.has_future_occurrences() && self.spec.due_ms(self.next_occurrence) <= wall_ms
    }

    /// Starts the occurrences that are due, as far as the tasks of all open ones can be held.
    pub fn begin_due_occurrences(&mut self, wall_ms: u64) {
        if !self.is_next_occurrence_due(wall_ms) {
            return;
        }
        let tasks = self.spec.task_count();
        let open = self.occurrences.iter().filter(|known| !known.is_done());
        let mut open = open.count();
        while self.is_next_occurrence_due(wall_ms)
            && (open == 0 || (open + 1) * tasks <= MAX_OPEN_TASKS)
        {
            open += 1;
            self.occurrences
                .push(Occurrence::new(self.next_occurrence, &self.spec));
            self.next_occurrence += 1;
            self.is_dirty = true;
        }
    }

    /// Returns the step of a task.
    #[must_use]
    pub fn step(&self, task: &TaskRef) -> Option<&StepRun> {
        let occurrence = self
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, task: &TaskRef) -> Option<&Task> {
        self.step(task)?.tasks.get(usize::from(task.index))
    }

    /// Returns a mutable reference to a task.
    pub fn task_mut(&mut self, task: &TaskRef) -> Option<&mut Task> {
        let step = self.step_mut(task)?;
        step.tasks.get_mut(usize::from(task.index))
    }

    /// Returns a mutable reference to the step of a task.
    pub fn step_mut(&mut self, task: &TaskRef) -> Option<&mut StepRun> {
        let occurrence = self
            .occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    /// Returns the description of a task's step.
    #[must_use]
    pub fn step_spec(&self, task: &TaskRef) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step))
    }

    /// Returns every task with its reference.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            occurrence
                .steps
                .iter()
                .zip(0_u16..)
                .flat_map(move |(step, number)| {
                    step.tasks.iter().zip(0_u16..).map(move |(task, index)| {
                        let task_ref = TaskRef {
                            job: self.id,
                            occurrence: occurrence.number,
                            step: number,
                            index,
                        };
                        (task_ref, task)
                    })
                })
        })
    }

    /// Returns whether any run may be active.
    #[must_use]
    pub fn has_attempts(&self) -> bool {
        self.tasks().any(|(_, task)| !task.attempts.is_empty())
    }

    /// Removes occurrences that are done, and returns whether the whole job is done.
    pub fn drop_done_occurrences(&mut self) -> bool {
        self.occurrences.retain(|occurrence| {
            let is_done = occurrence.steps.iter().all(StepRun::is_done);
            let is_idle = occurrence
                .steps
                .iter()
                .flat_map(|step| &step.tasks)
                .all(|task| task.attempts.is_empty());
            !(is_done && is_idle)
        });
        let is_begun = !self.has_future_occurrences();
        let is_done = self
            .occurrences
            .iter()
            .all(|occurrence| occurrence.steps.iter().all(StepRun::is_done));
        is_begun && is_done
    }
}
