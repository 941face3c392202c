//! Speed of filler tasks, compared with what the latencies beside them allow.

mod common;

use {
    common::{Fleet, step},
    lynxwheel_engine::{Effect, EndKind, Event, JobSpec, Now, Refusal, RunPace, StepSpec, TaskRef},
};

/// Limit of the serving task's tail latency, in milliseconds.
const TARGET_MS: u64 = 100;

/// Tail latency at which fillers are stopped, in milliseconds.
const OVER_TARGET_MS: u64 = 150;

/// Tail latency at which fillers may speed up, in milliseconds.
const LOW_MS: u64 = 10;

/// Longest time from the last lost answer until a filler is at the wanted speed, in milliseconds.
const PACED_WITHIN_MS: u64 = 8_000;

const SERVING_JOB: u64 = 1;

const FILLER_JOB: u64 = 2;

/// Returns a fleet of one endpoint with a serving task and a filler, which run at full speed.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    let serving = StepSpec {
        long_running: true,
        target_ms: TARGET_MS,
        ..step(1)
    };
    submit(&mut fleet, SERVING_JOB, serving);
    let filler = StepSpec {
        filler: true,
        long_running: true,
        ..step(1)
    };
    submit(&mut fleet, FILLER_JOB, filler);
    fleet.endpoints[0].usage = Some(LOW_MS);
    fleet.advance(1_000);
    assert_eq!(pace(&fleet), 100);
    fleet
}

fn submit(fleet: &mut Fleet, number: u64, step: StepSpec) {
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    fleet.submit_spec(number, spec);
    fleet.settle();
}

fn run_of(fleet: &Fleet, number: u64) -> (TaskRef, u32) {
    let mut running = fleet.endpoints[0].running.iter();
    let run = running.find(|(task, _)| task.job == common::job_id(number));
    *run.expect("an active run")
}

/// Returns the speed of the filler at its endpoint.
fn pace(fleet: &Fleet) -> u8 {
    let (task, run) = run_of(fleet, FILLER_JOB);
    fleet.endpoints[0].pace(&task, run)
}

/// Returns the ordered speeds.
fn orders(fleet: &Fleet) -> Vec<u8> {
    let orders = fleet.orders.iter().filter_map(|order| match order {
        Effect::Pace { percent, .. } => Some(*percent),
        _ => None,
    });
    orders.collect()
}

fn set_latency(fleet: &mut Fleet, ms: u64) {
    fleet.endpoints[0].usage = Some(ms);
}

fn lose_answers(fleet: &mut Fleet, loses: bool) {
    fleet.endpoints[0].loses_answers = loses;
}

/// Refuses orders. To the owner, one that gets no answer and takes effect late looks the same.
fn refuse_paces(call: &Effect) -> Option<Refusal> {
    matches!(call, Effect::Pace { .. }).then_some(Refusal::Unhealthy)
}

/// Advances until the reports have shown a latency for a while.
fn observe(fleet: &mut Fleet, latency_ms: u64) {
    set_latency(fleet, latency_ms);
    fleet.advance(1_500);
}

fn end_serving(fleet: &mut Fleet) {
    let (task, run) = run_of(fleet, SERVING_JOB);
    fleet.handle(Event::Cancel {
        job: task.job,
        account: "".into(),
        token: 9,
    });
    fleet.endpoints[0].end(&task, run, EndKind::Stopped);
    fleet.settle();
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $disturb:expr => $pace:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut fleet = fleet();
            $disturb(&mut fleet);
            fleet.advance(PACED_WITHIN_MS);
            assert_eq!(pace(&fleet), $pace);
        })*
    };
}

cases! {
    /// Guards against a filler that is slowed down for good, as the answer to the order was lost.
    slowdown_without_an_answer_is_undone: |fleet: &mut Fleet| {
        lose_answers(fleet, true);
        set_latency(fleet, OVER_TARGET_MS);
        fleet.advance(500);
        assert_eq!(pace(fleet), 0);
        set_latency(fleet, LOW_MS);
        lose_answers(fleet, false);
    } => 100;

    /// Guards against a filler that disturbs a serving task, as the answer to the order that sped
    /// it up was lost.
    speedup_without_an_answer_is_undone: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        assert_eq!(pace(fleet), 0);
        lose_answers(fleet, true);
        set_latency(fleet, LOW_MS);
        fleet.advance(500);
        assert!(pace(fleet) > 0);
        set_latency(fleet, OVER_TARGET_MS);
        lose_answers(fleet, false);
    } => 0;

    /// Guards against a slowdown that is given up after a refusal.
    refused_slowdown_is_ordered_again: |fleet: &mut Fleet| {
        fleet.endpoints[0].refuses = Some(refuse_paces);
        observe(fleet, OVER_TARGET_MS);
        assert_eq!(pace(fleet), 100);
        fleet.endpoints[0].refuses = None;
    } => 0;

    /// Guards against a filler that stays slowed down without a serving task beside it.
    filler_is_at_full_speed_once_nothing_serves: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        assert_eq!(pace(fleet), 0);
        end_serving(fleet);
    } => 100;

    /// Guards against a filler that stays slowed down, as the order that nothing serves any more
    /// was refused.
    refused_return_to_full_speed_is_ordered_again: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        fleet.endpoints[0].refuses = Some(refuse_paces);
        end_serving(fleet);
        fleet.advance(1_500);
        assert_eq!(pace(fleet), 0);
        fleet.endpoints[0].refuses = None;
    } => 100;

    /// Guards against a filler that a previous owner slowed down for good.
    slowdown_of_a_previous_owner_is_undone: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        assert_eq!(pace(fleet), 0);
        set_latency(fleet, LOW_MS);
        fleet.take_over();
    } => 100;

    /// Guards against a filler that a previous owner slowed down for good, if the serving task
    /// ended meanwhile.
    slowdown_of_a_previous_owner_is_undone_once_nothing_serves: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        end_serving(fleet);
        let (task, run) = run_of(fleet, FILLER_JOB);
        fleet.endpoints[0].set_pace(&task, run, 0);
        fleet.take_over();
    } => 100;

    /// Guards against a slow filler, as an order without an answer takes effect after later ones.
    late_slowdown_is_undone: |fleet: &mut Fleet| {
        fleet.endpoints[0].refuses = Some(refuse_paces);
        observe(fleet, OVER_TARGET_MS);
        fleet.endpoints[0].refuses = None;
        observe(fleet, LOW_MS);
        let (task, run) = run_of(fleet, FILLER_JOB);
        fleet.endpoints[0].set_pace(&task, run, 0);
    } => 100;

    /// Guards against a filler that disturbs a serving task, as an order without an answer takes
    /// effect after later ones.
    late_speedup_is_undone: |fleet: &mut Fleet| {
        observe(fleet, OVER_TARGET_MS);
        fleet.endpoints[0].refuses = Some(refuse_paces);
        observe(fleet, LOW_MS);
        fleet.endpoints[0].refuses = None;
        observe(fleet, OVER_TARGET_MS);
        let (task, run) = run_of(fleet, FILLER_JOB);
        fleet.endpoints[0].set_pace(&task, run, 15);
        fleet.advance(1_000);
        assert_eq!(pace(fleet), 0, "at the next report");
    } => 0;
}

/// Guards against a new owner that lets a filler of unknown speed disturb a serving task.
#[test]
fn filler_of_a_previous_owner_is_not_sped_up_at_once() {
    let mut fleet = fleet();
    observe(&mut fleet, OVER_TARGET_MS);
    set_latency(&mut fleet, LOW_MS);
    fleet.take_over();
    fleet.orders.clear();
    fleet.advance(2_000);
    let ordered = orders(&fleet);
    assert!(ordered[0] <= 50, "{ordered:?}");
    assert!(ordered.is_sorted(), "{ordered:?}");
}

/// Guards against orders in every report while nothing has to change.
#[test]
fn known_pace_is_not_ordered_again() {
    let mut fleet = fleet();
    fleet.advance(10_000);
    assert_eq!(orders(&fleet), []);
    fleet.take_over();
    fleet.advance(10_000);
    let ordered = orders(&fleet);
    assert_eq!(ordered.last(), Some(&100));
    assert!(ordered.len() <= 6, "{ordered:?}");
}

/// Guards against a speed that counts as that of a run which had not started yet.
#[test]
fn unconfirmed_run_is_not_paced() {
    let mut fleet = fleet();
    fleet.advance(1_000);
    set_latency(&mut fleet, OVER_TARGET_MS);
    lose_answers(&mut fleet, true);
    let second = StepSpec {
        filler: true,
        ..step(1)
    };
    submit(&mut fleet, 3, second);
    lose_answers(&mut fleet, false);
    let (task, _) = fleet.endpoints[0].running.pop().expect("a start");
    fleet.endpoints[0].refuses =
        Some(|call| matches!(call, Effect::Start(_)).then_some(Refusal::Unhealthy));
    fleet.advance(1_000);
    assert!(orders(&fleet).contains(&0), "reports arrive");
    let mut jobs = fleet.engine.jobs();
    assert!(jobs.any(|job| job.id == task.job && job.has_attempts()));
    let is_paced =
        |order: &Effect| matches!(order, Effect::Pace { task: paced, .. } if *paced == task);
    assert!(!fleet.orders.iter().any(is_paced));
}

const NOW: Now = Now {
    steady_ms: 1_000,
    wall_ms: 1_000,
};

/// Guards against a filler that disturbs a serving task while an earlier order awaits its answer.
#[test]
fn slowdown_does_not_wait_for_an_earlier_order() {
    let mut pace = RunPace::new();
    assert_eq!(pace.next_order(Some(90), NOW), Some(50));
    assert_eq!(pace.next_order(Some(100), NOW), Some(0));
}

/// Guards against taking the last answer for that of the order that took effect last.
#[test]
fn pace_is_unknown_after_orders_that_may_have_overtaken_each_other() {
    let mut pace = RunPace::new();
    assert_eq!(pace.next_order(Some(90), NOW), Some(50));
    assert_eq!(pace.next_order(Some(100), NOW), Some(0));
    pace.answered(50, true);
    pace.answered(0, true);
    assert_eq!(pace.next_order(Some(70), NOW), Some(0));
    pace.answered(0, true);
    assert_eq!(pace.next_order(Some(70), NOW), None);
}

/// Guards against an order in each report while an endpoint does not answer.
#[test]
fn orders_without_an_answer_are_bounded() {
    let mut pace = RunPace::new();
    let latencies = [90, 10, 70, 100].into_iter().cycle();
    let orders = latencies
        .take(1_000)
        .filter_map(|percent| pace.next_order(Some(percent), NOW));
    assert_eq!(orders.collect::<Vec<_>>(), [50, 0]);
}

/// Guards against a filler at full speed beside a slow serving task, as the answer to an order for the
/// earlier incarnation of its endpoint is awaited from the next one.
#[test]
fn filler_is_paced_at_the_next_incarnation() {
    let mut fleet = fleet();
    fleet.entries[0].born_ms = Some(fleet.now.wall_ms);
    fleet.endpoints[0].born_ms = fleet.entries[0].born_ms;
    fleet.list_again(0);
    fleet.advance(500);
    let runs = fleet.endpoints[0].running.clone();
    set_latency(&mut fleet, OVER_TARGET_MS);
    fleet.collects_calls = true;
    fleet.advance(1_000);
    assert_eq!(orders(&fleet), [0]);
    fleet.collects_calls = false;
    fleet.restart_with_id(0);
    fleet.endpoints[0].running = runs;
    fleet.list_again(0);
    observe(&mut fleet, OVER_TARGET_MS);
    assert_eq!(pace(&fleet), 0);
}
