//! Health of a wave after its actions, and the limit on its concurrent claims.

use {
    crate::{fleet_view::FleetView, tuning::Tuning},
    lynxwheel_protocol::VmPhase,
    lynxwheel_state::{VmState, WaveState},
};

/// Failures after the action in one rack from which the wave excludes that rack.
const MIN_RACK_FAILURES: usize = 2;

/// Incidents at which a wave halts before the allowance for maintained VMs.
const BASE_HALT_INCIDENTS: usize = 2;

/// Number of maintained VMs for which one more incident is tolerated.
const VMS_PER_EXTRA_INCIDENT: u32 = 20;

/// Maintained VMs from which failures in a single rack no longer halt a wave.
const MIN_PROVEN_VMS: u32 = 4;

/// Time after the action within which a failure is attributed to it, in milliseconds.
const FAILURE_WINDOW_MS: u64 = 15 * 60 * 1_000;

/// Whether a wave may continue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveHealth {
    /// No rack has to be excluded.
    Healthy,
    /// VMs of some racks failed after the action; the wave continues on the other racks.
    RacksExcluded,
    /// VMs failed after the action before enough VMs were maintained successfully.
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

/// Health of a wave and the racks that it excludes.
#[derive(Clone, Debug)]
pub(crate) struct HealthAssessment<'a> {
    pub(crate) health: WaveHealth,
    pub(crate) excluded_racks: Vec<Rack<'a>>,
}

/// Assesses a wave by the VMs that failed after its action and have not recovered.
///
/// A harmful action fails VMs in every rack, a faulty rack only its own. Failures in one rack
/// therefore count as one incident and exclude that rack. The wave halts when there are too many
/// incidents, or on failures before enough VMs were maintained, until the VMs recover.
pub(crate) fn assess_health<'a>(view: &FleetView<'a>, wave: &WaveState) -> HealthAssessment<'a> {
    let mut racks: Vec<Rack<'a>> = member_pools(view, wave)
        .into_iter()
        .flat_map(|pool| view.pools[pool].vms.iter())
        .filter(|vm| has_failed_after_action(vm, wave))
        .map(|vm| Rack::of(vm))
        .collect();
    racks.sort_unstable();
    let failed_vms = racks.len();
    let excluded_racks: Vec<Rack<'a>> = racks
        .chunk_by(|left, right| left == right)
        .filter(|rack| rack.len() >= MIN_RACK_FAILURES)
        .map(|rack| rack[0])
        .collect();
    racks.dedup();
    let halt_threshold = BASE_HALT_INCIDENTS + (wave.done / VMS_PER_EXTRA_INCIDENT) as usize;
    let health = if racks.len() >= halt_threshold {
        WaveHealth::FailingWidely
    } else if failed_vms >= MIN_RACK_FAILURES && wave.done < MIN_PROVEN_VMS {
        WaveHealth::FailingEarly
    } else if excluded_racks.is_empty() {
        WaveHealth::Healthy
    } else {
        WaveHealth::RacksExcluded
    };
    HealthAssessment {
        health,
        excluded_racks,
    }
}

impl WaveHealth {
    /// Assesses a wave by the VMs that failed after its action and have not recovered.
    #[must_use]
    pub fn new(view: &FleetView<'_>, wave: &WaveState) -> Self {
        assess_health(view, wave).health
    }

    /// Returns whether the wave may continue, at least on some racks.
    #[must_use]
    pub fn can_continue(self) -> bool {
        matches!(self, Self::Healthy | Self::RacksExcluded)
    }

    /// Returns the name used in logs and responses.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::RacksExcluded => "racks_held_after_failures",
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
/// Each successful action raises the limit by one, so that the number of claims doubles with each
/// step until an action fails.
#[must_use]
pub fn ramp_limit(view: &FleetView<'_>, wave: &WaveState, tuning: &Tuning) -> u32 {
    let members: u32 = member_pools(view, wave)
        .into_iter()
        .map(|pool| view.pools[pool].state.members)
        .sum();
    let first_step = (members * tuning.first_step_percent).div_ceil(100);
    first_step.max(1) + wave.done.saturating_sub(wave.failed)
}

fn has_failed_after_action(vm: &VmState, wave: &WaveState) -> bool {
    if vm.phase != VmPhase::Failed || vm.claim.is_some() {
        return false;
    }
    let failure_delay_ms = vm.evidence_ms.saturating_sub(vm.maintained_ms);
    let is_maintained = vm.maintained_ms > wave.started_ms && failure_delay_ms <= FAILURE_WINDOW_MS;
    is_maintained || vm.failed_wave.as_ref() == Some(&wave.spec.name)
}
