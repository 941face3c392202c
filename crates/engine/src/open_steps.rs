//! Steps with waiting tasks, in the order in which they start.

use {
    crate::{
        balance::needs_members,
        crashes::Suspicion,
        event::Now,
        free_capacity::PoolNumber,
        job::{JobId, JobState, Resources, StepSpec, TaskRef},
        quota::AccountNumber,
        state::{Job, StepRun},
        timing::{Timing, Urgency},
        waiting_work::open_step_work,
    },
    std::cmp::Reverse,
};

/// An open step with waiting tasks, or with requirements that count for its pool.
#[derive(Clone, Debug)]
pub(crate) struct OpenStep {
    /// First task of the step.
    pub(crate) first_task: TaskRef,
    pub(crate) pool: PoolNumber,
    /// Number of waiting tasks.
    pub(crate) waiting: u64,
    /// Whether one of them has to be alone on its endpoint.
    pub(crate) has_isolated: bool,
    /// Resources that each task reserves on its endpoint.
    pub(crate) reserved: Resources,
    /// Resources that each task takes from its account's quota.
    pub(crate) requested: Resources,
    pub(crate) account: AccountNumber,
    /// Its waiting work, which includes that of later steps for one step of an occurrence:
    /// resources multiplied by milliseconds.
    pub(crate) work: Resources,
    priority: u32,
    is_long_running: bool,
    /// Whether any task of the job has started.
    is_started: bool,
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
            waiting: run.steps[step].waiting_tasks(),
            has_isolated: run.steps[step]
                .tasks
                .iter()
                .any(|task| task.is_waiting() && Suspicion::of(task) == Suspicion::Isolated),
            reserved: spec.reserved_resources(),
            requested: spec.resources,
            account: job.account_number,
            work: open_step_work(job, run, step),
            priority: job.queue.priority,
            is_long_running: spec.long_running,
            is_started: job.state == JobState::Running,
            timing: Timing::new(job, occurrence),
        }
    }

    /// Returns whether its job can no longer complete on time. Long-running tasks are never late.
    pub(crate) fn is_late(&self, now: Now) -> bool {
        !self.is_long_running && self.timing.slack_ms(now) < 0
    }

    /// Returns the urgency of its waiting tasks. `is_short` is whether the fleet lacks capacity for
    /// work that can be on time.
    pub(crate) fn urgency(&self, is_short: bool, now: Now) -> Urgency {
        if self.is_long_running {
            return Urgency::LongRunning;
        }
        match self.timing.urgency(self.is_started, now) {
            // Late jobs are worth much less than those that can still be on time.
            Urgency::Expiring if is_short => Urgency::Late,
            urgency => urgency,
        }
    }

    /// Returns the sort key of the start order; steps without waiting tasks come last.
    ///
    /// Among jobs of equal urgency and priority, those that have started are completed first. With
    /// the least slack first only, each job starts when its slack is used up, and its later steps
    /// make it late.
    fn rank(
        &self,
        is_short: bool,
        now: Now,
    ) -> (Reverse<bool>, Urgency, u32, Reverse<bool>, i64, TaskRef) {
        let slack_ms = self.timing.slack_ms(now);
        let has_waiting = Reverse(self.waiting > 0);
        (
            has_waiting,
            self.urgency(is_short, now),
            self.priority,
            Reverse(self.is_started),
            slack_ms,
            self.first_task,
        )
    }
}

/// Open steps in the order of the last sort.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenSteps {
    steps: Vec<OpenStep>,
    /// Number of steps with a waiting task that has to be alone on its endpoint.
    isolated_count: usize,
}

impl OpenSteps {
    /// Removes the steps of jobs, whose ids are sorted.
    pub(crate) fn forget(&mut self, jobs: &[JobId]) {
        let isolated_count = &mut self.isolated_count;
        self.steps.retain(|step| {
            let is_kept = jobs.binary_search(&step.first_task.job).is_err();
            *isolated_count -= usize::from(step.has_isolated && !is_kept);
            is_kept
        });
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
                    let step = OpenStep::new(job, pool, at, number);
                    self.isolated_count += usize::from(step.has_isolated);
                    self.steps.push(step);
                }
            }
        }
    }

    /// Sorts the steps by urgency; `is_short` is whether the fleet lacks capacity for work that can
    /// be on time. Little changes between two calls, which makes the sort fast.
    pub(crate) fn sort(&mut self, is_short: bool, now: Now) {
        self.steps.sort_by_key(|step| step.rank(is_short, now));
    }

    /// Returns the step at an index of the start order, or `None` once no tasks are waiting.
    pub(crate) fn waiting_at(&self, index: usize) -> Option<&OpenStep> {
        self.steps.get(index).filter(|step| step.waiting > 0)
    }

    /// Returns the steps with a waiting task that has to be alone on its endpoint.
    pub(crate) fn isolated(&self) -> impl Iterator<Item = &OpenStep> {
        let steps = self.steps.iter().filter(|step| step.has_isolated);
        steps.take(self.isolated_count)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenStep> {
        self.steps.iter()
    }
}

fn is_relevant(step: &StepRun, spec: &StepSpec) -> bool {
    needs_members(spec) || step.tasks.iter().any(crate::state::Task::is_waiting)
}
