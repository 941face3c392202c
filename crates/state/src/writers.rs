//! Runs of nodes that write to the log, and the removal of duplicates.

use {
    crate::{
        table::{Keyed, SortedTable},
        verdict::{Rejection, Verdict},
    },
    lynxwheel_protocol::{NodeName, WriterId},
    serde::{Deserialize, Serialize},
};

/// Runs remembered; more than the restarts within the log's retention.
const MAX_WRITERS: usize = 512;

/// One run of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Writer {
    /// Identifies the run.
    pub incarnation: u64,
    /// Name of the node.
    pub node: NodeName,
    /// Highest fold version that the run knows.
    pub fold_version: u32,
    /// Sequence of its last record.
    pub sequence: u64,
    /// Time of its last record, in milliseconds since the epoch.
    pub time_ms: u64,
}

impl Keyed for Writer {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.incarnation
    }
}

/// Known runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Writers {
    rows: SortedTable<Writer>,
    forgotten_to: u64,
}

impl Writers {
    /// Announces a run.
    pub fn join(&mut self, writer: Writer) -> Verdict {
        if let Some(known) = self.rows.get(&writer.incarnation) {
            return if known.node == writer.node {
                Verdict::Duplicate
            } else {
                Verdict::Rejected(Rejection::UnknownWriter)
            };
        }
        if writer.incarnation <= self.forgotten_to {
            return Verdict::Rejected(Rejection::UnknownWriter);
        }
        self.rows.insert(writer);
        if self.rows.len() > MAX_WRITERS {
            self.forget_oldest();
        }
        Verdict::Accepted
    }

    /// Notes a record of a run, and returns why it must not be applied, if so.
    ///
    /// A node that lost the answer to an append sends it again, so the log may hold a record
    /// twice, the second time much later. A run sends its records one batch at a time and in
    /// order, so a sequence at or below the last one was applied before.
    pub fn note(&mut self, id: WriterId, time_ms: u64) -> Option<Verdict> {
        let Some(writer) = self.rows.get_mut(&id.incarnation) else {
            return Some(Verdict::Rejected(Rejection::UnknownWriter));
        };
        if id.sequence <= writer.sequence {
            return Some(Verdict::Duplicate);
        }
        writer.sequence = id.sequence;
        writer.time_ms = writer.time_ms.max(time_ms);
        None
    }

    /// Returns the run with `incarnation`.
    #[must_use]
    pub fn get(&self, incarnation: u64) -> Option<&Writer> {
        self.rows.get(&incarnation)
    }

    /// Iterates over the runs, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Writer> {
        self.rows.iter()
    }

    /// Returns the latest run of `node`.
    #[must_use]
    pub fn latest(&self, node: &str) -> Option<&Writer> {
        self.rows
            .iter()
            .filter(|writer| writer.node.as_str() == node)
            .last()
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.rows.first().map(|writer| writer.incarnation) else {
            return;
        };
        self.rows.remove(&oldest);
        self.forgotten_to = oldest;
    }
}
