//! Outcome counts and latencies of one target.

use {
    crate::request::Outcome,
    hdrhistogram::Histogram,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Maximum latency of the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome counts and latencies so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong: u64,
    pub(crate) truncated: u64,
    pub(crate) failed: u64,
    pub(crate) retries: u64,
    /// Latencies of answered requests, in microseconds.
    pub(crate) latency: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            answered: 0,
            refused: 0,
            unknown: 0,
            wrong: 0,
            truncated: 0,
            failed: 0,
            retries: 0,
            latency: latency.expect("the constants are valid histogram bounds"),
        }
    }

    /// Returns the number of requests that have ended.
    pub(crate) fn ended_count(&self) -> u64 {
        self.answered + self.refused + self.unknown + self.wrong + self.truncated + self.failed
    }
}

/// Tally shared between tasks.
#[derive(Debug)]
pub(crate) struct SharedTally {
    tally: Mutex<Tally>,
}

impl SharedTally {
    pub(crate) fn new() -> Self {
        Self {
            tally: Mutex::new(Tally::new()),
        }
    }

    /// Records a request that ended after `latency` and `retries`.
    pub(crate) fn record(&self, outcome: Outcome, latency: Duration, retries: u32) {
        let mut tally = self.lock();
        tally.retries += u64::from(retries);
        match outcome {
            Outcome::Answered => {
                tally.answered += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                tally.latency.saturating_record(micros);
            }
            Outcome::Refused => tally.refused += 1,
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Wrong => tally.wrong += 1,
            Outcome::Truncated => tally.truncated += 1,
            Outcome::Failed => tally.failed += 1,
        }
    }

    /// Returns a copy of the current tally.
    pub(crate) fn snapshot(&self) -> Tally {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
