//! Which nodes follow every renewal of the owner.

use {
    lynxwheel_controller::{
        Member, OwnershipKind, OwnershipRecord, OwnershipView, StandbyCandidates, StandbyRecord,
    },
    std::net::SocketAddr,
};

/// Number of large nodes of a large fleet.
const LARGE: u8 = 30;

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_060).into()
}

/// Returns nodes spread over the zones, numbered from `first` on.
fn members(first: u8, count: u8, cpu_millis: u32) -> Vec<Member> {
    let member = |number: u8| Member {
        address: address(number),
        zone: ZONES[usize::from(number) % ZONES.len()].into(),
        cpu_millis,
        link_mbps: 1_000,
    };
    (first..first + count).map(member).collect()
}

/// Returns the standbys that an owner of one core chooses among live nodes.
fn chosen(live: &[Member]) -> Vec<SocketAddr> {
    let mut candidates = StandbyCandidates::default();
    candidates.record(live, 1_000);
    candidates.choose(1_000)
}

fn record(kind: OwnershipKind, epoch: u64) -> OwnershipRecord {
    OwnershipRecord {
        kind,
        epoch,
        incarnation: 7,
        address: address(1),
        cpu_millis: 1_000,
        stored_end: 0,
    }
}

fn claim(view: &mut OwnershipView) {
    view.apply(Some(&record(OwnershipKind::Claim, 0)), 1_000);
}

/// Returns a view with an owner of epoch 1 that has chosen a standby.
fn view_with_standby(epoch: u64) -> OwnershipView {
    let mut view = OwnershipView::default();
    claim(&mut view);
    let record = StandbyRecord {
        epoch,
        standbys: vec![address(2)],
    };
    view.apply_standbys(&record);
    view
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body; })*
    };
}

cases! {
    /// Guards against a zone whose loss takes all standbys, and against reads that grow with the fleet.
    each_zone_has_two_standbys: for count in [LARGE, 2 * LARGE, 4 * LARGE] {
        let standbys = chosen(&members(1, count, 1_000));
        assert_eq!(standbys, [1, 2, 3, 4, 5, 6].map(address));
    };

    /// Guards against standbys that cannot own a large fleet.
    small_nodes_are_no_standbys: {
        let mut live = members(1, 60, 120);
        live.extend(members(100, LARGE, 1_000));
        assert_eq!(chosen(&live)[0], address(100));
    };

    /// Guards against a small fleet in which fewer nodes follow the owner than before.
    all_nodes_follow_in_a_small_fleet: {
        assert_eq!(chosen(&members(1, 19, 1_000)), []);
        assert_eq!(chosen(&members(1, 60, 120)), []);
    };

    /// Guards against standbys that change whenever a node has had no callers for some seconds.
    silent_node_remains_a_standby_for_a_while: {
        let mut candidates = StandbyCandidates::default();
        candidates.record(&members(1, LARGE, 1_000), 1_000);
        candidates.record(&members(4, LARGE - 3, 1_000), 20_999);
        assert_eq!(candidates.choose(1_000)[0], address(1));
        candidates.record(&members(4, LARGE - 3, 1_000), 21_000);
        assert_eq!(candidates.choose(1_000)[0], address(4));
    };

    /// Guards against nodes that rely on standbys after most large nodes have been lost.
    standbys_are_withdrawn: {
        let mut candidates = StandbyCandidates::default();
        assert_eq!(candidates.next_record(1, 1_000), None);
        candidates.record(&members(1, LARGE, 1_000), 1_000);
        assert_eq!(candidates.next_record(1, 1_000).expect("a record").standbys.len(), 6);
        candidates.record(&members(1, 5, 1_000), 30_000);
        assert_eq!(candidates.next_record(1, 1_000).expect("a record").standbys, []);
    };

    /// Guards against nodes that rely on standbys of an earlier owner, which may be gone.
    new_owner_has_no_standbys: {
        let mut view = view_with_standby(1);
        assert!(!view.has_standby_elsewhere(address(2)));
        assert!(view.has_standby_elsewhere(address(3)));
        claim(&mut view);
        assert!(!view.has_standby_elsewhere(address(3)));
        assert!(!view_with_standby(9).has_standby_elsewhere(address(3)));
    };

    /// Guards against nodes that rely on standbys of an earlier owner because the claim of the present
    /// one was trimmed before they read it.
    renewal_of_a_new_owner_ends_earlier_standbys: {
        let mut view = view_with_standby(1);
        view.skip_to(9);
        view.apply(Some(&record(OwnershipKind::Renewal, 5)), 2_000);
        assert!(!view.has_standby_elsewhere(address(3)));
    };

    /// Guards against standbys that are forgotten with each renewal of their own owner.
    renewal_keeps_standbys: {
        let mut view = view_with_standby(1);
        view.apply(Some(&record(OwnershipKind::Renewal, 1)), 2_000);
        assert!(view.has_standby_elsewhere(address(3)));
    };

    /// Guards against offsets that are counted wrong, which would let renewals fail.
    standbys_take_an_offset: assert_eq!(view_with_standby(1).next_offset, 2);

    /// Guards against one kind of record that is taken for the other, also by builds without standbys.
    records_differ: {
        let standbys = StandbyRecord { epoch: 70_000, standbys: vec![address(2), address(3)] };
        assert_eq!(OwnershipRecord::decode(&standbys.encode()), None);
        assert_eq!(StandbyRecord::decode(&standbys.encode()), Some(standbys));
    };
}
