//! Rate limit on appends.

/// Appends that may be sent in a burst without delay.
const BURST_APPENDS: u64 = 8;

/// Interval over which the append rate of the other nodes is measured, in milliseconds.
const MEASUREMENT_INTERVAL_MS: u64 = 1_000;

/// Factor by which the other nodes' rate may grow until it is measured again.
const GROWTH_FACTOR: u64 = 2;

/// Delays appends so that all nodes together stay within the rate limit of the log service.
///
/// After an outage every node has records to append. Without a limit the service would keep
/// rejecting all of them for exceeding its rate.
#[derive(Debug, Default)]
pub struct RateLimiter {
    next_append_us: u64,
}

impl RateLimiter {
    /// Reserves an append and returns its delay in microseconds, at a rate of `per_s` appends a
    /// second.
    pub fn reserve(&mut self, now_us: u64, per_s: u64) -> u64 {
        let interval_us = 1_000_000 / per_s.max(1);
        self.next_append_us = self.next_append_us.max(now_us) + interval_us;
        let burst_us = interval_us * BURST_APPENDS;
        self.next_append_us.saturating_sub(now_us + burst_us)
    }
}

/// This node's share of the log service's append rate.
///
/// A node may always use its fair share, and in addition the rate that the other nodes leave
/// unused, as measured by their records in the log.
#[derive(Debug)]
pub struct RateShare {
    total_per_s: u64,
    node_count: u64,
    others_per_s: u64,
    measured_records: u64,
    measured_at_ms: u64,
}

impl RateShare {
    /// Divides `total_per_s` appends a second among `node_count` nodes.
    #[must_use]
    pub fn new(total_per_s: u32, node_count: usize) -> Self {
        Self {
            total_per_s: total_per_s.into(),
            node_count: node_count.max(1) as u64,
            others_per_s: total_per_s.into(),
            measured_records: 0,
            measured_at_ms: 0,
        }
    }

    /// Returns the fair share, in appends a second.
    #[must_use]
    pub fn fair_share_per_s(&self) -> u64 {
        self.total_per_s / self.node_count
    }

    /// Returns the rate that this node may use now, in appends a second.
    ///
    /// `other_records` is the total number of records of all other nodes so far.
    pub fn allowed_per_s(&mut self, now_ms: u64, other_records: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.measured_at_ms);
        if elapsed_ms >= MEASUREMENT_INTERVAL_MS {
            let new_records = other_records.saturating_sub(self.measured_records);
            self.others_per_s = new_records * 1_000 / elapsed_ms;
            self.measured_records = other_records;
            self.measured_at_ms = now_ms;
        }
        let unused_per_s = self
            .total_per_s
            .saturating_sub(GROWTH_FACTOR * self.others_per_s);
        unused_per_s.max(self.fair_share_per_s())
    }
}
