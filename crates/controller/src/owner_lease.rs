//! What proves that this node still owns the fleet, for everything that it sends as the owner.

use {
    crate::{clock, ownership::FRESH_RENEWAL_MS, suspension::Suspension},
    lynxwheel_engine::MAX_PROOF_AGE_MS,
    lynxwheel_transport::SendCondition,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Proof of one ownership.
#[derive(Debug)]
pub struct OwnerLease {
    suspension: Arc<Suspension>,
    /// Monotonic time at which the takeover began, in milliseconds.
    taken_ms: u64,
    /// When the last stored renewal was sent, on the monotonic clock; 0 for none.
    renewed_ms: AtomicU64,
    /// When the last renewal or commit was sent that was stored, on the monotonic clock; 0 for none.
    proven_ms: AtomicU64,
    /// When the last renewal without a response was sent, on the monotonic clock; 0 for none.
    unanswered_ms: AtomicU64,
    is_over: AtomicBool,
    is_deposed: AtomicBool,
}

impl OwnerLease {
    /// Creates the proof of an ownership whose takeover begins at a time on the monotonic clock, in
    /// milliseconds.
    #[must_use]
    pub fn new(suspension: Arc<Suspension>, taken_ms: u64) -> Self {
        Self {
            suspension,
            taken_ms,
            renewed_ms: AtomicU64::new(0),
            proven_ms: AtomicU64::new(0),
            unanswered_ms: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            is_deposed: AtomicBool::new(false),
        }
    }

    /// Records that a renewal is stored.
    pub fn record_renewal(&self, sent_ms: u64) {
        self.renewed_ms.fetch_max(sent_ms, Ordering::SeqCst);
        self.record_commit(sent_ms);
    }

    /// Records that a commit is stored, so that no successor had fenced this owner when it was sent.
    pub fn record_commit(&self, sent_ms: u64) {
        self.proven_ms.fetch_max(sent_ms, Ordering::SeqCst);
    }

    /// Records that a renewal got no response.
    pub fn record_unanswered_renewal(&self, sent_ms: u64) {
        self.unanswered_ms.fetch_max(sent_ms, Ordering::SeqCst);
    }

    /// Records that another node may be the owner at any moment from now on, whatever arrives later.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Records that another node is the owner, so that nothing may be sent any more.
    pub fn depose(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.is_deposed.store(true, Ordering::SeqCst);
    }

    /// Returns the condition of sending something for which the lease has to satisfy `may_send` at
    /// the time, on the monotonic clock in milliseconds.
    #[must_use]
    pub fn condition(self: &Arc<Self>, may_send: fn(&Self, u64) -> bool) -> SendCondition {
        let lease = Arc::clone(self);
        SendCondition::new(move || may_send(&lease, clock::steady_ms()))
    }

    /// Returns the time since the last renewal or commit was sent that was stored, in milliseconds;
    /// `None` if there is none.
    #[must_use]
    pub fn proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        let proven_ms = self.proven_ms.load(Ordering::SeqCst);
        (proven_ms > 0).then(|| now_ms.saturating_sub(proven_ms))
    }

    /// Returns whether the last stored renewal is younger than `age_ms`.
    #[must_use]
    pub fn is_renewed_within(&self, now_ms: u64, age_ms: u64) -> bool {
        let renewed_ms = self.renewed_ms.load(Ordering::SeqCst);
        !self.is_over.load(Ordering::SeqCst) && now_ms < renewed_ms + age_ms
    }

    /// Returns whether no other node can be the owner, so that VMs may be ordered.
    #[must_use]
    pub fn may_order_vms(&self, now_ms: u64) -> bool {
        self.is_renewed_within(now_ms, FRESH_RENEWAL_MS) && self.may_order_endpoints(now_ms)
    }

    /// Returns whether endpoints may be given orders: since the process last continued after a
    /// suspension, a renewal has been sent and stored.
    ///
    /// A renewal need not be recent otherwise, so that calls go on while the store is unavailable. If
    /// it is unavailable to this node alone, endpoints that know its successor reject its orders.
    #[must_use]
    pub fn may_order_endpoints(&self, now_ms: u64) -> bool {
        self.is_proven_since_resumed(now_ms, self.renewed_ms.load(Ordering::SeqCst))
    }

    /// Returns whether leases of endpoints may be extended, on which a successor counts.
    #[must_use]
    pub fn may_extend_leases(&self, now_ms: u64) -> bool {
        let proof_age_ms = self.proof_age_ms(now_ms);
        proof_age_ms.is_some_and(|age_ms| age_ms <= MAX_PROOF_AGE_MS)
            && !self.is_deposed.load(Ordering::SeqCst)
    }

    /// Returns whether renewals may be sent to endpoints: like orders, and also if the store has not
    /// responded since. They report which runs have ended, also when they extend no lease.
    #[must_use]
    pub fn may_renew_leases(&self, now_ms: u64) -> bool {
        let renewed_ms = self.renewed_ms.load(Ordering::SeqCst);
        let unanswered_ms = self.unanswered_ms.load(Ordering::SeqCst);
        self.is_proven_since_resumed(now_ms, renewed_ms.max(unanswered_ms))
    }

    fn is_proven_since_resumed(&self, now_ms: u64, proven_ms: u64) -> bool {
        let since_ms = self.taken_ms.max(proven_ms);
        !self.is_deposed.load(Ordering::SeqCst) && self.suspension.has_run_since(since_ms, now_ms)
    }
}
