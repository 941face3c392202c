//! Load statistics of the owner actor.

use {
    log::info,
    metrics::gauge,
    std::time::{Duration, Instant},
};

/// Interval between log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Statistics since the last log line.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoad {
    since_ms: u64,
    messages: u32,
    batches: u32,
    stored_bytes: usize,
    busy: Duration,
    max_delay_ms: u64,
}

impl OwnerLoad {
    /// Counts a message and the time spent on it.
    pub fn record_message(&mut self, started: Instant) {
        self.messages += 1;
        self.busy += started.elapsed();
    }

    /// Counts a batch sent to the store.
    pub fn record_batch(&mut self, bytes: usize) {
        self.batches += 1;
        self.stored_bytes += bytes;
    }

    /// Records the time that a message spent in the mailbox.
    pub fn record_delay(&mut self, delay_ms: u64) {
        self.max_delay_ms = self.max_delay_ms.max(delay_ms);
    }

    /// Logs the statistics and updates the gauge if the interval has passed. Returns whether it
    /// has.
    ///
    /// `delegated_counts` are the numbers of endpoints called by delegates, and of delegates in
    /// use; `proof_age_ms` is the age of the proof of the ownership.
    pub fn log_if_due(
        &mut self,
        epoch: u64,
        delegated_counts: (usize, usize),
        proof_age_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        if now_ms < self.since_ms + LOG_INTERVAL_MS {
            return false;
        }
        let busy_us = u64::try_from(self.busy.as_micros()).unwrap_or(u64::MAX);
        let behind = u32::try_from(self.max_delay_ms).unwrap_or(u32::MAX);
        gauge!("lynxwheel_owner_behind_ms").set(f64::from(behind));
        info!(
            event = "owner_load", epoch = epoch, messages = self.messages, batches = self.batches,
            stored_bytes = self.stored_bytes, busy_us = busy_us, behind_ms = self.max_delay_ms,
            carried_endpoints = delegated_counts.0, carriers = delegated_counts.1,
            proof_age_ms = proof_age_ms;
            "owner load"
        );
        *self = Self {
            since_ms: now_ms,
            ..Self::default()
        };
        true
    }
}
