//! Jobs with more tasks than an owner holds at once.

use lynxwheel_engine::{Attempt, Job, JobSpec, Queue, StepSpec};

const NOW_MS: u64 = 5_000_000;

/// Returns a job whose many occurrences are all due.
fn overdue_job(tasks: u16) -> Job {
    let step = StepSpec {
        count: tasks,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        repeat_count: u32::MAX,
        interval_ms: 1,
        first_due_ms: 0,
        ..JobSpec::default()
    };
    let id = "5c0e7a21d94b36f8".parse().expect("16 digits");
    Job::new(id, Queue::default(), spec, NOW_MS)
}

fn open_occurrences(job: &Job) -> Vec<u32> {
    job.occurrences
        .iter()
        .map(|occurrence| occurrence.number)
        .collect()
}

macro_rules! overdue {
    ($($(#[$doc:meta])* $name:ident: $tasks:expr => $open:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut job = overdue_job($tasks);
            job.begin_due_occurrences(NOW_MS);
            assert_eq!(open_occurrences(&job), $open);
        })*
    };
}

overdue! {
    /// Guards against a job whose overdue occurrences take all memory of the owner.
    overdue_occurrences_begin_in_turn: 40_000 => [0, 1];

    /// Guards against an occurrence that never begins.
    large_occurrence_begins_alone: 60_000 => [0];
}

/// Guards against occurrences that never begin after one that is done but has a run left.
#[test]
fn next_occurrence_begins_beside_a_run_of_one_that_is_done() {
    let mut job = overdue_job(60_000);
    job.begin_due_occurrences(NOW_MS);
    let tasks = &mut job.occurrences[0].steps[0].tasks;
    tasks[0].attempts.push(Attempt::new(1, 0, NOW_MS));
    for task in tasks {
        task.is_done = true;
    }
    assert!(!job.drop_done_occurrences());
    job.begin_due_occurrences(NOW_MS);
    assert_eq!(open_occurrences(&job), [0, 1]);
}

/// Guards against occurrences that wait although earlier ones are done.
#[test]
fn next_occurrence_begins_when_one_is_done() {
    let mut job = overdue_job(40_000);
    job.begin_due_occurrences(NOW_MS);
    for task in &mut job.occurrences[0].steps[0].tasks {
        task.is_done = true;
    }
    assert!(!job.drop_done_occurrences());
    job.begin_due_occurrences(NOW_MS);
    assert_eq!(open_occurrences(&job), [1, 2]);
}
