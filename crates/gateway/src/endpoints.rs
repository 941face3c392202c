//! Endpoints and the requests in progress on them.

use {
    lynxwheel_protocol::{ServiceSpec, VmName},
    lynxwheel_state::{FleetState, VmState},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Counts of requests in progress, by VM and incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    rows: Arc<Mutex<Vec<Load>>>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Load {
    vm: VmName,
    incarnation: u64,
    in_progress: u32,
}

impl Loads {
    /// Returns the count of an endpoint.
    pub(crate) fn get(&self, vm: &VmName, incarnation: u64) -> u32 {
        let rows = self.rows();
        match find(&rows, vm, incarnation) {
            Ok(row) => rows[row].in_progress,
            Err(_) => 0,
        }
    }

    /// Counts a request in when fewer than `slots` are in progress.
    pub(crate) fn enter(&self, vm: &VmName, incarnation: u64, slots: u32) -> Option<Slot> {
        let mut rows = self.rows();
        let row = match find(&rows, vm, incarnation) {
            Ok(row) => row,
            Err(row) => {
                rows.insert(
                    row,
                    Load {
                        vm: vm.clone(),
                        incarnation,
                        in_progress: 0,
                    },
                );
                row
            }
        };
        if rows[row].in_progress >= slots {
            return None;
        }
        rows[row].in_progress += 1;
        Some(Slot {
            loads: self.clone(),
            vm: vm.clone(),
            incarnation,
        })
    }

    fn leave(&self, vm: &VmName, incarnation: u64) {
        let mut rows = self.rows();
        if let Ok(row) = find(&rows, vm, incarnation) {
            rows[row].in_progress -= 1;
            if rows[row].in_progress == 0 {
                rows.remove(row);
            }
        }
    }

    fn rows(&self) -> MutexGuard<'_, Vec<Load>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(rows: &[Load], vm: &VmName, incarnation: u64) -> Result<usize, usize> {
    rows.binary_search_by(|row| (&row.vm, row.incarnation).cmp(&(vm, incarnation)))
}

/// A request in progress on an endpoint; dropping it counts it out.
#[derive(Debug)]
pub(crate) struct Slot {
    loads: Loads,
    vm: VmName,
    incarnation: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.loads.leave(&self.vm, self.incarnation);
    }
}

/// Returns the available VMs that serve a service.
pub(crate) fn available<'a>(
    state: &'a FleetState,
    service: &'a ServiceSpec,
) -> impl Iterator<Item = &'a VmState> {
    state
        .vms()
        .iter()
        .filter(|vm| vm.pool == service.pool && vm.is_available())
}
