//! VMs and pools: which VM belongs where, by what the pools' work asks for.

use {
    crate::{
        balance::Trait,
        demand::{Need, PoolLoad, load_place, neediest},
        engine::Engine,
        event::{Effect, EndpointKey, Now, VmOutcome},
        note::Note,
        reports::{VmEntry, VmState},
        stored::{Record, StoredVm, vm_record},
    },
    compact_str::CompactString,
    std::cmp::Reverse,
};

/// Time that a VM has to be empty before it is switched off, in milliseconds. Two moves cost about as
/// much as keeping it for 2.3 s, and a burst often follows within one: with 500 ms and with 1,400 ms
/// fewer jobs were in time for the price.
const IDLE_MS: u64 = 900;

/// Time without answer after which an order for a VM is repeated, in milliseconds.
const VM_ORDER_RETRY_MS: u64 = 1_500;

/// Time added to a maintenance before a list counts that shows the VM back, in milliseconds.
const MAINTENANCE_SLACK_MS: u64 = 300;

/// Time between two notes on how a pool stands while nothing is ordered for it, in milliseconds: a few
/// lines a second for a busy fleet.
const PLANS_NOTED_EVERY_MS: u64 = 1_000;

/// Pause of a VM that refused an order, in milliseconds.
const VM_REST_MS: u64 = 2_000;

/// What was ordered for a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum VmOrder {
    /// A move to this pool.
    Move(CompactString),
    /// Maintenance of this wave.
    Maintain(u64),
}

/// A VM as this owner knows it.
#[derive(Clone, Debug)]
pub struct Vm {
    /// As the platform listed it last.
    pub entry: VmEntry,
    /// Order without a known outcome.
    pub order: Option<VmOrder>,
    /// Endpoint that was on the VM when the order was given first.
    pub ordered_endpoint: Option<EndpointKey>,
    /// When that order was given, on the steady clock.
    pub ordered_ms: u64,
    /// Until when nothing is ordered for it, on the steady clock.
    pub rests_until_ms: u64,
    /// Whether an order for it is still to be stored.
    pub is_dirty: bool,
    /// Until when its maintenance lasts at least, on the steady clock.
    pub maintained_until_ms: u64,
    /// When something was ordered for it last, as the time of day in milliseconds since 1970.
    stored_order_ms: u64,
}

impl Engine {
    pub(crate) fn vm_place(&self, name: &str) -> Result<usize, usize> {
        self.vms
            .binary_search_by(|vm| vm.entry.name.as_str().cmp(name))
    }

    /// Takes in the platform's list of VMs.
    pub(crate) fn vms_listed(&mut self, entries: Vec<VmEntry>, now: Now) {
        let is_gone = |vm: &Vm| !entries.iter().any(|entry| entry.name == vm.entry.name);
        self.vms.retain(|vm| !is_gone(vm));
        for entry in entries {
            if !entry.endpoint.is_empty()
                && let Some(key) = self.endpoints.find(&entry.endpoint)
            {
                self.endpoints.get_mut(key).vm.clone_from(&entry.name);
            }
            match self.vm_place(&entry.name) {
                Ok(place) => self.vms[place].refresh(entry, now),
                Err(place) => self.vms.insert(
                    place,
                    Vm {
                        rests_until_ms: self.inherited_rest_ms(&entry.name),
                        entry,
                        order: None,
                        ordered_endpoint: None,
                        ordered_ms: 0,
                        maintained_until_ms: 0,
                        is_dirty: false,
                        stored_order_ms: 0,
                    },
                ),
            }
        }
        self.end_replaced(now);
    }

    /// Ends lives on VMs that are listed with another one.
    fn end_replaced(&mut self, now: Now) {
        let replaced: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                !endpoint.is_over
                    && !endpoint.vm.is_empty()
                    && self.vm_place(&endpoint.vm).is_ok_and(|place| {
                        let current = &self.vms[place].entry.endpoint;
                        // A list may be older than the registry: only a later life counts.
                        self.endpoints.find(current).is_some_and(|other| {
                            let other = self.endpoints.get(other);
                            other.is_reconciled && other.entry_order > endpoint.entry_order
                        })
                    })
            })
            .map(|(key, _)| key)
            .collect();
        for key in replaced {
            self.endpoint_over(key, now);
        }
    }

    pub(crate) fn endpoint_of_vm(&self, name: &str) -> Option<EndpointKey> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.vm == name && !endpoint.is_over)
            .map(|(key, _)| key)
            .last()
    }

    /// Takes in the answer to an order for a VM.
    pub(crate) fn vm_answered(&mut self, name: &str, outcome: VmOutcome, now: Now) {
        let Ok(place) = self.vm_place(name) else {
            return;
        };
        let Some(order) = self.vms[place].order.clone() else {
            return;
        };
        // Only the life that the order found on the VM ends with it. A repeated order is answered
        // as done, too, when the VM has come back and another life already runs tasks on it.
        let endpoint = self.vms[place].ordered_endpoint;
        match outcome {
            VmOutcome::Done => {
                self.vms[place].is_dirty = true;
                let until_ms = now.steady_ms + self.settings.maintenance_ms + MAINTENANCE_SLACK_MS;
                self.vms[place].begin_absence(&order, until_ms);
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_begun(wave, name);
                }
                if let Some(key) = endpoint {
                    self.endpoint_over(key, now);
                }
            }
            VmOutcome::Busy | VmOutcome::Refused => {
                let vm = &mut self.vms[place];
                vm.order = None;
                vm.rests_until_ms = now.steady_ms + VM_REST_MS;
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_refused(wave, name);
                }
                if let Some(key) = endpoint {
                    self.endpoints.get_mut(key).is_held_back = false;
                }
            }
            // Repeated later: both orders do nothing when they were carried out before.
            VmOutcome::Unknown => {}
        }
    }

    /// Orders a move or maintenance of a VM whose endpoint is empty.
    pub(crate) fn order_vm(&mut self, place: usize, order: VmOrder, now: Now) {
        let name = self.vms[place].entry.name.clone();
        let current = self.endpoint_of_vm(&name);
        let vm = &mut self.vms[place];
        if vm.order.as_ref() != Some(&order) {
            vm.ordered_endpoint = current;
        }
        vm.ordered_ms = now.steady_ms;
        let effect = match &order {
            VmOrder::Move(pool) => Effect::Move {
                vm: name.clone(),
                pool: pool.clone(),
            },
            VmOrder::Maintain(wave) => Effect::Maintain {
                vm: name.clone(),
                wave: *wave,
            },
        };
        vm.order = Some(order);
        vm.stored_order_ms = now.wall_ms;
        vm.is_dirty = true;
        self.forming.push(effect);
        if let Some(key) = self.vms[place].ordered_endpoint {
            self.endpoints.get_mut(key).is_held_back = true;
        }
    }

    /// Returns the records of the VMs for which something was ordered, or whose order is settled.
    pub(crate) fn vm_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for vm in self.vms.iter_mut().filter(|vm| vm.is_dirty) {
            vm.is_dirty = false;
            let stored = StoredVm {
                ordered_ms: vm.stored_order_ms,
                is_settled: vm.order.is_none(),
                epoch: self.epoch,
            };
            records.push(vm_record(&vm.entry.name, stored));
        }
        records
    }

    fn repeat_vm_orders(&mut self, now: Now) {
        for place in 0..self.vms.len() {
            let vm = &self.vms[place];
            let is_due = now.steady_ms >= vm.ordered_ms + VM_ORDER_RETRY_MS;
            if let Some(order) = vm.order.clone()
                && is_due
            {
                self.order_vm(place, order, now);
            }
        }
    }

    /// Moves VMs to where work waits, and switches off those that have been empty for long.
    pub(crate) fn plan_pools(&mut self, now: Now) {
        if !self.may_order_vms || self.vms.is_empty() {
            return;
        }
        self.repeat_vm_orders(now);
        let mut loads = self.pool_loads(now);
        let idle = self.idle_endpoints(now);
        self.fetch_needed(&mut loads, &idle, now);
        // What is late already takes no VM from what can still be on time.
        for load in &mut loads {
            load.count_late();
        }
        self.fetch_needed(&mut loads, &idle, now);
        self.switch_off_idle(&mut loads, &idle, now);
        self.note_plans(&loads, now);
    }

    /// Moves VMs to where work waits, as long as there are some.
    fn fetch_needed(&mut self, loads: &mut [PoolLoad], idle: &[Option<EndpointKey>], now: Now) {
        let mut passed_over: Vec<(usize, Trait)> = Vec::new();
        while let Some(need) = neediest(loads, &passed_over) {
            let Some(vm) = self.spare_vm(loads, &need, idle, now) else {
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
            .map(|load| Note::PoolPlanned(load.plan()));
        self.notes.extend(plans);
    }

    fn note_departure(&self, loads: &mut [PoolLoad], vm: usize) {
        let vm = &self.vms[vm];
        if let Some(place) = load_place(loads, &vm.entry.pool) {
            loads[place].let_go(vm);
        }
    }

    /// Returns a VM that can leave its pool for a needier one: from standby first, then an empty
    /// one of a pool that has more than it wants; among these the one that suits the work best.
    fn spare_vm(
        &self,
        loads: &[PoolLoad],
        need: &Need,
        idle: &[Option<EndpointKey>],
        now: Now,
    ) -> Option<usize> {
        let load = &loads[need.place];
        let is_standby = |vm: &Vm| {
            load_place(loads, &vm.entry.pool).is_some_and(|place| loads[place].is_standby)
        };
        let is_free = |vm: &Vm| {
            vm.order.is_none()
                && vm.entry.state == VmState::Up
                && now.steady_ms >= vm.rests_until_ms
                && vm.entry.pool != load.name
                && need.is_met_by(vm)
                && !self.awaits_maintenance(&vm.entry.name)
        };
        let best = |may_go: &dyn Fn(usize) -> bool| {
            let places =
                (0..self.vms.len()).filter(|&place| may_go(place) && is_free(&self.vms[place]));
            // The first of those that suit alike.
            places.min_by_key(|&place| Reverse(load.suits(&self.vms[place])))
        };
        best(&|place| is_standby(&self.vms[place]))
            .or_else(|| best(&|place| idle[place].is_some() && can_leave(loads, &self.vms[place])))
    }

    /// Returns for each VM the endpoint on it, if that is there and runs nothing.
    fn idle_endpoints(&self, now: Now) -> Vec<Option<EndpointKey>> {
        let mut found = vec![None; self.vms.len()];
        for (key, endpoint) in self.endpoints.iter() {
            if endpoint.is_over {
                continue;
            }
            if let Ok(place) = self.vm_place(&endpoint.vm) {
                // The last life on a VM counts.
                let is_idle = endpoint.placed.is_empty() && endpoint.takes_starts(now.steady_ms);
                found[place] = is_idle.then_some(key);
            }
        }
        found
    }

    fn switch_off_idle(&mut self, loads: &mut [PoolLoad], idle: &[Option<EndpointKey>], now: Now) {
        let Some(standby) = loads.iter().find(|load| load.is_standby) else {
            return;
        };
        let standby = standby.name.clone();
        for (place, key) in idle.iter().enumerate() {
            let vm = &self.vms[place];
            let is_candidate = vm.order.is_none()
                && vm.entry.state == VmState::Up
                && vm.entry.pool != standby
                && now.steady_ms >= vm.rests_until_ms;
            let Some(key) = key.filter(|_| is_candidate) else {
                continue;
            };
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

impl Vm {
    fn refresh(&mut self, entry: VmEntry, now: Now) {
        let is_ordered_move = match &self.order {
            Some(VmOrder::Move(pool)) => entry.pool == *pool,
            _ => false,
        };
        if is_ordered_move {
            self.order = None;
        }
        let is_maintained = now.steady_ms < self.maintained_until_ms;
        self.entry = entry;
        // A list that was asked for before the maintenance began shows the VM as it was; taken for
        // its return, one VM too many would be down.
        if is_maintained {
            self.entry.state = VmState::Maintenance;
        }
    }

    /// Tells whether the VM is down for maintenance, or may be.
    pub fn is_in_maintenance(&self) -> bool {
        self.entry.state == VmState::Maintenance
    }

    /// Notes that the VM has left for what was ordered.
    fn begin_absence(&mut self, order: &VmOrder, maintained_until_ms: u64) {
        self.order = None;
        self.entry.endpoint = CompactString::default();
        match order {
            VmOrder::Move(pool) => {
                self.entry.pool.clone_from(pool);
                self.entry.state = VmState::Moving;
            }
            VmOrder::Maintain(_) => {
                self.entry.state = VmState::Maintenance;
                self.maintained_until_ms = maintained_until_ms;
            }
        }
    }
}
