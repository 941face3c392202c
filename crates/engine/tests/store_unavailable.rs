//! Jobs submitted while the store is unavailable.

mod common;

use {
    common::{Fleet, POOL, job_id, pool, queue},
    lynxwheel_engine::{CallerResponse, Event, FleetConfig, JobState, Queue},
};

fn responses(fleet: &Fleet, token: u64) -> Vec<CallerResponse> {
    let replies = fleet.replies.iter().filter(|(known, _)| *known == token);
    replies.map(|(_, response)| *response).collect()
}

/// Returns a fleet whose store has become unavailable with the batch of job 1 in flight.
fn fleet_without_store() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    fleet.submit(1, 1);
    let batch = fleet.engine.take_batch(fleet.now);
    fleet.put_in_flight(batch);
    fleet.is_store_down = true;
    fleet
}

fn set_store_unavailable(fleet: &mut Fleet, is_store_unavailable: bool) {
    fleet.engine.set_store_unavailable(is_store_unavailable);
    fleet.advance(100);
}

/// Guards against an unknown outcome for jobs that were never sent to the store, as their callers
/// could not submit them again.
#[test]
fn unsent_job_is_refused_while_the_store_is_unavailable() {
    let mut fleet = fleet_without_store();
    fleet.submit(2, 1);
    set_store_unavailable(&mut fleet, true);
    assert_eq!(responses(&fleet, 2), [CallerResponse::Refused]);
    fleet.submit(3, 1);
    fleet.advance(100);
    assert_eq!(responses(&fleet, 3), [CallerResponse::Refused]);
}

/// Guards against refusing a job that may be stored and would then run.
#[test]
fn job_that_may_be_stored_is_not_refused() {
    let mut fleet = fleet_without_store();
    set_store_unavailable(&mut fleet, true);
    assert_eq!(responses(&fleet, 1), []);
    fleet.is_store_down = false;
    set_store_unavailable(&mut fleet, false);
    assert_eq!(responses(&fleet, 1), [CallerResponse::Accepted]);
}

#[test]
fn refused_job_does_not_run_and_may_be_resubmitted() {
    let mut fleet = fleet_without_store();
    fleet.submit(2, 1);
    set_store_unavailable(&mut fleet, true);
    fleet.is_store_down = false;
    set_store_unavailable(&mut fleet, false);
    assert_eq!(fleet.job_state(2), None);
    assert_eq!(fleet.endpoints[0].running.len(), 1);
    fleet.submit(2, 1);
    fleet.advance(100);
    assert_eq!(
        responses(&fleet, 2),
        [CallerResponse::Refused, CallerResponse::Accepted]
    );
    assert_eq!(fleet.job_state(2), Some(JobState::Running));
}

#[test]
fn resubmitted_job_stays_accepted_while_the_store_is_unavailable() {
    let mut fleet = fleet_without_store();
    fleet.is_store_down = false;
    fleet.advance(100);
    set_store_unavailable(&mut fleet, true);
    fleet.submit(1, 1);
    fleet.advance(100);
    assert_eq!(
        responses(&fleet, 1),
        [CallerResponse::Accepted, CallerResponse::Accepted]
    );
}

/// Changes the queue of all jobs.
fn change_queue(fleet: &mut Fleet) {
    fleet.version += 1;
    let queue = Queue {
        target_latency_ms: 700,
        ..queue()
    };
    let config = FleetConfig {
        version: fleet.version,
        queues: vec![queue],
        pools: vec![pool(POOL, false), pool("spare", true)],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
}

/// Guards against forgetting a job in flight to the store whose queue is changed meanwhile.
#[test]
fn job_in_flight_with_a_changed_queue_is_not_refused() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    fleet.submit(1, 1);
    let batch = fleet.engine.take_batch(fleet.now);
    change_queue(&mut fleet);
    fleet.engine.set_store_unavailable(true);
    fleet.put_in_flight(batch);
    set_store_unavailable(&mut fleet, false);
    assert_eq!(responses(&fleet, 1), [CallerResponse::Accepted]);
    assert_eq!(fleet.job_state(1), Some(JobState::Running));
}

/// Guards against two runs of a task that is submitted again while its records are in flight.
#[test]
fn job_resubmitted_while_in_flight_starts_once() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 1_000);
    fleet.list_endpoint("i-2", 1_000);
    fleet.advance(200);
    fleet.submit(1, 1);
    let first = fleet.engine.take_batch(fleet.now);
    change_queue(&mut fleet);
    fleet.engine.set_store_unavailable(true);
    fleet.engine.set_store_unavailable(false);
    fleet.submit(1, 1);
    let second = fleet.engine.take_batch(fleet.now);
    for batch in [first, second] {
        fleet.put_in_flight(batch);
        fleet.settle();
    }
    let runs = fleet
        .endpoints
        .iter()
        .flat_map(|endpoint| &endpoint.running);
    assert_eq!(runs.count(), 1);
}

/// Guards against a job that runs although its cancellation was answered, because its first
/// submission was refused while the store was unavailable.
#[test]
fn cancelled_job_remains_cancelled_after_its_submission_was_refused() {
    let mut fleet = fleet_without_store();
    fleet.submit(2, 1);
    fleet.handle(Event::Cancel {
        job: job_id(2),
        account: "".into(),
        token: 3,
    });
    set_store_unavailable(&mut fleet, true);
    assert_eq!(responses(&fleet, 2), [CallerResponse::Refused]);
    fleet.is_store_down = false;
    set_store_unavailable(&mut fleet, false);
    assert_eq!(responses(&fleet, 3), [CallerResponse::Cancelled]);
    fleet.submit(2, 1);
    fleet.advance(1_000);
    assert_eq!(fleet.job_state(2), Some(JobState::Cancelled));
    assert_eq!(fleet.endpoints[0].running.len(), 1, "only that of job 1");
}
