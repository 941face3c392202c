//! Demand: what work each pool has room for, and what it misses.

use {
    crate::{
        engine::Engine,
        event::Now,
        job::{Room, StepSpec},
        note::PoolPlan,
        pools::{Vm, VmOrder},
        reports::VmState,
        schedule::slack_ms,
    },
    compact_str::CompactString,
};

/// Time in which waiting work of short tasks should be worked off, in milliseconds: a quarter of the
/// time that a VM takes to come, so that it does not come for nothing. Tasks that take longer than
/// this all want to run at once.
const WORK_OFF_MS: u64 = 400;

/// VMs that a pool keeps at least while others have none to spare, so that its next job starts at
/// once.
const KEPT_VMS: usize = 2;

/// Thousandths in a whole accelerator: the grain in which these are counted.
const ACCELERATOR_MILLIS: u64 = 1_000;

/// Millionths in a thousandth.
const MICROS_PER_MILLI: u64 = 1_000;

/// What only some VMs have.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Trait {
    /// Accelerators.
    Accelerators,
    /// A label that a step requires.
    Label(CompactString),
    /// The rack in which a step's data is; elsewhere its tasks are slower.
    DataRack(CompactString),
}

impl Trait {
    fn is_of(&self, labels: &[CompactString], capacity: &Room) -> bool {
        match self {
            Self::Accelerators => capacity.gpus > 0,
            Self::Label(label) | Self::DataRack(label) => labels.contains(label),
        }
    }

    /// Tells whether a step cannot run without it.
    pub(crate) fn is_required(&self) -> bool {
        !matches!(self, Self::DataRack(_))
    }

    /// Returns the room in which it is counted: accelerators by themselves, the rest as usual.
    fn counted(&self, room: &Room) -> Room {
        match self {
            Self::Accelerators => Room {
                cpu_millis: room.gpus * ACCELERATOR_MILLIS,
                ..Room::default()
            },
            Self::Label(_) | Self::DataRack(_) => *room,
        }
    }

    pub(crate) fn of_step(spec: &StepSpec) -> impl Iterator<Item = Self> {
        let label = |text: &CompactString| (!text.is_empty()).then(|| text.clone());
        let accelerators = (spec.room.gpus > 0).then_some(Self::Accelerators);
        let required = label(&spec.required_label).map(Self::Label);
        let rack = label(&spec.data_rack).map(Self::DataRack);
        accelerators.into_iter().chain(required).chain(rack)
    }
}

/// Room that is here or comes, and work for it.
#[derive(Clone, Debug, Default)]
struct Balance {
    /// Room of endpoints that take starts, in thousandths of a core.
    supply: u64,
    /// Room of VMs on their way here, in thousandths of a core.
    arriving: u64,
    /// Room in use.
    used: Room,
    /// Part of it that long-running tasks use.
    used_lasting: Room,
    /// Room that the work takes that is handed in at the moment.
    handed_in: Room,
    /// Work that waits: room times milliseconds.
    waiting: Room,
    /// Room that all of it takes at once.
    waiting_room: Room,
    /// Work of jobs that are late, as far as it waits; it counts when no pool misses room for others.
    late: Room,
    /// Room that all of that takes at once.
    late_room: Room,
    /// Work that waits of long-running tasks of which only so many of a step may share an endpoint.
    waiting_apart: Room,
    /// Endpoints that take starts.
    members: usize,
    /// Endpoints with long-running tasks.
    pinned: usize,
    /// VMs on their way here.
    arriving_vms: usize,
    /// Endpoints that long-running tasks need, as only so many of a step may share one.
    needed_members: usize,
    /// Processor of a VM, in thousandths of a core.
    vm_cpu_millis: u64,
    /// Processor that a megabyte of a VM comes with, in millionths of a core.
    cpu_micros_per_mb: u64,
}

impl Balance {
    fn new(vm: &Room) -> Self {
        let cpu_micros = vm.cpu_millis * MICROS_PER_MILLI;
        Self {
            vm_cpu_millis: vm.cpu_millis,
            cpu_micros_per_mb: cpu_micros.checked_div(vm.memory_mb).unwrap_or_default(),
            ..Self::default()
        }
    }

    /// Returns how many endpoints there are too few for tasks that may not share one.
    fn missing_members(&self) -> usize {
        self.needed_members
            .saturating_sub(self.members + self.arriving_vms)
    }

    /// Returns the room that should be here, in thousandths of a core: by processor or by memory,
    /// whichever asks for more VMs.
    ///
    /// Waiting tasks want to run at once and no more than that. Asking for room by their work alone
    /// brought four times the VMs for tasks of 1.7 s, kept from other pools or moved for nothing; it
    /// hid that nothing was asked for what would come next, which the work handed in lately tells.
    ///
    /// Tasks that may not share an endpoint ask for endpoints first. Counted as work, they asked
    /// for ever more room where there were too few endpoints for them, and every other pool starved.
    fn wanted(&self) -> u64 {
        let mut waiting = self.waiting;
        if self.missing_members() == 0 {
            waiting.add(&self.waiting_apart);
        }
        let at_once = |work: u64, room: u64| (work / WORK_OFF_MS).min(room);
        // What is handed in at the moment counts before it waits: a VM comes 1.6 s after it was asked
        // for, more than most callers can spare.
        let lasting = self.used_lasting;
        let ending = self.used.less(&lasting);
        let coming = self.handed_in;
        let cpu = lasting.cpu_millis
            + ending.cpu_millis.max(coming.cpu_millis)
            + at_once(waiting.cpu_millis, self.waiting_room.cpu_millis);
        let memory_mb = lasting.memory_mb
            + ending.memory_mb.max(coming.memory_mb)
            + at_once(waiting.memory_mb, self.waiting_room.memory_mb);
        cpu.max(memory_mb * self.cpu_micros_per_mb / MICROS_PER_MILLI)
    }

    fn missing(&self) -> u64 {
        let members = u64::try_from(self.missing_members()).unwrap_or_default();
        let room = self.wanted().saturating_sub(self.supply + self.arriving);
        room.max(members * self.vm_cpu_millis.max(1))
    }

    fn has_left(&self, room: u64) -> bool {
        self.supply >= self.wanted() + room
    }

    /// Takes in work of waiting tasks.
    fn add_work(&mut self, spec: &StepSpec, room: &Room, work_ms: u64, waiting: Waiting) {
        let work = room.times(work_ms * waiting.count);
        let at_once = room.times(waiting.count);
        if needs_members(spec) {
            self.waiting_apart.add(&work);
            self.waiting_room.add(&at_once);
        } else if waiting.is_late {
            self.late.add(&work);
            self.late_room.add(&at_once);
        } else {
            self.waiting.add(&work);
            self.waiting_room.add(&at_once);
        }
    }

    /// Counts the work of late jobs from now on.
    fn count_late(&mut self) {
        self.waiting.add(&std::mem::take(&mut self.late));
        self.waiting_room.add(&std::mem::take(&mut self.late_room));
    }

    /// Takes in that a step, with tasks at work or not, needs so many endpoints.
    fn need_members(&mut self, spec: &StepSpec) {
        if needs_members(spec) {
            let needed = usize::from(spec.count.div_ceil(spec.max_per_endpoint));
            self.needed_members = self.needed_members.max(needed);
        }
    }
}

/// Tasks of a step that wait.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    count: u64,
    /// Whether their job cannot be on time any more.
    is_late: bool,
}

fn needs_members(spec: &StepSpec) -> bool {
    spec.long_running && spec.max_per_endpoint > 0
}

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

    fn add_step(&mut self, spec: &StepSpec, waiting: Waiting, vm: &Room) {
        self.room.need_members(spec);
        let work_ms = spec.estimated_ms.max(WORK_OFF_MS / 2);
        let charged = spec.charged();
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
            load.room.handed_in = self.arrivals.load(&load.name, now);
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
    fn largest_vm(&self) -> Room {
        let rooms = self.vms.iter().map(|vm| vm.entry.capacity);
        rooms.max_by_key(|room| room.cpu_millis).unwrap_or_default()
    }

    fn add_endpoints(&self, loads: &mut [PoolLoad], now: Now) {
        for (_, endpoint) in self.endpoints.iter() {
            let Some(place) = load_place(loads, &endpoint.pool) else {
                continue;
            };
            if endpoint.is_over {
                continue;
            }
            let load = &mut loads[place];
            let takes_starts = endpoint.takes_starts(now.steady_ms);
            load.room.used.add(&endpoint.used);
            for placed in endpoint.placed.iter().filter(|placed| placed.lasts) {
                load.room.used_lasting.add(&placed.room);
            }
            if endpoint.placed.iter().any(|placed| placed.lasts) {
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

    fn add_waiting(&self, loads: &mut [PoolLoad], vm: &Room, now: Now) {
        for job in self.jobs.iter().filter(|job| !job.state.is_final()) {
            let Some(place) = load_place(loads, &job.queue.pool) else {
                continue;
            };
            let load = &mut loads[place];
            for (at, occurrence) in job.occurrences.iter().enumerate() {
                let is_late = slack_ms(job, at, now) < 0;
                for (step, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
                    if !occurrence.is_open(spec) {
                        continue;
                    }
                    let count = step.tasks.iter().filter(|task| task.is_waiting()).count();
                    let count = u64::try_from(count).unwrap_or_default();
                    load.add_step(spec, Waiting { count, is_late }, vm);
                }
            }
        }
    }
}
