//! Pacing of filler tasks, which protects the tail latency of serving tasks.

use crate::{
    attempts::find_attempt,
    engine::Engine,
    event::{Effect, EndpointKey},
    job::TaskRef,
};

/// Tail latency from which fillers are slowed down, in percent of its limit. Latencies are inexact
/// and reported only twice a second, so the reaction starts below the limit.
const SLOW_FROM_PERCENT: u64 = 85;

/// Tail latency below which fillers may speed up again, in percent of its limit.
const FASTER_BELOW_PERCENT: u64 = 55;

/// Increase of the pace per report, in percent.
const FASTER_STEP: u8 = 15;

impl Engine {
    /// Adjusts the pace of the fillers on an endpoint to the latest tail latencies.
    pub(crate) fn adjust_pace(&mut self, key: EndpointKey) {
        let endpoint = self.endpoints.get(key);
        let worst_percent = endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_serving && placed.target_ms > 0)
            .map(|placed| placed.tail_latency_ms * 100 / placed.target_ms)
            .max();
        let Some(worst_percent) = worst_percent else {
            return;
        };
        let fillers: Vec<(TaskRef, u32)> = endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_filler)
            .map(|placed| (placed.task, placed.run))
            .collect();
        for (task, run) in fillers {
            let Ok(index) = self.search(task.job) else {
                continue;
            };
            let Some(attempt) = find_attempt(&mut self.jobs[index], &task, run) else {
                continue;
            };
            let percent = next_pace(attempt.pace, worst_percent);
            if percent != attempt.pace {
                self.immediate_effects.push(Effect::Pace {
                    endpoint: key,
                    task,
                    run,
                    percent,
                });
            }
        }
    }

    pub(crate) fn pace_answered(
        &mut self,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        percent: u8,
        is_done: bool,
    ) {
        if let Ok(index) = self.search(task.job)
            && let Some(attempt) = find_attempt(&mut self.jobs[index], task, run)
            && is_done
            && attempt.endpoint == key
        {
            attempt.pace = percent;
        }
    }
}

/// Returns the next pace of a filler beside a serving task whose tail latency is at `tail_percent`
/// of its limit.
#[must_use]
pub fn next_pace(pace: u8, tail_percent: u64) -> u8 {
    if tail_percent >= 100 {
        0
    } else if tail_percent >= SLOW_FROM_PERCENT {
        pace / 2
    } else if tail_percent < FASTER_BELOW_PERCENT {
        pace.saturating_add(FASTER_STEP).min(100)
    } else {
        pace
    }
}
