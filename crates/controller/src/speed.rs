//! How fast this node's processor is, beside how fast it usually is.
//!
//! A VM may turn several times slower for seconds, by what runs beside it. An owner to which that
//! happens goes on renewing in time and falls behind with all else: on a fleet of 350 endpoints nearly
//! every job of such a spell was late. Load says little about it, as a burst keeps a sound node just as
//! busy; the time that a fixed piece of work takes says it at once.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Time between two measurements, in milliseconds: a slow spell is noticed within 1.5 s, for below a
/// thousandth of the processor.
pub const MEASUREMENT_INTERVAL_MS: u64 = 400;

/// Steps of the piece of work: long enough to stand far above the grain of the clock.
const BENCHMARK_STEPS: u64 = 50_000;

/// Factor of Knuth's linear congruential generator, as a step that cannot be left out.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// Times as long as usual from which on the node counts as slowed, in percent: sound nodes that share a
/// busy host vary by less.
const SLOWDOWN_PERCENT: u64 = 250;

/// Measurements of which the shortest counts: a single one may have been interrupted.
const MAX_SAMPLES: usize = 3;

/// Part of the difference by which a shorter and a longer time than usual change what is usual. It
/// rises slowly, so that a slow spell of some seconds stays one.
const FALL_DIVISOR: u64 = 4;
const RISE_DIVISOR: u64 = 64;

/// Speed of a processor, by the times that the work took.
#[derive(Clone, Debug, Default)]
pub struct CpuSpeed {
    baseline_us: u64,
    /// The last times, the newest at the end.
    samples_us: Vec<u64>,
}

impl CpuSpeed {
    /// Takes in how long the work took.
    pub fn record(&mut self, elapsed: Duration) {
        let sample_us = u64::try_from(elapsed.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        if self.samples_us.len() == MAX_SAMPLES {
            self.samples_us.remove(0);
        }
        self.samples_us.push(sample_us);
        self.baseline_us = match self.baseline_us {
            0 => sample_us,
            base_us if sample_us < base_us => base_us - (base_us - sample_us) / FALL_DIVISOR,
            // Cut off, so that one very long time does not count as much as many.
            base_us => base_us + (sample_us.min(2 * base_us) - base_us) / RISE_DIVISOR,
        };
    }

    /// Returns what is left of a processor share at the moment: all of it, unless the node is slowed.
    #[must_use]
    pub fn effective_cpu_millis(&self, cpu_millis: u32) -> u32 {
        let current_us = match self.samples_us.iter().min() {
            Some(&min_us) if self.samples_us.len() == MAX_SAMPLES => min_us,
            _ => return cpu_millis,
        };
        if current_us * 100 < self.baseline_us * SLOWDOWN_PERCENT {
            return cpu_millis;
        }
        let effective = u64::from(cpu_millis) * self.baseline_us / current_us;
        u32::try_from(effective).unwrap_or(cpu_millis)
    }
}

/// Does the piece of work, and returns how long it took.
#[must_use]
pub fn run_benchmark() -> Duration {
    let started = Instant::now();
    let mut value = 1_u64;
    for step in 0..BENCHMARK_STEPS {
        value = value.wrapping_mul(LCG_MULTIPLIER).wrapping_add(step);
    }
    black_box(value);
    started.elapsed()
}
