//! Placement: which waiting task starts next, and on which endpoint.

use {
    crate::{
        attempts::start_order,
        endpoint_table::EndpointTable,
        endpoints::{Endpoint, PlacedRun},
        engine::Engine,
        event::{Effect, EndpointKey, Now},
        free_capacity::FreeSlot,
        job::{Resources, StepSpec, TaskRef},
        log_event::{LogEvent, QuotaWait, ShareWait},
        open_steps::OpenStep,
        quota::AccountNumber,
        state::{Attempt, Job},
    },
    compact_str::CompactString,
};

/// An endpoint with its remaining capacity during the placement of a step.
#[derive(Clone, Debug)]
struct Slot {
    key: EndpointKey,
    free: Resources,
    siblings: u16,
}

/// Reasons against an endpoint for a task, compared lexicographically. The lowest value wins, and
/// among equals the fullest endpoint.
///
/// Packing tasks tightly leaves whole VMs empty, which can then be moved or switched off.
type Mismatch = (bool, bool, usize);

const NO_MISMATCH: Mismatch = (false, false, 0);

impl Engine {
    /// Starts waiting tasks by urgency. Tasks of accounts that have excess demand and have reached
    /// their fair share come last.
    pub(crate) fn schedule(&mut self, now: Now) {
        self.refresh_free_capacity(now);
        // Account quotas are unknown until a configuration arrives.
        if self.config.version == 0 {
            return;
        }
        self.open_steps.sort(now);
        let mut over_share = Vec::new();
        let mut index = 0;
        while let Some(step) = self.open_steps.waiting_at(index) {
            index += 1;
            if self.has_reached_share(step.account) {
                over_share.push(step.clone());
            } else if self
                .free_capacity
                .has_slot(step.pool, step.reserved.cpu_millis)
            {
                let step = step.clone();
                self.place_within_quota(&step, now);
            }
        }
        for step in over_share {
            if self
                .free_capacity
                .has_slot(step.pool, step.reserved.cpu_millis)
            {
                self.place_within_quota(&step, now);
            }
            self.log_share_wait(&step, now);
        }
    }

    fn place_within_quota(&mut self, step: &OpenStep, now: Now) {
        if self.quotas.startable_runs(step.account, &step.requested) > 0 {
            self.place_step(step, now);
        } else {
            self.log_quota_wait(step, now);
        }
    }

    /// Finds the accounts with excess demand while capacity is short, and their fair shares.
    pub(crate) fn find_excess_demand(&mut self) {
        self.excess_demand.clear();
        if self.quotas.numbers().is_empty() {
            return;
        }
        let mut waiting = Vec::new();
        let mut pools = Vec::new();
        for step in self.open_steps.iter().filter(|step| step.waiting > 0) {
            waiting.push((step.account, step.requested.cpu_millis * step.waiting));
            if !pools.contains(&step.pool) {
                pools.push(step.pool);
            }
        }
        let free = pools
            .iter()
            .map(|&pool| self.free_capacity.free_cpu_millis(pool));
        self.excess_demand = self.quotas.excess_demand_shares(&waiting, free.sum());
    }

    /// Returns the fair share of an account with excess demand, in thousandths of a core.
    fn excess_demand_share(&self, account: AccountNumber) -> Option<f64> {
        let index = self
            .excess_demand
            .binary_search_by_key(&account, |(known, _)| *known);
        index.ok().map(|index| self.excess_demand[index].1)
    }

    /// Returns whether an account has excess demand and has reached its fair share.
    fn has_reached_share(&self, account: AccountNumber) -> bool {
        self.excess_demand_share(account)
            .is_some_and(|share| self.quotas.has_running(account, share))
    }

    fn log_quota_wait(&mut self, step: &OpenStep, now: Now) {
        if self.quotas.should_log_quota_wait(step.account, now) {
            self.log_events.push(LogEvent::QuotaReached(QuotaWait {
                account: self.quotas.name(step.account).clone(),
                job: step.first_task.job,
                wanted: step.requested,
                running: self.quotas.running(step.account),
                quota: self.quotas.quota(step.account),
            }));
        }
    }

    /// Logs that tasks of an account wait because it has reached its fair share.
    fn log_share_wait(&mut self, step: &OpenStep, now: Now) {
        let is_waiting = self
            .jobs
            .get(step.first_task.job)
            .is_some_and(|job| !waiting(job, &step.first_task, now).is_empty());
        if is_waiting
            && let Some(share_cpu_millis) = self.excess_demand_share(step.account)
            && self.quotas.should_log_share_wait(step.account, now)
        {
            self.log_events.push(LogEvent::ShareReached(ShareWait {
                account: self.quotas.name(step.account).clone(),
                job: step.first_task.job,
                running: self.quotas.running(step.account),
                share_cpu_millis,
            }));
        }
    }

    /// Updates the open steps of changed jobs.
    pub(crate) fn refresh_open_steps(&mut self) {
        let changed = self.jobs.take_changed();
        if changed.is_empty() {
            return;
        }
        self.open_steps.forget(&changed);
        for &id in &changed {
            if let Some(job) = self.jobs.get(id) {
                let pool = self.free_capacity.pool_number(&job.queue.pool);
                self.open_steps.add(job, pool);
            }
        }
        self.unstored_jobs.extend(changed);
    }

    /// Updates the free capacity of endpoints that have changed or whose cooldown has ended.
    pub(crate) fn refresh_free_capacity(&mut self, now: Now) {
        let cooldown = &mut self.cooling_endpoints;
        let expired = cooldown.partition_point(|(until_ms, _)| *until_ms <= now.steady_ms);
        let expired: Vec<EndpointKey> = cooldown.drain(..expired).map(|(_, key)| key).collect();
        for key in self.endpoints.take_changed().into_iter().chain(expired) {
            let endpoint = self.endpoints.get(key);
            if endpoint.accepts_starts(now.steady_ms) {
                let free_cpu_millis = endpoint.free().cpu_millis;
                self.free_capacity.set(key, &endpoint.pool, free_cpu_millis);
                continue;
            }
            let cooldown = (endpoint.cooldown_until_ms, key);
            let is_cooling_down = !endpoint.has_ended && endpoint.cooldown_until_ms > now.steady_ms;
            if is_cooling_down && let Err(index) = self.cooling_endpoints.binary_search(&cooldown) {
                self.cooling_endpoints.insert(index, cooldown);
            }
            self.free_capacity.remove(key);
        }
    }

    fn place_step(&mut self, step: &OpenStep, now: Now) {
        let Some(job) = self.jobs.get(step.first_task.job) else {
            return;
        };
        let Some(spec) = job.step_spec(&step.first_task).cloned() else {
            return;
        };
        if spec.gang || job.queue.advised {
            self.place_chosen(step, &spec, now);
            return;
        }
        let startable = self.startable_runs(step);
        for index in waiting(job, &step.first_task, now)
            .into_iter()
            .take(startable)
        {
            let task = TaskRef {
                index,
                ..step.first_task
            };
            let avoided = self.avoided_endpoint(&task);
            let slots = self
                .free_capacity
                .slots_with(step.pool, step.reserved.cpu_millis);
            let Some(key) = best_fit(&self.endpoints, slots, &task, &spec, avoided) else {
                break;
            };
            self.place_task(&task, key, &spec, None, now);
        }
    }

    /// Returns how many tasks of a step the quota of its account allows to start now.
    fn startable_runs(&self, step: &OpenStep) -> usize {
        let startable = self.quotas.startable_runs(step.account, &step.requested);
        usize::try_from(startable).unwrap_or(usize::MAX)
    }

    fn avoided_endpoint(&self, task: &TaskRef) -> Option<EndpointKey> {
        self.jobs.get(task.job)?.task(task)?.avoided_endpoint
    }

    /// Places a gang, or tasks whose endpoints are chosen by the advice service.
    fn place_chosen(&mut self, step: &OpenStep, spec: &StepSpec, now: Now) {
        let step_ref = step.first_task;
        let members = self.free_capacity.members(step.pool);
        let mut slots = slots(&self.endpoints, &members, &step_ref, spec);
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        if job.queue.advised {
            let candidates: Vec<EndpointKey> = slots.iter().map(|slot| slot.key).collect();
            let usable = self.endpoints_with_ticket(&step_ref, &candidates, now);
            slots.retain(|slot| usable.contains(&slot.key));
        }
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let startable = self.startable_runs(step);
        let chosen = if spec.gang {
            if !is_unstarted(job, &step_ref) || startable < usize::from(spec.count) {
                return;
            }
            choose_gang(&self.endpoints, &mut slots, job, &step_ref, spec)
        } else {
            let mut waiting = waiting(job, &step_ref, now);
            waiting.truncate(startable);
            choose_each(&self.endpoints, &mut slots, job, &step_ref, spec, &waiting)
        };
        let runs = chosen.iter().filter_map(|(task, _)| job.task(task));
        let highest_run = runs.map(|task| task.run).max();
        let gang_run = highest_run.filter(|_| spec.gang);
        for (task, key) in chosen {
            self.place_task(&task, key, spec, gang_run, now);
        }
    }

    /// Decides to start a task. All members of a gang use the same run number.
    fn place_task(
        &mut self,
        task: &TaskRef,
        key: EndpointKey,
        spec: &StepSpec,
        gang_run: Option<u32>,
        now: Now,
    ) {
        let Ok(index) = self.jobs.search(task.job) else {
            return;
        };
        let job = &mut self.jobs[index];
        let Some(known) = job.task_mut(task) else {
            return;
        };
        known.run = gang_run.unwrap_or(known.run) + 1;
        let run = known.run;
        known.attempts.push(Attempt::new(run, key, now.steady_ms));
        job.is_dirty = true;
        self.quotas.charge(job.account_number, &spec.resources);
        let order = start_order(job, key, task, run, 0);
        self.pending_effects.push(Effect::Start(Box::new(order)));
        let endpoint = self.endpoints.get_mut(key);
        endpoint.add_run(PlacedRun::new(*task, run, spec));
        let free_cpu_millis = endpoint.free().cpu_millis;
        self.free_capacity.set(key, &endpoint.pool, free_cpu_millis);
    }
}

/// Returns the tasks of a step that wait and may start now.
fn waiting(job: &Job, step_ref: &TaskRef, now: Now) -> Vec<u16> {
    let Some(step) = job.step(step_ref) else {
        return Vec::new();
    };
    step.tasks
        .iter()
        .zip(0_u16..)
        .filter(|(task, _)| task.is_waiting() && now.steady_ms >= task.not_before_ms)
        .map(|(_, index)| index)
        .collect()
}

/// Returns whether no task of a step is running or done.
fn is_unstarted(job: &Job, step_ref: &TaskRef) -> bool {
    job.step(step_ref).is_some_and(|step| {
        step.tasks
            .iter()
            .all(|task| task.attempts.is_empty() && !task.is_done)
    })
}

fn has_required_label(endpoint: &Endpoint, spec: &StepSpec) -> bool {
    spec.required_label.is_empty() || endpoint.has_label(&spec.required_label)
}

fn siblings(endpoint: &Endpoint, step_ref: &TaskRef) -> u16 {
    let count = endpoint
        .placed_runs
        .iter()
        .filter(|placed| placed.task.is_sibling(step_ref))
        .count();
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Returns the best match for a task. `slots` have enough free processor and are sorted with the
/// fullest first.
pub(crate) fn best_fit(
    endpoints: &EndpointTable,
    slots: &[FreeSlot],
    task: &TaskRef,
    spec: &StepSpec,
    avoided: Option<EndpointKey>,
) -> Option<EndpointKey> {
    let needed = spec.reserved_resources();
    let mut best: Option<(Mismatch, EndpointKey)> = None;
    for &(_, key) in slots {
        let endpoint = endpoints.get(key);
        let may_share =
            spec.max_per_endpoint == 0 || siblings(endpoint, task) < spec.max_per_endpoint;
        if !may_share || !endpoint.free().can_fit(&needed) || !has_required_label(endpoint, spec) {
            continue;
        }
        let mismatch = mismatch(endpoint, spec, avoided);
        if mismatch == NO_MISMATCH {
            return Some(key);
        }
        if best.is_none_or(|(least, _)| mismatch < least) {
            best = Some((mismatch, key));
        }
    }
    best.map(|(_, key)| key)
}

fn mismatch(endpoint: &Endpoint, spec: &StepSpec, avoided: Option<EndpointKey>) -> Mismatch {
    let is_suspect = endpoint.failed_runs > 0 || avoided == Some(endpoint.key);
    let is_remote = !spec.data_rack.is_empty() && !endpoint.has_label(&spec.data_rack);
    let conflicts = if spec.filler {
        endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_serving)
            .count()
    } else if spec.is_serving() {
        endpoint
            .placed_runs
            .iter()
            .filter(|placed| placed.is_filler)
            .count()
    } else {
        0
    };
    (is_suspect, is_remote, conflicts)
}

fn slots(
    endpoints: &EndpointTable,
    members: &[EndpointKey],
    step_ref: &TaskRef,
    spec: &StepSpec,
) -> Vec<Slot> {
    let needed = spec.reserved_resources();
    members
        .iter()
        .map(|&key| (key, endpoints.get(key)))
        .filter(|(_, endpoint)| has_required_label(endpoint, spec))
        .filter(|(_, endpoint)| endpoint.free().can_fit(&needed))
        .map(|(key, endpoint)| Slot {
            key,
            free: endpoint.free(),
            siblings: siblings(endpoint, step_ref),
        })
        .collect()
}

/// Chooses an endpoint for each task, until one does not fit.
fn choose_each(
    endpoints: &EndpointTable,
    slots: &mut [Slot],
    job: &Job,
    step_ref: &TaskRef,
    spec: &StepSpec,
    waiting: &[u16],
) -> Vec<(TaskRef, EndpointKey)> {
    let mut chosen = Vec::new();
    for &index in waiting {
        let task = TaskRef { index, ..*step_ref };
        let avoided = job.task(&task).and_then(|task| task.avoided_endpoint);
        let Some(slot) = best_slot(endpoints, slots, spec, avoided) else {
            break;
        };
        reserve(slot, spec);
        chosen.push((task, slot.key));
    }
    chosen
}

/// Chooses endpoints for all tasks of a gang or for none, within one rack where the step prefers
/// it.
fn choose_gang(
    endpoints: &EndpointTable,
    slots: &mut [Slot],
    job: &Job,
    step_ref: &TaskRef,
    spec: &StepSpec,
) -> Vec<(TaskRef, EndpointKey)> {
    let all: Vec<u16> = (0..spec.count).collect();
    let complete = |chosen: Vec<(TaskRef, EndpointKey)>| {
        (chosen.len() == usize::from(spec.count)).then_some(chosen)
    };
    if spec.same_rack {
        for rack in racks(endpoints, slots) {
            let mut in_rack: Vec<Slot> = slots
                .iter()
                .filter(|slot| endpoints.get(slot.key).has_label(&rack))
                .cloned()
                .collect();
            let chosen = choose_each(endpoints, &mut in_rack, job, step_ref, spec, &all);
            if let Some(chosen) = complete(chosen) {
                return chosen;
            }
        }
    }
    complete(choose_each(endpoints, slots, job, step_ref, spec, &all)).unwrap_or_default()
}

/// Returns the rack labels: every label except the first, which is the kind of VM.
fn racks(endpoints: &EndpointTable, slots: &[Slot]) -> Vec<CompactString> {
    let mut racks: Vec<CompactString> = slots
        .iter()
        .flat_map(|slot| endpoints.get(slot.key).labels.iter().skip(1).cloned())
        .collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

fn best_slot<'a>(
    endpoints: &EndpointTable,
    slots: &'a mut [Slot],
    spec: &StepSpec,
    avoided: Option<EndpointKey>,
) -> Option<&'a mut Slot> {
    let needed = spec.reserved_resources();
    slots
        .iter_mut()
        .filter(|slot| slot.free.can_fit(&needed))
        .filter(|slot| spec.max_per_endpoint == 0 || slot.siblings < spec.max_per_endpoint)
        .min_by_key(|slot| {
            let mismatch = mismatch(endpoints.get(slot.key), spec, avoided);
            (mismatch, slot.free.cpu_millis)
        })
}

fn reserve(slot: &mut Slot, spec: &StepSpec) {
    slot.free = slot.free.saturating_sub(&spec.reserved_resources());
    slot.siblings += 1;
}
