//! Runs of tasks: starts, stops, and ends reported by endpoints.

use {
    crate::{
        endpoints::LateStart,
        engine::{Engine, ORDER_RETRY_MS},
        event::{CallOutcome, Effect, EndpointKey, Now, Refusal, StartOrder},
        job::{JobState, TaskRef},
        listed_runs::STOP_LIMIT_MS,
        log_event::{LogEvent, RefusedOrder, RunEnd, RunOrder},
        reports::{EndKind, EndedTask},
        restarts::LATE_CALL_MS,
        state::{Attempt, Job, Phase, StopPhase},
    },
    compact_str::CompactString,
};

/// Cooldown of an endpoint after one failed run, in milliseconds. Meanwhile other runs show whether
/// the endpoint or the task is at fault.
const FIRST_COOLDOWN_MS: u64 = 300;

/// Cooldown of an endpoint after several failed runs in a row, in milliseconds. Endpoint faults
/// last for seconds, and each further run uses up an attempt of its task.
const LONG_COOLDOWN_MS: u64 = 4_000;

/// Consecutive failed runs that cause the long cooldown.
const LONG_COOLDOWN_AFTER_FAILURES: u32 = 2;

/// Cooldown of an endpoint that refused an order, in milliseconds.
const REFUSAL_COOLDOWN_MS: u64 = 500;

/// Delay of a task whose order the endpoint considered malformed, in milliseconds.
const INVALID_PAUSE_MS: u64 = 2_000;

impl Engine {
    /// Stops a run, or removes it if its order was not sent yet.
    pub(crate) fn stop_run(&mut self, task: &TaskRef, run: u32, now: Now) {
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let Some(attempt) = find_attempt(&mut self.jobs[index], task, run) else {
            return;
        };
        if attempt.phase == Phase::Placed {
            self.remove_attempt(task, run, RunEnd::NeverOrdered, now);
            return;
        }
        if attempt.is_stopping() {
            return;
        }
        attempt.stop = StopPhase::Decided;
        attempt.stopping_since_ms = Some(now.steady_ms);
        attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
        let endpoint = attempt.endpoint;
        self.jobs[index].is_dirty = true;
        self.pending_effects.push(Effect::Stop {
            endpoint,
            task: *task,
            run,
        });
    }

    /// Removes a run that has ended or never started, and releases its resources.
    pub(crate) fn remove_attempt(&mut self, task: &TaskRef, run: u32, end: RunEnd, now: Now) {
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let job = &mut self.jobs[index];
        let Some(known) = job.task_mut(task) else {
            return;
        };
        let Some(at) = known.attempts.iter().position(|attempt| attempt.run == run) else {
            return;
        };
        let attempt = known.attempts.remove(at);
        job.is_dirty = true;
        if let Some(spec) = job.step_spec(task) {
            self.quotas.release(job.account_number, &spec.resources);
        }
        let endpoint = self.endpoints.get_mut(attempt.endpoint);
        endpoint.remove_run(task, run, now.steady_ms);
        let is_on_its_way = attempt.phase == Phase::Ordered && end != RunEnd::Refused;
        if attempt.has_late_try(now) || is_on_its_way {
            let start = LateStart {
                task: *task,
                run,
                until_ms: now.steady_ms + LATE_CALL_MS,
                stop_at_ms: None,
            };
            endpoint.add_late_start(start, now);
        }
        self.log_events.push(LogEvent::RunEnded {
            task: *task,
            run,
            endpoint: endpoint.id.clone(),
            end,
            after_ms: attempt.age_ms(now),
        });
        self.is_schedule_due = true;
        self.stop_gang(index, task, run, now);
    }

    /// Stops the other members of a gang if one ended before it was done.
    fn stop_gang(&mut self, index: usize, task: &TaskRef, run: u32, now: Now) {
        let job = &self.jobs[index];
        let is_gang = job.step_spec(task).is_some_and(|spec| spec.gang);
        let is_done = job.task(task).is_some_and(|task| task.is_done);
        if !is_gang || is_done {
            return;
        }
        let members: Vec<TaskRef> = job
            .tasks()
            .filter(|(task_ref, member)| {
                task_ref.is_sibling(task)
                    && member.attempts.iter().any(|attempt| attempt.run == run)
            })
            .map(|(task_ref, _)| task_ref)
            .collect();
        for member in members {
            self.stop_run(&member, run, now);
        }
    }

    pub(crate) fn start_answered(
        &mut self,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        outcome: &CallOutcome<u64>,
        now: Now,
    ) {
        match outcome {
            CallOutcome::Done(clock_ms) => {
                self.resume_if_end_was_inferred(key, now);
                self.endpoints.get_mut(key).read_clock(*clock_ms, now);
                if self.is_placed_on(key, task, run) {
                    self.confirm(key, task, run, now);
                    self.record_active(task, run, *clock_ms);
                } else {
                    self.verify_unknown_run(key, task, run, now);
                }
                self.renew_lease(key, now);
            }
            // The endpoint knows the run, and the next report contains its state.
            CallOutcome::Refused(Refusal::OldRun) => self.confirm(key, task, run, now),
            CallOutcome::Refused(refusal) => {
                self.start_refusal_cooldown(key, *refusal, now);
                if *refusal == Refusal::Ticket {
                    self.ticket_refused(task, key);
                }
                if *refusal == Refusal::Invalid {
                    self.delay_task(task, now.steady_ms + INVALID_PAUSE_MS);
                }
                self.start_failed(task, run, now);
                // No retry succeeds there. A stop shows that an earlier try cannot take effect any
                // more, so that the task may start elsewhere.
                let is_unanswered = self
                    .attempt(task, run)
                    .is_some_and(|attempt| attempt.phase == Phase::Unanswered);
                if is_unanswered && matches!(refusal, Refusal::Invalid | Refusal::Ticket) {
                    if let Some(attempt) = self.attempt_mut(task, run) {
                        attempt.is_rejected = true;
                    }
                    self.stop_run(task, run, now);
                }
                self.log_refusal(RunOrder::Start, key, task, run, *refusal);
            }
            CallOutcome::Unsent => {
                if !self.forget_origin(task) {
                    self.call_failed(key, now);
                }
                self.start_failed(task, run, now);
            }
            CallOutcome::Unknown => {
                self.call_failed(key, now);
                if let Some(attempt) = self.attempt_mut(task, run) {
                    attempt.may_start_late = true;
                    attempt.unanswered_at_ms = now.steady_ms;
                    if attempt.phase == Phase::Ordered {
                        attempt.phase = Phase::Unanswered;
                        attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
                        self.track_unanswered(task, run);
                    }
                }
            }
            CallOutcome::OtherLife => {
                self.start_failed(task, run, now);
                self.endpoint_crashed(key, now);
            }
            CallOutcome::Fenced => self.immediate_effects.push(Effect::StepDown),
        }
    }

    /// Makes later starts of a job include its payload; returns whether they did not before.
    ///
    /// A start may have been unsent because the node that kept the payload is gone. The endpoint
    /// counts as unreachable only if a start that includes the payload fails.
    fn forget_origin(&mut self, task: &TaskRef) -> bool {
        let Ok(index) = self.search(task.job) else {
            return false;
        };
        self.jobs.get_mut_untracked(index).origin.take().is_some()
    }

    fn start_refusal_cooldown(&mut self, key: EndpointKey, refusal: Refusal, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.cooldown_until_ms = now.steady_ms + REFUSAL_COOLDOWN_MS;
        if refusal == Refusal::Late {
            // The clock reading is inaccurate; nothing starts before a report provides a new one.
            endpoint.is_reconciled = false;
            endpoint.renew_at_ms = now.steady_ms;
        }
    }

    fn delay_task(&mut self, task: &TaskRef, until_ms: u64) {
        if let Ok(index) = self.search(task.job)
            && let Some(known) = self.jobs[index].task_mut(task)
        {
            known.not_before_ms = until_ms;
        }
    }

    /// Removes a run whose start was refused, or retries it if an earlier order may still take
    /// effect.
    fn start_failed(&mut self, task: &TaskRef, run: u32, now: Now) {
        let Some(attempt) = self.attempt_mut(task, run) else {
            return;
        };
        // An earlier try has started it; the refusal is of a repeated one.
        if attempt.phase == Phase::Confirmed {
            return;
        }
        if attempt.may_start_late {
            attempt.phase = Phase::Unanswered;
            attempt.retry_at_ms = now.steady_ms + ORDER_RETRY_MS;
            self.track_unanswered(task, run);
        } else if matches!(attempt.phase, Phase::Ordered | Phase::Unanswered) {
            self.remove_attempt(task, run, RunEnd::Refused, now);
        }
    }

    /// Records that an endpoint has confirmed a run.
    pub(crate) fn confirm(&mut self, key: EndpointKey, task: &TaskRef, run: u32, now: Now) {
        let renewals = self.endpoints.get(key).renewals;
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let job = self.jobs.get_mut_untracked(index);
        let Some(attempt) = find_attempt(job, task, run) else {
            return;
        };
        if attempt.phase != Phase::Confirmed {
            attempt.phase = Phase::Confirmed;
            attempt.confirmed_at_renewal = renewals;
        }
        let is_stop_stored = attempt.is_stop_stored();
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            // No other state depends on this one, so it is visible before it is stored.
            if job.visible_state == Some(JobState::Queued) {
                job.visible_state = Some(JobState::Running);
            }
        }
        // An idle endpoint is renewed rarely; now a run may end at any time.
        let endpoint = self.endpoints.get_mut(key);
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
        if is_stop_stored && self.may_send_stop(task, run) {
            self.send_stop(key, task, run, now);
        }
    }

    pub(crate) fn stop_answered(
        &mut self,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        outcome: &CallOutcome<u64>,
        now: Now,
    ) {
        match outcome {
            CallOutcome::Done(clock_ms) => {
                self.resume_if_end_was_inferred(key, now);
                self.endpoints.get_mut(key).read_clock(*clock_ms, now);
                self.stop_executed(key, task, run, now);
            }
            // That run or a later one was stopped or has ended there.
            CallOutcome::Refused(Refusal::OldRun) => self.stop_executed(key, task, run, now),
            // Nothing was done: the run may be active, or an earlier start may still take effect.
            CallOutcome::Refused(refusal) => {
                self.log_refusal(RunOrder::Stop, key, task, run, *refusal);
            }
            CallOutcome::Unsent | CallOutcome::Unknown => self.call_failed(key, now),
            CallOutcome::OtherLife => self.endpoint_crashed(key, now),
            CallOutcome::Fenced => self.immediate_effects.push(Effect::StepDown),
        }
    }

    /// Records that an endpoint has executed a stop: the run can no longer start there, and a
    /// report requested from now on shows whether it has ended.
    fn stop_executed(&mut self, key: EndpointKey, task: &TaskRef, run: u32, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
        let renewals = endpoint.renewals;
        for start in &mut endpoint.late_starts {
            if start.task == *task && start.run <= run {
                start.stop_at_ms = None;
            }
        }
        if let Some(attempt) = self.attempt_mut(task, run)
            && attempt.endpoint == key
        {
            attempt.phase = Phase::Confirmed;
            attempt.confirmed_at_renewal = renewals;
            attempt.stop = StopPhase::Executed;
            attempt.may_start_again = false;
            attempt.retry_at_ms = now.steady_ms + STOP_LIMIT_MS;
        }
    }

    /// Adds a refused order to the log, with the time until its next try if it has one.
    fn log_refusal(
        &mut self,
        order: RunOrder,
        key: EndpointKey,
        task: &TaskRef,
        run: u32,
        refusal: Refusal,
    ) {
        let is_repeated = self.attempt(task, run).is_some_and(|attempt| match order {
            RunOrder::Start => attempt.phase == Phase::Unanswered && !attempt.is_stopping(),
            RunOrder::Stop => true,
        });
        let retry_ms = is_repeated.then_some(ORDER_RETRY_MS);
        let endpoint = self.endpoints.get(key).id.clone();
        self.log_events.push(LogEvent::OrderRefused(RefusedOrder {
            order,
            task: *task,
            run,
            endpoint,
            refusal,
            retry_ms,
        }));
    }

    /// Processes the end of a run.
    pub(crate) fn run_ended(&mut self, key: EndpointKey, ended: &EndedTask, now: Now) {
        let Ok(index) = self.search(ended.task.job) else {
            return;
        };
        let job = &mut self.jobs[index];
        let Some(task) = job.task_mut(&ended.task) else {
            return;
        };
        let is_known = task.attempts.iter().any(|attempt| attempt.run == ended.run);
        if !ended.checkpoint.is_empty() && !task.is_done {
            task.checkpoint.clone_from(&ended.checkpoint);
        }
        match ended.kind {
            EndKind::Done => {
                self.endpoints.get_mut(key).failed_runs = 0;
                self.run_done(index, &ended.task, ended.run, now);
            }
            EndKind::Failed if is_known => self.run_failed(index, key, ended, now),
            kind => self.remove_attempt(&ended.task, ended.run, RunEnd::Reported(kind), now),
        }
    }

    fn run_done(&mut self, index: usize, task_ref: &TaskRef, run: u32, now: Now) {
        let job = &mut self.jobs[index];
        job.is_dirty = true;
        // Without a description a task counts as one that ends once.
        let spec = job.step_spec(task_ref);
        let is_long_running = spec.is_some_and(|spec| spec.long_running);
        let is_gang = spec.is_some_and(|spec| spec.gang);
        if is_long_running {
            self.clear_crashes(task_ref);
            self.remove_attempt(task_ref, run, RunEnd::Reported(EndKind::Done), now);
            return;
        }
        let names: Vec<TaskRef> = if is_gang {
            // The end of one member completes the whole gang.
            job.tasks()
                .map(|(other, _)| other)
                .filter(|other| other.is_sibling(task_ref))
                .collect()
        } else {
            vec![*task_ref]
        };
        for member in &names {
            if let Some(task) = self.jobs[index].task_mut(member) {
                task.is_done = true;
                task.checkpoint = CompactString::default();
            }
        }
        self.remove_attempt(task_ref, run, RunEnd::Reported(EndKind::Done), now);
        for member in &names {
            let runs: Vec<u32> = self.jobs[index]
                .task(member)
                .map(|task| task.attempts.iter().map(|attempt| attempt.run).collect())
                .unwrap_or_default();
            for other in runs {
                self.stop_run(member, other, now);
            }
        }
        self.is_schedule_due = true;
        self.complete_job_if_done(index, now);
    }

    /// Completes a job when every task is done.
    fn complete_job_if_done(&mut self, index: usize, now: Now) {
        let job = &mut self.jobs[index];
        // Without a description it is unknown whether further occurrences follow.
        if job.has_spec() && job.drop_done_occurrences() && !job.state.is_final() {
            job.state = JobState::Completed;
            job.is_dirty = true;
            job.ended_ms = now.steady_ms;
            self.log_events.push(LogEvent::JobEnded {
                job: job.id,
                state: job.state,
                after_ms: now.wall_ms.saturating_sub(job.accepted_ms),
            });
        }
    }

    fn run_failed(&mut self, index: usize, key: EndpointKey, ended: &EndedTask, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.failed_runs += 1;
        let cooldown_ms = if endpoint.failed_runs >= LONG_COOLDOWN_AFTER_FAILURES {
            LONG_COOLDOWN_MS
        } else {
            FIRST_COOLDOWN_MS
        };
        endpoint.cooldown_until_ms = endpoint.cooldown_until_ms.max(now.steady_ms + cooldown_ms);
        let max_attempts = self.jobs[index].queue.max_attempts;
        let job = &mut self.jobs[index];
        let has_spec = job.has_spec();
        let is_long_running = job
            .step_spec(&ended.task)
            .is_some_and(|spec| spec.long_running);
        let mut has_exhausted_attempts = false;
        if let Some(task) = job.task_mut(&ended.task) {
            task.failed_runs += 1;
            task.avoided_endpoint = Some(key);
            has_exhausted_attempts =
                has_spec && !is_long_running && task.failed_runs >= max_attempts;
        }
        self.remove_attempt(
            &ended.task,
            ended.run,
            RunEnd::Reported(EndKind::Failed),
            now,
        );
        if has_exhausted_attempts && !self.jobs[index].state.is_final() {
            self.end_job(index, JobState::Failed, now);
        }
    }
}

impl Engine {
    /// Records that the decision to stop a run is stored; returns whether the order may be sent.
    ///
    /// A stop is neither sent nor retried before it is stored: a successor that does not know of it
    /// would interrupt further tasks of the step beyond the budget. Other tasks of the step may
    /// have been lost while the store was unavailable, and the decision is then reverted.
    pub(crate) fn stop_committed(&mut self, task: &TaskRef, run: u32) -> bool {
        let Ok(index) = self.search(task.job) else {
            return false;
        };
        let may_stop = self.may_send_stop(task, run);
        let job = &mut self.jobs[index];
        let Some(attempt) = find_attempt(job, task, run) else {
            return false;
        };
        attempt.stop = if may_stop {
            attempt.stop.max(StopPhase::Stored)
        } else {
            StopPhase::None
        };
        job.is_dirty |= !may_stop;
        if may_stop {
            self.track_unanswered(task, run);
        }
        may_stop
    }

    /// Returns whether the order to stop a run may be sent now, within its step's budget unless the
    /// run ends in any case or cannot start.
    pub(crate) fn may_send_stop(&self, task: &TaskRef, run: u32) -> bool {
        let job = self.jobs.get(task.job);
        job.is_some_and(|job| job.state.is_final())
            || self.is_endpoint_draining(task, run)
            || self.is_start_hopeless(task, run)
            || self.can_interrupt(task)
    }

    /// Returns whether a start is unanswered, and its retries are rejected or no longer fit the
    /// endpoint.
    fn is_start_hopeless(&self, task: &TaskRef, run: u32) -> bool {
        self.attempt(task, run).is_some_and(|attempt| {
            let endpoint = self.endpoints.get(attempt.endpoint);
            let is_hopeless = attempt.is_rejected || !endpoint.has_room_for(task, run);
            attempt.phase == Phase::Unanswered && is_hopeless
        })
    }

    /// Returns whether the endpoint of a run is draining, which ends the run in any case.
    fn is_endpoint_draining(&self, task: &TaskRef, run: u32) -> bool {
        self.attempt(task, run)
            .is_some_and(|attempt| self.endpoints.get(attempt.endpoint).is_draining)
    }
}

impl Engine {
    pub(crate) fn attempt(&self, task: &TaskRef, run: u32) -> Option<&Attempt> {
        let attempts = &self.jobs.get(task.job)?.task(task)?.attempts;
        attempts.iter().find(|attempt| attempt.run == run)
    }

    /// Returns whether a run is placed on an endpoint.
    fn is_placed_on(&self, key: EndpointKey, task: &TaskRef, run: u32) -> bool {
        self.attempt(task, run)
            .is_some_and(|attempt| attempt.endpoint == key)
    }

    /// Returns a run for a change that does not have to be stored.
    pub(crate) fn attempt_mut(&mut self, task: &TaskRef, run: u32) -> Option<&mut Attempt> {
        let index = self.search(task.job).ok()?;
        find_attempt(self.jobs.get_mut_untracked(index), task, run)
    }
}

pub(crate) fn find_attempt<'a>(
    job: &'a mut Job,
    task: &TaskRef,
    run: u32,
) -> Option<&'a mut Attempt> {
    job.task_mut(task)?
        .attempts
        .iter_mut()
        .find(|attempt| attempt.run == run)
}

pub(crate) fn start_order(
    job: &Job,
    endpoint: EndpointKey,
    task: &TaskRef,
    run: u32,
    deadline_ms: u64,
) -> StartOrder {
    let checkpoint = job
        .task(task)
        .map(|known| known.checkpoint.clone())
        .unwrap_or_default();
    StartOrder {
        endpoint,
        task: *task,
        run,
        payload: job.spec.payload.clone(),
        origin: job.origin,
        deadline_ms,
        checkpoint,
        ticket: CompactString::default(),
    }
}
