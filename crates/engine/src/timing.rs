//! Deadlines and urgency of jobs.

use crate::{event::Now, state::Job};

/// Multiple of the objective beyond which a faster completion has no value.
pub(crate) const LATE_FACTOR: u64 = 3;

/// Multiple of the objective from which a late job is about to lose the value that it still has: the
/// last third of its time.
const EXPIRING_FACTOR: u64 = 2;

/// Part of the critical path that a job has to have left as slack to start as one that can be on
/// time. Declared durations are often exceeded by that much.
const START_RESERVE_DIVISOR: u64 = 8;

/// Slack beyond that part, in milliseconds: the start and the report of the end of a job's runs.
const START_RESERVE_MS: u64 = 100;

/// Start order of waiting tasks; lower values start first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Urgency {
    /// Long-running, so that any delay is downtime.
    LongRunning,
    /// Late, and soon too late for a completion to have any value.
    Expiring,
    /// Can complete on time.
    OnTime,
    /// Late, but an early completion still has some value.
    Late,
    /// Too late for an early completion to have any value.
    TooLate,
}

/// Timing of an occurrence relative to its job's objective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Wall-clock time at which it could start, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Whether the queue of its job declares an objective. Without one, nothing is lost by a late
    /// completion.
    has_objective: bool,
    /// Time within which it is on time, in milliseconds.
    objective_ms: u64,
    /// Critical path of the steps that are not done, in milliseconds.
    remaining_ms: u64,
}

impl Timing {
    pub(crate) fn new(job: &Job, occurrence: usize) -> Self {
        let started_ms = match job.spec.repeat_count {
            0 => job.accepted_ms,
            _ => job.spec.due_ms(job.occurrences[occurrence].number),
        };
        Self {
            started_ms,
            has_objective: job.queue.has_objective(),
            objective_ms: objective_ms(job),
            remaining_ms: remaining_critical_path_ms(job, occurrence),
        }
    }

    fn elapsed_ms(&self, now: Now) -> u64 {
        now.wall_ms.saturating_sub(self.started_ms)
    }

    /// Returns how long the occurrence may wait and still be on time, in milliseconds; negative if
    /// it is late.
    pub(crate) fn slack_ms(&self, now: Now) -> i64 {
        to_i64(self.objective_ms) - to_i64(self.elapsed_ms(now)) - to_i64(self.remaining_ms)
    }

    /// Returns the slack that it needs to count as on time, in milliseconds.
    ///
    /// A job that starts with no slack at all is late with any delay of its later steps, and has
    /// then taken capacity from one that could have been on time.
    fn reserve_ms(&self, is_started: bool) -> i64 {
        if is_started {
            return 0;
        }
        to_i64(start_reserve_ms(self.remaining_ms))
    }

    /// Returns the urgency of its finite tasks. `is_started` is whether any task of the job has
    /// started.
    pub(crate) fn urgency(&self, is_started: bool, now: Now) -> Urgency {
        if self.slack_ms(now) >= self.reserve_ms(is_started) {
            Urgency::OnTime
        } else if self.is_beyond(LATE_FACTOR, now) {
            Urgency::TooLate
        } else if self.has_objective && self.is_beyond(EXPIRING_FACTOR, now) {
            Urgency::Expiring
        } else {
            Urgency::Late
        }
    }

    /// Returns whether its earliest completion is at a multiple of the objective or later.
    fn is_beyond(&self, factor: u64, now: Now) -> bool {
        self.elapsed_ms(now) + self.remaining_ms >= self.objective_ms.saturating_mul(factor)
    }
}

/// Returns the slack that a job needs to start as one that can be on time, in milliseconds.
pub(crate) fn start_reserve_ms(critical_path_ms: u64) -> u64 {
    critical_path_ms / START_RESERVE_DIVISOR + START_RESERVE_MS
}

/// Returns the time within which a job is on time, in milliseconds.
pub(crate) fn objective_ms(job: &Job) -> u64 {
    let stretched = job.queue.stretch.max(1.0) * to_f64(job.spec.critical_path_ms());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "milliseconds of a job, far below the bounds, and never negative"
    )]
    let stretched_ms = stretched as u64;
    stretched_ms + job.queue.target_latency_ms
}

/// Returns the critical path of the steps that are not done, in milliseconds.
fn remaining_critical_path_ms(job: &Job, occurrence: usize) -> u64 {
    let steps = &job.occurrences[occurrence].steps;
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (step, spec) in steps.iter().zip(&job.spec.steps) {
        let start = spec
            .depends_on
            .iter()
            .filter_map(|&before| ends.get(usize::from(before)))
            .max();
        let own_ms = if step.is_done() { 0 } else { spec.estimated_ms };
        ends.push(start.copied().unwrap_or_default() + own_ms);
    }
    ends.into_iter().max().unwrap_or_default()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds of a day fit exactly"
)]
fn to_f64(ms: u64) -> f64 {
    ms as f64
}

fn to_i64(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
