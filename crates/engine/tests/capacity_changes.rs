//! Endpoints whose capacity shrinks and grows again while they run.

mod common;

use {
    common::{Fleet, job_id, step},
    lynxwheel_engine::{Effect, Event, JobSpec, JobState, StepSpec, TaskRef},
};

fn task(job: u64) -> String {
    format!("{}.0.0.0", job_id(job))
}

/// Returns a fleet with one endpoint of four cores.
fn fleet_of_one() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.settle();
    fleet
}

/// Returns the numbers of starts and stops sent for a job.
fn orders(fleet: &Fleet, job: u64) -> (usize, usize) {
    let is_of_job = |task: &TaskRef| task.job == job_id(job);
    let orders = fleet.orders.iter();
    orders.fold((0, 0), |(starts, stops), order| match order {
        Effect::Start(order) if is_of_job(&order.task) => (starts + 1, stops),
        Effect::Stop { task, .. } if is_of_job(task) => (starts, stops + 1),
        _ => (starts, stops),
    })
}

/// Decides to start the waiting tasks, and stores the decision after the capacity has changed.
fn decide_and_change(fleet: &mut Fleet, cpu_millis: u64) {
    let batch = fleet.engine.take_batch(fleet.now);
    fleet.set_cpu_millis(0, cpu_millis);
    fleet.put_in_flight(batch);
    fleet.settle();
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $tasks:expr, $cpu_millis:expr => $starts:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut fleet = fleet_of_one();
            fleet.submit(1, $tasks);
            decide_and_change(&mut fleet, $cpu_millis);
            assert_eq!(orders(&fleet, 1), ($starts, 0));
            fleet.advance(3_000);
            assert_eq!(orders(&fleet, 1), ($starts, 0));
            fleet.set_cpu_millis(0, 4_000);
            fleet.advance(500);
            assert_eq!(orders(&fleet, 1), ($tasks, 0));
        })*
    };
}

cases! {
    /// Guards against sending a start that was decided before the capacity shrank.
    start_that_no_longer_fits: 1, 500 => 0;

    /// Guards against sending more of several decided starts than fit.
    some_starts_that_no_longer_fit: 4, 2_000 => 2;

    /// Guards against dropping starts that still fit.
    starts_that_still_fit: 2, 2_000 => 2;
}

/// Guards against repeating an unanswered start after the capacity has shrunk.
#[test]
fn unanswered_start_that_no_longer_fits_is_stopped() {
    let mut fleet = fleet_of_one();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.submit(1, 1);
    fleet.settle();
    assert_eq!(orders(&fleet, 1), (1, 0));
    fleet.set_cpu_millis(0, 500);
    fleet.advance(100);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(2_000);
    let (starts, stops) = orders(&fleet, 1);
    assert_eq!(starts, 1);
    assert!(stops > 0);
    assert_eq!(fleet.starts(&task(1)), 0);
    fleet.set_cpu_millis(0, 4_000);
    fleet.advance(1_000);
    assert_eq!(fleet.starts(&task(1)), 1);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Guards against unanswered starts of a long-running step being repeated, or staying where they
/// have no room, because no other task of the step may be stopped.
#[test]
fn unanswered_starts_beyond_the_interruption_budget_move_on() {
    let mut fleet = fleet_of_one();
    fleet.endpoints[0].is_unresponsive = true;
    let spec = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(2)
    };
    let steps = vec![spec];
    fleet.submit_spec(
        1,
        JobSpec {
            steps,
            ..JobSpec::default()
        },
    );
    fleet.settle();
    fleet.set_cpu_millis(0, 500);
    fleet.advance(100);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(2_000);
    assert_eq!(orders(&fleet, 1).0, 2);
    assert_eq!(fleet.running_cores(|_| true), 0);
    fleet.list_endpoint("i-2", 16_000);
    fleet.advance(2_000);
    assert_eq!(fleet.running_cores(|_| true), 2);
}

/// Guards against starting beside runs that are being stopped, which still use their resources.
#[test]
fn runs_being_stopped_count_after_the_capacity_shrank() {
    let mut fleet = fleet_of_one();
    fleet.submit(1, 2);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: "".into(),
        token: 9,
    });
    fleet.settle();
    fleet.set_cpu_millis(0, 2_000);
    fleet.submit(2, 1);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.endpoints[0].loses_answers = true;
    fleet.settle();
    assert_eq!(fleet.starts(&task(2)), 0);
    fleet.endpoints[0].loses_answers = false;
    fleet.advance(1_000);
    assert_eq!(fleet.job_state(1), Some(JobState::Cancelled));
    assert_eq!(fleet.starts(&task(2)), 1);
}
