//! Hand-over of VMs between pools: which VMs stop taking work, so that they can move once their
//! runs have ended.
//!
//! A pool with a backlog refills each freed slot, so its VMs never become idle by themselves, even
//! if the backlog is late and on-time work of another pool waits.

use crate::{capacity_plan::CapacityPlan, event::EndpointKey};

/// Surplus over a pool's target, in percent, that it keeps. A move takes a VM out of service for
/// longer than a short task runs, so small differences are not worth one.
const KEPT_SURPLUS_PERCENT: u64 = 10;

/// Endpoint whose VM could move once its runs have ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReleaseCandidate {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Index of its pool in the plan.
    pub pool_index: usize,
    /// Capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Whether it takes no work already.
    pub is_vacating: bool,
    /// Expected time until its runs have ended, in milliseconds.
    pub busy_ms: u64,
}

/// Capacity that a pool can release.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Surplus {
    cpu_millis: u64,
    vms: i64,
}

/// Returns the endpoints that should take no more work, sorted. `releasable_vms` is the number of
/// VMs that each pool can spare beside those that are vacating; negative if it has too few.
///
/// VMs that are vacating already come first, so that their empty slots are not refilled; then those
/// that are empty first.
#[must_use]
pub fn choose_vacating(
    plan: &CapacityPlan,
    releasable_vms: &[i64],
    mut candidates: Vec<ReleaseCandidate>,
) -> Vec<EndpointKey> {
    let mut surpluses = surpluses(plan, releasable_vms, &candidates);
    let mut shortage = shortage_cpu_millis(plan);
    candidates.sort_unstable_by_key(|candidate| {
        (
            !candidate.is_vacating,
            candidate.busy_ms,
            candidate.endpoint,
        )
    });
    let mut chosen = Vec::new();
    for candidate in candidates {
        if shortage == 0 {
            break;
        }
        let surplus = &mut surpluses[candidate.pool_index];
        if surplus.vms > 0 && surplus.cpu_millis >= candidate.cpu_millis {
            surplus.vms -= 1;
            surplus.cpu_millis -= candidate.cpu_millis;
            shortage = shortage.saturating_sub(candidate.cpu_millis);
            chosen.push(candidate.endpoint);
        }
    }
    chosen.sort_unstable();
    chosen
}

/// Returns the capacity that pools miss in total beyond that of the VMs on standby, in thousandths of
/// a core.
pub(crate) fn shortage_cpu_millis(plan: &CapacityPlan) -> u64 {
    let (standby, active): (Vec<_>, Vec<_>) = plan.pools().iter().partition(|pool| pool.is_standby);
    let missing = active.iter().map(|pool| {
        pool.target_cpu_millis
            .saturating_sub(pool.expected_cpu_millis())
    });
    let missing: u64 = missing.sum();
    let on_standby = standby.iter().map(|pool| pool.supply_cpu_millis).sum();
    missing.saturating_sub(on_standby)
}

/// Returns what each pool can release. Endpoints that are vacating are not part of the supply, and
/// take work again if the pool has too little without them.
fn surpluses(
    plan: &CapacityPlan,
    releasable_vms: &[i64],
    candidates: &[ReleaseCandidate],
) -> Vec<Surplus> {
    let pools = plan.pools().iter().zip(releasable_vms);
    let mut surpluses: Vec<Surplus> = pools
        .clone()
        .map(|(pool, &vms)| Surplus {
            cpu_millis: pool.supply_cpu_millis,
            vms,
        })
        .collect();
    for candidate in candidates.iter().filter(|candidate| candidate.is_vacating) {
        surpluses[candidate.pool_index].cpu_millis += candidate.cpu_millis;
        surpluses[candidate.pool_index].vms += 1;
    }
    for (surplus, (pool, _)) in surpluses.iter_mut().zip(pools) {
        let kept = pool.target_cpu_millis * (100 + KEPT_SURPLUS_PERCENT) / 100;
        surplus.cpu_millis = surplus.cpu_millis.saturating_sub(kept);
    }
    surpluses
}
