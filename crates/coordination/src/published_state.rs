//! The state as the fold last published it.

use {
    arc_swap::ArcSwap,
    lynxwheel_state::FleetState,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::watch,
};

/// Latest state, read without locks, and its offset to wait on.
#[derive(Debug)]
pub struct PublishedState {
    state: ArcSwap<FleetState>,
    offset: watch::Sender<u64>,
    read_ms: AtomicU64,
    end_offset: AtomicU64,
    earliest_offset: AtomicU64,
}

impl PublishedState {
    /// Publishes a first state.
    #[must_use]
    pub fn new(state: FleetState) -> Self {
        let offset = state.offset();
        Self {
            state: ArcSwap::from_pointee(state),
            offset: watch::Sender::new(offset),
            read_ms: AtomicU64::new(0),
            end_offset: AtomicU64::new(u64::MAX),
            earliest_offset: AtomicU64::new(0),
        }
    }

    /// Returns the latest state.
    #[must_use]
    pub fn load(&self) -> Arc<FleetState> {
        self.state.load_full()
    }

    /// Replaces the state by a later one; an earlier one is ignored, so that nothing reverts.
    pub fn store(&self, state: FleetState) {
        let offset = state.offset();
        if offset < *self.offset.borrow() {
            return;
        }
        self.state.store(Arc::new(state));
        self.offset.send_replace(offset);
    }

    /// Returns a receiver of the offsets published.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.offset.subscribe()
    }

    /// Notes that the log was read successfully, and what it holds.
    pub fn record_read(&self, now_ms: u64, earliest_offset: u64, end_offset: u64) {
        self.earliest_offset
            .store(earliest_offset, Ordering::Relaxed);
        self.read_ms.store(now_ms, Ordering::Relaxed);
        self.end_offset.store(end_offset, Ordering::Relaxed);
    }

    /// Returns when the log was last read, in milliseconds since the epoch; 0 means never.
    #[must_use]
    pub fn last_read_ms(&self) -> u64 {
        self.read_ms.load(Ordering::Relaxed)
    }

    /// Returns the lowest offset that the log kept when it was last read; 0 means never.
    #[must_use]
    pub fn earliest_offset(&self) -> u64 {
        self.earliest_offset.load(Ordering::Relaxed)
    }

    /// Tells whether the state includes everything that the log held when it was last read.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        *self.offset.borrow() >= self.end_offset.load(Ordering::Relaxed)
    }
}
