//! Wall clock and the numbering of runs.

use {
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bits of an incarnation below its time.
const SPREAD_BITS: u32 = 20;

/// Returns the time in milliseconds since the epoch.
#[must_use]
pub fn now_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the number of a run of `node` that starts now.
///
/// Later runs have higher numbers. Two nodes that start in the same millisecond would share a
/// number without the low bits; the fold would then take the records of one for duplicates of the
/// other's, and proposers would wait in vain.
pub(crate) fn new_incarnation(node: &str) -> u64 {
    let elapsed = since_epoch();
    let spread = xxh3_64_with_seed(node.as_bytes(), u64::from(elapsed.subsec_nanos()));
    let time_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    time_ms << SPREAD_BITS | spread & ((1 << SPREAD_BITS) - 1)
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
