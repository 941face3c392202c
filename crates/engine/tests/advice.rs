//! Queues whose endpoints are chosen by the advice service.

mod common;

use {
    common::{Fleet, job_id, queue, step},
    lynxwheel_engine::{Effect, Event, FleetConfig, JobSpec, Queue, Refusal, Ticket},
};

fn advised_queue() -> Queue {
    Queue {
        advised: true,
        ..queue()
    }
}

fn submit(fleet: &mut Fleet) {
    let spec = JobSpec {
        steps: vec![step(1)],
        ..JobSpec::default()
    };
    fleet.handle(Event::Submit {
        job: job_id(1),
        queue: advised_queue(),
        spec: Box::new(spec),
        account: "".into(),
        origin: None,
        token: 1,
    });
    fleet.settle();
}

fn requested(fleet: &Fleet) -> Vec<Vec<String>> {
    let asks = fleet.orders.iter().filter_map(|order| match order {
        Effect::GetTickets { endpoints, .. } => {
            Some(endpoints.iter().map(ToString::to_string).collect())
        }
        _ => None,
    });
    asks.collect()
}

fn respond(fleet: &mut Fleet, good: &[&str]) {
    let tickets = good.iter().map(|id| Ticket {
        endpoint: (*id).into(),
        text: format!("ticket-{id}").into(),
    });
    fleet.handle(Event::TicketsReceived {
        step: format!("{}.0.0.0", job_id(1)).parse().expect("a name"),
        tickets: Some((tickets.collect(), 3_000)),
    });
    fleet.settle();
}

fn two_endpoints() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    submit(&mut fleet);
    fleet
}

#[test]
fn step_waits_for_its_tickets_and_starts_with_one() {
    let mut fleet = two_endpoints();
    assert_eq!(requested(&fleet), [["i-1", "i-2"]]);
    assert!(
        fleet
            .endpoints
            .iter()
            .all(|endpoint| endpoint.started.is_empty())
    );
    respond(&mut fleet, &["i-2"]);
    assert_eq!(fleet.endpoints[1].started.len(), 1);
    let tickets: Vec<&str> = fleet
        .orders
        .iter()
        .filter_map(|order| match order {
            Effect::Start(order) => Some(order.ticket.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(tickets, ["ticket-i-2"]);
}

/// Guards against a job that never starts because a failed request is not repeated.
#[test]
fn failed_ticket_request_is_repeated() {
    let mut fleet = two_endpoints();
    fleet.handle(Event::TicketsReceived {
        step: format!("{}.0.0.0", job_id(1)).parse().expect("a name"),
        tickets: None,
    });
    fleet.advance(600);
    assert_eq!(requested(&fleet).len(), 2);
}

/// Guards against repeated requests about endpoints that were refused, which is final.
#[test]
fn refused_endpoints_are_not_requested_again() {
    let mut fleet = two_endpoints();
    respond(&mut fleet, &[]);
    fleet.advance(1_000);
    assert_eq!(requested(&fleet).len(), 1);
}

fn refuse_tickets(call: &Effect) -> Option<Refusal> {
    matches!(call, Effect::Start(_)).then_some(Refusal::Ticket)
}

/// Guards against a task that waits for good, as an endpoint refused its ticket.
#[test]
fn refused_ticket_is_requested_again() {
    let mut fleet = two_endpoints();
    fleet.endpoints[1].refuses = Some(refuse_tickets);
    respond(&mut fleet, &["i-2"]);
    fleet.endpoints[1].refuses = None;
    fleet.advance(1_000);
    assert_eq!(requested(&fleet), [vec!["i-1", "i-2"], vec!["i-2"]]);
    respond(&mut fleet, &["i-2"]);
    assert_eq!(fleet.endpoints[1].started.len(), 1);
}

/// Guards against starts without a ticket while the request for one gets no answer.
#[test]
fn step_does_not_start_before_a_refused_ticket_is_replaced() {
    let mut fleet = two_endpoints();
    fleet.endpoints[1].refuses = Some(refuse_tickets);
    respond(&mut fleet, &["i-2"]);
    fleet.advance(3_000);
    let starts = fleet.orders.iter();
    let starts = starts.filter(|order| matches!(order, Effect::Start(_)));
    assert_eq!(starts.count(), 1);
}

/// Guards against a task that waits for good after a takeover, as tickets are not stored.
#[test]
fn new_owner_requests_tickets_again() {
    let mut fleet = two_endpoints();
    fleet.take_over();
    let config = FleetConfig {
        version: 2,
        queues: vec![advised_queue()],
        pools: fleet.pools.clone(),
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    fleet.orders.clear();
    fleet.advance(500);
    assert_eq!(requested(&fleet), [["i-1", "i-2"]]);
    respond(&mut fleet, &["i-1"]);
    assert_eq!(fleet.endpoints[0].started.len(), 1);
}
