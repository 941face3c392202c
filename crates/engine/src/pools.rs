//! Assignment of VMs to pools by demand.

use crate::{
    balance::VmFeature,
    capacity_plan::CapacityPlan,
    demand::{PoolLoad, Shortage, largest_shortage, load_index},
    engine::Engine,
    event::{EndpointKey, Now},
    log_event::LogEvent,
    spare_vms::SpareVms,
    vms::{Vm, VmOrder},
};

/// Time for which a VM has to be idle before it is switched off, in milliseconds. Switching it off
/// and on again costs more than keeping it that long, and bursts often follow each other.
const IDLE_TIMEOUT_MS: u64 = 900;

/// Interval between log events of a pool without orders, in milliseconds. Limits a busy fleet to a few
/// lines a second.
const POOL_LOG_INTERVAL_MS: u64 = 1_000;

impl Engine {
    /// Moves VMs to pools with waiting work, and switches off idle ones.
    pub(crate) fn plan_pools(&mut self, now: Now) {
        let mut loads = self.pool_loads(now);
        if !self.may_order_vms || self.vms.is_empty() {
            self.update_capacity_plan(&loads, now);
            return self.stop_vacating();
        }
        self.retry_vm_orders(now);
        let idle = self.idle_vms(now);
        let mut spares = self.spares(&loads, &idle, now);
        self.fetch_missing(&mut loads, &mut spares, now);
        self.update_capacity_plan(&loads, now);
        self.update_vacating(&loads, now);
        // Late work is counted last, so that it takes no VM from work that can still be on time.
        for load in &mut loads {
            load.include_late();
        }
        self.fetch_missing(&mut loads, &mut spares, now);
        self.switch_off_idle(&mut loads, &idle, now);
        self.log_pool_plans(&loads, now);
    }

    fn update_capacity_plan(&mut self, loads: &[PoolLoad], now: Now) {
        let pools = loads.iter().map(PoolLoad::capacity).collect();
        self.capacity_plan = CapacityPlan::new(pools, now);
    }

    /// Moves VMs to the pools with the largest shortage while there are any to move.
    fn fetch_missing(&mut self, loads: &mut [PoolLoad], spares: &mut SpareVms, now: Now) {
        let mut unmet: Vec<(usize, VmFeature)> = Vec::new();
        while self.vm_order_rate.allows_order()
            && let Some(shortage) = largest_shortage(loads, &unmet)
        {
            let Some(vm) = self.take_spare(loads, &shortage, spares) else {
                // No VM has the required feature; other pools may still be helped.
                let Some(required) = shortage.required else {
                    break;
                };
                unmet.push((shortage.pool_index, required));
                continue;
            };
            self.record_departure(loads, vm);
            loads[shortage.pool_index].add_ordered_vm(&self.vms[vm]);
            let pool = loads[shortage.pool_index].name.clone();
            self.order_vm(vm, VmOrder::Move(pool), false, now);
        }
    }

    /// Logs the pools with orders, and periodically all of them.
    fn log_pool_plans(&mut self, loads: &[PoolLoad], now: Now) {
        let is_due = now.steady_ms >= self.pools_logged_ms + POOL_LOG_INTERVAL_MS;
        if is_due {
            self.pools_logged_ms = now.steady_ms;
        }
        let plans = loads
            .iter()
            .filter(|load| !load.is_standby && (is_due || load.has_orders()))
            .map(|load| LogEvent::PoolPlanned(load.plan()));
        self.log_events.extend(plans);
    }

    fn record_departure(&self, loads: &mut [PoolLoad], vm: usize) {
        let vm = &self.vms[vm];
        if let Some(index) = load_index(loads, &vm.entry.pool) {
            loads[index].remove_vm(vm, self.is_vacating(vm));
        }
    }

    /// Returns the VMs that may be ordered elsewhere.
    fn spares(&self, loads: &[PoolLoad], idle: &[(usize, EndpointKey)], now: Now) -> SpareVms {
        let is_free = |index: &usize| {
            let vm = &self.vms[*index];
            vm.accepts_orders(now) && !self.awaits_maintenance(&vm.entry.name)
        };
        let is_standby = |index: &usize| {
            let pool = load_index(loads, &self.vms[*index].entry.pool);
            pool.is_some_and(|pool| loads[pool].is_standby)
        };
        let is_empty = |index: &usize| self.is_vm_empty(&self.vms[*index].entry.name);
        let standby = (0..self.vms.len()).filter(is_standby).filter(is_free);
        let idle = idle.iter().map(|(index, _)| *index);
        SpareVms {
            standby: standby.filter(is_empty).collect(),
            idle: idle.filter(is_free).collect(),
        }
    }

    /// Takes the VM that best matches the work of a pool.
    fn take_spare(
        &self,
        loads: &[PoolLoad],
        shortage: &Shortage,
        spares: &mut SpareVms,
    ) -> Option<usize> {
        let load = &loads[shortage.pool_index];
        let fits = |index: usize| {
            let vm = &self.vms[index];
            vm.entry.pool != load.name && shortage.is_met_by(vm)
        };
        let score = |index: usize| load.suitability(&self.vms[index]);
        let score: Option<&dyn Fn(usize) -> u64> = load.requires_features().then_some(&score);
        spares.take(fits, score, |index| {
            let vm = &self.vms[index];
            if self.is_vacating(vm) {
                // The pool may have lost other VMs since the choice.
                let pool = load_index(loads, &vm.entry.pool);
                pool.is_some_and(|pool| loads[pool].can_spare_vacating())
            } else {
                can_leave(loads, vm)
            }
        })
    }

    fn is_vacating(&self, vm: &Vm) -> bool {
        let endpoint = self.endpoint_of_vm(&vm.entry.name);
        endpoint.is_some_and(|key| self.endpoints.get(key).is_vacating)
    }

    /// Returns the idle VMs that accept starts or are vacating with their endpoints, sorted.
    fn idle_vms(&self, now: Now) -> Vec<(usize, EndpointKey)> {
        let mut idle: Vec<(usize, EndpointKey)> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                let is_usable =
                    endpoint.accepts_starts(now.steady_ms) || endpoint.is_vacated_only();
                endpoint.placed_runs.is_empty() && is_usable
            })
            // Only the latest incarnation on a VM counts.
            .filter(|(key, endpoint)| self.endpoints.on_vm(endpoint.vm()) == Some(*key))
            .filter_map(|(key, endpoint)| Some((self.vm_index(endpoint.vm()).ok()?, key)))
            .collect();
        idle.sort_unstable();
        idle
    }

    fn switch_off_idle(&mut self, loads: &mut [PoolLoad], idle: &[(usize, EndpointKey)], now: Now) {
        let Some(standby) = loads.iter().find(|load| load.is_standby) else {
            return;
        };
        let standby = standby.name.clone();
        for &(index, key) in idle {
            let vm = &self.vms[index];
            if !vm.accepts_orders(now)
                || vm.entry.pool == standby
                || !self.vm_order_rate.allows_order()
            {
                continue;
            }
            let is_idle_timeout_over =
                now.steady_ms >= self.endpoints.get(key).empty_since_ms + IDLE_TIMEOUT_MS;
            if is_idle_timeout_over && can_leave(loads, vm) {
                self.record_departure(loads, index);
                self.order_vm(index, VmOrder::Move(standby.clone()), false, now);
            }
        }
    }
}

/// Returns whether the pool of a VM can spare it.
fn can_leave(loads: &[PoolLoad], vm: &Vm) -> bool {
    load_index(loads, &vm.entry.pool).is_some_and(|index| loads[index].can_spare(vm))
}
