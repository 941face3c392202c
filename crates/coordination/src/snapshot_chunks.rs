//! Splits a state into chunks and assembles chunks into a state.

use {
    lynxwheel_protocol::{MAX_SNAPSHOT_CHUNKS, SNAPSHOT_CHUNK_BYTES, SnapshotChunk, SnapshotId},
    lynxwheel_state::{FleetState, decode_snapshot, encode_snapshot},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of snapshots being assembled; the oldest is dropped beyond it.
const MAX_PARTIAL_SNAPSHOTS: usize = 8;

/// Splits a state into chunks; returns `None` if it cannot be encoded or is too large.
#[must_use]
pub fn split_snapshot(state: &FleetState, writer: u64) -> Option<Vec<SnapshotChunk>> {
    let bytes = encode_snapshot(state).ok()?;
    let chunks = u32::try_from(bytes.len().div_ceil(SNAPSHOT_CHUNK_BYTES)).ok()?;
    if chunks > MAX_SNAPSHOT_CHUNKS {
        return None;
    }
    let id = SnapshotId {
        offset: state.offset(),
        writer,
        chunks,
        digest: xxh3_64(&bytes),
    };
    let split = (0..)
        .zip(bytes.chunks(SNAPSHOT_CHUNK_BYTES))
        .map(|(index, part)| SnapshotChunk {
            id,
            index,
            bytes: part.to_vec(),
        })
        .collect();
    Some(split)
}

/// Assembles snapshots from chunks in any order.
///
/// Two nodes may write snapshots concurrently, a writer may crash halfway, and an append may be
/// repeated after a lost response. Chunks are therefore grouped by the full identity of their
/// snapshot, and a snapshot is complete only if no chunk is missing and the digest matches.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    snapshots: Vec<PartialSnapshot>,
}

#[derive(Debug)]
struct PartialSnapshot {
    id: SnapshotId,
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl SnapshotAssembler {
    /// Adds a chunk; an invalid chunk is ignored.
    pub fn add(&mut self, chunk: SnapshotChunk) {
        let is_valid = chunk.id.chunks <= MAX_SNAPSHOT_CHUNKS
            && chunk.index < chunk.id.chunks
            && chunk.bytes.len() <= SNAPSHOT_CHUNK_BYTES;
        if !is_valid {
            return;
        }
        let index = match self
            .snapshots
            .binary_search_by_key(&chunk.id, |snapshot| snapshot.id)
        {
            Ok(index) => index,
            Err(index) => {
                self.snapshots.insert(index, PartialSnapshot::new(chunk.id));
                index
            }
        };
        self.snapshots[index].add(chunk);
        if self.snapshots.len() > MAX_PARTIAL_SNAPSHOTS {
            self.snapshots.remove(0);
        }
    }

    /// Returns the state of the latest complete snapshot.
    #[must_use]
    pub fn latest(&self) -> Option<FleetState> {
        self.snapshots.iter().rev().find_map(PartialSnapshot::state)
    }
}

impl PartialSnapshot {
    fn new(id: SnapshotId) -> Self {
        let count = id.chunks as usize;
        Self {
            id,
            parts: vec![None; count],
            missing: count,
        }
    }

    fn add(&mut self, chunk: SnapshotChunk) {
        let part = &mut self.parts[chunk.index as usize];
        if part.is_none() {
            *part = Some(chunk.bytes);
            self.missing -= 1;
        }
    }

    fn state(&self) -> Option<FleetState> {
        if self.missing > 0 {
            return None;
        }
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        if xxh3_64(&bytes) != self.id.digest {
            return None;
        }
        let state = decode_snapshot(&bytes).ok()?;
        (state.offset() == self.id.offset).then_some(state)
    }
}
