//! Waves of maintenance: which VM goes next, within the wave's budget and in time.

use {
    crate::{
        engine::Engine,
        event::{Effect, Now},
        job::TaskRef,
        reports::WaveOrder,
        stored::{Record, StoredWave, wave_record},
        vms::VmOrder,
    },
    compact_str::CompactString,
};

/// Time that an order and the return to the pool add to maintenance, in milliseconds.
const TURN_MS: u64 = 700;

/// Share of a wave's time, in percent, by which it should be over: the rest covers delays.
const AIM_PERCENT: u64 = 85;

/// Time for which a VM is emptied before its runs are stopped, in milliseconds.
const DRAIN_PATIENCE_MS: u64 = 2_500;

/// Time after which a VM is given back to its pool when none of its long-running tasks could leave
/// meanwhile, in milliseconds: one that was stopped there is back before its users miss it, and a
/// task that does find a place elsewhere takes far less.
const GIVE_BACK_MS: u64 = 4_000;

/// Pause before such a VM is emptied again, in milliseconds; twice as long after each time.
const GIVEN_BACK_MS: u64 = 6_000;

/// A VM that is being emptied.
#[derive(Clone, Debug)]
struct Emptying {
    vm: CompactString,
    /// When that began, on the steady clock.
    since_ms: u64,
    /// Long-running tasks that are still there.
    lasting: usize,
    /// When their number changed last, on the steady clock.
    changed_ms: u64,
}

impl Emptying {
    fn new(vm: CompactString, lasting: usize, now: Now) -> Self {
        Self {
            vm,
            since_ms: now.steady_ms,
            lasting,
            changed_ms: now.steady_ms,
        }
    }
}

/// A VM that could not be emptied.
#[derive(Clone, Debug)]
struct GivenBack {
    vm: CompactString,
    until_ms: u64,
    pause_ms: u64,
}

/// A wave and how far it is.
#[derive(Clone, Debug)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Order, once it was read.
    order: Option<WaveOrder>,
    stored: StoredWave,
    /// VMs that are being emptied, sorted by name.
    emptying: Vec<Emptying>,
    given_back: Vec<GivenBack>,
    is_dirty: bool,
    is_announced: bool,
}

impl Wave {
    fn new(number: u64) -> Self {
        Self {
            number,
            order: None,
            stored: StoredWave::default(),
            emptying: Vec::new(),
            given_back: Vec::new(),
            is_dirty: false,
            is_announced: false,
        }
    }

    fn is_emptying(&self, vm: &str) -> bool {
        self.emptying_place(vm).is_ok()
    }

    fn emptying_place(&self, vm: &str) -> Result<usize, usize> {
        self.emptying
            .binary_search_by(|known| known.vm.as_str().cmp(vm))
    }

    fn empty(&mut self, emptying: Emptying) {
        if let Err(place) = self.emptying_place(&emptying.vm) {
            self.emptying.insert(place, emptying);
        }
    }

    fn stop_emptying(&mut self, vm: &str) {
        if let Ok(place) = self.emptying_place(vm) {
            self.emptying.remove(place);
        }
    }

    /// Tells whether a VM may be chosen to be emptied.
    fn may_empty(&self, vm: &str, now: Now) -> bool {
        let rests = self
            .given_back
            .iter()
            .any(|known| known.vm == vm && now.steady_ms < known.until_ms);
        !self.is_emptying(vm) && !rests
    }

    /// Notes that a VM could not be emptied, and lets it rest.
    fn give_back(&mut self, vm: &CompactString, now: Now) {
        self.stop_emptying(vm);
        let place = self.given_back.iter().position(|known| known.vm == *vm);
        let place = place.unwrap_or_else(|| {
            self.given_back.push(GivenBack {
                vm: vm.clone(),
                until_ms: 0,
                pause_ms: GIVEN_BACK_MS,
            });
            self.given_back.len() - 1
        });
        let known = &mut self.given_back[place];
        known.until_ms = now.steady_ms + known.pause_ms;
        known.pause_ms *= 2;
    }

    fn has_begun(&self, vm: &str) -> bool {
        contains(&self.stored.begun, vm)
    }

    fn is_ordered(&self, vm: &str) -> bool {
        contains(&self.stored.ordered, vm)
    }
}

impl Engine {
    pub(crate) fn restore_wave(&mut self, number: u64, stored: StoredWave) {
        let place = self.wave_or_new(number);
        self.waves[place].stored = stored;
    }

    fn wave_or_new(&mut self, number: u64) -> usize {
        match self.waves.binary_search_by_key(&number, |wave| wave.number) {
            Ok(place) => place,
            Err(place) => {
                self.waves.insert(place, Wave::new(number));
                place
            }
        }
    }

    pub(crate) fn wave_ordered(&mut self, order: WaveOrder, now: Now) {
        let place = self.wave_or_new(order.wave);
        let wave = &mut self.waves[place];
        // Stored, so that a later owner does not take the wave for one that has just begun.
        if wave.stored.since_ms == 0 {
            wave.stored.since_ms = now.wall_ms;
            wave.is_dirty = true;
        }
        wave.order = Some(order);
        if !wave.is_announced {
            wave.is_announced = true;
            let (number, is_completed) = (wave.number, wave.stored.is_completed);
            self.pending_effects.push(Effect::PublishWave {
                wave: number,
                is_completed,
            });
        }
    }

    /// Returns the records of the waves that have changed.
    pub(crate) fn wave_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for wave in &mut self.waves {
            if wave.is_dirty {
                wave.is_dirty = false;
                records.push(wave_record(wave.number, &wave.stored));
            }
        }
        records
    }

    /// Tells whether a VM is due for maintenance that has not begun.
    pub(crate) fn awaits_maintenance(&self, vm: &str) -> bool {
        self.waves
            .iter()
            .any(|wave| !wave.stored.is_completed && !wave.has_begun(vm) && wave.is_emptying(vm))
    }

    pub(crate) fn maintenance_begun(&mut self, number: u64, vm: &str) {
        let place = self.wave_or_new(number);
        let wave = &mut self.waves[place];
        insert(&mut wave.stored.begun, vm);
        wave.stop_emptying(vm);
        wave.is_dirty = true;
    }

    pub(crate) fn maintenance_refused(&mut self, number: u64, vm: &str) {
        let place = self.wave_or_new(number);
        let wave = &mut self.waves[place];
        wave.stop_emptying(vm);
        if let Ok(at) = wave
            .stored
            .ordered
            .binary_search_by(|known| known.as_str().cmp(vm))
        {
            wave.stored.ordered.remove(at);
            wave.is_dirty = true;
        }
    }

    /// Goes on with each wave.
    pub(crate) fn plan_waves(&mut self, now: Now) {
        if !self.may_order_vms || self.vms.is_empty() {
            return;
        }
        for place in 0..self.waves.len() {
            let wave = &self.waves[place];
            if wave.order.is_some() && !wave.stored.is_completed {
                self.plan_wave(place, now);
            }
        }
    }

    fn plan_wave(&mut self, place: usize, now: Now) {
        let Some(order) = self.waves[place].order.clone() else {
            return;
        };
        let left: Vec<CompactString> = order
            .vms
            .iter()
            .filter(|vm| !self.waves[place].has_begun(vm) && self.vm_place(vm).is_ok())
            .cloned()
            .collect();
        self.hold_back_ordered(place, &left, now);
        let down = self.down_in_wave(place, &order);
        if left.is_empty() {
            self.complete_wave(place);
            return;
        }
        let mut budget = order.max_count.saturating_sub(down);
        self.order_empty(place, &left, &mut budget, now);
        self.empty_more(place, &left, budget, now);
        self.hurry(place, now);
        self.give_back_stuck(place, now);
    }

    /// Keeps work from VMs whose maintenance was ordered without a known outcome.
    ///
    /// An earlier owner's order may still be carried out, and its successor repeats it; what had
    /// started on the VM meanwhile would be cut off, long-running tasks against their budget.
    fn hold_back_ordered(&mut self, place: usize, left: &[CompactString], now: Now) {
        for name in left {
            let wave = &mut self.waves[place];
            if wave.is_ordered(name) && !wave.is_emptying(name) {
                wave.empty(Emptying::new(name.clone(), 0, now));
            }
            if wave.is_emptying(name)
                && let Some(key) = self.endpoint_of_vm(name)
            {
                self.endpoints.get_mut(key).is_cordoned = true;
            }
        }
    }

    fn complete_wave(&mut self, place: usize) {
        let wave = &mut self.waves[place];
        wave.stored.is_completed = true;
        wave.is_dirty = true;
        let number = wave.number;
        self.pending_effects.push(Effect::PublishWave {
            wave: number,
            is_completed: true,
        });
    }

    /// Counts the wave's VMs that are down for it, or may be.
    fn down_in_wave(&self, place: usize, order: &WaveOrder) -> usize {
        let wave = &self.waves[place];
        order
            .vms
            .iter()
            .filter(|name| {
                let Ok(vm) = self.vm_place(name).map(|place| &self.vms[place]) else {
                    return false;
                };
                let is_pending = wave.is_ordered(name) && !wave.has_begun(name);
                is_pending || vm.is_in_maintenance()
            })
            .count()
    }

    /// Orders maintenance of VMs that run nothing.
    fn order_empty(&mut self, place: usize, left: &[CompactString], budget: &mut usize, now: Now) {
        for name in left {
            // One that was ordered before counts as down already; only repeating the order brings
            // its outcome.
            let is_counted = self.waves[place].is_ordered(name);
            if (*budget == 0 && !is_counted)
                || !self.vm_order_rate.allows_order()
                || !self.can_begin(name, now)
            {
                continue;
            }
            let Ok(vm) = self.vm_place(name) else {
                continue;
            };
            let wave = &mut self.waves[place];
            insert(&mut wave.stored.ordered, name);
            wave.is_dirty = true;
            let number = wave.number;
            self.order_vm(vm, VmOrder::Maintain(number), now);
            if !is_counted {
                *budget -= 1;
            }
        }
    }

    fn can_begin(&self, name: &str, now: Now) -> bool {
        let Ok(vm) = self.vm_place(name).map(|place| &self.vms[place]) else {
            return false;
        };
        let is_empty = match self.endpoint_of_vm(name) {
            Some(key) => {
                let endpoint = self.endpoints.get(key);
                endpoint.placed_runs.is_empty() && endpoint.is_reconciled && !endpoint.is_draining
            }
            // A VM of the standby pool has no endpoint.
            None => vm.entry.endpoint.is_empty(),
        };
        vm.is_free(now) && is_empty
    }

    /// Keeps new work from as many VMs as can be maintained next.
    fn empty_more(&mut self, place: usize, left: &[CompactString], budget: usize, now: Now) {
        let ahead = self.pace_of_wave(place, left.len(), now).min(budget.max(1));
        let busy = self.waves[place].emptying.len();
        if busy >= ahead {
            return;
        }
        let mut by_load: Vec<(usize, u64, CompactString)> = left
            .iter()
            .filter(|name| self.waves[place].may_empty(name, now))
            .filter_map(|name| {
                let endpoint = self.endpoints.get(self.endpoint_of_vm(name)?);
                let lasting = endpoint.long_running_runs;
                let is_open = !endpoint.is_cordoned && !endpoint.is_draining;
                is_open.then(|| (lasting, endpoint.used.cpu_millis, name.clone()))
            })
            .collect();
        by_load.sort_unstable();
        for (lasting, _, name) in by_load.into_iter().take(ahead - busy) {
            if let Some(key) = self.endpoint_of_vm(&name) {
                self.endpoints.get_mut(key).is_cordoned = true;
            }
            self.waves[place].empty(Emptying::new(name, lasting, now));
        }
    }

    /// Returns how many VMs have to be emptied at once for the wave to be in time.
    ///
    /// Emptying more than that takes room from jobs, and from long-running tasks the endpoints on
    /// which they could go on.
    fn pace_of_wave(&self, place: usize, left: usize, now: Now) -> usize {
        let wave = &self.waves[place];
        let Some(order) = &wave.order else {
            return 1;
        };
        let passed_ms = now.wall_ms.saturating_sub(wave.stored.since_ms);
        let rest_ms = (duration_ms(order) * AIM_PERCENT / 100).saturating_sub(passed_ms);
        let turns = usize::try_from(rest_ms / self.turn_ms()).unwrap_or(usize::MAX);
        left.div_ceil(turns.max(1)).clamp(1, order.max_count.max(1))
    }

    /// Time from the decision to empty a VM to its return, in milliseconds.
    fn turn_ms(&self) -> u64 {
        self.settings.maintenance_ms + TURN_MS + DRAIN_PATIENCE_MS
    }

    /// Stops what runs on VMs that have been emptied for long: long-running tasks at once, as far
    /// as their budgets allow, the others when the wave would be late otherwise.
    fn hurry(&mut self, place: usize, now: Now) {
        let wave = &self.waves[place];
        let is_short_of_time = wave.order.as_ref().is_some_and(|order| {
            let left = order.vms.iter().filter(|vm| !wave.has_begun(vm)).count();
            let turns = left.div_ceil(order.max_count.max(1));
            let needed_ms = u64::try_from(turns).unwrap_or(u64::MAX) * self.turn_ms();
            let passed_ms = now.wall_ms.saturating_sub(wave.stored.since_ms);
            passed_ms + needed_ms > duration_ms(order) * AIM_PERCENT / 100
        });
        for Emptying { vm, since_ms, .. } in wave.emptying.clone() {
            let Some(key) = self.endpoint_of_vm(&vm) else {
                continue;
            };
            let is_impatient = is_short_of_time && now.steady_ms >= since_ms + DRAIN_PATIENCE_MS;
            let runs: Vec<(TaskRef, u32, bool)> = self
                .endpoints
                .get(key)
                .placed_runs
                .iter()
                .map(|placed| (placed.task, placed.run, placed.is_long_running))
                .collect();
            for (task, run, is_long_running) in runs {
                let may_stop = if is_long_running {
                    self.may_interrupt(&task)
                } else {
                    is_impatient
                };
                if may_stop {
                    self.stop_run(&task, run, now);
                }
            }
        }
    }

    /// Gives VMs back that cannot be emptied.
    ///
    /// All tasks of a step ran on the only VM that has what they need. One was stopped, could not go
    /// on anywhere but there, and with it away none of the others could be stopped: the VM took no
    /// work for good, and the task was away as long.
    fn give_back_stuck(&mut self, place: usize, now: Now) {
        for at in (0..self.waves[place].emptying.len()).rev() {
            let vm = self.waves[place].emptying[at].vm.clone();
            let Some(key) = self.endpoint_of_vm(&vm) else {
                continue;
            };
            let endpoint = self.endpoints.get_mut(key);
            let lasting = endpoint.long_running_runs;
            let known = &mut self.waves[place].emptying[at];
            if known.lasting != lasting {
                known.lasting = lasting;
                known.changed_ms = now.steady_ms;
            }
            let changed_ms = known.changed_ms;
            // What was ordered for the VM may still be carried out.
            let is_ordered = self.waves[place].is_ordered(&vm);
            if lasting > 0 && !is_ordered && now.steady_ms >= changed_ms + GIVE_BACK_MS {
                endpoint.is_cordoned = false;
                self.waves[place].give_back(&vm, now);
                self.is_schedule_due = true;
            }
        }
    }

    /// Tells whether a long-running task may be interrupted within its step's budget.
    pub(crate) fn may_interrupt(&self, task: &TaskRef) -> bool {
        let Ok(place) = self.search(task.job) else {
            return true;
        };
        let job = &self.jobs[place];
        let Some(spec) = job.step_spec(task) else {
            return true;
        };
        if spec.max_unavailable == 0 {
            return true;
        }
        let away = job
            .tasks()
            .filter(|(name, _)| name.is_sibling(task) && name.index != task.index)
            .filter(|(_, other)| {
                !other.attempts.iter().any(|attempt| {
                    // What was told last counts only as long as the endpoint goes on telling.
                    let endpoint = self.endpoints.get(attempt.endpoint);
                    let is_sound = endpoint.is_registered
                        && !endpoint.has_ended
                        && !endpoint.is_draining
                        && endpoint.failed_calls == 0;
                    is_sound && attempt.percent >= 100 && !attempt.is_stopping
                })
            })
            .count();
        away < usize::from(spec.max_unavailable)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds of a wave, never negative"
)]
fn duration_ms(order: &WaveOrder) -> u64 {
    (order.duration_s.max(0.0) * 1_000.0) as u64
}

fn contains(names: &[CompactString], name: &str) -> bool {
    names
        .binary_search_by(|known| known.as_str().cmp(name))
        .is_ok()
}

fn insert(names: &mut Vec<CompactString>, name: &str) {
    if let Err(place) = names.binary_search_by(|known| known.as_str().cmp(name)) {
        names.insert(place, name.into());
    }
}
