//! Schedule for polling running attempts.

use {
    lynxwheel_protocol::JobName,
    lynxwheel_state::{FleetState, JobState, TASK_LEASE_MS},
};

/// Longest interval between two polls of an attempt; a lease survives two lost renewals.
const MAX_INTERVAL_MS: u64 = TASK_LEASE_MS / 3;

/// Divisor of an attempt's age that gives its polling interval; bounds the delay in noticing its
/// end.
const AGE_FRACTION: u64 = 8;

/// Lower bound of the polling interval per watched attempt, in milliseconds.
const INTERVAL_MS_PER_ATTEMPT: u64 = 5;

/// Last polls of the attempts that a node watches.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    polls: Vec<LastPoll>,
}

#[derive(Debug)]
struct LastPoll {
    job: JobName,
    attempt: u32,
    polled_ms: u64,
}

impl PollSchedule {
    /// Returns whether an attempt is due, and records the poll if so.
    ///
    /// A poll costs two calls, so polling thousands of attempts in every tick would cost thousands
    /// of calls a second. The interval therefore grows with the age of the attempt.
    pub(crate) fn is_due(&mut self, job: &JobState, age_ms: u64, now_ms: u64) -> bool {
        let wait_ms = interval_ms(age_ms, self.polls.len());
        let poll = LastPoll {
            job: job.spec.name.clone(),
            attempt: job.attempts,
            polled_ms: now_ms,
        };
        match self.polls.binary_search_by(|last| last.job.cmp(&poll.job)) {
            Ok(index) if self.polls[index].attempt == poll.attempt => {
                let is_due = now_ms >= self.polls[index].polled_ms + wait_ms;
                if is_due {
                    self.polls[index].polled_ms = now_ms;
                }
                is_due
            }
            Ok(index) => {
                self.polls[index] = poll;
                true
            }
            Err(index) => {
                self.polls.insert(index, poll);
                true
            }
        }
    }

    /// Removes jobs without a running attempt.
    pub(crate) fn retain_running(&mut self, state: &FleetState) {
        self.polls.retain(|last| {
            let job = state.jobs().get(last.job.as_str());
            job.is_some_and(|job| job.attempt.is_some())
        });
    }
}

/// Returns the polling interval of an attempt of age `age_ms` among `attempt_count` attempts.
fn interval_ms(age_ms: u64, attempt_count: usize) -> u64 {
    let by_age_ms = age_ms / AGE_FRACTION;
    let by_count_ms = INTERVAL_MS_PER_ATTEMPT * attempt_count as u64;
    by_age_ms.max(by_count_ms).min(MAX_INTERVAL_MS)
}
