//! Giving up of jobs that can never run, and quarantine of VMs that fail jobs.

use {
    crate::{
        fleet_view::{FleetView, PoolView},
        placement::estimate_demand,
    },
    lynxwheel_protocol::{JobName, Resources, VmName},
    lynxwheel_state::{FleetState, JobPhase, JobState},
    std::fmt,
};

/// Time for which a job is pending before it may be given up, in milliseconds; new VMs report
/// their capacity meanwhile.
const GIVE_UP_DELAY_MS: u64 = 30_000;

/// Consecutive failures from which a VM may be quarantined.
const MIN_VM_FAILURES: u32 = 3;

/// Jobs that must have failed on a VM and on no other for it to be quarantined.
const MIN_FAILED_JOBS: usize = 2;

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
    /// Job to give up.
    pub job: JobName,
    /// Why the job can never run.
    pub reason: GiveUpReason,
}

/// A VM to quarantine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantinePlan {
    /// VM to quarantine.
    pub vm: VmName,
    /// End, in milliseconds since the epoch.
    pub until_ms: u64,
}

/// Plans to give up pending jobs that can never run.
#[must_use]
pub fn plan_give_ups(state: &FleetState, now_ms: u64) -> Vec<GiveUpPlan> {
    let view = FleetView::new(state);
    let mut sizes_by_pool: Vec<Option<Vec<Resources>>> = vec![None; view.pools.len()];
    let mut plans = Vec::new();
    for job in state.jobs().iter() {
        let has_waited = job.pending_since_ms + GIVE_UP_DELAY_MS <= now_ms;
        if job.phase != JobPhase::Pending || !has_waited {
            continue;
        }
        let Some(pool) = view.pool_index(job.spec.pool.as_str()) else {
            continue;
        };
        let vm_sizes = sizes_by_pool[pool].get_or_insert_with(|| vm_sizes(&view.pools[pool]));
        plans.extend(
            unrunnable_reason(state, job, vm_sizes).map(|reason| GiveUpPlan {
                job: job.spec.name.clone(),
                reason,
            }),
        );
    }
    plans
}

/// Returns the distinct capacities of a pool's VMs, or none while any of them is unknown.
fn vm_sizes(pool: &PoolView<'_>) -> Vec<Resources> {
    if pool.vms.iter().any(|vm| vm.incarnation == 0) {
        return Vec::new();
    }
    let mut vm_sizes: Vec<Resources> = pool.vms.iter().map(|vm| vm.capacity).collect();
    vm_sizes.sort_unstable();
    vm_sizes.dedup();
    vm_sizes
}

/// Returns the reason why a job can never run, if there is one.
pub(crate) fn unrunnable_reason(
    state: &FleetState,
    job: &JobState,
    vm_sizes: &[Resources],
) -> Option<GiveUpReason> {
    let demand = estimate_demand(job);
    let team = state.teams().get(job.spec.team.as_str())?;
    if !demand.fits(&team.spec.quota) {
        return Some(GiveUpReason::LargerThanQuota);
    }
    let fits_any = vm_sizes.is_empty() || vm_sizes.iter().any(|size| demand.fits(size));
    (!fits_any).then_some(GiveUpReason::LargerThanAnyVm)
}

/// Plans quarantines of VMs on which jobs keep failing; the fold bounds their number.
///
/// Only jobs that failed on no other VM count, so that a faulty job does not quarantine VMs.
#[must_use]
pub fn plan_quarantines(state: &FleetState) -> Vec<QuarantinePlan> {
    let suspects: Vec<&VmName> = state
        .vms()
        .iter()
        .filter(|vm| vm.failures >= MIN_VM_FAILURES)
        .filter(|vm| vm.quarantined_until_ms <= state.time_ms())
        .map(|vm| &vm.name)
        .collect();
    if suspects.is_empty() {
        return Vec::new();
    }
    let mut failed_jobs = vec![0; suspects.len()];
    for job in state.jobs().iter() {
        if let [vm] = job.failed_on.as_slice()
            && let Ok(row) = suspects.binary_search(&vm)
        {
            failed_jobs[row] += 1;
        }
    }
    let suspects = suspects.into_iter().zip(failed_jobs);
    suspects
        .filter(|(_, failed_jobs)| *failed_jobs >= MIN_FAILED_JOBS)
        .map(|(vm, _)| QuarantinePlan {
            vm: vm.clone(),
            until_ms: state.time_ms() + QUARANTINE_MS,
        })
        .collect()
}
