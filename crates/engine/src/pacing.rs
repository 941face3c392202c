//! Pace of filling tasks: slowed down before they push a serving task's tail over its bound.

use crate::{
    attempts::find_attempt,
    engine::Engine,
    event::{Effect, EndpointKey},
    job::TaskRef,
};

/// Share of its bound, in percent, from which a tail has what fills beside it slowed down. Tails
/// are rough and told twice a second, so the reaction begins before the bound.
const SLOW_FROM_PERCENT: u64 = 85;

/// Share of its bound, in percent, below which what fills may go faster again.
const FASTER_BELOW_PERCENT: u64 = 55;

/// Step by which the pace grows again, in percent.
const FASTER_STEP: u8 = 15;

impl Engine {
    /// Adjusts the pace of what fills on an endpoint to the tails just reported.
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

/// Returns the next pace for what fills beside a serving task whose tail is at `tail_percent` of
/// its bound.
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
