//! Time source of a node and generation of incarnation numbers.

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

/// Number of low bits of an incarnation that tell apart nodes started in the same millisecond.
const NODE_BITS: u32 = 20;

/// Time source: the system clock, or a manual clock for tests.
///
/// Clones of a manual clock share its time.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    manual_ms: Option<Arc<AtomicU64>>,
}

impl Clock {
    /// Creates a clock that returns the system time.
    #[must_use]
    pub fn system() -> Self {
        Self::default()
    }

    /// Creates a manual clock that starts at `now_ms`.
    #[must_use]
    pub fn manual(now_ms: u64) -> Self {
        Self {
            manual_ms: Some(Arc::new(AtomicU64::new(now_ms))),
        }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        match &self.manual_ms {
            Some(manual_ms) => manual_ms.load(Ordering::Relaxed),
            None => u64::try_from(time_since_epoch().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Moves a manual clock forward by `duration_ms`; has no effect on the system clock.
    pub fn advance(&self, duration_ms: u64) {
        if let Some(manual_ms) = &self.manual_ms {
            manual_ms.fetch_add(duration_ms, Ordering::Relaxed);
        }
    }
}

/// Returns the incarnation of a `node` process that starts now.
///
/// Incarnations rise over time. The low bits keep two nodes that start in the same millisecond
/// apart; otherwise the fold would treat the records of one as duplicates of the other's.
pub(crate) fn new_incarnation(node: &str, clock: &Clock) -> u64 {
    let node_bits = xxh3_64_with_seed(
        node.as_bytes(),
        u64::from(time_since_epoch().subsec_nanos()),
    );
    clock.now_ms() << NODE_BITS | node_bits & ((1 << NODE_BITS) - 1)
}

fn time_since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
