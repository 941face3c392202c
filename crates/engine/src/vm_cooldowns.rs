//! Cooldowns of VMs after a change of owner, which keep the orders of two owners apart.

use {
    crate::{
        engine::Engine,
        event::{EndpointKey, Now},
        stored::{StoredVm, vm_name},
    },
    compact_str::CompactString,
};

/// Maximum difference between the wall clocks of two nodes, including jumps, in milliseconds.
const CLOCK_SPREAD_MS: u64 = 6_000;

/// A VM that a previous owner ordered recently.
#[derive(Clone, Debug)]
pub(crate) struct VmCooldown {
    name: CompactString,
    /// End of the cooldown, on the monotonic clock.
    until_ms: u64,
    /// Whether the outcome of the order is known.
    is_settled: bool,
    /// Epoch of the previous owner.
    epoch: u64,
}

impl Engine {
    /// Restores the cooldown of a VM from its record.
    pub(crate) fn restore_vm(&mut self, name: &str, stored: StoredVm, now: Now) {
        let recent_ms = self.settings.vm_lease_ms + CLOCK_SPREAD_MS;
        if now.wall_ms < stored.ordered_ms + recent_ms
            && let Err(index) = self.search_vm_cooldown(name)
        {
            let cooldown = VmCooldown {
                name: name.into(),
                until_ms: now.steady_ms + self.settings.vm_lease_ms,
                is_settled: stored.is_settled,
                epoch: stored.epoch,
            };
            self.vm_cooldowns.insert(index, cooldown);
        }
    }

    /// Limits the cooldown of a VM to a time on the monotonic clock, which the caller derives from
    /// the position of the order in the record log.
    pub fn limit_vm_cooldown(&mut self, key: &str, until_ms: u64) {
        if let Ok(index) = self.search_vm_cooldown(vm_name(key)) {
            let cooldown = &mut self.vm_cooldowns[index];
            cooldown.until_ms = until_ms.min(cooldown.until_ms);
        }
    }

    /// Shortens the cooldowns caused by an owner whose process has ended. Its last calls have taken
    /// effect by `calls_over_ms` on the monotonic clock.
    ///
    /// An ended owner sends no further orders, so VMs with a known outcome are available
    /// immediately. Otherwise a restart of all nodes would leave every VM in cooldown.
    pub fn end_vm_cooldowns(&mut self, epoch: u64, calls_over_ms: u64) {
        self.vm_cooldowns
            .retain(|cooldown| cooldown.epoch != epoch || !cooldown.is_settled);
        for cooldown in &mut self.vm_cooldowns {
            if cooldown.epoch == epoch {
                cooldown.until_ms = calls_over_ms.min(cooldown.until_ms);
            }
        }
    }

    fn search_vm_cooldown(&self, name: &str) -> Result<usize, usize> {
        self.vm_cooldowns
            .binary_search_by(|known| known.name.as_str().cmp(name))
    }

    /// Returns the end of the cooldown caused by a previous owner, on the monotonic clock; 0 for
    /// none.
    ///
    /// Every order is stored before it is sent, so a VM without a recent record needs no cooldown.
    pub(crate) fn inherited_cooldown_ms(&self, name: &str) -> u64 {
        let index = self.search_vm_cooldown(name);
        index.map_or(0, |index| self.vm_cooldowns[index].until_ms)
    }

    /// Delays starts on an incarnation whose VM an order of a previous owner may still take away.
    pub(crate) fn delay_starts_if_ordered(&mut self, key: EndpointKey) {
        let index = self.search_vm_cooldown(self.endpoints.get(key).vm());
        if let Ok(index) = index
            && !self.vm_cooldowns[index].is_settled
        {
            let until_ms = self.vm_cooldowns[index].until_ms;
            let endpoint = self.endpoints.get_mut(key);
            endpoint.cooldown_until_ms = endpoint.cooldown_until_ms.max(until_ms);
        }
    }
}
