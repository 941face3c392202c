//! Cache of job payloads.
//!
//! The owner strips payloads from starts that it sends to delegates, as they would saturate a
//! narrow link. Each delegate fetches a payload once per job from the node that received the job.

use {
    compact_str::CompactString,
    lynxwheel_engine::JobId,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::OnceCell,
};

/// Maximum total size, in bytes. Holds some seconds of a busy node's requests, and is little of a
/// small node's memory.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of payloads.
const MAX_PAYLOADS: usize = 4_096;

/// Payload that is cached or being fetched.
pub type PayloadCell = Arc<OnceCell<CompactString>>;

#[derive(Debug, Default)]
struct Entries {
    /// Sorted by job.
    cells: Vec<(JobId, PayloadCell)>,
    /// Jobs in order of insertion.
    insertion_order: VecDeque<JobId>,
    bytes: usize,
}

impl Entries {
    fn cell(&mut self, job: JobId) -> PayloadCell {
        match self.cells.binary_search_by_key(&job, |(cached, _)| *cached) {
            Ok(index) => Arc::clone(&self.cells[index].1),
            Err(index) => {
                let cell = PayloadCell::default();
                self.cells.insert(index, (job, Arc::clone(&cell)));
                self.insertion_order.push_back(job);
                cell
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.bytes > MAX_BYTES || self.insertion_order.len() > MAX_PAYLOADS {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            if let Ok(index) = self
                .cells
                .binary_search_by_key(&oldest, |(cached, _)| *cached)
            {
                let (_, cell) = self.cells.remove(index);
                self.bytes -= cell.get().map_or(0, CompactString::len);
            }
        }
    }
}

/// Payloads by job, evicted in order of insertion.
#[derive(Debug, Default)]
pub struct PayloadCache {
    entries: Mutex<Entries>,
}

impl PayloadCache {
    /// Caches a payload.
    pub fn insert(&self, job: JobId, payload: &CompactString) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = entries.cell(job);
        if cell.set(payload.clone()).is_ok() {
            entries.bytes += payload.len();
            entries.evict_oldest();
        }
    }

    /// Returns a payload if it is cached.
    #[must_use]
    pub fn get(&self, job: JobId) -> Option<CompactString> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let index = entries
            .cells
            .binary_search_by_key(&job, |(cached, _)| *cached);
        index
            .ok()
            .and_then(|index| entries.cells[index].1.get().cloned())
    }

    /// Returns the cell of a payload, to be filled by the first caller while others wait.
    pub fn cell(&self, job: JobId) -> PayloadCell {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = entries.cell(job);
        entries.evict_oldest();
        cell
    }

    /// Accounts for the size of a fetched payload.
    pub fn record_fetched(&self, payload: &CompactString) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.bytes += payload.len();
        entries.evict_oldest();
    }
}
