//! Waiting work of each pool and account, as sums that are cheap to read at each submission.

use crate::{
    balance::VmFeature,
    free_capacity::PoolNumber,
    job::{JobSpec, Resources, StepSpec},
    open_steps::OpenSteps,
    quota::AccountNumber,
    state::{Job, Occurrence},
};

/// Waiting work of one account in one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccountWork {
    pool: PoolNumber,
    pub(crate) account: AccountNumber,
    /// Resources multiplied by milliseconds.
    work: Resources,
}

impl AccountWork {
    /// Returns the work in thousandths of a core times milliseconds.
    pub(crate) fn cpu_ms(&self) -> u64 {
        self.work.cpu_millis
    }

    /// Returns the part of the work that fits into `limit` within a time, in thousandths of a core
    /// times milliseconds.
    pub(crate) fn cpu_ms_within(&self, limit: &Limit, time_ms: u64) -> u64 {
        let cpu_ms = limit.cpu_millis.map_or(self.work.cpu_millis, |millis| {
            self.work.cpu_millis.min(millis.saturating_mul(time_ms))
        });
        let possible_mb_ms = limit.memory_mb.map(|mb| mb.saturating_mul(time_ms));
        match possible_mb_ms {
            Some(possible) if possible < self.work.memory_mb => {
                let part = u128::from(self.work.cpu_millis) * u128::from(possible)
                    / u128::from(self.work.memory_mb);
                cpu_ms.min(u64::try_from(part).unwrap_or(u64::MAX))
            }
            _ => cpu_ms,
        }
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
    /// Sums up the work of all open steps.
    pub(crate) fn new(open_steps: &OpenSteps) -> Self {
        let mut sums = Self::default();
        for step in open_steps.iter() {
            sums.add(step.pool, step.account, &step.work);
        }
        sums
    }

    /// Adds waiting work of an account.
    pub(crate) fn add(&mut self, pool: PoolNumber, account: AccountNumber, work: &Resources) {
        if work.cpu_millis == 0 {
            return;
        }
        let index = self
            .rows
            .binary_search_by_key(&(pool, account), |row| (row.pool, row.account));
        match index {
            Ok(index) => add_work(&mut self.rows[index].work, work),
            Err(index) => self.rows.insert(
                index,
                AccountWork {
                    pool,
                    account,
                    work: *work,
                },
            ),
        }
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
