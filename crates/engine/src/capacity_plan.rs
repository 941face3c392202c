//! Plan of the fleet's capacity: what each pool has, what its on-time work needs, and what it
//! should get.
//!
//! The plan is made once for all decisions under load. Decisions that each look at their own pool
//! keep capacity for late work while on-time work of another pool has none.

use {crate::event::Now, compact_str::CompactString};

/// Time from the order of a VM move until the first run on the VM, in milliseconds: the move, the
/// registration of the endpoint and its first report.
pub const VM_MOVE_MS: u64 = 1_800;

/// Capacity of a pool and the need of its on-time work, in thousandths of a core.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolCapacity {
    /// Name of the pool.
    pub pool: CompactString,
    /// Whether the VMs of the pool are switched off.
    pub is_standby: bool,
    /// Capacity of the endpoints that accept starts; of a standby pool, that of its VMs.
    pub supply_cpu_millis: u64,
    /// Capacity of the VMs that are moving in.
    pub arriving_cpu_millis: u64,
    /// Capacity of the endpoints that take no more work, so that their VMs can move.
    pub vacating_cpu_millis: u64,
    /// Part of the supply that long-running tasks hold.
    pub long_running_cpu_millis: u64,
    /// Need of the work that can be on time, with that of long-running tasks.
    pub needed_cpu_millis: u64,
    /// Need, or the pool's proportional part of all capacity if the fleet cannot meet all needs.
    pub target_cpu_millis: u64,
}

impl PoolCapacity {
    /// Returns the present and arriving capacity, in thousandths of a core.
    #[must_use]
    pub fn expected_cpu_millis(&self) -> u64 {
        self.supply_cpu_millis + self.arriving_cpu_millis
    }

    /// Returns how long a task waits, in milliseconds, behind waiting work in thousandths of a core
    /// times milliseconds; `None` if the pool gets no capacity for it.
    #[must_use]
    pub fn wait_ms(&self, work_cpu_ms: u64) -> Option<u64> {
        let held = self.long_running_cpu_millis;
        let present = self.supply_cpu_millis.saturating_sub(held);
        let later = self.expected_cpu_millis().max(self.target_cpu_millis);
        let later = later.saturating_sub(held);
        let until_move = present * VM_MOVE_MS;
        if work_cpu_ms <= until_move {
            return Some(work_cpu_ms.checked_div(present).unwrap_or_default());
        }
        let rest_ms = (work_cpu_ms - until_move).checked_div(later)?;
        Some(VM_MOVE_MS + rest_ms)
    }
}

/// Capacity and need of every pool at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityPlan {
    /// Sorted by name.
    pools: Vec<PoolCapacity>,
    /// When the plan was made, on the monotonic clock; `None` for an empty plan.
    made_at_ms: Option<u64>,
}

impl CapacityPlan {
    /// Divides the capacity of all pools among them by their needs.
    #[must_use]
    pub fn new(mut pools: Vec<PoolCapacity>, now: Now) -> Self {
        pools.sort_unstable_by(|one, other| one.pool.cmp(&other.pool));
        // Vacating VMs serve another pool after their move. Without them, a fleet would seem short
        // of capacity because VMs are being handed over.
        let capacities = pools
            .iter()
            .map(|pool| pool.expected_cpu_millis() + pool.vacating_cpu_millis);
        let total: u64 = capacities.sum();
        let needed: u64 = pools.iter().map(|pool| pool.needed_cpu_millis).sum();
        for pool in &mut pools {
            if needed > total {
                // The product exceeds 64 bits with a large fleet and a few of the largest jobs.
                let product = u128::from(pool.needed_cpu_millis) * u128::from(total);
                let part = product / u128::from(needed);
                pool.target_cpu_millis = u64::try_from(part).unwrap_or(u64::MAX);
            } else {
                pool.target_cpu_millis = pool.needed_cpu_millis;
            }
        }
        Self {
            pools,
            made_at_ms: Some(now.steady_ms),
        }
    }

    /// Returns the time since the plan was made, in milliseconds; `None` for an empty plan.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        let made_at_ms = self.made_at_ms?;
        Some(now.steady_ms.saturating_sub(made_at_ms))
    }

    /// Returns whether the capacity of all pools is below their needs.
    #[must_use]
    pub fn is_short(&self) -> bool {
        let mut pools = self.pools.iter();
        pools.any(|pool| pool.target_cpu_millis < pool.needed_cpu_millis)
    }

    /// Returns the capacity of a pool.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolCapacity> {
        let index = self
            .pools
            .binary_search_by(|pool| pool.pool.as_str().cmp(name));
        index.ok().map(|index| &self.pools[index])
    }

    /// Returns the pools, sorted by name.
    #[must_use]
    pub fn pools(&self) -> &[PoolCapacity] {
        &self.pools
    }
}
