//! Cutting a state into chunks and putting it together again.

use {
    lynxwheel_protocol::{MAX_SNAPSHOT_CHUNKS, SNAPSHOT_CHUNK_BYTES, SnapshotChunk, SnapshotId},
    lynxwheel_state::{FleetState, decode_snapshot, encode_snapshot},
    xxhash_rust::xxh3::xxh3_64,
};

/// Snapshots put together at once at most; older ones give way.
const MAX_PARTIAL: usize = 8;

/// Cuts a state into chunks; nothing when it cannot be encoded or is too large.
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
    let cut = (0..)
        .zip(bytes.chunks(SNAPSHOT_CHUNK_BYTES))
        .map(|(index, part)| SnapshotChunk {
            id,
            index,
            bytes: part.to_vec(),
        })
        .collect();
    Some(cut)
}

/// Snapshots being put together from chunks in any order.
///
/// Two nodes may write at the same time, a writer may die half way, and an append may be repeated
/// after a lost answer. Chunks are therefore kept apart by the whole identity of their snapshot,
/// and a snapshot counts only when all are there and the digest matches.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    partial: Vec<Partial>,
}

#[derive(Debug)]
struct Partial {
    id: SnapshotId,
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl SnapshotAssembler {
    /// Adds a chunk; one that does not fit its snapshot is ignored.
    pub fn add(&mut self, chunk: SnapshotChunk) {
        let is_sound = chunk.id.chunks <= MAX_SNAPSHOT_CHUNKS
            && chunk.index < chunk.id.chunks
            && chunk.bytes.len() <= SNAPSHOT_CHUNK_BYTES;
        if !is_sound {
            return;
        }
        let row = match self
            .partial
            .binary_search_by_key(&chunk.id, |partial| partial.id)
        {
            Ok(row) => row,
            Err(row) => {
                self.partial.insert(row, Partial::new(chunk.id));
                row
            }
        };
        self.partial[row].add(chunk);
        if self.partial.len() > MAX_PARTIAL {
            self.partial.remove(0);
        }
    }

    /// Returns the latest whole snapshot's state.
    #[must_use]
    pub fn latest(&self) -> Option<FleetState> {
        self.partial.iter().rev().find_map(Partial::state)
    }
}

impl Partial {
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
