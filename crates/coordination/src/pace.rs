//! Bound on how often a node appends.

/// Appends that may follow one another at once.
const BURST: u64 = 8;

/// Spaces appends so that all nodes together stay within what the log service takes.
///
/// After an outage every node has something to append; without a bound they would all be refused
/// for exceeding the service's rate, again and again.
#[derive(Debug)]
pub struct Pace {
    appends_per_s: u32,
    next_us: u64,
}

impl Pace {
    /// Allows all nodes together `appends_per_s` in the long run.
    #[must_use]
    pub fn new(appends_per_s: u32) -> Self {
        Self {
            appends_per_s,
            next_us: 0,
        }
    }

    /// Counts an append and returns how long it must wait, both in microseconds, when as many
    /// nodes as `sharers` append.
    pub fn take(&mut self, now_us: u64, sharers: u32) -> u64 {
        let own_per_s = (self.appends_per_s / sharers.max(1)).max(1);
        let interval_us = 1_000_000 / u64::from(own_per_s);
        self.next_us = self.next_us.max(now_us) + interval_us;
        let allowance_us = interval_us * BURST;
        self.next_us.saturating_sub(now_us + allowance_us)
    }
}
