//! Time of the fold when the clock of a node is wrong.

use {
    lynxwheel_protocol::{
        Record, RecordBody, RequestKey, Resource, VmPhase, VmReport, VmSpec, WriterId,
    },
    lynxwheel_state::{FleetState, Rejection, Verdict},
};

/// Time of the correct clocks, in milliseconds since the epoch.
const NOW_MS: u64 = 1_700_000_000_000;

/// Time of the wrong clock, thirty years ahead, in milliseconds since the epoch.
const AHEAD_MS: u64 = NOW_MS + 30 * 365 * 24 * 60 * 60 * 1_000;

/// Writes records of several nodes into one state.
#[derive(Default)]
struct Log {
    state: FleetState,
    sequence: u64,
}

impl Log {
    /// Creates a log that two nodes with correct clocks have joined.
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

/// One clock that is ahead must not expire idempotency keys, or a retried request would run twice.
#[test]
fn clock_ahead_does_not_expire_keys() {
    let mut log = Log::new();
    assert!(log.write(1, NOW_MS, intent(1)).is_accepted());
    log.join(3, "node-3", AHEAD_MS);
    assert!(log.write(3, AHEAD_MS, intent(2)).is_accepted());
    let retried = log.write(2, NOW_MS + 1, intent(1));
    assert_eq!(retried, Verdict::Rejected(Rejection::KeyTaken));
}

/// A node with a wrong clock must not confirm its own time after a restart.
#[test]
fn restarted_node_does_not_confirm_its_own_time() {
    let mut log = Log::new();
    assert!(log.write(1, NOW_MS, intent(1)).is_accepted());
    log.join(3, "node-3", AHEAD_MS);
    log.join(4, "node-3", AHEAD_MS);
    assert!(log.write(4, AHEAD_MS, intent(2)).is_accepted());
    assert_eq!(log.state.time_ms(), NOW_MS);
}

/// The time must advance with the second highest clock, or keys would never expire.
#[test]
fn time_follows_two_nodes() {
    let mut log = Log::new();
    log.write(1, NOW_MS + 5_000, RecordBody::Tick);
    log.write(2, NOW_MS + 4_000, RecordBody::Tick);
    assert_eq!(log.state.time_ms(), NOW_MS + 4_000);
    log.write(2, NOW_MS + 9_000, RecordBody::Tick);
    assert_eq!(log.state.time_ms(), NOW_MS + 5_000);
}

/// A report of a node whose clock is ahead must not make all later reports of the VM look old.
#[test]
fn clock_ahead_does_not_block_reports() {
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
