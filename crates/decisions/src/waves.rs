//! Planning of claims for maintenance waves and pool moves.

use {
    crate::{
        drain::DrainEstimate,
        fleet_view::{FleetView, PoolView},
        tuning::Tuning,
        wave_health::{Rack, assess_health, ramp_limit},
    },
    lynxwheel_protocol::{
        ClaimPurpose, Class, PoolName, Resources, VmName, VmPhase, WaveGoal, ZoneName,
    },
    lynxwheel_state::{FleetState, JobPhase, VmState, WaveState},
    std::cmp::Reverse,
};

/// Time for which a newly pending urgent job blocks claims in its pool, in milliseconds.
const URGENT_CLAIM_HOLD_MS: u64 = 10_000;

/// Why a VM is to be claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReason {
    /// The VM is due in a running wave and no job on it has to be waited for.
    DueInWave,
    /// The VM is declared in another pool.
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
    /// VM to claim.
    pub vm: VmName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Purpose of the claim.
    pub purpose: ClaimPurpose,
    /// Why the VM is claimed.
    pub reason: ClaimReason,
    /// Estimate of the drain.
    pub drain: DrainEstimate,
}

/// A VM that a wave or a move has yet to claim.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) vm: &'a VmState,
    pub(crate) purpose: ClaimPurpose,
    pub(crate) drain: DrainEstimate,
    wave: Option<usize>,
}

/// A running wave with its remaining claims and excluded racks.
#[derive(Clone, Debug)]
pub(crate) struct RunningWave<'a> {
    wave: &'a WaveState,
    claims_left: u32,
    excluded_racks: Vec<Rack<'a>>,
}

/// Plans the next claims within the pools' budgets and the waves' ramp limits.
///
/// The fold accepts each claim if those before it were applied.
#[must_use]
pub fn plan_claims(state: &FleetState, tuning: &Tuning, now_ms: u64) -> Vec<ClaimPlan> {
    let view = FleetView::new(state);
    let mut waves = running_waves(&view, tuning);
    let mut plans = Vec::new();
    let held_pools = pools_with_new_urgent_jobs(state, now_ms);
    for pool in &view.pools {
        if held_pools.binary_search(&&pool.state.spec.name).is_ok() {
            continue;
        }
        plan_pool(state, pool, tuning, now_ms, &mut waves, &mut plans);
    }
    plans
}

/// Returns the pools with newly pending urgent jobs, sorted.
///
/// Resources freed for an urgent job by preemption must not be claimed before the job starts. An
/// urgent job that is pending for longer fits nowhere and must not block the wave.
fn pools_with_new_urgent_jobs(state: &FleetState, now_ms: u64) -> Vec<&PoolName> {
    let mut pools: Vec<&PoolName> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending && job.spec.class == Class::Urgent)
        .filter(|job| job.pending_since_ms + URGENT_CLAIM_HOLD_MS > now_ms)
        .map(|job| &job.spec.pool)
        .collect();
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Returns the running waves.
///
/// A halted wave has no claims left but still cordons its next VMs, which would otherwise fill up
/// with long jobs.
pub(crate) fn running_waves<'a>(view: &FleetView<'a>, tuning: &Tuning) -> Vec<RunningWave<'a>> {
    view.state
        .waves()
        .iter()
        .filter(|wave| wave.spec.goal == WaveGoal::Run)
        .map(|wave| {
            let assessment = assess_health(view, wave);
            let limit = if assessment.health.can_continue() {
                ramp_limit(view, wave, tuning)
            } else {
                0
            };
            RunningWave {
                wave,
                claims_left: limit.saturating_sub(wave.claimed),
                excluded_racks: assessment.excluded_racks,
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
    let mut budget_left = pool.state.availability().spare_vms();
    if budget_left == 0 {
        return;
    }
    let mut ready = candidates(state, pool, tuning, now_ms, waves);
    ready.retain(|candidate| candidate.drain.is_ready() && !candidate.is_on_excluded_rack(waves));
    let mut zones = claimed_zones(pool);
    let ready_zones = zones_by_ready_count(&ready);
    for zone in ready_zones {
        open_zone(pool, &mut zones, zone.zone);
    }
    for candidate in ready {
        let has_claims_left = candidate
            .wave
            .is_none_or(|wave| waves[wave].claims_left > 0);
        if budget_left == 0 || !has_claims_left || zones.binary_search(&candidate.vm.zone).is_err()
        {
            continue;
        }
        budget_left -= 1;
        if let Some(wave) = candidate.wave {
            waves[wave].claims_left -= 1;
        }
        plans.push(candidate.into_plan());
    }
}

impl Candidate<'_> {
    /// Returns whether the candidate's wave excludes its rack.
    fn is_on_excluded_rack(&self, waves: &[RunningWave<'_>]) -> bool {
        self.wave.is_some_and(|wave| {
            let excluded = &waves[wave].excluded_racks;
            excluded.binary_search(&Rack::of(self.vm)).is_ok()
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

/// Returns the VMs of a pool that planned work has yet to claim, in order of drain cost.
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

/// Returns the zones of ready candidates, the one with the most candidates first.
///
/// The budget may allow claims in one zone only, so the zone with the most work goes first. It keeps
/// the slots of the budget in use for longest, as a claim lasts little longer than its action.
fn zones_by_ready_count<'a>(candidates: &[Candidate<'a>]) -> Vec<ZoneCount<'a>> {
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

/// Number of ready candidates in a zone.
#[derive(Clone, Copy, Debug)]
struct ZoneCount<'a> {
    zone: &'a ZoneName,
    ready: usize,
}

/// Returns the VMs that planned work claims next, sorted; only urgent jobs are started on them.
#[must_use]
pub fn cordoned_vms(state: &FleetState, tuning: &Tuning, now_ms: u64) -> Vec<VmName> {
    let view = FleetView::new(state);
    let waves = running_waves(&view, tuning);
    let planned_vms = view
        .pools
        .iter()
        .flat_map(|pool| planned_vms(state, pool, tuning, now_ms, &waves));
    let mut names: Vec<VmName> = planned_vms
        .filter(|planned| planned.is_cordoned)
        .map(|planned| planned.vm.clone())
        .collect();
    names.sort_unstable();
    names
}

/// A VM that planned work will claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedVm<'a> {
    pub(crate) vm: &'a VmName,
    /// Expected time until the VM is empty, in milliseconds.
    pub(crate) drain_wait_ms: u64,
    /// Whether only urgent jobs may start on the VM.
    pub(crate) is_cordoned: bool,
}

/// Returns the VMs of a pool that planned work will claim, sorted by name.
///
/// VMs are cordoned as long as the pool keeps `Tuning::min_free_percent` of free capacity on the
/// others, and at least one for each VM that the budget lets out of service. Without this minimum
/// a wave would never progress on a full pool.
pub(crate) fn planned_vms<'a>(
    state: &FleetState,
    pool: &PoolView<'a>,
    tuning: &Tuning,
    now_ms: u64,
    waves: &[RunningWave<'_>],
) -> Vec<PlannedVm<'a>> {
    let mut free = Resources::default();
    let mut min_free = Resources::default();
    for vm in pool.vms.iter().filter(|vm| vm.is_available()) {
        free = free.plus(&vm.free());
        min_free = min_free.plus(&percent_of(&vm.capacity, tuning.min_free_percent));
    }
    let claimed: u32 = pool.state.claimed_zones.iter().map(|row| row.1).sum();
    let min_cordoned = (pool.state.availability().spare_vms() + claimed) as usize;
    let mut is_cordoned = tuning.can_cordon;
    let mut found: Vec<PlannedVm<'a>> = Vec::new();
    for candidate in candidates(state, pool, tuning, now_ms, waves) {
        free = free.minus(&candidate.vm.free());
        let is_within_minimum = found.len() < min_cordoned;
        is_cordoned &= is_within_minimum || min_free.fits(&free);
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
    found.sort_unstable_by_key(|planned| planned.vm);
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

/// Returns whether a wave still has to maintain a VM.
#[must_use]
pub fn is_due(wave: &WaveState, vm: &VmState) -> bool {
    wave.spec.pools.binary_search(&vm.pool).is_ok() && vm.maintained_ms < wave.spec.due_before_ms
}

fn claimed_zones(pool: &PoolView<'_>) -> Vec<ZoneName> {
    let rows = pool.state.claimed_zones.iter();
    rows.map(|row| row.0.clone()).collect()
}

/// Adds a zone to the claimed ones if the budget allows one more.
fn open_zone(pool: &PoolView<'_>, zones: &mut Vec<ZoneName>, zone: &ZoneName) {
    let limit = pool.state.spec.budget.zones_at_once.max(1) as usize;
    if let Err(row) = zones.binary_search(zone)
        && zones.len() < limit
    {
        zones.insert(row, zone.clone());
    }
}
