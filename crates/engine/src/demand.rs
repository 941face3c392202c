//! Demand: what work each pool has room for, and what it misses.

use {
    crate::{
        balance::{Balance, Trait, WORK_OFF_MS, Waiting, needs_members},
        engine::Engine,
        event::Now,
        job::{Resources, StepSpec},
        log_event::PoolPlan,
        reports::VmState,
        vms::{Vm, VmOrder},
    },
    compact_str::CompactString,
};

/// VMs that a pool keeps at least while others have none to spare, so that its next job starts at
/// once.
const KEPT_VMS: usize = 2;

/// Work of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolLoad {
    pub(crate) name: CompactString,
    pub(crate) is_standby: bool,
    room: Balance,
    /// The same for what only some VMs have, as far as waiting work asks for it.
    traits: Vec<(Trait, Balance)>,
    /// VMs ordered into the pool at this planning.
    moved_in: usize,
    /// VMs ordered out of the pool at this planning.
    moved_out: usize,
}

impl PoolLoad {
    /// Tells whether something was ordered for the pool.
    pub(crate) fn has_orders(&self) -> bool {
        self.moved_in + self.moved_out > 0
    }

    /// Returns how the pool stands, for the log.
    pub(crate) fn plan(&self) -> PoolPlan {
        PoolPlan {
            pool: self.name.clone(),
            members: self.room.members,
            pinned: self.room.pinned,
            arriving: self.room.arriving_vms,
            supply_cpu_millis: self.room.supply,
            used_cpu_millis: self.room.used.cpu_millis,
            used_memory_mb: self.room.used.memory_mb,
            wanted_cpu_millis: self.room.wanted(),
            moved_in: self.moved_in,
            moved_out: self.moved_out,
        }
    }

    /// Returns what only some VMs have and is missed most, and how much of it is missed.
    ///
    /// A pool with room enough on other VMs asked for none, and its work waited for good.
    fn missing_trait(&self) -> Option<(&Trait, u64)> {
        let missing = self
            .traits
            .iter()
            .filter(|(one, _)| one.is_required())
            .map(|(one, balance)| (one, balance.missing()))
            .filter(|(_, missing)| *missing > 0);
        missing.max_by_key(|(_, missing)| *missing)
    }

    /// Tells whether a VM of the pool can leave.
    pub(crate) fn can_spare(&self, vm: &Vm) -> bool {
        let entry = &vm.entry;
        let kept = KEPT_VMS.max(self.room.needed_members);
        let mut traits = self
            .traits
            .iter()
            .filter(|(one, _)| one.is_required() && one.is_of(&entry.labels, &entry.capacity));
        self.room.members > kept
            && self.room.has_left(entry.capacity.cpu_millis)
            && traits.all(|(one, balance)| {
                let room = one.counted(&entry.capacity).cpu_millis;
                balance.members > balance.needed_members && balance.has_left(room)
            })
    }

    /// Tells whether something waits here that only some VMs serve, or serve better.
    pub(crate) fn has_traits(&self) -> bool {
        !self.traits.is_empty()
    }

    /// Says how much of what waits here a VM serves better than any other would.
    pub(crate) fn suits(&self, vm: &Vm) -> u64 {
        self.traits
            .iter()
            .filter(|(one, _)| one.is_of(&vm.entry.labels, &vm.entry.capacity))
            .map(|(_, balance)| balance.missing())
            .sum()
    }

    /// Takes in that a VM is on its way here.
    pub(crate) fn expect(&mut self, vm: &Vm) {
        let entry = &vm.entry;
        self.room.arriving += entry.capacity.cpu_millis.max(1);
        self.room.arriving_vms += 1;
        for (one, balance) in &mut self.traits {
            if one.is_of(&entry.labels, &entry.capacity) {
                balance.arriving += one.counted(&entry.capacity).cpu_millis.max(1);
                balance.arriving_vms += 1;
            }
        }
    }

    /// Takes in that a VM was ordered here.
    pub(crate) fn take_in(&mut self, vm: &Vm) {
        self.moved_in += 1;
        self.expect(vm);
    }

    /// Takes in that a VM leaves.
    pub(crate) fn let_go(&mut self, vm: &Vm) {
        self.moved_out += 1;
        let cpu = vm.entry.capacity.cpu_millis;
        self.room.supply = self.room.supply.saturating_sub(cpu);
        self.room.members = self.room.members.saturating_sub(1);
    }

    /// Counts the work of late jobs from now on.
    pub(crate) fn count_late(&mut self) {
        self.room.count_late();
        for (_, balance) in &mut self.traits {
            balance.count_late();
        }
    }

    fn add_step(&mut self, spec: &StepSpec, waiting: Waiting, vm: &Resources) {
        self.room.need_members(spec);
        let work_ms = spec.estimated_ms.max(WORK_OFF_MS / 2);
        let charged = spec.reserved_resources();
        // What only some VMs can run is no reason for others: a pool that misses a kind of VM took
        // all the others in for nothing, and kept them.
        if !Trait::of_step(spec).any(|one| one.is_required()) {
            self.room.add_work(spec, &charged, work_ms, waiting);
        }
        if waiting.count == 0 && !needs_members(spec) {
            return;
        }
        for one in Trait::of_step(spec) {
            let counted = one.counted(&charged);
            let place = self.traits.iter().position(|(known, _)| *known == one);
            let place = place.unwrap_or_else(|| {
                self.traits.push((one, Balance::new(vm)));
                self.traits.len() - 1
            });
            let balance = &mut self.traits[place].1;
            balance.need_members(spec);
            balance.add_work(spec, &counted, work_ms, waiting);
        }
    }
}

/// Returns the place of a pool among the loads, which are sorted by name.
pub(crate) fn load_place(loads: &[PoolLoad], pool: &str) -> Option<usize> {
    loads
        .binary_search_by(|load| load.name.as_str().cmp(pool))
        .ok()
}

/// A pool that misses something.
#[derive(Clone, Debug)]
pub(crate) struct Need {
    /// Place of the pool.
    pub(crate) place: usize,
    /// What the VM has to have.
    pub(crate) required: Option<Trait>,
}

impl Need {
    /// Tells whether a VM is of use.
    pub(crate) fn is_met_by(&self, vm: &Vm) -> bool {
        self.required
            .as_ref()
            .is_none_or(|one| one.is_of(&vm.entry.labels, &vm.entry.capacity))
    }
}

/// Returns the pool that misses most, if any misses something, with what the VM has to have unless
/// nobody has it.
pub(crate) fn neediest(loads: &[PoolLoad], passed_over: &[(usize, Trait)]) -> Option<Need> {
    let missing = |place: usize| {
        let load = &loads[place];
        let special = load
            .missing_trait()
            .filter(|(one, _)| !passed_over.contains(&(place, (*one).clone())));
        match special {
            Some((one, missing)) if missing >= load.room.missing() => (missing, Some(one.clone())),
            _ => (load.room.missing(), None),
        }
    };
    (0..loads.len())
        .filter(|&place| !loads[place].is_standby)
        .map(|place| (place, missing(place)))
        .filter(|(_, (missing, _))| *missing > 0)
        .max_by_key(|(_, (missing, _))| *missing)
        .map(|(place, (_, required))| Need { place, required })
}

impl Engine {
    /// Returns the work and the room of every pool, sorted by name.
    pub(crate) fn pool_loads(&self, now: Now) -> Vec<PoolLoad> {
        let vm = self.largest_vm();
        let mut loads: Vec<PoolLoad> = self
            .config
            .pools
            .iter()
            .map(|pool| PoolLoad {
                name: pool.name.clone(),
                is_standby: pool.is_standby,
                room: Balance::new(&vm),
                ..PoolLoad::default()
            })
            .collect();
        for load in &mut loads {
            load.room.handed_in = self
                .arrivals
                .load(&load.name, now, |account| self.quotas.quota(account));
        }
        self.add_waiting(&mut loads, &vm, now);
        self.add_endpoints(&mut loads, now);
        for vm in &self.vms {
            let target = match (&vm.order, vm.entry.state) {
                (Some(VmOrder::Move(pool)), _) => pool,
                (None, VmState::Moving) => &vm.entry.pool,
                _ => continue,
            };
            if let Some(place) = load_place(&loads, target) {
                loads[place].expect(vm);
            }
        }
        loads
    }

    /// Returns the room of the largest VM, by which memory is weighed against processor.
    fn largest_vm(&self) -> Resources {
        let rooms = self.vms.iter().map(|vm| vm.entry.capacity);
        rooms.max_by_key(|room| room.cpu_millis).unwrap_or_default()
    }

    fn add_endpoints(&self, loads: &mut [PoolLoad], now: Now) {
        for (_, endpoint) in self.endpoints.iter() {
            let Some(place) = load_place(loads, &endpoint.pool) else {
                continue;
            };
            if endpoint.has_ended {
                continue;
            }
            let load = &mut loads[place];
            let takes_starts = endpoint.takes_starts(now.steady_ms);
            load.room.used.add(&endpoint.used);
            load.room.used_long_running.add(&endpoint.used_long_running);
            if endpoint.long_running_runs > 0 {
                load.room.pinned += 1;
            }
            if takes_starts {
                load.room.supply += endpoint.capacity.cpu_millis;
                load.room.members += 1;
            }
            for (one, balance) in &mut load.traits {
                if one.is_of(&endpoint.labels, &endpoint.capacity) {
                    balance.used.add(&one.counted(&endpoint.used));
                    if takes_starts {
                        balance.supply += one.counted(&endpoint.capacity).cpu_millis;
                        balance.members += 1;
                    }
                }
            }
        }
    }

    /// Counts waiting tasks as far as their accounts' quotas let them start: VMs for more would come for
    /// nothing.
    fn add_waiting(&self, loads: &mut [PoolLoad], vm: &Resources, now: Now) {
        let mut left = self.quotas.left();
        for step in self.open_steps.iter() {
            let Some(job) = self.jobs.get(step.first.job) else {
                continue;
            };
            let place = load_place(loads, &job.queue.pool);
            if let Some((place, spec)) = place.zip(job.step_spec(&step.first)) {
                let waiting = Waiting {
                    count: left.take(step.account, &step.quota_room, step.waiting),
                    is_late: step.waiting > 0 && step.is_late(now),
                };
                loads[place].add_step(spec, waiting, vm);
            }
        }
    }
}
