//! Waiting work of each pool and account, as sums that are cheap to read at each submission.

use crate::{
    balance::VmFeature,
    event::Now,
    free_capacity::PoolNumber,
    job::{JobSpec, Resources, StepSpec},
    open_steps::OpenSteps,
    quota::AccountNumber,
    state::{Job, Occurrence},
    timing::Urgency,
};

/// Waiting work of one account in one pool by urgency, as resources multiplied by milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccountWork {
    pool: PoolNumber,
    pub(crate) account: AccountNumber,
    /// Work of jobs that can be on time, or that start before them.
    pub(crate) on_time: Resources,
    /// Work of late jobs that still have a value.
    late: Resources,
    /// Work of jobs that are too late to have a value.
    pub(crate) too_late: Resources,
}

impl AccountWork {
    fn new(pool: PoolNumber, account: AccountNumber) -> Self {
        Self {
            pool,
            account,
            on_time: Resources::default(),
            late: Resources::default(),
            too_late: Resources::default(),
        }
    }

    /// Returns the work of jobs that still have a value.
    pub(crate) fn valuable(&self) -> Resources {
        let mut sum = self.on_time;
        add_work(&mut sum, &self.late);
        sum
    }

    fn add(&mut self, urgency: Urgency, work: &Resources) {
        let sum = match urgency {
            Urgency::LongRunning | Urgency::Expiring | Urgency::OnTime => &mut self.on_time,
            Urgency::Late => &mut self.late,
            Urgency::TooLate => &mut self.too_late,
        };
        add_work(sum, work);
    }
}

/// Resources that an account can have in use at a time; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Limit {
    pub(crate) cpu_millis: Option<u64>,
    pub(crate) memory_mb: Option<u64>,
}

impl Limit {
    /// Creates the limit of a quota, where 0 means unlimited.
    pub(crate) fn of_quota(quota: &Resources) -> Self {
        let limited = |amount| (amount > 0).then_some(amount);
        Self {
            cpu_millis: limited(quota.cpu_millis),
            memory_mb: limited(quota.memory_mb),
        }
    }

    /// Returns the part of some work that can be done within a time, in thousandths of a core times
    /// milliseconds.
    pub(crate) fn cpu_ms_within(&self, work: &Resources, time_ms: u64) -> u64 {
        let cpu_ms = self.cpu_millis.map_or(work.cpu_millis, |millis| {
            work.cpu_millis.min(millis.saturating_mul(time_ms))
        });
        let possible_mb_ms = self.memory_mb.map(|mb| mb.saturating_mul(time_ms));
        match possible_mb_ms {
            Some(possible) if possible < work.memory_mb => {
                let part =
                    u128::from(work.cpu_millis) * u128::from(possible) / u128::from(work.memory_mb);
                cpu_ms.min(u64::try_from(part).unwrap_or(u64::MAX))
            }
            _ => cpu_ms,
        }
    }

    /// Returns the minimum time in which some work can be done, in milliseconds.
    pub(crate) fn min_time_ms(&self, work: &Resources) -> u64 {
        let time_ms = |work: u64, limit: Option<u64>| limit.map_or(0, |limit| work / limit.max(1));
        let cpu_ms = time_ms(work.cpu_millis, self.cpu_millis);
        cpu_ms.max(time_ms(work.memory_mb, self.memory_mb))
    }

    /// Limits the processor further.
    pub(crate) fn with_cpu_millis(self, cpu_millis: u64) -> Self {
        let limited = self.cpu_millis.unwrap_or(u64::MAX).min(cpu_millis);
        Self {
            cpu_millis: Some(limited),
            ..self
        }
    }
}

/// Waiting work of each pool and account.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingWork {
    /// Sorted by pool and account.
    rows: Vec<AccountWork>,
}

impl WaitingWork {
    /// Sums up the work of all open steps. `is_short` is whether the fleet lacks capacity for work
    /// that can be on time.
    pub(crate) fn new(open_steps: &OpenSteps, is_short: bool, now: Now) -> Self {
        let mut sums = Self::default();
        for step in open_steps.iter() {
            sums.add(
                step.pool,
                step.account,
                step.urgency(is_short, now),
                &step.work,
            );
        }
        sums
    }

    /// Adds waiting work of an account.
    pub(crate) fn add(
        &mut self,
        pool: PoolNumber,
        account: AccountNumber,
        urgency: Urgency,
        work: &Resources,
    ) {
        if work.cpu_millis == 0 {
            return;
        }
        let index = self
            .rows
            .binary_search_by_key(&(pool, account), |row| (row.pool, row.account));
        let index = index.unwrap_or_else(|index| {
            self.rows.insert(index, AccountWork::new(pool, account));
            index
        });
        self.rows[index].add(urgency, work);
    }

    /// Returns the work in a pool by account.
    pub(crate) fn of_pool(&self, pool: PoolNumber) -> &[AccountWork] {
        let begin = self.rows.partition_point(|row| row.pool < pool);
        let end = self.rows.partition_point(|row| row.pool <= pool);
        &self.rows[begin..end]
    }
}

/// Returns whether the duration of a step is known and every endpoint of the pool can run it.
/// Other steps may wait for reasons that delay no other work.
pub(crate) fn is_plain(step: &StepSpec) -> bool {
    let requires_feature = VmFeature::of_step(step).any(|kind| kind.is_required());
    !step.long_running && !step.gang && !requires_feature
}

/// Returns the work of a job, as resources multiplied by milliseconds.
pub(crate) fn job_work(spec: &JobSpec) -> Resources {
    let mut sum = Resources::default();
    for step in &spec.steps {
        add_work(&mut sum, &step_work(step, u64::from(step.count)));
    }
    sum
}

/// Returns the work of the waiting tasks of an open step, as resources multiplied by milliseconds.
/// The first such step of an occurrence includes the steps that are not open yet.
pub(crate) fn open_step_work(job: &Job, occurrence: &Occurrence, step: usize) -> Resources {
    if job.queue.advised {
        return Resources::default();
    }
    let specs = &job.spec.steps;
    let mut sum = step_work(&specs[step], occurrence.steps[step].waiting_tasks());
    let mut earlier = occurrence.steps.iter().zip(specs).take(step);
    let is_first =
        !earlier.any(|(step, spec)| step.waiting_tasks() > 0 && occurrence.is_open(spec));
    if is_first && occurrence.steps[step].waiting_tasks() > 0 {
        for spec in specs.iter().filter(|spec| !occurrence.is_open(spec)) {
            add_work(&mut sum, &step_work(spec, u64::from(spec.count)));
        }
    }
    sum
}

fn step_work(step: &StepSpec, tasks: u64) -> Resources {
    if !is_plain(step) {
        return Resources::default();
    }
    let task_ms = step.estimated_ms.saturating_mul(tasks);
    let reserved = step.reserved_resources();
    Resources {
        cpu_millis: reserved.cpu_millis.saturating_mul(task_ms),
        memory_mb: reserved.memory_mb.saturating_mul(task_ms),
        gpus: 0,
    }
}

fn add_work(sum: &mut Resources, work: &Resources) {
    sum.cpu_millis = sum.cpu_millis.saturating_add(work.cpu_millis);
    sum.memory_mb = sum.memory_mb.saturating_add(work.memory_mb);
}
