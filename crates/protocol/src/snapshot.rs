//! Snapshots of the folded state in the log service.

use serde::{Deserialize, Serialize};

/// Bytes of state in one chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 48 * 1024;

/// Chunks of one snapshot at most.
pub const MAX_SNAPSHOT_CHUNKS: u32 = 4_096;

/// Identity and content of a snapshot.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SnapshotId {
    /// Offset of the last record folded into the state.
    pub offset: u64,
    /// Run of the node that wrote it.
    pub writer: u64,
    /// Chunks that it consists of.
    pub chunks: u32,
    /// Digest of the encoded state.
    pub digest: u64,
}

/// One part of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// Snapshot that it is part of.
    pub id: SnapshotId,
    /// Position, from 0.
    pub index: u32,
    /// Part of the encoded state.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}
