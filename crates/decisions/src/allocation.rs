//! Reserved and free resources of a pool's VMs during one round of placement.

use {
    crate::{
        fleet_view::PoolView,
        tuning::Tuning,
        waves::{PlannedVm, RunningWave, planned_vms},
    },
    lynxwheel_protocol::{Class, Resources},
    lynxwheel_state::{FleetState, JobState, VmState},
};

/// Consecutive failures from which a VM is used only as a last resort.
const SUSPECT_FAILURES: u32 = 2;

/// How soon planned work claims a VM; lower tiers are preferred for new starts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum PlacementTier {
    /// No planned work claims it.
    NotDue,
    /// A running wave claims it later.
    Due,
    /// Planned work claims it next.
    Cordoned,
}

/// Resources of one VM during the round.
#[derive(Clone, Debug)]
pub(crate) struct VmAllocation<'a> {
    pub(crate) vm: &'a VmState,
    /// Resources free for starts now.
    pub(crate) free: Resources,
    /// Resources reserved once all stopping attempts have ended, planned starts included.
    ///
    /// May exceed the capacity, since attempts may use more than was declared.
    pub(crate) reserved_after_stops: Resources,
    pub(crate) tier: PlacementTier,
    drain_wait_ms: u64,
    zone: usize,
    rack: usize,
}

impl VmAllocation<'_> {
    fn fits_after_stops(&self, demand: &Resources) -> bool {
        demand
            .plus(&self.reserved_after_stops)
            .fits(&self.vm.capacity)
    }
}

/// Resources of the VMs of one pool that can take attempts during the round.
#[derive(Clone, Debug)]
pub(crate) struct PoolAllocation<'a> {
    pub(crate) vms: Vec<VmAllocation<'a>>,
    unplaceable: Vec<(Class, Resources)>,
    attempts_by_zone: Vec<u64>,
    attempts_by_rack: Vec<u64>,
}

impl<'a> PoolAllocation<'a> {
    pub(crate) fn new(
        state: &FleetState,
        pool: &PoolView<'a>,
        tuning: &Tuning,
        now_ms: u64,
        waves: &[RunningWave<'_>],
    ) -> Self {
        let planned_vms = planned_vms(state, pool, tuning, now_ms, waves);
        let zones = distinct_keys(pool, zone_of);
        let racks = distinct_keys(pool, rack_of);
        let mut attempts_by_zone = vec![0; zones.len()];
        let mut attempts_by_rack = vec![0; racks.len()];
        let mut vms = Vec::new();
        for vm in pool.vms.iter().copied() {
            let zone = zones.partition_point(|other| *other < zone_of(vm));
            let rack = racks.partition_point(|other| *other < rack_of(vm));
            attempts_by_zone[zone] += vm.attempts.len() as u64;
            attempts_by_rack[rack] += vm.attempts.len() as u64;
            if vm.is_available() && vm.quarantined_until_ms <= state.time_ms() {
                let planned = planned_vms
                    .binary_search_by(|planned| planned.vm.cmp(&vm.name))
                    .map(|row| planned_vms[row]);
                vms.push(VmAllocation {
                    vm,
                    free: vm.free(),
                    reserved_after_stops: vm.reserved.minus(&stopping_resources(state, vm)),
                    tier: planned.map_or(PlacementTier::NotDue, |planned| tier_of(&planned)),
                    drain_wait_ms: planned.map_or(u64::MAX, |planned| planned.drain_wait_ms),
                    zone,
                    rack,
                });
            }
        }
        Self {
            vms,
            unplaceable: Vec::new(),
            attempts_by_zone,
            attempts_by_rack,
        }
    }

    /// Returns whether a smaller or equal demand of the same or a higher class already fitted no VM.
    ///
    /// Remembering such demands keeps a round over many pending jobs from scanning the VMs for
    /// each of them.
    pub(crate) fn is_unplaceable(&self, job: &JobState, demand: &Resources) -> bool {
        self.unplaceable
            .iter()
            .any(|(class, smaller)| *class <= job.spec.class && smaller.fits(demand))
    }

    /// Returns the index of the VM for a job.
    pub(crate) fn choose_vm(&mut self, job: &JobState, demand: &Resources) -> Option<usize> {
        let class = job.spec.class;
        if self.is_unplaceable(job, demand) {
            return None;
        }
        let best = (0..self.vms.len())
            .filter(|index| self.can_place(*index, job, demand))
            .min_by_key(|index| self.cost(*index, job, demand));
        if best.is_none() && job.failed_on.is_empty() {
            self.unplaceable.push((class, *demand));
        }
        best
    }

    /// Reserves resources for an attempt.
    pub(crate) fn reserve(&mut self, index: usize, demand: &Resources) {
        let target = &mut self.vms[index];
        target.free = target.free.minus(demand);
        target.reserved_after_stops = target.reserved_after_stops.plus(demand);
        self.attempts_by_zone[target.zone] += 1;
        self.attempts_by_rack[target.rack] += 1;
    }

    /// Returns whether a VM can take a job.
    ///
    /// A job is not retried on a VM on which it failed while the pool has others, even if those
    /// are full: a VM that fails everything always has free capacity and would use up the attempts
    /// of every job.
    fn can_place(&self, index: usize, job: &JobState, demand: &Resources) -> bool {
        let target = &self.vms[index];
        let takes_starts =
            target.tier != PlacementTier::Cordoned || job.spec.class == Class::Urgent;
        takes_starts
            && self.is_eligible(index, job)
            && demand.fits(&target.free)
            && target.fits_after_stops(demand)
    }

    /// Returns whether a job has not failed on a VM, or has failed on all of them.
    pub(crate) fn is_eligible(&self, index: usize, job: &JobState) -> bool {
        let has_failed = job
            .failed_on
            .binary_search(&self.vms[index].vm.name)
            .is_ok();
        !has_failed || job.failed_on.len() >= self.vms.len()
    }

    /// Returns the cost of an attempt on a VM; the VM with the lowest cost is chosen.
    ///
    /// VMs on which the last attempts failed come last, and VMs that a wave claims later before
    /// them. Batch jobs are packed tightly, which leaves other VMs empty for maintenance and large
    /// jobs. Other jobs are spread over zones and racks to limit the effect of a failure.
    ///
    /// Among the VMs that a wave claims later, a job goes where it delays the wave least, so that
    /// long jobs collect on the VM that is busy for longest anyway.
    fn cost(&self, index: usize, job: &JobState, demand: &Resources) -> Cost {
        let target = &self.vms[index];
        let spread = if job.spec.class == Class::Batch {
            0
        } else {
            self.failure_domain_load(target)
        };
        let free_share = total_share_permille(&target.free.minus(demand), &target.vm.capacity);
        let run_time_ms = job.spec.run_time_ms.max(job.estimate.longest_run_ms);
        Cost {
            is_suspect: target.vm.failures >= SUSPECT_FAILURES,
            tier: target.tier,
            wave_delay_ms: run_time_ms.saturating_sub(target.drain_wait_ms),
            spread,
            free_share,
        }
    }

    /// Returns the weighted count of attempts in the VM's zone and rack.
    fn failure_domain_load(&self, target: &VmAllocation<'_>) -> u64 {
        self.attempts_by_zone[target.zone] * 2 + self.attempts_by_rack[target.rack]
    }
}

/// Cost of an attempt on a VM, compared field by field.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    is_suspect: bool,
    tier: PlacementTier,
    wave_delay_ms: u64,
    spread: u64,
    free_share: u64,
}

/// Returns what the stopping attempts on a VM have reserved.
fn stopping_resources(state: &FleetState, vm: &VmState) -> Resources {
    let jobs = vm.attempts.iter();
    jobs.filter_map(|name| state.jobs().get(name.as_str())?.attempt.as_ref())
        .filter(|attempt| attempt.stopping)
        .fold(Resources::default(), |sum, attempt| {
            sum.plus(&attempt.reserved)
        })
}

fn zone_of(vm: &VmState) -> &str {
    vm.zone.as_str()
}

fn rack_of(vm: &VmState) -> RackKey<'_> {
    RackKey {
        zone: vm.zone.as_str(),
        rack: vm.rack.as_str(),
    }
}

/// A rack; its name is unique within a zone only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RackKey<'a> {
    zone: &'a str,
    rack: &'a str,
}

fn distinct_keys<'a, K: Ord>(pool: &PoolView<'a>, key: impl Fn(&'a VmState) -> K) -> Vec<K> {
    let mut keys: Vec<K> = pool.vms.iter().map(|vm| key(vm)).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

fn tier_of(planned: &PlannedVm<'_>) -> PlacementTier {
    if planned.is_cordoned {
        PlacementTier::Cordoned
    } else {
        PlacementTier::Due
    }
}

/// Returns the sum over all resource dimensions of the share of `part` in `whole`, in thousandths.
fn total_share_permille(part: &Resources, whole: &Resources) -> u64 {
    let permille = |part: u32, whole: u32| u64::from(part) * 1_000 / u64::from(whole.max(1));
    permille(part.cores_milli, whole.cores_milli)
        + permille(part.memory_mib, whole.memory_mib)
        + permille(part.accelerators, whole.accelerators)
}
