//! Rate limit of VM orders.

use crate::event::Now;

/// Period whose orders may be sent in a burst, in milliseconds. It covers two ticks, so that a late
/// one does not reduce the rate.
const BURST_MS: u64 = 200;

const MILLIS_PER_ORDER: u64 = 1_000;

/// Token bucket for VM orders.
///
/// The VM service refuses orders beyond its rate, and each refusal causes a cooldown of the VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderRateLimiter {
    per_s: u64,
    available_millis: u64,
    refilled_ms: u64,
}

impl OrderRateLimiter {
    /// Creates a limiter of `per_s` orders per second, at least one.
    pub(crate) fn new(per_s: u64) -> Self {
        Self {
            per_s: per_s.max(1),
            available_millis: MILLIS_PER_ORDER,
            refilled_ms: 0,
        }
    }

    /// Adds the orders allowed since the last call.
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

    /// Returns whether an order may be sent.
    pub(crate) fn allows_order(&self) -> bool {
        self.available_millis >= MILLIS_PER_ORDER
    }

    /// Counts a sent order.
    pub(crate) fn record_order(&mut self) {
        self.available_millis = self.available_millis.saturating_sub(MILLIS_PER_ORDER);
    }
}
