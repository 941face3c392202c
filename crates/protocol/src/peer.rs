//! Messages between the system's own nodes.

use {
    crate::{
        names::{NodeName, VmName, ZoneName},
        platform::LogEntry,
    },
    serde::{Deserialize, Serialize},
};

/// Requests that a node has in progress on an endpoint.
///
/// Written without its field names, since a message holds many of them.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "CompactLoad", into = "CompactLoad")]
pub struct EndpointLoad {
    /// VM of the endpoint.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Requests in progress.
    pub in_progress: u32,
}

/// An [`EndpointLoad`] as it is written.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct CompactLoad(VmName, u64, u32);

impl From<EndpointLoad> for CompactLoad {
    fn from(load: EndpointLoad) -> Self {
        Self(load.vm, load.incarnation, load.in_progress)
    }
}

impl From<CompactLoad> for EndpointLoad {
    fn from(CompactLoad(vm, incarnation, in_progress): CompactLoad) -> Self {
        Self {
            vm,
            incarnation,
            in_progress,
        }
    }
}

/// Periodic message of a node to its peers, and the answer to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PeerHello {
    /// Sender.
    pub node: NodeName,
    /// Sender's run.
    pub incarnation: u64,
    /// Sender's zone.
    pub zone: ZoneName,
    /// Whether the sender is stopping and takes no new work.
    pub stopping: bool,
    /// Whether the sender has read the log lately itself and folded it to its end.
    pub reads_log: bool,
    /// Whether the sender has found its state to differ from its peers' and decides nothing.
    pub diverged: bool,
    /// Highest fold version that the sender knows.
    pub fold_version: u32,
    /// Offset up to which the sender has folded.
    pub offset: u64,
    /// Offset at which `digest` was taken.
    pub digest_offset: u64,
    /// Digest of the records and verdicts up to `digest_offset`.
    pub digest: u64,
    /// Offset at which `content_digest` was taken; 0 means never.
    pub content_offset: u64,
    /// Digest of the whole state at `content_offset`.
    pub content_digest: u64,
    /// Load that the sender puts on endpoints; sorted.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that the sender saw leaving or failing, by VM and incarnation; sorted.
    pub leaving: Vec<EndpointLoad>,
}

/// Records for a peer that is cut from the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEntries {
    /// Entries in order, without gaps, from the offset asked for.
    pub entries: Vec<LogEntry>,
}

/// Snapshot of the folded state for a starting peer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSnapshot {
    /// Offset of the last record folded into it.
    pub offset: u64,
    /// Digest of the state.
    pub digest: u64,
    /// Encoded state.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}
