//! Incarnations of the nodes that write to the log, and deduplication of their records.

use {
    crate::{
        table::{Keyed, SortedTable},
        verdict::{Rejection, Verdict},
    },
    lynxwheel_protocol::{NodeName, WriterId},
    serde::{Deserialize, Serialize},
};

/// Maximum number of incarnations kept; it exceeds the restarts within the log's retention.
const MAX_WRITERS: usize = 512;

/// One incarnation of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Writer {
    /// Number of the incarnation, unique in the fleet.
    pub incarnation: u64,
    /// Name of the node.
    pub node: NodeName,
    /// Highest fold version that it supports.
    pub fold_version: u32,
    /// Sequence number of its last record.
    pub sequence: u64,
    /// Highest time of its records, in milliseconds since the epoch.
    pub time_ms: u64,
}

impl Keyed for Writer {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.incarnation
    }
}

/// Known incarnations of all nodes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Writers {
    rows: SortedTable<Writer>,
    #[serde(rename = "forgotten_to")]
    evicted_up_to: u64,
}

impl Writers {
    /// Adds an incarnation.
    pub fn join(&mut self, writer: Writer) -> Verdict {
        if let Some(known) = self.rows.get(&writer.incarnation) {
            return if known.node == writer.node {
                Verdict::Duplicate
            } else {
                Verdict::Rejected(Rejection::UnknownWriter)
            };
        }
        if writer.incarnation <= self.evicted_up_to {
            return Verdict::Rejected(Rejection::UnknownWriter);
        }
        self.rows.insert(writer);
        if self.rows.len() > MAX_WRITERS {
            self.evict_oldest();
        }
        Verdict::Accepted
    }

    /// Records the sequence number and time of a record, or returns why it must not be applied.
    ///
    /// A node repeats an append whose response was lost, so the log may contain a record twice. An
    /// incarnation appends its records in order, so a sequence number that is not greater than the
    /// last one belongs to a duplicate.
    pub fn record_sequence(&mut self, id: WriterId, time_ms: u64) -> Option<Verdict> {
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

    /// Returns the writer with `incarnation`.
    #[must_use]
    pub fn get(&self, incarnation: u64) -> Option<&Writer> {
        self.rows.get(&incarnation)
    }

    /// Iterates over the incarnations, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Writer> {
        self.rows.iter()
    }

    /// Returns the latest incarnation of `node`.
    #[must_use]
    pub fn latest(&self, node: &str) -> Option<&Writer> {
        self.rows
            .iter()
            .filter(|writer| writer.node.as_str() == node)
            .last()
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.rows.first().map(|writer| writer.incarnation) else {
            return;
        };
        self.rows.remove(&oldest);
        self.evicted_up_to = oldest;
    }
}
