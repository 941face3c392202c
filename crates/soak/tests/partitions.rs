//! Plans of partitions.

use lynxwheel_soak::{Fault, plan_partitions};

const ENDPOINTS: usize = 9;

/// Guards against partitions that differ between plays of a seed, overlap, end before leases do, or
/// have all endpoints on one side.
#[test]
fn partitions_depend_on_the_seed_and_separate_endpoints() {
    for seed in 0..50 {
        let planned = plan_partitions(seed, 60_000, ENDPOINTS);
        assert_eq!(planned, plan_partitions(seed, 60_000, ENDPOINTS));
        assert_ne!(planned, plan_partitions(seed + 1, 60_000, ENDPOINTS));
        let mut end_ms = 0;
        for partition in &planned {
            assert!(partition.start_ms > end_ms, "{planned:?}");
            assert!(partition.duration_ms >= 8_000, "{planned:?}");
            end_ms = partition.start_ms + partition.duration_ms;
            let Fault::CutOffOwner(endpoints) = partition.fault else {
                panic!("{:?} is no partition", partition.fault);
            };
            assert!(endpoints > 0 && endpoints < (1 << ENDPOINTS) - 1);
        }
    }
}

/// Guards against short runs without a partition.
#[test]
fn the_shortest_run_has_a_partition() {
    assert_eq!(plan_partitions(1, 0, ENDPOINTS).len(), 1);
}
