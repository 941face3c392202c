//! Placement of jobs on VMs.

use {
    crate::{
        allocation::{PoolRoom, Tier},
        fleet_view::FleetView,
        preemption::{Preemption, make_room},
        tuning::Tuning,
        waves::{RunningWave, running_waves},
    },
    lynxwheel_protocol::{Class, JobName, Resources, VmName},
    lynxwheel_state::{FleetState, JobPhase, JobState, TeamState},
};

/// Room left above the observed use of earlier attempts, in percent of it.
const ESTIMATE_HEADROOM_PERCENT: u64 = 20;

/// Why a job is placed where it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// Tightest fit among the VMs that no planned work takes.
    Packed,
    /// Least loaded zone and rack among the VMs that no planned work takes.
    Spread,
    /// Only VMs that a wave takes later have room.
    OnDueVm,
    /// Urgent, and only VMs that are being emptied have room.
    OnCordonedVm,
    /// Only VMs on which it failed before have room.
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

/// A start to propose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Job.
    pub job: JobName,
    /// Attempt.
    pub attempt: u32,
    /// VM.
    pub vm: VmName,
    /// Demand to reserve.
    pub reserved: Resources,
    /// Reason.
    pub reason: PlacementReason,
}

/// Outcome of one round of placement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Starts, each of which the fold would accept after those before it.
    pub starts: Vec<Placement>,
    /// Attempts to stop for urgent work.
    pub stops: Vec<Preemption>,
}

/// Plans starts of waiting jobs, urgent ones first, and stops that make room for urgent ones.
#[must_use]
pub fn plan_placements(
    state: &FleetState,
    tuning: &Tuning,
    now_ms: u64,
    limit: usize,
) -> PlacementPlan {
    let mut waiting: Vec<&JobState> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending)
        .collect();
    if waiting.is_empty() {
        return PlacementPlan::default();
    }
    waiting.sort_by_key(|job| (job.spec.class, job.pending_since_ms));
    let mut round = Round::new(state, tuning, now_ms);
    let mut plan = PlacementPlan::default();
    for job in waiting {
        if plan.starts.len() >= limit {
            break;
        }
        round.place(job, &mut plan);
    }
    plan
}

/// Returns what to reserve for the next attempt of a job.
///
/// Declared sizes are often far off, so what earlier attempts used goes before the declaration:
/// with some headroom up to what was declared, and as observed above it.
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
    let raised = u64::from(used) * (100 + ESTIMATE_HEADROOM_PERCENT) / 100;
    let raised = u32::try_from(raised).unwrap_or(u32::MAX);
    raised.min(declared).max(used)
}

/// What is left of VMs and quotas during one round.
struct Round<'a> {
    view: FleetView<'a>,
    tuning: Tuning,
    now_ms: u64,
    waves: Vec<RunningWave<'a>>,
    rooms: Vec<Option<PoolRoom<'a>>>,
    teams: Vec<(&'a TeamState, Resources)>,
}

impl<'a> Round<'a> {
    fn new(state: &'a FleetState, tuning: &Tuning, now_ms: u64) -> Self {
        let view = FleetView::new(state);
        let waves = running_waves(&view, tuning);
        let rooms = view.pools.iter().map(|_| None).collect();
        let teams = state.teams().iter().map(|team| (team, team.used)).collect();
        Self {
            view,
            tuning: *tuning,
            now_ms,
            waves,
            rooms,
            teams,
        }
    }

    fn place(&mut self, job: &JobState, plan: &mut PlacementPlan) {
        let demand = estimate_demand(job);
        let Some(pool) = self.view.pool_index(job.spec.pool.as_str()) else {
            return;
        };
        let is_urgent = job.spec.class == Class::Urgent;
        let known = self.rooms[pool].as_ref();
        if !is_urgent && known.is_some_and(|room| room.is_hopeless(job, &demand)) {
            return;
        }
        let Some(team) = self.team_with_quota(job, &demand) else {
            return;
        };
        let room = self.rooms[pool].get_or_insert_with(|| {
            PoolRoom::new(
                self.view.state,
                &self.view.pools[pool],
                &self.tuning,
                self.now_ms,
                &self.waves,
            )
        });
        let Some(index) = room.choose(job, &demand) else {
            if is_urgent {
                make_room(self.view.state, room, job, &demand, &mut plan.stops);
            }
            return;
        };
        room.take(index, &demand);
        self.teams[team].1 = self.teams[team].1.plus(&demand);
        plan.starts.push(Placement {
            job: job.spec.name.clone(),
            attempt: job.attempts + 1,
            vm: room.vms[index].vm.name.clone(),
            reserved: demand,
            reason: reason_of(job, room.vms[index].tier, &room.vms[index].vm.name),
        });
    }

    fn team_with_quota(&self, job: &JobState, demand: &Resources) -> Option<usize> {
        let index = self
            .teams
            .binary_search_by(|row| row.0.spec.name.cmp(&job.spec.team))
            .ok()?;
        let (team, used) = &self.teams[index];
        used.plus(demand).fits(&team.spec.quota).then_some(index)
    }
}

fn reason_of(job: &JobState, tier: Tier, vm: &VmName) -> PlacementReason {
    if job.failed_on.binary_search(vm).is_ok() {
        return PlacementReason::RetriedOnSameVm;
    }
    match tier {
        Tier::Cordoned => PlacementReason::OnCordonedVm,
        Tier::Due => PlacementReason::OnDueVm,
        Tier::Settled if job.spec.class == Class::Batch => PlacementReason::Packed,
        Tier::Settled => PlacementReason::Spread,
    }
}
