//! Deduplication of records, incarnations of writers and fold versions.

use {
    lynxwheel_protocol::{Record, RecordBody, WriterId},
    lynxwheel_state::{FleetState, Rejection, Verdict},
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $records:expr => $verdicts:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut state = FleetState::new();
            let verdicts: Vec<Verdict> =
                (1_u64..).zip($records).map(|(offset, record)| state.apply(offset, &record)).collect();
            assert_eq!(verdicts, $verdicts);
        })*
    };
}

fn join(node: &str, incarnation: u64) -> Record {
    Record {
        id: WriterId {
            incarnation,
            sequence: 1,
        },
        time_ms: 1,
        body: RecordBody::Join {
            node: node.into(),
            fold_version: 1,
        },
    }
}

fn join_with_version(node: &str, incarnation: u64, fold_version: u32) -> Record {
    let mut record = join(node, incarnation);
    record.body = RecordBody::Join {
        node: node.into(),
        fold_version,
    };
    record
}

fn raise_version(incarnation: u64, sequence: u64, fold_version: u32) -> Record {
    let mut record = report(incarnation, sequence);
    record.body = RecordBody::RaiseVersion { fold_version };
    record
}

fn report(incarnation: u64, sequence: u64) -> Record {
    Record {
        id: WriterId {
            incarnation,
            sequence,
        },
        time_ms: 1,
        body: RecordBody::Report {
            reports: Vec::new(),
        },
    }
}

const VERSION_NOT_KNOWN: Verdict =
    Verdict::Rejected(Rejection::VersionNotKnown { fold_version: 2 });

const UNKNOWN_WRITER: Verdict = Verdict::Rejected(Rejection::UnknownWriter);

cases! {
    /// A record that a node appended again, since the response was lost, must not be applied twice.
    record_appended_twice: [join("a", 5), report(5, 2), report(5, 2)]
        => [Verdict::Accepted, Verdict::Accepted, Verdict::Duplicate];
    /// Records of a second node with the same incarnation would be dropped as duplicates, so its
    /// join must be rejected.
    two_nodes_with_one_incarnation: [join("a", 5), join("b", 5)] => [Verdict::Accepted, UNKNOWN_WRITER];
    /// A record of a writer that never joined must not be applied.
    writer_that_never_joined: [report(5, 1)] => [UNKNOWN_WRITER];
    join_appended_twice: [join("a", 5), join("a", 5)] => [Verdict::Accepted, Verdict::Duplicate];
    /// The fold version must not be raised while a node still runs a build without it, since that
    /// node would diverge.
    version_raised_too_early: [join_with_version("a", 5, 2), join("b", 6), raise_version(5, 2, 2),
        join_with_version("b", 7, 2), raise_version(5, 3, 2)]
        => [Verdict::Accepted, Verdict::Accepted, VERSION_NOT_KNOWN, Verdict::Accepted, Verdict::Accepted];
    /// A build that supports two further versions must not skip one.
    version_skipped: [join_with_version("a", 5, 3), raise_version(5, 2, 3)]
        => [Verdict::Accepted, Verdict::Rejected(Rejection::VersionNotKnown { fold_version: 3 })];
}
