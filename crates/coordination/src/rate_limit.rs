//! Bound on how often a node appends.

/// Appends that may follow one another at once.
const BURST: u64 = 8;

/// Time over which the others' appends are counted, in milliseconds.
const COUNT_MS: u64 = 1_000;

/// By how much the others' appends are taken to grow until they are counted again.
const HEADROOM: u64 = 2;

/// Spaces appends so that all nodes together stay within what the log service takes.
///
/// After an outage every node has something to append; without a bound they would all be refused
/// for exceeding the service's rate, again and again.
#[derive(Debug, Default)]
pub struct RateLimiter {
    next_us: u64,
}

impl RateLimiter {
    /// Counts an append and returns how long it must wait, both in microseconds, when `per_s` are
    /// allowed in a second.
    pub fn reserve(&mut self, now_us: u64, per_s: u64) -> u64 {
        let interval_us = 1_000_000 / per_s.max(1);
        self.next_us = self.next_us.max(now_us) + interval_us;
        let allowance_us = interval_us * BURST;
        self.next_us.saturating_sub(now_us + allowance_us)
    }
}

/// This node's part of the log service's rate.
///
/// Every node always has its fair part. What the others leave unused, by the records that the log
/// shows of them, it may use too, so that one node alone is not held to its part.
#[derive(Debug)]
pub struct RateShare {
    all_per_s: u64,
    nodes: u64,
    others_per_s: u64,
    counted: u64,
    counted_ms: u64,
}

impl RateShare {
    /// Shares `all_per_s` appends a second among `nodes`.
    #[must_use]
    pub fn new(all_per_s: u32, nodes: usize) -> Self {
        Self {
            all_per_s: all_per_s.into(),
            nodes: nodes.max(1) as u64,
            others_per_s: all_per_s.into(),
            counted: 0,
            counted_ms: 0,
        }
    }

    /// Returns the fair part, in appends a second.
    #[must_use]
    pub fn fair_share_per_s(&self) -> u64 {
        self.all_per_s / self.nodes
    }

    /// Returns what may be used now, in appends a second; `others` counts the records of all
    /// other nodes so far.
    pub fn allowed_per_s(&mut self, now_ms: u64, others: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.counted_ms);
        if elapsed_ms >= COUNT_MS {
            let written = others.saturating_sub(self.counted);
            self.others_per_s = written * 1_000 / elapsed_ms;
            self.counted = others;
            self.counted_ms = now_ms;
        }
        let unused = self.all_per_s.saturating_sub(HEADROOM * self.others_per_s);
        unused.max(self.fair_share_per_s())
    }
}
