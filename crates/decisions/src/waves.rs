//! Planning of maintenance waves and moves: which VMs to claim next.

use {
    crate::{
        drain::Drain,
        fleet_view::{FleetView, PoolView},
        tuning::Tuning,
        wave_health::{WaveHealth, ramp_limit},
    },
    lynxwheel_protocol::{ClaimPurpose, Resources, VmName, VmPhase, WaveGoal, ZoneName},
    lynxwheel_state::{FleetState, VmState, WaveState},
    std::cmp::Reverse,
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
pub fn plan_claims(state: &FleetState, tuning: &Tuning, now_ms: u64) -> Vec<ClaimPlan> {
    let view = FleetView::new(state);
    let mut waves = running_waves(&view, tuning);
    let mut plans = Vec::new();
    for pool in &view.pools {
        plan_pool(state, pool, tuning, now_ms, &mut waves, &mut plans);
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
    let mut ready = candidates(state, pool, tuning, now_ms, waves);
    ready.retain(|candidate| candidate.drain.is_ready());
    let mut zones = claimed_zones(pool);
    let order = zones_by_ready(&ready);
    for zone in order {
        open_zone(pool, &mut zones, zone.zone);
    }
    for candidate in ready {
        let has_room = candidate.wave.is_none_or(|wave| waves[wave].room > 0);
        if slots == 0 || !has_room || zones.binary_search(&candidate.vm.zone).is_err() {
            continue;
        }
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

/// Returns the VMs of a pool that planned work waits for, the one that is empty soonest first.
fn candidates<'a>(
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
    found.sort_by_key(|candidate| candidate.drain.cost_ms(tuning));
    found
}

/// Returns the zones of ready candidates, the one with the most of them first.
///
/// A pool may have one zone open at a time, and a claim lasts little longer than the action; so
/// the zone that keeps the budget's slots busy for longest goes first.
fn zones_by_ready<'a>(candidates: &[Candidate<'a>]) -> Vec<ZoneCount<'a>> {
    let mut zones: Vec<ZoneCount<'a>> = Vec::new();
    for candidate in candidates {
        let zone = &candidate.vm.zone;
        match zones.binary_search_by(|row| row.zone.cmp(zone)) {
            Ok(row) => zones[row].ready += 1,
            Err(row) => zones.insert(row, ZoneCount { zone, ready: 1 }),
        }
    }
    zones.sort_by_key(|row| Reverse(row.ready));
    zones
}

/// Ready candidates of a zone.
#[derive(Clone, Copy, Debug)]
struct ZoneCount<'a> {
    zone: &'a ZoneName,
    ready: usize,
}

/// Returns the VMs on which nothing new is started but urgent work, since planned work takes
/// them next; sorted.
#[must_use]
pub fn cordoned_vms(state: &FleetState, tuning: &Tuning, now_ms: u64) -> Vec<VmName> {
    let view = FleetView::new(state);
    let waves = running_waves(&view, tuning);
    let mut names: Vec<VmName> = view
        .pools
        .iter()
        .flat_map(|pool| cordoned(state, pool, tuning, now_ms, &waves))
        .cloned()
        .collect();
    names.sort_unstable();
    names
}

/// Returns the VMs of a pool on which nothing new should start; sorted.
///
/// As many VMs are kept free as leave the pool the room that the weights ask for, and at least
/// one for each VM that the budget lets out of service, without which a full pool's wave would
/// wait for ever.
pub(crate) fn cordoned<'a>(
    state: &FleetState,
    pool: &PoolView<'a>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &[RunningWave<'_>],
) -> Vec<&'a VmName> {
    if !tuning.cordons {
        return Vec::new();
    }
    let mut room = Resources::default();
    let mut kept = Resources::default();
    for vm in pool.vms.iter().filter(|vm| vm.is_available()) {
        room = room.plus(&vm.free());
        kept = kept.plus(&percent_of(&vm.capacity, tuning.room_kept_percent));
    }
    let least = pool.pool.availability().spare();
    let mut names: Vec<&VmName> = Vec::new();
    for candidate in candidates(state, pool, tuning, now_ms, waves) {
        room = room.minus(&candidate.vm.free());
        let is_needed = u32::try_from(names.len()).is_ok_and(|count| count < least);
        if !is_needed && !kept.fits(&room) {
            break;
        }
        names.push(&candidate.vm.name);
    }
    names.sort_unstable();
    names
}

fn percent_of(whole: &Resources, percent: u32) -> Resources {
    let part = |whole: u32| whole / 100 * percent;
    Resources {
        cores_milli: part(whole.cores_milli),
        memory_mib: part(whole.memory_mib),
        accelerators: 0,
    }
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

/// Opens a zone if the budget allows one more.
fn open_zone(pool: &PoolView<'_>, zones: &mut Vec<ZoneName>, zone: &ZoneName) {
    let limit = pool.pool.spec.budget.zones_at_once.max(1) as usize;
    if let Err(row) = zones.binary_search(zone)
        && zones.len() < limit
    {
        zones.insert(row, zone.clone());
    }
}
