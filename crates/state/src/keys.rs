//! Idempotency keys of requests that are not idempotent.

use {
    crate::{
        table::{Keyed, SortedTable},
        verdict::{Rejection, Verdict},
    },
    lynxwheel_protocol::{KeyOutcome, NodeName, RequestKey},
    serde::{Deserialize, Serialize},
};

/// State of an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyState {
    /// The intent is recorded; the request may be running.
    Pending,
    /// The request has ended with this outcome.
    Ended(KeyOutcome),
}

/// An idempotency key and the execution of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyEntry {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of the request.
    pub request_digest: u64,
    /// Node that executes the request and stores its response.
    pub holder: NodeName,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Current state.
    pub state: KeyState,
    /// Time of the intent by the fold, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Log offset of the intent.
    pub offset: u64,
}

impl Keyed for KeyEntry {
    type Key = RequestKey;

    fn key(&self) -> &RequestKey {
        &self.key
    }
}

/// Entry of the index that orders keys by expiry, which is the order of their intents.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct Expiry {
    offset: u64,
    key: RequestKey,
}

impl Keyed for Expiry {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.offset
    }
}

/// Idempotency keys that have not expired.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Keys {
    rows: SortedTable<KeyEntry>,
    order: SortedTable<Expiry>,
}

impl Keys {
    /// Returns the entry of `key`.
    pub fn get(&self, key: RequestKey) -> Option<&KeyEntry> {
        self.rows.get(&key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Records an intent, unless its key is already used.
    ///
    /// A full table rejects the intent. Evicting a key before it expires would allow a retry of
    /// its request to run twice.
    pub fn add_intent(&mut self, entry: KeyEntry, limit: usize) -> Verdict {
        if let Some(known) = self.rows.get(&entry.key)
            && known.state != KeyState::Ended(KeyOutcome::NotRun)
        {
            return Verdict::Rejected(Rejection::KeyTaken);
        }
        if self.rows.len() >= limit {
            return Verdict::Rejected(Rejection::KeysFull);
        }
        self.order.insert(Expiry {
            offset: entry.offset,
            key: entry.key,
        });
        if let Some(replaced) = self.rows.insert(entry) {
            self.order.remove(&replaced.offset);
        }
        Verdict::Accepted
    }

    /// Records the outcome of a pending key that was announced by `incarnation`.
    ///
    /// A late outcome of another incarnation must not release a key whose request is running.
    pub fn record_outcome(
        &mut self,
        key: RequestKey,
        outcome: KeyOutcome,
        incarnation: u64,
    ) -> Verdict {
        match self.rows.get_mut(&key) {
            Some(entry) if entry.state == KeyState::Pending && entry.incarnation == incarnation => {
                entry.state = KeyState::Ended(outcome);
                Verdict::Accepted
            }
            _ => Verdict::Rejected(Rejection::KeyNotPending),
        }
    }

    /// Removes the keys whose intent is older than `before_ms`.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some(oldest) = self.order.first().copied() {
            let is_expired = self
                .rows
                .get(&oldest.key)
                .is_none_or(|row| row.since_ms < before_ms);
            if !is_expired {
                return;
            }
            self.order.remove(&oldest.offset);
            self.rows.remove(&oldest.key);
        }
    }

    /// Iterates over the keys.
    pub fn iter(&self) -> impl Iterator<Item = &KeyEntry> {
        self.rows.iter()
    }
}
