//! What a later owner makes of the records of an earlier one.

mod common;

use {
    common::{Fleet, job_id, listed, vms_with},
    lynxwheel_engine::JobState,
};

/// A caller asks for a job that ended just before the owner was lost, and is told that there is
/// no such job. The new owner found the job's details still stored, wrote its end once more, and
/// took the end for one of long ago, as it had no time for it.
#[test]
fn job_that_ended_before_a_takeover_stays_known() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all_done();
    // The end is stored; the owner is lost before it drops the details.
    fleet.settle_without_cleaning();
    assert_eq!(fleet.job_state(1), Some(JobState::Completed));
    fleet.take_over();
    fleet.settle();
    fleet.advance(1_000);
    fleet.settle();
    assert_eq!(fleet.engine.job_state(job_id(1)), Some(JobState::Completed));
}

/// A customer is charged twice: after a take-over a task runs on two endpoints. The list of VMs
/// still names an endpoint's life that has ended, while the registry already has its successor,
/// on which the task runs. The new owner had heard of the ended life later, from the jobs'
/// records, took it for the successor, and started the task again elsewhere.
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

/// A long-running task is away for 9 s after each take-over, though its VM came back long ago with
/// a new life. The successor knows the old life only from the job's record, cannot tell that the
/// new one replaces it, and waits for leases.
#[test]
fn answering_incarnation_ends_an_older_one_at_its_address() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-old", 16_000);
    fleet.list_endpoint("i-other", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    assert_eq!(fleet.endpoints[0].started.len(), 1);
    fleet.endpoints[0].is_silent = true;
    fleet.endpoints[0].id = "i-new".into();
    fleet.endpoints[0].running.clear();
    fleet.entries[0].id = "i-new".into();
    fleet.take_over();
    fleet.endpoints[0].is_silent = false;
    fleet.settle();
    fleet.advance(500);
    assert_eq!(fleet.starts(&format!("{}.0.0.0", job_id(1))), 2);
}

/// Twelve tasks run twice. After a take-over an entry of a life that had ended three seconds before
/// was written late; it was taken for a new life in the place of the sound one, whose runs were
/// started again elsewhere.
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
