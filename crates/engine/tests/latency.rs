//! How soon the engine learns of what happens on endpoints.

mod common;

use {
    common::{Fleet, job_id},
    lynxwheel_engine::JobState,
};

/// Callers of short jobs wait up to a second for nothing. An endpoint without work is asked once a
/// second; a job started there right after such a question, and its end was told only when
/// the next one was due.
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
