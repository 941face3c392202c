//! Maintenance waves: which VM is maintained next, within the wave's limits and in time.

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

/// Time that ordering and the return to the pool add to maintenance, in milliseconds.
const MAINTENANCE_OVERHEAD_MS: u64 = 700;

/// Share of a wave's duration in which it is planned to complete, in percent; the rest covers
/// delays.
const TARGET_DURATION_PERCENT: u64 = 85;

/// Time for which a VM is drained before its finite runs may be stopped, in milliseconds.
const DRAIN_GRACE_MS: u64 = 2_500;

/// Time after which a drain is aborted if none of the VM's long-running tasks could leave, in
/// milliseconds. Tasks that find another endpoint leave much sooner, and one that was stopped starts
/// there again before its callers miss it.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// Delay before the drain is retried, in milliseconds; doubled after each failure.
const DRAIN_RETRY_MS: u64 = 6_000;

/// A VM that is being drained.
#[derive(Clone, Debug)]
struct DrainingVm {
    vm: CompactString,
    /// When the drain began, on the monotonic clock.
    since_ms: u64,
    /// Number of long-running tasks left on the VM.
    long_running: usize,
    /// When that number last changed, on the monotonic clock.
    changed_ms: u64,
}

impl DrainingVm {
    fn new(vm: CompactString, long_running: usize, now: Now) -> Self {
        Self {
            vm,
            since_ms: now.steady_ms,
            long_running,
            changed_ms: now.steady_ms,
        }
    }
}

/// A VM whose drain was aborted.
#[derive(Clone, Debug)]
struct AbortedDrain {
    vm: CompactString,
    until_ms: u64,
    pause_ms: u64,
}

/// A maintenance wave and its progress.
#[derive(Clone, Debug)]
pub struct Wave {
    /// Wave number.
    pub number: u64,
    /// Order of the wave; `None` until this owner has read it.
    order: Option<WaveOrder>,
    stored: StoredWave,
    /// VMs that are being drained, sorted by name.
    draining: Vec<DrainingVm>,
    aborted_drains: Vec<AbortedDrain>,
    is_dirty: bool,
    is_announced: bool,
}

impl Wave {
    fn new(number: u64) -> Self {
        Self {
            number,
            order: None,
            stored: StoredWave::default(),
            draining: Vec::new(),
            aborted_drains: Vec::new(),
            is_dirty: false,
            is_announced: false,
        }
    }

    fn is_draining(&self, vm: &str) -> bool {
        self.search_draining(vm).is_ok()
    }

    fn search_draining(&self, vm: &str) -> Result<usize, usize> {
        self.draining
            .binary_search_by(|known| known.vm.as_str().cmp(vm))
    }

    fn start_draining(&mut self, draining: DrainingVm) {
        if let Err(index) = self.search_draining(&draining.vm) {
            self.draining.insert(index, draining);
        }
    }

    fn stop_draining(&mut self, vm: &str) {
        if let Ok(index) = self.search_draining(vm) {
            self.draining.remove(index);
        }
    }

    /// Returns whether a drain of the VM may begin.
    fn may_drain(&self, vm: &str, now: Now) -> bool {
        let is_paused = self
            .aborted_drains
            .iter()
            .any(|known| known.vm == vm && now.steady_ms < known.until_ms);
        !self.is_draining(vm) && !is_paused
    }

    /// Aborts the drain of a VM and delays the next one.
    fn abort_drain(&mut self, vm: &CompactString, now: Now) {
        self.stop_draining(vm);
        let index = self.aborted_drains.iter().position(|known| known.vm == *vm);
        let index = index.unwrap_or_else(|| {
            self.aborted_drains.push(AbortedDrain {
                vm: vm.clone(),
                until_ms: 0,
                pause_ms: DRAIN_RETRY_MS,
            });
            self.aborted_drains.len() - 1
        });
        let known = &mut self.aborted_drains[index];
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
        let index = self.wave_or_new(number);
        self.waves[index].stored = stored;
    }

    fn wave_or_new(&mut self, number: u64) -> usize {
        match self.waves.binary_search_by_key(&number, |wave| wave.number) {
            Ok(index) => index,
            Err(index) => {
                self.waves.insert(index, Wave::new(number));
                index
            }
        }
    }

    pub(crate) fn wave_ordered(&mut self, order: WaveOrder, now: Now) {
        let index = self.wave_or_new(order.wave);
        let wave = &mut self.waves[index];
        // Stored so that a later owner does not restart the wave's time.
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

    /// Returns the records of changed waves.
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

    /// Returns whether the VM is being drained for maintenance that has not begun.
    pub(crate) fn awaits_maintenance(&self, vm: &str) -> bool {
        self.waves
            .iter()
            .any(|wave| !wave.stored.is_completed && !wave.has_begun(vm) && wave.is_draining(vm))
    }

    pub(crate) fn maintenance_begun(&mut self, number: u64, vm: &str) {
        let index = self.wave_or_new(number);
        let wave = &mut self.waves[index];
        insert(&mut wave.stored.begun, vm);
        wave.stop_draining(vm);
        wave.is_dirty = true;
    }

    pub(crate) fn maintenance_refused(&mut self, number: u64, vm: &str) {
        let index = self.wave_or_new(number);
        let wave = &mut self.waves[index];
        wave.stop_draining(vm);
        if let Ok(at) = wave
            .stored
            .ordered
            .binary_search_by(|known| known.as_str().cmp(vm))
        {
            wave.stored.ordered.remove(at);
            wave.is_dirty = true;
        }
    }

    /// Plans the next steps of each wave.
    pub(crate) fn plan_waves(&mut self, now: Now) {
        if !self.may_order_vms || self.vms.is_empty() {
            return;
        }
        for index in 0..self.waves.len() {
            let wave = &self.waves[index];
            if wave.order.is_some() && !wave.stored.is_completed {
                self.plan_wave(index, now);
            }
        }
    }

    fn plan_wave(&mut self, index: usize, now: Now) {
        let Some(order) = self.waves[index].order.clone() else {
            return;
        };
        let remaining: Vec<CompactString> = order
            .vms
            .iter()
            .filter(|vm| !self.waves[index].has_begun(vm) && self.vm_index(vm).is_ok())
            .cloned()
            .collect();
        self.cordon_ordered(index, &remaining, now);
        let down = self.down_in_wave(index, &order);
        if remaining.is_empty() {
            self.complete_wave(index);
            return;
        }
        let mut budget = order.max_count.saturating_sub(down);
        self.order_maintenance(index, &remaining, &mut budget, now);
        self.drain_more(index, &remaining, budget, now);
        self.stop_runs_on_draining(index, now);
        self.abort_stuck_drains(index, now);
    }

    /// Cordons VMs whose maintenance was ordered with an unknown outcome.
    ///
    /// An order of a previous owner may still take effect and is retried, which would cut off
    /// anything started meanwhile, including long-running tasks beyond their budget.
    fn cordon_ordered(&mut self, index: usize, remaining: &[CompactString], now: Now) {
        for name in remaining {
            let wave = &mut self.waves[index];
            if wave.is_ordered(name) && !wave.is_draining(name) {
                wave.start_draining(DrainingVm::new(name.clone(), 0, now));
            }
            if wave.is_draining(name)
                && let Some(key) = self.endpoint_of_vm(name)
            {
                self.endpoints.get_mut(key).is_cordoned = true;
            }
        }
    }

    fn complete_wave(&mut self, index: usize) {
        let wave = &mut self.waves[index];
        wave.stored.is_completed = true;
        wave.is_dirty = true;
        let number = wave.number;
        self.pending_effects.push(Effect::PublishWave {
            wave: number,
            is_completed: true,
        });
    }

    /// Returns how many VMs of the wave are down or may be.
    fn down_in_wave(&self, index: usize, order: &WaveOrder) -> usize {
        let wave = &self.waves[index];
        order
            .vms
            .iter()
            .filter(|name| {
                let Ok(vm) = self.vm_index(name).map(|index| &self.vms[index]) else {
                    return false;
                };
                let is_pending = wave.is_ordered(name) && !wave.has_begun(name);
                is_pending || vm.is_in_maintenance()
            })
            .count()
    }

    /// Orders maintenance of VMs that run nothing.
    fn order_maintenance(
        &mut self,
        index: usize,
        remaining: &[CompactString],
        budget: &mut usize,
        now: Now,
    ) {
        for name in remaining {
            // VMs with an earlier order already count as down, and only a retry reveals its
            // outcome.
            let is_counted = self.waves[index].is_ordered(name);
            if (*budget == 0 && !is_counted)
                || !self.vm_order_rate.allows_order()
                || !self.can_begin_maintenance(name, now)
            {
                continue;
            }
            let Ok(vm) = self.vm_index(name) else {
                continue;
            };
            let wave = &mut self.waves[index];
            insert(&mut wave.stored.ordered, name);
            wave.is_dirty = true;
            let number = wave.number;
            self.order_vm(vm, VmOrder::Maintain(number), is_counted, now);
            if !is_counted {
                *budget -= 1;
            }
        }
    }

    fn can_begin_maintenance(&self, name: &str, now: Now) -> bool {
        let Ok(vm) = self.vm_index(name).map(|index| &self.vms[index]) else {
            return false;
        };
        let is_empty = match self.endpoint_of_vm(name) {
            Some(key) => {
                let endpoint = self.endpoints.get(key);
                endpoint.placed_runs.is_empty() && endpoint.is_reconciled && !endpoint.is_draining
            }
            // VMs in the standby pool have no endpoint.
            None => vm.entry.endpoint.is_empty(),
        };
        vm.accepts_orders(now) && is_empty
    }

    /// Drains as many VMs as can be maintained next.
    fn drain_more(&mut self, index: usize, remaining: &[CompactString], budget: usize, now: Now) {
        let ahead = self
            .required_parallelism(index, remaining.len(), now)
            .min(budget.max(1));
        let busy = self.waves[index].draining.len();
        if busy >= ahead {
            return;
        }
        let mut by_load: Vec<(usize, u64, CompactString)> = remaining
            .iter()
            .filter(|name| self.waves[index].may_drain(name, now))
            .filter_map(|name| {
                let endpoint = self.endpoints.get(self.endpoint_of_vm(name)?);
                let long_running = endpoint.long_running_runs;
                let is_open = !endpoint.is_cordoned && !endpoint.is_draining;
                is_open.then(|| (long_running, endpoint.used.cpu_millis, name.clone()))
            })
            .collect();
        by_load.sort_unstable();
        for (long_running, _, name) in by_load.into_iter().take(ahead - busy) {
            if let Some(key) = self.endpoint_of_vm(&name) {
                self.endpoints.get_mut(key).is_cordoned = true;
            }
            self.waves[index].start_draining(DrainingVm::new(name, long_running, now));
        }
    }

    /// Returns how many VMs must be drained at the same time for the wave to complete in time.
    ///
    /// Draining more would take capacity from jobs and from the long-running tasks that have to
    /// move.
    fn required_parallelism(&self, index: usize, remaining: usize, now: Now) -> usize {
        let wave = &self.waves[index];
        let Some(order) = &wave.order else {
            return 1;
        };
        let elapsed_ms = now.wall_ms.saturating_sub(wave.stored.since_ms);
        let remaining_ms =
            (duration_ms(order) * TARGET_DURATION_PERCENT / 100).saturating_sub(elapsed_ms);
        let rounds =
            usize::try_from(remaining_ms / self.maintenance_cycle_ms()).unwrap_or(usize::MAX);
        remaining
            .div_ceil(rounds.max(1))
            .clamp(1, order.max_count.max(1))
    }

    /// Returns the time from the start of a drain to the return of the VM, in milliseconds.
    fn maintenance_cycle_ms(&self) -> u64 {
        self.settings.maintenance_ms + MAINTENANCE_OVERHEAD_MS + DRAIN_GRACE_MS
    }

    /// Stops runs on draining VMs: long-running ones immediately within their budgets, finite ones
    /// after the grace time if the wave would be late otherwise.
    fn stop_runs_on_draining(&mut self, index: usize, now: Now) {
        let wave = &self.waves[index];
        let is_short_of_time = wave.order.as_ref().is_some_and(|order| {
            let remaining = order.vms.iter().filter(|vm| !wave.has_begun(vm)).count();
            let rounds = remaining.div_ceil(order.max_count.max(1));
            let needed_ms = u64::try_from(rounds).unwrap_or(u64::MAX) * self.maintenance_cycle_ms();
            let elapsed_ms = now.wall_ms.saturating_sub(wave.stored.since_ms);
            elapsed_ms + needed_ms > duration_ms(order) * TARGET_DURATION_PERCENT / 100
        });
        for DrainingVm { vm, since_ms, .. } in wave.draining.clone() {
            let Some(key) = self.endpoint_of_vm(&vm) else {
                continue;
            };
            let is_grace_over = is_short_of_time && now.steady_ms >= since_ms + DRAIN_GRACE_MS;
            let runs: Vec<(TaskRef, u32, bool)> = self
                .endpoints
                .get(key)
                .placed_runs
                .iter()
                .map(|placed| (placed.task, placed.run, placed.is_long_running))
                .collect();
            for (task, run, is_long_running) in runs {
                let may_stop = if is_long_running {
                    self.can_interrupt(&task)
                } else {
                    is_grace_over
                };
                if may_stop {
                    self.stop_run(&task, run, now);
                }
            }
        }
    }

    /// Aborts drains that make no progress.
    ///
    /// If all tasks of a step depend on the same VM, a stopped one cannot start elsewhere, and the
    /// budget then keeps the others from being stopped. Without an abort the VM would stay cordoned
    /// forever.
    fn abort_stuck_drains(&mut self, index: usize, now: Now) {
        for at in (0..self.waves[index].draining.len()).rev() {
            let vm = self.waves[index].draining[at].vm.clone();
            let Some(key) = self.endpoint_of_vm(&vm) else {
                continue;
            };
            let endpoint = self.endpoints.get_mut(key);
            let long_running = endpoint.long_running_runs;
            let known = &mut self.waves[index].draining[at];
            if known.long_running != long_running {
                known.long_running = long_running;
                known.changed_ms = now.steady_ms;
            }
            let changed_ms = known.changed_ms;
            // The order may still take effect.
            let is_ordered = self.waves[index].is_ordered(&vm);
            if long_running > 0 && !is_ordered && now.steady_ms >= changed_ms + DRAIN_TIMEOUT_MS {
                endpoint.is_cordoned = false;
                self.waves[index].abort_drain(&vm, now);
                self.is_schedule_due = true;
            }
        }
    }

    /// Returns whether a long-running task may be interrupted within its step's budget.
    pub(crate) fn can_interrupt(&self, task: &TaskRef) -> bool {
        let Ok(index) = self.search(task.job) else {
            return true;
        };
        let job = &self.jobs[index];
        let Some(spec) = job.step_spec(task) else {
            return true;
        };
        if spec.max_unavailable == 0 {
            return true;
        }
        let unavailable_count = job
            .tasks()
            .filter(|(name, _)| name.is_sibling(task) && name.index != task.index)
            .filter(|(_, other)| {
                !other.attempts.iter().any(|attempt| {
                    // The last report only counts while the endpoint is reachable.
                    let endpoint = self.endpoints.get(attempt.endpoint);
                    let is_available = endpoint.is_registered
                        && !endpoint.has_ended
                        && !endpoint.is_draining
                        && endpoint.failed_calls == 0;
                    is_available && attempt.percent >= 100 && !attempt.is_stopping()
                })
            })
            .count();
        unavailable_count < usize::from(spec.max_unavailable)
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

fn contains(sorted_names: &[CompactString], name: &str) -> bool {
    sorted_names
        .binary_search_by(|known| known.as_str().cmp(name))
        .is_ok()
}

fn insert(sorted_names: &mut Vec<CompactString>, name: &str) {
    if let Err(index) = sorted_names.binary_search_by(|known| known.as_str().cmp(name)) {
        sorted_names.insert(index, name.into());
    }
}
