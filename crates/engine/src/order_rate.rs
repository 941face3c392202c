//! Rate at which the VMs' service takes orders, from all nodes together.

use crate::event::Now;

/// Time whose orders may be given at once, in milliseconds: two ticks, so that one that comes late
/// loses nothing.
const BURST_MS: u64 = 200;

/// Thousandths of an order: the grain in which they are counted.
const MILLIS_PER_ORDER: u64 = 1_000;

/// Orders for VMs that may be given now.
///
/// What goes beyond the rate is refused by the service, and tells nothing: which order got through was
/// left to chance, and the VMs whose order did not rested for seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderRateLimiter {
    per_s: u64,
    available_millis: u64,
    refilled_ms: u64,
}

impl OrderRateLimiter {
    /// Creates a rate of so many orders a second, at least one.
    pub(crate) fn new(per_s: u64) -> Self {
        Self {
            per_s: per_s.max(1),
            available_millis: MILLIS_PER_ORDER,
            refilled_ms: 0,
        }
    }

    /// Adds what the time since the last call allows.
    pub(crate) fn refill(&mut self, now: Now) {
        let passed_ms = now.steady_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now.steady_ms;
        let max_millis = self.per_s.saturating_mul(BURST_MS).max(MILLIS_PER_ORDER);
        let added_millis = self.per_s.saturating_mul(passed_ms);
        self.available_millis = self
            .available_millis
            .saturating_add(added_millis)
            .min(max_millis);
    }

    /// Tells whether an order may be given.
    pub(crate) fn allows_order(&self) -> bool {
        self.available_millis >= MILLIS_PER_ORDER
    }

    /// Counts an order.
    pub(crate) fn record_order(&mut self) {
        self.available_millis = self.available_millis.saturating_sub(MILLIS_PER_ORDER);
    }
}
