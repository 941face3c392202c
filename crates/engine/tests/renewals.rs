//! Time for which endpoints may hold renewals.

mod common;

use {
    common::{Fleet, job_id, step},
    lynxwheel_engine::{Effect, EndKind, JobSpec, StepSpec},
};

/// Returns the hold time of the latest renewal for an endpoint that runs one task of a step.
fn wait_with(step: StepSpec) -> Option<u64> {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.advance(2_500);
    let waits = fleet.orders.iter().rev().filter_map(|order| match order {
        Effect::Renew { wait_ms, .. } => Some(*wait_ms),
        _ => None,
    });
    waits.into_iter().next()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $step:expr => $wait_ms:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(wait_with($step), Some($wait_ms));
        })*
    };
}

cases! {
    /// Guards against a lost response delaying the end of a finite task by a long hold time.
    finite_task_has_a_short_hold_time: step(1) => 300;

    long_running_task_has_a_long_hold_time:
        StepSpec { long_running: true, ..step(1) } => 1_000;
}

/// Guards against an idle endpoint that takes no starts any more after one renewal without a
/// response, and whose last end is never acknowledged.
#[test]
fn idle_endpoint_is_called_again_after_a_lost_response() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.submit(1, 1);
    fleet.settle();
    fleet.end_all(EndKind::Done);
    fleet.endpoints[0].is_unresponsive = true;
    fleet.advance(300);
    assert_eq!(fleet.engine.endpoints().get(0).failed_calls, 1);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(1_000);
    fleet.submit(2, 1);
    fleet.settle();
    assert_eq!(fleet.starts(&format!("{}.0.0.0", job_id(2))), 1);
}
