//! Availability of pools.

use {
    crate::vms::{PoolState, VmState},
    lynxwheel_protocol::ZoneName,
};

/// Availability of one pool at one offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolAvailability {
    /// VMs that belong to the pool.
    pub members: u32,
    /// VMs that are available.
    pub available: u32,
    /// VMs that must stay available.
    pub floor: u32,
}

impl PoolAvailability {
    /// Returns how many more VMs planned work may take now.
    #[must_use]
    pub fn spare_vms(&self) -> u32 {
        self.available.saturating_sub(self.floor)
    }
}

impl PoolState {
    /// Returns the availability.
    #[must_use]
    pub fn availability(&self) -> PoolAvailability {
        PoolAvailability {
            members: self.members,
            available: self.available,
            floor: self.floor(),
        }
    }

    /// Counts a VM in.
    pub(crate) fn count_in(&mut self, vm: &VmState) {
        self.members += 1;
        self.available += u32::from(vm.is_available());
        if vm.claim.is_some() {
            self.add_claimed(&vm.zone);
        }
    }

    /// Counts a VM out, as it was counted in.
    pub(crate) fn count_out(&mut self, vm: &VmState) {
        self.members -= 1;
        self.available -= u32::from(vm.is_available());
        if vm.claim.is_some() {
            self.remove_claimed(&vm.zone);
        }
    }

    /// Tells whether a claim in `zone` keeps to the number of zones at once.
    #[must_use]
    pub fn allows_zone(&self, zone: &ZoneName) -> bool {
        let is_open = self
            .claimed_zones
            .binary_search_by(|row| row.0.cmp(zone))
            .is_ok();
        let open = u32::try_from(self.claimed_zones.len()).unwrap_or(u32::MAX);
        is_open || open < self.spec.budget.zones_at_once.max(1)
    }

    fn add_claimed(&mut self, zone: &ZoneName) {
        match self.claimed_zones.binary_search_by(|row| row.0.cmp(zone)) {
            Ok(row) => self.claimed_zones[row].1 += 1,
            Err(row) => self.claimed_zones.insert(row, (zone.clone(), 1)),
        }
    }

    fn remove_claimed(&mut self, zone: &ZoneName) {
        if let Ok(row) = self.claimed_zones.binary_search_by(|row| row.0.cmp(zone)) {
            self.claimed_zones[row].1 -= 1;
            if self.claimed_zones[row].1 == 0 {
                self.claimed_zones.remove(row);
            }
        }
    }
}
