//! Placement of jobs on VMs.

use {
    lynxwheel_protocol::{JobName, Resources, VmName},
    lynxwheel_state::{FleetState, JobPhase, JobState},
};

/// Why a job is placed where it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// First VM with room.
    FirstFit,
}

impl PlacementReason {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstFit => "first_fit",
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

/// Plans starts of waiting jobs, urgent ones first, each of which the fold would accept alone.
#[must_use]
pub fn plan_placements(state: &FleetState, limit: usize) -> Vec<Placement> {
    let mut waiting: Vec<&JobState> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending)
        .collect();
    waiting.sort_by_key(|job| (job.spec.class, job.pending_since_ms));
    waiting
        .into_iter()
        .filter_map(|job| place(state, job))
        .take(limit)
        .collect()
}

fn place(state: &FleetState, job: &JobState) -> Option<Placement> {
    let attempt = job.attempts + 1;
    let reserved = job.spec.demand;
    let vm = state
        .vms()
        .iter()
        .filter(|vm| vm.pool == job.spec.pool)
        .find(|vm| {
            state
                .check_start(&job.spec.name, attempt, &vm.name, &reserved)
                .is_ok()
        })?;
    Some(Placement {
        job: job.spec.name.clone(),
        attempt,
        vm: vm.name.clone(),
        reserved,
        reason: PlacementReason::FirstFit,
    })
}
