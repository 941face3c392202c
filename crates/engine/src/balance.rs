//! Room that a pool has and wants, and what only some VMs have.

use {
    crate::job::{Resources, StepSpec},
    compact_str::CompactString,
};

/// Time in which waiting work of short tasks should be worked off, in milliseconds: a quarter of the
/// time that a VM takes to come, so that it does not come for nothing. Tasks that take longer than
/// this all want to run at once.
pub(crate) const BACKLOG_TARGET_MS: u64 = 400;

/// Thousandths in a whole accelerator: the grain in which these are counted.
const ACCELERATOR_MILLIS: u64 = 1_000;

/// Millionths in a thousandth.
const MICROS_PER_MILLI: u64 = 1_000;

/// What only some VMs have.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum VmFeature {
    /// Accelerators.
    Accelerators,
    /// A label that a step requires.
    Label(CompactString),
    /// The rack in which a step's data is; elsewhere its tasks are slower.
    DataRack(CompactString),
}

impl VmFeature {
    pub(crate) fn is_of(&self, labels: &[CompactString], capacity: &Resources) -> bool {
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
    pub(crate) fn counted(&self, resources: &Resources) -> Resources {
        match self {
            Self::Accelerators => Resources {
                cpu_millis: resources.gpus * ACCELERATOR_MILLIS,
                ..Resources::default()
            },
            Self::Label(_) | Self::DataRack(_) => *resources,
        }
    }

    pub(crate) fn of_step(spec: &StepSpec) -> impl Iterator<Item = Self> {
        let label = |text: &CompactString| (!text.is_empty()).then(|| text.clone());
        let accelerators = (spec.resources.gpus > 0).then_some(Self::Accelerators);
        let required = label(&spec.required_label).map(Self::Label);
        let rack = label(&spec.data_rack).map(Self::DataRack);
        accelerators.into_iter().chain(required).chain(rack)
    }
}

/// Room that is here or comes, and work for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balance {
    /// Room of endpoints that take starts, in thousandths of a core.
    pub(crate) supply: u64,
    /// Room of VMs on their way here, in thousandths of a core.
    pub(crate) arriving: u64,
    /// Room in use.
    pub(crate) used: Resources,
    /// Part of it that long-running tasks use.
    pub(crate) used_long_running: Resources,
    /// Room that the work takes that is handed in at the moment.
    pub(crate) incoming: Resources,
    /// Work that waits: room times milliseconds.
    waiting: Resources,
    /// Room that all of it takes at once.
    waiting_peak: Resources,
    /// Work of jobs that are late, as far as it waits; it counts when no pool misses room for others.
    late: Resources,
    /// Room that all of that takes at once.
    late_peak: Resources,
    /// Work that waits of long-running tasks of which only so many of a step may share an endpoint.
    waiting_exclusive: Resources,
    /// Endpoints that take starts.
    pub(crate) members: usize,
    /// Endpoints with long-running tasks.
    pub(crate) pinned: usize,
    /// VMs on their way here.
    pub(crate) arriving_vms: usize,
    /// Endpoints that long-running tasks need, as only so many of a step may share one.
    pub(crate) needed_members: usize,
    /// Processor of a VM, in thousandths of a core.
    vm_cpu_millis: u64,
    /// Processor that a megabyte of a VM comes with, in millionths of a core.
    cpu_micros_per_mb: u64,
}

impl Balance {
    pub(crate) fn new(vm: &Resources) -> Self {
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
    /// Waiting tasks want to run at once and no more than that: room for their work alone would keep
    /// VMs from other pools. What comes next is asked for by the work handed in lately.
    ///
    /// Tasks that may not share an endpoint ask for endpoints first. Counted as work, they asked
    /// for ever more room where there were too few endpoints for them, and every other pool starved.
    pub(crate) fn wanted(&self) -> u64 {
        let mut waiting = self.waiting;
        if self.missing_members() == 0 {
            waiting.add(&self.waiting_exclusive);
        }
        let at_once = |work: u64, limit: u64| (work / BACKLOG_TARGET_MS).min(limit);
        // What is handed in at the moment counts before it waits: a VM comes 1.6 s after it was asked
        // for, more than most callers can spare.
        let long_running = self.used_long_running;
        let finite = self.used.saturating_sub(&long_running);
        let incoming = self.incoming;
        let cpu = long_running.cpu_millis
            + finite.cpu_millis.max(incoming.cpu_millis)
            + at_once(waiting.cpu_millis, self.waiting_peak.cpu_millis);
        let memory_mb = long_running.memory_mb
            + finite.memory_mb.max(incoming.memory_mb)
            + at_once(waiting.memory_mb, self.waiting_peak.memory_mb);
        cpu.max(memory_mb * self.cpu_micros_per_mb / MICROS_PER_MILLI)
    }

    pub(crate) fn missing(&self) -> u64 {
        let members = u64::try_from(self.missing_members()).unwrap_or_default();
        let cpu_millis = self.wanted().saturating_sub(self.supply + self.arriving);
        cpu_millis.max(members * self.vm_cpu_millis.max(1))
    }

    pub(crate) fn has_surplus(&self, cpu_millis: u64) -> bool {
        self.supply >= self.wanted() + cpu_millis
    }

    /// Takes in work of waiting tasks.
    pub(crate) fn add_work(
        &mut self,
        spec: &StepSpec,
        resources: &Resources,
        work_ms: u64,
        waiting: Waiting,
    ) {
        let work = resources.scaled(work_ms * waiting.count);
        let at_once = resources.scaled(waiting.count);
        if needs_members(spec) {
            self.waiting_exclusive.add(&work);
            self.waiting_peak.add(&at_once);
        } else if waiting.is_late {
            self.late.add(&work);
            self.late_peak.add(&at_once);
        } else {
            self.waiting.add(&work);
            self.waiting_peak.add(&at_once);
        }
    }

    /// Counts the work of late jobs from now on.
    pub(crate) fn include_late(&mut self) {
        self.waiting.add(&std::mem::take(&mut self.late));
        self.waiting_peak.add(&std::mem::take(&mut self.late_peak));
    }

    /// Takes in that a step, with tasks at work or not, needs so many endpoints.
    pub(crate) fn need_members(&mut self, spec: &StepSpec) {
        if needs_members(spec) {
            let needed = usize::from(spec.count.div_ceil(spec.max_per_endpoint));
            self.needed_members = self.needed_members.max(needed);
        }
    }
}

/// Tasks of a step that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) count: u64,
    /// Whether their job cannot be on time any more.
    pub(crate) is_late: bool,
}

pub(crate) fn needs_members(spec: &StepSpec) -> bool {
    spec.long_running && spec.max_per_endpoint > 0
}
