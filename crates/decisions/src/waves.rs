//! Planning of maintenance waves and moves: which VMs to claim next.

use {
    crate::{
        drain::Drain,
        fleet_view::{FleetView, PoolView},
        tuning::Tuning,
        wave_health::{WaveHealth, ramp_limit},
    },
    lynxwheel_protocol::{ClaimPurpose, VmName, VmPhase, WaveGoal, ZoneName},
    lynxwheel_state::{FleetState, VmState, WaveState},
};

/// Why a VM is to be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// It is due in a running wave, its pool's budget has room, and it is or will soon be empty.
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
    /// Expected drain.
    pub drain: Drain,
}

/// A VM that planned work waits for.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) vm: &'a VmState,
    pub(crate) purpose: ClaimPurpose,
    pub(crate) drain: Drain,
    wave: Option<usize>,
}

/// A running wave and how many more VMs it may claim.
#[derive(Clone, Debug)]
pub(crate) struct RunningWave<'a> {
    pub(crate) wave: &'a WaveState,
    room: u32,
}

/// Plans the next claims, as many as budgets and ramps allow, each of which the fold would
/// accept after those before it.
#[must_use]
pub fn plan_claims(state: &FleetState, now_ms: u64) -> Vec<ClaimPlan> {
    let tuning = Tuning::new(state.weights());
    let view = FleetView::new(state);
    let mut waves = running_waves(&view, &tuning);
    let mut plans = Vec::new();
    for pool in &view.pools {
        plan_pool(state, pool, &tuning, now_ms, &mut waves, &mut plans);
    }
    plans
}

/// Returns the waves that may claim VMs.
pub(crate) fn running_waves<'a>(view: &FleetView<'a>, tuning: &Tuning) -> Vec<RunningWave<'a>> {
    view.state
        .waves()
        .iter()
        .filter(|wave| wave.spec.goal == WaveGoal::Run)
        .filter(|wave| WaveHealth::new(view, wave).is_healthy())
        .map(|wave| RunningWave {
            wave,
            room: ramp_limit(view, wave, tuning).saturating_sub(wave.claimed),
        })
        .collect()
}

fn plan_pool(
    state: &FleetState,
    pool: &PoolView<'_>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &mut [RunningWave<'_>],
    plans: &mut Vec<ClaimPlan>,
) {
    let mut slots = pool.pool.availability().spare();
    if slots == 0 {
        return;
    }
    let mut zones = claimed_zones(pool);
    for candidate in candidates(state, pool, tuning, now_ms, waves) {
        if slots == 0 {
            return;
        }
        let has_zone = takes_zone(pool, &mut zones, &candidate.vm.zone);
        let has_room = candidate.wave.is_none_or(|wave| waves[wave].room > 0);
        if !candidate.drain.is_ready() || !has_zone || !has_room {
            continue;
        }
        open_zone(&mut zones, &candidate.vm.zone);
        slots -= 1;
        if let Some(wave) = candidate.wave {
            waves[wave].room -= 1;
        }
        plans.push(candidate.into_plan());
    }
}

impl Candidate<'_> {
    fn into_plan(self) -> ClaimPlan {
        let reason = if self.wave.is_some() {
            ClaimReason::DueInWave
        } else {
            ClaimReason::DeclaredElsewhere
        };
        ClaimPlan {
            vm: self.vm.name.clone(),
            purpose: self.purpose,
            reason,
            drain: self.drain,
        }
    }
}

/// Returns the VMs of a pool that planned work waits for, the next one first.
///
/// Zones under way come first and then those with the fewest VMs left, so that one zone is
/// finished before the next is opened; within a zone the VM that is empty soonest.
pub(crate) fn candidates<'a>(
    state: &FleetState,
    pool: &PoolView<'a>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &[RunningWave<'_>],
) -> Vec<Candidate<'a>> {
    let mut found: Vec<Candidate<'a>> = Vec::new();
    for vm in pool.vms.iter().copied().filter(|vm| vm.is_available()) {
        if let Some((purpose, wave)) = purpose_for(vm, waves) {
            let drain = Drain::new(state, vm, tuning, now_ms);
            found.push(Candidate {
                vm,
                purpose,
                drain,
                wave,
            });
        }
    }
    let mut left: Vec<(&ZoneName, usize)> = Vec::new();
    for candidate in &found {
        match left.binary_search_by(|row| row.0.cmp(&candidate.vm.zone)) {
            Ok(row) => left[row].1 += 1,
            Err(row) => left.insert(row, (&candidate.vm.zone, 1)),
        }
    }
    let zones = claimed_zones(pool);
    found.sort_by_cached_key(|candidate| {
        let zone = &candidate.vm.zone;
        let remaining = left
            .binary_search_by(|row| row.0.cmp(zone))
            .map_or(0, |row| left[row].1);
        (
            zones.binary_search(zone).is_err(),
            remaining,
            zone.clone(),
            candidate.drain.cost_ms(tuning),
        )
    });
    found
}

/// Returns the VMs of a pool on which nothing new should start, since planned work takes them
/// next; sorted.
pub(crate) fn cordoned<'a>(
    state: &FleetState,
    pool: &PoolView<'a>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &[RunningWave<'_>],
) -> Vec<&'a VmName> {
    let claimed: u32 = pool.pool.claimed_zones.iter().map(|row| row.1).sum();
    let slots = pool.pool.availability().spare() + claimed;
    let count = (slots * tuning.cordoned_per_slot) as usize;
    if count == 0 {
        return Vec::new();
    }
    let mut names: Vec<&VmName> = candidates(state, pool, tuning, now_ms, waves)
        .into_iter()
        .take(count)
        .map(|candidate| &candidate.vm.name)
        .collect();
    names.sort_unstable();
    names
}

fn purpose_for(vm: &VmState, waves: &[RunningWave<'_>]) -> Option<(ClaimPurpose, Option<usize>)> {
    if vm.phase != VmPhase::Live || vm.incarnation == 0 {
        return None;
    }
    if vm.wanted_pool != vm.pool {
        return Some((ClaimPurpose::Move(vm.wanted_pool.clone()), None));
    }
    let wave = waves.iter().position(|running| is_due(running.wave, vm))?;
    let name = waves[wave].wave.spec.name.clone();
    Some((ClaimPurpose::Maintain(name), Some(wave)))
}

/// Tells whether a wave still has to maintain a VM.
#[must_use]
pub fn is_due(wave: &WaveState, vm: &VmState) -> bool {
    wave.spec.pools.binary_search(&vm.pool).is_ok() && vm.maintained_ms < wave.spec.due_before_ms
}

fn claimed_zones(pool: &PoolView<'_>) -> Vec<ZoneName> {
    let rows = pool.pool.claimed_zones.iter();
    rows.map(|row| row.0.clone()).collect()
}

fn takes_zone(pool: &PoolView<'_>, zones: &mut [ZoneName], zone: &ZoneName) -> bool {
    let limit = pool.pool.spec.budget.zones_at_once.max(1) as usize;
    zones.binary_search(zone).is_ok() || zones.len() < limit
}

fn open_zone(zones: &mut Vec<ZoneName>, zone: &ZoneName) {
    if let Err(row) = zones.binary_search(zone) {
        zones.insert(row, zone.clone());
    }
}
