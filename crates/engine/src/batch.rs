//! Batches of records that are stored together, with the effects that depend on them.

use crate::{
    crash_history::changed_crash_history,
    engine::Engine,
    event::{CallerResponse, Effect, EndpointKey, Now, StartOrder, VmOutcome},
    job::{JobId, JobState},
    log_event::{LogEvent, RunEnd},
    state::Phase,
    stored::{Record, progress_record, spec_record},
};

/// Records to store together, and the effects that the commit releases.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records to store.
    pub records: Vec<Record>,
    effects: Vec<Effect>,
    visible_states: Vec<(JobId, JobState)>,
    stored_ends: Vec<(EndpointKey, u64)>,
}

impl Batch {
    /// Merges another batch, which has no records, into this one.
    pub fn merge(&mut self, mut other: Self) {
        self.records.append(&mut other.records);
        self.effects.append(&mut other.effects);
        self.visible_states.append(&mut other.visible_states);
        self.stored_ends.append(&mut other.stored_ends);
    }
}

impl Engine {
    /// Starts what can be started, and collects all changes in a batch.
    pub fn take_batch(&mut self, now: Now) -> Batch {
        self.refresh_open_steps();
        // Starts need a lease.
        if self.is_schedule_due && self.may_extend_leases {
            self.is_schedule_due = false;
            self.schedule(now);
        }
        let mut batch = Batch {
            records: std::mem::take(&mut self.other_records),
            effects: Vec::new(),
            visible_states: Vec::new(),
            stored_ends: self.unacknowledged(),
        };
        self.add_dirty_jobs(&mut batch);
        batch.records.extend(self.wave_records());
        batch.records.extend(self.vm_records());
        batch.effects.append(&mut self.pending_effects);
        batch
    }

    /// Adds the records of changed jobs and the replies that depend on them.
    fn add_dirty_jobs(&mut self, batch: &mut Batch) {
        let mut ids = std::mem::take(&mut self.unstored_jobs);
        ids.extend(self.jobs.changed());
        ids.sort_unstable();
        ids.dedup();
        for id in ids {
            let Ok(index) = self.search(id) else {
                continue;
            };
            let job = self.jobs.get_mut_untracked(index);
            if !job.is_dirty {
                if job.crash_history.is_dirty {
                    batch.records.extend(changed_crash_history(job));
                }
                continue;
            }
            job.is_dirty = false;
            job.was_sent = true;
            if !job.is_spec_stored {
                job.is_spec_stored = true;
                batch.records.push(spec_record(job));
            }
            batch.records.push(progress_record(job, &self.endpoints));
            batch.records.extend(changed_crash_history(job));
            batch.visible_states.push((job.id, job.state));
            batch
                .effects
                .extend(job.waiting_callers.drain(..).map(|token| Effect::Reply {
                    token,
                    response: CallerResponse::Accepted,
                }));
        }
    }

    /// Records that a batch is stored, and returns the effects that this releases.
    pub fn committed(&mut self, batch: Batch, now: Now) -> Vec<Effect> {
        for (id, state) in batch.visible_states {
            if let Ok(index) = self.search(id) {
                let job = self.jobs.get_mut_untracked(index);
                job.visible_state = Some(state);
                if state.is_final() && !job.has_attempts() && !job.is_dirty {
                    self.drop_job_details(index);
                }
            }
        }
        for (key, number) in batch.stored_ends {
            let endpoint = self.endpoints.get_mut(key);
            endpoint.last_stored_end = endpoint.last_stored_end.max(number);
        }
        let mut released = Vec::with_capacity(batch.effects.len());
        for effect in batch.effects {
            match effect {
                Effect::Start(order) => {
                    released.extend(self.release_start(*order, now));
                }
                Effect::Stop { task, run, .. } if !self.stop_committed(&task, run) => {}
                // Another node may own the fleet by now and have given the VM an order.
                Effect::MoveVm { vm, call, .. } | Effect::MaintainVm { vm, call, .. }
                    if !self.may_order_vms =>
                {
                    self.vm_answered(&vm, call, VmOutcome::Refused, now);
                    self.log_events.push(LogEvent::VmOrderWithheld { vm });
                }
                other => released.push(other),
            }
        }
        released
    }

    /// Grants the lease of a start whose decision is stored.
    ///
    /// A start whose run was stopped in the meantime is never sent. A start of an account whose
    /// quota was reduced in the meantime, or on an endpoint whose capacity was or that is draining
    /// by now, is dropped here, and so is any while leases may not be extended.
    fn release_start(&mut self, mut order: StartOrder, now: Now) -> Option<Effect> {
        let index = self.search(order.task.job).ok()?;
        let account = self.jobs[index].account_number;
        let task = self.jobs.get_mut_untracked(index).task_mut(&order.task)?;
        let attempt = task
            .attempts
            .iter_mut()
            .find(|attempt| attempt.run == order.run && attempt.endpoint == order.endpoint)?;
        let endpoint = self.endpoints.get_mut(order.endpoint);
        if attempt.is_stopping() || endpoint.has_ended {
            return None;
        }
        let has_room = endpoint.has_room_for(&order.task, order.run);
        let is_allowed = self.may_extend_leases && has_room && !endpoint.is_draining;
        if !is_allowed || self.quotas.is_exceeded(account) {
            self.remove_attempt(&order.task, order.run, RunEnd::NeverOrdered, now);
            return None;
        }
        order.deadline_ms = endpoint.grant_lease(now, self.settings.lease_ms)?;
        attempt.phase = Phase::Ordered;
        order.ticket = self.ticket_for(&order.task, order.endpoint, now);
        Some(Effect::Start(Box::new(order)))
    }

    /// Returns the run ends processed since the last batch.
    fn unacknowledged(&mut self) -> Vec<(EndpointKey, u64)> {
        let mut keys = std::mem::take(&mut self.unstored_ends);
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter()
            .map(|key| (key, self.endpoints.get(key).last_processed_end))
            .collect()
    }
}
