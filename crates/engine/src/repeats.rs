//! Orders without answer: repeated until their outcome is known.

use crate::{
    attempts::{find_attempt, start_order},
    endpoints::SUSPECT_AFTER_FAILED_CALLS,
    engine::{Engine, ORDER_RETRY_MS},
    event::{Effect, EndpointKey, Now},
    job::TaskRef,
    state::{Attempt, Phase},
};

impl Engine {
    /// Repeats orders without answer; a start names the same run, so it happens once. Starts of an
    /// account that is above its quota wait.
    pub(crate) fn repeat_orders(&mut self, now: Now) {
        for (task, run, key, is_stop) in self.due_orders(now) {
            let endpoint = self.endpoints.get_mut(key);
            if endpoint.failed_calls >= SUSPECT_AFTER_FAILED_CALLS || !endpoint.is_reachable() {
                continue;
            }
            if is_stop {
                self.immediate_effects.push(Effect::Stop {
                    endpoint: key,
                    task,
                    run,
                });
            } else if let Ok(place) = self.jobs.search(task.job)
                && !self.quotas.is_exceeded(self.jobs[place].account_number)
                && let Some(deadline_ms) = endpoint.grant_lease(now, self.settings.lease_ms)
            {
                let mut order = start_order(&self.jobs[place], key, &task, run, deadline_ms);
                order.ticket = self.ticket_for(&task, key, now);
                self.immediate_effects.push(Effect::Start(Box::new(order)));
            }
        }
    }

    /// Notes that an order for a run may have to be repeated.
    pub(crate) fn await_answer(&mut self, task: &TaskRef, run: u32) {
        if let Err(place) = self.unanswered.binary_search(&(*task, run)) {
            self.unanswered.insert(place, (*task, run));
        }
    }

    /// Returns the orders to repeat now: task, run, endpoint, and whether it is a stop.
    fn due_orders(&mut self, now: Now) -> Vec<(TaskRef, u32, EndpointKey, bool)> {
        let mut due = Vec::new();
        let jobs = &mut self.jobs;
        self.unanswered.retain(|(task, run)| {
            let Ok(place) = jobs.search(task.job) else {
                return false;
            };
            let Some(attempt) = find_attempt(jobs.quiet_mut(place), task, *run) else {
                return false;
            };
            if needs_repeat(attempt, now) {
                attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
                due.push((*task, *run, attempt.endpoint, attempt.is_stop_stored));
            }
            attempt.phase == Phase::Unanswered || attempt.is_stop_stored
        });
        due
    }
}

fn needs_repeat(attempt: &Attempt, now: Now) -> bool {
    let is_waiting = attempt.phase == Phase::Unanswered
        || (attempt.is_stop_stored && attempt.phase != Phase::Inherited);
    is_waiting && now.steady_ms >= attempt.retry_at_ms
}
