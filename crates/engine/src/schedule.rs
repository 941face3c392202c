//! Placement: which waiting task starts next, and on which endpoint.

use {
    crate::{
        attempts::start_order,
        crashes::Suspicion,
        endpoint_table::EndpointTable,
        endpoints::{Endpoint, PlacedRun},
        engine::Engine,
        event::{Effect, EndpointKey, Now},
        fair_share::AccountDemand,
        free_capacity::FreeSlot,
        job::{Resources, StepSpec, TaskRef},
        log_event::{LogEvent, QuotaWait, ShareWait},
        open_steps::OpenStep,
        quota::AccountNumber,
        state::{Attempt, Job, Task},
    },
    compact_str::CompactString,
};

/// An endpoint with its remaining capacity during the placement of a step.
#[derive(Clone, Debug)]
struct Slot {
    key: EndpointKey,
    free: Resources,
    siblings: u16,
    is_empty: bool,
}

/// A task with the endpoint chosen for it.
#[derive(Clone, Copy, Debug)]
struct Choice {
    task: TaskRef,
    key: EndpointKey,
    /// How the run is placed, which may be weaker than what the task requires.
    suspicion: Suspicion,
}

/// Reasons against an endpoint for a task, compared lexicographically. The lowest value wins, and
/// among equals the fullest endpoint.
///
/// Packing tasks tightly leaves whole VMs empty, which can then be moved or switched off.
type Mismatch = (bool, bool, bool, usize);

const NO_MISMATCH: Mismatch = (false, false, false, 0);

/// Maximum number of endpoints with suspects that are passed over for a suspect, which bounds the
/// search after many endpoints have crashed at once.
const MAX_PASSED_OVER: usize = 32;

/// What a task avoids beyond the requirements of its step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Avoidance {
    /// Endpoint on which it last failed.
    pub(crate) endpoint: Option<EndpointKey>,
    /// Whether it avoids endpoints that other tasks may crash.
    pub(crate) avoids_suspects: bool,
}

impl Avoidance {
    fn of(task: &Task) -> Self {
        Self {
            endpoint: task.avoided_endpoint,
            avoids_suspects: Suspicion::of(task) >= Suspicion::Suspect,
        }
    }
}

impl Engine {
    /// Starts waiting tasks by urgency. Tasks of accounts that have excess demand and have reached
    /// their fair share come last.
    pub(crate) fn schedule(&mut self, now: Now) {
        self.refresh_free_capacity(now);
        // Account quotas are unknown until a configuration arrives.
        if self.config.version == 0 {
            return;
        }
        self.open_steps.sort(self.capacity_plan.is_short(), now);
        self.place_isolated_tasks(now);
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

    /// Starts tasks that have to be alone on their endpoints, before others take the empty ones.
    fn place_isolated_tasks(&mut self, now: Now) {
        let steps = self.open_steps.isolated().filter(|step| {
            let cpu_millis = step.reserved.cpu_millis;
            let empty_slots = self.free_capacity.empty_slots_with(step.pool, cpu_millis);
            !empty_slots.is_empty()
        });
        for step in steps.cloned().collect::<Vec<_>>() {
            self.place_on_empty_endpoints(&step, now);
        }
    }

    fn place_on_empty_endpoints(&mut self, step: &OpenStep, now: Now) {
        let Some(job) = self.jobs.get(step.first_task.job) else {
            return;
        };
        let Some(spec) = job.step_spec(&step.first_task).cloned() else {
            return;
        };
        if spec.gang || job.queue.advised {
            return;
        }
        let startable = self.startable_runs(step);
        let isolated = waiting(job, &step.first_task, now).into_iter();
        let isolated = isolated.map(|index| TaskRef {
            index,
            ..step.first_task
        });
        let isolated: Vec<TaskRef> = isolated
            .filter(|task| self.suspicion(task) == Suspicion::Isolated)
            .take(startable)
            .collect();
        for task in isolated {
            if self.may_isolate(&task)
                && let Some(key) = self.best_empty_fit(step, &task, &spec)
            {
                self.place_task(&task, key, &spec, None, Suspicion::Isolated, now);
            }
        }
    }

    fn best_empty_fit(
        &self,
        step: &OpenStep,
        task: &TaskRef,
        spec: &StepSpec,
    ) -> Option<EndpointKey> {
        let cpu_millis = step.reserved.cpu_millis;
        let slots = self.free_capacity.empty_slots_with(step.pool, cpu_millis);
        best_fit(&self.endpoints, slots, task, spec, self.avoidance(task))
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
        self.exceeded_shares.clear();
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
        let free = free.sum();
        let shares = |is_counted: fn(&AccountDemand, f64) -> bool| {
            self.quotas.fair_shares(&waiting, free, is_counted)
        };
        let excess_demand = shares(AccountDemand::has_excess_demand);
        self.exceeded_shares = shares(AccountDemand::exceeds_share);
        self.excess_demand = excess_demand;
    }

    /// Returns the fair share of an account with excess demand, in thousandths of a core.
    fn excess_demand_share(&self, account: AccountNumber) -> Option<f64> {
        let index = self
            .excess_demand
            .binary_search_by_key(&account, |(known, _)| *known);
        index.ok().map(|index| self.excess_demand[index].1)
    }

    /// Returns whether an account has excess demand and has reached its fair share.
    pub(crate) fn has_reached_share(&self, account: AccountNumber) -> bool {
        self.excess_demand_share(account)
            .is_some_and(|share| self.quotas.has_running(account, share))
    }

    /// Returns how much an account whose demand exceeds its fair share lacks to that share, in
    /// thousandths of a core; `None` for other accounts.
    pub(crate) fn share_left_cpu_millis(&self, account: AccountNumber) -> Option<u64> {
        let shares = &self.exceeded_shares;
        let index = shares.binary_search_by_key(&account, |(known, _)| *known);
        let share = shares[index.ok()?].1;
        Some(self.quotas.missing_cpu_millis(account, share))
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
            if endpoint.accepts_starts(now.steady_ms) && endpoint.isolated_runs == 0 {
                self.free_capacity.set(endpoint);
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
            let suspicion = self.suspicion(&task);
            let may_be_alone = suspicion < Suspicion::Isolated || self.may_isolate(&task);
            if may_be_alone
                && suspicion.prefers_empty_endpoint(&spec)
                && let Some(key) = self.best_empty_fit(step, &task, &spec)
            {
                self.place_task(&task, key, &spec, None, suspicion, now);
                continue;
            }
            if suspicion == Suspicion::Isolated && self.waits_for_empty_endpoint(&task, now) {
                continue;
            }
            let slots = self
                .free_capacity
                .slots_with(step.pool, step.reserved.cpu_millis);
            let avoidance = self.avoidance(&task);
            let Some(key) = best_fit(&self.endpoints, slots, &task, &spec, avoidance) else {
                break;
            };
            if self.endpoints.get(key).suspect_runs > 0
                && (self.avoids_sharing(&task, &spec, now)
                    || self.follows_suspect_too_soon(&task, key, now))
            {
                continue;
            }
            let suspicion = suspicion.min(Suspicion::Suspect);
            self.place_task(&task, key, &spec, None, suspicion, now);
        }
    }

    /// Returns how many tasks of a step the quota of its account allows to start now.
    fn startable_runs(&self, step: &OpenStep) -> usize {
        let startable = self.quotas.startable_runs(step.account, &step.requested);
        usize::try_from(startable).unwrap_or(usize::MAX)
    }

    fn avoidance(&self, task: &TaskRef) -> Avoidance {
        let known = self.jobs.get(task.job).and_then(|job| job.task(task));
        known.map(Avoidance::of).unwrap_or_default()
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
        if let Some(suspect) = self.most_suspect_task(&step_ref) {
            slots.retain(|slot| {
                self.endpoints.get(slot.key).suspect_runs == 0
                    || !self.follows_suspect_too_soon(&suspect, slot.key, now)
            });
        }
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let startable = self.startable_runs(step);
        let chosen = if spec.gang {
            if !is_unstarted(job, &step_ref) || startable < usize::from(spec.count) {
                return;
            }
            choose_gang(&self.endpoints, &slots, job, &step_ref, spec, now)
        } else {
            let mut waiting = waiting(job, &step_ref, now);
            waiting.truncate(startable);
            choose_each(
                &self.endpoints,
                &mut slots,
                job,
                &step_ref,
                spec,
                &waiting,
                now,
            )
        };
        let runs = chosen.iter().filter_map(|choice| job.task(&choice.task));
        let highest_run = runs.map(|task| task.run).max();
        let gang_run = highest_run.filter(|_| spec.gang);
        for Choice {
            task,
            key,
            suspicion,
        } in chosen
        {
            self.place_task(&task, key, spec, gang_run, suspicion, now);
        }
    }

    /// Returns the task of a step that is most likely to crash endpoints, if any is suspect.
    fn most_suspect_task(&self, step_ref: &TaskRef) -> Option<TaskRef> {
        let step = self.jobs.get(step_ref.job)?.step(step_ref)?;
        let tasks = step.tasks.iter().zip(0_u16..);
        let suspects = tasks.filter(|(task, _)| Suspicion::of(task) >= Suspicion::Suspect);
        let (_, index) = suspects.max_by_key(|(task, _)| Suspicion::of(task))?;
        Some(TaskRef { index, ..*step_ref })
    }

    /// Decides to start a task. All members of a gang use the same run number.
    fn place_task(
        &mut self,
        task: &TaskRef,
        key: EndpointKey,
        spec: &StepSpec,
        gang_run: Option<u32>,
        suspicion: Suspicion,
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
        endpoint.add_run(PlacedRun::new(*task, run, spec).with_suspicion(suspicion));
        if endpoint.isolated_runs == 0 {
            self.free_capacity.set(endpoint);
        } else {
            self.free_capacity.remove(key);
        }
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
    avoidance: Avoidance,
) -> Option<EndpointKey> {
    let needed = spec.reserved_resources();
    let mut best: Option<(Mismatch, EndpointKey)> = None;
    let mut passed_over = 0;
    for &(_, key) in slots {
        let endpoint = endpoints.get(key);
        let may_share =
            spec.max_per_endpoint == 0 || siblings(endpoint, task) < spec.max_per_endpoint;
        if !may_share || !endpoint.free().can_fit(&needed) || !has_required_label(endpoint, spec) {
            continue;
        }
        let mismatch = mismatch(endpoint, spec, avoidance);
        if mismatch == NO_MISMATCH {
            return Some(key);
        }
        if best.is_none_or(|(least, _)| mismatch < least) {
            best = Some((mismatch, key));
        }
        passed_over += usize::from(mismatch.0);
        if passed_over == MAX_PASSED_OVER {
            break;
        }
    }
    best.map(|(_, key)| key)
}

fn mismatch(endpoint: &Endpoint, spec: &StepSpec, avoidance: Avoidance) -> Mismatch {
    let has_suspects = avoidance.avoids_suspects && endpoint.suspect_runs > 0;
    let is_faulty = endpoint.failed_runs > 0 || avoidance.endpoint == Some(endpoint.key);
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
    (has_suspects, is_faulty, is_remote, conflicts)
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
            is_empty: endpoint.placed_runs.is_empty(),
        })
        .collect()
}

/// Chooses an endpoint for each task, until one does not fit.
fn choose_each(
    endpoints: &EndpointTable,
    slots: &mut Vec<Slot>,
    job: &Job,
    step_ref: &TaskRef,
    spec: &StepSpec,
    waiting: &[u16],
    now: Now,
) -> Vec<Choice> {
    let mut chosen = Vec::new();
    for &index in waiting {
        let task = TaskRef { index, ..*step_ref };
        let Some(known) = job.task(&task) else {
            break;
        };
        let suspicion = Suspicion::of(known);
        let avoidance = Avoidance::of(known);
        if suspicion.prefers_empty_endpoint(spec) && !spec.gang {
            let mut empty: Vec<Slot> = slots.iter().filter(|slot| slot.is_empty).cloned().collect();
            if let Some(&mut Slot { key, .. }) = best_slot(endpoints, &mut empty, spec, avoidance) {
                // A run that is only suspect lets others start beside it, but not in this round.
                slots.retain(|slot| slot.key != key);
                chosen.push(Choice {
                    task,
                    key,
                    suspicion,
                });
                continue;
            }
            if suspicion == Suspicion::Isolated && now.steady_ms < known.isolate_until_ms {
                continue;
            }
        }
        let Some(slot) = best_slot(endpoints, slots, spec, avoidance) else {
            break;
        };
        reserve(slot, spec);
        chosen.push(Choice {
            task,
            key: slot.key,
            suspicion: suspicion.min(Suspicion::Suspect),
        });
    }
    chosen
}

/// Chooses endpoints for all tasks of a gang or for none. If endpoints crashed under one of them,
/// empty endpoints are preferred for all.
fn choose_gang(
    endpoints: &EndpointTable,
    slots: &[Slot],
    job: &Job,
    step_ref: &TaskRef,
    spec: &StepSpec,
    now: Now,
) -> Vec<Choice> {
    let tasks = job.step(step_ref).map_or(&[][..], |step| &step.tasks);
    let suspicion = tasks.iter().map(Suspicion::of).max();
    let suspicion = suspicion.unwrap_or(Suspicion::None);
    if suspicion.prefers_empty_endpoint(spec) {
        let empty: Vec<Slot> = slots.iter().filter(|slot| slot.is_empty).cloned().collect();
        let mut chosen = choose_members(endpoints, &empty, job, step_ref, spec, now);
        for choice in &mut chosen {
            choice.suspicion = suspicion;
        }
        let is_waiting = suspicion == Suspicion::Isolated
            && tasks
                .iter()
                .any(|task| now.steady_ms < task.isolate_until_ms);
        if is_waiting || !chosen.is_empty() {
            return chosen;
        }
    }
    choose_members(endpoints, slots, job, step_ref, spec, now)
}

/// Chooses among endpoints for all tasks of a gang or for none, within one rack where the step
/// prefers it.
fn choose_members(
    endpoints: &EndpointTable,
    slots: &[Slot],
    job: &Job,
    step_ref: &TaskRef,
    spec: &StepSpec,
    now: Now,
) -> Vec<Choice> {
    let all: Vec<u16> = (0..spec.count).collect();
    let choose = |mut slots: Vec<Slot>| {
        let chosen = choose_each(endpoints, &mut slots, job, step_ref, spec, &all, now);
        (chosen.len() == usize::from(spec.count)).then_some(chosen)
    };
    if spec.same_rack {
        for rack in racks(endpoints, slots) {
            let in_rack = slots
                .iter()
                .filter(|slot| endpoints.get(slot.key).has_label(&rack))
                .cloned()
                .collect();
            if let Some(chosen) = choose(in_rack) {
                return chosen;
            }
        }
    }
    choose(slots.to_vec()).unwrap_or_default()
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
    avoidance: Avoidance,
) -> Option<&'a mut Slot> {
    let needed = spec.reserved_resources();
    slots
        .iter_mut()
        .filter(|slot| slot.free.can_fit(&needed))
        .filter(|slot| spec.max_per_endpoint == 0 || slot.siblings < spec.max_per_endpoint)
        .min_by_key(|slot| {
            let mismatch = mismatch(endpoints.get(slot.key), spec, avoidance);
            (mismatch, slot.free.cpu_millis)
        })
}

fn reserve(slot: &mut Slot, spec: &StepSpec) {
    slot.free = slot.free.saturating_sub(&spec.reserved_resources());
    slot.siblings += 1;
}
