//! Cancellations that overtake the submission of their job.

mod common;

use {
    common::{Fleet, account, job_id, queue, step},
    lynxwheel_engine::{CallerResponse, Event, JobSpec, JobState, Queue, RecordKind, record_kind},
};

/// Time for which ended jobs are kept, in milliseconds.
const RETENTION_MS: u64 = 150_000;

/// Token of cancellations.
const CANCEL: u64 = 1_000;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    fleet
}

fn cancel_as(fleet: &mut Fleet, account: &str) {
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: account.into(),
        token: CANCEL,
    });
    fleet.settle();
}

fn submit_as(fleet: &mut Fleet, account: &str) {
    let queue = Queue {
        is_public: account.is_empty(),
        ..queue()
    };
    let spec = JobSpec {
        steps: vec![step(1)],
        ..JobSpec::default()
    };
    fleet.submit_for(account, queue, 1, spec);
    fleet.settle();
}

fn replies(fleet: &Fleet, token: u64) -> Vec<CallerResponse> {
    let replies = fleet.replies.iter();
    let replies = replies.filter(|(known, _)| *known == token);
    replies.map(|(_, response)| *response).collect()
}

fn stored_cancels(fleet: &Fleet) -> usize {
    let kinds = fleet.stored.iter().map(|record| record_kind(&record.key));
    let is_cancel = |kind: &Option<RecordKind>| matches!(kind, Some(RecordKind::EarlyCancel(_)));
    kinds.filter(is_cancel).count()
}

/// Cancels a job as `canceller`, lets something happen, submits it as `submitter`, and returns its
/// state and whether it ran.
fn submitted_late(
    canceller: &str,
    submitter: &str,
    happen: impl FnOnce(&mut Fleet),
) -> (Option<JobState>, bool) {
    let mut fleet = fleet();
    fleet.configure_accounts(&[account("alpha", 0), account("beta", 0)]);
    cancel_as(&mut fleet, canceller);
    assert_eq!(replies(&fleet, CANCEL), [CallerResponse::Unknown]);
    assert_eq!(fleet.job_state(1), None, "no such job exists yet");
    happen(&mut fleet);
    submit_as(&mut fleet, submitter);
    assert_eq!(replies(&fleet, 1), [CallerResponse::Accepted]);
    fleet.advance(1_000);
    let has_run = !fleet.endpoints[0].started.is_empty();
    (fleet.job_state(1), has_run)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $canceller:expr, $submitter:expr, $happen:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(submitted_late($canceller, $submitter, $happen), $expected);
        })*
    };
}

const CANCELLED: (Option<JobState>, bool) = (Some(JobState::Cancelled), false);

const RUNS: (Option<JobState>, bool) = (Some(JobState::Running), true);

cases! {
    /// Guards against a job that runs although its cancellation was answered before its submission
    /// arrived.
    submission_after_its_cancellation: "", "", |_| {} => CANCELLED;

    submission_of_an_account_after_its_cancellation: "alpha", "alpha", |_| {} => CANCELLED;

    /// Guards against a cancellation that only the owner knows that has answered it.
    submission_to_the_next_owner: "", "", |fleet| {
        fleet.take_over();
        fleet.advance(200);
    } => CANCELLED;

    submission_some_seconds_later: "", "", |fleet| fleet.advance(12_000) => CANCELLED;

    /// Guards against an account that keeps another one from submitting a job.
    submission_of_another_account: "alpha", "beta", |_| {} => RUNS;

    cancellation_by_two_accounts: "beta", "alpha", cancel_as_second => CANCELLED;

    /// Guards against cancellations that are kept for ever.
    submission_after_the_retention_time: "", "", |fleet| fleet.advance(RETENTION_MS) => RUNS;
}

fn cancel_as_second(fleet: &mut Fleet) {
    fleet.replies.clear();
    cancel_as(fleet, "alpha");
    assert_eq!(replies(fleet, CANCEL), [CallerResponse::Unknown]);
    assert_eq!(stored_cancels(fleet), 1);
}

/// Guards against an answer to a cancellation that the next owner would not know of.
#[test]
fn cancellation_is_answered_once_it_is_stored() {
    let mut fleet = fleet();
    fleet.is_store_down = true;
    cancel_as(&mut fleet, "");
    assert_eq!(replies(&fleet, CANCEL), []);
    fleet.is_store_down = false;
    fleet.settle();
    assert_eq!(replies(&fleet, CANCEL), [CallerResponse::Unknown]);
    assert_eq!(stored_cancels(&fleet), 1);
}

/// Guards against a submission that is repeated after it was accepted as cancelled, also at the
/// next owner.
#[test]
fn repeated_submission_remains_cancelled() {
    let mut fleet = fleet();
    cancel_as(&mut fleet, "");
    submit_as(&mut fleet, "");
    assert_eq!(stored_cancels(&fleet), 0);
    submit_as(&mut fleet, "");
    fleet.take_over();
    fleet.advance(200);
    submit_as(&mut fleet, "");
    assert_eq!(replies(&fleet, 1), [CallerResponse::Accepted; 3]);
    assert_eq!(fleet.job_state(1), Some(JobState::Cancelled));
    assert_eq!(fleet.endpoints[0].started, []);
}

/// Guards against records that remain when a cancellation is no longer kept.
#[test]
fn expired_cancellation_is_deleted() {
    let mut fleet = fleet();
    cancel_as(&mut fleet, "");
    fleet.take_over();
    fleet.advance(RETENTION_MS);
    assert_eq!(stored_cancels(&fleet), 0);
}

/// Guards against a cancellation that is lost when only a part of the batch with the submission is
/// stored.
#[test]
fn cancellation_is_deleted_after_the_end_of_its_job_is_stored() {
    let mut fleet = fleet();
    cancel_as(&mut fleet, "");
    fleet.is_store_down = true;
    submit_as(&mut fleet, "");
    let batch = fleet.engine.take_batch(fleet.now);
    let kinds = batch.records.iter().map(|record| record_kind(&record.key));
    assert_eq!(
        kinds.collect::<Vec<_>>(),
        [Some(RecordKind::Progress(job_id(1)))]
    );
    fleet.put_in_flight(batch);
    fleet.is_store_down = false;
    fleet.settle();
    assert_eq!(stored_cancels(&fleet), 0);
}
