//! Messages between lynxwheel nodes.

use {
    crate::{
        names::{NodeName, VmName, ZoneName},
        platform::LogEntry,
    },
    serde::{Deserialize, Serialize},
};

/// Number of requests that a node has in progress on an endpoint.
///
/// Serialized without field names, since a message holds many of them.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "EndpointLoadTuple", into = "EndpointLoadTuple")]
pub struct EndpointLoad {
    /// VM of the endpoint.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Requests in progress.
    pub in_progress: u32,
}

/// Serialized form of [`EndpointLoad`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EndpointLoadTuple(VmName, u64, u32);

impl From<EndpointLoad> for EndpointLoadTuple {
    fn from(load: EndpointLoad) -> Self {
        Self(load.vm, load.incarnation, load.in_progress)
    }
}

impl From<EndpointLoadTuple> for EndpointLoad {
    fn from(EndpointLoadTuple(vm, incarnation, in_progress): EndpointLoadTuple) -> Self {
        Self {
            vm,
            incarnation,
            in_progress,
        }
    }
}

/// Message that nodes exchange periodically, as request and as response.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PeerHello {
    /// Name of the sender.
    pub node: NodeName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender is shutting down and accepts no new work.
    pub stopping: bool,
    /// Whether the sender has recently read the log itself and folded it to its end.
    pub reads_log: bool,
    /// Whether the sender's state diverges from that of its peers, so that it takes no decisions.
    pub diverged: bool,
    /// Latest fold version that the sender supports.
    pub fold_version: u32,
    /// Log offset up to which the sender has folded.
    pub offset: u64,
    /// Log offset at which `digest` was computed.
    pub digest_offset: u64,
    /// Digest of the records and verdicts up to `digest_offset`.
    pub digest: u64,
    /// Log offset at which `content_digest` was computed; 0 means never.
    pub content_offset: u64,
    /// Digest of the complete state at `content_offset`.
    pub content_digest: u64,
    /// Sender's requests in progress by endpoint; sorted.
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that the sender observed leaving or failing, by VM and incarnation; sorted.
    pub leaving: Vec<EndpointLoad>,
}

/// Log entries for a peer that cannot reach the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEntries {
    /// Consecutive entries from the requested offset.
    pub entries: Vec<LogEntry>,
}

/// State snapshot for a peer that starts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSnapshot {
    /// Log offset of the last folded record.
    pub offset: u64,
    /// Digest of the state.
    pub digest: u64,
    /// Encoded state.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}
