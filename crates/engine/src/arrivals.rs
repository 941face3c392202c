//! Recently submitted work by pool, which predicts the demand of the near future.

use {
    crate::{
        balance::VmFeature,
        event::Now,
        job::{JobSpec, Resources},
        quota::AccountNumber,
    },
    compact_str::CompactString,
    std::collections::VecDeque,
};

/// Period over which submitted work is summed up, in milliseconds: half the time of a VM move, and
/// long enough for about ten jobs of a busy queue, which smooths the demand.
const WINDOW_MS: u64 = 800;

/// Work of one job.
#[derive(Clone, Debug)]
struct Arrival {
    at_ms: u64,
    pool: CompactString,
    account: AccountNumber,
    /// Resources multiplied by milliseconds.
    work: Resources,
}

impl Arrival {
    fn is_old(&self, now: Now) -> bool {
        self.at_ms + WINDOW_MS < now.steady_ms
    }
}

/// Work submitted within the period, ordered by time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records a submitted job, without long-running or repeating work and work that requires a VM
    /// feature.
    pub(crate) fn record(
        &mut self,
        pool: &CompactString,
        account: AccountNumber,
        spec: &JobSpec,
        now: Now,
    ) {
        let mut work = Resources::default();
        for step in &spec.steps {
            let is_plain =
                !step.long_running && !VmFeature::of_step(step).any(|kind| kind.is_required());
            if is_plain && spec.repeat_count == 0 {
                let task_ms = step.estimated_ms * u64::from(step.count);
                work.add(&step.reserved_resources().scaled(task_ms));
            }
        }
        self.recent.push_back(Arrival {
            at_ms: now.steady_ms,
            pool: pool.clone(),
            account,
            work,
        });
        self.remove_old(now);
    }

    fn remove_old(&mut self, now: Now) {
        while self.recent.front().is_some_and(|first| first.is_old(now)) {
            self.recent.pop_front();
        }
    }

    /// Returns the resources that a pool needs if work keeps arriving at the same rate.
    ///
    /// A single job, however large, does not predict further ones and does not count. The work of
    /// an account counts up to its quota, where 0 means unlimited.
    pub(crate) fn load(
        &self,
        pool: &str,
        now: Now,
        quota_of: impl Fn(AccountNumber) -> Resources,
    ) -> Resources {
        let mut works: Vec<(AccountNumber, Resources)> = Vec::new();
        let mut jobs = 0;
        for arrival in &self.recent {
            if arrival.pool != pool || arrival.is_old(now) {
                continue;
            }
            jobs += 1;
            match works.binary_search_by_key(&arrival.account, |(account, _)| *account) {
                Ok(index) => works[index].1.add(&arrival.work),
                Err(index) => works.insert(index, (arrival.account, arrival.work)),
            }
        }
        if jobs < 2 {
            return Resources::default();
        }
        let share = |work: u64| work / WINDOW_MS * (jobs - 1) / jobs;
        let capped = |need: u64, quota: u64| if quota == 0 { need } else { need.min(quota) };
        let mut load = Resources::default();
        for (account, work) in works {
            let quota = quota_of(account);
            load.add(&Resources {
                cpu_millis: capped(share(work.cpu_millis), quota.cpu_millis),
                memory_mb: capped(share(work.memory_mb), quota.memory_mb),
                gpus: 0,
            });
        }
        load
    }
}
