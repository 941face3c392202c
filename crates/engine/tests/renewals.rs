//! Time for which endpoints may hold renewals.

mod common;

use {
    common::{Fleet, job_id, step},
    lynxwheel_engine::{Effect, EndKind, Event, JobSpec, Refusal, StepSpec, TaskRef},
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

/// Time for which an endpoint refuses renewals, in milliseconds, which is longer than its lease.
const REFUSED_MS: u64 = 20_000;

/// Longest time from the first refused renewal until a task starts elsewhere, in milliseconds: the
/// lease, its margin, and the slack for slow clocks, counted from a renewal that may have been
/// granted just before.
const MOVED_WITHIN_MS: u64 = 8_000;

/// Longest time from the end of the refusals until all ends are acknowledged, in milliseconds.
const ACKNOWLEDGED_WITHIN_MS: u64 = 2_000;

fn refuse_renewals(call: &Effect) -> Option<Refusal> {
    matches!(call, Effect::Renew { .. }).then_some(Refusal::Unhealthy)
}

fn task_of(number: u64) -> TaskRef {
    format!("{}.0.0.0", job_id(number)).parse().expect("a name")
}

fn active_runs(fleet: &Fleet, number: u64) -> usize {
    let running = fleet.endpoints.iter().flat_map(|known| &known.running);
    running.filter(|(task, _)| *task == task_of(number)).count()
}

/// Returns a fleet with one job at the first endpoint for each of the numbers, and a second
/// endpoint.
fn fleet_with_jobs(numbers: &[u64], step: &StepSpec) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    for &number in numbers {
        let spec = JobSpec {
            steps: vec![step.clone()],
            ..JobSpec::default()
        };
        fleet.submit_spec(number, spec);
    }
    fleet.settle();
    fleet.list_endpoint("i-2", 16_000);
    fleet.advance(500);
    assert_eq!(fleet.endpoints[0].running.len(), numbers.len());
    fleet
}

/// Lets the first endpoint refuse renewals while `disturb` is called in each tick; returns when the
/// task of the last job started at the second one.
fn moved_after_ms(fleet: &mut Fleet, number: u64, disturb: impl Fn(&mut Fleet, u64)) -> u64 {
    fleet.endpoints[0].refuses = Some(refuse_renewals);
    let mut moved_ms = u64::MAX;
    for passed_ms in (0..REFUSED_MS).step_by(100) {
        disturb(fleet, passed_ms);
        fleet.advance(100);
        assert!(
            active_runs(fleet, number) <= 1,
            "two runs after {passed_ms} ms"
        );
        let is_moved = !fleet.endpoints[1].started.is_empty();
        if is_moved && moved_ms == u64::MAX {
            moved_ms = passed_ms;
        }
    }
    fleet.endpoints[0].refuses = None;
    moved_ms
}

macro_rules! refused {
    ($($(#[$doc:meta])* $name:ident: $numbers:expr, $step:expr, $disturb:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let numbers: &[u64] = &$numbers;
            let last = numbers[numbers.len() - 1];
            let mut fleet = fleet_with_jobs(numbers, &$step);
            let moved_ms = moved_after_ms(&mut fleet, last, $disturb);
            assert!(moved_ms <= MOVED_WITHIN_MS, "moved after {moved_ms} ms");
            fleet.advance(ACKNOWLEDGED_WITHIN_MS);
            assert_eq!(fleet.endpoints[0].ended, []);
            assert_eq!(active_runs(&fleet, last), 1);
            let room = fleet.engine.endpoints().get(0).used.cpu_millis;
            assert_eq!(room, 0);
        })*
    };
}

refused! {
    /// Guards against a second run during the lease, and against room that is kept after it.
    run_moves_after_its_lease_if_renewals_are_refused: [1], step(1), |_, _| {};

    /// Guards against a second run of a task that is never reported as done.
    long_running_task_moves_after_its_lease_if_renewals_are_refused:
        [1], StepSpec { long_running: true, ..step(1) }, |_, _| {};

    /// Guards against a new owner that starts a run during the lease of the previous one, or never.
    run_of_a_previous_owner_moves_after_its_lease: [1], step(1), |fleet, passed_ms| {
        if passed_ms == 500 {
            fleet.take_over();
        }
    };

    /// Guards against room that is kept as long as other orders are executed there.
    executed_stop_does_not_prolong_leases_that_were_refused: [1, 2], step(1), |fleet, passed_ms| {
        if passed_ms == 1_000 {
            fleet.handle(Event::Cancel {
                job: job_id(1),
                account: "".into(),
                token: 9,
            });
        }
    };
}
