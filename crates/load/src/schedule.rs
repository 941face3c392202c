//! Sending at a fixed rate.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Plan of requests at a fixed rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendSchedule {
    start: Instant,
    rate: u32,
}

impl SendSchedule {
    pub(crate) fn new(start: Instant, rate: u32) -> Self {
        Self { start, rate }
    }

    /// Returns when request `number` is due.
    pub(crate) fn due(&self, number: u64) -> Instant {
        let nanoseconds = u128::from(number) * 1_000_000_000 / u128::from(self.rate.max(1));
        let offset = u64::try_from(nanoseconds).unwrap_or(u64::MAX);
        self.start + Duration::from_nanos(offset)
    }

    /// Blocks the thread until request `number` is due.
    ///
    /// The timers of the runtime are as coarse as what is to be measured, so a thread of its own
    /// keeps the pace.
    pub(crate) fn wait(&self, number: u64) {
        let left = self.due(number).saturating_duration_since(Instant::now());
        if !left.is_zero() {
            thread::sleep(left);
        }
    }
}
