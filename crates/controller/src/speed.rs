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
pub const MEASURE_EVERY_MS: u64 = 400;

/// Steps of the piece of work: long enough to stand far above the grain of the clock.
const WORK_STEPS: u64 = 50_000;

/// Factor of Knuth's linear congruential generator, as a step that cannot be left out.
const WORK_FACTOR: u64 = 6_364_136_223_846_793_005;

/// Times as long as usual from which on the node counts as slowed, in percent: sound nodes that share a
/// busy host vary by less.
const SLOWED_PERCENT: u64 = 250;

/// Measurements of which the shortest counts: a single one may have been interrupted.
const COUNTED: usize = 3;

/// Part of the difference by which a shorter and a longer time than usual change what is usual. It
/// rises slowly, so that a slow spell of some seconds stays one.
const FALL_PART: u64 = 4;
const RISE_PART: u64 = 64;

/// Speed of a processor, by the times that the work took.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    usual_us: u64,
    /// The last times, the newest at the end.
    last_us: Vec<u64>,
}

impl Speed {
    /// Takes in how long the work took.
    pub fn note(&mut self, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        if self.last_us.len() == COUNTED {
            self.last_us.remove(0);
        }
        self.last_us.push(took_us);
        self.usual_us = match self.usual_us {
            0 => took_us,
            usual_us if took_us < usual_us => usual_us - (usual_us - took_us) / FALL_PART,
            // Cut off, so that one very long time does not count as much as many.
            usual_us => usual_us + (took_us.min(2 * usual_us) - usual_us) / RISE_PART,
        };
    }

    /// Returns what is left of a processor share at the moment: all of it, unless the node is slowed.
    #[must_use]
    pub fn left_of(&self, cpu_millis: u32) -> u32 {
        let current_us = match self.last_us.iter().min() {
            Some(&shortest_us) if self.last_us.len() == COUNTED => shortest_us,
            _ => return cpu_millis,
        };
        if current_us * 100 < self.usual_us * SLOWED_PERCENT {
            return cpu_millis;
        }
        let left = u64::from(cpu_millis) * self.usual_us / current_us;
        u32::try_from(left).unwrap_or(cpu_millis)
    }
}

/// Does the piece of work, and returns how long it took.
#[must_use]
pub fn measure() -> Duration {
    let begun = Instant::now();
    let mut value = 1_u64;
    for step in 0..WORK_STEPS {
        value = value.wrapping_mul(WORK_FACTOR).wrapping_add(step);
    }
    black_box(value);
    begun.elapsed()
}
