//! Pending calls of a delegate: each has exactly one result.

use {
    lynxwheel_controller::{CallResult, CallSubject, PendingCalls},
    lynxwheel_engine::{CallOutcome, Event, Refusal, TaskRef},
};

fn task() -> TaskRef {
    "5c0e7a21d94b36f8.0.0.1".parse().expect("a task's name")
}

/// Returns two calls: the start of a run on endpoint 7 and a renewal at endpoint 8.
fn calls() -> PendingCalls {
    let mut calls = PendingCalls::default();
    calls.add(1, 7, CallSubject::Start(task(), 1), 1_500);
    calls.add(2, 8, CallSubject::Renew, 2_500);
    calls
}

fn refused() -> CallResult {
    CallResult::Ordered(CallOutcome::Refused(Refusal::NoRoom))
}

#[test]
fn result_is_matched_by_call_number() {
    let events = calls().apply_results(vec![(1, refused())]);
    assert!(matches!(
        events[..],
        [Event::Started {
            endpoint: 7,
            run: 1,
            outcome: CallOutcome::Refused(Refusal::NoRoom),
            ..
        }]
    ));
}

#[test]
fn repeated_result_is_ignored() {
    let mut calls = calls();
    assert_eq!(calls.apply_results(vec![(1, refused())]).len(), 1);
    assert!(calls.apply_results(vec![(1, refused())]).is_empty());
}

/// Guards against a task that runs twice: a late result of a start whose outcome counted as unknown
/// must not be taken for the result of the repeated start.
#[test]
fn result_of_abandoned_call_is_ignored() {
    let mut calls = calls();
    let events = calls.abandon_all();
    let is_unknown = |event: &Event| {
        matches!(
            event,
            Event::Started {
                outcome: CallOutcome::Unknown,
                ..
            } | Event::Renewed {
                outcome: CallOutcome::Unknown,
                ..
            }
        )
    };
    assert_eq!(events.iter().filter(|event| is_unknown(event)).count(), 2);
    calls.add(3, 7, CallSubject::Start(task(), 1), 3_000);
    assert!(calls.apply_results(vec![(1, refused())]).is_empty());
    assert_eq!(calls.count(), 1);
}

#[test]
fn refused_call_is_withdrawn_once() {
    let mut calls = calls();
    assert_eq!(calls.withdraw(1), Some(7));
    assert_eq!(calls.withdraw(1), None);
    assert_eq!(calls.count(), 1);
}

#[test]
fn result_of_wrong_kind_is_ignored() {
    let result = CallResult::Paced(true);
    assert!(calls().apply_results(vec![(2, result)]).is_empty());
}

#[test]
fn overdue_result_is_detected() {
    let calls = calls();
    assert!(!calls.is_overdue(1_499));
    assert!(calls.is_overdue(1_500));
}
