//! Crash history of a job: what owners know of the crashes charged to its tasks, and of the age of
//! their runs.
//!
//! It has a record of its own, so that older builds still read the progress of the job. The record
//! is encoded with field names: a field may be added if its absence has a meaning, and readers
//! ignore fields that they do not know.

use {
    crate::{
        crashes::{INHERITED_MS, ISOLATION_MS},
        engine::Engine,
        job::TaskRef,
        state::{Attempt, Job, Task},
        stored::{Record, crash_history_record},
    },
    serde::{Deserialize, Serialize},
};

/// State of the record of a job's crash history.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistoryRecord {
    /// Stored value; empty for none.
    pub(crate) stored: Vec<u8>,
    /// Whether any task has ever been charged or may be.
    pub(crate) is_needed: bool,
    /// Whether it may be out of date.
    pub(crate) is_dirty: bool,
}

/// Stored crash history of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct StoredCrashHistory {
    tasks: Vec<TaskHistory>,
}

/// History of a task with crashes.
///
/// The run number, the count and the runs are those of the progress that it explains. They differ
/// from progress that an older build has written since, and never occur again once they have
/// changed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
struct TaskHistory {
    occurrence: u32,
    step: u16,
    index: u16,
    run: u32,
    crashes: u32,
    unlikely_crashes: u32,
    /// If absent, no crash was shared.
    unshared_crashes: Option<u32>,
    /// Crashes that seem to be immediate effects of starts; absent if all do.
    #[serde(skip_serializing_if = "Option::is_none")]
    immediate_crashes: Option<u32>,
    /// Other crashes in the pool.
    #[serde(skip_serializing_if = "is_zero_count")]
    other_crashes: u32,
    runs: Vec<RunHistory>,
    /// Whether each lost run is unlikely to have crashed its endpoint.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    unlikely_lost: Vec<bool>,
    /// Whether a crash under each lost run would be no immediate effect of its start; absent if all would.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    survived_lost: Vec<bool>,
}

/// Age of a run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
struct RunHistory {
    run: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    active_since_clock_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_zero")]
    active_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde requires this signature"
)]
fn is_zero_count(value: &u32) -> bool {
    *value == 0
}

/// Returns the longest time for which a run has been active and that matters after a crash, in
/// milliseconds. Storing the history whenever it grows would cost a record for each report.
fn decisive_ms(active_ms: u64) -> u64 {
    let limits = [ISOLATION_MS, INHERITED_MS];
    let mut reached = limits.into_iter().filter(|&limit| active_ms >= limit);
    reached.next().unwrap_or_default()
}

impl Attempt {
    /// Records that the run is active at a time on the endpoint's clock. Returns whether its stored
    /// age differs.
    pub(crate) fn record_active(&mut self, clock_ms: u64) -> bool {
        let Some(since_ms) = self.active_since_clock_ms else {
            self.active_since_clock_ms = Some(clock_ms);
            return true;
        };
        let before_ms = self.active_ms;
        self.active_ms = before_ms.max(clock_ms.saturating_sub(since_ms));
        before_ms < ISOLATION_MS && decisive_ms(self.active_ms) != decisive_ms(before_ms)
    }
}

impl RunHistory {
    fn new(attempt: &Attempt) -> Self {
        Self {
            run: attempt.run,
            active_since_clock_ms: attempt.active_since_clock_ms,
            active_ms: decisive_ms(attempt.active_ms),
        }
    }
}

impl TaskHistory {
    fn new(task_ref: &TaskRef, task: &Task) -> Self {
        let survived_lost = if task.lost_runs.iter().all(|lost| lost.is_immediate) {
            Vec::new()
        } else {
            task.lost_runs
                .iter()
                .map(|lost| !lost.is_immediate)
                .collect()
        };
        Self {
            occurrence: task_ref.occurrence,
            step: task_ref.step,
            index: task_ref.index,
            run: task.run,
            crashes: task.crashes,
            unlikely_crashes: task.unlikely_crashes,
            unshared_crashes: Some(task.unshared_crashes),
            immediate_crashes: (task.immediate_crashes != task.crashes)
                .then_some(task.immediate_crashes),
            other_crashes: task.other_crashes,
            runs: task.attempts.iter().map(RunHistory::new).collect(),
            unlikely_lost: task.lost_runs.iter().map(|lost| lost.is_unlikely).collect(),
            survived_lost,
        }
    }

    /// Returns whether the history says no more than the progress of the task.
    fn is_empty(&self) -> bool {
        let is_age_known = |known: &RunHistory| known.active_since_clock_ms.is_some();
        self.unlikely_crashes == 0
            && self.immediate_crashes.is_none()
            && self.other_crashes == 0
            && self.survived_lost.is_empty()
            && self.unshared_crashes == Some(self.crashes)
            && !self.runs.iter().any(is_age_known)
            && !self.unlikely_lost.contains(&true)
    }

    /// Returns whether the history was written with the progress of the task.
    fn explains(&self, task: &Task) -> bool {
        let runs = self.runs.iter().map(|known| known.run);
        self.run == task.run
            && self.crashes == task.crashes
            && runs.eq(task.attempts.iter().map(|attempt| attempt.run))
    }

    fn apply(&self, task: &mut Task) {
        task.unlikely_crashes = self.unlikely_crashes.min(self.crashes);
        let immediate_crashes = self.immediate_crashes.unwrap_or(self.crashes);
        task.immediate_crashes = immediate_crashes.min(self.crashes);
        task.other_crashes = self.other_crashes;
        let unshared_crashes = self.unshared_crashes.unwrap_or(self.crashes);
        task.unshared_crashes = unshared_crashes.min(self.crashes);
        for (known, attempt) in self.runs.iter().zip(&mut task.attempts) {
            attempt.active_since_clock_ms = known.active_since_clock_ms;
            attempt.active_ms = known.active_ms;
        }
        if self.unlikely_lost.len() == task.lost_runs.len() {
            for (&is_unlikely, lost) in self.unlikely_lost.iter().zip(&mut task.lost_runs) {
                lost.is_unlikely = is_unlikely;
            }
        }
        if self.survived_lost.len() == task.lost_runs.len() {
            for (&has_survived, lost) in self.survived_lost.iter().zip(&mut task.lost_runs) {
                lost.is_immediate = !has_survived;
            }
        }
    }
}

impl StoredCrashHistory {
    fn new(job: &Job) -> Self {
        let charged = job.tasks().filter(|(_, task)| {
            let is_charged = task.crashes > 0 || !task.lost_runs.is_empty();
            is_charged && !task.is_done
        });
        let tasks = charged.map(|(task_ref, task)| TaskHistory::new(&task_ref, task));
        Self {
            tasks: tasks.filter(|history| !history.is_empty()).collect(),
        }
    }

    /// Encodes the history; empty if there is nothing to store.
    fn encode(&self) -> Vec<u8> {
        if self.tasks.is_empty() {
            return Vec::new();
        }
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Applies the history to a job that was restored from its progress.
    pub(crate) fn apply(&self, job: &mut Job) {
        for history in &self.tasks {
            let task_ref = TaskRef {
                job: job.id,
                occurrence: history.occurrence,
                step: history.step,
                index: history.index,
            };
            if let Some(task) = job
                .task_mut(&task_ref)
                .filter(|task| history.explains(task))
            {
                history.apply(task);
            }
        }
    }
}

/// Returns the record of a job's crash history if it differs from the stored one.
pub(crate) fn changed_crash_history(job: &mut Job) -> Option<Record> {
    job.crash_history.is_dirty = false;
    if !job.crash_history.is_needed {
        return None;
    }
    let value = if job.state.is_final() {
        Vec::new()
    } else {
        StoredCrashHistory::new(job).encode()
    };
    if value == job.crash_history.stored {
        return None;
    }
    job.crash_history.stored.clone_from(&value);
    Some(crash_history_record(job.id, value))
}

impl Engine {
    /// Records that a run is active at a time on its endpoint's clock.
    pub(crate) fn record_active(&mut self, task: &TaskRef, run: u32, clock_ms: u64) {
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let job = self.jobs.get_mut_untracked(index);
        let Some(known) = job.task_mut(task) else {
            return;
        };
        let is_charged = known.crashes > 0;
        let mut attempts = known.attempts.iter_mut();
        let attempt = attempts.find(|attempt| attempt.run == run);
        if attempt.is_some_and(|attempt| attempt.record_active(clock_ms)) && is_charged {
            job.crash_history.is_dirty = true;
            self.unstored_jobs.push(task.job);
        }
    }
}
