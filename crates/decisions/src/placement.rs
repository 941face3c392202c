//! Placement of jobs on VMs.

use {
    crate::{
        allocation::{PlacementTier, PoolAllocation},
        fleet_view::FleetView,
        preemption::{Preemption, preempt_for},
        tuning::Tuning,
        waves::{RunningWave, running_waves},
    },
    lynxwheel_protocol::{Class, JobName, Resources, VmName},
    lynxwheel_state::{FleetState, JobPhase, JobState, TeamState},
};

/// Margin above the observed usage of earlier attempts, in percent of it.
const ESTIMATE_HEADROOM_PERCENT: u64 = 20;

/// Why a VM was chosen for a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// Tightest fit among the VMs that no planned work claims.
    Packed,
    /// Least loaded zone and rack among the VMs that no planned work claims.
    Spread,
    /// Only VMs that a wave claims later have enough free capacity.
    OnDueVm,
    /// The job is urgent, and only cordoned VMs have enough free capacity.
    OnCordonedVm,
    /// Only VMs on which the job failed before have enough free capacity.
    RetriedOnSameVm,
}

impl PlacementReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Packed => "packed",
            Self::Spread => "spread",
            Self::OnDueVm => "on_due_vm",
            Self::OnCordonedVm => "on_cordoned_vm",
            Self::RetriedOnSameVm => "retried_on_same_vm",
        }
    }
}

/// A start of a job's attempt to propose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Job to start.
    pub job: JobName,
    /// Number of the new attempt.
    pub attempt: u32,
    /// VM on which to start it.
    pub vm: VmName,
    /// Resources to reserve.
    pub reserved: Resources,
    /// Why the VM was chosen.
    pub reason: PlacementReason,
}

/// Outcome of one round of placement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Starts, each of which the fold accepts if those before it were applied.
    pub starts: Vec<Placement>,
    /// Attempts to stop for urgent jobs.
    pub stops: Vec<Preemption>,
}

/// Plans up to `limit` starts of pending jobs, by class and waiting time, and the stops that free
/// resources for urgent jobs.
#[must_use]
pub fn plan_placements(
    state: &FleetState,
    tuning: &Tuning,
    now_ms: u64,
    limit: usize,
) -> PlacementPlan {
    let mut pending: Vec<&JobState> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending)
        .collect();
    if pending.is_empty() {
        return PlacementPlan::default();
    }
    pending.sort_by_key(|job| (job.spec.class, job.pending_since_ms));
    let mut round = PlacementRound::new(state, tuning, now_ms);
    let mut plan = PlacementPlan::default();
    for job in pending {
        if plan.starts.len() >= limit {
            break;
        }
        round.place_job(job, &mut plan);
    }
    plan
}

/// Returns the resources to reserve for the next attempt of a job.
///
/// Declared demands are often inaccurate, so the observed usage of earlier attempts comes first:
/// a margin is added up to the declared demand, and usage above it counts as observed.
#[must_use]
pub fn estimate_demand(job: &JobState) -> Resources {
    let used = &job.estimate.used;
    let declared = &job.spec.demand;
    if *used == Resources::default() {
        return *declared;
    }
    Resources {
        cores_milli: with_headroom(used.cores_milli, declared.cores_milli),
        memory_mib: with_headroom(used.memory_mib, declared.memory_mib),
        accelerators: declared.accelerators.max(used.accelerators),
    }
}

fn with_headroom(used: u32, declared: u32) -> u32 {
    let with_margin = u64::from(used) * (100 + ESTIMATE_HEADROOM_PERCENT) / 100;
    let with_margin = u32::try_from(with_margin).unwrap_or(u32::MAX);
    with_margin.min(declared).max(used)
}

/// State of one round of placement: resources of the pools' VMs and use of the teams' quotas.
struct PlacementRound<'a> {
    view: FleetView<'a>,
    tuning: Tuning,
    now_ms: u64,
    waves: Vec<RunningWave<'a>>,
    allocations: Vec<Option<PoolAllocation<'a>>>,
    teams: Vec<(&'a TeamState, Resources)>,
}

impl<'a> PlacementRound<'a> {
    fn new(state: &'a FleetState, tuning: &Tuning, now_ms: u64) -> Self {
        let view = FleetView::new(state);
        let waves = running_waves(&view, tuning);
        let allocations = view.pools.iter().map(|_| None).collect();
        let teams = state.teams().iter().map(|team| (team, team.used)).collect();
        Self {
            view,
            tuning: *tuning,
            now_ms,
            waves,
            allocations,
            teams,
        }
    }

    fn place_job(&mut self, job: &JobState, plan: &mut PlacementPlan) {
        let demand = estimate_demand(job);
        let Some(pool) = self.view.pool_index(job.spec.pool.as_str()) else {
            return;
        };
        let is_urgent = job.spec.class == Class::Urgent;
        let known = self.allocations[pool].as_ref();
        if !is_urgent && known.is_some_and(|known| known.is_unplaceable(job, &demand)) {
            return;
        }
        let Some(team) = self.team_with_free_quota(job, &demand) else {
            return;
        };
        let allocation = self.allocations[pool].get_or_insert_with(|| {
            PoolAllocation::new(
                self.view.state,
                &self.view.pools[pool],
                &self.tuning,
                self.now_ms,
                &self.waves,
            )
        });
        let Some(index) = allocation.choose_vm(job, &demand) else {
            if is_urgent {
                preempt_for(self.view.state, allocation, job, &demand, &mut plan.stops);
            }
            return;
        };
        allocation.reserve(index, &demand);
        self.teams[team].1 = self.teams[team].1.plus(&demand);
        plan.starts.push(Placement {
            job: job.spec.name.clone(),
            attempt: job.attempts + 1,
            vm: allocation.vms[index].vm.name.clone(),
            reserved: demand,
            reason: placement_reason(
                job,
                allocation.vms[index].tier,
                &allocation.vms[index].vm.name,
            ),
        });
    }

    fn team_with_free_quota(&self, job: &JobState, demand: &Resources) -> Option<usize> {
        let index = self
            .teams
            .binary_search_by(|row| row.0.spec.name.cmp(&job.spec.team))
            .ok()?;
        let (team, used) = &self.teams[index];
        used.plus(demand).fits(&team.spec.quota).then_some(index)
    }
}

fn placement_reason(job: &JobState, tier: PlacementTier, vm: &VmName) -> PlacementReason {
    if job.failed_on.binary_search(vm).is_ok() {
        return PlacementReason::RetriedOnSameVm;
    }
    match tier {
        PlacementTier::Cordoned => PlacementReason::OnCordonedVm,
        PlacementTier::Due => PlacementReason::OnDueVm,
        PlacementTier::NotDue if job.spec.class == Class::Batch => PlacementReason::Packed,
        PlacementTier::NotDue => PlacementReason::Spread,
    }
}
