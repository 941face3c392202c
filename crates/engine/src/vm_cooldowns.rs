//! Rests of VMs after a change of owners: orders of two owners must not follow each other closely.

use {
    crate::{
        engine::Engine,
        event::Now,
        stored::{StoredVm, vm_name},
    },
    compact_str::CompactString,
};

/// How far the times of day of two nodes may be apart, in milliseconds, jumps included.
const CLOCK_SPREAD_MS: u64 = 6_000;

/// A VM for which an earlier owner ordered something lately.
#[derive(Clone, Debug)]
pub(crate) struct VmCooldown {
    name: CompactString,
    /// Until when nothing is ordered for it, on the steady clock.
    until_ms: u64,
    /// Whether the outcome of that order is known.
    is_settled: bool,
    /// Epoch of that owner.
    epoch: u64,
}

impl Engine {
    /// Takes in when an earlier owner ordered something for a VM.
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

    /// Takes in until when an earlier owner's order for a VM forbids another at most, on the steady
    /// clock, as the order of records in the log tells it.
    pub fn limit_vm_cooldown(&mut self, key: &str, until_ms: u64) {
        if let Ok(index) = self.search_vm_cooldown(vm_name(key)) {
            let cooldown = &mut self.vm_cooldowns[index];
            cooldown.until_ms = until_ms.min(cooldown.until_ms);
        }
    }

    /// Takes in that the process of an earlier owner is over, and by when the last of its calls has
    /// been carried out, on the steady clock.
    ///
    /// Rests keep the orders of two owners apart, of which the earlier one may still live. One that
    /// is known to be over orders nothing more, and what it had learnt the outcome of is settled: with
    /// every VM at rest after the loss of all nodes, the pool whose turn it is would get none.
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

    /// Returns until when an earlier owner's order for a VM forbids another, on the steady clock.
    ///
    /// Orders of two owners for one VM must not follow each other closely. Every order is stored
    /// before it goes out, so a VM without a recent one is free at once.
    pub(crate) fn inherited_cooldown_ms(&self, name: &str) -> u64 {
        let index = self.search_vm_cooldown(name);
        index.map_or(0, |index| self.vm_cooldowns[index].until_ms)
    }
}
