//! Removal of duplicates and the numbering of runs.

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

fn join_knowing(node: &str, incarnation: u64, known: u32) -> Record {
    let mut record = join(node, incarnation);
    record.body = RecordBody::Join {
        node: node.into(),
        fold_version: known,
    };
    record
}

fn raise(incarnation: u64, sequence: u64, fold_version: u32) -> Record {
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

const NOT_KNOWN: Verdict = Verdict::Rejected(Rejection::VersionNotKnown { fold_version: 2 });

const UNKNOWN: Verdict = Verdict::Rejected(Rejection::UnknownWriter);

cases! {
    /// An operator's declaration seems lost. A node lost the answer to its append and sent the
    /// record again; the log holds it twice. The second one must change nothing.
    record_appended_twice: [join("a", 5), report(5, 2), report(5, 2)]
        => [Verdict::Accepted, Verdict::Accepted, Verdict::Duplicate];
    /// Declarations at one node never get an answer. Two nodes started in the same millisecond
    /// under the same number, and the second one's records were taken for duplicates. Its join
    /// must be rejected, so that it knows.
    two_nodes_with_one_number: [join("a", 5), join("b", 5)] => [Verdict::Accepted, UNKNOWN];
    /// A record of a run that never joined must not be applied.
    run_that_never_joined: [report(5, 1)] => [UNKNOWN];
    join_appended_twice: [join("a", 5), join("a", 5)] => [Verdict::Accepted, Verdict::Duplicate];
    /// Nodes come to different states during an upgrade. One of them raised the version of the
    /// fold while another one still ran the build before. It must wait for that one's new run.
    version_raised_too_early: [join_knowing("a", 5, 2), join("b", 6), raise(5, 2, 2),
        join_knowing("b", 7, 2), raise(5, 3, 2)]
        => [Verdict::Accepted, Verdict::Accepted, NOT_KNOWN, Verdict::Accepted, Verdict::Accepted];
    /// A build that is two versions ahead must not skip one.
    version_skipped: [join_knowing("a", 5, 3), raise(5, 2, 3)]
        => [Verdict::Accepted, Verdict::Rejected(Rejection::VersionNotKnown { fold_version: 3 })];
}
