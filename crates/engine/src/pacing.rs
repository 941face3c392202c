//! Pacing of filler tasks, which protects the tail latency of serving tasks.
//!
//! An endpoint does not report the speed of a run. It is known only from answers to orders, and the
//! orders of one run may overtake each other.

use crate::{
    engine::Engine,
    event::{Effect, EndpointKey, Now},
    job::TaskRef,
    state::Phase,
};

/// Tail latency from which fillers are slowed down, in percent of its limit. Latencies are inexact
/// and reported only twice a second, so the reaction starts below the limit.
const SLOW_FROM_PERCENT: u64 = 85;

/// Tail latency below which fillers may speed up again, in percent of its limit.
const FASTER_BELOW_PERCENT: u64 = 55;

/// Increase of the pace per report, in percent.
const FASTER_STEP: u8 = 15;

/// Pace of a run at its start, in percent.
const FULL_PACE: u8 = 100;

/// Highest pace ordered beside serving tasks for a run of unknown pace, in percent. Full speed may
/// break the latency target, and a stopped run shows nothing of the room for it.
const UNKNOWN_PACE: u8 = 50;

/// Time after an order without an answer until the pace is ordered once more, in milliseconds. The
/// order may have taken effect in between.
const LATE_ORDER_MS: u64 = 5_000;

/// Pace of a run: what was ordered and what the run is known to have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunPace {
    /// Pace that was ordered last; `None` if this owner has ordered none and the run may have any.
    ordered: Option<u8>,
    /// Pace that the run has; `None` if unknown.
    known: Option<u8>,
    /// Number of orders without an outcome.
    pending_orders: u8,
    /// Whether several orders were pending at the same time, so that any of them may be the last
    /// one that took effect.
    has_overlapped: bool,
    /// Whether an order since the last report may still take effect although its call has ended.
    is_unanswered: bool,
    /// Until when an order may still take effect, on the monotonic clock; `None` for none.
    late_until_ms: Option<u64>,
}

impl RunPace {
    /// Creates the pace of a run that starts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            ordered: Some(FULL_PACE),
            known: Some(FULL_PACE),
            ..Self::unknown()
        }
    }

    /// Creates the pace of a run to which a previous owner may have sent orders.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            ordered: None,
            known: None,
            pending_orders: 0,
            has_overlapped: false,
            is_unanswered: false,
            late_until_ms: None,
        }
    }

    /// Returns the pace to order after a report, if any; `tail_percent` is the worst tail latency
    /// beside the run in percent of its limit, or `None` if nothing serves there.
    pub fn next_order(&mut self, tail_percent: Option<u64>, now: Now) -> Option<u8> {
        if std::mem::take(&mut self.is_unanswered) {
            self.late_until_ms = Some(now.steady_ms + LATE_ORDER_MS);
        }
        if let Some(until_ms) = self.late_until_ms {
            let is_over = now.steady_ms >= until_ms;
            if is_over {
                self.late_until_ms = None;
            }
            if is_over || tail_percent.is_some_and(|percent| percent >= SLOW_FROM_PERCENT) {
                self.known = None;
            }
        }
        let wanted = self.wanted(tail_percent);
        let is_needed = if self.pending_orders > 0 {
            self.ordered != Some(wanted)
        } else {
            self.known != Some(wanted)
        };
        if !is_needed {
            return None;
        }
        self.has_overlapped |= self.pending_orders > 0;
        self.pending_orders += 1;
        self.ordered = Some(wanted);
        self.known = None;
        Some(wanted)
    }

    /// Returns the wanted pace. Beside serving tasks a run of unknown pace does not speed up.
    fn wanted(&self, tail_percent: Option<u64>) -> u8 {
        let Some(tail_percent) = tail_percent else {
            return FULL_PACE;
        };
        match (self.known, self.ordered) {
            (Some(known), _) => next_pace(known, tail_percent),
            (None, Some(ordered)) => next_pace(ordered, tail_percent).min(ordered),
            (None, None) => next_pace(UNKNOWN_PACE, tail_percent).min(UNKNOWN_PACE),
        }
    }

    /// Records the outcome of an order; `is_done` tells whether it is known to be applied.
    pub fn answered(&mut self, percent: u8, is_done: bool) {
        self.pending_orders = self.pending_orders.saturating_sub(1);
        self.is_unanswered |= !is_done;
        let is_known = is_done && !self.has_overlapped && self.ordered == Some(percent);
        self.known = is_known.then_some(percent);
        if self.pending_orders == 0 {
            self.has_overlapped = false;
        }
    }
}

impl Default for RunPace {
    fn default() -> Self {
        Self::new()
    }
}

impl Engine {
    /// Adjusts the pace of the fillers on an endpoint to the latest tail latencies.
    pub(crate) fn adjust_pace(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get(key);
        let worst_percent = endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_serving && placed.target_ms > 0)
            .map(|placed| placed.tail_latency_ms * 100 / placed.target_ms)
            .max();
        let fillers: Vec<(TaskRef, u32)> = endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_filler)
            .map(|placed| (placed.task, placed.run))
            .collect();
        for (task, run) in fillers {
            // An order that precedes the start says nothing of the run's pace.
            let percent = self
                .attempt_mut(&task, run)
                .filter(|attempt| attempt.phase == Phase::Confirmed)
                .and_then(|attempt| attempt.pace.next_order(worst_percent, now));
            if let Some(percent) = percent {
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
        if let Some(attempt) = self.attempt_mut(task, run)
            && attempt.endpoint == key
        {
            attempt.pace.answered(percent, is_done);
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
