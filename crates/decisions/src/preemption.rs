//! Preemption of lower-class jobs for urgent ones.

use {
    crate::allocation::PoolAllocation,
    lynxwheel_protocol::{Class, JobName, Resources},
    lynxwheel_state::{FleetState, JobState},
    std::cmp::Reverse,
};

/// An attempt to checkpoint and stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Job to stop.
    pub job: JobName,
    /// Number of the running attempt.
    pub attempt: u32,
}

/// Stops that would free enough resources on one VM.
#[derive(Debug)]
struct PreemptionPlan<'a> {
    vm: usize,
    new_stops: Vec<&'a JobState>,
}

/// Plans the stops on the VM where the fewest of them suffice for an urgent demand.
///
/// The freed resources are reserved for the rest of the round, so that two urgent jobs do not
/// rely on the same stops. Attempts that cannot be checkpointed are never stopped.
pub(crate) fn preempt_for(
    state: &FleetState,
    allocation: &mut PoolAllocation<'_>,
    urgent: &JobState,
    demand: &Resources,
    stops: &mut Vec<Preemption>,
) {
    let best = (0..allocation.vms.len())
        .filter(|vm| allocation.is_eligible(*vm, urgent))
        .filter_map(|vm| plan_preemption(state, allocation, vm, demand, stops))
        .min_by_key(|plan| plan.new_stops.len());
    let Some(best) = best else {
        return;
    };
    for job in best.new_stops {
        let reserved = job.attempt.as_ref().map(|run| run.reserved);
        let reserved_after_stops = &mut allocation.vms[best.vm].reserved_after_stops;
        *reserved_after_stops = reserved_after_stops.minus(&reserved.unwrap_or_default());
        stops.push(Preemption {
            job: job.spec.name.clone(),
            attempt: job.attempts,
        });
    }
    allocation.reserve(best.vm, demand);
}

fn plan_preemption<'a>(
    state: &'a FleetState,
    allocation: &PoolAllocation<'_>,
    vm: usize,
    demand: &Resources,
    stops: &[Preemption],
) -> Option<PreemptionPlan<'a>> {
    let capacity = allocation.vms[vm].vm.capacity;
    let mut taken = allocation.vms[vm].reserved_after_stops;
    let mut preemptible: Vec<&JobState> = Vec::new();
    for name in &allocation.vms[vm].vm.attempts {
        let job = state.jobs().get(name.as_str())?;
        let attempt = job.attempt.as_ref()?;
        let is_already_stopped = stops.iter().any(|stop| stop.job == job.spec.name);
        let is_preemptible = job.spec.checkpoint && job.spec.class != Class::Urgent;
        if is_preemptible && !is_already_stopped && !attempt.stopping {
            preemptible.push(job);
        }
    }
    preemptible.sort_by_key(|job| {
        let attempt = job.attempt.as_ref();
        Reverse((job.spec.class, attempt.map(|run| run.since_ms)))
    });
    let mut new_stops = Vec::new();
    for job in preemptible {
        if demand.plus(&taken).fits(&capacity) {
            break;
        }
        taken = taken.minus(&job.attempt.as_ref()?.reserved);
        new_stops.push(job);
    }
    let fits = demand.plus(&taken).fits(&capacity);
    fits.then_some(PreemptionPlan { vm, new_stops })
}
