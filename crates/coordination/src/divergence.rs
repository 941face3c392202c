//! Noticing that this node's state differs from its peers'.

use {
    log::error,
    lynxwheel_protocol::{NodeName, PeerHello},
    std::{
        collections::VecDeque,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Digests remembered; more than the records between two messages of a peer.
const MAX_DIGESTS: usize = 8_192;

/// Digest of the state after one record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DigestAt {
    /// Offset of the record.
    pub(crate) offset: u64,
    /// Digest.
    pub(crate) digest: u64,
}

/// Digests of the last records, and what peers said about them.
///
/// A fault in memory or two builds that fold a record differently would let a node place work
/// and count budgets by a state that nobody else has. It shows as another digest at the same
/// offset. The node whose digest is not shared by more than half of those compared decides
/// nothing any more, until it is started anew from another state.
#[derive(Debug, Default)]
pub(crate) struct Divergence {
    digests: Mutex<VecDeque<DigestAt>>,
    compared: Mutex<Vec<Compared>>,
    has_diverged: AtomicBool,
}

/// Last comparison with one peer.
#[derive(Debug)]
struct Compared {
    node: NodeName,
    agrees: bool,
}

impl Divergence {
    /// Remembers digests, in order of their offsets.
    pub(crate) fn note(&self, digests: &[DigestAt]) {
        let mut kept = lock(&self.digests);
        kept.extend(digests);
        let surplus = kept.len().saturating_sub(MAX_DIGESTS);
        kept.drain(..surplus);
    }

    /// Forgets the digests, when the state was replaced.
    pub(crate) fn forget(&self) {
        lock(&self.digests).clear();
    }

    /// Compares a peer's digest with this node's at the same offset, if it is remembered.
    pub(crate) fn compare(&self, hello: &PeerHello) {
        let Some(own) = self.digest_at(hello.digest_offset) else {
            return;
        };
        let agrees = own == hello.digest;
        let mut compared = lock(&self.compared);
        match compared.binary_search_by(|row| row.node.cmp(&hello.node)) {
            Ok(row) => compared[row].agrees = agrees,
            Err(row) => compared.insert(
                row,
                Compared {
                    node: hello.node.clone(),
                    agrees,
                },
            ),
        }
        if agrees {
            return;
        }
        error!(event = "digest_differs", peer = hello.node.as_str(),
            offset = hello.digest_offset, own = own, theirs = hello.digest;
            "a peer has another state at the same offset");
        let differing = compared.iter().filter(|row| !row.agrees).count();
        let agreeing = 1 + compared.len() - differing;
        if differing >= agreeing && !self.has_diverged.swap(true, Ordering::Relaxed) {
            error!(event = "diverged", offset = hello.digest_offset;
                "this node decides nothing any more; replace it");
        }
    }

    /// Tells whether this node decides nothing any more.
    pub(crate) fn has_diverged(&self) -> bool {
        self.has_diverged.load(Ordering::Relaxed)
    }

    fn digest_at(&self, offset: u64) -> Option<u64> {
        let digests = lock(&self.digests);
        let row = digests
            .binary_search_by_key(&offset, |row| row.offset)
            .ok()?;
        Some(digests[row].digest)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
