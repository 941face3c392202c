//! Whether a wave may go on, and how fast.

use {
    crate::{fleet_view::FleetView, tuning::Tuning},
    lynxwheel_protocol::VmPhase,
    lynxwheel_state::{VmState, WaveState},
};

/// VMs of one rack that failed after the action and keep the wave off that rack.
const RACK_FAILURES: usize = 2;

/// Racks with VMs that failed after the action and halt a wave, besides a share of those done.
const WAVE_INCIDENTS: usize = 2;

/// One incident more is borne for so many VMs done.
const DONE_PER_INCIDENT: u32 = 20;

/// VMs done before failures of one rack alone no longer halt a wave.
const PROVEN_DONE: u32 = 4;

/// Time after the action within which a failure is put down to it, in milliseconds.
const AFTER_ACTION_MS: u64 = 15 * 60 * 1_000;

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveHealth {
    /// No sign that the action harms.
    Healthy,
    /// VMs of some racks failed after the action; the wave goes on elsewhere.
    RacksHeld,
    /// VMs failed after the action before it proved harmless elsewhere.
    FailingEarly,
    /// VMs of too many racks failed after the action.
    FailingWidely,
}

/// A rack; its name is unique within a zone only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rack<'a> {
    pub(crate) zone: &'a str,
    pub(crate) name: &'a str,
}

impl<'a> Rack<'a> {
    pub(crate) fn of(vm: &'a VmState) -> Self {
        Self {
            zone: vm.zone.as_str(),
            name: vm.rack.as_str(),
        }
    }
}

/// Judgement of a wave with the racks that it keeps off.
#[derive(Clone, Debug)]
pub(crate) struct Diagnosis<'a> {
    pub(crate) health: WaveHealth,
    pub(crate) held_racks: Vec<Rack<'a>>,
}

/// Judges a wave by the VMs that failed after its action and are not back.
///
/// A bad action takes down whatever it touches, one domain after the other; a bad rack takes down
/// its own VMs only. So failures of one rack count as one incident: the rack is left alone, and
/// the wave halts when incidents add up, or before the action proved harmless anywhere. The halt
/// ends when the VMs are repaired.
pub(crate) fn diagnose<'a>(view: &FleetView<'a>, wave: &WaveState) -> Diagnosis<'a> {
    let mut racks: Vec<Rack<'a>> = member_pools(view, wave)
        .into_iter()
        .flat_map(|pool| view.pools[pool].vms.iter())
        .filter(|vm| is_victim(vm, wave))
        .map(|vm| Rack::of(vm))
        .collect();
    racks.sort_unstable();
    let victims = racks.len();
    let held_racks: Vec<Rack<'a>> = racks
        .chunk_by(|left, right| left == right)
        .filter(|rack| rack.len() >= RACK_FAILURES)
        .map(|rack| rack[0])
        .collect();
    racks.dedup();
    let borne = WAVE_INCIDENTS + (wave.done / DONE_PER_INCIDENT) as usize;
    let health = if racks.len() >= borne {
        WaveHealth::FailingWidely
    } else if victims >= RACK_FAILURES && wave.done < PROVEN_DONE {
        WaveHealth::FailingEarly
    } else if held_racks.is_empty() {
        WaveHealth::Healthy
    } else {
        WaveHealth::RacksHeld
    };
    Diagnosis { health, held_racks }
}

impl WaveHealth {
    /// Judges a wave by the VMs that failed after its action and are not back.
    #[must_use]
    pub fn new(view: &FleetView<'_>, wave: &WaveState) -> Self {
        diagnose(view, wave).health
    }

    /// Tells whether the wave goes on, at least in part.
    #[must_use]
    pub fn goes_on(self) -> bool {
        matches!(self, Self::Healthy | Self::RacksHeld)
    }

    /// Returns the name used in logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::RacksHeld => "racks_held_after_failures",
            Self::FailingEarly => "failing_early_after_action",
            Self::FailingWidely => "failing_widely_after_action",
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
        .map(|pool| view.pools[pool].state.members)
        .sum();
    let first_step = (members * tuning.first_step_percent).div_ceil(100);
    first_step.max(1) + wave.done.saturating_sub(wave.failed)
}

fn is_victim(vm: &VmState, wave: &WaveState) -> bool {
    if vm.phase != VmPhase::Failed || vm.claim.is_some() {
        return false;
    }
    let after_ms = vm.evidence_ms.saturating_sub(vm.maintained_ms);
    let was_done = vm.maintained_ms > wave.started_ms && after_ms <= AFTER_ACTION_MS;
    was_done || vm.failed_in.as_ref() == Some(&wave.spec.name)
}
