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
pub(crate) struct RestingVm {
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
        let recent_ms = self.settings.vm_holder_ms + CLOCK_SPREAD_MS;
        if now.wall_ms < stored.ordered_ms + recent_ms
            && let Err(place) = self.resting_place(name)
        {
            let resting = RestingVm {
                name: name.into(),
                until_ms: now.steady_ms + self.settings.vm_holder_ms,
                is_settled: stored.is_settled,
                epoch: stored.epoch,
            };
            self.resting_vms.insert(place, resting);
        }
    }

    /// Takes in until when an earlier owner's order for a VM forbids another at most, on the steady
    /// clock, as the order of records in the log tells it.
    pub fn bound_vm_rest(&mut self, key: &str, until_ms: u64) {
        if let Ok(place) = self.resting_place(vm_name(key)) {
            let resting = &mut self.resting_vms[place];
            resting.until_ms = until_ms.min(resting.until_ms);
        }
    }

    /// Takes in that the process of an earlier owner is over, and by when the last of its calls has
    /// been carried out, on the steady clock.
    ///
    /// Rests keep the orders of two owners apart, of which the earlier one may still live. One that
    /// is known to be over orders nothing more, and what it had learnt the outcome of is settled: with
    /// every VM at rest after the loss of all nodes, the pool whose turn it is would get none.
    pub fn end_vm_rests(&mut self, epoch: u64, calls_over_ms: u64) {
        self.resting_vms
            .retain(|resting| resting.epoch != epoch || !resting.is_settled);
        for resting in &mut self.resting_vms {
            if resting.epoch == epoch {
                resting.until_ms = calls_over_ms.min(resting.until_ms);
            }
        }
    }

    fn resting_place(&self, name: &str) -> Result<usize, usize> {
        self.resting_vms
            .binary_search_by(|known| known.name.as_str().cmp(name))
    }

    /// Returns until when an earlier owner's order for a VM forbids another, on the steady clock.
    ///
    /// Orders of two owners for one VM must not follow each other closely. Every order is stored
    /// before it goes out, so a VM without a recent one is free at once.
    pub(crate) fn inherited_rest_ms(&self, name: &str) -> u64 {
        let place = self.resting_place(name);
        place.map_or(0, |place| self.resting_vms[place].until_ms)
    }
}
