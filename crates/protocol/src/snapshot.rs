//! Chunked snapshots of the folded state.

use serde::{Deserialize, Serialize};

/// Size of the encoded state in one chunk, in bytes.
pub const SNAPSHOT_CHUNK_BYTES: usize = 48 * 1024;

/// Maximum number of chunks in a snapshot.
pub const MAX_SNAPSHOT_CHUNKS: u32 = 4_096;

/// Identifier of a snapshot, with its size and digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SnapshotId {
    /// Log offset of the last folded record.
    pub offset: u64,
    /// Incarnation of the node that wrote it.
    pub writer: u64,
    /// Number of chunks.
    pub chunks: u32,
    /// Digest of the encoded state.
    pub digest: u64,
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// Snapshot to which the chunk belongs.
    pub id: SnapshotId,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Part of the encoded state.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}
