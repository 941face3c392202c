//! Availability of pools.

use {
    crate::vms::{PoolState, VmState},
    lynxwheel_protocol::ZoneName,
};

/// Availability of one pool at one offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolAvailability {
    /// VMs that belong to the pool, whatever their phase.
    pub members: u32,
    /// VMs that are available.
    pub available: u32,
    /// VMs that must stay available.
    pub floor: u32,
}

impl PoolAvailability {
    /// Returns how many available VMs may still be claimed.
    #[must_use]
    pub fn spare_vms(&self) -> u32 {
        self.available.saturating_sub(self.floor)
    }
}

impl PoolState {
    /// Returns the availability of the pool.
    #[must_use]
    pub fn availability(&self) -> PoolAvailability {
        PoolAvailability {
            members: self.members,
            available: self.available,
            floor: self.floor(),
        }
    }

    /// Adds a VM to the counts.
    pub(crate) fn add_vm(&mut self, vm: &VmState) {
        self.members += 1;
        self.available += u32::from(vm.is_available());
        if vm.claim.is_some() {
            self.add_claimed_zone(&vm.zone);
        }
    }

    /// Subtracts a VM from the counts, in the state in which it was added.
    pub(crate) fn remove_vm(&mut self, vm: &VmState) {
        self.members -= 1;
        self.available -= u32::from(vm.is_available());
        if vm.claim.is_some() {
            self.remove_claimed_zone(&vm.zone);
        }
    }

    /// Returns whether the budget allows a claim in `zone`.
    #[must_use]
    pub fn allows_zone(&self, zone: &ZoneName) -> bool {
        let is_claimed = self
            .claimed_zones
            .binary_search_by(|row| row.0.cmp(zone))
            .is_ok();
        let claimed_count = u32::try_from(self.claimed_zones.len()).unwrap_or(u32::MAX);
        is_claimed || claimed_count < self.spec.budget.zones_at_once.max(1)
    }

    fn add_claimed_zone(&mut self, zone: &ZoneName) {
        match self.claimed_zones.binary_search_by(|row| row.0.cmp(zone)) {
            Ok(row) => self.claimed_zones[row].1 += 1,
            Err(row) => self.claimed_zones.insert(row, (zone.clone(), 1)),
        }
    }

    fn remove_claimed_zone(&mut self, zone: &ZoneName) {
        if let Ok(row) = self.claimed_zones.binary_search_by(|row| row.0.cmp(zone)) {
            self.claimed_zones[row].1 -= 1;
            if self.claimed_zones[row].1 == 0 {
                self.claimed_zones.remove(row);
            }
        }
    }
}
