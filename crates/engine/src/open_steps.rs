//! Steps whose tasks wait for a start, in the order in which they should begin.

use {
    crate::{
        balance::needs_members,
        event::Now,
        free_capacity::PoolNumber,
        job::{JobId, Resources, StepSpec, TaskRef},
        quota::AccountNumber,
        state::{Job, StepRun},
        timing::{Timing, Urgency},
    },
    std::cmp::Reverse,
};

/// An open step with tasks that wait, or that has to be counted in its pool for what it needs.
#[derive(Clone, Debug)]
pub(crate) struct OpenStep {
    /// First task of the step.
    pub(crate) first_task: TaskRef,
    pub(crate) pool: PoolNumber,
    /// Tasks that wait.
    pub(crate) waiting: u64,
    /// Room that each of them takes of an endpoint.
    pub(crate) reserved: Resources,
    /// Room that each of them takes of its account's quota.
    pub(crate) requested: Resources,
    pub(crate) account: AccountNumber,
    priority: u32,
    is_long_running: bool,
    timing: Timing,
}

impl OpenStep {
    fn new(job: &Job, pool: PoolNumber, occurrence: usize, step: usize) -> Self {
        let spec = &job.spec.steps[step];
        let run = &job.occurrences[occurrence];
        Self {
            first_task: TaskRef {
                job: job.id,
                occurrence: run.number,
                step: u16::try_from(step).unwrap_or(u16::MAX),
                index: 0,
            },
            pool,
            waiting: waiting_tasks(&run.steps[step]),
            reserved: spec.reserved_resources(),
            requested: spec.resources,
            account: job.account_number,
            priority: job.queue.priority,
            is_long_running: spec.long_running,
            timing: Timing::new(job, occurrence),
        }
    }

    /// Tells whether its job cannot be on time any more. A long-running task is never late: every
    /// second away is lost.
    pub(crate) fn is_late(&self, now: Now) -> bool {
        !self.is_long_running && self.timing.slack_ms(now) < 0
    }

    /// Returns its place in the order of starts; steps without waiting tasks come last.
    fn rank(&self, now: Now) -> (Reverse<bool>, Urgency, u32, i64, TaskRef) {
        let urgency = if self.is_long_running {
            Urgency::LongRunning
        } else {
            self.timing.urgency(now)
        };
        let slack_ms = self.timing.slack_ms(now);
        let has_waiting = Reverse(self.waiting > 0);
        (
            has_waiting,
            urgency,
            self.priority,
            slack_ms,
            self.first_task,
        )
    }
}

fn waiting_tasks(step: &StepRun) -> u64 {
    let count = step.tasks.iter().filter(|task| task.is_waiting()).count();
    u64::try_from(count).unwrap_or_default()
}

/// Open steps, in the order of starts as it was when they were sorted last.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenSteps {
    steps: Vec<OpenStep>,
}

impl OpenSteps {
    /// Forgets the steps of jobs; the ids are sorted.
    pub(crate) fn forget(&mut self, jobs: &[JobId]) {
        self.steps
            .retain(|step| jobs.binary_search(&step.first_task.job).is_err());
    }

    /// Adds the open steps of a job.
    pub(crate) fn add(&mut self, job: &Job, pool: PoolNumber) {
        if job.state.is_final() {
            return;
        }
        for (at, occurrence) in job.occurrences.iter().enumerate() {
            let steps = occurrence.steps.iter().zip(&job.spec.steps).enumerate();
            for (number, (step, spec)) in steps {
                if is_relevant(step, spec) && occurrence.is_open(spec) {
                    self.steps.push(OpenStep::new(job, pool, at, number));
                }
            }
        }
    }

    /// Sorts the steps by their urgency; between two times little changes, which sorts fast.
    pub(crate) fn sort(&mut self, now: Now) {
        self.steps.sort_by_key(|step| step.rank(now));
    }

    /// Returns the step at a place in the order of starts; nothing from where no tasks wait on.
    pub(crate) fn waiting_at(&self, index: usize) -> Option<&OpenStep> {
        self.steps.get(index).filter(|step| step.waiting > 0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenStep> {
        self.steps.iter()
    }
}

fn is_relevant(step: &StepRun, spec: &StepSpec) -> bool {
    needs_members(spec) || step.tasks.iter().any(crate::state::Task::is_waiting)
}
