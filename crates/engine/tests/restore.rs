//! Recovery of a new owner from stored records.

mod common;

use {
    common::{Fleet, job_id, listed, vms_with},
    lynxwheel_engine::JobState,
};

/// Guards against forgetting a job that ended just before the owner was lost.
#[test]
fn job_that_ended_before_a_takeover_stays_known() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all_done();
    // The end is stored, but the owner is lost before it deletes the job description.
    fleet.settle_without_cleaning();
    assert_eq!(fleet.job_state(1), Some(JobState::Completed));
    fleet.take_over();
    fleet.settle();
    fleet.advance(1_000);
    fleet.settle();
    assert_eq!(fleet.engine.job_state(job_id(1)), Some(JobState::Completed));
}

/// Guards against an outdated VM list ending the current incarnation of an endpoint, whose tasks
/// would be started a second time.
#[test]
fn outdated_vm_list_after_a_takeover_ends_no_current_incarnation() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-sound", 16_000);
    fleet.list_endpoint("i-ended", 16_000);
    fleet.list_endpoint("i-other", 16_000);
    fleet.submit(1, 3);
    fleet.settle();
    fleet.take_over();
    fleet.settle();
    for id in ["i-sound", "i-ended"] {
        fleet.handle(vms_with("vm-1", id));
        fleet.settle();
    }
    fleet.advance(300);
    for index in 0..3 {
        assert_eq!(fleet.starts(&format!("{}.0.0.{index}", job_id(1))), 1);
    }
}

/// Guards against waiting for the leases of an inherited incarnation after its successor at the
/// same address has answered.
#[test]
fn answering_incarnation_ends_an_older_one_at_its_address() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-old", 16_000);
    fleet.list_endpoint("i-other", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    assert_eq!(fleet.endpoints[0].started.len(), 1);
    fleet.endpoints[0].is_unresponsive = true;
    fleet.endpoints[0].id = "i-new".into();
    fleet.endpoints[0].running.clear();
    fleet.entries[0].id = "i-new".into();
    fleet.take_over();
    fleet.endpoints[0].is_unresponsive = false;
    fleet.settle();
    fleet.advance(500);
    assert_eq!(fleet.starts(&format!("{}.0.0.0", job_id(1))), 2);
}

/// Guards against a late registry entry of an ended incarnation ending the current one, whose tasks
/// would be started a second time.
#[test]
fn late_entry_of_an_ended_incarnation_ends_no_current_one() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    fleet.submit(1, 4);
    fleet.settle();
    fleet.take_over();
    fleet.settle();
    let mut late = fleet.entries[0].clone();
    late.id = "i-0".into();
    fleet.handle(listed(late, true));
    fleet.advance(1_000);
    let started: usize = (0..4)
        .map(|index| fleet.starts(&format!("{}.0.0.{index}", job_id(1))))
        .sum();
    assert_eq!(started, 4);
}
