//! Runs that an endpoint lists, compared with those that are wanted there.
//!
//! The response to an order shows at most what the endpoint did for that order. Whether a run is
//! active is decided by the reports requested since: a run that is listed although it should not be
//! active is stopped until it is omitted.

use crate::{
    endpoints::UnknownRun,
    engine::{Engine, ORDER_RETRY_MS},
    event::{Effect, EndpointKey, Now},
    job::TaskRef,
    log_event::{LogEvent, UnwantedRun},
    reports::RunningTask,
    state::{Attempt, Phase},
};

/// Minimum interval between stops of the same unknown run, in milliseconds.
const UNKNOWN_RUN_STOP_INTERVAL_MS: u64 = 500;

/// Time in which an endpoint ends a run that it was told to stop, in milliseconds. A run that is
/// still listed then is stopped again, and logged once in this time.
pub(crate) const STOP_LIMIT_MS: u64 = 1_000;

/// A listed run that this owner has placed on the endpoint.
struct ListedRun {
    /// Whether it was not confirmed before.
    is_new: bool,
    /// Whether it should be active.
    is_wanted: bool,
}

impl Engine {
    pub(crate) fn process_running(
        &mut self,
        key: EndpointKey,
        running: &RunningTask,
        clock_ms: u64,
        now: Now,
    ) {
        let RunningTask { task, run, .. } = running;
        let Some(listed) = self.record_progress(key, running, clock_ms) else {
            self.stop_unknown_run(key, task, *run, now);
            return;
        };
        if listed.is_new {
            self.confirm(key, task, *run, now);
        }
        if !listed.is_wanted {
            self.stop_unwanted_run(key, task, *run, now);
        }
        let endpoint = self.endpoints.get_mut(key);
        let placed = endpoint
            .placed_runs
            .iter_mut()
            .find(|placed| placed.task == running.task && placed.run == running.run);
        if let Some(placed) = placed {
            placed.tail_latency_ms = running.usage.unwrap_or_default();
            if placed.is_suspect() {
                self.suspect_is_running(key, task, *run);
            }
        }
    }

    /// Records the progress of a run. Returns `None` if it was never placed on this endpoint.
    fn record_progress(
        &mut self,
        key: EndpointKey,
        running: &RunningTask,
        clock_ms: u64,
    ) -> Option<ListedRun> {
        let index = self.search(running.task.job).ok()?;
        let job = self.jobs.get_mut_untracked(index);
        let is_ended = job.state.is_final();
        let task = job.task_mut(&running.task)?;
        let attempt = task
            .attempts
            .iter_mut()
            .find(|attempt| attempt.run == running.run && attempt.endpoint == key)?;
        if !running.checkpoint.is_empty() {
            task.checkpoint.clone_from(&running.checkpoint);
        }
        let is_new = attempt.phase != Phase::Confirmed;
        if is_new || attempt.percent != running.percent || attempt.progress_clock_ms.is_none() {
            attempt.progress_clock_ms = Some(clock_ms);
        }
        attempt.percent = running.percent;
        attempt.may_start_again = false;
        let is_wanted = !attempt.is_stopping() && !is_ended && !task.is_done;
        if attempt.record_active(clock_ms) && task.crashes > 0 {
            job.crash_history.is_dirty = true;
            self.unstored_jobs.push(running.task.job);
        }
        Some(ListedRun { is_new, is_wanted })
    }

    /// Stops a listed run that should not be active, again if an earlier stop was refused or has
    /// not ended it in time.
    fn stop_unwanted_run(&mut self, key: EndpointKey, task: &TaskRef, run: u32, now: Now) {
        let Some(attempt) = self.attempt_mut(task, run) else {
            return;
        };
        if !attempt.is_stopping() {
            return self.stop_run(task, run, now);
        }
        let is_due = attempt.is_stop_due(now);
        let since_ms = attempt.stopping_ms(now);
        if attempt.take_unwanted_log(now) {
            self.log_unwanted_run(key, task, run, true, since_ms);
        }
        if is_due && self.may_send_stop(task, run) {
            self.send_stop(key, task, run, now);
        }
    }

    /// Stops a run that this owner does not know.
    fn stop_unknown_run(&mut self, key: EndpointKey, task: &TaskRef, run: u32, now: Now) {
        let unknown = self.unknown_run_mut(key, task, run);
        let since_ms = *unknown.listed_since_ms.get_or_insert(now.steady_ms);
        let is_due = unknown
            .stopped_at_ms
            .is_none_or(|at_ms| now.steady_ms >= at_ms + UNKNOWN_RUN_STOP_INTERVAL_MS);
        if !is_due {
            return;
        }
        unknown.stopped_at_ms = Some(now.steady_ms);
        let since_ms = now.steady_ms.saturating_sub(since_ms);
        self.log_unwanted_run(key, task, run, false, Some(since_ms));
        self.immediate_effects.push(Effect::Stop {
            endpoint: key,
            task: *task,
            run,
        });
    }

    /// Requests a report that shows whether a run is active that the endpoint has just confirmed
    /// and this owner does not know.
    pub(crate) fn verify_unknown_run(
        &mut self,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        now: Now,
    ) {
        let renewals = self.endpoints.get(key).renewals;
        self.unknown_run_mut(key, task, run).added_at_renewal = renewals;
        let endpoint = self.endpoints.get_mut(key);
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
    }

    /// Returns an unknown run of an endpoint, adding it if needed.
    fn unknown_run_mut(&mut self, key: EndpointKey, task: &TaskRef, run: u32) -> &mut UnknownRun {
        let runs = &mut self.endpoints.get_mut(key).unknown_runs;
        let known = runs
            .iter()
            .position(|known| known.task == *task && known.run == run);
        let index = known.unwrap_or_else(|| {
            runs.push(UnknownRun {
                task: *task,
                run,
                listed_since_ms: None,
                stopped_at_ms: None,
                added_at_renewal: 0,
            });
            runs.len() - 1
        });
        &mut runs[index]
    }

    /// Sends a stop whose decision is stored, and sets the time of its next try.
    pub(crate) fn send_stop(&mut self, key: EndpointKey, task: &TaskRef, run: u32, now: Now) {
        if let Some(attempt) = self.attempt_mut(task, run) {
            attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
        }
        self.immediate_effects.push(Effect::Stop {
            endpoint: key,
            task: *task,
            run,
        });
    }

    fn log_unwanted_run(
        &mut self,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        is_known: bool,
        since_ms: Option<u64>,
    ) {
        let endpoint = self.endpoints.get(key).id.clone();
        self.log_events
            .push(LogEvent::UnwantedRunListed(UnwantedRun {
                task: *task,
                run,
                endpoint,
                is_known,
                since_ms,
            }));
    }
}

impl Attempt {
    /// Returns whether the stop of a run may be sent now, as its decision is stored and its next
    /// try is due.
    fn is_stop_due(&self, now: Now) -> bool {
        self.is_stop_stored() && now.steady_ms >= self.retry_at_ms
    }

    /// Returns whether to log now that the run is listed although it is to be stopped, and records
    /// that it is logged.
    fn take_unwanted_log(&mut self, now: Now) -> bool {
        let decided_at_ms = self.stopping_since_ms.unwrap_or_default();
        let since_ms = self.unwanted_logged_at_ms.max(decided_at_ms);
        let is_due = now.steady_ms >= since_ms + STOP_LIMIT_MS;
        if is_due {
            self.unwanted_logged_at_ms = now.steady_ms;
        }
        is_due
    }

    /// Returns the time since the stop was decided, in milliseconds; `None` if a previous owner
    /// decided it.
    fn stopping_ms(&self, now: Now) -> Option<u64> {
        let since_ms = self.stopping_since_ms?;
        Some(now.steady_ms.saturating_sub(since_ms))
    }
}
