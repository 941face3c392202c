//! Bound on the share of processor time that a duty's rounds take.

use std::time::Duration;

/// Longest pause between two rounds, in milliseconds; urgent work must not wait longer.
const MAX_PAUSE_MS: u64 = 1_000;

/// Thousandths of a core that a duty may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CoreShare {
    per_mille: u32,
}

impl CoreShare {
    /// Creates the share of a duty that may take `per_mille` thousandths of a core.
    pub(crate) const fn new(per_mille: u32) -> Self {
        Self { per_mille }
    }

    /// Returns how long to rest after a round that took `cost`.
    ///
    /// Rounds follow news in the log. At full size a round takes milliseconds, and a log with a
    /// hundred records a second would have the duty compute all the time; resting in proportion
    /// keeps its share, whatever the size of the fleet and the rate of records.
    pub(crate) fn rest(self, cost: Duration) -> Duration {
        let rest = cost.saturating_mul(1_000 / self.per_mille.max(1));
        rest.min(Duration::from_millis(MAX_PAUSE_MS))
    }
}
