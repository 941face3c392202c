//! Detection of stuck runs.

mod common;

use {
    common::{Fleet, job_id},
    lynxwheel_engine::{CallOutcome, Effect, EndpointReport, Event, RunningTask},
};

fn starts(fleet: &Fleet) -> usize {
    fleet.starts(&format!("{}.0.0.0", job_id(1)))
}

fn fleet_with_a_run() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet
}

/// Guards against stuck runs on an endpoint that keeps answering renewals.
#[test]
fn stuck_run_restarts_elsewhere() {
    let mut fleet = fleet_with_a_run();
    fleet.endpoints[0].percent = Some(30);
    fleet.advance(5_000);
    assert_eq!(starts(&fleet), 2);
    assert_eq!(fleet.endpoints[1].started.len(), 1);
}

#[test]
fn run_with_progress_is_not_stopped() {
    let mut fleet = fleet_with_a_run();
    for percent in 1..50 {
        fleet.endpoints[0].percent = Some(percent);
        fleet.advance(1_000);
    }
    assert_eq!(starts(&fleet), 1);
}

/// Guards against an owner that processes several reports late and stops runs that make progress.
#[test]
fn owner_with_delayed_reports_stops_no_progressing_run() {
    let mut fleet = fleet_with_a_run();
    let key = fleet.engine.endpoints().find("i-1").expect("an endpoint");
    let (task, run) = fleet.endpoints[0].running[0];
    let mut clock_ms = 0;
    for _ in 0..5 {
        fleet.now.steady_ms += 3_000;
        clock_ms += 100;
        let running = RunningTask {
            task,
            run,
            checkpoint: "".into(),
            percent: 30,
            usage: None,
        };
        let report = EndpointReport {
            clock_ms,
            running: vec![running],
            ..EndpointReport::default()
        };
        fleet.handle(Event::Renewed {
            endpoint: key,
            outcome: CallOutcome::Done(report),
        });
    }
    fleet.handle(Event::Tick);
    let batch = fleet.engine.take_batch(fleet.now);
    let effects = fleet.engine.committed(batch, fleet.now);
    let is_stop = |effect: &Effect| matches!(effect, Effect::Stop { .. });
    assert!(!effects.iter().any(is_stop));
}
