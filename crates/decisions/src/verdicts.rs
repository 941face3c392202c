//! Final answers for jobs that can never run, and quarantine of VMs that fail what they start.

use {
    crate::{
        fleet_view::{FleetView, PoolView},
        placement::estimate_demand,
    },
    lynxwheel_protocol::{JobName, Resources, VmName},
    lynxwheel_state::{FleetState, JobPhase, JobState},
    std::fmt,
};

/// Time that a job waits before it is given up, so that a pool that starts can report its VMs,
/// in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Failures in a row after which a VM is suspected.
const SUSPECT_FAILURES: u32 = 3;

/// Jobs that failed on a suspected VM and nowhere else, after which it is to blame.
const WITNESSES: usize = 2;

/// Length of a quarantine, in milliseconds.
const QUARANTINE_MS: u64 = 30 * 60 * 1_000;

/// Why a job can never run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// No VM of its pool is as large as its demand.
    LargerThanAnyVm,
    /// Its demand alone exceeds its team's quota.
    LargerThanQuota,
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LargerThanAnyVm => "no VM of its pool is as large as its demand",
            Self::LargerThanQuota => "its demand alone exceeds its team's quota",
        })
    }
}

/// A job to give up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GiveUpPlan {
    /// Job.
    pub job: JobName,
    /// Reason.
    pub reason: GiveUpReason,
}

/// A VM to quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantinePlan {
    /// VM.
    pub vm: VmName,
    /// End, in milliseconds since the epoch.
    pub until_ms: u64,
}

/// Plans final answers for waiting jobs that can never run.
#[must_use]
pub fn plan_give_ups(state: &FleetState, now_ms: u64) -> Vec<GiveUpPlan> {
    let view = FleetView::new(state);
    let mut limits: Vec<Option<Vec<Resources>>> = vec![None; view.pools.len()];
    let mut plans = Vec::new();
    for job in state.jobs().iter() {
        let is_settled = job.pending_since_ms + SETTLE_MS <= now_ms;
        if job.phase != JobPhase::Pending || !is_settled {
            continue;
        }
        let Some(pool) = view.pool_index(job.spec.pool.as_str()) else {
            continue;
        };
        let shapes = limits[pool].get_or_insert_with(|| shapes(&view.pools[pool]));
        plans.extend(hopeless(state, job, shapes).map(|reason| GiveUpPlan {
            job: job.spec.name.clone(),
            reason,
        }));
    }
    plans
}

/// Returns the distinct sizes of a pool's VMs; none while any VM's size is not yet known.
fn shapes(pool: &PoolView<'_>) -> Vec<Resources> {
    if pool.vms.iter().any(|vm| vm.incarnation == 0) {
        return Vec::new();
    }
    let mut shapes: Vec<Resources> = pool.vms.iter().map(|vm| vm.capacity).collect();
    shapes.sort_unstable();
    shapes.dedup();
    shapes
}

/// Tells why a job can never run, if so.
pub(crate) fn hopeless(
    state: &FleetState,
    job: &JobState,
    shapes: &[Resources],
) -> Option<GiveUpReason> {
    let demand = estimate_demand(job);
    let team = state.teams().get(job.spec.team.as_str())?;
    if !demand.fits(&team.spec.quota) {
        return Some(GiveUpReason::LargerThanQuota);
    }
    let fits_any = shapes.is_empty() || shapes.iter().any(|shape| demand.fits(shape));
    (!fits_any).then_some(GiveUpReason::LargerThanAnyVm)
}

/// Plans quarantines of VMs that fail what runs elsewhere; the fold bounds their number.
///
/// A bad job fails wherever it runs and must not take VMs with it, so a VM is blamed only by jobs
/// that failed on it alone.
#[must_use]
pub fn plan_quarantines(state: &FleetState) -> Vec<QuarantinePlan> {
    let suspects: Vec<&VmName> = state
        .vms()
        .iter()
        .filter(|vm| vm.failures >= SUSPECT_FAILURES)
        .filter(|vm| vm.quarantined_until_ms <= state.time_ms())
        .map(|vm| &vm.name)
        .collect();
    if suspects.is_empty() {
        return Vec::new();
    }
    let mut witnesses = vec![0; suspects.len()];
    for job in state.jobs().iter() {
        if let [only] = job.failed_on.as_slice()
            && let Ok(row) = suspects.binary_search(&only)
        {
            witnesses[row] += 1;
        }
    }
    let blamed = suspects.into_iter().zip(witnesses);
    blamed
        .filter(|(_, witnesses)| *witnesses >= WITNESSES)
        .map(|(vm, _)| QuarantinePlan {
            vm: vm.clone(),
            until_ms: state.time_ms() + QUARANTINE_MS,
        })
        .collect()
}
