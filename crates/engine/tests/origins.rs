//! Payloads kept by the node that accepted the job.

mod common;

use {
    common::{Fleet, job_id, queue, step},
    lynxwheel_engine::{CallOutcome, Effect, EndpointKey, Event, JobSpec, StartOrder, TaskRef},
    std::net::SocketAddr,
};

fn origin() -> SocketAddr {
    ([10, 0, 0, 7], 7_060).into()
}

/// Returns the starts released by the next batch.
fn starts(fleet: &mut Fleet) -> Vec<StartOrder> {
    fleet.handle(Event::Tick);
    let batch = fleet.engine.take_batch(fleet.now);
    let effects = fleet.engine.committed(batch, fleet.now);
    let starts = effects.into_iter().filter_map(|effect| match effect {
        Effect::Start(order) => Some(*order),
        _ => None,
    });
    starts.collect()
}

fn unsent(fleet: &mut Fleet, endpoint: EndpointKey, task: TaskRef) {
    fleet.handle(Event::Started {
        endpoint,
        task,
        run: 1,
        outcome: CallOutcome::Unsent,
    });
}

/// Returns a fleet with the first start of a job that another node accepted.
fn fleet_with_a_start() -> (Fleet, StartOrder) {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(300);
    fleet.handle(Event::Submit {
        job: job_id(1),
        queue: queue(),
        spec: Box::new(JobSpec {
            payload: "tile 7".into(),
            steps: vec![step(1)],
            ..JobSpec::default()
        }),
        account: "".into(),
        origin: Some(origin()),
        token: 1,
    });
    let start = starts(&mut fleet).remove(0);
    (fleet, start)
}

#[test]
fn start_names_the_node_that_keeps_the_payload() {
    let (_, start) = fleet_with_a_start();
    assert_eq!(start.origin, Some(origin()));
    assert_eq!(start.payload, "tile 7");
}

/// Guards against blaming an endpoint for starts that fail because the node with the payload is
/// gone.
#[test]
fn start_without_its_payload_includes_it_when_retried() {
    let (mut fleet, start) = fleet_with_a_start();
    unsent(&mut fleet, start.endpoint, start.task);
    let endpoint = fleet.engine.endpoints().get(start.endpoint);
    assert_eq!(endpoint.failed_calls, 0);
    let again = starts(&mut fleet);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].origin, None);
}

#[test]
fn unreachable_endpoint_counts_as_failed_if_the_payload_was_sent() {
    let (mut fleet, start) = fleet_with_a_start();
    unsent(&mut fleet, start.endpoint, start.task);
    let again = starts(&mut fleet).remove(0);
    fleet.handle(Event::Started {
        endpoint: again.endpoint,
        task: again.task,
        run: again.run,
        outcome: CallOutcome::Unsent,
    });
    let endpoint = fleet.engine.endpoints().get(again.endpoint);
    assert_eq!(endpoint.failed_calls, 1);
}
