//! Whether a wave may go on, and how fast.

use {
    crate::{fleet_view::FleetView, tuning::Tuning},
    lynxwheel_protocol::VmPhase,
    lynxwheel_state::{VmState, WaveState},
};

/// VMs of one rack or pool that failed after the action and halt a wave.
const DOMAIN_FAILURES: usize = 2;

/// VMs anywhere that failed after the action and halt a wave, besides a share of those done.
const WAVE_FAILURES: usize = 3;

/// One failure more is borne for so many VMs done.
const DONE_PER_FAILURE: u32 = 20;

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveHealth {
    /// No sign that the action harms.
    Healthy,
    /// Several VMs of one rack failed after the action.
    RackFailing,
    /// Several VMs of one pool failed after the action.
    PoolFailing,
    /// Too many VMs of the wave failed after the action.
    WaveFailing,
}

impl WaveHealth {
    /// Judges a wave by the VMs that failed after its action and are not back.
    ///
    /// A bad action takes down whatever it touches, one domain after the other; it shows as
    /// failures that have the wave in common. The halt ends when the VMs are repaired.
    #[must_use]
    pub fn new(view: &FleetView<'_>, wave: &WaveState) -> Self {
        let mut racks = Vec::new();
        let mut failed = 0;
        for pool in member_pools(view, wave) {
            let before = failed;
            for vm in view.pools[pool].vms.iter().filter(|vm| is_victim(vm, wave)) {
                failed += 1;
                racks.push((vm.zone.as_str(), vm.rack.as_str()));
            }
            if failed - before >= DOMAIN_FAILURES {
                return Self::PoolFailing;
            }
        }
        racks.sort_unstable();
        if racks
            .chunk_by(|left, right| left == right)
            .any(|rack| rack.len() >= DOMAIN_FAILURES)
        {
            return Self::RackFailing;
        }
        let borne = WAVE_FAILURES + (wave.done / DONE_PER_FAILURE) as usize;
        if failed >= borne {
            return Self::WaveFailing;
        }
        Self::Healthy
    }

    /// Tells whether the wave goes on.
    #[must_use]
    pub fn is_healthy(self) -> bool {
        self == Self::Healthy
    }

    /// Returns the name used in logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::RackFailing => "rack_failing_after_action",
            Self::PoolFailing => "pool_failing_after_action",
            Self::WaveFailing => "wave_failing_after_action",
        }
    }
}

/// Returns the indices of the pools that a wave names.
pub(crate) fn member_pools(view: &FleetView<'_>, wave: &WaveState) -> Vec<usize> {
    wave.spec
        .pools
        .iter()
        .filter_map(|pool| view.pool_index(pool.as_str()))
        .collect()
}

/// Returns how many VMs of a wave may be claimed at once.
///
/// Every completed action lets one more VM out besides its own successor, so that the number
/// doubles with each step for as long as nothing fails.
#[must_use]
pub fn ramp_limit(view: &FleetView<'_>, wave: &WaveState, tuning: &Tuning) -> u32 {
    let members: u32 = member_pools(view, wave)
        .into_iter()
        .map(|pool| view.pools[pool].pool.members)
        .sum();
    let first_step = (members * tuning.first_step_percent).div_ceil(100);
    first_step.max(1) + wave.done.saturating_sub(wave.failed)
}

fn is_victim(vm: &VmState, wave: &WaveState) -> bool {
    let is_failed = vm.phase == VmPhase::Failed;
    let was_acted_on = vm.maintained_ms > wave.started_ms;
    let is_claimed = vm.claim.is_some();
    is_failed && !is_claimed && (was_acted_on || vm.failed_in.as_ref() == Some(&wave.spec.name))
}
