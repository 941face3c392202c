//! Retries of unanswered orders until their outcome is known.

use crate::{
    attempts::{find_attempt, start_order},
    endpoints::SUSPECT_AFTER_FAILED_CALLS,
    engine::{Engine, ORDER_RETRY_MS},
    event::{Effect, EndpointKey, Now},
    job::TaskRef,
    state::{Attempt, Phase, StopPhase},
};

impl Engine {
    /// Retries unanswered orders. A start keeps its run number and is therefore idempotent; starts
    /// of an account above its quota wait, and those that no longer fit or whose endpoint is
    /// draining are stopped. Stops beyond the budget of their step wait: a previous owner may have
    /// decided on them before other tasks of the step were lost.
    pub(crate) fn retry_orders(&mut self, now: Now) {
        for (task, run, key, is_stop) in self.due_retries(now) {
            let endpoint = self.endpoints.get_mut(key);
            if endpoint.failed_calls >= SUSPECT_AFTER_FAILED_CALLS || !endpoint.is_reachable() {
                continue;
            }
            if is_stop {
                if self.may_send_stop(&task, run) {
                    self.send_stop(key, &task, run, now);
                }
            } else if endpoint.is_draining || !endpoint.has_room_for(&task, run) {
                self.stop_run(&task, run, now);
            } else if let Ok(index) = self.jobs.search(task.job)
                && self.may_extend_leases
                && !self.quotas.is_exceeded(self.jobs[index].account_number)
                && let Some(deadline_ms) = endpoint.grant_lease(now, self.settings.lease_ms)
            {
                let mut order = start_order(&self.jobs[index], key, &task, run, deadline_ms);
                order.ticket = self.ticket_for(&task, key, now);
                self.immediate_effects.push(Effect::Start(Box::new(order)));
            }
        }
    }

    /// Sends stops of starts that the next incarnation of an endpoint may execute, until one is executed.
    pub(crate) fn stop_late_starts(&mut self, now: Now) {
        let due = self.endpoints.iter();
        let due = due.filter(|(_, endpoint)| endpoint.has_late_stop_due(now));
        let due: Vec<EndpointKey> = due.map(|(key, _)| key).collect();
        for key in due {
            self.send_late_stops(key, now);
        }
    }

    pub(crate) fn send_late_stops(&mut self, key: EndpointKey, now: Now) {
        for start in &mut self.endpoints.get_mut(key).late_starts {
            if start.is_stop_due(now) {
                start.stop_at_ms = Some(now.steady_ms + ORDER_RETRY_MS);
                self.immediate_effects.push(Effect::Stop {
                    endpoint: key,
                    task: start.task,
                    run: start.run,
                });
            }
        }
    }

    /// Adds a run whose order may have to be retried.
    pub(crate) fn track_unanswered(&mut self, task: &TaskRef, run: u32) {
        if let Err(index) = self.unanswered_runs.binary_search(&(*task, run)) {
            self.unanswered_runs.insert(index, (*task, run));
        }
    }

    /// Returns the orders to retry now as task, run, endpoint, and whether it is a stop.
    fn due_retries(&mut self, now: Now) -> Vec<(TaskRef, u32, EndpointKey, bool)> {
        let mut due = Vec::new();
        let jobs = &mut self.jobs;
        self.unanswered_runs.retain(|(task, run)| {
            let Ok(index) = jobs.search(task.job) else {
                return false;
            };
            let Some(attempt) = find_attempt(jobs.get_mut_untracked(index), task, *run) else {
                return false;
            };
            if is_retry_due(attempt, now) {
                attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
                due.push((*task, *run, attempt.endpoint, attempt.is_stop_stored()));
            }
            attempt.phase == Phase::Unanswered || needs_stop(attempt)
        });
        due
    }
}

/// Returns whether the endpoint may not have executed the stop of a run yet.
fn needs_stop(attempt: &Attempt) -> bool {
    attempt.stop == StopPhase::Stored
}

fn is_retry_due(attempt: &Attempt, now: Now) -> bool {
    // A run whose stop is decided is not started, and the stop waits until it is stored.
    let is_waiting = (attempt.phase == Phase::Unanswered && !attempt.is_stopping())
        || (needs_stop(attempt) && attempt.phase != Phase::Inherited);
    is_waiting && now.steady_ms >= attempt.retry_at_ms
}
