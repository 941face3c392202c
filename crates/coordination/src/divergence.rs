//! Detects that this node's state differs from that of its peers.

use {
    log::error,
    lynxwheel_protocol::{FOLD_VERSION, NodeName, PeerHello},
    lynxwheel_state::{FleetState, encode_snapshot},
    std::{
        collections::VecDeque,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of digests kept; exceeds the number of records between two hellos of a peer.
const MAX_DIGESTS: usize = 8_192;

/// Number of records between two digests of the full state.
const CHECKPOINT_INTERVAL_RECORDS: u64 = 256;

/// Digest of the state at an offset.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct OffsetDigest {
    /// Offset of the last record included.
    pub(crate) offset: u64,
    /// Digest.
    pub(crate) digest: u64,
}

/// Digests of the latest offsets and the results of comparing them with peers.
///
/// Memory corruption, or builds that fold a record differently, would let a node act on a state
/// that no other node has. Such a state has a different digest at the same offset. A node whose
/// digest is not shared by a majority of the compared nodes, itself included, stops proposing
/// records until it is restarted from another state.
#[derive(Debug, Default)]
pub(crate) struct Divergence {
    digests: Mutex<VecDeque<OffsetDigest>>,
    checkpoint: Mutex<Option<Arc<Checkpoint>>>,
    comparisons: Mutex<Vec<PeerComparison>>,
    has_diverged: AtomicBool,
}

/// State at an offset at which every node computes a digest of the full state.
///
/// The rolling digest covers verdicts only and shows a difference once a verdict depends on it.
/// The fold keeps a cheap clone of the state, and the digest is computed on first use.
#[derive(Debug)]
struct Checkpoint {
    state: FleetState,
    digest: OnceLock<u64>,
}

/// Result of the last comparison with a peer.
#[derive(Debug)]
struct PeerComparison {
    node: NodeName,
    agrees: bool,
}

impl Divergence {
    /// Adds digests in ascending order of their offsets.
    pub(crate) fn add_digests(&self, digests: &[OffsetDigest]) {
        let mut kept = lock(&self.digests);
        kept.extend(digests);
        let excess = kept.len().saturating_sub(MAX_DIGESTS);
        kept.drain(..excess);
    }

    /// Clears the digests and the checkpoint after the state was replaced.
    pub(crate) fn reset(&self) {
        lock(&self.digests).clear();
        *lock(&self.checkpoint) = None;
    }

    /// Stores a checkpoint if `state` is at a checkpoint offset, which is the same on every node.
    pub(crate) fn checkpoint_if_due(&self, state: &FleetState) {
        if state.offset().is_multiple_of(CHECKPOINT_INTERVAL_RECORDS) {
            let checkpoint = Checkpoint {
                state: state.clone(),
                digest: OnceLock::new(),
            };
            *lock(&self.checkpoint) = Some(Arc::new(checkpoint));
        }
    }

    /// Returns the digest of the last checkpoint; offset 0 if there is none.
    pub(crate) fn content_digest(&self) -> OffsetDigest {
        let checkpoint = lock(&self.checkpoint).clone();
        let Some(checkpoint) = checkpoint else {
            return OffsetDigest::default();
        };
        let digest = checkpoint
            .digest
            .get_or_init(|| encode_snapshot(&checkpoint.state).map_or(0, |bytes| xxh3_64(&bytes)));
        OffsetDigest {
            offset: checkpoint.state.offset(),
            digest: *digest,
        }
    }

    /// Compares a peer's digests with this node's digests at the same offsets, if still known.
    pub(crate) fn compare(&self, hello: &PeerHello) {
        let own_digest = self.digest_at(hello.digest_offset);
        let own_content = self.content_digest();
        // Builds with different fold versions may encode the state differently, so their
        // checkpoint digests are not comparable during an upgrade.
        let is_same_checkpoint = own_content.offset > 0
            && own_content.offset == hello.content_offset
            && hello.fold_version == FOLD_VERSION;
        if own_digest.is_none() && !is_same_checkpoint {
            return;
        }
        let agrees = own_digest.is_none_or(|digest| digest == hello.digest)
            && (!is_same_checkpoint || own_content.digest == hello.content_digest);
        let mut comparisons = lock(&self.comparisons);
        match comparisons.binary_search_by(|comparison| comparison.node.cmp(&hello.node)) {
            Ok(index) => comparisons[index].agrees = agrees,
            Err(index) => comparisons.insert(
                index,
                PeerComparison {
                    node: hello.node.clone(),
                    agrees,
                },
            ),
        }
        if agrees {
            return;
        }
        error!(event = "digest_differs", peer = hello.node.as_str(),
            offset = hello.digest_offset, content_offset = hello.content_offset;
            "a peer has a different state at the same offset");
        let differing = comparisons
            .iter()
            .filter(|comparison| !comparison.agrees)
            .count();
        let agreeing = 1 + comparisons.len() - differing;
        if differing >= agreeing && !self.has_diverged.swap(true, Ordering::Relaxed) {
            error!(event = "diverged", offset = hello.digest_offset;
                "the state has diverged; this node proposes no records until it is replaced");
        }
    }

    /// Returns whether this node has stopped proposing records because of a divergence.
    pub(crate) fn has_diverged(&self) -> bool {
        self.has_diverged.load(Ordering::Relaxed)
    }

    fn digest_at(&self, offset: u64) -> Option<u64> {
        let digests = lock(&self.digests);
        let index = digests
            .binary_search_by_key(&offset, |digest| digest.offset)
            .ok()?;
        Some(digests[index].digest)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
