//! Batches in flight to the store, in order.

use {lynxwheel_engine::Batch, std::collections::VecDeque};

/// Age of the newest batch in flight at which the next one is sent without waiting for it, in
/// milliseconds. A fast store responds earlier, so that load makes batches larger rather than more
/// frequent; with a slow store, changes need not wait for two responses.
pub const PIPELINE_DELAY_MS: u64 = 80;

/// Time without any batch stored after which the store counts as unavailable, in milliseconds.
pub const STORE_UNAVAILABLE_MS: u64 = 900;

/// Maximum number of batches in flight. The store answers a repeat of one of the last five appends
/// of a writer with the first response.
pub const MAX_IN_FLIGHT_BATCHES: usize = 4;

/// Batch in flight.
#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    batch: Batch,
    sent_ms: u64,
    is_stored: bool,
}

/// Batches in flight, oldest first.
#[derive(Debug, Default)]
pub struct InFlightBatches {
    batches: VecDeque<InFlightBatch>,
    last_number: u64,
    last_stored_ms: u64,
}

impl InFlightBatches {
    /// Returns whether no batch is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns whether another batch may be sent.
    #[must_use]
    pub fn has_capacity(&self, now_ms: u64) -> bool {
        let is_due = |newest: &InFlightBatch| now_ms >= newest.sent_ms + PIPELINE_DELAY_MS;
        self.batches.len() < MAX_IN_FLIGHT_BATCHES && self.batches.back().is_none_or(is_due)
    }

    /// Returns whether the store is unavailable, having stored nothing for too long since the
    /// oldest batch was sent.
    ///
    /// A store slowed to a hundredth still stores a batch every half second, although each of several
    /// in flight waits longer.
    #[must_use]
    pub fn is_store_unavailable(&self, now_ms: u64) -> bool {
        let is_late = |oldest: &InFlightBatch| {
            let since_ms = oldest.sent_ms.max(self.last_stored_ms);
            now_ms >= since_ms + STORE_UNAVAILABLE_MS
        };
        self.batches.front().is_some_and(is_late)
    }

    /// Adds a batch and returns its number.
    pub fn add(&mut self, batch: Batch, now_ms: u64) -> u64 {
        self.last_number += 1;
        self.batches.push_back(InFlightBatch {
            number: self.last_number,
            batch,
            sent_ms: now_ms,
            is_stored: false,
        });
        self.last_number
    }

    /// Appends a batch without records to the newest batch in flight.
    pub fn append_to_newest(&mut self, batch: Batch) {
        if let Some(newest) = self.batches.back_mut() {
            newest.batch.merge(batch);
        }
    }

    /// Marks a batch as stored and returns the batches that are complete, in order.
    ///
    /// Responses may arrive out of order, and the effects of a batch may depend on earlier batches.
    pub fn mark_stored(&mut self, number: u64, now_ms: u64) -> Vec<Batch> {
        self.last_stored_ms = now_ms;
        if let Some(batches) = self
            .batches
            .iter_mut()
            .find(|batches| batches.number == number)
        {
            batches.is_stored = true;
        }
        let count = self
            .batches
            .iter()
            .take_while(|batches| batches.is_stored)
            .count();
        self.batches
            .drain(..count)
            .map(|batches| batches.batch)
            .collect()
    }
}
