//! Registration, leases and reports of endpoints.

use crate::{
    crashes::{ChargedTask, Suspicion},
    endpoints::{LEASE_MARGIN_MS, PlacedRun, SUSPECT_AFTER_FAILED_CALLS},
    engine::Engine,
    event::{CallOutcome, Effect, EndpointKey, Now},
    job::TaskRef,
    log_event::{ExpiredLeases, LogEvent, MissingRun, RunEnd},
    reports::{EndpointEntry, EndpointReport},
    state::Phase,
};

/// Interval between renewals of an idle endpoint's lease, in milliseconds. Three renewals may fail
/// before the shortest lease expires.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// Time for which an endpoint may hold a renewal until a run ends, in milliseconds, so that ends
/// are reported without delay or extra calls.
const RENEW_WAIT_MS: u64 = 1_000;

/// Shorter hold time while finite tasks run, in milliseconds: a lost response delays their ends by
/// the whole hold time.
const BUSY_WAIT_MS: u64 = 300;

/// Shorter hold time while filler tasks run beside serving ones, in milliseconds: tail latencies
/// arrive only with responses, and a violation must be found well within a second.
const MIXED_WAIT_MS: u64 = 400;

/// Hold time while a suspect starts, in milliseconds: whether it survives its start decides what a crash
/// says about it, and the age of a run is known from reports only.
const SUSPECT_WAIT_MS: u64 = 100;

/// Delay of the next renewal after one that reported an end, in milliseconds. Runs tend to end
/// together, and one call then fetches several ends.
const RENEW_PAUSE_MS: u64 = 12;

/// Delay after a failed renewal, in milliseconds.
const RENEW_RETRY_MS: u64 = 250;

/// Longest time from the last response of a draining endpoint until its shutdown is detected, in
/// milliseconds. Registry entries of endpoints that are cut off expire later.
const MAX_SHUTDOWN_SILENCE_MS: u64 = 2_000;

/// Maximum age of the proof of the ownership at which an owner extends leases, in milliseconds, counted
/// from the sending of the last renewal or commit that was stored.
///
/// A successor counts on it, since an owner may be cut off together with endpoints that no other node
/// reaches. Leases outlast a store that is unavailable for this time and most of a lease.
pub const MAX_PROOF_AGE_MS: u64 = 1_200;

/// Longest duration of a time that a slow clock measures, in percent: 2 % slower, and 1 % for rounding
/// and delays.
const SLOW_CLOCK_PERCENT: u64 = 103;

impl Engine {
    pub(crate) fn register_endpoint(&mut self, entry: &EndpointEntry, is_fresh: bool, now: Now) {
        let Some(key) = self.endpoints.find_or_insert_listed(entry, now.steady_ms) else {
            return;
        };
        if let Some(predecessor) = self.endpoints.get(key).predecessor {
            self.deregister_incarnation(predecessor, now);
        }
        // A removed entry that is listed again was written since.
        self.resume_if_end_was_inferred(key, now);
        if self.endpoints.get(key).has_ended {
            return;
        }
        let endpoint = self.endpoints.get_mut(key);
        if is_fresh && !endpoint.was_registered {
            self.fresh_entries += 1;
            endpoint.registration_order = self.fresh_entries;
        }
        let began_draining = entry.is_draining && !endpoint.is_draining;
        self.endpoints.update(key, entry);
        self.cordon_if_ordered(key);
        self.delay_starts_if_ordered(key);
        let endpoint = self.endpoints.get_mut(key);
        if !endpoint.is_reconciled && !endpoint.is_renewing {
            endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
        }
        if began_draining {
            self.stop_long_running_runs(key, now);
        }
        self.renew_lease(key, now);
        self.is_schedule_due = true;
    }

    /// Resumes calls to an incarnation that has shown to be active, if its end was only inferred.
    pub(crate) fn resume_if_end_was_inferred(&mut self, key: EndpointKey, now: Now) {
        if !self.endpoints.get(key).is_end_inferred {
            return;
        }
        let endpoint = self.endpoints.get_mut(key);
        endpoint.resume(now);
        self.log_events.push(LogEvent::EndpointResumed {
            endpoint: endpoint.id.clone(),
            after_ms: now.steady_ms.saturating_sub(endpoint.ended_at_ms),
        });
    }

    /// Ends other incarnations at the address or on the VM of one that has just responded.
    ///
    /// Only a response proves which incarnation is current. The order of registry entries does not,
    /// as an entry may be written seconds after its incarnation has ended.
    fn end_replaced_incarnations(&mut self, key: EndpointKey, now: Now) {
        for other in self.endpoints.others_at_location(key) {
            self.endpoint_crashed(other, now);
        }
    }

    /// Stops the long-running tasks of a draining endpoint, so that they continue elsewhere.
    fn stop_long_running_runs(&mut self, key: EndpointKey, now: Now) {
        let long_running: Vec<(TaskRef, u32)> = self
            .endpoints
            .get(key)
            .placed_runs
            .iter()
            .filter(|placed| placed.is_long_running)
            .map(|placed| (placed.task, placed.run))
            .collect();
        for (task, run) in long_running {
            self.stop_run(&task, run, now);
        }
    }

    pub(crate) fn deregister_endpoint(&mut self, id: &str, now: Now) {
        if let Some(key) = self.endpoints.find(id) {
            self.deregister_incarnation(key, now);
        }
    }

    fn deregister_incarnation(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_registered = false;
        // A renewal now detects an ended incarnation before its lease expires.
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
        self.end_if_left(key, now);
    }

    /// Infers the end of a draining endpoint that is deregistered and whose process has ended.
    ///
    /// One that has been silent for longer may be cut off, and its entry may have expired.
    fn end_if_left(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get(key);
        if !endpoint.has_ended
            && endpoint.is_draining
            && !endpoint.is_registered
            && endpoint.has_closed
            && endpoint.has_responded_within(MAX_SHUTDOWN_SILENCE_MS, now)
        {
            self.endpoint_ended(key, now);
            self.endpoints.get_mut(key).is_end_inferred = true;
        }
    }

    /// Records that an incarnation has ended because a later one has responded in its place.
    pub(crate) fn endpoint_crashed(&mut self, key: EndpointKey, now: Now) {
        if self.ends_unexpectedly(key) {
            let pool = &self.endpoints.get(key).pool;
            self.recent_crashes.record(key, pool, now);
        }
        self.endpoint_ended(key, now);
    }

    /// Records that an incarnation has ended, and removes its runs.
    pub(crate) fn endpoint_ended(&mut self, key: EndpointKey, now: Now) {
        let tasks_to_charge = self.tasks_to_charge(key);
        self.end_incarnation(key, tasks_to_charge, now);
    }

    /// Records that an incarnation has ended, removes its runs, and charges these tasks with a crash.
    pub(crate) fn end_incarnation(
        &mut self,
        key: EndpointKey,
        tasks_to_charge: Vec<ChargedTask>,
        now: Now,
    ) {
        let endpoint = self.endpoints.get_mut(key);
        if !endpoint.has_ended {
            self.log_events.push(LogEvent::EndpointEnded {
                endpoint: endpoint.id.clone(),
                vm: endpoint.vm().clone(),
                runs: endpoint.placed_runs.len(),
            });
        }
        if !endpoint.has_ended {
            endpoint.ended_at_ms = now.steady_ms;
        }
        endpoint.has_ended = true;
        endpoint.is_end_inferred = false;
        endpoint.is_registered = false;
        self.remove_runs(key, RunEnd::EndpointOver, now);
        self.forget_lost_tasks(key);
        for crashed in tasks_to_charge {
            self.charge_crash(key, crashed, now);
        }
    }

    fn remove_runs(&mut self, key: EndpointKey, end: RunEnd, now: Now) {
        let lost: Vec<(TaskRef, u32)> = self
            .endpoints
            .get(key)
            .placed_runs
            .iter()
            .map(|placed| (placed.task, placed.run))
            .collect();
        for (task, run) in lost {
            self.remove_attempt(&task, run, end, now);
        }
    }

    /// Records a call that got no response.
    pub(crate) fn call_failed(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.failed_calls += 1;
        endpoint.listed_ends = None;
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms + RENEW_RETRY_MS);
    }

    /// Removes the runs of unresponsive endpoints whose leases have expired.
    pub(crate) fn expire_leases(&mut self, now: Now) {
        let expired: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                let is_unresponsive =
                    endpoint.failed_calls >= SUSPECT_AFTER_FAILED_CALLS || !endpoint.is_reachable();
                is_unresponsive
                    && !endpoint.placed_runs.is_empty()
                    && endpoint.is_lease_expired(now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            let endpoint = self.endpoints.get_mut(key);
            endpoint.is_reconciled = false;
            self.log_events.push(LogEvent::LeasesExpired(ExpiredLeases {
                endpoint: endpoint.id.clone(),
                runs: endpoint.placed_runs.len(),
                silent_ms: endpoint.silent_ms(now),
                failed_calls: endpoint.failed_calls,
            }));
            self.record_lost_tasks(key);
            self.remove_runs(key, RunEnd::LeaseOver, now);
        }
    }

    /// Allows or forbids to extend the leases of endpoints, and to start anything there. Both are
    /// allowed while the proof of the ownership is not older than [`MAX_PROOF_AGE_MS`].
    pub fn allow_lease_extensions(&mut self, is_allowed: bool) {
        self.may_extend_leases = is_allowed;
    }

    /// Sends the renewals that are due.
    pub(crate) fn renew_leases(&mut self, now: Now) {
        for key in self.due_renewals(now) {
            self.renew_lease(key, now);
        }
    }

    fn due_renewals(&self, now: Now) -> Vec<EndpointKey> {
        let due = self.endpoints.iter();
        due.filter(|(_, endpoint)| endpoint.is_renewal_due(now))
            .map(|(key, _)| key)
            .collect()
    }

    /// Sends the renewal of an endpoint if it is due.
    pub(crate) fn renew_lease(&mut self, key: EndpointKey, now: Now) {
        if !self.endpoints.get(key).is_renewal_due(now) {
            return;
        }
        let has_starting_suspect = self.has_starting_suspect(key);
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_renewing = true;
        endpoint.renewals += 1;
        let is_trusted =
            endpoint.failed_calls < SUSPECT_AFTER_FAILED_CALLS && endpoint.is_reconciled;
        let deadline_ms = if is_trusted && self.may_extend_leases {
            endpoint.grant_lease(now, self.settings.lease_ms)
        } else {
            None
        };
        let wait_ms = if !is_trusted || endpoint.placed_runs.is_empty() {
            0
        } else if has_starting_suspect {
            SUSPECT_WAIT_MS
        } else if has_serving_and_filler(&endpoint.placed_runs) {
            MIXED_WAIT_MS
        } else if endpoint.placed_runs.len() > endpoint.long_running_runs {
            BUSY_WAIT_MS
        } else {
            RENEW_WAIT_MS
        };
        let acknowledged = endpoint.acknowledgeable_end();
        endpoint.acknowledged_end = endpoint.acknowledged_end.max(acknowledged);
        self.immediate_effects.push(Effect::Renew {
            endpoint: key,
            deadline_ms,
            acknowledged,
            wait_ms,
        });
    }

    pub(crate) fn renewal_answered(
        &mut self,
        key: EndpointKey,
        outcome: CallOutcome<EndpointReport>,
        now: Now,
    ) {
        self.endpoints.get_mut(key).is_renewing = false;
        match outcome {
            // The response of a replaced incarnation may arrive after that of its successor.
            CallOutcome::Done(_) if self.endpoints.get(key).is_end_proved() => return,
            CallOutcome::Done(report) if self.endpoints.get(key).is_replaced_by(report.born_ms) => {
                return self.successor_responded(key, &report, now);
            }
            CallOutcome::Done(report) => {
                self.resume_if_end_was_inferred(key, now);
                self.process_report(key, &report, now);
            }
            CallOutcome::OtherLife => self.endpoint_crashed(key, now),
            CallOutcome::Fenced => self.immediate_effects.push(Effect::StepDown),
            CallOutcome::Unsent => {
                self.endpoints.get_mut(key).has_closed = true;
                self.renewal_failed(key, now);
                self.end_if_left(key, now);
            }
            CallOutcome::Unknown | CallOutcome::Refused(_) => self.renewal_failed(key, now),
        }
        self.renew_lease(key, now);
    }

    fn renewal_failed(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.renew_at_ms = u64::MAX;
        self.call_failed(key, now);
    }

    fn process_report(&mut self, key: EndpointKey, report: &EndpointReport, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.read_clock(report.clock_ms, now);
        endpoint.born_ms = endpoint.born_ms.or(report.born_ms);
        endpoint.needs_report = false;
        let ends = report.ended.first().zip(report.ended.last());
        endpoint.listed_ends = ends.map(|(first, last)| (first.number, last.number));
        if !endpoint.is_reconciled {
            endpoint.is_reconciled = true;
            endpoint.inherit_leases(self.settings.lease_ms);
        }
        self.replace_predecessor(key, report, now);
        let endpoint = self.endpoints.get_mut(key);
        let renewal = endpoint.renewals;
        let last_processed_end = endpoint.last_processed_end;
        self.end_replaced_incarnations(key, now);
        self.forget_lost_tasks(key);
        for ended in report
            .ended
            .iter()
            .filter(|ended| ended.number > last_processed_end)
        {
            self.run_ended(key, ended, now);
        }
        if let Some(last) = report.ended.last() {
            let endpoint = self.endpoints.get_mut(key);
            endpoint.last_processed_end = endpoint.last_processed_end.max(last.number);
            self.unstored_ends.push(key);
        }
        for running in &report.running {
            self.process_running(key, running, report.clock_ms, now);
        }
        if !report.is_partial {
            self.remove_missing_runs(key, report, renewal, now);
        }
        self.stop_stuck_runs(key, report.clock_ms, now);
        self.adjust_pace(key, now);
        let endpoint = self.endpoints.get_mut(key);
        let pause_ms = if !report.ended.is_empty() {
            RENEW_PAUSE_MS
        } else if endpoint.placed_runs.is_empty() {
            RENEW_INTERVAL_MS
        } else {
            0
        };
        endpoint.renew_at_ms = now.steady_ms + pause_ms;
        self.is_schedule_due = true;
    }

    /// Removes runs that a report omits although they were confirmed before it was requested, and
    /// inherited runs that never reached the endpoint.
    fn remove_missing_runs(
        &mut self,
        key: EndpointKey,
        report: &EndpointReport,
        renewal: u64,
        now: Now,
    ) {
        let is_listed = |task: &TaskRef, run: u32| {
            report
                .running
                .iter()
                .any(|running| running.task == *task && running.run == run)
        };
        let endpoint = self.endpoints.get_mut(key);
        endpoint.unknown_runs.retain(|unknown| {
            renewal <= unknown.added_at_renewal || is_listed(&unknown.task, unknown.run)
        });
        let unlisted: Vec<(TaskRef, u32)> = endpoint
            .placed_runs
            .iter()
            .filter(|placed| !is_listed(&placed.task, placed.run))
            .map(|placed| (placed.task, placed.run))
            .collect();
        for (task, run) in unlisted {
            let attempt = self.attempt(&task, run);
            let is_over = attempt.is_some_and(|attempt| match attempt.phase {
                Phase::Inherited => true,
                Phase::Confirmed => renewal > attempt.confirmed_at_renewal,
                Phase::Placed | Phase::Ordered | Phase::Unanswered => false,
            });
            if is_over && attempt.is_some_and(|attempt| attempt.may_start_again) {
                self.rule_out_start(&task, run, now);
            } else if is_over {
                self.log_missing_run(key, &task, run);
                self.remove_attempt(&task, run, RunEnd::Missing, now);
            }
        }
    }

    fn log_missing_run(&mut self, key: EndpointKey, task: &TaskRef, run: u32) {
        let endpoint = self.endpoints.get(key);
        self.log_events.push(LogEvent::RunMissing(MissingRun {
            task: *task,
            run,
            endpoint: endpoint.id.clone(),
            born_ms: endpoint.born_ms,
            processed_end: endpoint.last_processed_end,
            acknowledged_end: endpoint.acknowledged_end,
            listed_ends: endpoint.listed_ends,
        }));
    }

    /// Reserves resources for the runs of a previous owner, and bounds the leases it may have
    /// granted.
    pub(crate) fn charge_inherited_runs(&mut self, now: Now) {
        let mut unanswered = Vec::new();
        for job in self.jobs.iter() {
            for (task_ref, task) in job.tasks() {
                for lost in &task.lost_runs {
                    self.endpoints
                        .get_mut(lost.endpoint)
                        .add_lost_task(task_ref);
                }
                for attempt in &task.attempts {
                    let placed = match job.step_spec(&task_ref) {
                        Some(spec) => {
                            self.quotas.charge(job.account_number, &spec.resources);
                            PlacedRun::new(task_ref, attempt.run, spec)
                        }
                        None => PlacedRun::new_unsized(task_ref, attempt.run),
                    };
                    let placed = placed.with_suspicion(Suspicion::of(task));
                    self.endpoints.get_mut(attempt.endpoint).add_run(placed);
                    if attempt.is_stop_stored() {
                        unanswered.push((task_ref, attempt.run));
                    }
                }
            }
        }
        unanswered.sort_unstable();
        self.unanswered_runs = unanswered;
        let granted_ms = (MAX_PROOF_AGE_MS + self.settings.lease_ms) * SLOW_CLOCK_PERCENT / 100;
        let bound_ms = now.steady_ms + granted_ms + LEASE_MARGIN_MS;
        for key in self.endpoints.keys().to_vec() {
            self.endpoints.get_mut(key).bound_unknown_leases(bound_ms);
        }
    }
}

/// Returns whether filler tasks run beside serving ones.
fn has_serving_and_filler(placed_runs: &[PlacedRun]) -> bool {
    placed_runs.iter().any(|run| run.is_filler) && placed_runs.iter().any(|run| run.is_serving)
}
