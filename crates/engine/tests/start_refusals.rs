//! Refused starts: alone, after a try without an answer, beside a stop, and after the run was
//! removed.

mod common;

use {
    common::{Fleet, job_id, listed, step},
    lynxwheel_engine::{
        CallOutcome, Effect, EndKind, Event, JobSpec, JobState, LogEvent, Refusal, RunOrder,
        StepSpec, TaskRef,
    },
};

/// Time in which a refused task starts again, with the cooldown of its endpoint or its own, in
/// milliseconds.
const RESTARTED_WITHIN_MS: u64 = 2_500;

/// Time in which a start that can't succeed there is given up, in milliseconds.
const GIVEN_UP_WITHIN_MS: u64 = 3_500;

type Refuses = fn(&Effect) -> Option<Refusal>;

macro_rules! refuse_starts {
    ($refusal:ident) => {
        |call| matches!(call, Effect::Start(_)).then_some(Refusal::$refusal)
    };
}

fn cancel(fleet: &mut Fleet) {
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: "".into(),
        token: 9,
    });
}

/// Returns a fleet with one idle endpoint of four cores.
fn idle_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(200);
    fleet
}

/// Returns the task of the first job.
fn task() -> TaskRef {
    format!("{}.0.0.0", job_id(1)).parse().expect("a name")
}

/// Returns the endpoints on which the owner has placed runs of the task, each with its run number.
fn placed(fleet: &Fleet) -> Vec<(u32, u32)> {
    let endpoints = fleet.engine.endpoints().iter();
    let placed = endpoints.flat_map(|(key, endpoint)| {
        let runs = endpoint.placed_runs.iter();
        let own = runs.filter(|placed| placed.task == task());
        own.map(move |placed| (key, placed.run))
    });
    placed.collect()
}

/// Makes the first try of a start take no effect yet and get no answer, and the later ones be
/// refused.
fn fleet_with_unanswered_start(refuses: Refuses) -> Fleet {
    let mut fleet = idle_fleet();
    fleet.endpoints[0].loses_answers = true;
    fleet.submit(1, 1);
    fleet.settle();
    fleet.endpoints[0].loses_answers = false;
    fleet.endpoints[0].running.clear();
    fleet.endpoints[0].started.clear();
    fleet.endpoints[0].refuses = Some(refuses);
    fleet.list_endpoint("i-2", 4_000);
    fleet
}

fn starts_after_refusal(refuses: Refuses) -> (usize, usize) {
    let mut fleet = idle_fleet();
    fleet.endpoints[0].refuses = Some(refuses);
    fleet.submit(1, 1);
    fleet.settle();
    let placed_after_refusal = placed(&fleet).len();
    fleet.endpoints[0].refuses = None;
    fleet.advance(RESTARTED_WITHIN_MS);
    (placed_after_refusal, fleet.endpoints[0].running.len())
}

/// Returns whether the room of a start is kept after refused retries, and whether the run is known
/// and active once the first try has taken effect.
fn late_start_after_refusals(refuses: Refuses) -> (bool, bool) {
    let mut fleet = fleet_with_unanswered_start(refuses);
    fleet.advance(400);
    let is_kept = placed(&fleet) == [(0, 1)] && fleet.endpoints[1].started.is_empty();
    fleet.endpoints[0].running.push((task(), 1));
    fleet.endpoints[0].started.push((task(), 1));
    fleet.advance(GIVEN_UP_WITHIN_MS);
    fleet.endpoints[0].refuses = None;
    fleet.advance(1_000);
    let is_known = placed(&fleet).len() == 1;
    let active = fleet.endpoints.iter().map(|one| one.running.len());
    (is_kept, is_known && active.sum::<usize>() == 1)
}

/// Cancels a job whose start is refused before the stop is stored; returns the runs left.
fn runs_left_after_cancel(refuses: Refuses, is_unanswered: bool) -> usize {
    let mut fleet = if is_unanswered {
        fleet_with_unanswered_start(refuses)
    } else {
        let mut fleet = idle_fleet();
        fleet.endpoints[0].refuses = Some(refuses);
        fleet.submit(1, 1);
        fleet
    };
    cancel(&mut fleet);
    fleet.settle();
    fleet.advance(1_500);
    fleet.endpoints[0].running.len() + placed(&fleet).len()
}

macro_rules! refusals {
    ($($refusal:ident: $alone:ident, $kept:ident, $cancelled:ident, $cancelled_late:ident;)*) => {
        $(
            /// Guards against a task that waits for a start which was refused.
            #[test] fn $alone() {
                assert_eq!(starts_after_refusal(refuse_starts!($refusal)), (0, 1));
            }

            /// Guards against a second run, as a refused retry counts for the first try, too.
            #[test] fn $kept() {
                let outcome = late_start_after_refusals(refuse_starts!($refusal));
                assert_eq!(outcome, (true, true));
            }

            /// Guards against room that stays reserved for a refused start of a cancelled job.
            #[test] fn $cancelled() {
                assert_eq!(runs_left_after_cancel(refuse_starts!($refusal), false), 0);
            }

            /// Guards against room that stays reserved for an unanswered start of a cancelled job.
            #[test] fn $cancelled_late() {
                assert_eq!(runs_left_after_cancel(refuse_starts!($refusal), true), 0);
            }
        )*
    };
}

refusals! {
    Unhealthy: start_at_an_unhealthy_endpoint, retry_at_an_unhealthy_endpoint,
        cancelled_start_at_an_unhealthy_endpoint, cancelled_retry_at_an_unhealthy_endpoint;
    Late: start_after_its_deadline, retry_after_its_deadline,
        cancelled_start_after_its_deadline, cancelled_retry_after_its_deadline;
    NoRoom: start_without_room, retry_without_room,
        cancelled_start_without_room, cancelled_retry_without_room;
    Ticket: start_without_a_ticket, retry_without_a_ticket,
        cancelled_start_without_a_ticket, cancelled_retry_without_a_ticket;
    Invalid: invalid_start, invalid_retry, cancelled_invalid_start, cancelled_invalid_retry;
}

/// Returns the highest run number that was ordered while the retries of an unanswered start were
/// refused for good.
fn last_run_after_lasting_refusals(refuses: Refuses) -> Option<u32> {
    let mut fleet = fleet_with_unanswered_start(refuses);
    fleet.advance(GIVEN_UP_WITHIN_MS);
    let runs = fleet.orders.iter().filter_map(|order| match order {
        Effect::Start(order) => Some(order.run),
        _ => None,
    });
    runs.max()
}

macro_rules! lasting {
    ($($(#[$doc:meta])* $name:ident: $refusal:ident => $run:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let run = last_run_after_lasting_refusals(refuse_starts!($refusal));
            assert_eq!(run, Some($run));
        })*
    };
}

lasting! {
    /// Guards against a task that never runs, as its start is retried without a ticket for good.
    start_is_given_up_after_a_retry_without_a_ticket: Ticket => 2;

    /// Guards against a task that never runs, as a start that is malformed there is retried for
    /// good.
    start_is_given_up_after_an_invalid_retry: Invalid => 2;

    /// Guards against giving up a start that may succeed as soon as the endpoint has recovered.
    start_is_retried_at_an_unhealthy_endpoint: Unhealthy => 1;

    /// Guards against giving up a start that succeeds as soon as a run there has ended.
    start_is_retried_without_room: NoRoom => 1;
}

/// Guards against a task that waits for the end of a run which an endpoint rejects as an old one.
#[test]
fn task_starts_again_after_its_run_was_rejected_as_old() {
    let mut fleet = idle_fleet();
    fleet.endpoints[0].refuses = Some(refuse_starts!(OldRun));
    fleet.submit(1, 1);
    fleet.settle();
    fleet.endpoints[0].refuses = None;
    fleet.advance(RESTARTED_WITHIN_MS);
    assert_eq!(fleet.endpoints[0].running, [(task(), 2)]);
}

/// Guards against a second run, as the start that is rejected as old refers to one that was
/// executed and has ended.
#[test]
fn end_of_a_run_that_was_rejected_as_old_counts() {
    let mut fleet = fleet_with_unanswered_start(refuse_starts!(OldRun));
    fleet.endpoints[0].running.push((task(), 1));
    fleet.endpoints[0].end(&task(), 1, EndKind::Done);
    fleet.advance(RESTARTED_WITHIN_MS);
    assert_eq!(fleet.starts(&task().to_string()), 0);
    assert_eq!(fleet.job_state(1), Some(JobState::Completed));
}

fn answer_start(fleet: &mut Fleet, run: u32, outcome: CallOutcome<u64>) {
    fleet.handle(Event::Started {
        endpoint: 0,
        task: task(),
        run,
        outcome,
    });
    fleet.settle();
}

macro_rules! after_removal {
    ($($(#[$doc:meta])* $name:ident: $outcome:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut fleet = idle_fleet();
            fleet.submit(1, 1);
            fleet.settle();
            fleet.end_all(EndKind::Stopped);
            fleet.advance(500);
            assert_eq!(fleet.endpoints[0].running, [(task(), 2)]);
            answer_start(&mut fleet, 1, $outcome);
            fleet.advance(2_000);
            assert_eq!(placed(&fleet), [(0, 2)]);
            assert_eq!(fleet.endpoints[0].started.len(), 2);
        })*
    };
}

after_removal! {
    /// Guards against a late answer that counts for the next run of the task.
    late_confirmation_of_a_removed_run: CallOutcome::Done(1);

    /// Guards against a late refusal that removes the next run of the task.
    late_refusal_of_a_removed_run: CallOutcome::Refused(Refusal::Unhealthy);

    /// Guards against a late refusal that confirms the next run of the task.
    late_rejection_of_a_removed_run: CallOutcome::Refused(Refusal::OldRun);

    /// Guards against retries of a run that was removed.
    late_loss_of_a_removed_run: CallOutcome::Unknown;
}

/// Guards against a second run, as a previous owner's start without an answer takes effect before
/// the new owner's first report.
#[test]
fn inherited_start_that_took_effect_is_not_repeated() {
    let mut fleet = fleet_with_unanswered_start(refuse_starts!(Unhealthy));
    fleet.take_over();
    fleet.endpoints[0].running.push((task(), 1));
    fleet.advance(2_000);
    assert_eq!(placed(&fleet), [(0, 1)]);
    assert!(fleet.endpoints[1].started.is_empty());
}

/// Guards against room that stays reserved for a previous owner's start that was never executed.
#[test]
fn inherited_start_that_was_refused_is_repeated() {
    let mut fleet = fleet_with_unanswered_start(refuse_starts!(Unhealthy));
    fleet.take_over();
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running, []);
    assert_eq!(fleet.endpoints[1].running.len(), 1);
}

/// Guards against an endpoint that refuses every start for good, as its clock was read late and
/// nothing reads it again.
#[test]
fn start_refused_for_its_deadline_is_repeated_after_a_report() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(2_000);
    fleet.endpoints[0].refuses =
        Some(|call| matches!(call, Effect::Start(_)).then_some(Refusal::Late));
    fleet.orders.clear();
    fleet.submit(1, 1);
    fleet.advance(2_000);
    let is_start = |order: &Effect| matches!(order, Effect::Start(_));
    let is_renewal = |order: &Effect| matches!(order, Effect::Renew { .. });
    let calls = fleet.orders.iter();
    let calls: Vec<bool> = calls
        .filter(|order| is_start(order) || is_renewal(order))
        .map(is_start)
        .collect();
    assert!(calls.len() >= 4, "{calls:?}");
    let is_repeated = calls.windows(2).any(|pair| pair == [true, true]);
    assert!(!is_repeated, "two starts without a report between them");
}

/// Returns a fleet with a run that a report has confirmed while a retry of its start is under way.
fn fleet_with_retry_under_way() -> Fleet {
    let mut fleet = idle_fleet();
    fleet.endpoints[0].loses_answers = true;
    fleet.submit(1, 1);
    fleet.settle();
    fleet.endpoints[0].loses_answers = false;
    fleet.advance(600);
    assert_eq!(fleet.endpoints[0].running, [(task(), 1)]);
    fleet
}

/// Returns whether a run goes on after the retry of its start had an outcome, on an endpoint that
/// may be draining by then.
fn goes_on_after(outcome: CallOutcome<u64>, is_draining: bool) -> bool {
    let mut fleet = fleet_with_retry_under_way();
    if is_draining {
        let mut entry = fleet.entries[0].clone();
        entry.is_draining = true;
        fleet.handle(listed(entry, true));
        fleet.settle();
    }
    fleet.handle(Event::Started {
        endpoint: 0,
        task: task(),
        run: 1,
        outcome,
    });
    fleet.settle();
    fleet.advance(1_000);
    let is_stop = |order: &Effect| matches!(order, Effect::Stop { .. });
    !fleet.orders.iter().any(is_stop) && fleet.endpoints[0].running == [(task(), 1)]
}

macro_rules! confirmed {
    ($($name:ident: $outcome:expr, $is_draining:expr;)*) => {
        $(/// Guards against an answer to a repeated start that counts for more than a list with the run.
        #[test] fn $name() {
            assert!(goes_on_after($outcome, $is_draining));
        })*
    };
}

confirmed! {
    listed_run_whose_retry_lacks_a_ticket: CallOutcome::Refused(Refusal::Ticket), false;
    listed_run_whose_retry_is_malformed: CallOutcome::Refused(Refusal::Invalid), false;
    listed_run_whose_retry_is_refused: CallOutcome::Refused(Refusal::Unhealthy), false;
    listed_run_whose_retry_is_refused_while_draining:
        CallOutcome::Refused(Refusal::Unhealthy), true;
    listed_run_whose_retry_is_late_while_draining: CallOutcome::Refused(Refusal::Late), true;
    listed_run_whose_retry_is_not_sent_while_draining: CallOutcome::Unsent, true;
}

/// Guards against starts that are rejected for ever because the budget of their step allows no
/// stop.
#[test]
fn rejected_starts_are_given_up_beyond_the_budget_of_their_step() {
    let mut fleet = idle_fleet();
    fleet.endpoints[0].loses_answers = true;
    let lasting = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(3)
    };
    let spec = JobSpec {
        steps: vec![lasting],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.settle();
    fleet.endpoints[0].loses_answers = false;
    fleet.endpoints[0].running.clear();
    fleet.endpoints[0].refuses = Some(refuse_starts!(Ticket));
    fleet.list_endpoint("i-2", 4_000);
    fleet.advance(5_000);
    assert_eq!(fleet.endpoints[1].running.len(), 3);
}

/// Returns the time until the next try in the latest line about a refused start.
fn logged_retry_ms(fleet: &mut Fleet) -> Option<u64> {
    let events = fleet.engine.take_log_events();
    let mut refused = events.iter().rev().filter_map(|event| match event {
        LogEvent::OrderRefused(refused) => Some(refused),
        _ => None,
    });
    let latest = refused.next().expect("a refused start");
    assert_eq!(latest.order, RunOrder::Start);
    latest.retry_ms
}

macro_rules! logged {
    ($($(#[$doc:meta])* $name:ident: $refusal:ident => $retry_ms:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut fleet = fleet_with_unanswered_start(refuse_starts!($refusal));
            fleet.advance(300);
            assert_eq!(logged_retry_ms(&mut fleet), $retry_ms);
        })*
    };
}

logged! {
    start_with_another_try: Unhealthy => Some(200);

    /// Guards against a line that announces a try of a start that is stopped instead.
    start_without_another_try: Ticket => None;
}
