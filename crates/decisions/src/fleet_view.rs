//! VMs grouped by pool for one round of planning.

use lynxwheel_state::{FleetState, PoolState, VmState};

/// A pool with its VMs.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// Folded state of the pool.
    pub state: &'a PoolState,
    /// VMs in order of name.
    pub vms: Vec<&'a VmState>,
}

/// Pools in order of name, each with its VMs.
#[derive(Clone, Debug)]
pub struct FleetView<'a> {
    /// State from which the view was built.
    pub state: &'a FleetState,
    /// Views of all pools.
    pub pools: Vec<PoolView<'a>>,
}

impl<'a> FleetView<'a> {
    /// Groups the VMs of `state` by pool.
    #[must_use]
    pub fn new(state: &'a FleetState) -> Self {
        let mut pools: Vec<PoolView<'a>> = state
            .pools()
            .iter()
            .map(|pool| PoolView {
                state: pool,
                vms: Vec::new(),
            })
            .collect();
        for vm in state.vms().iter() {
            if let Some(index) = index_of(&pools, vm.pool.as_str()) {
                pools[index].vms.push(vm);
            }
        }
        Self { state, pools }
    }

    /// Returns the index of the pool called `name`.
    #[must_use]
    pub fn pool_index(&self, name: &str) -> Option<usize> {
        index_of(&self.pools, name)
    }
}

fn index_of(pools: &[PoolView<'_>], name: &str) -> Option<usize> {
    pools
        .binary_search_by(|view| view.state.spec.name.as_str().cmp(name))
        .ok()
}
