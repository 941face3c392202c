//! Division of the fleet's capacity among pools.

use lynxwheel_engine::{CapacityPlan, Now, PoolCapacity};

/// Returns a pool with present and arriving capacity and a need, in cores.
fn pool(name: &str, supply: u64, arriving: u64, needed: u64) -> PoolCapacity {
    PoolCapacity {
        pool: name.into(),
        supply_cpu_millis: supply * 1_000,
        arriving_cpu_millis: arriving * 1_000,
        needed_cpu_millis: needed * 1_000,
        ..PoolCapacity::default()
    }
}

fn targets(pools: Vec<PoolCapacity>) -> Vec<u64> {
    let plan = CapacityPlan::new(pools, Now::default());
    let targets = plan.pools().iter().map(|pool| pool.target_cpu_millis);
    targets.map(|millis| millis / 1_000).collect()
}

macro_rules! divisions {
    ($($(#[$doc:meta])* $name:ident: $pools:expr => $targets:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(targets($pools), $targets);
        })*
    };
}

divisions! {
    sufficient_capacity_meets_every_need:
        vec![pool("a", 80, 0, 10), pool("b", 0, 20, 60)] => [10, 60];

    /// Guards against one pool being starved by another with far more work.
    short_capacity_is_divided_in_proportion_to_the_needs:
        vec![pool("a", 80, 0, 300), pool("b", 0, 20, 100)] => [75, 25];

    /// Guards against an overflow with a large fleet and a few of the largest possible jobs.
    large_need_is_divided_without_overflow:
        vec![pool("a", 1_280_000, 0, 30_000_000), pool("b", 0, 0, 10_000_000)] => [960_000, 320_000];
}

macro_rules! waits {
    ($($(#[$doc:meta])* $name:ident: $pool:expr, $work_cpu_ms:expr => $wait_ms:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let plan = CapacityPlan::new(vec![$pool], Now::default());
            assert_eq!(plan.pools()[0].wait_ms($work_cpu_ms), $wait_ms);
        })*
    };
}

waits! {
    present_capacity_takes_waiting_work: pool("a", 10, 0, 10), 1_000_000 => Some(100);

    /// Guards against forecasts that ignore VMs on their way, and against counting them before they
    /// can have arrived.
    arriving_capacity_counts_after_the_move: pool("a", 10, 90, 10), 20_000_000 => Some(1_820);

    /// Guards against a wait of 0 in a pool that gets no capacity.
    pool_without_capacity_has_no_wait: pool("a", 0, 0, 0), 1 => None;
}

/// Guards against a fleet that seems short of capacity because VMs are being handed over.
#[test]
fn vacating_vms_count_as_capacity_of_the_fleet() {
    let vacating = PoolCapacity {
        vacating_cpu_millis: 60_000,
        ..pool("a", 20, 0, 20)
    };
    assert_eq!(targets(vec![vacating, pool("b", 20, 0, 80)]), [20, 80]);
}
