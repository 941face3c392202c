//! Stopping lower work for urgent work.

use {
    crate::allocation::PoolRoom,
    lynxwheel_protocol::{Class, JobName, Resources},
    lynxwheel_state::{FleetState, JobState},
    std::cmp::Reverse,
};

/// An attempt to stop, with its progress kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Preemption {
    /// Job.
    pub job: JobName,
    /// Attempt.
    pub attempt: u32,
}

/// Room that stops on one VM would make.
#[derive(Debug)]
struct Offer<'a> {
    vm: usize,
    new_stops: Vec<&'a JobState>,
}

/// Finds the VM on which the fewest stops make room for an urgent demand, and plans them.
///
/// The room is taken for the rest of the round, so that several urgent jobs do not count on the
/// same stops. An attempt that cannot be checkpointed is never stopped: its run would be lost.
pub(crate) fn make_room(
    state: &FleetState,
    room: &mut PoolRoom<'_>,
    urgent: &JobState,
    demand: &Resources,
    stops: &mut Vec<Preemption>,
) {
    let best = (0..room.vms.len())
        .filter(|vm| room.is_new_to(*vm, urgent))
        .filter_map(|vm| offer(state, room, vm, demand, stops))
        .min_by_key(|offer| offer.new_stops.len());
    let Some(best) = best else {
        return;
    };
    for job in best.new_stops {
        let reserved = job.attempt.as_ref().map(|run| run.reserved);
        let taken_soon = &mut room.vms[best.vm].taken_soon;
        *taken_soon = taken_soon.minus(&reserved.unwrap_or_default());
        stops.push(Preemption {
            job: job.spec.name.clone(),
            attempt: job.attempts,
        });
    }
    room.take(best.vm, demand);
}

fn offer<'a>(
    state: &'a FleetState,
    room: &PoolRoom<'_>,
    vm: usize,
    demand: &Resources,
    stops: &[Preemption],
) -> Option<Offer<'a>> {
    let capacity = room.vms[vm].vm.capacity;
    let mut taken = room.vms[vm].taken_soon;
    let mut lower: Vec<&JobState> = Vec::new();
    for name in &room.vms[vm].vm.attempts {
        let job = state.jobs().get(name.as_str())?;
        let attempt = job.attempt.as_ref()?;
        let is_planned = stops.iter().any(|stop| stop.job == job.spec.name);
        let is_lower = job.spec.checkpoint && job.spec.class != Class::Urgent;
        if is_lower && !is_planned && !attempt.stopping {
            lower.push(job);
        }
    }
    lower.sort_by_key(|job| {
        let attempt = job.attempt.as_ref();
        Reverse((job.spec.class, attempt.map(|run| run.since_ms)))
    });
    let mut new_stops = Vec::new();
    for job in lower {
        if demand.plus(&taken).fits(&capacity) {
            break;
        }
        taken = taken.minus(&job.attempt.as_ref()?.reserved);
        new_stops.push(job);
    }
    let fits = demand.plus(&taken).fits(&capacity);
    fits.then_some(Offer { vm, new_stops })
}
