//! Endpoints that start again under the id that they had.
//!
//! Calls name only the id of an endpoint, so an order for the earlier incarnation may be executed by
//! the next one. Its runs are therefore divided by the report of the next one: those that it lists,
//! and those that it may still start, continue there, and the others have ended. Starts of runs that
//! ended before are stopped there if a try of them may still be on its way.

use crate::{
    endpoints::PlacedRun,
    engine::Engine,
    event::{EndpointKey, Now},
    job::TaskRef,
    log_event::LogEvent,
    reports::EndpointReport,
    state::Phase,
};

/// Time after which a call without an answer is no longer executed, in milliseconds.
pub(crate) const LATE_CALL_MS: u64 = 15_000;

/// What becomes of a run when another incarnation with the same id has responded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    /// It has ended with the earlier incarnation.
    Over,
    /// The next incarnation lists it, or its next report shows whether it does.
    Continues,
    /// The next incarnation may still start it, which a stop rules out.
    MayStart,
}

impl Engine {
    /// Handles a report of another incarnation, received in response to a renewal for an earlier one.
    pub(crate) fn successor_responded(
        &mut self,
        replaced: EndpointKey,
        report: &EndpointReport,
        now: Now,
    ) {
        let Some(born_ms) = report.born_ms else {
            return;
        };
        let endpoints = &mut self.endpoints;
        let key = endpoints.find_or_insert_successor(replaced, born_ms, now.steady_ms);
        if endpoints.get(key).is_end_proved() {
            return self.endpoint_crashed(replaced, now);
        }
        self.resume_if_end_was_inferred(key, now);
        let endpoint = self.endpoints.get_mut(key);
        endpoint.read_clock(report.clock_ms, now);
        endpoint.inherit_leases(self.settings.max_lease_ms);
        endpoint.needs_report = true;
        endpoint.renew_at_ms = now.steady_ms;
        self.replace_incarnation(replaced, key, report, now);
        self.renew_lease(key, now);
    }

    /// Ends the earlier incarnations with the same id when their successor has responded.
    pub(crate) fn replace_predecessor(
        &mut self,
        key: EndpointKey,
        report: &EndpointReport,
        now: Now,
    ) {
        let endpoint = self.endpoints.get_mut(key);
        let mut earlier = endpoint.predecessor.take();
        if earlier.is_some() {
            // Starts for the predecessor carry deadlines on its clock, which only the endpoint bounds.
            endpoint.inherit_leases(self.settings.max_lease_ms);
        }
        while let Some(predecessor) = earlier {
            earlier = self.endpoints.get_mut(predecessor).predecessor.take();
            if self.endpoints.get(predecessor).is_end_proved() {
                self.pass_on_late_starts(predecessor, key, now);
            } else {
                self.replace_incarnation(predecessor, key, report, now);
            }
        }
    }

    fn replace_incarnation(
        &mut self,
        from: EndpointKey,
        to: EndpointKey,
        report: &EndpointReport,
        now: Now,
    ) {
        let placed_runs = self.endpoints.get(from).placed_runs.clone();
        let is_listed = |placed: &PlacedRun| report.lists_run(&placed.task, placed.run);
        let mut charged = self.tasks_to_charge(from);
        charged.retain(|known| {
            let mut listed = placed_runs.iter().filter(|placed| is_listed(placed));
            !listed.any(|placed| placed.task == known.task())
        });
        let mut moved_runs = 0;
        for placed in &placed_runs {
            let fate = self.fate(placed, is_listed(placed), now);
            if fate != Fate::Over {
                self.move_run(placed, from, to, now);
                moved_runs += 1;
            }
            if fate == Fate::MayStart {
                self.rule_out_start(&placed.task, placed.run, now);
            }
        }
        let endpoint = self.endpoints.get(from);
        self.log_events.push(LogEvent::EndpointRestarted {
            endpoint: endpoint.id.clone(),
            born_ms: self.endpoints.get(to).born_ms,
            replaced_born_ms: endpoint.born_ms,
            moved_runs,
        });
        if self.ends_unexpectedly(from) {
            let pool = &self.endpoints.get(from).pool;
            self.recent_crashes.record(from, pool, now);
        }
        self.end_incarnation(from, charged, now);
        self.pass_on_late_starts(from, to, now);
    }

    /// Stops runs that have ended and that the next incarnation may start.
    fn pass_on_late_starts(&mut self, from: EndpointKey, to: EndpointKey, now: Now) {
        let late_starts = std::mem::take(&mut self.endpoints.get_mut(from).late_starts);
        for mut start in late_starts {
            start.stop_at_ms = Some(now.steady_ms);
            self.endpoints.get_mut(to).add_late_start(start, now);
        }
        self.send_late_stops(to, now);
    }

    fn fate(&self, placed: &PlacedRun, is_listed: bool, now: Now) -> Fate {
        let Some(attempt) = self.attempt(&placed.task, placed.run) else {
            return Fate::Over;
        };
        // A report of the earlier incarnation has listed it.
        let was_listed = attempt.progress_clock_ms.is_some();
        match attempt.phase {
            _ if is_listed => Fate::Continues,
            Phase::Placed => Fate::Over,
            Phase::Ordered | Phase::Unanswered => Fate::MayStart,
            Phase::Confirmed | Phase::Inherited if attempt.has_late_try(now) => {
                if was_listed || attempt.is_stopping() {
                    Fate::MayStart
                } else {
                    Fate::Continues
                }
            }
            Phase::Confirmed | Phase::Inherited if was_listed => Fate::Over,
            Phase::Confirmed | Phase::Inherited => Fate::Continues,
        }
    }

    /// Stops a run that its endpoint may still start, so that its task starts elsewhere only once
    /// that is ruled out.
    pub(crate) fn rule_out_start(&mut self, task: &TaskRef, run: u32, now: Now) {
        let Some(attempt) = self.attempt_mut(task, run) else {
            return;
        };
        attempt.await_stop(now);
        if attempt.is_stop_stored() {
            attempt.retry_at_ms = now.steady_ms;
            self.track_unanswered(task, run);
        } else {
            self.stop_run(task, run, now);
        }
    }

    /// Moves a run that may be active to the next incarnation.
    fn move_run(&mut self, placed: &PlacedRun, from: EndpointKey, to: EndpointKey, now: Now) {
        let Ok(index) = self.search(placed.task.job) else {
            return;
        };
        let replaced = self.endpoints.get_mut(from);
        replaced.remove_run(&placed.task, placed.run, now.steady_ms);
        let endpoint = self.endpoints.get_mut(to);
        endpoint.add_run(*placed);
        let renewals = endpoint.renewals;
        self.jobs[index].is_dirty = true;
        if let Some(attempt) = self.attempt_mut(&placed.task, placed.run) {
            attempt.move_to(to, renewals, now);
        }
    }
}
