//! Taking an endpoint out of this node's choice on its own evidence.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Time for which an endpoint stays out after a first failure, in milliseconds.
const FIRST_MS: u64 = 1_000;

/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 2;

/// Time for which a peer's word keeps an endpoint out after it was last heard, in milliseconds.
const PEER_MS: u64 = 1_000;

/// Evidence against an endpoint.
///
/// The VM list and the log are seconds to minutes behind an endpoint that leaves or fails. Its own
/// refusal to start and a failed connect are known at once, so they keep it out of the choice. After
/// a while one request may try again, which costs no more than a retry, since neither failure can
/// have run it; a success is fresh evidence and brings the endpoint back.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    until_ms: AtomicU64,
    peer_until_ms: AtomicU64,
    failures: AtomicU32,
}

impl Ejection {
    /// Tells whether the endpoint is out.
    pub(crate) fn is_out(&self, now_ms: u64) -> bool {
        self.is_out_by_own_evidence(now_ms) || now_ms < self.peer_until_ms.load(Ordering::Relaxed)
    }

    /// Tells whether this node itself has evidence against it, which its peers are told.
    pub(crate) fn is_out_by_own_evidence(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms.load(Ordering::Relaxed)
    }

    /// Notes that the endpoint did not take a request.
    pub(crate) fn note_failure(&self, now_ms: u64) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed);
        let out_ms = FIRST_MS << failures.min(MAX_DOUBLINGS);
        self.until_ms.store(now_ms + out_ms, Ordering::Relaxed);
    }

    /// Notes that a request is sent to it, which keeps further ones off until the endpoint has
    /// answered if it failed before.
    pub(crate) fn note_trial(&self, now_ms: u64) {
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.until_ms.store(now_ms + FIRST_MS, Ordering::Relaxed);
        }
    }

    /// Notes that the endpoint answered a request.
    pub(crate) fn note_success(&self) {
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.failures.store(0, Ordering::Relaxed);
            self.until_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Notes that a peer has evidence against it.
    pub(crate) fn note_peer(&self, now_ms: u64) {
        self.peer_until_ms
            .store(now_ms + PEER_MS, Ordering::Relaxed);
    }
}
