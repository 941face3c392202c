//! VMs: what the platform lists, what is ordered for them, and what comes of it.

use {
    crate::{
        engine::Engine,
        event::{Effect, EndpointKey, Now, VmOutcome},
        reports::{VmEntry, VmState},
        stored::{Record, StoredVm, vm_record},
    },
    compact_str::CompactString,
};

/// Time without answer after which an order for a VM is repeated, in milliseconds.
const VM_ORDER_RETRY_MS: u64 = 1_500;

/// Time added to a maintenance before a list counts that shows the VM back, in milliseconds.
const MAINTENANCE_SLACK_MS: u64 = 300;

/// Pause of a VM that refused an order, in milliseconds.
const VM_COOLDOWN_MS: u64 = 2_000;

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
    /// Whether a call for that order is under way.
    is_call_pending: bool,
    /// Whether a call for that order got no answer, so that it may be carried out yet.
    may_take_effect: bool,
    /// Until when nothing is ordered for it, on the steady clock.
    pub cooldown_until_ms: u64,
    /// Whether an order for it is still to be stored.
    pub is_dirty: bool,
    /// Until when its maintenance lasts at least, on the steady clock.
    pub maintained_until_ms: u64,
    /// When something was ordered for it last, as the time of day in milliseconds since 1970.
    stored_order_ms: u64,
}

impl Engine {
    pub(crate) fn vm_index(&self, name: &str) -> Result<usize, usize> {
        self.vms
            .binary_search_by(|vm| vm.entry.name.as_str().cmp(name))
    }

    /// Takes in the platform's list of VMs.
    pub(crate) fn update_vms(&mut self, entries: Vec<VmEntry>, now: Now) {
        let mut entries = entries;
        entries.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        let is_listed = |vm: &Vm| {
            let index = entries.binary_search_by(|entry| entry.name.cmp(&vm.entry.name));
            index.is_ok()
        };
        self.vms.retain(is_listed);
        for entry in entries {
            if !entry.endpoint.is_empty()
                && let Some(key) = self.endpoints.find(&entry.endpoint)
            {
                self.endpoints.set_vm(key, &entry.name);
            }
            match self.vm_index(&entry.name) {
                Ok(index) => self.vms[index].update(entry, now),
                Err(index) => self.vms.insert(
                    index,
                    Vm {
                        cooldown_until_ms: self.inherited_cooldown_ms(&entry.name),
                        entry,
                        order: None,
                        ordered_endpoint: None,
                        is_call_pending: false,
                        may_take_effect: false,
                        ordered_ms: 0,
                        maintained_until_ms: 0,
                        is_dirty: false,
                        stored_order_ms: 0,
                    },
                ),
            }
        }
        self.end_replaced_endpoints(now);
    }

    /// Ends lives on VMs that are listed with another one.
    fn end_replaced_endpoints(&mut self, now: Now) {
        let replaced: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                !endpoint.has_ended
                    && !endpoint.vm().is_empty()
                    && self.vm_index(endpoint.vm()).is_ok_and(|index| {
                        let current = &self.vms[index].entry.endpoint;
                        let other = (*current != endpoint.id).then(|| self.endpoints.find(current));
                        // A list may be older than the registry: only a later life counts.
                        other.flatten().is_some_and(|other| {
                            let other = self.endpoints.get(other);
                            other.is_reconciled
                                && other.registration_order > endpoint.registration_order
                        })
                    })
            })
            .map(|(key, _)| key)
            .collect();
        for key in replaced {
            self.endpoint_ended(key, now);
        }
    }

    pub(crate) fn endpoint_of_vm(&self, name: &str) -> Option<EndpointKey> {
        self.endpoints.on_vm(name)
    }

    /// Takes in the answer to an order for a VM.
    pub(crate) fn vm_answered(&mut self, name: &str, outcome: VmOutcome, now: Now) {
        let Ok(index) = self.vm_index(name) else {
            return;
        };
        self.vms[index].is_call_pending = false;
        let Some(order) = self.vms[index].order.clone() else {
            return;
        };
        // Only the life that the order found on the VM ends with it. A repeated order is answered
        // as done, too, when the VM has come back and another life already runs tasks on it.
        let endpoint = self.vms[index].ordered_endpoint;
        match outcome {
            VmOutcome::Done => {
                self.vms[index].is_dirty = true;
                let until_ms = now.steady_ms + self.settings.maintenance_ms + MAINTENANCE_SLACK_MS;
                self.vms[index].mark_unavailable(&order, until_ms);
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_begun(wave, name);
                }
                if let Some(key) = endpoint {
                    self.endpoint_ended(key, now);
                }
            }
            // An earlier call of the order may be carried out yet, or has been: given back now, the VM
            // would take work that ends with it. The order is repeated until its outcome is known.
            VmOutcome::Busy | VmOutcome::Refused if self.vms[index].may_take_effect => {
                self.vms[index].ordered_ms = now.steady_ms;
            }
            VmOutcome::Busy | VmOutcome::Refused => {
                let vm = &mut self.vms[index];
                vm.order = None;
                vm.cooldown_until_ms = now.steady_ms + VM_COOLDOWN_MS;
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_refused(wave, name);
                }
                if let Some(key) = endpoint {
                    self.endpoints.get_mut(key).is_cordoned = false;
                }
            }
            // Repeated later: both orders do nothing when they were carried out before.
            VmOutcome::Unknown => self.vms[index].may_take_effect = true,
        }
    }

    /// Orders a move or maintenance of a VM whose endpoint is empty.
    pub(crate) fn order_vm(&mut self, index: usize, order: VmOrder, now: Now) {
        let name = self.vms[index].entry.name.clone();
        let current = self.endpoint_of_vm(&name);
        let vm = &mut self.vms[index];
        if vm.order.as_ref() != Some(&order) {
            vm.ordered_endpoint = current;
            vm.may_take_effect = false;
        }
        vm.is_call_pending = true;
        self.vm_order_rate.record_order();
        vm.ordered_ms = now.steady_ms;
        let effect = match &order {
            VmOrder::Move(pool) => Effect::MoveVm {
                vm: name.clone(),
                pool: pool.clone(),
            },
            VmOrder::Maintain(wave) => Effect::MaintainVm {
                vm: name.clone(),
                wave: *wave,
            },
        };
        vm.order = Some(order);
        vm.stored_order_ms = now.wall_ms;
        vm.is_dirty = true;
        self.pending_effects.push(effect);
        if let Some(key) = self.vms[index].ordered_endpoint {
            self.endpoints.get_mut(key).is_cordoned = true;
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

    /// Repeats orders whose calls got no answer.
    pub(crate) fn retry_vm_orders(&mut self, now: Now) {
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            let is_due = !vm.is_call_pending
                && now.steady_ms >= vm.ordered_ms + VM_ORDER_RETRY_MS
                && self.vm_order_rate.allows_order();
            if let Some(order) = vm.order.clone()
                && is_due
            {
                self.order_vm(index, order, now);
            }
        }
    }
}

impl Vm {
    fn update(&mut self, entry: VmEntry, now: Now) {
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

    /// Tells whether something may be ordered for the VM.
    ///
    /// While a call is under way, its answer would be taken for that to another order.
    pub(crate) fn accepts_orders(&self, now: Now) -> bool {
        self.order.is_none()
            && !self.is_call_pending
            && self.entry.state == VmState::Up
            && now.steady_ms >= self.cooldown_until_ms
    }

    /// Tells whether the VM is down for maintenance, or may be.
    pub fn is_in_maintenance(&self) -> bool {
        self.entry.state == VmState::Maintenance
    }

    /// Notes that the VM has left for what was ordered.
    fn mark_unavailable(&mut self, order: &VmOrder, maintained_until_ms: u64) {
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
