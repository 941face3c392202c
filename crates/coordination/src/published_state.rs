//! Latest published fleet state.

use {
    arc_swap::ArcSwap,
    lynxwheel_state::FleetState,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::watch,
};

/// Latest state with lock-free reads, and a channel to wait for new offsets.
#[derive(Debug)]
pub struct PublishedState {
    state: ArcSwap<FleetState>,
    offset: watch::Sender<u64>,
    last_read_ms: AtomicU64,
    end_offset: AtomicU64,
    earliest_offset: AtomicU64,
}

impl PublishedState {
    /// Creates a published state with an initial value.
    #[must_use]
    pub fn new(state: FleetState) -> Self {
        let offset = state.offset();
        Self {
            state: ArcSwap::from_pointee(state),
            offset: watch::Sender::new(offset),
            last_read_ms: AtomicU64::new(0),
            end_offset: AtomicU64::new(u64::MAX),
            earliest_offset: AtomicU64::new(0),
        }
    }

    /// Returns the latest state.
    #[must_use]
    pub fn load(&self) -> Arc<FleetState> {
        self.state.load_full()
    }

    /// Replaces the state; a state with a lower offset is ignored, so that readers never go back.
    pub fn store(&self, state: FleetState) {
        let offset = state.offset();
        if offset < *self.offset.borrow() {
            return;
        }
        self.state.store(Arc::new(state));
        self.offset.send_replace(offset);
    }

    /// Returns a receiver of the published offsets.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }

    /// Records a successful read of the log and the range of offsets that it holds.
    pub fn record_read(&self, now_ms: u64, earliest_offset: u64, end_offset: u64) {
        self.earliest_offset
            .store(earliest_offset, Ordering::Relaxed);
        self.last_read_ms.store(now_ms, Ordering::Relaxed);
        self.end_offset.store(end_offset, Ordering::Relaxed);
    }

    /// Returns the time of the last read in milliseconds since the Unix epoch; 0 means never.
    #[must_use]
    pub fn last_read_ms(&self) -> u64 {
        self.last_read_ms.load(Ordering::Relaxed)
    }

    /// Returns the lowest offset in the log at the last read; 0 if it was never read.
    #[must_use]
    pub fn earliest_offset(&self) -> u64 {
        self.earliest_offset.load(Ordering::Relaxed)
    }

    /// Returns whether the state includes all records that the log held at the last read.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        *self.offset.borrow() >= self.end_offset.load(Ordering::Relaxed)
    }
}
