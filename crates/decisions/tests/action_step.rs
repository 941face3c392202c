//! Next steps of actions that have begun.

use {
    lynxwheel_decisions::{ActionStep, next_action_step},
    lynxwheel_protocol::{
        Amount, Budget, ClaimPurpose, PoolSpec, Record, RecordBody, Resource, Resources, VmPhase,
        VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec, WriterId,
    },
    lynxwheel_state::{FleetState, VmState},
};

const BEGUN_MS: u64 = 1_000_000;
const WINDOW_MS: u64 = 10_000;
const TIMEOUT_MS: u64 = 600_000;

fn put(resource: Resource) -> RecordBody {
    RecordBody::Put {
        resource: Box::new(resource),
        if_revision: None,
    }
}

fn report(phase: VmPhase, incarnation: u64) -> RecordBody {
    RecordBody::Report {
        reports: vec![VmReport {
            vm: "vm-1".into(),
            incarnation,
            phase,
            evidence_ms: BEGUN_MS,
            zone: "zone-1".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:1".into(),
            capacity: Resources::default(),
        }],
    }
}

fn declarations() -> Vec<RecordBody> {
    vec![
        RecordBody::Join {
            node: "node-1".into(),
            fold_version: 1,
        },
        put(Resource::Pool(PoolSpec {
            name: "maps".into(),
            size: 1,
            budget: Budget {
                min_available: Amount::Count(0),
                zones_at_once: 1,
            },
        })),
        put(Resource::Vm(VmSpec {
            name: "vm-1".into(),
            pool: "maps".into(),
        })),
        put(Resource::Wave(WaveSpec {
            name: "kernel".into(),
            pools: vec!["maps".into()],
            action: WaveAction::Reboot,
            goal: WaveGoal::Run,
            due_before_ms: BEGUN_MS,
            deadline_ms: 0,
        })),
    ]
}

/// Returns a VM whose action began in incarnation 4, after a report of `phase` and `incarnation`.
fn begun_vm(phase: VmPhase, incarnation: u64) -> VmState {
    let mut bodies = declarations();
    bodies.push(report(VmPhase::Live, 4));
    bodies.push(RecordBody::Claim {
        vm: "vm-1".into(),
        purpose: ClaimPurpose::Maintain("kernel".into()),
        holder: "node-1".into(),
    });
    bodies.push(RecordBody::Begin {
        vm: "vm-1".into(),
        fence: 6,
        not_after_ms: BEGUN_MS + WINDOW_MS,
    });
    bodies.push(report(phase, incarnation));
    let mut state = FleetState::new();
    for (offset, body) in (1..).zip(bodies) {
        let id = WriterId {
            incarnation: 1,
            sequence: offset,
        };
        let record = Record {
            id,
            time_ms: BEGUN_MS,
            body,
        };
        let verdict = state.apply(offset, &record);
        assert!(verdict.is_accepted(), "offset {offset}: {verdict:?}");
    }
    state.vms().get("vm-1").expect("declared").clone()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $phase:ident, $incarnation:expr, $later_ms:expr
        => $step:ident;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let vm = begun_vm(VmPhase::$phase, $incarnation);
            let mut claim = vm.claim.clone().expect("a claim");
            claim.since_ms = BEGUN_MS;
            let step = next_action_step(&vm, &claim, BEGUN_MS + $later_ms, TIMEOUT_MS);
            assert_eq!(step, ActionStep::$step);
        })*
    };
}

cases! {
    /// The holder crashed between the recheck and the call; its successor must send the action
    /// instead of waiting for the timeout.
    holder_crashed_before_sending: Live, 4, 1 => Send;
    /// As above, but the successor took the claim over after the window.
    holder_crashed_and_window_passed: Live, 4, 2 * WINDOW_MS => Recheck;
    vm_is_down: Failed, 4, 1 => Wait;
    vm_is_back: Live, 5, 1 => Complete;
    vm_is_back_late: Live, 5, 2 * TIMEOUT_MS => Complete;
    vm_stays_down: Failed, 4, TIMEOUT_MS + 1 => GiveUp;
}
