//! Time of the fold when one node's clock is wrong.

use {
    lynxwheel_protocol::{
        Record, RecordBody, RequestKey, Resource, VmPhase, VmReport, VmSpec, WriterId,
    },
    lynxwheel_state::{FleetState, Rejection, Verdict},
};

/// Time of the right clocks, in milliseconds since the epoch.
const NOW_MS: u64 = 1_700_000_000_000;

/// Time of the wrong clock: thirty years ahead.
const AHEAD_MS: u64 = NOW_MS + 30 * 365 * 24 * 60 * 60 * 1_000;

/// Writes records of several nodes into one state.
#[derive(Default)]
struct Log {
    state: FleetState,
    sequence: u64,
}

impl Log {
    /// Joins two nodes with right clocks.
    fn new() -> Self {
        let mut log = Self::default();
        log.join(1, "node-1", NOW_MS);
        log.join(2, "node-2", NOW_MS);
        log
    }

    fn join(&mut self, incarnation: u64, node: &str, time_ms: u64) {
        let join = RecordBody::Join {
            node: node.into(),
            fold_version: 1,
        };
        assert!(self.write(incarnation, time_ms, join).is_accepted());
    }

    fn write(&mut self, incarnation: u64, time_ms: u64, body: RecordBody) -> Verdict {
        self.sequence += 1;
        let id = WriterId {
            incarnation,
            sequence: self.sequence,
        };
        let record = Record { id, time_ms, body };
        self.state.apply(self.state.offset() + 1, &record)
    }
}

fn intent(key: u128) -> RecordBody {
    RecordBody::Intent {
        key: RequestKey(key),
        request_digest: 7,
        holder: "node-1".into(),
    }
}

fn report(phase: VmPhase, evidence_ms: u64) -> RecordBody {
    let report = VmReport {
        vm: "vm-1".into(),
        incarnation: 1,
        phase,
        evidence_ms,
        zone: "zone-1".into(),
        rack: "rack-1".into(),
        address: "127.0.0.1:1".into(),
        capacity: lynxwheel_protocol::Resources::default(),
    };
    RecordBody::Report {
        reports: vec![report],
    }
}

/// A subscription renewal is charged twice. One node's clock jumped thirty years ahead; its next
/// record expired every idempotency key, and a caller's retry of the renewal was taken for new.
/// The key must still be known.
#[test]
fn clock_ahead_does_not_expire_keys() {
    let mut log = Log::new();
    assert!(log.write(1, NOW_MS, intent(1)).is_accepted());
    log.join(3, "node-3", AHEAD_MS);
    assert!(log.write(3, AHEAD_MS, intent(2)).is_accepted());
    let retried = log.write(2, NOW_MS + 1, intent(1));
    assert_eq!(retried, Verdict::Rejected(Rejection::KeyTaken));
}

/// The same when the node with the wrong clock is restarted and confirms itself.
#[test]
fn restarted_node_does_not_confirm_its_own_time() {
    let mut log = Log::new();
    assert!(log.write(1, NOW_MS, intent(1)).is_accepted());
    log.join(3, "node-3", AHEAD_MS);
    log.join(4, "node-3", AHEAD_MS);
    assert!(log.write(4, AHEAD_MS, intent(2)).is_accepted());
    assert_eq!(log.state.time_ms(), NOW_MS);
}

/// Keys are kept forever and the table fills up. The time stands still although two nodes go on
/// writing. It must follow the second of them.
#[test]
fn time_follows_two_nodes() {
    let mut log = Log::new();
    log.write(1, NOW_MS + 5_000, RecordBody::Tick);
    log.write(2, NOW_MS + 4_000, RecordBody::Tick);
    assert_eq!(log.state.time_ms(), NOW_MS + 4_000);
    log.write(2, NOW_MS + 9_000, RecordBody::Tick);
    assert_eq!(log.state.time_ms(), NOW_MS + 5_000);
}

/// A VM stays out of service for good. A node whose clock is ahead reported it as failed; every
/// later finding looked older than that one. Findings must count again after a short while.
#[test]
fn clock_ahead_does_not_bury_findings() {
    let mut log = Log::new();
    let vm = Resource::Vm(VmSpec {
        name: "vm-1".into(),
        pool: "pool-1".into(),
    });
    let pool = Resource::Pool(lynxwheel_protocol::PoolSpec {
        name: "pool-1".into(),
        size: 1,
        budget: lynxwheel_protocol::Budget {
            min_available: lynxwheel_protocol::Amount::Count(0),
            zones_at_once: 1,
        },
    });
    for resource in [pool, vm] {
        let put = RecordBody::Put {
            resource: Box::new(resource),
            if_revision: None,
        };
        assert!(log.write(1, NOW_MS, put).is_accepted());
    }
    log.join(3, "node-3", AHEAD_MS);
    assert!(
        log.write(3, AHEAD_MS, report(VmPhase::Failed, AHEAD_MS))
            .is_accepted()
    );
    let later_ms = NOW_MS + 60_000;
    log.write(1, later_ms, RecordBody::Tick);
    assert!(
        log.write(2, later_ms, report(VmPhase::Live, later_ms))
            .is_accepted()
    );
}
