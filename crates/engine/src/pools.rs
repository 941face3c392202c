//! Pools: which VM belongs where, by what the pools' work asks for.

use crate::{
    balance::Trait,
    demand::{Need, PoolLoad, load_place, neediest},
    engine::Engine,
    event::{EndpointKey, Now},
    log_event::LogEvent,
    spares::Spares,
    vms::{Vm, VmOrder},
};

/// Time that a VM has to be empty before it is switched off, in milliseconds: switched off and fetched
/// again it costs more than it does while it is kept, and a burst often follows soon.
const IDLE_MS: u64 = 900;

/// Time between two notes on how a pool stands while nothing is ordered for it, in milliseconds: a few
/// lines a second for a busy fleet.
const PLANS_NOTED_EVERY_MS: u64 = 1_000;

impl Engine {
    /// Moves VMs to where work waits, and switches off those that have been empty for long.
    pub(crate) fn plan_pools(&mut self, now: Now) {
        if !self.may_order_vms || self.vms.is_empty() {
            return;
        }
        self.repeat_vm_orders(now);
        let mut loads = self.pool_loads(now);
        let idle = self.idle_vms(now);
        let mut spares = self.spares(&loads, &idle, now);
        self.fetch_needed(&mut loads, &mut spares, now);
        // What is late already takes no VM from what can still be on time.
        for load in &mut loads {
            load.count_late();
        }
        self.fetch_needed(&mut loads, &mut spares, now);
        self.switch_off_idle(&mut loads, &idle, now);
        self.note_plans(&loads, now);
    }

    /// Moves VMs to where work waits, as long as there are some.
    fn fetch_needed(&mut self, loads: &mut [PoolLoad], spares: &mut Spares, now: Now) {
        let mut passed_over: Vec<(usize, Trait)> = Vec::new();
        while self.vm_order_rate.allows_order()
            && let Some(need) = neediest(loads, &passed_over)
        {
            let Some(vm) = self.take_spare(loads, &need, spares) else {
                // Nobody has what this pool asks for; others may still be helped.
                let Some(required) = need.required else {
                    break;
                };
                passed_over.push((need.place, required));
                continue;
            };
            self.note_departure(loads, vm);
            loads[need.place].take_in(&self.vms[vm]);
            let pool = loads[need.place].name.clone();
            self.order_vm(vm, VmOrder::Move(pool), now);
        }
    }

    /// Notes how pools stand: one for which something was ordered, and each of them now and then.
    fn note_plans(&mut self, loads: &[PoolLoad], now: Now) {
        let is_due = now.steady_ms >= self.plans_noted_ms + PLANS_NOTED_EVERY_MS;
        if is_due {
            self.plans_noted_ms = now.steady_ms;
        }
        let plans = loads
            .iter()
            .filter(|load| !load.is_standby && (is_due || load.has_orders()))
            .map(|load| LogEvent::PoolPlanned(load.plan()));
        self.log_events.extend(plans);
    }

    fn note_departure(&self, loads: &mut [PoolLoad], vm: usize) {
        let vm = &self.vms[vm];
        if let Some(place) = load_place(loads, &vm.entry.pool) {
            loads[place].let_go(vm);
        }
    }

    /// Returns the VMs that are free to be ordered elsewhere.
    fn spares(&self, loads: &[PoolLoad], idle: &[(usize, EndpointKey)], now: Now) -> Spares {
        let is_free = |place: &usize| {
            let vm = &self.vms[*place];
            vm.is_free(now) && !self.awaits_maintenance(&vm.entry.name)
        };
        let is_standby = |place: &usize| {
            let pool = load_place(loads, &self.vms[*place].entry.pool);
            pool.is_some_and(|pool| loads[pool].is_standby)
        };
        let standby = (0..self.vms.len()).filter(is_standby).filter(is_free);
        let idle = idle.iter().map(|(place, _)| *place);
        Spares {
            standby: standby.collect(),
            idle: idle.filter(is_free).collect(),
        }
    }

    /// Takes the VM that suits a needy pool's work best.
    fn take_spare(&self, loads: &[PoolLoad], need: &Need, spares: &mut Spares) -> Option<usize> {
        let load = &loads[need.place];
        let is_of_use = |place: usize| {
            let vm = &self.vms[place];
            vm.entry.pool != load.name && need.is_met_by(vm)
        };
        let suits = |place: usize| load.suits(&self.vms[place]);
        let suits: Option<&dyn Fn(usize) -> u64> = load.has_traits().then_some(&suits);
        spares.take(is_of_use, suits, |place| can_leave(loads, &self.vms[place]))
    }

    /// Returns the VMs whose endpoint takes starts and runs nothing, in order, with that endpoint.
    fn idle_vms(&self, now: Now) -> Vec<(usize, EndpointKey)> {
        let mut idle: Vec<(usize, EndpointKey)> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint.placed_runs.is_empty() && endpoint.takes_starts(now.steady_ms)
            })
            // The last life on a VM counts.
            .filter(|(key, endpoint)| self.endpoints.on_vm(endpoint.vm()) == Some(*key))
            .filter_map(|(key, endpoint)| Some((self.vm_place(endpoint.vm()).ok()?, key)))
            .collect();
        idle.sort_unstable();
        idle
    }

    fn switch_off_idle(&mut self, loads: &mut [PoolLoad], idle: &[(usize, EndpointKey)], now: Now) {
        let Some(standby) = loads.iter().find(|load| load.is_standby) else {
            return;
        };
        let standby = standby.name.clone();
        for &(place, key) in idle {
            let vm = &self.vms[place];
            if !vm.is_free(now) || vm.entry.pool == standby || !self.vm_order_rate.allows_order() {
                continue;
            }
            let has_idled = now.steady_ms >= self.endpoints.get(key).empty_since_ms + IDLE_MS;
            if has_idled && can_leave(loads, vm) {
                self.note_departure(loads, place);
                self.order_vm(place, VmOrder::Move(standby.clone()), now);
            }
        }
    }
}

/// Tells whether a VM's pool has more than it wants.
fn can_leave(loads: &[PoolLoad], vm: &Vm) -> bool {
    load_place(loads, &vm.entry.pool).is_some_and(|place| loads[place].can_spare(vm))
}
