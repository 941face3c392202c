//! Payloads of jobs, kept for a while by the nodes that took them from their callers.
//!
//! Every start of a task carries its job's payload to the endpoint. Sent by the owner to each node that
//! calls endpoints for it, the payloads filled a narrow link by themselves; so these nodes fetch them,
//! once a job, from where the job came in.

use {
    compact_str::CompactString,
    lynxwheel_engine::JobId,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::OnceCell,
};

/// Payloads kept at most, in bytes: some seconds of a busy node's share, and little of a small node's
/// memory.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Payloads kept at most.
const MAX_PAYLOADS: usize = 4_096;

/// A payload that is here, or on its way.
pub type PayloadCell = Arc<OnceCell<CompactString>>;

#[derive(Debug, Default)]
struct Entries {
    /// Sorted by job.
    cells: Vec<(JobId, PayloadCell)>,
    /// Jobs in the order in which they came.
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

/// Payloads by job, the oldest of which are forgotten first.
#[derive(Debug, Default)]
pub struct PayloadCache {
    entries: Mutex<Entries>,
}

impl PayloadCache {
    /// Keeps a payload.
    pub fn insert(&self, job: JobId, payload: &CompactString) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = entries.cell(job);
        if cell.set(payload.clone()).is_ok() {
            entries.bytes += payload.len();
            entries.evict_oldest();
        }
    }

    /// Returns a payload that is here.
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

    /// Returns the place of a payload that may have to be fetched: whoever comes first does, and the
    /// others wait for it.
    pub fn cell(&self, job: JobId) -> PayloadCell {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = entries.cell(job);
        entries.evict_oldest();
        cell
    }

    /// Counts a payload that was fetched.
    pub fn record_fetched(&self, payload: &CompactString) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.bytes += payload.len();
        entries.evict_oldest();
    }
}
