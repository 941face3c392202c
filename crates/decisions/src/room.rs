//! Room left on the VMs of a pool during one round of placement.

use {
    crate::{
        fleet_view::PoolView,
        tuning::Tuning,
        waves::{RunningWave, cordoned, is_due},
    },
    lynxwheel_protocol::{Class, Resources, VmName},
    lynxwheel_state::{FleetState, JobState, VmState},
};

/// Why a VM was preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Tier {
    /// No planned work takes it.
    Settled,
    /// A running wave takes it later.
    Due,
    /// Planned work takes it next.
    Cordoned,
}

/// One VM during the round.
#[derive(Clone, Debug)]
pub(crate) struct VmRoom<'a> {
    pub(crate) vm: &'a VmState,
    pub(crate) free: Resources,
    pub(crate) tier: Tier,
    zone: usize,
    rack: usize,
}

/// The VMs of one pool that can take attempts during the round.
#[derive(Clone, Debug)]
pub(crate) struct PoolRoom<'a> {
    pub(crate) vms: Vec<VmRoom<'a>>,
    unplaceable: Vec<(Class, Resources)>,
    zone_attempts: Vec<u64>,
    rack_attempts: Vec<u64>,
}

impl<'a> PoolRoom<'a> {
    pub(crate) fn new(
        state: &FleetState,
        pool: &PoolView<'a>,
        tuning: &Tuning,
        now_ms: u64,
        waves: &[RunningWave<'_>],
    ) -> Self {
        let kept_free = cordoned(state, pool, tuning, now_ms, waves);
        let zones = distinct(pool, zone_key);
        let racks = distinct(pool, rack_key);
        let mut zone_attempts = vec![0; zones.len()];
        let mut rack_attempts = vec![0; racks.len()];
        let mut vms = Vec::new();
        for vm in pool.vms.iter().copied() {
            let zone = zones.partition_point(|other| *other < zone_key(vm));
            let rack = racks.partition_point(|other| *other < rack_key(vm));
            zone_attempts[zone] += vm.attempts.len() as u64;
            rack_attempts[rack] += vm.attempts.len() as u64;
            if vm.is_available() && vm.quarantined_until_ms <= state.time_ms() {
                vms.push(VmRoom {
                    vm,
                    free: vm.free(),
                    tier: tier(vm, &kept_free, waves),
                    zone,
                    rack,
                });
            }
        }
        Self {
            vms,
            unplaceable: Vec::new(),
            zone_attempts,
            rack_attempts,
        }
    }

    /// Returns the index of the VM for a job.
    ///
    /// A demand that found no room is remembered, and larger ones of its class or a lower one
    /// are not tried again; a round over many waiting jobs costs one pass over the VMs.
    pub(crate) fn choose(&mut self, job: &JobState, demand: &Resources) -> Option<usize> {
        let class = job.spec.class;
        let is_hopeless = self
            .unplaceable
            .iter()
            .any(|(other, small)| *other <= class && small.fits(demand));
        if is_hopeless {
            return None;
        }
        let best = (0..self.vms.len())
            .filter(|index| self.admits(*index, class, demand))
            .min_by_key(|index| self.cost(*index, job, demand));
        if best.is_none() {
            self.unplaceable.push((class, *demand));
        }
        best
    }

    /// Takes room for an attempt.
    pub(crate) fn take(&mut self, index: usize, demand: &Resources) {
        let room = &mut self.vms[index];
        room.free = room.free.minus(demand);
        self.zone_attempts[room.zone] += 1;
        self.rack_attempts[room.rack] += 1;
    }

    fn admits(&self, index: usize, class: Class, demand: &Resources) -> bool {
        let room = &self.vms[index];
        let is_open = room.tier != Tier::Cordoned || class == Class::Urgent;
        is_open && demand.fits(&room.free)
    }

    /// Returns what an attempt costs on a VM; the lowest is chosen.
    ///
    /// A VM on which the job failed comes last, one that a wave takes later before it. Batch work
    /// is packed tightly, which leaves other VMs empty for maintenance and large jobs; work that
    /// people wait for is spread over zones and racks, so that one failure takes little of it.
    fn cost(&self, index: usize, job: &JobState, demand: &Resources) -> (bool, Tier, u64, u64) {
        let room = &self.vms[index];
        let has_failed = job.failed_on.binary_search(&room.vm.name).is_ok();
        let spread = if job.spec.class == Class::Batch {
            0
        } else {
            self.domain_load(room)
        };
        let left = share(&room.free.minus(demand), &room.vm.capacity);
        (has_failed, room.tier, spread, left)
    }

    /// Returns the attempts in the VM's zone and, weighing less, in its rack.
    fn domain_load(&self, room: &VmRoom<'_>) -> u64 {
        self.zone_attempts[room.zone] * 2 + self.rack_attempts[room.rack]
    }
}

fn zone_key(vm: &VmState) -> &str {
    vm.zone.as_str()
}

fn rack_key(vm: &VmState) -> RackKey<'_> {
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

fn distinct<'a, K: Ord>(pool: &PoolView<'a>, key: impl Fn(&'a VmState) -> K) -> Vec<K> {
    let mut keys: Vec<K> = pool.vms.iter().map(|vm| key(vm)).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

fn tier(vm: &VmState, kept_free: &[&VmName], waves: &[RunningWave<'_>]) -> Tier {
    if kept_free.binary_search(&&vm.name).is_ok() {
        Tier::Cordoned
    } else if vm.wanted_pool != vm.pool || waves.iter().any(|running| is_due(running.wave, vm)) {
        Tier::Due
    } else {
        Tier::Settled
    }
}

/// Returns the shares of all dimensions that `part` has of `whole`, in thousandths, summed.
fn share(part: &Resources, whole: &Resources) -> u64 {
    let of = |part: u32, whole: u32| u64::from(part) * 1_000 / u64::from(whole.max(1));
    of(part.cores_milli, whole.cores_milli)
        + of(part.memory_mib, whole.memory_mib)
        + of(part.accelerators, whole.accelerators)
}
