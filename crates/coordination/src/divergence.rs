//! Noticing that this node's state differs from its peers'.

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

/// Digests remembered; more than the records between two messages of a peer.
const MAX_DIGESTS: usize = 8_192;

/// Records between two digests of the whole state.
const MARK_RECORDS: u64 = 256;

/// Digest of the state after one record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
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
    mark: Mutex<Option<Arc<Mark>>>,
    compared: Mutex<Vec<Compared>>,
    has_diverged: AtomicBool,
}

/// State at an offset where every node takes a digest of all of it.
///
/// The digest of the verdicts shows a difference only once a verdict depends on it. Copies of the
/// state are cheap, so the fold only keeps one; whoever tells peers works the digest out.
#[derive(Debug)]
struct Mark {
    state: FleetState,
    digest: OnceLock<u64>,
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
        *lock(&self.mark) = None;
    }

    /// Keeps the state for a digest of all of it, at the same offsets on every node.
    pub(crate) fn mark_if_due(&self, state: &FleetState) {
        if state.offset().is_multiple_of(MARK_RECORDS) {
            let mark = Mark {
                state: state.clone(),
                digest: OnceLock::new(),
            };
            *lock(&self.mark) = Some(Arc::new(mark));
        }
    }

    /// Returns the last digest of the whole state; offset 0 when there is none.
    pub(crate) fn content_digest(&self) -> DigestAt {
        let mark = lock(&self.mark).clone();
        let Some(mark) = mark else {
            return DigestAt::default();
        };
        let digest = mark
            .digest
            .get_or_init(|| encode_snapshot(&mark.state).map_or(0, |bytes| xxh3_64(&bytes)));
        DigestAt {
            offset: mark.state.offset(),
            digest: *digest,
        }
    }

    /// Compares a peer's digest with this node's at the same offset, if it is remembered.
    pub(crate) fn compare(&self, hello: &PeerHello) {
        let own = self.digest_at(hello.digest_offset);
        let content = self.content_digest();
        // A build that encodes the state otherwise knows another version of the fold; during an
        // upgrade its digests of the whole state say nothing.
        let is_same_mark = content.offset > 0
            && content.offset == hello.content_offset
            && hello.fold_version == FOLD_VERSION;
        if own.is_none() && !is_same_mark {
            return;
        }
        let agrees = own.is_none_or(|own| own == hello.digest)
            && (!is_same_mark || content.digest == hello.content_digest);
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
            offset = hello.digest_offset, content_offset = hello.content_offset;
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
