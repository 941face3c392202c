//! Review of claims under way: what must be given back or taken over.

use {
    crate::{
        fleet_view::{FleetView, PoolView},
        wave_health::WaveHealth,
    },
    lynxwheel_protocol::{ClaimPurpose, NodeName, VmName, WaveGoal, WaveName},
    lynxwheel_state::{Claim, ClaimStage, FleetState, VmState},
};

/// What to do about a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReviewStep {
    /// Its holder gives it back.
    Release(ReleaseReason),
    /// A live node takes it over, since its holder is gone.
    TakeOver,
}

/// Why a claim is given back before the action.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseReason {
    /// The operator paused the wave.
    WavePaused,
    /// The operator aborted the wave or withdrew it.
    WaveAborted,
    /// The wave halted on failures.
    WaveHalted,
    /// The move is no longer declared.
    MoveNotWanted,
    /// The pool lost VMs since the claim and needs this one.
    PoolBelowFloor,
}

impl ReleaseReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WavePaused => "wave_paused",
            Self::WaveAborted => "wave_aborted",
            Self::WaveHalted => "wave_halted",
            Self::MoveNotWanted => "move_not_wanted",
            Self::PoolBelowFloor => "pool_below_floor",
        }
    }
}

/// Finding about one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimReview {
    /// VM.
    pub vm: VmName,
    /// Fencing number of the claim.
    pub fence: u64,
    /// What to do.
    pub step: ReviewStep,
}

/// Reviews the claims under way; `live_nodes` is sorted.
#[must_use]
pub fn review_claims(state: &FleetState, live_nodes: &[NodeName]) -> Vec<ClaimReview> {
    let view = FleetView::new(state);
    let halted = halted_waves(&view);
    let mut reviews = Vec::new();
    for pool in &view.pools {
        review_pool(state, pool, &halted, live_nodes, &mut reviews);
    }
    reviews
}

fn halted_waves(view: &FleetView<'_>) -> Vec<WaveName> {
    let waves = view.state.waves().iter();
    waves
        .filter(|wave| wave.claimed > 0 && !WaveHealth::new(view, wave).can_continue())
        .map(|wave| wave.spec.name.clone())
        .collect()
}

fn review_pool(
    state: &FleetState,
    pool: &PoolView<'_>,
    halted: &[WaveName],
    live_nodes: &[NodeName],
    reviews: &mut Vec<ClaimReview>,
) {
    let availability = pool.state.availability();
    let mut deficit = availability.floor.saturating_sub(availability.available);
    let mut claims: Vec<(&VmState, &Claim)> = pool
        .vms
        .iter()
        .filter_map(|vm| vm.claim.as_ref().map(|claim| (*vm, claim)))
        .collect();
    // The latest drain has lost least work and is undone first.
    claims.sort_by_key(|(_, claim)| std::cmp::Reverse(claim.fence));
    for (vm, claim) in claims {
        let mut step = own_step(state, vm, claim, halted);
        let helps =
            claim.stage == ClaimStage::Draining && vm.phase == lynxwheel_protocol::VmPhase::Live;
        if deficit > 0 && helps {
            deficit -= 1;
            step = Some(ReviewStep::Release(ReleaseReason::PoolBelowFloor));
        }
        if live_nodes.binary_search(&claim.holder).is_err() {
            step = Some(ReviewStep::TakeOver);
        }
        reviews.extend(step.map(|step| ClaimReview {
            vm: vm.name.clone(),
            fence: claim.fence,
            step,
        }));
    }
}

fn own_step(
    state: &FleetState,
    vm: &VmState,
    claim: &Claim,
    halted: &[WaveName],
) -> Option<ReviewStep> {
    if claim.stage != ClaimStage::Draining {
        return None;
    }
    let reason = match &claim.purpose {
        ClaimPurpose::Move(target) if vm.wanted_pool != *target => ReleaseReason::MoveNotWanted,
        ClaimPurpose::Move(_) => return None,
        ClaimPurpose::Maintain(name) => {
            match state.waves().get(name.as_str()).map(|wave| wave.spec.goal) {
                Some(WaveGoal::Run) if halted.binary_search(name).is_ok() => {
                    ReleaseReason::WaveHalted
                }
                Some(WaveGoal::Run) => return None,
                Some(WaveGoal::Pause) => ReleaseReason::WavePaused,
                Some(WaveGoal::Abort) | None => ReleaseReason::WaveAborted,
            }
        }
    };
    Some(ReviewStep::Release(reason))
}
