//! Idempotency keys in the state.

use {
    lynxwheel_protocol::{KeyOutcome, Record, RecordBody, RequestKey, WriterId},
    lynxwheel_state::{FleetState, KeyState, Verdict},
};

const KEY: RequestKey = RequestKey(7);

fn record(incarnation: u64, sequence: u64, body: RecordBody) -> Record {
    Record {
        id: WriterId {
            incarnation,
            sequence,
        },
        time_ms: 1,
        body,
    }
}

fn join(incarnation: u64) -> Record {
    let node = format!("node-{incarnation}");
    record(
        incarnation,
        1,
        RecordBody::Join {
            node: node.as_str().into(),
            fold_version: 1,
        },
    )
}

fn intent(incarnation: u64, sequence: u64) -> Record {
    let node = format!("node-{incarnation}");
    let body = RecordBody::Intent {
        key: KEY,
        request_digest: 1,
        holder: node.as_str().into(),
    };
    record(incarnation, sequence, body)
}

fn not_run(incarnation: u64, sequence: u64) -> Record {
    let body = RecordBody::Outcome {
        key: KEY,
        outcome: KeyOutcome::NotRun,
    };
    record(incarnation, sequence, body)
}

/// A late outcome of the node that held a key before must not release it while the request of
/// another node is running.
#[test]
fn outcome_of_another_incarnation_releases_no_key() {
    let records = [
        join(1),
        join(2),
        intent(1, 2),
        not_run(1, 3),
        intent(2, 2),
        not_run(1, 4),
    ];
    let mut state = FleetState::new();
    let verdicts: Vec<Verdict> = (1_u64..)
        .zip(&records)
        .map(|(offset, record)| state.apply(offset, record))
        .collect();
    assert!(verdicts[..5].iter().all(Verdict::is_accepted));
    assert!(!verdicts[5].is_accepted());
    let entry = state.key(KEY).expect("the key");
    assert_eq!((entry.state, entry.incarnation), (KeyState::Pending, 2));
}
