//! Batches: what has changed is stored together, and what rests on it is released then.

use crate::{
    engine::Engine,
    event::{CallerAnswer, Effect, EndpointKey, Now, StartOrder},
    job::{JobId, JobState},
    log_event::RunEnd,
    state::Phase,
    stored::{Record, progress_record, spec_record},
};

/// Records to store together, and what is released when they are.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records.
    pub records: Vec<Record>,
    effects: Vec<Effect>,
    visible_states: Vec<(JobId, JobState)>,
    stored_ends: Vec<(EndpointKey, u64)>,
}

impl Batch {
    /// Takes over what another batch without records releases.
    pub fn merge(&mut self, mut other: Self) {
        self.records.append(&mut other.records);
        self.effects.append(&mut other.effects);
        self.visible_states.append(&mut other.visible_states);
        self.stored_ends.append(&mut other.stored_ends);
    }
}

impl Engine {
    /// Cuts a batch: places what can start, and gathers what has changed.
    pub fn take_batch(&mut self, now: Now) -> Batch {
        self.refresh_open_steps();
        if self.is_schedule_due {
            self.is_schedule_due = false;
            self.schedule(now);
        }
        let mut batch = Batch {
            records: std::mem::take(&mut self.deletions),
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

    /// Adds the records of the jobs that differ from what is stored, and what waits for them.
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
                continue;
            }
            job.is_dirty = false;
            if !job.is_spec_stored {
                job.is_spec_stored = true;
                batch.records.push(spec_record(job));
            }
            batch.records.push(progress_record(job, &self.endpoints));
            batch.visible_states.push((job.id, job.state));
            batch
                .effects
                .extend(job.waiting_callers.drain(..).map(|token| Effect::Reply {
                    token,
                    answer: CallerAnswer::Accepted,
                }));
        }
    }

    /// Records that a batch is stored, and returns what it releases.
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
                other => released.push(other),
            }
        }
        released
    }

    /// Fills in a start's lease when its decision is stored.
    ///
    /// A start whose run was given up in the meantime was never sent, and so never will be. One whose
    /// account's quota was cut in the meantime is given up here.
    fn release_start(&mut self, mut order: StartOrder, now: Now) -> Option<Effect> {
        let index = self.search(order.task.job).ok()?;
        let account = self.jobs[index].account_number;
        let task = self.jobs.get_mut_untracked(index).task_mut(&order.task)?;
        let attempt = task
            .attempts
            .iter_mut()
            .find(|attempt| attempt.run == order.run)?;
        let endpoint = self.endpoints.get_mut(order.endpoint);
        if attempt.is_stopping || endpoint.has_ended {
            return None;
        }
        if self.quotas.is_exceeded(account) {
            self.remove_attempt(&order.task, order.run, RunEnd::NeverOrdered, now);
            return None;
        }
        order.deadline_ms = endpoint.grant_lease(now, self.settings.lease_ms)?;
        attempt.phase = Phase::Ordered;
        order.ticket = self.ticket_for(&order.task, order.endpoint, now);
        Some(Effect::Start(Box::new(order)))
    }

    /// Returns the ends taken into account since the last batch.
    fn unacknowledged(&mut self) -> Vec<(EndpointKey, u64)> {
        let mut keys = std::mem::take(&mut self.unstored_ends);
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter()
            .map(|key| (key, self.endpoints.get(key).last_processed_end))
            .collect()
    }
}
