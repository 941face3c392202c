//! VMs: the platform's list, orders, and their outcomes.

use {
    crate::{
        engine::Engine,
        event::{Effect, EndpointKey, Now, VmOutcome},
        log_event::LogEvent,
        reports::{VmEntry, VmState},
        stored::{Record, StoredVm, vm_record},
    },
    compact_str::CompactString,
};

/// Time after which an unanswered VM order is retried, in milliseconds.
const VM_ORDER_RETRY_MS: u64 = 1_500;

/// Time added to the duration of maintenance before a list may show the VM as up, in milliseconds.
const MAINTENANCE_SLACK_MS: u64 = 300;

/// Time within which a call without an answer takes effect, if ever, in milliseconds.
const LATE_EFFECT_MS: u64 = 30_000;

/// Cooldown of a VM that refused an order, in milliseconds.
const VM_COOLDOWN_MS: u64 = 2_000;

/// Order for a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum VmOrder {
    /// Move to a pool.
    Move(CompactString),
    /// Maintenance in a wave.
    Maintain(u64),
}

/// A VM as known to this owner.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Latest entry in the platform's list.
    pub entry: VmEntry,
    /// When the list with the entry was requested, on the monotonic clock.
    listed_ms: u64,
    /// When the order was first sent or reported as done, on the monotonic clock. Lists that were
    /// requested before do not show its effect.
    changed_ms: u64,
    /// Order with an unknown outcome.
    pub order: Option<VmOrder>,
    /// Endpoint on the VM when the order was first given.
    pub ordered_endpoint: Option<EndpointKey>,
    /// When the order was last sent, on the monotonic clock.
    pub ordered_ms: u64,
    /// Whether a previous owner may have had the order executed.
    is_inherited: bool,
    /// Number of the call in flight.
    pending_call: Option<u64>,
    /// When a call with the order, also one of a previous owner, last got no response, on the
    /// monotonic clock. It may have taken effect or still do so.
    unanswered_ms: Option<u64>,
    /// Earliest time of the next order, on the monotonic clock.
    pub cooldown_until_ms: u64,
    /// Whether the record of the VM has to be stored.
    pub is_dirty: bool,
    /// Earliest end of its maintenance, on the monotonic clock.
    pub maintained_until_ms: u64,
    /// Wall-clock time of the last order, in milliseconds since the Unix epoch.
    stored_order_ms: u64,
}

impl Engine {
    pub(crate) fn vm_index(&self, name: &str) -> Result<usize, usize> {
        self.vms
            .binary_search_by(|vm| vm.entry.name.as_str().cmp(name))
    }

    /// Applies the platform's list of VMs.
    pub(crate) fn update_vms(&mut self, entries: Vec<VmEntry>, requested_ms: u64, now: Now) {
        let mut entries = entries;
        entries.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        let is_listed = |vm: &Vm| {
            let index = entries.binary_search_by(|entry| entry.name.cmp(&vm.entry.name));
            index.is_ok()
        };
        let unlisted = self.vms.extract_if(.., |vm| !is_listed(vm));
        self.unlisted_vms
            .extend(unlisted.filter(|vm| vm.order.is_some()));
        self.forget_unlisted_vms(now);
        for entry in entries {
            if !entry.endpoint.is_empty()
                && let Some(key) = self.endpoints.find(&entry.endpoint)
            {
                self.endpoints.set_vm(key, &entry.name);
            }
            match self.vm_index(&entry.name) {
                Ok(index) => self.vms[index].update(entry, requested_ms, now),
                Err(index) => {
                    let vm = self.newly_listed_vm(entry, requested_ms, now);
                    self.vms.insert(index, vm);
                }
            }
        }
        self.end_replaced_endpoints(now);
    }

    /// Forgets VMs that have been missing from lists for so long that their orders no longer take
    /// effect. They may have got another purpose since.
    fn forget_unlisted_vms(&mut self, now: Now) {
        let is_over = |vm: &mut Vm| {
            let last_call_ms = vm.ordered_ms.max(vm.unanswered_ms.unwrap_or_default());
            now.steady_ms >= last_call_ms + LATE_EFFECT_MS
        };
        let forgotten: Vec<Vm> = self.unlisted_vms.extract_if(.., is_over).collect();
        for vm in forgotten {
            let active: Vec<EndpointKey> = self.endpoints.active_on_vm(&vm.entry.name).collect();
            for key in active {
                self.endpoints.get_mut(key).is_cordoned = false;
            }
        }
    }

    /// Returns the state of a VM that is listed for the first time, or again.
    ///
    /// An order from before it was missing may have taken effect or may still do so. It is sent
    /// again to learn its outcome, and the response to its earlier call is ignored.
    fn newly_listed_vm(&mut self, entry: VmEntry, requested_ms: u64, now: Now) -> Vm {
        let is_known = |vm: &Vm| vm.entry.name == entry.name;
        if let Some(at) = self.unlisted_vms.iter().position(is_known) {
            let mut vm = self.unlisted_vms.swap_remove(at);
            vm.pending_call = None;
            vm.ordered_ms = 0;
            vm.unanswered_ms = Some(now.steady_ms);
            vm.update(entry, requested_ms, now);
            return vm;
        }
        Vm {
            cooldown_until_ms: self.inherited_cooldown_ms(&entry.name),
            entry,
            listed_ms: requested_ms,
            changed_ms: 0,
            order: None,
            ordered_endpoint: None,
            is_inherited: false,
            pending_call: None,
            unanswered_ms: None,
            ordered_ms: 0,
            maintained_until_ms: 0,
            is_dirty: false,
            stored_order_ms: 0,
        }
    }

    /// Ends incarnations on VMs that the platform lists with a later one.
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
                        // The list may be older than the registry, so only a later incarnation
                        // counts.
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

    /// Processes the response to a VM order.
    pub(crate) fn vm_answered(&mut self, name: &str, call: u64, outcome: VmOutcome, now: Now) {
        if outcome == VmOutcome::Fenced {
            // This owner has been replaced, and its successor settles the order.
            self.immediate_effects.push(Effect::StepDown);
            return;
        }
        let Ok(index) = self.vm_index(name) else {
            return;
        };
        // A VM that was missing from a list in between may have got another order.
        if self.vms[index].pending_call != Some(call) {
            return;
        }
        self.vms[index].pending_call = None;
        let Some(order) = self.vms[index].order.clone() else {
            return;
        };
        match outcome {
            VmOutcome::Done => {
                self.vms[index].is_dirty = true;
                self.vms[index].changed_ms = now.steady_ms;
                let until_ms = now.steady_ms + self.settings.maintenance_ms + MAINTENANCE_SLACK_MS;
                self.vms[index].mark_unavailable(&order, until_ms);
                match &order {
                    VmOrder::Move(pool) => self.end_incarnations_outside(index, pool, now),
                    VmOrder::Maintain(wave) => {
                        self.maintenance_begun(*wave, name);
                        self.end_maintained_incarnation(index, now);
                    }
                }
            }
            // An earlier call with the order may have taken effect or may still do so, which would
            // end any work started on the VM. The order is retried until its outcome is known.
            VmOutcome::Busy | VmOutcome::Refused if self.vms[index].may_take_effect(now) => {
                self.vms[index].ordered_ms = now.steady_ms;
            }
            VmOutcome::Busy | VmOutcome::Refused => {
                let vm = &mut self.vms[index];
                vm.order = None;
                vm.is_dirty = true;
                vm.cooldown_until_ms = now.steady_ms + VM_COOLDOWN_MS;
                if let VmOrder::Maintain(wave) = order {
                    self.maintenance_refused(wave, name);
                }
                for key in self.active_on_vm(index) {
                    self.endpoints.get_mut(key).is_cordoned = false;
                }
            }
            // Retried later, which is safe as both orders are idempotent.
            VmOutcome::Unknown | VmOutcome::Fenced => {
                self.vms[index].unanswered_ms = Some(now.steady_ms);
            }
        }
    }

    /// Ends the incarnations on a VM that has moved to a pool.
    ///
    /// An order is also reported as done if it has been executed before. An incarnation in the pool
    /// may then be the one that started after the move.
    fn end_incarnations_outside(&mut self, index: usize, pool: &str, now: Now) {
        for key in self.active_on_vm(index) {
            let known = &self.endpoints.get(key).pool;
            if !known.is_empty() && known != pool {
                self.endpoint_ended(key, now);
            }
        }
    }

    /// Ends the incarnation on which the maintenance of a VM was ordered.
    ///
    /// Others may have started before the maintenance or after it, and so may any if a previous
    /// owner ordered it, too. They get work again after another report.
    fn end_maintained_incarnation(&mut self, index: usize, now: Now) {
        let vm = &self.vms[index];
        let ended = vm.ordered_endpoint.filter(|_| !vm.is_inherited);
        for key in self.active_on_vm(index) {
            if ended == Some(key) {
                self.endpoint_ended(key, now);
            } else {
                self.verify_incarnation(key, now);
            }
        }
    }

    /// Returns the incarnations on a VM that are not known to have ended.
    fn active_on_vm(&self, index: usize) -> Vec<EndpointKey> {
        let name = &self.vms[index].entry.name;
        self.endpoints.active_on_vm(name).collect()
    }

    /// Requests a report before an incarnation gets work again.
    fn verify_incarnation(&mut self, key: EndpointKey, now: Now) {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.is_cordoned = false;
        endpoint.is_reconciled = false;
        endpoint.renew_at_ms = endpoint.renew_at_ms.min(now.steady_ms);
        self.renew_lease(key, now);
    }

    /// Cordons an incarnation that an order without a known outcome may still end.
    pub(crate) fn cordon_if_ordered(&mut self, key: EndpointKey) {
        let endpoint = self.endpoints.get(key);
        let Ok(index) = self.vm_index(endpoint.vm()) else {
            return;
        };
        let vm = &self.vms[index];
        let may_end = match &vm.order {
            Some(VmOrder::Move(pool)) => *pool != endpoint.pool,
            Some(VmOrder::Maintain(_)) => true,
            None => false,
        };
        if may_end {
            self.endpoints.get_mut(key).is_cordoned = true;
        }
    }

    /// Returns whether no run may be active on a VM.
    pub(crate) fn is_vm_empty(&self, name: &str) -> bool {
        let mut active = self.endpoints.active_on_vm(name);
        active.all(|key| self.endpoints.get(key).placed_runs.is_empty())
    }

    /// Orders a move or maintenance of a VM, which a previous owner may have ordered before.
    pub(crate) fn order_vm(&mut self, index: usize, order: VmOrder, is_inherited: bool, now: Now) {
        let name = self.vms[index].entry.name.clone();
        let current = self.endpoint_of_vm(&name);
        let endpoint = current.map(|key| self.endpoints.get(key));
        self.log_events.push(LogEvent::VmOrdered {
            vm: name.clone(),
            order: order.clone(),
            is_retry: self.vms[index].order.as_ref() == Some(&order),
            listed: self.vms[index].entry.clone(),
            list_age_ms: now.steady_ms.saturating_sub(self.vms[index].listed_ms),
            endpoint: endpoint.map_or_else(CompactString::default, |known| known.id.clone()),
            runs: endpoint.map_or(0, |known| known.placed_runs.len()),
        });
        let vm = &mut self.vms[index];
        if vm.order.as_ref() != Some(&order) {
            vm.ordered_endpoint = current;
            vm.is_inherited = is_inherited;
            vm.unanswered_ms = is_inherited.then_some(now.steady_ms);
            vm.changed_ms = now.steady_ms;
        }
        self.last_vm_call += 1;
        let call = self.last_vm_call;
        vm.pending_call = Some(call);
        self.vm_order_rate.record_order();
        vm.ordered_ms = now.steady_ms;
        let effect = match &order {
            VmOrder::Move(pool) => Effect::MoveVm {
                vm: name.clone(),
                pool: pool.clone(),
                call,
            },
            VmOrder::Maintain(wave) => Effect::MaintainVm {
                vm: name.clone(),
                wave: *wave,
                call,
            },
        };
        vm.order = Some(order);
        vm.stored_order_ms = now.wall_ms;
        vm.is_dirty = true;
        self.pending_effects.push(effect);
        if let Some(key) = self.vms[index].ordered_endpoint {
            self.cordon_if_ordered(key);
        }
    }

    /// Returns the records of VMs with a new order or a settled one.
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

    /// Retries orders whose calls got no response.
    pub(crate) fn retry_vm_orders(&mut self, now: Now) {
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            let is_due = vm.pending_call.is_none()
                && now.steady_ms >= vm.ordered_ms + VM_ORDER_RETRY_MS
                && self.vm_order_rate.allows_order();
            if let Some(order) = vm.order.clone()
                && is_due
            {
                let is_inherited = vm.is_inherited;
                self.order_vm(index, order, is_inherited, now);
            }
        }
    }
}

impl Vm {
    fn update(&mut self, entry: VmEntry, requested_ms: u64, now: Now) {
        if requested_ms < self.changed_ms {
            return;
        }
        let is_ordered_move = match &self.order {
            Some(VmOrder::Move(pool)) => entry.pool == *pool,
            _ => false,
        };
        if is_ordered_move {
            self.order = None;
        }
        let is_maintained = now.steady_ms < self.maintained_until_ms;
        self.entry = entry;
        self.listed_ms = requested_ms;
        // A list requested before the maintenance began still shows the VM as up. Trusting it would
        // allow one VM too many to be down.
        if is_maintained {
            self.entry.state = VmState::Maintenance;
        }
    }

    /// Returns whether an earlier call with the order may have taken effect or may still do so.
    fn may_take_effect(&self, now: Now) -> bool {
        self.unanswered_ms
            .is_some_and(|at_ms| now.steady_ms < at_ms + LATE_EFFECT_MS)
    }

    /// Returns whether the VM may be given an order.
    ///
    /// While a call is in flight, its response would be taken for that of the new order.
    pub(crate) fn accepts_orders(&self, now: Now) -> bool {
        self.order.is_none()
            && self.pending_call.is_none()
            && self.entry.state == VmState::Up
            && now.steady_ms >= self.cooldown_until_ms
    }

    /// Returns whether the VM is down for maintenance or may be.
    pub fn is_in_maintenance(&self) -> bool {
        self.entry.state == VmState::Maintenance
    }

    /// Records that the VM has left its pool as ordered.
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
