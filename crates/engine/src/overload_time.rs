//! How long the on-time work of pools has been more than they can start.

use crate::{admission::MIN_WAIT_MS, event::Now, free_capacity::PoolNumber};

/// Maximum time that is counted, in milliseconds; how long a pool may count as overloaded after its
/// load has fallen.
const MAX_OVERLOAD_MS: u64 = 10_000;

/// Overload of each pool. Counts up while a pool is overloaded and down while it is not, so that a
/// short gap in a flood does not end it.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverloadTimes {
    /// Times in milliseconds, sorted by pool; pools without any are absent.
    times_ms: Vec<(PoolNumber, u64)>,
    /// Time of the last update, on the monotonic clock.
    updated_ms: Option<u64>,
}

impl OverloadTimes {
    /// Updates the times. `short_pool_waits_ms` has the wait of a new job behind the on-time work of
    /// each pool that lacks capacity, in milliseconds.
    pub(crate) fn update(&mut self, short_pool_waits_ms: &[(PoolNumber, u64)], now: Now) {
        let updated_ms = self.updated_ms.replace(now.steady_ms);
        let elapsed_ms = now
            .steady_ms
            .saturating_sub(updated_ms.unwrap_or(now.steady_ms));
        let is_overloaded = |pool: PoolNumber| {
            let mut waits = short_pool_waits_ms.iter();
            waits.any(|&(other, wait_ms)| other == pool && wait_ms >= MIN_WAIT_MS)
        };
        self.times_ms.retain_mut(|(pool, time_ms)| {
            if !is_overloaded(*pool) {
                *time_ms = time_ms.saturating_sub(elapsed_ms);
            }
            *time_ms > 0
        });
        for &(pool, wait_ms) in short_pool_waits_ms {
            if wait_ms < MIN_WAIT_MS {
                continue;
            }
            match self.search(pool) {
                Ok(index) => {
                    let time_ms = &mut self.times_ms[index].1;
                    *time_ms = (*time_ms + elapsed_ms).min(MAX_OVERLOAD_MS);
                }
                Err(index) => self.times_ms.insert(index, (pool, elapsed_ms)),
            }
        }
    }

    /// Returns how long a pool has been overloaded, in milliseconds.
    pub(crate) fn of_pool(&self, pool: PoolNumber) -> u64 {
        let index = self.search(pool);
        index.map_or(0, |index| self.times_ms[index].1)
    }

    fn search(&self, pool: PoolNumber) -> Result<usize, usize> {
        self.times_ms
            .binary_search_by_key(&pool, |(known, _)| *known)
    }
}
