//! Planning of maintenance waves and moves: which VMs to claim next.

use {
    crate::{
        drain::DrainEstimate,
        fleet_view::{FleetView, PoolView},
        tuning::Tuning,
        wave_health::{Rack, diagnose, ramp_limit},
    },
    lynxwheel_protocol::{
        ClaimPurpose, Class, PoolName, Resources, VmName, VmPhase, WaveGoal, ZoneName,
    },
    lynxwheel_state::{FleetState, JobPhase, VmState, WaveState},
    std::cmp::Reverse,
};

/// Time for which waiting urgent work keeps its pool from being claimed, in milliseconds.
const URGENT_HOLD_MS: u64 = 10_000;

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
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Purpose.
    pub purpose: ClaimPurpose,
    /// Reason.
    pub reason: ClaimReason,
    /// Expected drain.
    pub drain: DrainEstimate,
}

/// A VM that planned work waits for.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) vm: &'a VmState,
    pub(crate) purpose: ClaimPurpose,
    pub(crate) drain: DrainEstimate,
    wave: Option<usize>,
}

/// A running wave and how many more VMs it may claim.
#[derive(Clone, Debug)]
pub(crate) struct RunningWave<'a> {
    wave: &'a WaveState,
    room: u32,
    held_racks: Vec<Rack<'a>>,
}

/// Plans the next claims, as many as budgets and ramps allow, each of which the fold would
/// accept after those before it.
#[must_use]
pub fn plan_claims(state: &FleetState, tuning: &Tuning, now_ms: u64) -> Vec<ClaimPlan> {
    let view = FleetView::new(state);
    let mut waves = running_waves(&view, tuning);
    let mut plans = Vec::new();
    let wanted = pools_wanted_by_urgent(state, now_ms);
    for pool in &view.pools {
        if wanted.binary_search(&&pool.state.spec.name).is_ok() {
            continue;
        }
        plan_pool(state, pool, tuning, now_ms, &mut waves, &mut plans);
    }
    plans
}

/// Returns the pools in which urgent work has just begun to wait; sorted.
///
/// Room that is being made for it must not be claimed in the moment in which it is free. Urgent
/// work that waits for longer fits nowhere for now and must not hold the wave up.
fn pools_wanted_by_urgent(state: &FleetState, now_ms: u64) -> Vec<&PoolName> {
    let mut pools: Vec<&PoolName> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending && job.spec.class == Class::Urgent)
        .filter(|job| job.pending_since_ms + URGENT_HOLD_MS > now_ms)
        .map(|job| &job.spec.pool)
        .collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Returns the waves that are under way; one that halted has no room, but the VMs that it takes
/// next are kept free, since they would fill up again with long jobs meanwhile.
pub(crate) fn running_waves<'a>(view: &FleetView<'a>, tuning: &Tuning) -> Vec<RunningWave<'a>> {
    view.state
        .waves()
        .iter()
        .filter(|wave| wave.spec.goal == WaveGoal::Run)
        .map(|wave| {
            let diagnosis = diagnose(view, wave);
            let limit = if diagnosis.health.goes_on() {
                ramp_limit(view, wave, tuning)
            } else {
                0
            };
            RunningWave {
                wave,
                room: limit.saturating_sub(wave.claimed),
                held_racks: diagnosis.held_racks,
            }
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
    let mut slots = pool.state.availability().spare_vms();
    if slots == 0 {
        return;
    }
    let mut ready = candidates(state, pool, tuning, now_ms, waves);
    ready.retain(|candidate| candidate.drain.is_ready() && !candidate.is_held(waves));
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
    /// Tells whether its wave keeps off its rack.
    fn is_held(&self, waves: &[RunningWave<'_>]) -> bool {
        self.wave.is_some_and(|wave| {
            let held = &waves[wave].held_racks;
            held.binary_search(&Rack::of(self.vm)).is_ok()
        })
    }

    fn into_plan(self) -> ClaimPlan {
        let reason = if self.wave.is_some() {
            ClaimReason::DueInWave
        } else {
            ClaimReason::DeclaredElsewhere
        };
        ClaimPlan {
            vm: self.vm.name.clone(),
            pool: self.vm.pool.clone(),
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
            let drain = DrainEstimate::new(state, vm, tuning, now_ms);
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
    let planned_vms = view
        .pools
        .iter()
        .flat_map(|pool| planned_vms(state, pool, tuning, now_ms, &waves));
    let mut names: Vec<VmName> = planned_vms
        .filter(|next| next.is_cordoned)
        .map(|next| next.vm.clone())
        .collect();
    names.sort_unstable();
    names
}

/// A VM that planned work will take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedVm<'a> {
    pub(crate) vm: &'a VmName,
    /// Expected time until it is empty, in milliseconds.
    pub(crate) drain_wait_ms: u64,
    /// Whether nothing new should start on it.
    pub(crate) is_cordoned: bool,
}

/// Returns the VMs of a pool that planned work will take, sorted by name.
///
/// As many VMs are kept free as leave the pool the room that the weights ask for, and at least
/// one for each VM that the budget lets out of service, without which a full pool's wave would
/// wait for ever.
pub(crate) fn planned_vms<'a>(
    state: &FleetState,
    pool: &PoolView<'a>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &[RunningWave<'_>],
) -> Vec<PlannedVm<'a>> {
    let mut room = Resources::default();
    let mut kept = Resources::default();
    for vm in pool.vms.iter().filter(|vm| vm.is_available()) {
        room = room.plus(&vm.free());
        kept = kept.plus(&percent_of(&vm.capacity, tuning.min_free_percent));
    }
    let claimed: u32 = pool.state.claimed_zones.iter().map(|row| row.1).sum();
    let least = (pool.state.availability().spare_vms() + claimed) as usize;
    let mut is_cordoned = tuning.can_cordon;
    let mut found: Vec<PlannedVm<'a>> = Vec::new();
    for candidate in candidates(state, pool, tuning, now_ms, waves) {
        room = room.minus(&candidate.vm.free());
        let is_needed = found.len() < least;
        is_cordoned &= is_needed || kept.fits(&room);
        found.push(PlannedVm {
            vm: &candidate.vm.name,
            drain_wait_ms: if tuning.can_cordon {
                candidate.drain.wait_ms
            } else {
                u64::MAX
            },
            is_cordoned,
        });
    }
    found.sort_unstable_by_key(|next| next.vm);
    found
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
    let rows = pool.state.claimed_zones.iter();
    rows.map(|row| row.0.clone()).collect()
}

/// Opens a zone if the budget allows one more.
fn open_zone(pool: &PoolView<'_>, zones: &mut Vec<ZoneName>, zone: &ZoneName) {
    let limit = pool.state.spec.budget.zones_at_once.max(1) as usize;
    if let Err(row) = zones.binary_search(zone)
        && zones.len() < limit
    {
        zones.insert(row, zone.clone());
    }
}
