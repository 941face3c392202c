//! Detection of suspensions of this process.

use {
    crate::ownership::SUSPICION_TIMEOUT_MS,
    log::info,
    std::sync::{Mutex, PoisonError},
};

/// Time without a sign of this process after which it counts as having been suspended, in
/// milliseconds. Other nodes suspect an owner after the same time.
const SUSPENDED_AFTER_MS: u64 = SUSPICION_TIMEOUT_MS;

/// Interval at which a process observes itself, in milliseconds.
pub const OBSERVATION_INTERVAL_MS: u64 = 100;

#[derive(Debug)]
struct Observed {
    running_ms: u64,
    resumed_ms: u64,
}

/// When this process last continued after a suspension.
///
/// A timer that reports each tick is not enough: other tasks may continue before it. Everything that
/// must not act on what it knew before asks here first, and whoever comes first detects the gap.
#[derive(Debug)]
pub struct Suspension {
    observed: Mutex<Observed>,
}

impl Suspension {
    /// Starts observing at a time on the monotonic clock, in milliseconds.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        let observed = Observed {
            running_ms: now_ms,
            resumed_ms: 0,
        };
        Self {
            observed: Mutex::new(observed),
        }
    }

    /// Returns whether the process has not been suspended since an earlier time on the monotonic clock.
    pub fn has_run_since(&self, since_ms: u64, now_ms: u64) -> bool {
        self.observe(now_ms) <= since_ms
    }

    /// Records that the process is running, and returns when it last continued after a suspension,
    /// on the monotonic clock; 0 for never.
    pub fn observe(&self, now_ms: u64) -> u64 {
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let gap_ms = now_ms.saturating_sub(observed.running_ms);
        observed.running_ms = observed.running_ms.max(now_ms);
        if gap_ms < SUSPENDED_AFTER_MS {
            return observed.resumed_ms;
        }
        observed.resumed_ms = now_ms;
        drop(observed);
        info!(event = "resumed", gap_ms = gap_ms; "process continues after a suspension");
        now_ms
    }
}
