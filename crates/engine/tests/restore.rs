//! Recovery of a new owner from stored records.

mod common;

use {
    common::{Fleet, job_id, listed, vms_with},
    lynxwheel_engine::{
        CallerResponse, EndKind, Engine, EngineSettings, Event, FleetConfig, JobState, Queue,
        Record, UnreadCause, UnreadRecord,
    },
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

/// Guards against progress that is stored without its description when a batch is stored in parts.
#[test]
fn description_is_stored_before_the_progress() {
    let mut fleet = Fleet::new();
    fleet.submit(2, 1);
    let batch = fleet.engine.take_batch(fleet.now);
    let keys: Vec<String> = batch.records.into_iter().map(|record| record.key).collect();
    assert_eq!(keys, [key_of('j'), key_of('s')]);
}

/// Guards against progress of a job in progress without its description when a batch that ends the
/// job is stored in parts or not at all.
#[test]
fn description_is_deleted_after_the_end_is_stored() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(2, 1);
    fleet.settle();
    fleet.end_all_done();
    let end = fleet.engine.take_batch(fleet.now);
    assert!(end.records.iter().all(|record| record.key != key_of('j')));
    fleet.put_in_flight(end);
    fleet.settle();
    assert!(fleet.stored.iter().all(|record| record.key != key_of('j')));
    assert!(fleet.stored.iter().any(|record| record.key == key_of('s')));
}

/// Number of tasks of the job without a description.
const TASKS: u16 = 2;

/// Returns a fleet with one endpoint and a job in progress, whose description is gone at a takeover,
/// and that description.
fn fleet_without_description() -> (Fleet, Record) {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(1, TASKS);
    fleet.settle();
    assert_eq!(job_starts(&fleet, 1, TASKS), usize::from(TASKS));
    let spec_key = format!("j/{}", job_id(1));
    let index = fleet.stored.iter().position(|one| one.key == spec_key);
    let spec = fleet.stored.remove(index.expect("a description"));
    assert_eq!(fleet.take_over_incomplete(), [UnreadCause::MissingSpec]);
    fleet.settle();
    fleet.advance(1_000);
    (fleet, spec)
}

/// Returns the number of starts of all tasks of a job with one step.
fn job_starts(fleet: &Fleet, number: u64, tasks: u16) -> usize {
    let starts = (0..tasks).map(|index| fleet.starts(&format!("{}.0.0.{index}", job_id(number))));
    starts.sum()
}

/// Guards against stopping the runs of a job without a description as unknown ones, and against
/// giving away the room that they take.
#[test]
fn runs_without_a_description_keep_their_room() {
    let (mut fleet, _) = fleet_without_description();
    assert_eq!(
        fleet.running_cores(|job| job == job_id(1)),
        usize::from(TASKS)
    );
    fleet.submit(2, 1);
    fleet.advance(1_000);
    assert_eq!(job_starts(&fleet, 2, 1), 0);
    fleet.end_all_done();
    fleet.advance(1_000);
    assert_eq!(job_starts(&fleet, 2, 1), 1);
}

/// Guards against an endpoint that never takes starts again although the runs without a
/// description on it are over.
#[test]
fn room_of_runs_without_a_description_is_free_after_their_leases() {
    let (mut fleet, _) = fleet_without_description();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.submit(2, 1);
    fleet.advance(12_000);
    assert_eq!(job_starts(&fleet, 2, 1), 0);
    assert!(
        fleet
            .engine
            .endpoints()
            .iter()
            .all(|(_, one)| one.unsized_runs == 0)
    );
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(2_000);
    assert_eq!(job_starts(&fleet, 2, 1), 1);
    assert_eq!(job_starts(&fleet, 1, TASKS), usize::from(TASKS));
}

/// Guards against answering an accepted job as unknown, and against running it a second time when
/// it is submitted again.
#[test]
fn job_without_a_description_stays_accepted() {
    let (mut fleet, _) = fleet_without_description();
    assert_eq!(fleet.job_state(1), Some(JobState::Running));
    fleet.replies.clear();
    fleet.submit(1, TASKS);
    fleet.end_all_done();
    fleet.advance(1_000);
    assert_eq!(fleet.replies, [(1, CallerResponse::Accepted)]);
    assert_eq!(job_starts(&fleet, 1, TASKS), usize::from(TASKS));
    assert!(fleet.job_state(1).is_some_and(|state| !state.is_final()));
}

/// Guards against running tasks again that ended as done while the description was missing.
#[test]
fn ends_without_a_description_are_stored() {
    let (mut fleet, spec) = fleet_without_description();
    fleet.end_all_done();
    fleet.advance(1_000);
    assert!(fleet.stored.iter().all(|record| record.key != spec.key));
    fleet.stored.push(spec);
    fleet.take_over();
    fleet.settle();
    fleet.advance(1_000);
    assert_eq!(job_starts(&fleet, 1, TASKS), usize::from(TASKS));
}

/// Guards against a job without a description failing, and its other runs being stopped, because
/// the number of its attempts is unknown.
#[test]
fn failed_run_without_a_description_ends_nothing_else() {
    let (mut fleet, _) = fleet_without_description();
    let (task, run) = fleet.endpoints[0].running[0];
    fleet.endpoints[0].end(&task, run, EndKind::Failed);
    fleet.advance(1_000);
    assert_eq!(fleet.job_state(1), Some(JobState::Running));
    assert_eq!(
        fleet.running_cores(|job| job == job_id(1)),
        usize::from(TASKS) - 1
    );
}

/// Guards against a job without a description that cannot be cancelled.
#[test]
fn job_without_a_description_can_be_cancelled() {
    let (mut fleet, _) = fleet_without_description();
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: "".into(),
        token: 9,
    });
    fleet.advance(1_000);
    assert_eq!(fleet.replies.last(), Some(&(9, CallerResponse::Cancelled)));
    assert_eq!(fleet.running_cores(|job| job == job_id(1)), 0);
    assert_eq!(fleet.job_state(1), Some(JobState::Cancelled));
}

/// Guards against storing an empty description for a job whose own is missing.
#[test]
fn no_description_is_stored_in_place_of_a_missing_one() {
    let (mut fleet, spec) = fleet_without_description();
    let queue = Queue {
        priority: 1,
        ..Queue::default()
    };
    let config = FleetConfig {
        version: 9,
        queues: vec![queue],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    fleet.end_all_done();
    fleet.advance(1_000);
    assert!(fleet.stored.iter().all(|record| record.key != spec.key));
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
        fleet.list_vms(vms_with("vm-1", id));
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
