//! When nodes may claim the ownership.

use {
    lynxwheel_controller::{
        OWNER_TIMEOUT_MS, OwnershipKind, OwnershipRecord, OwnershipView, REFUSED_CONNECTIONS_MS,
        SMALL_NODE_CLAIM_DELAY_MS, SUSPICION_TIMEOUT_MS,
    },
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn record(kind: OwnershipKind, epoch: u64, incarnation: u64) -> OwnershipRecord {
    OwnershipRecord {
        kind,
        epoch,
        incarnation,
        address: address(7_060),
        cpu_millis: 250,
        stored_end: 0,
    }
}

/// Returns a view with an owner of epoch 1 that was last seen at 1,000 ms.
fn owned() -> OwnershipView {
    let mut view = OwnershipView::default();
    view.record_read(1_000);
    view.apply(Some(&record(OwnershipKind::Claim, 0, 7)), 1_000);
    view
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body; })*
    };
}

cases! {
    claim_offset_determines_epoch: assert_eq!(owned().owner.map(|owner| owner.epoch), Some(1));

    owner_is_kept_until_timeout: assert!(!owned().needs_owner(1_000 + OWNER_TIMEOUT_MS));

    /// Guards against an owner that was suspended, reads the claim of its successor, and takes its own
    /// next renewal for proof that there is none.
    owner_with_a_successor_does_not_renew: {
        let mut view = owned();
        assert_eq!(view.renewal_offset(1, 0), Some(1));
        assert_eq!(view.renewal_offset(1, 3), Some(3));
        view.apply(Some(&record(OwnershipKind::Claim, 0, 8)), 2_000);
        assert_eq!(view.renewal_offset(1, 0), None);
        assert_eq!(view.renewal_offset(1, 3), None);
        assert_eq!(view.renewal_offset(2, 0), Some(2));
    };

    silent_owner_is_replaced: assert!(owned().needs_owner(1_001 + OWNER_TIMEOUT_MS));

    /// Guards against claims by all nodes after a store outage during which the owner kept running.
    store_outage_does_not_time_out_the_owner: {
        let mut view = owned();
        view.record_read_failure();
        assert!(!view.needs_owner(20_000));
        view.record_read(20_000);
        assert!(!view.needs_owner(20_000 + OWNER_TIMEOUT_MS));
        assert!(view.needs_owner(20_001 + OWNER_TIMEOUT_MS));
    };

    /// Guards against repeating the delay when the store was unavailable at startup.
    first_claim_delay_counts_from_process_start: {
        let empty = OwnershipView::default();
        assert!(empty.claim_delay_ms(120, 0) > 0);
        assert_eq!(empty.claim_delay_ms(120, 2_000), 0);
    };

    /// Guards against replacing a healthy owner because simultaneous probes overflow its accept
    /// queue.
    small_nodes_spread_their_probes: {
        let mut view = owned();
        let mut claim = record(OwnershipKind::Claim, 0, 8);
        claim.cpu_millis = 500;
        view.apply(Some(&claim), 2_000);
        assert!(view.probe_jitter_ms(120) >= 10 * view.probe_jitter_ms(500));
        assert!(view.probe_jitter_ms(120) > SMALL_NODE_CLAIM_DELAY_MS);
    };

    release_allows_immediate_claim: {
        let mut view = owned();
        view.apply(Some(&record(OwnershipKind::Release, 1, 7)), 1_100);
        assert!(view.needs_owner(1_100));
    };

    /// Guards against rejecting callers between the release and the successor's claim.
    released_owner_remains_until_succeeded: {
        let mut view = owned();
        view.apply(Some(&record(OwnershipKind::Release, 1, 7)), 1_100);
        assert_eq!(view.owner.map(|owner| owner.epoch), Some(1));
        view.apply(Some(&record(OwnershipKind::Claim, 0, 8)), 1_200);
        assert_eq!(view.owner.map(|owner| owner.epoch), Some(3));
        assert!(!view.needs_owner(1_200));
    };

    /// Guards against waiting for the owner timeout after a renewal that was in flight during the
    /// release.
    late_renewal_does_not_revoke_release: {
        let mut view = owned();
        view.apply(Some(&record(OwnershipKind::Release, 1, 7)), 1_100);
        view.apply(Some(&record(OwnershipKind::Renewal, 1, 7)), 1_150);
        assert!(view.needs_owner(1_150));
    };

    /// A late renewal of a former owner is read after its successor's claim.
    renewal_of_former_owner_is_ignored: {
        let mut view = owned();
        view.apply(Some(&record(OwnershipKind::Claim, 0, 8)), 1_200);
        view.apply(Some(&record(OwnershipKind::Renewal, 1, 7)), 1_300);
        assert_eq!(view.owner.map(|owner| owner.incarnation), Some(8));
    };

    /// Guards against waiting for the owner timeout when all processes are restarted at once.
    restart_at_owner_address_is_detected: {
        assert!(owned().is_owner_restarted_at(8, address(7_060)));
        assert!(!owned().is_owner_restarted_at(7, address(7_060)));
        assert!(!owned().is_owner_restarted_at(8, address(7_061)));
    };

    /// Guards against holding back VMs for orders of a process that has been replaced.
    restart_at_owner_address_ends_previous_epoch: {
        let mut view = owned();
        assert_eq!(view.ended_predecessor_epoch(), None);
        view.apply(Some(&record(OwnershipKind::Claim, 0, 8)), 1_200);
        assert_eq!(view.ended_predecessor_epoch(), Some(1));
        let elsewhere = OwnershipRecord {
            address: address(7_061),
            ..record(OwnershipKind::Claim, 0, 9)
        };
        view.apply(Some(&elsewhere), 1_300);
        assert_eq!(view.ended_predecessor_epoch(), None);
    };

    /// Guards against an owner that is much smaller than the other nodes.
    larger_node_claims_first: {
        let empty = OwnershipView::default();
        assert!(
            empty.claim_delay_ms(500, 0) + SMALL_NODE_CLAIM_DELAY_MS < empty.claim_delay_ms(120, 0)
        );
        assert_eq!(owned().claim_delay_ms(120, 60_000), SMALL_NODE_CLAIM_DELAY_MS);
        assert_eq!(owned().claim_delay_ms(250, 0), 0);
    };

    small_owner_is_asked_to_yield: {
        assert!(owned().has_small_owner(500));
        assert!(!owned().has_small_owner(260));
        assert!(!OwnershipView::default().has_small_owner(500));
    };

    /// Guards against holding callers until the owner timeout when the owner's process was killed.
    owner_refusing_connections_is_replaced_early: {
        let mut view = owned();
        view.record_refused_connection(1, 1_100);
        view.record_refused_connection(1, 1_250);
        assert!(!view.needs_owner(1_099 + REFUSED_CONNECTIONS_MS));
        assert!(view.needs_owner(1_100 + REFUSED_CONNECTIONS_MS));
    };

    /// Guards against holding callers until the owner timeout when the owner was disconnected.
    unresponsive_owner_is_replaced_early: {
        let mut view = owned();
        assert_eq!(view.until_suspected_ms(1_100), Some(SUSPICION_TIMEOUT_MS - 100));
        view.record_unresponsive(1, 999 + SUSPICION_TIMEOUT_MS);
        assert!(!view.needs_owner(999 + SUSPICION_TIMEOUT_MS));
        view.record_unresponsive(1, 1_000 + SUSPICION_TIMEOUT_MS);
        assert!(view.needs_owner(1_000 + SUSPICION_TIMEOUT_MS));
    };

    /// A node that is disconnected from the owner alone still reads its renewals.
    renewal_clears_unresponsive_owner: {
        let mut view = owned();
        view.record_unresponsive(1, 1_000 + SUSPICION_TIMEOUT_MS);
        view.apply(Some(&record(OwnershipKind::Renewal, 1, 7)), 1_010 + SUSPICION_TIMEOUT_MS);
        assert!(!view.needs_owner(1_020 + SUSPICION_TIMEOUT_MS));
    };

    /// Guards against replacing an owner for connections refused before its claim or its last
    /// renewal.
    refused_connection_of_other_epoch_is_ignored: {
        let mut view = owned();
        view.record_refused_connection(0, 1_100);
        assert!(!view.needs_owner(1_500));
        view.record_refused_connection(1, 1_100);
        view.apply(Some(&record(OwnershipKind::Renewal, 1, 7)), 1_200);
        assert!(!view.needs_owner(1_500));
    };

    /// Guards against holding back VMs for orders that are known to be old.
    renewals_bound_when_records_were_stored: {
        let mut view = owned();
        let renewal = |stored_end| OwnershipRecord {
            stored_end,
            ..record(OwnershipKind::Renewal, 1, 7)
        };
        view.apply(Some(&renewal(40)), 2_000);
        view.apply(Some(&renewal(40)), 2_350);
        view.apply(Some(&renewal(60)), 2_700);
        assert_eq!(view.stored_by_ms(39), Some(2_000));
        assert_eq!(view.stored_by_ms(40), Some(2_700));
        assert_eq!(view.stored_by_ms(60), None);
    };

    malformed_record_is_skipped: {
        let mut view = owned();
        assert_eq!(OwnershipRecord::decode(b"\xc1noise"), None);
        view.apply(None, 1_100);
        assert_eq!(view.next_offset, 2);
        assert_eq!(view.owner.map(|owner| owner.epoch), Some(1));
    };
}
