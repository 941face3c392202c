//! Demand of pools: their work, their capacity and their shortages.

use {
    crate::{
        balance::{BACKLOG_TARGET_MS, Balance, VmFeature, Waiting, needs_members},
        capacity_plan::PoolCapacity,
        engine::Engine,
        event::Now,
        job::{Resources, StepSpec},
        log_event::PoolPlan,
        reports::VmState,
        vms::{Vm, VmOrder},
    },
    compact_str::CompactString,
};

/// VMs that a pool keeps so that its next job starts without delay.
const MIN_VMS: usize = 2;

/// Work and capacity of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolLoad {
    pub(crate) name: CompactString,
    pub(crate) is_standby: bool,
    total: Balance,
    /// Balances of features that only some VMs have and waiting work asks for.
    features: Vec<(VmFeature, Balance)>,
    /// Endpoints that take no more work.
    pub(crate) vacating: usize,
    /// Capacity of those of them whose VMs can move, in thousandths of a core.
    vacating_cpu_millis: u64,
    /// Capacity of the VMs of a standby pool, which have no endpoints, in thousandths of a core.
    standby_cpu_millis: u64,
    /// VMs ordered into the pool in this planning round.
    moved_in: usize,
    /// VMs ordered out of the pool in this planning round.
    moved_out: usize,
}

impl PoolLoad {
    /// Returns whether VMs were ordered into or out of the pool.
    pub(crate) fn has_orders(&self) -> bool {
        self.moved_in + self.moved_out > 0
    }

    /// Returns the state of the pool for the log.
    pub(crate) fn plan(&self) -> PoolPlan {
        PoolPlan {
            pool: self.name.clone(),
            members: self.total.members,
            pinned: self.total.pinned,
            arriving: self.total.arriving_vms,
            vacating: self.vacating,
            supply_cpu_millis: self.total.supply,
            used_cpu_millis: self.total.used.cpu_millis,
            used_memory_mb: self.total.used.memory_mb,
            wanted_cpu_millis: self.total.wanted(),
            moved_in: self.moved_in,
            moved_out: self.moved_out,
        }
    }

    /// Returns the entry of the pool in the capacity plan, without a target.
    pub(crate) fn capacity(&self) -> PoolCapacity {
        PoolCapacity {
            pool: self.name.clone(),
            is_standby: self.is_standby,
            supply_cpu_millis: self.total.supply + self.standby_cpu_millis,
            arriving_cpu_millis: self.total.arriving,
            vacating_cpu_millis: self.vacating_cpu_millis,
            long_running_cpu_millis: self.total.used_long_running.cpu_millis,
            needed_cpu_millis: self.total.needed_next(),
            target_cpu_millis: 0,
        }
    }

    /// Returns the required feature with the largest shortage, and the size of that shortage.
    ///
    /// Features count separately, as spare capacity on VMs without a feature does not help work
    /// that requires it.
    fn missing_feature(&self) -> Option<(&VmFeature, u64)> {
        let missing = self
            .features
            .iter()
            .filter(|(kind, _)| kind.is_required())
            .map(|(kind, balance)| (kind, balance.missing()))
            .filter(|(_, missing)| *missing > 0);
        missing.max_by_key(|(_, missing)| *missing)
    }

    /// Returns how many of the VMs whose endpoints accept starts the pool can spare; negative if it
    /// has too few.
    pub(crate) fn releasable_vms(&self) -> i64 {
        let signed = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        signed(self.total.members) - signed(self.min_members())
    }

    /// Returns whether the pool can spare its vacating VMs, which are not among its members.
    pub(crate) fn can_spare_vacating(&self) -> bool {
        self.releasable_vms() >= 0
    }

    fn min_members(&self) -> usize {
        MIN_VMS.max(self.total.needed_members)
    }

    /// Returns whether work of the pool requires a feature of a VM.
    pub(crate) fn requires_feature_of(
        &self,
        labels: &[CompactString],
        capacity: &Resources,
    ) -> bool {
        self.features
            .iter()
            .any(|(kind, _)| kind.is_required() && kind.is_of(labels, capacity))
    }

    /// Returns whether the pool can spare a VM.
    pub(crate) fn can_spare(&self, vm: &Vm) -> bool {
        let entry = &vm.entry;
        let min_members = self.min_members();
        let mut features = self
            .features
            .iter()
            .filter(|(kind, _)| kind.is_required() && kind.is_of(&entry.labels, &entry.capacity));
        self.total.members > min_members
            && self.total.has_surplus(entry.capacity.cpu_millis)
            && features.all(|(kind, balance)| {
                let cpu_millis = kind.counted(&entry.capacity).cpu_millis;
                balance.members > balance.needed_members && balance.has_surplus(cpu_millis)
            })
    }

    /// Returns whether waiting work requires or prefers certain features.
    pub(crate) fn requires_features(&self) -> bool {
        !self.features.is_empty()
    }

    /// Returns how much of the waiting work asks for features of a VM.
    pub(crate) fn suitability(&self, vm: &Vm) -> u64 {
        self.features
            .iter()
            .filter(|(kind, _)| kind.is_of(&vm.entry.labels, &vm.entry.capacity))
            .map(|(_, balance)| balance.missing())
            .sum()
    }

    /// Counts a VM that is moving into the pool.
    pub(crate) fn add_arriving_vm(&mut self, vm: &Vm) {
        let entry = &vm.entry;
        self.total.arriving += entry.capacity.cpu_millis.max(1);
        self.total.arriving_vms += 1;
        for (kind, balance) in &mut self.features {
            if kind.is_of(&entry.labels, &entry.capacity) {
                balance.arriving += kind.counted(&entry.capacity).cpu_millis.max(1);
                balance.arriving_vms += 1;
            }
        }
    }

    /// Counts a VM ordered into the pool.
    pub(crate) fn add_ordered_vm(&mut self, vm: &Vm) {
        self.moved_in += 1;
        self.add_arriving_vm(vm);
    }

    /// Counts a VM ordered out of the pool. A vacating one is not part of the supply any more.
    pub(crate) fn remove_vm(&mut self, vm: &Vm, is_vacating: bool) {
        self.moved_out += 1;
        if is_vacating {
            return;
        }
        let cpu = vm.entry.capacity.cpu_millis;
        self.total.supply = self.total.supply.saturating_sub(cpu);
        self.total.members = self.total.members.saturating_sub(1);
    }

    /// Includes the work of late jobs from now on.
    pub(crate) fn include_late(&mut self) {
        self.total.include_late();
        for (_, balance) in &mut self.features {
            balance.include_late();
        }
    }

    fn add_step(&mut self, spec: &StepSpec, waiting: Waiting, vm: &Resources) {
        self.total.need_members(spec);
        let work_ms = spec.estimated_ms.max(BACKLOG_TARGET_MS / 2);
        let charged = spec.reserved_resources();
        // Work that requires a feature does not count as general demand. Otherwise a pool without
        // suitable VMs would take in all the others.
        if !VmFeature::of_step(spec).any(|kind| kind.is_required()) {
            self.total.add_work(spec, &charged, work_ms, waiting);
        }
        if waiting.count == 0 && !needs_members(spec) {
            return;
        }
        for kind in VmFeature::of_step(spec) {
            let counted = kind.counted(&charged);
            let index = self.features.iter().position(|(known, _)| *known == kind);
            let index = index.unwrap_or_else(|| {
                self.features.push((kind, Balance::new(vm)));
                self.features.len() - 1
            });
            let balance = &mut self.features[index].1;
            balance.need_members(spec);
            balance.add_work(spec, &counted, work_ms, waiting);
        }
    }
}

/// Returns the index of a pool among the loads, which are sorted by name.
pub(crate) fn load_index(loads: &[PoolLoad], pool: &str) -> Option<usize> {
    loads
        .binary_search_by(|load| load.name.as_str().cmp(pool))
        .ok()
}

/// A shortage of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Shortage {
    /// Index of the pool among the loads.
    pub(crate) pool_index: usize,
    /// Feature that the VM must have; `None` for any VM.
    pub(crate) required: Option<VmFeature>,
}

impl Shortage {
    /// Returns whether a VM reduces the shortage.
    pub(crate) fn is_met_by(&self, vm: &Vm) -> bool {
        self.required
            .as_ref()
            .is_none_or(|kind| kind.is_of(&vm.entry.labels, &vm.entry.capacity))
    }
}

/// Returns the largest shortage, if there is one. Features in `unmet`, which no available VM has,
/// are not considered.
pub(crate) fn largest_shortage(
    loads: &[PoolLoad],
    unmet: &[(usize, VmFeature)],
) -> Option<Shortage> {
    let missing = |index: usize| {
        let load = &loads[index];
        let special = load
            .missing_feature()
            .filter(|(kind, _)| !unmet.contains(&(index, (*kind).clone())));
        match special {
            Some((kind, cpu)) if cpu >= load.total.missing() => (cpu, Some(kind.clone())),
            _ => (load.total.missing(), None),
        }
    };
    (0..loads.len())
        .filter(|&index| !loads[index].is_standby)
        .map(|index| (index, missing(index)))
        .filter(|(_, (missing, _))| *missing > 0)
        .max_by_key(|(_, (missing, _))| *missing)
        .map(|(pool_index, (_, required))| Shortage {
            pool_index,
            required,
        })
}

impl Engine {
    /// Returns the load of every pool, sorted by name.
    pub(crate) fn pool_loads(&self, now: Now) -> Vec<PoolLoad> {
        let vm = self.largest_vm();
        let mut loads: Vec<PoolLoad> = self
            .config
            .pools
            .iter()
            .map(|pool| PoolLoad {
                name: pool.name.clone(),
                is_standby: pool.is_standby,
                total: Balance::new(&vm),
                ..PoolLoad::default()
            })
            .collect();
        for load in &mut loads {
            load.total.incoming = self
                .arrivals
                .load(&load.name, now, |account| self.quotas.quota(account));
        }
        self.add_waiting(&mut loads, &vm, now);
        self.add_endpoints(&mut loads, now);
        for vm in &self.vms {
            if vm.accepts_orders(now)
                && let Some(index) = load_index(&loads, &vm.entry.pool)
                && loads[index].is_standby
            {
                loads[index].standby_cpu_millis += vm.entry.capacity.cpu_millis;
            }
            let target = match (&vm.order, vm.entry.state) {
                (Some(VmOrder::Move(pool)), _) => pool,
                (None, VmState::Moving) => &vm.entry.pool,
                _ => continue,
            };
            if let Some(index) = load_index(&loads, target) {
                loads[index].add_arriving_vm(vm);
            }
        }
        loads
    }

    /// Returns the capacity of the largest VM, which converts memory demand to processor demand.
    fn largest_vm(&self) -> Resources {
        let capacities = self.vms.iter().map(|vm| vm.entry.capacity);
        capacities
            .max_by_key(|capacity| capacity.cpu_millis)
            .unwrap_or_default()
    }

    fn add_endpoints(&self, loads: &mut [PoolLoad], now: Now) {
        for (_, endpoint) in self.endpoints.iter() {
            let Some(index) = load_index(loads, &endpoint.pool) else {
                continue;
            };
            if endpoint.has_ended {
                continue;
            }
            let load = &mut loads[index];
            load.vacating += usize::from(endpoint.is_vacating);
            if endpoint.is_vacated_only() {
                load.vacating_cpu_millis += endpoint.capacity.cpu_millis;
            }
            let accepts_starts = endpoint.accepts_starts(now.steady_ms);
            // Runs on a vacating endpoint end where they are. As its capacity is not part of the
            // supply, they would count as a shortage of the pool that hands it over.
            let used = if endpoint.is_vacating {
                &endpoint.used_long_running
            } else {
                &endpoint.used
            };
            load.total.used.add(used);
            load.total
                .used_long_running
                .add(&endpoint.used_long_running);
            if endpoint.long_running_runs > 0 {
                load.total.pinned += 1;
            }
            if accepts_starts {
                load.total.supply += endpoint.capacity.cpu_millis;
                load.total.members += 1;
            }
            for (kind, balance) in &mut load.features {
                if kind.is_of(&endpoint.labels, &endpoint.capacity) {
                    balance.used.add(&kind.counted(used));
                    if accepts_starts {
                        balance.supply += kind.counted(&endpoint.capacity).cpu_millis;
                        balance.members += 1;
                    }
                }
            }
        }
    }

    /// Counts waiting tasks as far as the quotas of their accounts allow them to start. VMs for
    /// more would stay idle.
    fn add_waiting(&self, loads: &mut [PoolLoad], vm: &Resources, now: Now) {
        let mut remaining = self.quotas.remaining();
        for step in self.open_steps.iter() {
            let Some(job) = self.jobs.get(step.first_task.job) else {
                continue;
            };
            let index = load_index(loads, &job.queue.pool);
            if let Some((index, spec)) = index.zip(job.step_spec(&step.first_task)) {
                let waiting = Waiting {
                    count: remaining.take(step.account, &step.requested, step.waiting),
                    is_late: step.waiting > 0 && step.is_late(now),
                };
                loads[index].add_step(spec, waiting, vm);
            }
        }
    }
}
