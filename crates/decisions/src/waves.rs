//! Planning of maintenance waves and moves: which VMs to claim next.

use {
    lynxwheel_protocol::{ClaimPurpose, VmName, WaveGoal},
    lynxwheel_state::{FleetState, VmState, WaveState},
};

/// Why a VM is to be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// It is due in a running wave and its pool's budget has room.
    DueInWave,
    /// It was declared into another pool.
    DeclaredElsewhere,
}

impl ClaimReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DueInWave => "due_in_wave",
            Self::DeclaredElsewhere => "declared_elsewhere",
        }
    }
}

/// A claim to propose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPlan {
    /// VM.
    pub vm: VmName,
    /// Purpose.
    pub purpose: ClaimPurpose,
    /// Reason.
    pub reason: ClaimReason,
}

/// Plans the next claims, at most one of a pool, which the fold would accept now.
#[must_use]
pub fn plan_claims(state: &FleetState) -> Vec<ClaimPlan> {
    let mut plans = Vec::new();
    for pool in state.pools().iter() {
        let members = || state.vms().iter().filter(|vm| vm.pool == pool.spec.name);
        let plan = members()
            .find_map(|vm| plan_move(state, vm))
            .or_else(|| members().find_map(|vm| plan_maintenance(state, vm)));
        plans.extend(plan);
    }
    plans
}

fn plan_move(state: &FleetState, vm: &VmState) -> Option<ClaimPlan> {
    if vm.wanted_pool == vm.pool {
        return None;
    }
    let purpose = ClaimPurpose::Move(vm.wanted_pool.clone());
    state.check_claim(&vm.name, &purpose).ok()?;
    Some(ClaimPlan {
        vm: vm.name.clone(),
        purpose,
        reason: ClaimReason::DeclaredElsewhere,
    })
}

fn plan_maintenance(state: &FleetState, vm: &VmState) -> Option<ClaimPlan> {
    let wave = state.waves().iter().find(|wave| is_due(wave, vm))?;
    let purpose = ClaimPurpose::Maintain(wave.spec.name.clone());
    state.check_claim(&vm.name, &purpose).ok()?;
    Some(ClaimPlan {
        vm: vm.name.clone(),
        purpose,
        reason: ClaimReason::DueInWave,
    })
}

fn is_due(wave: &WaveState, vm: &VmState) -> bool {
    wave.spec.goal == WaveGoal::Run
        && wave.spec.pools.binary_search(&vm.pool).is_ok()
        && vm.maintained_ms < wave.spec.due_before_ms
        && vm.incarnation > 0
}
