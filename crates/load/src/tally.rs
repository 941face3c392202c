//! Counts and latencies of one side.

use {
    crate::request::Outcome,
    hdrhistogram::Histogram,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Highest latency told apart, in microseconds.
const MAX_US: u64 = 120_000_000;

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Endings and latencies so far.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong: u64,
    pub(crate) cut: u64,
    pub(crate) failed: u64,
    pub(crate) retried: u64,
    /// Latencies of whole answers, in microseconds.
    pub(crate) latency: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        let latency = Histogram::new_with_max(MAX_US, DIGITS);
        Self {
            answered: 0,
            refused: 0,
            unknown: 0,
            wrong: 0,
            cut: 0,
            failed: 0,
            retried: 0,
            latency: latency.expect("the bounds are constants that the histogram allows"),
        }
    }

    /// Returns the requests that have ended.
    pub(crate) fn ended(&self) -> u64 {
        self.answered + self.refused + self.unknown + self.wrong + self.cut + self.failed
    }
}

/// Tally that tasks share.
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

    /// Counts a request that ended after `latency` and `retries`.
    pub(crate) fn note(&self, outcome: Outcome, latency: Duration, retries: u32) {
        let mut tally = self.lock();
        tally.retried += u64::from(retries);
        match outcome {
            Outcome::Answered => {
                tally.answered += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                tally.latency.saturating_record(micros);
            }
            Outcome::Refused => tally.refused += 1,
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Wrong => tally.wrong += 1,
            Outcome::Cut => tally.cut += 1,
            Outcome::Failed => tally.failed += 1,
        }
    }

    /// Returns a copy.
    pub(crate) fn copy(&self) -> Tally {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
