//! Detection of a slowed CPU by timing a fixed benchmark.
//!
//! Contention on the host may slow a VM down several times for seconds. An owner on such a VM keeps
//! renewing its ownership while falling behind with its work. CPU load does not reveal this, as
//! bursts keep a healthy node just as busy.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Interval between measurements, in milliseconds. A slowdown is noticed within 1.5 s, for less than a
/// thousandth of the CPU.
pub const MEASUREMENT_INTERVAL_MS: u64 = 400;

/// Iterations of the benchmark; long enough to exceed the clock's resolution.
const BENCHMARK_STEPS: u64 = 50_000;

/// Multiplier of Knuth's MMIX linear congruential generator.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// Ratio of the current time to the baseline from which the node counts as slowed, in percent.
const SLOWDOWN_PERCENT: u64 = 250;

/// Number of recent samples, the fastest of which counts; a single one may have been preempted.
const MAX_SAMPLES: usize = 3;

/// Divisors that smooth the baseline. It rises slowly, so that a slowdown of a few seconds is not
/// absorbed.
const FALL_DIVISOR: u64 = 4;
const RISE_DIVISOR: u64 = 64;

/// CPU speed estimated from benchmark times.
#[derive(Clone, Debug, Default)]
pub struct CpuSpeed {
    baseline_us: u64,
    /// Recent samples, newest last.
    samples_us: Vec<u64>,
}

impl CpuSpeed {
    /// Records the duration of a benchmark run.
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
            // Capped, so that a single outlier has little effect.
            base_us => base_us + (sample_us.min(2 * base_us) - base_us) / RISE_DIVISOR,
        };
    }

    /// Returns the effective part of a CPU share: all of it, unless the node is slowed.
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

/// Runs the benchmark and returns its duration.
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
