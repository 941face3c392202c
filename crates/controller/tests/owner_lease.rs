//! What an owner may send after it was suspended.

use {
    lynxwheel_controller::{FRESH_RENEWAL_MS, OwnerLease, SUSPICION_TIMEOUT_MS, Suspension},
    lynxwheel_engine::MAX_PROOF_AGE_MS,
    std::sync::Arc,
};

/// Time at which the takeover begins, in milliseconds.
const TAKEN_MS: u64 = 10_000;

/// Time at which the process continues after a suspension, in milliseconds.
const RESUMED_MS: u64 = 14_000;

/// What an owner may send.
#[derive(Debug, Eq, PartialEq)]
struct Allowed {
    vm_orders: bool,
    endpoint_orders: bool,
    renewals: bool,
}

const NOTHING: Allowed = Allowed {
    vm_orders: false,
    endpoint_orders: false,
    renewals: false,
};

const RENEWALS: Allowed = Allowed {
    renewals: true,
    ..NOTHING
};

const CALLS: Allowed = Allowed {
    endpoint_orders: true,
    ..RENEWALS
};

const ALL: Allowed = Allowed {
    vm_orders: true,
    ..CALLS
};

/// Returns what may be sent at a time, after `change`, by an owner whose last renewal was sent 100 ms
/// before it was suspended. `now_ms` counts from the end of the suspension.
fn allowed_after(now_ms: u64, change: impl Fn(&OwnerLease)) -> Allowed {
    let suspension = Arc::new(Suspension::new(TAKEN_MS));
    let lease = OwnerLease::new(Arc::clone(&suspension), TAKEN_MS);
    lease.record_renewal(TAKEN_MS);
    suspension.observe(TAKEN_MS + 100);
    change(&lease);
    // Whoever asks first notices.
    let now_ms = RESUMED_MS + now_ms;
    Allowed {
        vm_orders: lease.may_order_vms(now_ms),
        endpoint_orders: lease.may_order_endpoints(now_ms),
        renewals: lease.may_renew_leases(now_ms),
    }
}

macro_rules! resumed {
    ($($(#[$doc:meta])* $name:ident: $now_ms:expr, $change:expr => $allowed:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(allowed_after($now_ms, $change), $allowed);
        })*
    };
}

resumed! {
    /// Guards against anything that a former owner sends right after it continues.
    nothing_is_sent_right_after_a_suspension: 0, |_| {} => NOTHING;

    /// Guards against a former owner that trusts the response to a renewal of before.
    renewal_of_before_proves_nothing:
        0, |lease| lease.record_renewal(RESUMED_MS - 1) => NOTHING;

    /// Guards against an owner that sends nothing although it has renewed the ownership since.
    renewal_after_a_suspension_proves_the_ownership:
        0, |lease| lease.record_renewal(RESUMED_MS) => ALL;

    /// Guards against a fleet whose leases end because the store does not respond.
    leases_go_on_while_the_store_does_not_respond:
        0, |lease| lease.record_unanswered_renewal(RESUMED_MS) => RENEWALS;

    /// Guards against leases that are renewed because the store did not respond before.
    unanswered_renewal_of_before_proves_nothing:
        0, |lease| lease.record_unanswered_renewal(RESUMED_MS - 1) => NOTHING;

    /// Guards against VM orders of an owner that has released the ownership, whatever renewal is
    /// answered later.
    released_owner_orders_no_vms: 0, |lease| {
        lease.end();
        lease.record_renewal(RESUMED_MS);
    } => CALLS;

    /// Guards against calls of an owner that was succeeded and waits for connections.
    deposed_owner_sends_nothing: 0, |lease| {
        lease.depose();
        lease.record_renewal(RESUMED_MS);
    } => NOTHING;
}

/// Guards against an owner that stops calling endpoints because the store is unavailable.
#[test]
fn endpoints_are_called_while_the_store_is_unavailable() {
    let suspension = Arc::new(Suspension::new(TAKEN_MS));
    let lease = OwnerLease::new(Arc::clone(&suspension), TAKEN_MS);
    for now_ms in (TAKEN_MS..TAKEN_MS + 10_000).step_by(100) {
        suspension.observe(now_ms);
        assert!(lease.may_order_endpoints(now_ms) && lease.may_renew_leases(now_ms));
    }
    lease.record_renewal(TAKEN_MS + 10_000);
    assert!(lease.may_order_vms(TAKEN_MS + 10_000));
    assert!(!lease.may_order_vms(TAKEN_MS + 10_000 + FRESH_RENEWAL_MS));
}

/// Returns whether leases may be extended a time after the last renewal was sent, after `change`.
fn may_extend_after(ago_ms: u64, change: impl Fn(&OwnerLease)) -> bool {
    let suspension = Arc::new(Suspension::new(TAKEN_MS));
    let lease = OwnerLease::new(suspension, TAKEN_MS);
    lease.record_renewal(TAKEN_MS);
    change(&lease);
    lease.may_extend_leases(TAKEN_MS + ago_ms)
}

macro_rules! extensions {
    ($($(#[$doc:meta])* $name:ident: $ago_ms:expr, $change:expr => $is_allowed:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(may_extend_after($ago_ms, $change), $is_allowed);
        })*
    };
}

extensions! {
    /// Guards against leases that end because the store does not respond for a short time.
    recent_renewal_allows_extensions: MAX_PROOF_AGE_MS, |_| {} => true;

    /// Guards against a former owner that extends the leases of endpoints that only it can reach.
    old_renewal_allows_no_extensions: MAX_PROOF_AGE_MS + 1, |_| {} => false;

    /// Guards against a renewal without a response that counts as a proof of the ownership.
    unanswered_renewal_allows_no_extensions:
        MAX_PROOF_AGE_MS + 1,
        |lease| lease.record_unanswered_renewal(TAKEN_MS + MAX_PROOF_AGE_MS) => false;

    /// Guards against leases that end because renewals are slow while batches are stored.
    stored_commit_allows_extensions:
        MAX_PROOF_AGE_MS + 1, |lease| lease.record_commit(TAKEN_MS + 1) => true;

    /// Guards against leases that end while an owner that stops is still needed.
    released_owner_extends_leases: MAX_PROOF_AGE_MS, OwnerLease::end => true;

    /// Guards against a former owner that extends leases although it knows its successor.
    deposed_owner_extends_no_leases: 0, OwnerLease::depose => false;
}

/// Guards against an owner that extends leases before it has renewed the ownership.
#[test]
fn claim_allows_no_extensions() {
    let lease = OwnerLease::new(Arc::new(Suspension::new(TAKEN_MS)), TAKEN_MS);
    assert!(!lease.may_extend_leases(TAKEN_MS));
}

/// Guards against taking a pause of the process that no other node can notice for a suspension, and
/// against an earlier time on the clock.
#[test]
fn short_pauses_are_no_suspensions() {
    let suspension = Suspension::new(TAKEN_MS);
    assert_eq!(suspension.observe(TAKEN_MS + SUSPICION_TIMEOUT_MS - 1), 0);
    assert_eq!(suspension.observe(TAKEN_MS), 0);
    let next_ms = TAKEN_MS + 2 * SUSPICION_TIMEOUT_MS;
    assert_eq!(suspension.observe(next_ms), next_ms);
    assert_eq!(suspension.observe(next_ms + 100), next_ms);
}

/// Guards against a delegate that executes calls which it accepted before it was suspended, or that
/// takes the owner that it knew before for the current one.
#[test]
fn suspended_delegate_trusts_nothing_of_before() {
    let suspension = Suspension::new(TAKEN_MS);
    assert!(suspension.has_run_since(TAKEN_MS, TAKEN_MS + 100));
    assert!(!suspension.has_run_since(TAKEN_MS + 100, RESUMED_MS));
    assert!(!suspension.has_run_since(RESUMED_MS - 1, RESUMED_MS + 100));
    assert!(suspension.has_run_since(RESUMED_MS + 100, RESUMED_MS + 200));
}

/// Guards against an owner of a new epoch that waits for its first renewal because the process was
/// suspended before.
#[test]
fn suspension_before_the_takeover_does_not_matter() {
    let suspension = Arc::new(Suspension::new(TAKEN_MS));
    suspension.observe(RESUMED_MS);
    let lease = OwnerLease::new(suspension, RESUMED_MS);
    assert!(lease.may_order_endpoints(RESUMED_MS + 50));
}
