//! What a later owner makes of the records of an earlier one.

mod common;

use {
    common::{Fleet, job_id},
    lynxwheel_engine::JobState,
};

/// A caller asks for a job that ended just before the owner was lost, and is told that there is
/// no such job. The new owner found the job's details still stored, wrote its end once more, and
/// took the end for one of long ago, as it had no time for it.
#[test]
fn job_that_ended_before_a_take_over_stays_known() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all_done();
    // The end is stored; the owner is lost before it drops the details.
    fleet.settle_without_cleaning();
    assert_eq!(fleet.shown(1), Some(JobState::Completed));
    fleet.take_over();
    fleet.settle();
    fleet.advance(1_000);
    fleet.settle();
    assert_eq!(fleet.engine.shown(job_id(1)), Some(JobState::Completed));
}
