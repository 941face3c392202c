//! Batches that are being stored, in the order in which they were cut.

use {lynxwheel_engine::Batch, std::collections::VecDeque};

/// Age of the newest batch under way from which on another is sent after it, in milliseconds. A calm
/// store answers within 10 ms, and load makes batches larger then; a slow one kept what had happened
/// meanwhile for up to two of its answers, some 0.9 s at a hundredth of its speed.
pub const FOLLOW_MS: u64 = 80;

/// Time in which no batch under way is stored after which the store counts as away, in milliseconds.
pub const STORE_AWAY_MS: u64 = 900;

/// Batches under way at most: the store knows its answers to the last five appends of a writer, and
/// what is sent again has to be among them.
pub const MOST_UNDER_WAY: usize = 4;

/// A batch that is being stored.
#[derive(Debug)]
struct Pending {
    number: u64,
    batch: Batch,
    sent_ms: u64,
    is_stored: bool,
}

/// Batches that are being stored.
#[derive(Debug, Default)]
pub struct InFlight {
    pending: VecDeque<Pending>,
    last_number: u64,
    last_stored_ms: u64,
}

impl InFlight {
    /// Tells whether no batch is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Tells whether another batch may be sent after those under way.
    #[must_use]
    pub fn takes_another(&self, now_ms: u64) -> bool {
        let is_due = |newest: &Pending| now_ms >= newest.sent_ms + FOLLOW_MS;
        self.pending.len() < MOST_UNDER_WAY && self.pending.back().is_none_or(is_due)
    }

    /// Tells whether the store is away: for so long it has stored nothing of what was sent.
    ///
    /// One slowed to a hundredth stores a batch each half a second, though each of several that are
    /// under way at once waits for longer.
    #[must_use]
    pub fn is_store_away(&self, now_ms: u64) -> bool {
        let is_late = |oldest: &Pending| {
            let since_ms = oldest.sent_ms.max(self.last_stored_ms);
            now_ms >= since_ms + STORE_AWAY_MS
        };
        self.pending.front().is_some_and(is_late)
    }

    /// Adds a batch, and returns its number.
    pub fn add(&mut self, batch: Batch, now_ms: u64) -> u64 {
        self.last_number += 1;
        self.pending.push_back(Pending {
            number: self.last_number,
            batch,
            sent_ms: now_ms,
            is_stored: false,
        });
        self.last_number
    }

    /// Lets a batch without records wait for the newest one under way.
    pub fn join(&mut self, batch: Batch) {
        if let Some(newest) = self.pending.back_mut() {
            newest.batch.merge(batch);
        }
    }

    /// Takes in that a batch is stored, and returns those that are so with all before them.
    ///
    /// An answer may overtake that to an earlier append. What a batch releases may rest on earlier
    /// ones, so it waits for them.
    pub fn stored(&mut self, number: u64, now_ms: u64) -> Vec<Batch> {
        self.last_stored_ms = now_ms;
        if let Some(pending) = self
            .pending
            .iter_mut()
            .find(|pending| pending.number == number)
        {
            pending.is_stored = true;
        }
        let count = self
            .pending
            .iter()
            .take_while(|pending| pending.is_stored)
            .count();
        self.pending
            .drain(..count)
            .map(|pending| pending.batch)
            .collect()
    }
}
