//! Clock of a node and the numbering of runs.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bits of an incarnation below its time.
const SPREAD_BITS: u32 = 20;

/// Time source of a node: the system's clock, or one that a test moves by hand.
///
/// Copies of a manual clock share its time.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    manual_ms: Option<Arc<AtomicU64>>,
}

impl Clock {
    /// Creates a clock that follows the system's time.
    #[must_use]
    pub fn system() -> Self {
        Self::default()
    }

    /// Creates a clock that stands at `now_ms` until it is moved.
    #[must_use]
    pub fn manual(now_ms: u64) -> Self {
        Self {
            manual_ms: Some(Arc::new(AtomicU64::new(now_ms))),
        }
    }

    /// Returns the time in milliseconds since the epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        match &self.manual_ms {
            Some(manual_ms) => manual_ms.load(Ordering::Relaxed),
            None => u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Moves a manual clock forward by `step_ms`; the system's clock stays as it is.
    pub fn advance(&self, step_ms: u64) {
        if let Some(manual_ms) = &self.manual_ms {
            manual_ms.fetch_add(step_ms, Ordering::Relaxed);
        }
    }
}

/// Returns the number of a run of `node` that starts now.
///
/// Later runs have higher numbers. Two nodes that start in the same millisecond would share a
/// number without the low bits; the fold would then take the records of one for duplicates of the
/// other's, and proposers would wait in vain.
pub(crate) fn new_incarnation(node: &str, clock: &Clock) -> u64 {
    let spread = xxh3_64_with_seed(node.as_bytes(), u64::from(since_epoch().subsec_nanos()));
    clock.now_ms() << SPREAD_BITS | spread & ((1 << SPREAD_BITS) - 1)
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
