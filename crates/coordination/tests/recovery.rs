//! Starting, restarting and going on when the log has been trimmed or cannot be read.

mod common;

use {
    common::{Fleet, RunningNode, wait_for, wait_until},
    lynxwheel_coordination::{Clock, ProposeError, SnapshotAssembler, split_snapshot},
    lynxwheel_protocol::{
        Kind, Record, RecordBody, Resource, ResourceRef, Resources, TeamSpec, WriterId,
    },
    lynxwheel_state::FleetState,
};

/// Stream of the fleet in these tests.
const STREAM: &str = "fleet";

fn team(name: &str) -> RecordBody {
    let spec = TeamSpec {
        name: name.into(),
        quota: Resources::default(),
    };
    RecordBody::Put {
        resource: Box::new(Resource::Team(spec)),
        if_revision: None,
    }
}

async fn declare(run: &RunningNode, name: &str) {
    wait_for("the declaration is accepted", || {
        run.node.proposer().propose_and_confirm(team(name))
    })
    .await;
}

fn knows(run: &RunningNode, name: &str) -> bool {
    let reference = ResourceRef::new(Kind::Team, name);
    run.node.state().declared(&reference).is_some()
}

fn trim_all(fleet: &Fleet) {
    fleet.platform.with_platform(|platform| {
        let end = platform.log.read(STREAM, 1, 0).next_offset;
        platform.log.trim(STREAM, end);
    });
}

fn set_log_down(fleet: &Fleet, is_down: bool) {
    fleet
        .platform
        .with_platform(|platform| platform.faults.log_down = is_down);
}

/// A declaration that was accepted is gone after an upgrade. All nodes were replaced at once and
/// the log had been trimmed meanwhile; the new nodes started from what was left of it. They must
/// start from the snapshot in the log service.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_replaced_at_once_after_a_trim() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    let second = fleet.run(1).await;
    declare(&first, "night-shift").await;
    wait_until("a snapshot includes the declaration", || {
        let state = first.node.state();
        let reference = ResourceRef::new(Kind::Team, "night-shift");
        let declared = state.declared(&reference).map_or(0, |row| row.revision);
        state.snapshot().is_some_and(|id| id.offset >= declared)
    })
    .await;
    first.shutdown.begin();
    second.shutdown.begin();
    trim_to_snapshot(&fleet, &first);
    let renewed = Fleet {
        addresses: common::free_addresses(2),
        clock: Clock::system(),
        ..fleet
    };
    let third = renewed.run(0).await;
    let fourth = renewed.run(1).await;
    wait_until("both know the declaration", || {
        knows(&third, "night-shift") && knows(&fourth, "night-shift")
    })
    .await;
    wait_until("both are current", || {
        third.node.is_current() && fourth.node.is_current()
    })
    .await;
}

fn trim_to_snapshot(fleet: &Fleet, run: &RunningNode) {
    let last = run.node.state().snapshot().map_or(0, |id| id.offset);
    fleet
        .platform
        .with_platform(|platform| platform.log.trim(STREAM, last + 1));
}

/// A declaration that was accepted is gone after an upgrade. The nodes were replaced one after
/// another while the log was trimmed each time, also past the last snapshot. Each new node must
/// take the state of one that is still there.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_replaced_one_after_another() {
    let fleet = Fleet::start(3).await;
    let mut nodes = vec![fleet.run(0).await, fleet.run(1).await, fleet.run(2).await];
    for row in 0..3 {
        let name = format!("shift-{row}");
        declare(&nodes[row], &name).await;
        wait_until("all know the declaration", || {
            nodes.iter().all(|run| knows(run, &name))
        })
        .await;
        nodes[row].shutdown.begin();
        trim_all(&fleet);
        nodes[row] = fleet.run(row).await;
        wait_until("the new node is current", || nodes[row].node.is_current()).await;
    }
    for run in &nodes {
        assert!((0..3).all(|row| knows(run, &format!("shift-{row}"))));
    }
}

/// A declaration that was accepted is gone at one node only, until it is declared again. The node
/// was replaced after the log had been trimmed, and no snapshot reached the log's beginning. It
/// must start from a peer's state.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_node_starts_from_a_peer() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    declare(&first, "night-shift").await;
    trim_all(&fleet);
    let second = fleet.run(1).await;
    wait_until("the replaced node knows the declaration", || {
        knows(&second, "night-shift")
    })
    .await;
}

/// A node goes on routing by an old configuration while the others have the new one. It was cut
/// from the log service but not from its peers. It must take the records from them.
#[tokio::test(flavor = "multi_thread")]
async fn node_cut_from_the_log_follows_its_peers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    let (cut, relay) = fleet.run_behind_relay(1).await;
    wait_until("the node that will be cut is current", || {
        cut.node.is_current()
    })
    .await;
    relay.cut();
    declare(&first, "night-shift").await;
    wait_until("the cut node knows the declaration", || {
        knows(&cut, "night-shift")
    })
    .await;
    assert!(!knows(&cut, "day-shift"));
    wait_until("it knows that it is current", || cut.node.is_current()).await;
}

/// A node that was away for long skips the records that were trimmed meanwhile, and lacks a
/// declaration for good. It must load a later state before it reads on.
#[tokio::test(flavor = "multi_thread")]
async fn trimmed_reader_reloads() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    let (away, relay) = fleet.run_behind_relay(1).await;
    wait_until("both are current", || {
        first.node.is_current() && away.node.is_current()
    })
    .await;
    relay.cut();
    away.node.peers().announce_stop();
    declare(&first, "night-shift").await;
    trim_all(&fleet);
    relay.mend();
    declare(&first, "day-shift").await;
    wait_until("both declarations are known", || {
        knows(&away, "night-shift") && knows(&away, "day-shift")
    })
    .await;
}

/// Everything accepted would be lost if all nodes were replaced now. The log service keeps less
/// than the settings take it to keep, so its records after the last snapshot are gone. The nodes
/// must write a new snapshot at once instead of at its time.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_overtaken_by_the_trim_is_renewed() {
    let fleet = Fleet::start(1).await;
    let only = fleet.run(0).await;
    declare(&only, "night-shift").await;
    let snapshot = || only.node.state().snapshot().map_or(0, |id| id.offset);
    wait_until("the first snapshot", || snapshot() > 0).await;
    declare(&only, "day-shift").await;
    let declared = only.node.state().offset();
    trim_all(&fleet);
    wait_until("a snapshot beyond the trim", || snapshot() >= declared).await;
}

/// Operators wait for seconds on writes during an outage, or are told that they failed when they
/// did not. A proposal during an outage must be refused at once, and one after it accepted.
#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_and_ends() {
    let fleet = Fleet::start(1).await;
    let only = fleet.run(0).await;
    declare(&only, "night-shift").await;
    set_log_down(&fleet, true);
    let refused = only.node.proposer().propose(team("day-shift")).await;
    assert!(refused.is_err(), "{refused:?}");
    wait_until("the node does not take itself for current", || {
        !only.node.is_current()
    })
    .await;
    set_log_down(&fleet, false);
    declare(&only, "day-shift").await;
    wait_until("it is current again", || only.node.is_current()).await;
}

/// An operator's write hangs for seconds and its outcome is called unknown although it was never
/// sent. It waited in the queue behind a group whose append had broken off. Such a write must be
/// refused at once, as not run.
#[tokio::test(flavor = "multi_thread")]
async fn writes_behind_a_stuck_append_are_refused() {
    let fleet = Fleet::start(1).await;
    let only = fleet.run(0).await;
    declare(&only, "night-shift").await;
    wait_until("nothing else is to be written", || {
        only.node.state().snapshot().is_some()
    })
    .await;
    set_late(&fleet, u32::MAX);
    let stuck = only.node.proposer().propose(team("late-shift")).await;
    assert!(
        matches!(stuck, Err(ProposeError::OutcomeUnknown { .. })),
        "{stuck:?}"
    );
    let refused = only.node.proposer().propose(team("early-shift")).await;
    assert!(
        matches!(refused, Err(ProposeError::NotAppended { .. })),
        "{refused:?}"
    );
    set_late(&fleet, 0);
    wait_until("the unknown one comes back", || knows(&only, "late-shift")).await;
    assert!(!knows(&only, "early-shift"));
    declare(&only, "early-shift").await;
}

/// Lets appends take effect much later than their answers.
fn set_late(fleet: &Fleet, late_appends: u32) {
    fleet.platform.with_platform(|platform| {
        platform.faults.late_appends = late_appends;
        platform.faults.late_ms = 20_000;
    });
}

/// Nodes that hold different states both place work. One of them folded a record differently; a
/// peer's digest at the same offset shows it. Both must stop, as neither knows who is right.
#[tokio::test(flavor = "multi_thread")]
async fn differing_digest_stops_decisions() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    declare(&first, "night-shift").await;
    let mut lying = first.node.hello();
    lying.node = fleet.addresses[1].node.clone();
    lying.digest ^= 1;
    fleet.tell(0, &lying).await;
    assert!(first.node.has_diverged());
    assert!(
        !first
            .node
            .proposer()
            .propose_and_confirm(team("day-shift"))
            .await
    );
}

/// Two nodes count a pool's available VMs differently, yet neither has rejected what the other
/// accepted so far. The digest of the whole state must show it before a decision depends on it.
#[tokio::test(flavor = "multi_thread")]
async fn differing_content_stops_decisions() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    while first.node.hello().content_offset == 0 {
        declare(&first, "night-shift").await;
    }
    let mut lying = first.node.hello();
    lying.node = fleet.addresses[1].node.clone();
    lying.content_digest ^= 1;
    fleet.tell(0, &lying).await;
    assert!(first.node.has_diverged());
}

/// A starting node has half of one state and half of another. Two nodes wrote snapshots at the
/// same time, a third died while writing, and an append was repeated after a lost answer. Only
/// the latest whole one may count.
#[test]
fn interleaved_and_half_written_snapshots() {
    let older = large_state(1_500);
    let newer = large_state(1_600);
    let newest = large_state(1_700);
    let cut = |state, writer| split_snapshot(state, writer).expect("a small state");
    let mut assembler = SnapshotAssembler::default();
    let half = cut(&newest, 3);
    assert!(half.len() > 1, "needs several chunks");
    for chunk in &half[1..] {
        assembler.add(chunk.clone());
        assembler.add(chunk.clone());
    }
    assert!(assembler.latest().is_none());
    for (a, b) in cut(&older, 1).into_iter().zip(cut(&newer, 2)) {
        assembler.add(a);
        assembler.add(b);
    }
    assert!(assembler.latest().is_some_and(|state| state == newer));
    let mut spoiled = half[0].clone();
    spoiled.bytes[0] ^= 1;
    assembler.add(spoiled);
    assert!(assembler.latest().is_some_and(|state| state == newer));
}

fn large_state(teams: u64) -> FleetState {
    let mut state = FleetState::new();
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    let puts = (0..teams).map(|number| team(&format!("team-with-a-long-name-{number:030}")));
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

/// A message between processes must not grow by half for bytes above 127.
#[test]
fn bytes_are_encoded_as_bytes() {
    let request = lynxwheel_protocol::AppendRequest {
        entries: vec![vec![0xff; 1_000]],
    };
    let encoded = lynxwheel_protocol::encode_message(&request).expect("small");
    assert!(encoded.len() < 1_050, "{} bytes", encoded.len());
    let decoded: lynxwheel_protocol::AppendRequest =
        lynxwheel_protocol::decode_message(&encoded).expect("own bytes");
    assert_eq!(decoded, request);
}
