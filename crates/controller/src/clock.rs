//! Clocks of a node.

use {
    lynxwheel_engine::Now,
    nix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Returns the monotonic time including suspension, in milliseconds.
///
/// `CLOCK_MONOTONIC` stops while a VM is suspended: a resumed owner would consider its ownership
/// recent and issue VM orders alongside its successor.
#[must_use]
pub fn steady_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => {
            let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
            let nanoseconds = u64::try_from(time.tv_nsec()).unwrap_or_default();
            seconds * 1_000 + nanoseconds / 1_000_000
        }
        Err(error) => {
            log::error!(
                event = "clock_failed", reason = error.to_string().as_str();
                "reading the clock failed"
            );
            0
        }
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|passed| u64::try_from(passed.as_millis()).ok())
        .unwrap_or_default()
}

/// Returns the time of both clocks.
#[must_use]
pub fn now() -> Now {
    Now {
        steady_ms: steady_ms(),
        wall_ms: wall_ms(),
    }
}
