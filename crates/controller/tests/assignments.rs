//! Assignment of endpoints to the nodes that call them.

use {
    lynxwheel_controller::{EndpointAssignments, MEMBER_TIMEOUT_MS, Member, Members},
    std::net::SocketAddr,
};

/// Node with half a core and a fast link: calls 200 endpoints as a delegate and 120 as the owner.
const LARGE: (u32, u32) = (500, 200);

/// Node whose link limits its capacity more than its CPU.
const NARROW: (u32, u32) = (500, 2);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_060).into()
}

fn member(number: u8, zone: &str, (cpu_millis, link_mbps): (u32, u32)) -> Member {
    Member {
        address: address(number),
        zone: zone.into(),
        cpu_millis,
        link_mbps,
    }
}

/// Assigns `endpoints` in zone `a`, and returns the number per node, the owner first.
fn assign_all(assignments: &mut EndpointAssignments, endpoints: u32, nodes: u8) -> Vec<usize> {
    let mut counts = vec![0; usize::from(nodes) + 1];
    for key in 0..endpoints {
        let node = assignments.assign(key, "a", 0);
        let place = (1..=nodes).find(|&number| node == Some(address(number)));
        counts[place.map_or(0, usize::from)] += 1;
    }
    counts
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $owner:expr, $members:expr, $endpoints:expr => $counts:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let (cpu_millis, link_mbps) = $owner;
            let members: Vec<Member> = $members;
            let mut assignments = EndpointAssignments::new(cpu_millis, link_mbps);
            assignments.set_members(&members);
            let nodes = u8::try_from(members.len()).expect("few nodes");
            assert_eq!(assign_all(&mut assignments, $endpoints, nodes), $counts);
        })*
    };
}

cases! {
    owner_calls_all_endpoints_of_a_small_fleet:
        (250, 1_000), vec![member(1, "a", LARGE)], 50 => [50, 0];

    /// Guards against delayed starts when an owner cannot call all endpoints of a large fleet
    /// itself.
    delegates_call_most_endpoints_of_a_large_fleet:
        LARGE, vec![member(1, "a", LARGE), member(2, "a", LARGE)], 500 => [120, 180, 200];

    delegates_in_the_endpoint_zone_are_preferred:
        LARGE, vec![member(1, "b", LARGE), member(2, "a", LARGE)], 300 => [120, 0, 180];

    /// Guards against an owner that misses its renewals because endpoint calls saturate its link.
    link_bandwidth_limits_capacity:
        NARROW, vec![member(1, "a", NARROW), member(2, "a", NARROW)], 40 => [4, 16, 20];

    owner_calls_endpoints_beyond_delegate_capacity:
        NARROW, vec![member(1, "a", NARROW)], 60 => [40, 20];

    owner_without_delegates_calls_all_endpoints: LARGE, Vec::new(), 400 => [400];
}

fn large_fleet_assignments() -> EndpointAssignments {
    let mut assignments = EndpointAssignments::new(LARGE.0, LARGE.1);
    assignments.set_members(&[member(1, "a", LARGE), member(2, "a", LARGE)]);
    assign_all(&mut assignments, 300, 2);
    assignments
}

/// Guards against assigning the endpoints of a failed delegate to it again.
#[test]
fn endpoints_of_a_lost_delegate_are_reassigned() {
    let mut assignments = large_fleet_assignments();
    let lost = assignments.assign(200, "a", 0).expect("a node");
    assignments.mark_lost(lost, 0);
    let next = assignments.assign(200, "a", 0).expect("a node");
    assert_ne!(next, lost);
}

#[test]
fn lost_delegate_is_used_again_later() {
    let mut assignments = EndpointAssignments::new(0, 0);
    assignments.set_members(&[member(1, "a", LARGE)]);
    assignments.mark_lost(address(1), 0);
    assert_eq!(assignments.assign(1, "a", 2_900), None);
    assert_eq!(assignments.assign(1, "a", 3_000), Some(address(1)));
}

#[test]
fn assignment_is_stable_when_a_node_joins() {
    let mut assignments = large_fleet_assignments();
    let nodes: Vec<_> = (0..300)
        .map(|key| assignments.assign(key, "a", 0))
        .collect();
    assignments.set_members(&[
        member(1, "a", LARGE),
        member(2, "a", LARGE),
        member(3, "a", LARGE),
    ]);
    let later: Vec<_> = (0..300)
        .map(|key| assignments.assign(key, "a", 0))
        .collect();
    assert_eq!(nodes, later);
}

#[test]
fn slowed_delegate_keeps_only_what_it_can_call() {
    let mut assignments = large_fleet_assignments();
    assert_eq!(assignments.delegated_counts(), (180, 1));
    assignments.set_members(&[member(1, "a", (50, 200)), member(2, "a", (50, 200))]);
    assert_eq!(assignments.delegated_counts(), (20, 1));
}

#[test]
fn removed_endpoints_free_capacity() {
    let mut assignments = large_fleet_assignments();
    assignments.retain(|key| key >= 200);
    assert_eq!(assignments.delegated_counts(), (100, 1));
    assert_eq!(
        assignments.assign(1_000, "a", 0),
        None,
        "the owner has free capacity"
    );
}

#[test]
fn silent_member_times_out() {
    let mut members = Members::default();
    members.record(member(1, "a", LARGE), 0);
    members.record(member(2, "a", LARGE), 2_000);
    members.record(member(2, "a", NARROW), 3_000);
    assert_eq!(members.live(MEMBER_TIMEOUT_MS).len(), 1);
    assert_eq!(members.live(MEMBER_TIMEOUT_MS)[0], member(2, "a", NARROW));
}
