//! Delay until the engine learns of ended runs.

mod common;

use {
    common::{Fleet, job_id},
    lynxwheel_engine::JobState,
};

/// Guards against the end of a first run being reported only with the next periodic renewal.
#[test]
fn first_run_on_an_idle_endpoint_has_a_renewal_in_flight() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(500);
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all_done();
    fleet.settle();
    assert_eq!(fleet.engine.job_state(job_id(1)), Some(JobState::Completed));
}
