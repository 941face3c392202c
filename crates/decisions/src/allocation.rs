//! Room left on the VMs of a pool during one round of placement.

use {
    crate::{
        fleet_view::PoolView,
        tuning::Tuning,
        waves::{RunningWave, Upcoming, upcoming},
    },
    lynxwheel_protocol::{Class, Resources},
    lynxwheel_state::{FleetState, JobState, VmState},
};

/// Failures in a row after which a VM is used last.
const SUSPECT_FAILURES: u32 = 2;

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
    /// Room for starts now.
    pub(crate) free: Resources,
    /// What is taken once the attempts that were asked to stop are over, with what is pledged.
    ///
    /// It may exceed the capacity, since attempts may use more than was declared.
    pub(crate) taken_soon: Resources,
    pub(crate) tier: Tier,
    wait_ms: u64,
    zone: usize,
    rack: usize,
}

impl VmRoom<'_> {
    fn fits_soon(&self, demand: &Resources) -> bool {
        demand.plus(&self.taken_soon).fits(&self.vm.capacity)
    }
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
        let upcoming = upcoming(state, pool, tuning, now_ms, waves);
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
                let next = upcoming
                    .binary_search_by(|next| next.vm.cmp(&vm.name))
                    .map(|row| upcoming[row]);
                vms.push(VmRoom {
                    vm,
                    free: vm.free(),
                    taken_soon: vm.reserved.minus(&stopping(state, vm)),
                    tier: next.map_or(Tier::Settled, |next| tier(&next)),
                    wait_ms: next.map_or(u64::MAX, |next| next.wait_ms),
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

    /// Tells whether a demand no larger than this one found no room before.
    ///
    /// Such a demand is remembered, and larger ones of its class or a lower one are not tried
    /// again; a round over many waiting jobs costs one pass over the VMs.
    pub(crate) fn is_hopeless(&self, job: &JobState, demand: &Resources) -> bool {
        self.unplaceable
            .iter()
            .any(|(class, small)| *class <= job.spec.class && small.fits(demand))
    }

    /// Returns the index of the VM for a job.
    pub(crate) fn choose(&mut self, job: &JobState, demand: &Resources) -> Option<usize> {
        let class = job.spec.class;
        if self.is_hopeless(job, demand) {
            return None;
        }
        let best = (0..self.vms.len())
            .filter(|index| self.admits(*index, job, demand))
            .min_by_key(|index| self.cost(*index, job, demand));
        if best.is_none() && job.failed_on.is_empty() {
            self.unplaceable.push((class, *demand));
        }
        best
    }

    /// Takes room for an attempt.
    pub(crate) fn take(&mut self, index: usize, demand: &Resources) {
        let room = &mut self.vms[index];
        room.free = room.free.minus(demand);
        room.taken_soon = room.taken_soon.plus(demand);
        self.zone_attempts[room.zone] += 1;
        self.rack_attempts[room.rack] += 1;
    }

    /// Tells whether a VM can take a job.
    ///
    /// A job does not go back to a VM on which it failed while there are others, even if they are
    /// full for now: a VM that fails everything always has room, and would use up the attempts of
    /// every job that is in a hurry.
    fn admits(&self, index: usize, job: &JobState, demand: &Resources) -> bool {
        let room = &self.vms[index];
        let is_open = room.tier != Tier::Cordoned || job.spec.class == Class::Urgent;
        is_open && self.is_new_to(index, job) && demand.fits(&room.free) && room.fits_soon(demand)
    }

    /// Tells whether a job has not failed on a VM, or on every one of them.
    pub(crate) fn is_new_to(&self, index: usize, job: &JobState) -> bool {
        let has_failed = job
            .failed_on
            .binary_search(&self.vms[index].vm.name)
            .is_ok();
        !has_failed || job.failed_on.len() >= self.vms.len()
    }

    /// Returns what an attempt costs on a VM; the lowest is chosen.
    ///
    /// A VM on which the last attempts failed comes last, and one that a wave takes later before
    /// it. Batch work is packed tightly, which leaves other VMs empty for maintenance and large jobs; work that
    /// people wait for is spread over zones and racks, so that one failure takes little of it.
    ///
    /// Among the VMs that a wave takes later, a job goes where it puts the wave off least: long
    /// jobs gather on the VM that is busy for longest anyway, and the others are empty sooner.
    fn cost(&self, index: usize, job: &JobState, demand: &Resources) -> Cost {
        let room = &self.vms[index];
        let spread = if job.spec.class == Class::Batch {
            0
        } else {
            self.domain_load(room)
        };
        let left = share(&room.free.minus(demand), &room.vm.capacity);
        let runs_ms = job.spec.run_time_ms.max(job.estimate.ran_ms);
        Cost {
            is_suspect: room.vm.failures >= SUSPECT_FAILURES,
            tier: room.tier,
            put_off_ms: runs_ms.saturating_sub(room.wait_ms),
            spread,
            left,
        }
    }

    /// Returns the attempts in the VM's zone and, weighing less, in its rack.
    fn domain_load(&self, room: &VmRoom<'_>) -> u64 {
        self.zone_attempts[room.zone] * 2 + self.rack_attempts[room.rack]
    }
}

/// What an attempt costs on a VM, the weightiest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    is_suspect: bool,
    tier: Tier,
    put_off_ms: u64,
    spread: u64,
    left: u64,
}

/// Returns what the attempts on a VM that were asked to stop have reserved.
fn stopping(state: &FleetState, vm: &VmState) -> Resources {
    let jobs = vm.attempts.iter();
    jobs.filter_map(|name| state.jobs().get(name.as_str())?.attempt.as_ref())
        .filter(|attempt| attempt.stopping)
        .fold(Resources::default(), |sum, attempt| {
            sum.plus(&attempt.reserved)
        })
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

fn tier(next: &Upcoming<'_>) -> Tier {
    if next.is_cordoned {
        Tier::Cordoned
    } else {
        Tier::Due
    }
}

/// Returns the shares of all dimensions that `part` has of `whole`, in thousandths, summed.
fn share(part: &Resources, whole: &Resources) -> u64 {
    let of = |part: u32, whole: u32| u64::from(part) * 1_000 / u64::from(whole.max(1));
    of(part.cores_milli, whole.cores_milli)
        + of(part.memory_mib, whole.memory_mib)
        + of(part.accelerators, whole.accelerators)
}
