//! Recovery of nodes when the log has been trimmed or is unavailable.

mod common;

use {
    common::{Fleet, RunningNode, wait_for, wait_until},
    lynxwheel_coordination::{Clock, ProposeError, SnapshotAssembler, split_snapshot},
    lynxwheel_protocol::{
        Kind, Record, RecordBody, Resource, ResourceRef, Resources, TeamSpec, WriterId,
    },
    lynxwheel_state::FleetState,
};

/// Name of the fleet's stream.
const STREAM: &str = "fleet";

fn declare_team(name: &str) -> RecordBody {
    let spec = TeamSpec {
        name: name.into(),
        quota: Resources::default(),
    };
    RecordBody::Put {
        resource: Box::new(Resource::Team(spec)),
        if_revision: None,
    }
}

async fn declare(running: &RunningNode, name: &str) {
    wait_for("the declaration is accepted", || {
        running
            .node
            .proposer()
            .propose_and_confirm(declare_team(name))
    })
    .await;
}

fn knows(running: &RunningNode, name: &str) -> bool {
    let reference = ResourceRef::new(Kind::Team, name);
    running.node.state().declared(&reference).is_some()
}

/// Trims all records as soon as one of the nodes has read them. A record that none has read would be
/// lost, and no node could continue without it.
async fn trim_log(fleet: &Fleet, readers: &[&RunningNode]) {
    wait_until("a node has read the log", || {
        fleet.platform.with_platform(|platform| {
            let end = platform.log.read(STREAM, 1, 0).next_offset;
            let is_read = readers
                .iter()
                .any(|running| running.node.state().offset() + 1 >= end);
            if is_read {
                platform.log.trim(STREAM, end);
            }
            is_read
        })
    })
    .await;
}

fn set_log_down(fleet: &Fleet, is_down: bool) {
    fleet
        .platform
        .with_platform(|platform| platform.faults.log_down = is_down);
}

/// Guards against losing accepted declarations when all nodes are replaced after a trim; they must
/// start from the snapshot in the log service.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_replaced_at_once_after_a_trim() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    let second = fleet.start_node(1).await;
    declare(&first, "night-shift").await;
    wait_until("a snapshot includes the declaration", || {
        let state = first.node.state();
        let reference = ResourceRef::new(Kind::Team, "night-shift");
        let declared = state
            .declared(&reference)
            .map_or(0, |resource| resource.revision);
        state.snapshot().is_some_and(|id| id.offset >= declared)
    })
    .await;
    first.shutdown.begin();
    second.shutdown.begin();
    trim_to_snapshot(&fleet, &first);
    let replacement = Fleet {
        addresses: common::free_addresses(2),
        clock: Clock::system(),
        ..fleet
    };
    let third = replacement.start_node(0).await;
    let fourth = replacement.start_node(1).await;
    wait_until("both know the declaration", || {
        knows(&third, "night-shift") && knows(&fourth, "night-shift")
    })
    .await;
    wait_until("both are current", || {
        third.node.is_current() && fourth.node.is_current()
    })
    .await;
}

fn trim_to_snapshot(fleet: &Fleet, running: &RunningNode) {
    let last = running.node.state().snapshot().map_or(0, |id| id.offset);
    fleet
        .platform
        .with_platform(|platform| platform.log.trim(STREAM, last + 1));
}

/// Guards against losing accepted declarations in a rolling replacement with trims past the last
/// snapshot; each new node must start from a peer's state.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_replaced_one_after_another() {
    let fleet = Fleet::start(3).await;
    let mut nodes = vec![
        fleet.start_node(0).await,
        fleet.start_node(1).await,
        fleet.start_node(2).await,
    ];
    for index in 0..3 {
        let name = format!("shift-{index}");
        declare(&nodes[index], &name).await;
        wait_until("all know the declaration", || {
            nodes.iter().all(|running| knows(running, &name))
        })
        .await;
        nodes[index].shutdown.begin();
        let remaining = [&nodes[(index + 1) % 3], &nodes[(index + 2) % 3]];
        trim_log(&fleet, &remaining).await;
        nodes[index] = fleet.start_node(index).await;
        wait_until("the new node is current", || nodes[index].node.is_current()).await;
    }
    for running in &nodes {
        assert!((0..3).all(|index| knows(running, &format!("shift-{index}"))));
    }
}

/// Guards against a replaced node that misses declarations because the log was trimmed and no
/// snapshot reaches its earliest record; it must start from a peer's state.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_node_starts_from_a_peer() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    declare(&first, "night-shift").await;
    trim_log(&fleet, &[&first]).await;
    let second = fleet.start_node(1).await;
    wait_until("the replaced node knows the declaration", || {
        knows(&second, "night-shift")
    })
    .await;
}

/// Guards against a node that cannot reach the log service and keeps an outdated state although
/// its peers are reachable.
#[tokio::test(flavor = "multi_thread")]
async fn node_isolated_from_the_log_follows_its_peers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    let (isolated, proxy) = fleet.start_node_behind_proxy(1).await;
    wait_until("the node is current before it is isolated", || {
        isolated.node.is_current()
    })
    .await;
    proxy.disconnect();
    declare(&first, "night-shift").await;
    wait_until("the isolated node knows the declaration", || {
        knows(&isolated, "night-shift")
    })
    .await;
    assert!(!knows(&isolated, "day-shift"));
    wait_until("it is current", || isolated.node.is_current()).await;
}

/// Guards against a lagging node that skips trimmed records; it must load a later state first.
#[tokio::test(flavor = "multi_thread")]
async fn trimmed_reader_reloads() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    let (lagging, proxy) = fleet.start_node_behind_proxy(1).await;
    wait_until("both are current", || {
        first.node.is_current() && lagging.node.is_current()
    })
    .await;
    proxy.disconnect();
    lagging.node.peers().announce_stop();
    declare(&first, "night-shift").await;
    trim_log(&fleet, &[&first]).await;
    proxy.reconnect();
    declare(&first, "day-shift").await;
    wait_until("both declarations are known", || {
        knows(&lagging, "night-shift") && knows(&lagging, "day-shift")
    })
    .await;
}

/// Guards against waiting for the regular interval when records after the last snapshot have been
/// trimmed and no node could start from it any more.
#[tokio::test(flavor = "multi_thread")]
async fn trim_past_the_last_snapshot_triggers_a_new_one() {
    let fleet = Fleet::start(1).await;
    let single = fleet.start_node(0).await;
    declare(&single, "night-shift").await;
    let snapshot = || single.node.state().snapshot().map_or(0, |id| id.offset);
    wait_until("the first snapshot is written", || snapshot() > 0).await;
    declare(&single, "day-shift").await;
    let declared = single.node.state().offset();
    trim_log(&fleet, &[&single]).await;
    wait_until("a snapshot after the trim", || snapshot() >= declared).await;
}

/// Guards against proposals that hang during an outage of the log, or fail after it.
#[tokio::test(flavor = "multi_thread")]
async fn proposals_are_rejected_only_during_an_outage() {
    let fleet = Fleet::start(1).await;
    let single = fleet.start_node(0).await;
    declare(&single, "night-shift").await;
    set_log_down(&fleet, true);
    let rejected = single
        .node
        .proposer()
        .propose(declare_team("day-shift"))
        .await;
    assert!(rejected.is_err(), "{rejected:?}");
    wait_until("the node notices that it is not current", || {
        !single.node.is_current()
    })
    .await;
    set_log_down(&fleet, false);
    declare(&single, "day-shift").await;
    wait_until("the node is current again", || single.node.is_current()).await;
}

/// Guards against reporting an unknown outcome for a proposal that was never sent because it was
/// queued behind a stalled append.
#[tokio::test(flavor = "multi_thread")]
async fn proposals_behind_a_stalled_append_are_rejected() {
    let fleet = Fleet::start(1).await;
    let single = fleet.start_node(0).await;
    declare(&single, "night-shift").await;
    wait_until("no other record is pending", || {
        single.node.state().snapshot().is_some()
    })
    .await;
    delay_appends(&fleet, u32::MAX);
    let stalled = single
        .node
        .proposer()
        .propose(declare_team("late-shift"))
        .await;
    assert!(
        matches!(stalled, Err(ProposeError::OutcomeUnknown { .. })),
        "{stalled:?}"
    );
    let rejected = single
        .node
        .proposer()
        .propose(declare_team("early-shift"))
        .await;
    assert!(
        matches!(rejected, Err(ProposeError::NotAppended { .. })),
        "{rejected:?}"
    );
    delay_appends(&fleet, 0);
    wait_until("the stalled one is folded", || knows(&single, "late-shift")).await;
    assert!(!knows(&single, "early-shift"));
    declare(&single, "early-shift").await;
}

/// Makes the next appends take effect long after their requests have failed.
fn delay_appends(fleet: &Fleet, late_appends: u32) {
    fleet.platform.with_platform(|platform| {
        platform.faults.late_appends = late_appends;
        platform.faults.late_ms = 20_000;
    });
}

/// Guards against two nodes that keep proposing with different states at the same offset.
#[tokio::test(flavor = "multi_thread")]
async fn differing_digest_stops_proposals() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    declare(&first, "night-shift").await;
    let mut forged = first.node.hello();
    forged.node = fleet.addresses[1].node.clone();
    forged.digest ^= 1;
    fleet.send_hello(0, &forged).await;
    assert!(first.node.has_diverged());
    assert!(
        !first
            .node
            .proposer()
            .propose_and_confirm(declare_team("day-shift"))
            .await
    );
}

/// Guards against a difference that the rolling digest misses; the digest of the full state must
/// reveal it before a verdict depends on it.
#[tokio::test(flavor = "multi_thread")]
async fn differing_content_digest_stops_proposals() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    while first.node.hello().content_offset == 0 {
        declare(&first, "night-shift").await;
    }
    let mut forged = first.node.hello();
    forged.node = fleet.addresses[1].node.clone();
    forged.content_digest ^= 1;
    fleet.send_hello(0, &forged).await;
    assert!(first.node.has_diverged());
}

/// Guards against assembling a state from chunks of different snapshots, of an incomplete one or of
/// repeated appends.
#[test]
fn interleaved_and_incomplete_snapshots() {
    let older = large_state(1_500);
    let newer = large_state(1_600);
    let newest = large_state(1_700);
    let split = |state, writer| split_snapshot(state, writer).expect("a small state");
    let mut assembler = SnapshotAssembler::default();
    let incomplete = split(&newest, 3);
    assert!(incomplete.len() > 1, "the state must span several chunks");
    for chunk in &incomplete[1..] {
        assembler.add(chunk.clone());
        assembler.add(chunk.clone());
    }
    assert!(assembler.latest().is_none());
    for (a, b) in split(&older, 1).into_iter().zip(split(&newer, 2)) {
        assembler.add(a);
        assembler.add(b);
    }
    assert!(assembler.latest().is_some_and(|state| state == newer));
    let mut corrupted = incomplete[0].clone();
    corrupted.bytes[0] ^= 1;
    assembler.add(corrupted);
    assert!(assembler.latest().is_some_and(|state| state == newer));
}

fn large_state(teams: u64) -> FleetState {
    let mut state = FleetState::new();
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    let puts =
        (0..teams).map(|number| declare_team(&format!("team-with-a-long-name-{number:030}")));
    for (offset, body) in (1..).zip(std::iter::once(join).chain(puts)) {
        let record = Record {
            id: WriterId {
                incarnation: 1,
                sequence: offset,
            },
            time_ms: 1,
            body,
        };
        assert!(state.apply(offset, &record).is_accepted());
    }
    state
}

/// Guards against an encoding that needs extra bytes for values above 127.
#[test]
fn byte_strings_are_encoded_compactly() {
    let request = lynxwheel_protocol::AppendRequest {
        entries: vec![vec![0xff; 1_000]],
    };
    let encoded = lynxwheel_protocol::encode_message(&request).expect("small");
    assert!(encoded.len() < 1_050, "{} bytes", encoded.len());
    let decoded: lynxwheel_protocol::AppendRequest =
        lynxwheel_protocol::decode_message(&encoded).expect("own bytes");
    assert_eq!(decoded, request);
}
