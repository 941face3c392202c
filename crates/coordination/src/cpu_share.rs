//! Limit on the CPU share of a periodic background task.

use std::time::Duration;

/// Longest pause between two rounds, in milliseconds; bounds the delay of urgent work.
const MAX_PAUSE_MS: u64 = 1_000;

/// CPU share of a background task, in thousandths of a core.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CpuShare {
    per_mille: u32,
}

impl CpuShare {
    /// Creates a share of `per_mille` thousandths of a core.
    pub(crate) const fn new(per_mille: u32) -> Self {
        Self { per_mille }
    }

    /// Returns the pause after a round that took `elapsed`.
    ///
    /// Every new record triggers a round, and a round over a large fleet takes milliseconds. A
    /// pause proportional to that time bounds the CPU use at any fleet size and record rate.
    pub(crate) fn pause_after(self, elapsed: Duration) -> Duration {
        let pause = elapsed.saturating_mul(1_000 / self.per_mille.max(1));
        pause.min(Duration::from_millis(MAX_PAUSE_MS))
    }
}
