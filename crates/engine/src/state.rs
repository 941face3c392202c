//! Jobs in progress: what is known of each task and of its runs.

use {
    crate::{
        config::Queue,
        event::{EndpointKey, ReplyToken},
        job::{JobId, JobSpec, JobState, StepSpec, TaskRef},
        quota::AccountNumber,
    },
    compact_str::CompactString,
    std::net::SocketAddr,
};

/// What is known of a run's start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Decided; the order goes out when the decision is stored.
    Placed,
    /// The order is under way.
    Ordered,
    /// The order got no answer and may be carried out late.
    Unanswered,
    /// The endpoint has the run.
    Confirmed,
    /// Decided by an earlier owner; the endpoint has not been asked yet.
    Inherited,
}

/// One run of a task, from the decision to its proven end.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the run.
    pub run: u32,
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// What is known of its start.
    pub phase: Phase,
    /// Renewals sent to the endpoint when the run was confirmed; only a later report that leaves
    /// the run out proves that it is over.
    pub confirmed_at_renewal: u64,
    /// Whether an order without answer may still be carried out.
    pub may_start_late: bool,
    /// Whether it is to be stopped.
    pub is_stopping: bool,
    /// Whether the decision to stop it is stored, so that the order may go out.
    pub is_stop_stored: bool,
    /// When an order for it may be repeated, on the steady clock.
    pub retry_at_ms: u64,
    /// When it was decided, on the steady clock.
    pub decided_at_ms: u64,
    /// How much is done, or 100 for a long-running task at work.
    pub percent: u32,
    /// When it showed progress last, on the endpoint's clock; nothing before the first report.
    pub progress_clock_ms: Option<u64>,
    /// Share of its speed that was asked for.
    pub pace: u8,
}

impl Attempt {
    /// Creates an attempt that waits for its decision to be stored.
    #[must_use]
    pub fn new(run: u32, endpoint: EndpointKey, decided_at_ms: u64) -> Self {
        Self {
            run,
            endpoint,
            phase: Phase::Placed,
            confirmed_at_renewal: 0,
            may_start_late: false,
            is_stopping: false,
            is_stop_stored: false,
            retry_at_ms: 0,
            decided_at_ms,
            percent: 0,
            progress_clock_ms: None,
            pace: 100,
        }
    }
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    /// Highest number of a run.
    pub run: u32,
    /// Runs that ended as failed.
    pub failed_runs: u32,
    /// Whether a run has ended as done.
    pub is_done: bool,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Runs that may be under way.
    pub attempts: Vec<Attempt>,
    /// Earliest next start, on the steady clock.
    pub not_before_ms: u64,
    /// Endpoint on which it failed last.
    pub avoided_endpoint: Option<EndpointKey>,
}

impl Task {
    /// Tells whether the task waits for a start.
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
    /// Creates a step of which nothing has run.
    #[must_use]
    pub fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); usize::from(spec.count)],
        }
    }

    /// Tells whether every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Occurrence {
    /// Number, from 0.
    pub number: u32,
    /// Steps.
    pub steps: Vec<StepRun>,
}

impl Occurrence {
    /// Creates an occurrence of which nothing has run.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        Self {
            number,
            steps: spec.steps.iter().map(StepRun::new).collect(),
        }
    }

    /// Tells whether every step before one is done.
    #[must_use]
    pub fn is_open(&self, spec: &StepSpec) -> bool {
        spec.depends_on
            .iter()
            .all(|&before| self.steps[usize::from(before)].is_done())
    }
}

/// A job that has not ended, or whose tasks still run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Queue, as it was at the hand-in or in a later configuration.
    pub queue: Queue,
    /// What the caller sent.
    pub spec: JobSpec,
    /// Client account that handed it in; empty for none.
    pub account: CompactString,
    /// Its number in the quotas' ledger.
    pub account_number: AccountNumber,
    /// Time of day of the hand-in, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// State.
    pub state: JobState,
    /// State that is stored, and so may be told.
    pub visible_state: Option<JobState>,
    /// Occurrences that have begun and are not all done.
    pub occurrences: Vec<Occurrence>,
    /// First occurrence that has not begun.
    pub next_occurrence: u32,
    /// Whether it differs from what is stored.
    pub is_dirty: bool,
    /// Whether what the caller sent is stored.
    pub is_spec_stored: bool,
    /// Node that keeps the payload for a while, if one is known to.
    pub origin: Option<SocketAddr>,
    /// Callers that wait for the hand-in to be stored.
    pub waiting_callers: Vec<ReplyToken>,
    /// When it ended, on the steady clock.
    pub ended_ms: u64,
}

impl Job {
    /// Creates a job that was just handed in.
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
            is_spec_stored: false,
            origin: None,
            waiting_callers: Vec::new(),
            ended_ms: 0,
        }
    }

    /// Sets the client account that handed the job in.
    #[must_use]
    pub fn with_account(mut self, account: CompactString) -> Self {
        self.account = account;
        self
    }

    /// Tells whether nothing of the job was ever sent to the store.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        self.visible_state.is_none() && !self.is_spec_stored
    }

    /// Tells whether some occurrence has not begun.
    #[must_use]
    pub fn has_future_occurrences(&self) -> bool {
        self.next_occurrence < self.spec.occurrences()
    }

    /// Tells whether the next occurrence is due.
    #[must_use]
    pub fn is_next_occurrence_due(&self, wall_ms: u64) -> bool {
        self.has_future_occurrences() && self.spec.due_ms(self.next_occurrence) <= wall_ms
    }

    /// Begins the occurrences that are due.
    pub fn begin_due_occurrences(&mut self, wall_ms: u64) {
        while self.is_next_occurrence_due(wall_ms) {
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

    /// Returns a task to change.
    pub fn task_mut(&mut self, task: &TaskRef) -> Option<&mut Task> {
        let step = self.step_mut(task)?;
        step.tasks.get_mut(usize::from(task.index))
    }

    /// Returns the step of a task to change.
    pub fn step_mut(&mut self, task: &TaskRef) -> Option<&mut StepRun> {
        let occurrence = self
            .occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    /// Returns what the caller said of a task's step.
    #[must_use]
    pub fn step_spec(&self, task: &TaskRef) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step))
    }

    /// Returns every task with its name.
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

    /// Tells whether a run may be under way.
    #[must_use]
    pub fn has_attempts(&self) -> bool {
        self.tasks().any(|(_, task)| !task.attempts.is_empty())
    }

    /// Drops occurrences that are done; returns whether the whole job is.
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
