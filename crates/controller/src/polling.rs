//! How often a node reads the store while nothing changes.
//!
//! Every node reads the store by itself, so the interval of the reads determines the calls of a
//! fleet at rest. It follows from how soon the platform requires a node to know of a change; what a
//! node needs sooner, it learns from the owner.

use lynxwheel_platform::Bounds;

/// Minimum of the maximum wait of a poll, in milliseconds. The owner, on which all others rely,
/// always waits only this long.
pub const MIN_POLL_WAIT_MS: u64 = 700;

/// Maximum of it, in milliseconds.
const MAX_POLL_WAIT_MS: u64 = 5_000;

/// Time after the end of its wait in which a poll without a response times out and is repeated, in
/// milliseconds.
const REPEATED_POLL_MS: u64 = 1_300;

/// Time for which a follower that gets no response from the owner reads every ownership record, in
/// milliseconds; longer than a takeover.
pub const DOUBT_MS: u64 = 3_000;

/// Maximum delay after a failed read, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 1_600;

/// Returns the maximum wait of a poll of a follower, in milliseconds.
///
/// A change during a poll whose response is lost becomes known when the poll is repeated, which has
/// to be within the time that the platform allows.
#[must_use]
pub fn max_poll_wait_ms(bounds: &Bounds) -> u64 {
    let allowed_ms = bounds.config_apply_ms.min(bounds.contact_ms);
    let wait_ms = allowed_ms.saturating_sub(REPEATED_POLL_MS);
    wait_ms.clamp(MIN_POLL_WAIT_MS, MAX_POLL_WAIT_MS)
}

/// What a follower knows of the owner from other sources than the ownership log, in milliseconds on
/// its monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerContact {
    /// Time of the owner's last response to this node; 0 for none.
    pub responded_ms: u64,
    /// Time of the last request that failed, reached another node, or waits for an overdue response;
    /// 0 for none.
    pub doubted_ms: u64,
}

impl OwnerContact {
    /// Returns whether the owner may have been replaced.
    #[must_use]
    pub fn is_in_doubt(&self, now_ms: u64) -> bool {
        self.doubted_ms > self.responded_ms && now_ms < self.doubted_ms + DOUBT_MS
    }
}

/// Returns the delay before another read after some failures in a row, in milliseconds.
///
/// Grows with the failures up to the time between two reads without failures: a store that rejects
/// many nodes would get several times the calls of one that serves them.
#[must_use]
pub fn retry_delay_ms(first_ms: u64, failures: u32, max_wait_ms: u64) -> u64 {
    let limit_ms = max_wait_ms
        .saturating_sub(MIN_POLL_WAIT_MS)
        .clamp(first_ms, MAX_RETRY_DELAY_MS);
    let delay_ms = first_ms << failures.saturating_sub(1).min(8);
    delay_ms.min(limit_ms)
}
