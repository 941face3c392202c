//! Schedule of requests at a fixed rate.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Send times of requests at a fixed rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendSchedule {
    start: Instant,
    rate_per_s: u32,
}

impl SendSchedule {
    pub(crate) fn new(start: Instant, rate_per_s: u32) -> Self {
        Self { start, rate_per_s }
    }

    /// Returns the time at which request `number` is due.
    pub(crate) fn due_time(&self, number: u64) -> Instant {
        let nanoseconds = u128::from(number) * 1_000_000_000 / u128::from(self.rate_per_s.max(1));
        let offset = u64::try_from(nanoseconds).unwrap_or(u64::MAX);
        self.start + Duration::from_nanos(offset)
    }

    /// Blocks the thread until request `number` is due.
    ///
    /// The timers of the runtime are too coarse for the measured latencies, so a dedicated thread
    /// sleeps here.
    pub(crate) fn wait_until_due(&self, number: u64) {
        let remaining = self
            .due_time(number)
            .saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            thread::sleep(remaining);
        }
    }
}
