//! Ejection of endpoints that failed requests, ahead of the VM list and the log.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Duration of the first ejection of an endpoint, in milliseconds.
const BASE_EJECTION_MS: u64 = 1_000;

/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// Duration of an ejection after the last report of a peer, in milliseconds.
const PEER_EJECTION_MS: u64 = 1_000;

/// Ejection state of an endpoint.
///
/// The VM list and the log learn seconds to minutes late that an endpoint leaves or fails, so an
/// endpoint that refuses to start a request or a connection is ejected for a while. Then one
/// request is sent as a trial, which is safe since neither failure can have run a request; a
/// success ends the ejection.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    ejected_until_ms: AtomicU64,
    peer_ejected_until_ms: AtomicU64,
    failures: AtomicU32,
}

impl Ejection {
    /// Returns whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        self.is_ejected_by_this_node(now_ms)
            || now_ms < self.peer_ejected_until_ms.load(Ordering::Relaxed)
    }

    /// Returns whether this node itself ejected the endpoint, which it reports to its peers.
    pub(crate) fn is_ejected_by_this_node(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms.load(Ordering::Relaxed)
    }

    /// Records that the endpoint did not start a request.
    pub(crate) fn record_failure(&self, now_ms: u64) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed);
        let ejection_ms = BASE_EJECTION_MS << failures.min(MAX_DOUBLINGS);
        self.ejected_until_ms
            .store(now_ms + ejection_ms, Ordering::Relaxed);
    }

    /// Records that a request is sent to the endpoint.
    ///
    /// An endpoint that failed before is ejected for further requests until it responds, but no
    /// longer than [`BASE_EJECTION_MS`].
    pub(crate) fn record_trial(&self, now_ms: u64) {
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.ejected_until_ms
                .store(now_ms + BASE_EJECTION_MS, Ordering::Relaxed);
        }
    }

    /// Records that the endpoint responded to a request.
    pub(crate) fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) > 0 {
            self.failures.store(0, Ordering::Relaxed);
            self.ejected_until_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Records that a peer reports the endpoint as ejected.
    pub(crate) fn record_peer_report(&self, now_ms: u64) {
        self.peer_ejected_until_ms
            .store(now_ms + PEER_EJECTION_MS, Ordering::Relaxed);
    }
}
