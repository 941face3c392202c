//! Review of the held claims: which to release and which to take over.

use {
    crate::{
        fleet_view::{FleetView, PoolView},
        wave_health::WaveHealth,
    },
    lynxwheel_protocol::{ClaimPurpose, NodeName, VmName, WaveGoal, WaveName},
    lynxwheel_state::{Claim, ClaimStage, FleetState, VmState},
};

/// Step that a review prescribes for a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReviewStep {
    /// The holder releases the claim.
    Release(ReleaseReason),
    /// Another node takes the claim over, since its holder is not live.
    TakeOver,
}

/// Why a claim is released before the action.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseReason {
    /// The operator paused the wave.
    WavePaused,
    /// The operator aborted or deleted the wave.
    WaveAborted,
    /// The wave halted after failures.
    WaveHalted,
    /// The move is no longer declared.
    MoveNotWanted,
    /// The pool has fallen below its floor since the claim.
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

/// Review of one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimReview {
    /// Claimed VM.
    pub vm: VmName,
    /// Fencing token of the claim.
    pub fence: u64,
    /// Step to take.
    pub step: ReviewStep,
}

/// Reviews all claims; `live_nodes` must be sorted.
#[must_use]
pub fn review_claims(state: &FleetState, live_nodes: &[NodeName]) -> Vec<ClaimReview> {
    let view = FleetView::new(state);
    let halted = halted_wave_names(&view);
    let mut reviews = Vec::new();
    for pool in &view.pools {
        review_pool(state, pool, &halted, live_nodes, &mut reviews);
    }
    reviews
}

fn halted_wave_names(view: &FleetView<'_>) -> Vec<WaveName> {
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
    // Releases the latest drains first, since they have cost the least work.
    claims.sort_by_key(|(_, claim)| std::cmp::Reverse(claim.fence));
    for (vm, claim) in claims {
        let mut step = release_step(state, vm, claim, halted);
        let can_be_released =
            claim.stage == ClaimStage::Draining && vm.phase == lynxwheel_protocol::VmPhase::Live;
        if deficit > 0 && can_be_released {
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

fn release_step(
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
