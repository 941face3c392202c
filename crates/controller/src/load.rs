//! How busy an owner is, and how far it is behind.

use {
    log::info,
    metrics::gauge,
    std::time::{Duration, Instant},
};

/// Time between two lines on an owner's load, in milliseconds.
const LINE_EVERY_MS: u64 = 1_000;

/// What an owner did since the last line.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoad {
    since_ms: u64,
    messages: u32,
    batches: u32,
    stored_bytes: usize,
    busy: Duration,
    most_behind_ms: u64,
}

impl OwnerLoad {
    /// Counts a message, with the time that it took.
    pub fn note_message(&mut self, begun: Instant) {
        self.messages += 1;
        self.busy += begun.elapsed();
    }

    /// Counts a batch that goes to the store.
    pub fn note_batch(&mut self, bytes: usize) {
        self.batches += 1;
        self.stored_bytes += bytes;
    }

    /// Takes in for how long a message waited in the mailbox.
    pub fn note_wait(&mut self, waited_ms: u64) {
        self.most_behind_ms = self.most_behind_ms.max(waited_ms);
    }

    /// Writes a line when one is due, and keeps the wait as a gauge; tells whether it was due.
    ///
    /// `carried` is the number of endpoints that other nodes call, and of these nodes.
    pub fn log(&mut self, epoch: u64, delegated_counts: (usize, usize), now_ms: u64) -> bool {
        if now_ms < self.since_ms + LINE_EVERY_MS {
            return false;
        }
        let busy_us = u64::try_from(self.busy.as_micros()).unwrap_or(u64::MAX);
        let behind = u32::try_from(self.most_behind_ms).unwrap_or(u32::MAX);
        gauge!("lynxwheel_owner_behind_ms").set(f64::from(behind));
        info!(
            event = "owner_load", epoch = epoch, messages = self.messages, batches = self.batches,
            stored_bytes = self.stored_bytes, busy_us = busy_us, behind_ms = self.most_behind_ms, carried_endpoints = delegated_counts.0,
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
