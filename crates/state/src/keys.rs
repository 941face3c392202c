//! Idempotency keys of non-idempotent requests.

use {
    crate::{
        table::{Keyed, SortedTable},
        verdict::{Rejection, Verdict},
    },
    lynxwheel_protocol::{KeyOutcome, NodeName, RequestKey},
    serde::{Deserialize, Serialize},
};

/// Where a key stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyState {
    /// Announced; the request may be running.
    Pending,
    /// The request has ended with this outcome.
    Ended(KeyOutcome),
}

/// One key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyEntry {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of the request.
    pub request_digest: u64,
    /// Node that executes it, which also keeps the answer for a while.
    pub holder: NodeName,
    /// Run of that node.
    pub incarnation: u64,
    /// Current state.
    pub state: KeyState,
    /// Fold's time of the intent, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Offset of the intent.
    pub offset: u64,
}

impl Keyed for KeyEntry {
    type Key = RequestKey;

    fn key(&self) -> &RequestKey {
        &self.key
    }
}

/// Position of a key in the order in which keys expire.
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

/// Keys within the time they are kept.
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

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes an intent in; the first one of a key wins.
    ///
    /// A full table refuses instead of forgetting a key early: a forgotten key would let a
    /// renewal be charged twice.
    pub fn intend(&mut self, entry: KeyEntry, limit: usize) -> Verdict {
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

    /// Ends a pending key that the run `incarnation` holds.
    ///
    /// Only the run that announced a request knows what became of it. A late outcome of another
    /// run would free a key whose request is running, and a renewal would be charged twice.
    pub fn end(&mut self, key: RequestKey, outcome: KeyOutcome, incarnation: u64) -> Verdict {
        match self.rows.get_mut(&key) {
            Some(entry) if entry.state == KeyState::Pending && entry.incarnation == incarnation => {
                entry.state = KeyState::Ended(outcome);
                Verdict::Accepted
            }
            _ => Verdict::Rejected(Rejection::KeyNotPending),
        }
    }

    /// Drops the keys whose intent is older than `before_ms`.
    pub fn expire(&mut self, before_ms: u64) {
        while let Some(oldest) = self.order.first().copied() {
            let expired = self
                .rows
                .get(&oldest.key)
                .is_none_or(|row| row.since_ms < before_ms);
            if !expired {
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
