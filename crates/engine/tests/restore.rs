//! Recovery of a new owner from stored records.

mod common;

use {
    common::{Fleet, job_id, listed, vms_with},
    lynxwheel_engine::{Engine, EngineSettings, JobState, Record, UnreadCause, UnreadRecord},
};

/// Names a test that changes the records of three jobs in progress and checks which records a new
/// owner does not use, and that it still knows the other two jobs.
macro_rules! unread_records {
    ($(#[doc = $doc:literal] $name:ident: $change:expr => $expected:expr;)+) => {
        $(
            #[doc = $doc]
            #[test]
            fn $name() {
                check_unread($change, &$expected);
            }
        )+
    };
}

fn check_unread(change: fn(&mut Vec<Record>), expected: &[(String, UnreadCause)]) {
    let mut fleet = fleet_with_three_jobs();
    change(&mut fleet.stored);
    let mut engine = Engine::new(EngineSettings::default());
    let unread = engine.restore(&fleet.stored, fleet.now);
    let found: Vec<(String, UnreadCause)> = unread
        .iter()
        .map(|&UnreadRecord { key, cause, .. }| (key.to_string(), cause))
        .collect();
    assert_eq!(found, expected);
    let mut records = unread.iter().map(|one| (one, &fleet.stored[one.index]));
    assert!(records.all(|(one, record)| record.key == one.key));
    // A job becomes running without a record of it.
    assert_eq!(engine.job_state(job_id(1)), Some(JobState::Queued));
    assert_eq!(engine.job_state(job_id(3)), Some(JobState::Queued));
}

fn fleet_with_three_jobs() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    for number in 1..=3 {
        fleet.submit(number, 1);
    }
    fleet.settle();
    fleet
}

fn key_of(kind: char) -> String {
    format!("{kind}/{}", job_id(2))
}

fn spoil(records: &mut [Record], key: &str) {
    for record in records.iter_mut().filter(|record| record.key == key) {
        record.value = vec![0xc1];
    }
}

unread_records! {
    /// Guards against taking a job whose description is gone for one with damaged bytes.
    progress_without_a_description:
        |records| records.retain(|record| record.key != key_of('j'))
        => [(key_of('s'), UnreadCause::MissingSpec)];
    /// Guards against damaged progress of one job costing another one.
    undecodable_progress:
        |records| spoil(records, &key_of('s'))
        => [(key_of('s'), UnreadCause::Undecodable)];
    /// Guards against taking a damaged description for a missing one.
    undecodable_description:
        |records| spoil(records, &key_of('j'))
        => [
            (key_of('j'), UnreadCause::Undecodable),
            (key_of('s'), UnreadCause::MissingSpec),
        ];
    /// Guards against taking the record of a later release for damaged bytes.
    key_of_no_known_kind:
        |records| records.push(Record { key: key_of('x'), value: vec![1] })
        => [(key_of('x'), UnreadCause::UnknownKey)];
}

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
