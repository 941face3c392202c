//! The decisions in use and the baselines that they are compared with.

use {
    lynxwheel_decisions::{
        FleetView, Placement, PlacementPlan, PlacementReason, PoolView, Tuning, is_due,
        plan_claims, plan_placements,
    },
    lynxwheel_protocol::{ClaimPurpose, JobName, Resources, VmName, VmPhase, ZoneName},
    lynxwheel_state::{FleetState, JobPhase, JobState, VmState, WaveState},
};

/// Maximum starts planned in one round.
const MAX_STARTS_PER_ROUND: usize = 256;

/// Name of the decisions in use in the results.
pub const IN_USE: &str = "in-use";

/// Policy that claims VMs for a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WavePolicy {
    /// The decisions in use.
    InUse,
    /// As many VMs of a pool as its budget allows, and the next batch when all of them are done.
    FixedBatch,
    /// One VM of each pool at a time.
    OneAtATime,
    /// One availability zone of the fleet at a time, with as many VMs as the budgets allow.
    ZoneByZone,
}

impl WavePolicy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::InUse,
        Self::FixedBatch,
        Self::OneAtATime,
        Self::ZoneByZone,
    ];

    /// Returns the name used in results.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InUse => IN_USE,
            Self::FixedBatch => "fixed-batch",
            Self::OneAtATime => "one-at-a-time",
            Self::ZoneByZone => "zone-by-zone",
        }
    }

    /// Returns the tuning of the placement decisions that run with this policy.
    ///
    /// Baselines place jobs as the decisions in use do, but without cordoned VMs.
    #[must_use]
    pub fn tuning(self, state: &FleetState) -> Tuning {
        let tuning = Tuning::new(state.weights());
        if self == Self::InUse {
            return tuning;
        }
        Tuning {
            can_cordon: false,
            ..tuning
        }
    }

    /// Returns the VMs to claim, with their purposes.
    #[must_use]
    pub fn plan_wave_claims(self, state: &FleetState, now_ms: u64) -> Vec<(VmName, ClaimPurpose)> {
        if self == Self::InUse {
            let plans = plan_claims(state, &self.tuning(state), now_ms);
            return plans
                .into_iter()
                .map(|plan| (plan.vm, plan.purpose))
                .collect();
        }
        let Some(wave) = state.waves().first() else {
            return Vec::new();
        };
        let view = FleetView::new(state);
        let fleet_zone = first_unfinished_zone(&view, wave);
        let claims = view.pools.iter().flat_map(|pool| match self {
            Self::ZoneByZone => batch(pool, wave, fleet_zone, u32::MAX),
            Self::OneAtATime if pool.state.claimed_zones.is_empty() => batch(pool, wave, None, 1),
            Self::FixedBatch if pool.state.claimed_zones.is_empty() => {
                batch(pool, wave, None, u32::MAX)
            }
            _ => Vec::new(),
        });
        claims.collect()
    }
}

fn is_candidate(vm: &VmState, wave: &WaveState) -> bool {
    vm.phase == VmPhase::Live && vm.claim.is_none() && is_due(wave, vm)
}

/// Returns the first availability zone in which a VM is due or claimed.
fn first_unfinished_zone<'a>(view: &FleetView<'a>, wave: &WaveState) -> Option<&'a ZoneName> {
    view.state
        .vms()
        .iter()
        .filter(|vm| vm.claim.is_some() || is_candidate(vm, wave))
        .map(|vm| &vm.zone)
        .min()
}

/// Plans claims of up to `limit` VMs in one availability zone, as many as the budget allows.
fn batch(
    pool: &PoolView<'_>,
    wave: &WaveState,
    zone: Option<&ZoneName>,
    limit: u32,
) -> Vec<(VmName, ClaimPurpose)> {
    let due: Vec<&&VmState> = pool
        .vms
        .iter()
        .filter(|vm| is_candidate(vm, wave))
        .collect();
    let Some(zone) = zone.or_else(|| due.first().map(|vm| &vm.zone)) else {
        return Vec::new();
    };
    let count = pool.state.availability().spare_vms().min(limit) as usize;
    due.into_iter()
        .filter(|vm| vm.zone == *zone)
        .take(count)
        .map(|vm| {
            let purpose = ClaimPurpose::Maintain(wave.spec.name.clone());
            (vm.name.clone(), purpose)
        })
        .collect()
}

/// Policy that places jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// The decisions in use.
    InUse,
    /// The first VM with enough free capacity.
    FirstFit,
    /// The VM with enough free capacity that runs the fewest attempts.
    SpreadOnly,
}

impl PlacementPolicy {
    /// Every policy.
    pub const ALL: [Self; 3] = [Self::InUse, Self::FirstFit, Self::SpreadOnly];

    /// Returns the name used in results.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InUse => IN_USE,
            Self::FirstFit => "first-fit",
            Self::SpreadOnly => "spread-only",
        }
    }

    /// Plans the starts and stops of one round.
    #[must_use]
    pub fn plan(self, state: &FleetState, now_ms: u64) -> PlacementPlan {
        if self == Self::InUse {
            return plan_placements(
                state,
                &Tuning::new(state.weights()),
                now_ms,
                MAX_STARTS_PER_ROUND,
            );
        }
        let mut pending: Vec<&JobState> = state
            .jobs()
            .iter()
            .filter(|job| job.phase == JobPhase::Pending)
            .collect();
        pending.sort_by_key(|job| (job.spec.class, job.pending_since_ms));
        let view = FleetView::new(state);
        let mut capacities: Vec<Vec<FreeCapacity<'_>>> = view
            .pools
            .iter()
            .map(|pool| free_capacities(pool, now_ms))
            .collect();
        let mut plan = PlacementPlan::default();
        for job in pending {
            let Some(pool) = view.pool_index(job.spec.pool.as_str()) else {
                continue;
            };
            plan.starts.extend(self.place(job, &mut capacities[pool]));
            if plan.starts.len() >= MAX_STARTS_PER_ROUND {
                break;
            }
        }
        plan
    }

    fn place(self, job: &JobState, capacities: &mut [FreeCapacity<'_>]) -> Option<Placement> {
        let reserved = job.spec.demand;
        let fitting = capacities.iter_mut().filter(|vm| reserved.fits(&vm.free));
        let vm = match self {
            Self::SpreadOnly => fitting.min_by_key(|vm| vm.attempts),
            Self::InUse | Self::FirstFit => fitting.into_iter().next(),
        }?;
        vm.free = vm.free.minus(&reserved);
        vm.attempts += 1;
        Some(Placement {
            job: JobName::clone(&job.spec.name),
            attempt: job.attempts + 1,
            vm: vm.name.clone(),
            reserved,
            reason: PlacementReason::Packed,
        })
    }
}

/// Free capacity of a VM during one round of a baseline.
struct FreeCapacity<'a> {
    name: &'a VmName,
    free: Resources,
    attempts: usize,
}

fn free_capacities<'a>(pool: &PoolView<'a>, now_ms: u64) -> Vec<FreeCapacity<'a>> {
    pool.vms
        .iter()
        .copied()
        .filter(|vm| vm.is_available() && vm.quarantined_until_ms <= now_ms)
        .map(|vm| FreeCapacity {
            name: &vm.name,
            free: vm.free(),
            attempts: vm.attempts.len(),
        })
        .collect()
}
