//! When running attempts are looked at again.

use {
    lynxwheel_protocol::JobName,
    lynxwheel_state::{FleetState, JobState, TASK_LEASE_MS},
};

/// Longest time between two looks at an attempt: a lease survives two lost renewals.
const MAX_INTERVAL_MS: u64 = TASK_LEASE_MS / 3;

/// Part of its age for which an attempt is left alone: its end is noticed this much late.
const AGE_PARTS: u64 = 8;

/// Time added for each attempt that the node watches, in milliseconds.
const MS_PER_ATTEMPT: u64 = 5;

/// Last looks at the attempts of a node.
#[derive(Debug, Default)]
pub(crate) struct Watched {
    rows: Vec<Look>,
}

#[derive(Debug)]
struct Look {
    job: JobName,
    attempt: u32,
    at_ms: u64,
}

impl Watched {
    /// Tells whether an attempt is due, and notes the look if so.
    ///
    /// Looking at every attempt in every tick would cost two calls for each: at two thousand
    /// attempts a node, thousands of calls a second. A young attempt may end at any moment and is
    /// looked at often; an old one is left alone in proportion to its age.
    pub(crate) fn is_due(&mut self, job: &JobState, age_ms: u64, now_ms: u64) -> bool {
        let wait_ms = interval_ms(age_ms, self.rows.len());
        let look = Look {
            job: job.spec.name.clone(),
            attempt: job.attempts,
            at_ms: now_ms,
        };
        match self.rows.binary_search_by(|row| row.job.cmp(&look.job)) {
            Ok(row) if self.rows[row].attempt == look.attempt => {
                let is_due = now_ms >= self.rows[row].at_ms + wait_ms;
                if is_due {
                    self.rows[row].at_ms = now_ms;
                }
                is_due
            }
            Ok(row) => {
                self.rows[row] = look;
                true
            }
            Err(row) => {
                self.rows.insert(row, look);
                true
            }
        }
    }

    /// Forgets jobs without a running attempt.
    pub(crate) fn retain_running(&mut self, state: &FleetState) {
        self.rows.retain(|row| {
            let job = state.jobs().get(row.job.as_str());
            job.is_some_and(|job| job.attempt.is_some())
        });
    }
}

/// Returns the time between two looks at an attempt of some age, among `count` attempts.
fn interval_ms(age_ms: u64, count: usize) -> u64 {
    let by_age_ms = age_ms / AGE_PARTS;
    let by_count_ms = MS_PER_ATTEMPT * count as u64;
    by_age_ms.max(by_count_ms).min(MAX_INTERVAL_MS)
}
