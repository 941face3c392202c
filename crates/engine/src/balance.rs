//! Balance of a pool's capacity and demand, in total and by VM feature.

use {
    crate::job::{Resources, StepSpec},
    compact_str::CompactString,
};

/// Time in which a backlog of short tasks should be completed, in milliseconds: a quarter of the
/// time of a VM move, so that ordered VMs do not arrive too late to help. Longer tasks should all
/// run at once.
pub(crate) const BACKLOG_TARGET_MS: u64 = 400;

/// Weight of one accelerator, which is counted like thousandths of a core.
const ACCELERATOR_MILLIS: u64 = 1_000;

const MICROS_PER_MILLI: u64 = 1_000;

/// Feature that only some VMs have.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum VmFeature {
    /// Accelerators.
    Accelerators,
    /// Label that a step requires.
    Label(CompactString),
    /// Rack that holds the data of a step, whose tasks are slower elsewhere.
    DataRack(CompactString),
}

impl VmFeature {
    pub(crate) fn is_of(&self, labels: &[CompactString], capacity: &Resources) -> bool {
        match self {
            Self::Accelerators => capacity.gpus > 0,
            Self::Label(label) | Self::DataRack(label) => labels.contains(label),
        }
    }

    /// Returns whether a step cannot run without the feature.
    pub(crate) fn is_required(&self) -> bool {
        !matches!(self, Self::DataRack(_))
    }

    /// Returns the resources to count for the feature: only accelerators for
    /// [`Self::Accelerators`].
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

/// Capacity of a pool and the work for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balance {
    /// Capacity of endpoints that accept starts, in thousandths of a core.
    pub(crate) supply: u64,
    /// Capacity of VMs that are moving in, in thousandths of a core.
    pub(crate) arriving: u64,
    /// Resources in use.
    pub(crate) used: Resources,
    /// Part of it that long-running tasks use.
    pub(crate) used_long_running: Resources,
    /// Resources needed if work keeps arriving at the current rate.
    pub(crate) incoming: Resources,
    /// Waiting work: resources multiplied by milliseconds.
    waiting: Resources,
    /// Resources to run all waiting work at once.
    waiting_peak: Resources,
    /// Waiting work of late jobs, which counts only when other work has no shortage.
    late: Resources,
    /// Resources to run all late work at once.
    late_peak: Resources,
    /// Waiting work of long-running tasks with a limit per endpoint.
    waiting_exclusive: Resources,
    /// Endpoints that accept starts.
    pub(crate) members: usize,
    /// Endpoints with long-running tasks.
    pub(crate) pinned: usize,
    /// VMs that are moving in.
    pub(crate) arriving_vms: usize,
    /// Endpoints required by long-running tasks with a limit per endpoint.
    pub(crate) needed_members: usize,
    /// Processor of the largest VM, in thousandths of a core.
    vm_cpu_millis: u64,
    /// Processor per megabyte of memory of the largest VM, in millionths of a core.
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

    /// Returns how many more endpoints are required by tasks with a limit per endpoint.
    fn missing_members(&self) -> usize {
        self.needed_members
            .saturating_sub(self.members + self.arriving_vms)
    }

    /// Returns the required capacity in thousandths of a core, by processor or by memory, whichever
    /// requires more VMs.
    ///
    /// Waiting tasks count at most as if all ran at once, so that a large job does not take VMs
    /// from other pools. Recent submissions predict the demand after that.
    ///
    /// Tasks with a limit per endpoint count as work only if there are enough endpoints. Otherwise
    /// more capacity would not help them, and the demand would grow without bound.
    pub(crate) fn wanted(&self) -> u64 {
        // Predicted work counts before it waits, because a VM move takes longer than most callers
        // can wait.
        let finite = self.used.saturating_sub(&self.used_long_running);
        self.wanted_with(&Resources {
            cpu_millis: finite.cpu_millis.max(self.incoming.cpu_millis),
            memory_mb: finite.memory_mb.max(self.incoming.memory_mb),
            gpus: 0,
        })
    }

    /// Returns the capacity that the pool needs once its present finite runs have ended, in
    /// thousandths of a core.
    ///
    /// Runs in progress end where they are, so that they keep no VM from stopping to take others.
    pub(crate) fn needed_next(&self) -> u64 {
        self.wanted_with(&self.incoming)
    }

    /// Returns the capacity for long-running tasks, waiting work and other finite work, in
    /// thousandths of a core.
    fn wanted_with(&self, finite: &Resources) -> u64 {
        let mut waiting = self.waiting;
        if self.missing_members() == 0 {
            waiting.add(&self.waiting_exclusive);
        }
        let at_once = |work: u64, limit: u64| (work / BACKLOG_TARGET_MS).min(limit);
        let long_running = self.used_long_running;
        let cpu = long_running.cpu_millis
            + finite.cpu_millis
            + at_once(waiting.cpu_millis, self.waiting_peak.cpu_millis);
        let memory_mb = long_running.memory_mb
            + finite.memory_mb
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

    /// Adds work of waiting tasks.
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

    /// Includes the work of late jobs from now on.
    pub(crate) fn include_late(&mut self) {
        self.waiting.add(&std::mem::take(&mut self.late));
        self.waiting_peak.add(&std::mem::take(&mut self.late_peak));
    }

    /// Counts the endpoints that a step requires, whether its tasks are running or not.
    pub(crate) fn need_members(&mut self, spec: &StepSpec) {
        if needs_members(spec) {
            let needed = usize::from(spec.count.div_ceil(spec.max_per_endpoint));
            self.needed_members = self.needed_members.max(needed);
        }
    }
}

/// Waiting tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) count: u64,
    /// Whether their job can no longer complete on time.
    pub(crate) is_late: bool,
}

pub(crate) fn needs_members(spec: &StepSpec) -> bool {
    spec.long_running && spec.max_per_endpoint > 0
}
