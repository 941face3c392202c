//! Runs that stand still.

mod common;

use common::{Fleet, job_id};

fn started(fleet: &Fleet) -> usize {
    fleet.starts(&format!("{}.0.0.0", job_id(1)))
}

fn fleet_with_a_run() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet
}

/// Crews wait for a map that never comes. Tasks on one worker stand still for seconds while it
/// answers every renewal and calls itself healthy, and nobody looked at their progress.
#[test]
fn run_that_stands_still_goes_on_elsewhere() {
    let mut fleet = fleet_with_a_run();
    fleet.endpoints[0].percent = Some(30);
    fleet.advance(5_000);
    assert_eq!(started(&fleet), 2);
    assert_eq!(fleet.endpoints[1].started.len(), 1);
}

#[test]
fn run_that_progresses_is_left_alone() {
    let mut fleet = fleet_with_a_run();
    for percent in 1..50 {
        fleet.endpoints[0].percent = Some(percent);
        fleet.advance(1_000);
    }
    assert_eq!(started(&fleet), 1);
}
