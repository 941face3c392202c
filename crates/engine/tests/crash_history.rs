//! What owners know of crashes and of the age of runs, after changes of owner.

mod common;

use {
    common::{Fleet, job_id, step},
    lynxwheel_engine::{
        CallerResponse, Engine, EngineSettings, Event, JobSpec, JobState, LogEvent, Record,
        RecordKind, StepSpec, TaskRef, record_kind,
    },
};

/// Time from a crash until the next incarnation, in milliseconds: less than a lease.
const RESTART_MS: u64 = 3_000;

/// The same, but longer than a lease.
const LATE_RESTART_MS: u64 = 9_000;

/// Time in which a task must be running again, in milliseconds.
const RESUME_MS: u64 = 12_000;

/// Job whose task runs until it is stopped.
const JOB: u64 = 1;

/// What happens to the task or to the endpoint that runs it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The endpoint crashes.
    Crash,
    /// The endpoint crashes right after the start of another task beside it.
    CrashAfterLaterStart,
    /// The endpoint crashes and is back after its lease has run out.
    LateCrash,
    /// The endpoint crashes, and the owner is replaced before that is known.
    CrashBeforeTakeOver,
    /// The endpoint crashes, and the owner is replaced after its lease has run out.
    LateCrashBeforeTakeOver,
    /// The owner is replaced.
    TakeOver,
    /// The owner is replaced by one without crash histories, which leaves their records as they are.
    TakeOverByOlderBuild,
    /// The endpoint ends with notice.
    Drain,
    /// The task runs for a time in milliseconds.
    Run(u64),
}

/// Returns a fleet of six endpoints with a job of one gang or task that runs until it is stopped.
fn fleet_with(tasks: u16) -> Fleet {
    let mut fleet = Fleet::new();
    for number in 1..=6 {
        fleet.list_endpoint(&format!("i-{number}"), 16_000);
    }
    fleet.engine.allow_vm_orders(false);
    fleet.submit_spec(
        JOB,
        JobSpec {
            steps: vec![StepSpec {
                long_running: true,
                gang: tasks > 1,
                ..step(tasks)
            }],
            ..JobSpec::default()
        },
    );
    fleet.settle();
    fleet
}

fn first_task() -> TaskRef {
    let name = format!("{}.0.0.0", job_id(JOB));
    name.parse().expect("a task's name")
}

/// Waits until the task runs, and returns its endpoint; `None` if the job has failed.
fn await_run(fleet: &mut Fleet) -> Option<usize> {
    let is_running = |(known, _): &(TaskRef, u32)| *known == first_task();
    for _ in 0..RESUME_MS / 100 {
        if fleet.job_state(JOB) == Some(JobState::Failed) {
            return None;
        }
        let mut endpoints = fleet.endpoints.iter();
        let index = endpoints.position(|endpoint| endpoint.running.iter().any(is_running));
        if index.is_some() {
            return index;
        }
        fleet.advance(100);
    }
    panic!("the task neither runs nor has its job failed");
}

fn crash_and_restart(fleet: &mut Fleet, index: usize, restart_ms: u64) {
    fleet.crash(index);
    fleet.advance(restart_ms);
    fleet.restart(index);
    fleet.advance(300);
}

fn crash_after_later_start(fleet: &mut Fleet, index: usize) {
    fleet.advance(1_000);
    let other = fleet.now.steady_ms;
    fleet.submit(other, 1);
    fleet.advance(100);
    crash_and_restart(fleet, index, RESTART_MS);
    fleet.handle(Event::Cancel {
        job: job_id(other),
        account: "".into(),
        token: other,
    });
    fleet.advance(100);
}

fn is_crash_history(record: &Record) -> bool {
    matches!(record_kind(&record.key), Some(RecordKind::CrashHistory(_)))
}

fn crash_histories(fleet: &Fleet) -> Vec<Record> {
    let records = fleet.stored.iter();
    records
        .filter(|record| is_crash_history(record))
        .cloned()
        .collect()
}

fn apply(fleet: &mut Fleet, step: Step) {
    let Some(index) = await_run(fleet) else {
        return;
    };
    match step {
        Step::Crash => crash_and_restart(fleet, index, RESTART_MS),
        Step::CrashAfterLaterStart => crash_after_later_start(fleet, index),
        Step::CrashBeforeTakeOver => {
            fleet.crash(index);
            fleet.take_over();
            crash_and_restart(fleet, index, RESTART_MS);
        }
        Step::LateCrash => crash_and_restart(fleet, index, LATE_RESTART_MS),
        Step::LateCrashBeforeTakeOver => {
            fleet.crash(index);
            fleet.advance(LATE_RESTART_MS);
            fleet.take_over();
            fleet.restart(index);
            fleet.advance(300);
        }
        Step::TakeOver => {
            fleet.take_over();
            fleet.advance(300);
        }
        Step::TakeOverByOlderBuild => {
            fleet.stored.retain(|record| !is_crash_history(record));
            fleet.take_over();
            fleet.advance(300);
        }
        Step::Drain => {
            let mut entry = fleet.entries[index].clone();
            entry.is_draining = true;
            fleet.handle(common::listed(entry, true));
            fleet.restart(index);
        }
        Step::Run(ms) => fleet.advance(ms),
    }
}

/// Returns the number of likely crashes charged to the task, after it runs again.
fn likely_crashes(fleet: &mut Fleet) -> Option<u32> {
    await_run(fleet)?;
    let mut jobs = fleet.engine.jobs();
    let job = jobs.find(|job| job.id == job_id(JOB))?;
    let task = job.task(&first_task())?;
    Some(task.crashes - task.unlikely_crashes)
}

fn check(tasks: u16, steps: &[Step], expected: Option<u32>) {
    let mut fleet = fleet_with(tasks);
    for &step in steps {
        apply(&mut fleet, step);
    }
    assert_eq!(likely_crashes(&mut fleet), expected);
}

/// Names a test that applies steps to a task, or to a gang of three, and checks how many likely
/// crashes are charged to it then; `None` if its job was given up.
macro_rules! charged {
    ($($(#[$doc:meta])* $name:ident: $tasks:literal [$($step:expr),*] => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            use Step::*;
            check($tasks, &[$($step),*], $expected);
        })*
    };
}

charged! {
    /// Guards against a change of owner that turns an unlikely charge into a likely one.
    unlikely_charge_under_the_next_owner:
        1 [CrashAfterLaterStart, TakeOver, Crash, Crash] => Some(2);

    /// Guards against an unlikely charge that is stored for the next owner but not for later ones.
    unlikely_charge_under_later_owners:
        1 [CrashAfterLaterStart, TakeOver, TakeOver, Crash, TakeOver, Crash, TakeOver] => Some(2);

    /// Guards against unlikely charges without a bound.
    likely_charges_of_several_owners:
        1 [CrashAfterLaterStart, TakeOver, Crash, TakeOver, Crash, TakeOver, Crash] => None;

    /// Guards against an age of a run that begins again with each owner.
    age_that_several_owners_saw:
        1 [Crash, Crash, Run(1_500), TakeOver, Run(1_500), TakeOver, Run(1_500), TakeOver, Crash]
        => Some(2);

    /// Guards against an age of a run that is lost before the next owner has a report.
    age_before_the_first_report:
        1 [Crash, Crash, Run(6_000), CrashBeforeTakeOver] => Some(2);

    /// Guards against crashes that are never cleared because owners change.
    age_that_clears_crashes:
        1 [Crash, Crash, Run(40_000), TakeOver, Run(40_000), TakeOver, Crash] => Some(1);

    /// Guards against counting a start that a takeover follows at once as an old one.
    young_run_under_the_next_owner:
        1 [Crash, Crash, TakeOver, Crash] => None;

    /// Guards against a drain between crashes that turns an unlikely charge into a likely one.
    unlikely_charge_and_drain:
        1 [CrashAfterLaterStart, Drain, TakeOver, Drain, Crash, Crash] => Some(2);

    /// Guards against gangs whose members' ages begin again with each owner.
    age_of_a_gang:
        3 [Crash, Crash, Run(1_500), TakeOver, Run(1_500), TakeOver, Run(1_500), TakeOver, Crash]
        => Some(2);

    /// Guards against forgetting with the lease of a run how long it has lasted.
    lost_run_that_has_lasted: 1 [Run(6_000), LateCrash, Crash, Crash] => Some(2);

    /// Guards against a change of owner that forgets how long a lost run has lasted.
    lost_run_that_has_lasted_under_the_next_owner:
        1 [Run(6_000), LateCrashBeforeTakeOver, Crash, Crash] => Some(2);

    /// Guards against counting a lost run as an old one.
    young_lost_run: 1 [LateCrashBeforeTakeOver, LateCrash, Crash] => None;

    /// Guards against unlikely charges that an owner without crash histories cannot have kept.
    owner_without_crash_histories:
        1 [CrashAfterLaterStart, TakeOverByOlderBuild, Crash] => Some(2);
}

/// Submits a job beside which the task starts again, and cancels it after a crash of their endpoint.
fn crash_with_another(fleet: &mut Fleet, other: u64) {
    fleet.submit(other, 1);
    let index = await_run(fleet).expect("a running task");
    fleet.advance(100);
    fleet.crash(index);
    fleet.handle(Event::Cancel {
        job: job_id(other),
        account: "".into(),
        token: other,
    });
    fleet.advance(RESTART_MS);
}

/// Returns a fleet under a new owner, whose task shared two crashes with other jobs.
fn fleet_after_shared_crashes(change: impl Fn(&mut Vec<Record>)) -> Fleet {
    let mut fleet = fleet_with(1);
    for index in 1..6 {
        fleet.set_cpu_millis(index, 0);
    }
    crash_with_another(&mut fleet, 2);
    fleet.submit(3, 1);
    fleet.restart(0);
    crash_with_another(&mut fleet, 3);
    fleet.restart(0);
    fleet.advance(1_000);
    change(&mut fleet.stored);
    fleet.take_over();
    for index in 1..6 {
        fleet.set_cpu_millis(index, 16_000);
    }
    fleet.advance(300);
    assert_eq!(likely_crashes(&mut fleet), Some(2));
    fleet
}

/// Guards against a change of owner that forgets which charges other jobs share.
#[test]
fn shared_charges_under_the_next_owner() {
    let mut fleet = fleet_after_shared_crashes(|_| {});
    apply(&mut fleet, Step::Crash);
    assert_eq!(likely_crashes(&mut fleet), Some(3));
    fleet.take_over();
    fleet.advance(300);
    apply(&mut fleet, Step::Crash);
    assert_eq!(likely_crashes(&mut fleet), None);
}

/// Guards against a later bound for jobs of owners without crash histories.
#[test]
fn shared_charges_of_an_owner_without_crash_histories() {
    let without = |records: &mut Vec<Record>| records.retain(|record| !is_crash_history(record));
    let mut fleet = fleet_after_shared_crashes(without);
    apply(&mut fleet, Step::Crash);
    assert_eq!(likely_crashes(&mut fleet), None);
}

/// Applies steps under an owner without crash histories, which leaves the stored ones as they were,
/// and returns the fleet under the owner after it.
fn after_older_owner(before: &[Step], under_older: &[Step]) -> Fleet {
    let mut fleet = fleet_with(1);
    for &step in before {
        apply(&mut fleet, step);
    }
    let kept = crash_histories(&fleet);
    assert!(!kept.is_empty());
    for &step in under_older {
        apply(&mut fleet, step);
    }
    fleet.stored.retain(|record| !is_crash_history(record));
    fleet.stored.extend(kept);
    fleet.take_over();
    fleet
}

/// Guards against a crash history from before a charge that makes the charge unlikely.
#[test]
fn charge_by_an_owner_without_crash_histories_stays_likely() {
    let mut fleet = after_older_owner(
        &[Step::CrashAfterLaterStart],
        &[Step::TakeOverByOlderBuild, Step::Crash],
    );
    assert_eq!(likely_crashes(&mut fleet), Some(2));
}

/// Guards against a crash history from before the crashes were cleared that explains a later charge.
#[test]
fn charge_after_cleared_crashes_stays_likely() {
    let steps = [Step::TakeOverByOlderBuild, Step::Run(65_000), Step::Crash];
    let mut fleet = after_older_owner(&[Step::CrashAfterLaterStart, Step::Run(500)], &steps);
    assert_eq!(likely_crashes(&mut fleet), Some(1));
}

/// Guards against the age of an earlier run passing for that of a later one.
#[test]
fn age_of_an_earlier_run_is_not_that_of_a_later_one() {
    let before = [Step::Crash, Step::Crash, Step::Run(6_000)];
    let mut fleet = after_older_owner(&before, &[Step::TakeOverByOlderBuild, Step::Drain]);
    apply(&mut fleet, Step::Crash);
    assert_eq!(likely_crashes(&mut fleet), None);
}

/// Guards against crash histories that stay in the store after their jobs.
#[test]
fn crash_history_is_deleted_with_its_job() {
    let mut fleet = fleet_with(1);
    apply(&mut fleet, Step::Crash);
    await_run(&mut fleet);
    assert_eq!(crash_histories(&fleet).len(), 1);
    fleet.handle(Event::Cancel {
        job: job_id(JOB),
        account: "".into(),
        token: 7,
    });
    fleet.advance(1_000);
    assert_eq!(fleet.replies.last(), Some(&(7, CallerResponse::Cancelled)));
    assert_eq!(crash_histories(&fleet), []);
}

/// Guards against crash histories that stay in the store after an owner without them has ended the
/// job.
#[test]
fn crash_history_is_deleted_after_an_older_owner_has_ended_its_job() {
    for is_forgotten in [false, true] {
        let mut fleet = fleet_with(1);
        apply(&mut fleet, Step::Crash);
        await_run(&mut fleet);
        let kept = crash_histories(&fleet);
        fleet.handle(Event::Cancel {
            job: job_id(JOB),
            account: "".into(),
            token: 7,
        });
        fleet.advance(if is_forgotten { 200_000 } else { 1_000 });
        fleet.stored.extend(kept);
        fleet.take_over();
        fleet.advance(100);
        assert_eq!(crash_histories(&fleet), []);
        let state = (!is_forgotten).then_some(JobState::Cancelled);
        assert_eq!(fleet.job_state(JOB), state);
    }
}

/// Guards against an undecodable crash history costing its job, or staying in the store.
#[test]
fn undecodable_crash_history_is_reported_and_replaced() {
    let mut fleet = fleet_with(1);
    apply(&mut fleet, Step::CrashAfterLaterStart);
    await_run(&mut fleet);
    for record in fleet
        .stored
        .iter_mut()
        .filter(|record| is_crash_history(record))
    {
        record.value = vec![0xc1];
    }
    assert_eq!(fleet.take_over_incomplete().len(), 1);
    fleet.advance(300);
    assert_eq!(likely_crashes(&mut fleet), Some(1));
    apply(&mut fleet, Step::Crash);
    assert_eq!(likely_crashes(&mut fleet), Some(2));
    fleet.take_over();
    fleet.advance(300);
    assert_eq!(likely_crashes(&mut fleet), Some(2));
}

/// Guards against a crash history that is stored without the progress that it explains.
#[test]
fn crash_history_is_stored_with_its_progress() {
    let mut fleet = fleet_with(1);
    apply(&mut fleet, Step::Run(6_000));
    let index = await_run(&mut fleet).expect("a running task");
    fleet.crash(index);
    fleet.advance(RESTART_MS);
    fleet.is_store_down = true;
    fleet.restart(index);
    let batch = fleet.engine.take_batch(fleet.now);
    let kinds = batch.records.iter().map(|record| &record.key[..1]);
    assert_eq!(kinds.collect::<Vec<_>>(), ["s", "c"]);
}

/// Guards against log lines that take an inherited run for one as old as the node.
#[test]
fn end_of_an_inherited_run_has_no_duration() {
    let mut fleet = fleet_with(1);
    fleet.take_over();
    fleet.advance(300);
    drop(fleet.engine.take_log_events());
    fleet.end_all_done();
    let events = fleet.engine.take_log_events();
    let mut ends = events.iter().filter_map(|event| match event {
        LogEvent::RunEnded { after_ms, .. } => Some(*after_ms),
        _ => None,
    });
    assert_eq!(ends.next(), Some(None));
}

/// Guards against records of a later build that keep an owner from restoring the others.
#[test]
fn records_of_unknown_kind_do_not_end_a_restore() {
    let mut fleet = fleet_with(1);
    apply(&mut fleet, Step::Crash);
    await_run(&mut fleet);
    for record in fleet
        .stored
        .iter_mut()
        .filter(|record| is_crash_history(record))
    {
        record.key.replace_range(..1, "x");
    }
    let mut engine = Engine::new(EngineSettings::default());
    assert_eq!(engine.restore(&fleet.stored, fleet.now).len(), 1);
    assert_eq!(engine.jobs().count(), 1);
}
