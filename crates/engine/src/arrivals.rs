//! Work submitted lately, by pool: what a pool will need soon if callers go on like this.

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

/// Time over which work that is handed in is summed up, in milliseconds: half of the time that a VM
/// takes to come, and long enough for some ten jobs of a busy queue, so that the demand does not jump
/// about.
const WINDOW_MS: u64 = 800;

/// Work of one job.
#[derive(Clone, Debug)]
struct Arrival {
    at_ms: u64,
    pool: CompactString,
    account: AccountNumber,
    /// Room times milliseconds.
    work: Resources,
}

impl Arrival {
    fn is_old(&self, now: Now) -> bool {
        self.at_ms + WINDOW_MS < now.steady_ms
    }
}

/// Work handed in within the window, in the order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records a submitted job. Work that only some VMs can do, or that lasts, is counted by itself.
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

    /// Returns the room that a pool's work takes if as much goes on being handed in.
    ///
    /// The first job only begins the count: one by itself, however large, says nothing of more to
    /// come. An account's work counts as far as its quota, 0 for none, lets it run at once.
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
