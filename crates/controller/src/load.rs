//! How busy an owner is, and how far it is behind.

use {
    log::info,
    metrics::gauge,
    std::time::{Duration, Instant},
};

/// Time between two lines on an owner's load, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What an owner did since the last line.
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
    /// Counts a message, with the time that it took.
    pub fn record_message(&mut self, started: Instant) {
        self.messages += 1;
        self.busy += started.elapsed();
    }

    /// Counts a batch that goes to the store.
    pub fn record_batch(&mut self, bytes: usize) {
        self.batches += 1;
        self.stored_bytes += bytes;
    }

    /// Takes in for how long a message waited in the mailbox.
    pub fn record_delay(&mut self, delay_ms: u64) {
        self.max_delay_ms = self.max_delay_ms.max(delay_ms);
    }

    /// Writes a line when one is due, and keeps the wait as a gauge; tells whether it was due.
    ///
    /// `carried` is the number of endpoints that other nodes call, and of these nodes.
    pub fn log_if_due(
        &mut self,
        epoch: u64,
        delegated_counts: (usize, usize),
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
            stored_bytes = self.stored_bytes, busy_us = busy_us, behind_ms = self.max_delay_ms, carried_endpoints = delegated_counts.0,
            carriers = delegated_counts.1;
            ""
        );
        *self = Self {
            since_ms: now_ms,
            ..Self::default()
        };
        true
    }
}
