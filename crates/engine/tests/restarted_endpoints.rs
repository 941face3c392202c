//! Endpoints that start again under the id that they had.

mod common;

use {
    common::{Fleet, job_id, listed},
    lynxwheel_engine::{
        CallOutcome, Effect, EndpointKey, EndpointReport, Event, Job, JobState, LogEvent,
        MissingRun, Refusal, TaskRef,
    },
};

const ID: &str = "i-0";

fn task(job: u64) -> TaskRef {
    let name = format!("{}.0.0.0", job_id(job));
    name.parse().expect("a task")
}

/// Returns the number of starts of a job's first task.
fn starts(fleet: &Fleet, job: u64) -> usize {
    fleet.starts(&task(job).to_string())
}

fn key(fleet: &Fleet) -> EndpointKey {
    fleet.engine.endpoints().find(ID).expect("a known endpoint")
}

/// Returns a fleet of one endpoint that has ended five runs, all of which are acknowledged.
fn fleet_with_ends() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_born_endpoint(ID, 16_000);
    fleet.settle();
    fleet.submit(1, 5);
    fleet.advance(500);
    fleet.end_all_done();
    fleet.advance(500);
    assert_eq!(fleet.job_state(1), Some(JobState::Completed));
    fleet
}

/// Crashes the endpoint while a start is on its way, and starts it again before the start is
/// repeated.
fn fleet_with_unanswered_start() -> Fleet {
    let mut fleet = fleet_with_ends();
    fleet.crash(0);
    fleet.submit(2, 1);
    fleet.settle();
    fleet.restart_with_id(0);
    fleet
}

/// Starts a task with an order that is repeated.
fn fleet_with_confirmed_repeated_start() -> Fleet {
    let mut fleet = fleet_with_ends();
    fleet.endpoints[0].loses_answers = true;
    fleet.submit(2, 1);
    fleet.advance(500);
    fleet.endpoints[0].loses_answers = false;
    fleet.advance(1_500);
    assert_eq!(fleet.running_cores(|_| true), 1);
    fleet
}

/// Starts a task with an order that is repeated, and ends it as done.
fn fleet_with_ended_repeated_start() -> Fleet {
    let mut fleet = fleet_with_confirmed_repeated_start();
    fleet.end_all_done();
    fleet.advance(500);
    assert_eq!(fleet.job_state(2), Some(JobState::Completed));
    fleet.orders.clear();
    fleet
}

/// Starts a task with an order that is repeated, crashes its endpoint once it lists the run, starts it
/// again under its id, and adds another one.
fn fleet_with_repeated_start() -> Fleet {
    let mut fleet = fleet_with_confirmed_repeated_start();
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.list_endpoint("i-1", 16_000);
    fleet
}

/// Returns the calls with an order for a task since the last call of this function, as words.
fn orders(fleet: &mut Fleet, of: TaskRef) -> Vec<&'static str> {
    let orders = std::mem::take(&mut fleet.orders);
    let words = orders.iter().filter_map(|order| match order {
        Effect::Start(order) if order.task == of => Some("start"),
        Effect::Stop { task, .. } if *task == of => Some("stop"),
        _ => None,
    });
    words.collect()
}

fn renewed(endpoint: EndpointKey, report: EndpointReport) -> Event {
    let outcome = CallOutcome::Done(report);
    Event::Renewed { endpoint, outcome }
}

/// Guards against taking the ends of the next incarnation for those of the earlier one, so that tasks
/// that are done start again.
#[test]
fn ends_of_the_next_incarnation_count() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 3);
    fleet.advance(300);
    fleet.crash(0);
    fleet.advance(1_500);
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.advance(500);
    assert_eq!(starts(&fleet, 2), 2);
    fleet.end_all_done();
    fleet.advance(500);
    assert_eq!(fleet.job_state(2), Some(JobState::Completed));
    assert_eq!(starts(&fleet, 2), 2);
}

/// Guards against acknowledging an end that the next incarnation has not listed yet, because the
/// earlier one had ended more runs.
#[test]
fn unlisted_end_of_the_next_incarnation_is_not_acknowledged() {
    let mut fleet = fleet_with_unanswered_start();
    fleet.endpoints[0].ends_at_once = true;
    fleet.advance(1_000);
    assert_eq!(fleet.job_state(2), Some(JobState::Completed));
    assert_eq!(starts(&fleet, 2), 1);
}

/// Guards against acknowledging ends of the earlier incarnation once a call has failed, as the next one
/// has numbers of its own.
#[test]
fn ends_are_not_acknowledged_after_a_failed_call() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 5);
    fleet.advance(300);
    fleet.end_all_done();
    fleet.crash(0);
    fleet.submit(3, 1);
    fleet.settle();
    fleet.restart_with_id(0);
    fleet.endpoints[0].ends_at_once = true;
    fleet.advance(1_000);
    assert_eq!(fleet.job_state(3), Some(JobState::Completed));
    assert_eq!(starts(&fleet, 3), 1);
}

/// Guards against an end that is listed again after a failed call and never acknowledged.
#[test]
fn end_is_acknowledged_after_a_failed_call() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 1);
    fleet.advance(300);
    fleet.end_all_done();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.advance(1_000);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(1_500);
    assert_eq!(fleet.endpoints[0].ended, []);
}

/// Guards against starting a task elsewhere while the next incarnation may still execute a start that
/// was meant for the earlier one.
#[test]
fn unanswered_start_is_stopped_at_the_next_incarnation() {
    let mut fleet = fleet_with_unanswered_start();
    fleet.list_endpoint("i-1", 16_000);
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2))[..2], ["stop", "start"]);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Guards against starting a task elsewhere while a delayed try of its confirmed start may still reach
/// the next incarnation.
#[test]
fn repeated_start_is_stopped_at_the_next_incarnation() {
    let mut fleet = fleet_with_repeated_start();
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2)), ["stop", "start"]);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Guards against taking a stop that the earlier incarnation has executed for one that keeps the next
/// one from starting the run.
#[test]
fn executed_stop_is_repeated_at_the_next_incarnation() {
    let mut fleet = fleet_with_repeated_start();
    let replaced = key(&fleet);
    fleet.collects_calls = true;
    fleet.handle(Event::Cancel {
        job: job_id(2),
        account: "".into(),
        token: 9,
    });
    fleet.settle();
    let clock_ms = fleet.clock_ms();
    fleet.handle(Event::Stopped {
        endpoint: replaced,
        task: task(2),
        run: 1,
        outcome: CallOutcome::Done(clock_ms),
    });
    fleet.collects_calls = false;
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2)), ["stop"]);
}

/// Guards against a start elsewhere as the next incarnation omits a run that the earlier one has
/// confirmed, although a delayed try of its start may still reach it.
#[test]
fn confirmed_start_that_is_omitted_is_stopped() {
    let mut fleet = fleet_with_unanswered_start();
    let replaced = key(&fleet);
    fleet.list_endpoint("i-1", 16_000);
    let clock_ms = fleet.clock_ms();
    fleet.handle(Event::Started {
        endpoint: replaced,
        task: task(2),
        run: 1,
        outcome: CallOutcome::Done(clock_ms),
    });
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2)), ["stop", "start"]);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Guards against a run that has ended and starts again, by a delayed try of its start that reaches the
/// next incarnation.
#[test]
fn repeated_start_of_an_ended_run_is_stopped_at_the_next_incarnation() {
    let mut fleet = fleet_with_ended_repeated_start();
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["stop"]);
    assert_eq!(starts(&fleet, 2), 1);
}

/// Guards against forgetting such a run if the endpoint was known to have ended before it came back.
#[test]
fn repeated_start_of_an_ended_run_is_stopped_after_a_proved_end() {
    let mut fleet = fleet_with_ended_repeated_start();
    fleet.handle(Event::Renewed {
        endpoint: key(&fleet),
        outcome: CallOutcome::OtherLife,
    });
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["stop"]);
}

/// Guards against a stop of such a run that is refused and never repeated.
#[test]
fn refused_stop_of_an_ended_run_is_repeated() {
    let mut fleet = fleet_with_ended_repeated_start();
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.endpoints[0].refuses =
        Some(|call| matches!(call, Effect::Stop { .. }).then_some(Refusal::Unhealthy));
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["stop"]);
    fleet.endpoints[0].refuses = None;
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2)), ["stop"]);
}

/// Guards against forgetting a start that is on its way when the end of its endpoint is found.
#[test]
fn start_on_its_way_is_stopped_at_the_next_incarnation() {
    let mut fleet = fleet_with_ends();
    fleet.collects_calls = true;
    fleet.submit(2, 1);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["start"]);
    fleet.handle(Event::Renewed {
        endpoint: key(&fleet),
        outcome: CallOutcome::OtherLife,
    });
    fleet.collects_calls = false;
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2))[0], "stop");
}

/// Guards against stops of starts that are no longer under way.
#[test]
fn repeated_start_is_not_stopped_after_a_long_time() {
    let mut fleet = fleet_with_ended_repeated_start();
    fleet.advance(20_000);
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), Vec::<&str>::new());
}

/// Guards against holding up a task by a try of its start that is too old to be under way, also if the next
/// incarnation executes no stop.
#[test]
fn old_repeated_start_holds_up_no_task() {
    let mut fleet = fleet_with_confirmed_repeated_start();
    fleet.advance(20_000);
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.endpoints[0].refuses =
        Some(|call| matches!(call, Effect::Stop { .. }).then_some(Refusal::Unhealthy));
    fleet.list_endpoint("i-1", 16_000);
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["start"]);
}

/// Guards against holding up a task whose start cannot reach the next incarnation.
#[test]
fn answered_start_holds_up_no_task() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 1);
    fleet.advance(1_500);
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.list_endpoint("i-1", 16_000);
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), ["start"]);
}

/// Guards against a late report of the earlier incarnation ending the next one, which would get no more
/// work.
#[test]
fn late_report_of_the_earlier_incarnation_ends_no_other() {
    let mut fleet = fleet_with_ends();
    let replaced = key(&fleet);
    let report = EndpointReport {
        clock_ms: fleet.clock_ms(),
        born_ms: fleet.endpoints[0].born_ms,
        ..EndpointReport::default()
    };
    fleet.collects_calls = true;
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.handle(renewed(replaced, report));
    assert_ne!(key(&fleet), replaced);
    assert!(!fleet.engine.endpoints().get(key(&fleet)).has_ended);
}

/// Guards against two rows for one incarnation if the one before it was forgotten.
#[test]
fn incarnation_after_a_forgotten_one_is_known_once() {
    let mut fleet = fleet_with_ends();
    let first = key(&fleet);
    fleet.collects_calls = true;
    fleet.restart_with_id(0);
    fleet.list_again(0);
    let forgotten = key(&fleet);
    fleet.handle(Event::Renewed {
        endpoint: forgotten,
        outcome: CallOutcome::OtherLife,
    });
    fleet.advance(32_000);
    fleet.restart_with_id(0);
    let report = EndpointReport {
        clock_ms: fleet.clock_ms(),
        born_ms: fleet.endpoints[0].born_ms,
        ..EndpointReport::default()
    };
    fleet.handle(renewed(first, report));
    fleet.list_again(0);
    let born_ms = fleet.endpoints[0].born_ms;
    let known = fleet.engine.endpoints().iter();
    let rows = known.filter(|(_, endpoint)| endpoint.born_ms == born_ms);
    assert_eq!(rows.count(), 1);
}

/// Guards against a second run of a task that the next incarnation has started and not listed yet.
#[test]
fn start_confirmed_by_the_next_incarnation_continues() {
    let mut fleet = fleet_with_unanswered_start();
    let replaced = key(&fleet);
    fleet.list_endpoint("i-1", 16_000);
    fleet.collects_calls = true;
    let clock_ms = fleet.clock_ms();
    fleet.handle(Event::Started {
        endpoint: replaced,
        task: task(2),
        run: 1,
        outcome: CallOutcome::Done(clock_ms),
    });
    fleet.orders.clear();
    let report = EndpointReport {
        clock_ms,
        born_ms: fleet.endpoints[0].born_ms,
        ..EndpointReport::default()
    };
    fleet.handle(renewed(replaced, report));
    fleet.settle();
    assert_eq!(orders(&mut fleet, task(2)), Vec::<&str>::new());
    let attempts = fleet.engine.jobs().flat_map(Job::tasks);
    let attempts: Vec<EndpointKey> = attempts
        .flat_map(|(_, known)| &known.attempts)
        .map(|attempt| attempt.endpoint)
        .collect();
    assert_eq!(attempts, [key(&fleet)]);
    assert_ne!(attempts, [replaced]);
}

/// Guards against an endpoint that gets no more work because an earlier incarnation has ended.
#[test]
fn endpoint_that_has_ended_returns_under_its_id() {
    let mut fleet = fleet_with_ends();
    let ended = key(&fleet);
    fleet.handle(Event::Renewed {
        endpoint: ended,
        outcome: CallOutcome::OtherLife,
    });
    fleet.advance(300);
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.settle();
    fleet.submit(2, 1);
    fleet.advance(300);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Lists the endpoint with another start time while a task runs, and returns the number of its
/// starts.
fn starts_after_an_entry(born_ms: impl Fn(u64) -> Option<u64>) -> usize {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 1);
    fleet.advance(300);
    let known = key(&fleet);
    let mut entry = fleet.entries[0].clone();
    entry.born_ms = entry.born_ms.and_then(born_ms);
    entry.pool = "spare".into();
    fleet.handle(listed(entry, true));
    fleet.advance(1_500);
    assert_eq!(key(&fleet), known);
    assert_eq!(fleet.engine.endpoints().get(known).pool, common::POOL);
    starts(&fleet, 2)
}

macro_rules! entries {
    ($($(#[$doc:meta])* $name:ident: $born_ms:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(starts_after_an_entry($born_ms), 1);
        })*
    };
}

entries! {
    /// Guards against an entry of an earlier incarnation that is written after that of the latest one.
    entry_of_an_earlier_incarnation_is_ignored: |born_ms| Some(born_ms - 1);

    /// Guards against an entry of another writer that does not say of which incarnation it is.
    entry_without_an_incarnation_is_ignored: |_| None;
}

/// Guards against a successor that takes the next incarnation for the one on which the runs of its
/// predecessor were started.
#[test]
fn restart_during_a_change_of_owner() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 3);
    fleet.advance(300);
    fleet.crash(0);
    fleet.restart_with_id(0);
    fleet.take_over();
    fleet.advance(500);
    assert_eq!(fleet.running_cores(|_| true), 3);
    fleet.end_all_done();
    fleet.advance(500);
    assert_eq!(fleet.job_state(2), Some(JobState::Completed));
    assert_eq!(starts(&fleet, 2), 2);
}

/// Guards against an incarnation that ends before it has responded, so that orders for the one before
/// it are forgotten.
#[test]
fn unanswered_start_is_stopped_after_two_restarts() {
    let mut fleet = fleet_with_unanswered_start();
    fleet.endpoints[0].is_unresponsive = true;
    fleet.list_again(0);
    fleet.advance(300);
    fleet.restart_with_id(0);
    fleet.list_endpoint("i-1", 16_000);
    fleet.orders.clear();
    fleet.list_again(0);
    fleet.advance(1_000);
    assert_eq!(orders(&mut fleet, task(2))[..2], ["stop", "start"]);
    assert_eq!(fleet.running_cores(|_| true), 1);
}

/// Guards against crashes that are not charged because the endpoint comes back under its id.
#[test]
fn crash_before_a_restart_is_charged_and_logged() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 1);
    fleet.advance(1_000);
    let born_ms = fleet.endpoints[0].born_ms;
    fleet.crash(0);
    fleet.advance(1_000);
    fleet.restart_with_id(0);
    fleet.list_again(0);
    fleet.engine.take_log_events();
    fleet.settle();
    let events = fleet.engine.take_log_events();
    let restart = LogEvent::EndpointRestarted {
        endpoint: ID.into(),
        born_ms: fleet.endpoints[0].born_ms,
        replaced_born_ms: born_ms,
        moved_runs: 0,
    };
    assert!(events.contains(&restart), "{events:?}");
    let is_charge = |event: &LogEvent| matches!(event, LogEvent::CrashCharged { task: of, .. } if *of == task(2));
    assert!(events.iter().any(is_charge), "{events:?}");
}

/// Guards against an end that an endpoint has discarded unread, without a trace of which ends it was told
/// to discard.
#[test]
fn missing_run_is_logged_with_the_acknowledged_ends() {
    let mut fleet = fleet_with_ends();
    fleet.submit(2, 1);
    fleet.advance(300);
    fleet.endpoints[0].running.clear();
    fleet.engine.take_log_events();
    fleet.advance(500);
    let missing = LogEvent::RunMissing(MissingRun {
        task: task(2),
        run: 1,
        endpoint: ID.into(),
        born_ms: fleet.endpoints[0].born_ms,
        processed_end: 5,
        acknowledged_end: 5,
        listed_ends: None,
    });
    let events = fleet.engine.take_log_events();
    assert!(events.contains(&missing), "{events:?}");
}
