//! Handling of ended endpoint incarnations.

mod common;

use {
    common::{Fleet, job_id, listed},
    lynxwheel_engine::{
        CallOutcome, EndpointKey, EndpointReport, Event, JobState, RunningTask, TaskRef,
    },
};

/// Registers a new incarnation in place of the latest endpoint.
fn replace(fleet: &mut Fleet, id: &str) {
    let mut entry = fleet.entries.pop().expect("an endpoint");
    fleet.endpoints.pop();
    entry.id = id.into();
    fleet.entries.push(entry.clone());
    fleet.endpoints.push(common::FakeEndpoint {
        id: id.into(),
        ..common::FakeEndpoint::default()
    });
    fleet.handle(listed(entry, true));
    fleet.settle();
}

/// Guards against the table of incarnations growing without bound as VMs move.
#[test]
fn ended_incarnations_are_removed() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    for number in 1..50 {
        fleet.advance(1_000);
        replace(&mut fleet, &format!("i-{number}"));
    }
    assert!(fleet.engine.endpoints().keys().len() < 35);
    fleet.advance(31_000);
    assert_eq!(fleet.engine.endpoints().keys().len(), 1);
}

/// Guards against late responses that refer to a removed incarnation.
#[test]
fn late_answer_of_a_removed_incarnation_is_ignored() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    let forgotten = fleet.engine.endpoints().keys()[0];
    fleet.advance(1_000);
    replace(&mut fleet, "i-1");
    fleet.advance(31_000);
    let task: TaskRef = format!("{}.0.0.0", job_id(1)).parse().expect("a task");
    for outcome in [CallOutcome::Done(1), CallOutcome::Unknown] {
        fleet.handle(Event::Started {
            endpoint: forgotten,
            task,
            run: 1,
            outcome: outcome.clone(),
        });
        fleet.handle(Event::Stopped {
            endpoint: forgotten,
            task,
            run: 1,
            outcome,
        });
    }
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all_done();
    fleet.settle();
    assert_eq!(fleet.job_state(1), Some(JobState::Completed));
}

/// Guards against a late report of a replaced incarnation ending its successor, whose runs would be
/// started a second time.
#[test]
fn late_report_of_a_replaced_incarnation_ends_no_other() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    let replaced = fleet.engine.endpoints().keys()[0];
    fleet.advance(1_000);
    replace(&mut fleet, "i-1");
    fleet.submit(1, 1);
    fleet.advance(500);
    assert_eq!(fleet.running_cores(|_| true), 1);
    fleet.handle(Event::Renewed {
        endpoint: replaced,
        outcome: CallOutcome::Done(EndpointReport::default()),
    });
    fleet.settle();
    let current = fleet.engine.endpoints().find("i-1").expect("a listed one");
    assert!(!fleet.engine.endpoints().get(current).has_ended);
    assert_eq!(fleet.starts(&format!("{}.0.0.0", job_id(1))), 1);
}

/// Lets the draining endpoint of a task be deregistered after a silence, close its connection and
/// accept no other.
fn fleet_after_leaving(silence_ms: u64) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    fleet.submit(1, 1);
    fleet.advance(500);
    fleet.list_endpoint("i-1", 16_000);
    let mut entry = fleet.entries[0].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, true));
    fleet.advance(500);
    fleet.endpoints[0].is_unresponsive = true;
    fleet.advance(silence_ms);
    fleet.handle(Event::Deregistered("i-0".into()));
    let left = fleet.engine.endpoints().find("i-0").expect("a listed one");
    fleet.handle(Event::Renewed {
        endpoint: left,
        outcome: CallOutcome::Unsent,
    });
    fleet.advance(300);
    fleet
}

/// Returns the number of starts of a task after its draining endpoint has left or seems to have.
fn starts_after_leaving(silence_ms: u64) -> usize {
    fleet_after_leaving(silence_ms).starts(&format!("{}.0.0.0", job_id(1)))
}

macro_rules! leaving {
    ($($(#[$doc:meta])* $name:ident: $silence_ms:expr => $starts:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(starts_after_leaving($silence_ms), $starts);
        })*
    };
}

leaving! {
    /// Guards against starting a task again that may still run on a draining endpoint which is cut
    /// off and whose registry entry has expired.
    draining_endpoint_that_is_cut_off_may_still_run: 4_500 => 1;

    /// Guards against waiting for the lease of an endpoint that has shut down.
    draining_endpoint_that_leaves_has_ended: 500 => 2;
}

/// Returns a fleet whose only endpoint drains while a task runs there.
fn fleet_with_draining_endpoint() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    fleet.submit(1, 1);
    fleet.advance(500);
    let mut entry = fleet.entries[0].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, true));
    fleet.settle();
    fleet
}

/// Guards against waiting for the lease of an endpoint whose entry is removed after its connections
/// are closed.
#[test]
fn endpoint_that_closes_connections_before_it_is_deregistered_has_ended() {
    let mut fleet = fleet_with_draining_endpoint();
    fleet.advance(500);
    fleet.endpoints[0].is_unresponsive = true;
    let left = fleet.engine.endpoints().find("i-0").expect("a listed one");
    fleet.handle(Event::Renewed {
        endpoint: left,
        outcome: CallOutcome::Unsent,
    });
    assert!(!fleet.engine.endpoints().get(left).has_ended);
    fleet.handle(Event::Deregistered("i-0".into()));
    assert!(fleet.engine.endpoints().get(left).has_ended);
}

/// Guards against runs on an endpoint that was taken for shut down, is active, and is never called
/// again.
#[test]
fn endpoint_that_seemed_to_have_left_is_called_again() {
    let mut fleet = fleet_after_leaving(500);
    let key = fleet.engine.endpoints().find("i-0").expect("a listed one");
    assert!(fleet.engine.endpoints().get(key).has_ended);
    assert_eq!(fleet.endpoints[0].running.len(), 1);
    fleet.endpoints[0].is_unresponsive = false;
    let mut entry = fleet.entries[0].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, true));
    fleet.settle();
    fleet.advance(600);
    assert!(!fleet.engine.endpoints().get(key).has_ended);
    assert_eq!(fleet.endpoints[0].running, []);
    assert_eq!(fleet.endpoints[1].running.len(), 1);
}

/// Guards against an endpoint that is not called again because its entry was found in a list of all
/// entries.
#[test]
fn endpoint_that_is_listed_again_is_called_again() {
    let mut fleet = fleet_after_leaving(500);
    let key = left(&fleet);
    let mut entry = fleet.entries[0].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, false));
    assert!(!fleet.engine.endpoints().get(key).has_ended);
}

/// Returns the endpoint that seems to have left.
fn left(fleet: &Fleet) -> EndpointKey {
    fleet.engine.endpoints().find("i-0").expect("a known one")
}

/// Guards against runs on an endpoint that has executed an order after it was taken for shut down,
/// and whose list nobody asks for.
#[test]
fn endpoint_that_has_executed_a_stop_is_asked_for_its_list() {
    let mut fleet = fleet_after_leaving(500);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = false;
    fleet.handle(Event::Stopped {
        endpoint: left(&fleet),
        task: format!("{}.0.0.9", job_id(2)).parse().expect("a task"),
        run: 1,
        outcome: CallOutcome::Done(fleet.clock_ms()),
    });
    fleet.settle();
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running, []);
    assert_eq!(fleet.endpoints[1].running.len(), 1);
}

/// Guards against an executed start that does not count as a sign of an active endpoint.
#[test]
fn endpoint_that_has_executed_a_start_is_asked_for_its_list() {
    let mut fleet = fleet_after_leaving(500);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = false;
    let (task, run) = fleet.endpoints[0].running[0];
    fleet.handle(Event::Started {
        endpoint: left(&fleet),
        task,
        run,
        outcome: CallOutcome::Done(fleet.clock_ms()),
    });
    fleet.settle();
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running, []);
}

/// Guards against an end that is inferred from a closed connection although the endpoint has responded
/// since.
#[test]
fn endpoint_that_responds_after_a_closed_connection_has_not_ended() {
    let mut fleet = fleet_with_draining_endpoint();
    let endpoint = left(&fleet);
    fleet.handle(Event::Renewed {
        endpoint,
        outcome: CallOutcome::Unsent,
    });
    fleet.advance(1_000);
    fleet.handle(Event::Deregistered("i-0".into()));
    assert!(!fleet.engine.endpoints().get(endpoint).has_ended);
}

/// Guards against ignoring the list of an endpoint that responds to another call after it was taken
/// for shut down.
#[test]
fn report_of_an_endpoint_that_seemed_to_have_left_counts() {
    let mut fleet = fleet_after_leaving(500);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = false;
    let (task, run) = fleet.endpoints[0].running[0];
    let running = RunningTask {
        task,
        run,
        checkpoint: "".into(),
        percent: 50,
        usage: None,
    };
    let report = EndpointReport {
        clock_ms: fleet.clock_ms(),
        running: vec![running],
        ..EndpointReport::default()
    };
    fleet.handle(Event::Renewed {
        endpoint: left(&fleet),
        outcome: CallOutcome::Done(report),
    });
    fleet.settle();
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running, []);
}

/// Guards against an inferred end that is still in doubt after the next incarnation has responded.
#[test]
fn successor_proves_an_inferred_end() {
    let mut fleet = fleet_after_leaving(500);
    fleet.settle();
    let mut entry = fleet.entries[0].clone();
    entry.is_draining = true;
    fleet.crash(0);
    fleet.restart(0);
    fleet.advance(500);
    fleet.handle(listed(entry, true));
    assert!(fleet.engine.endpoints().get(left(&fleet)).has_ended);
}

/// Guards against an incarnation that counts as active again because of a registry entry that was
/// written after another one had replaced it.
#[test]
fn replaced_incarnation_does_not_resume() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    let entry = fleet.entries[0].clone();
    fleet.advance(1_000);
    replace(&mut fleet, "i-1");
    fleet.advance(1_000);
    let replaced = fleet.engine.endpoints().find("i-0").expect("a known one");
    assert!(fleet.engine.endpoints().get(replaced).has_ended);
    fleet.handle(listed(entry, true));
    fleet.advance(1_000);
    assert!(fleet.engine.endpoints().get(replaced).has_ended);
}
