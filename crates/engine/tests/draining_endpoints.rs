//! Starts on endpoints that begin to drain after the start was decided.

mod common;

use {
    common::{Fleet, job_id, listed},
    lynxwheel_engine::{Effect, EndpointKey},
};

/// Longest time from the end of an impairment until a task is active elsewhere, in milliseconds.
const RESTARTED_WITHIN_MS: u64 = 2_000;

fn drain(fleet: &mut Fleet, index: usize) {
    let mut entry = fleet.entries[index].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, true));
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-0", 16_000);
    fleet.advance(500);
    fleet
}

/// Returns the number of starts sent to an endpoint.
fn starts_on(fleet: &Fleet, id: &str) -> usize {
    let key: EndpointKey = fleet.engine.endpoints().find(id).expect("an endpoint");
    let orders = fleet.orders.iter();
    let starts =
        orders.filter(|order| matches!(order, Effect::Start(order) if order.endpoint == key));
    starts.count()
}

/// Guards against a start without an answer that is sent again to an endpoint which is leaving.
#[test]
fn unanswered_start_is_not_repeated_on_a_draining_endpoint() {
    let mut fleet = fleet();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.submit(1, 1);
    fleet.settle();
    assert_eq!(starts_on(&fleet, "i-0"), 1);
    drain(&mut fleet, 0);
    fleet.list_endpoint("i-1", 16_000);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(RESTARTED_WITHIN_MS);
    assert_eq!(starts_on(&fleet, "i-0"), 1);
    assert_eq!(fleet.endpoints[1].running.len(), 1);
}

/// Guards against a start that is sent to an endpoint which began to drain while the decision was
/// being stored.
#[test]
fn start_is_not_sent_if_its_endpoint_drains_before_it_is_stored() {
    let mut fleet = fleet();
    fleet.submit(1, 1);
    let batch = fleet.engine.take_batch(fleet.now);
    drain(&mut fleet, 0);
    fleet.put_in_flight(batch);
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(RESTARTED_WITHIN_MS);
    assert_eq!(starts_on(&fleet, "i-0"), 0);
    assert_eq!(fleet.endpoints[1].started.len(), 1);
    assert_eq!(fleet.starts(&format!("{}.0.0.0", job_id(1))), 1);
}
