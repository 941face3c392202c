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
const MOST_BYTES: usize = 2 * 1024 * 1024;

/// Payloads kept at most.
const MOST_PAYLOADS: usize = 4_096;

/// A payload that is here, or on its way.
pub type PayloadCell = Arc<OnceCell<CompactString>>;

#[derive(Debug, Default)]
struct Rows {
    /// Sorted by job.
    cells: Vec<(JobId, PayloadCell)>,
    /// Jobs in the order in which they came.
    order: VecDeque<JobId>,
    bytes: usize,
}

impl Rows {
    fn cell(&mut self, job: JobId) -> PayloadCell {
        match self.cells.binary_search_by_key(&job, |(known, _)| *known) {
            Ok(place) => Arc::clone(&self.cells[place].1),
            Err(place) => {
                let cell = PayloadCell::default();
                self.cells.insert(place, (job, Arc::clone(&cell)));
                self.order.push_back(job);
                cell
            }
        }
    }

    fn forget_oldest(&mut self) {
        while self.bytes > MOST_BYTES || self.order.len() > MOST_PAYLOADS {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Ok(place) = self
                .cells
                .binary_search_by_key(&oldest, |(known, _)| *known)
            {
                let (_, cell) = self.cells.remove(place);
                self.bytes -= cell.get().map_or(0, CompactString::len);
            }
        }
    }
}

/// Payloads by job, the oldest of which are forgotten first.
#[derive(Debug, Default)]
pub struct Payloads {
    rows: Mutex<Rows>,
}

impl Payloads {
    /// Keeps a payload.
    pub fn keep(&self, job: JobId, payload: &CompactString) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = rows.cell(job);
        if cell.set(payload.clone()).is_ok() {
            rows.bytes += payload.len();
            rows.forget_oldest();
        }
    }

    /// Returns a payload that is here.
    #[must_use]
    pub fn get(&self, job: JobId) -> Option<CompactString> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let place = rows.cells.binary_search_by_key(&job, |(known, _)| *known);
        place
            .ok()
            .and_then(|place| rows.cells[place].1.get().cloned())
    }

    /// Returns the place of a payload that may have to be fetched: whoever comes first does, and the
    /// others wait for it.
    pub fn cell(&self, job: JobId) -> PayloadCell {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = rows.cell(job);
        rows.forget_oldest();
        cell
    }

    /// Counts a payload that was fetched.
    pub fn note_fetched(&self, payload: &CompactString) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.bytes += payload.len();
        rows.forget_oldest();
    }
}
