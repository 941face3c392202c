//! The step loop: the real fold and the truth, joined by late observation.

use {
    crate::{
        ground_truth::{GroundTruth, TaskOutcome},
        inputs::{Inputs, JobInput},
        profile::Profile,
    },
    lynxwheel_protocol::{
        Amount, Budget, JobOutcome, JobSpec, PolicySpec, PoolSpec, Record, RecordBody, Resource,
        Resources, TeamSpec, VmName, VmPhase, VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec,
        WriterId,
    },
    lynxwheel_state::{FleetState, Verdict},
};

/// Node that writes every record.
pub const NODE: &str = "node-1";

/// Time from a change of a VM to the record that reports it, in milliseconds.
const OBSERVE_MS: u64 = 2_000;

/// Time from the start of a task to the report of its use, in milliseconds.
const USAGE_MS: u64 = 60_000;

/// Wall-clock time at the start of a run, in milliseconds since the epoch.
const EPOCH_MS: u64 = 1_000_000_000;

/// Name of the wave.
pub const WAVE: &str = "wave";

/// A report that is due.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    due_ms: u64,
    vm: usize,
}

/// Fold and truth of one run.
#[derive(Clone, Debug)]
pub struct Simulation<'a> {
    /// Inputs.
    pub inputs: &'a Inputs,
    /// Fold.
    pub state: FleetState,
    /// Truth.
    pub ground_truth: GroundTruth,
    /// Time since the start of the run, in milliseconds.
    pub now_ms: u64,
    /// Attempts ended for planned or urgent work.
    pub job_moves: u64,
    /// VMs handed over.
    pub vm_moves: u64,
    /// Jobs that were asked to stop.
    pub stopping: Vec<usize>,
    offset: u64,
    sightings: Vec<Sighting>,
    next_job: usize,
    next_fault: usize,
    cancels: Vec<usize>,
}

impl<'a> Simulation<'a> {
    /// Declares the fleet and reports every VM as live.
    #[must_use]
    pub fn new(profile: &Profile, inputs: &'a Inputs, budget: Budget) -> Self {
        let mut cancels: Vec<usize> = (0..inputs.jobs.len())
            .filter(|job| inputs.jobs[*job].cancel_ms.is_some())
            .collect();
        cancels.sort_by_key(|job| std::cmp::Reverse(inputs.jobs[*job].cancel_ms));
        let mut simulation = Self {
            inputs,
            state: FleetState::new(),
            ground_truth: GroundTruth::new(inputs),
            now_ms: 0,
            job_moves: 0,
            vm_moves: 0,
            stopping: Vec::new(),
            offset: 0,
            sightings: Vec::new(),
            next_job: 0,
            next_fault: 0,
            cancels,
        };
        simulation.submit(RecordBody::Join {
            node: NODE.into(),
            fold_version: 1,
        });
        simulation.declare_fleet(profile, budget);
        for vm in 0..inputs.vms.len() {
            simulation.report(vm);
        }
        simulation
    }

    /// Returns the fold's time, in milliseconds since the epoch.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        EPOCH_MS + self.now_ms
    }

    /// Appends a record and folds it.
    pub fn submit(&mut self, body: RecordBody) -> Verdict {
        self.offset += 1;
        let record = Record {
            id: WriterId {
                incarnation: 1,
                sequence: self.offset,
            },
            time_ms: self.clock_ms(),
            body,
        };
        self.state.apply(self.offset, &record)
    }

    /// Declares a resource.
    pub fn put(&mut self, resource: Resource) {
        let verdict = self.submit(RecordBody::Put {
            resource: Box::new(resource),
            if_revision: None,
        });
        debug_assert_eq!(verdict, Verdict::Accepted);
    }

    /// Starts the wave over all pools.
    pub fn start_wave(&mut self, profile: &Profile) {
        let spec = WaveSpec {
            name: WAVE.into(),
            pools: (0..profile.pools)
                .map(|pool| pool_name(pool).as_str().into())
                .collect(),
            action: WaveAction::Reboot,
            goal: WaveGoal::Run,
            due_before_ms: self.clock_ms(),
            deadline_ms: 0,
        };
        self.put(Resource::Wave(spec));
    }

    /// Lets the truth and what is known of it go on to the present time.
    pub fn advance(&mut self) {
        self.fail_machines();
        for vm in self.ground_truth.restart_due_machines(self.now_ms) {
            self.sight(vm);
        }
        self.end_tasks();
        self.observe();
        self.declare_jobs();
        self.cancel_jobs();
    }

    /// Returns how many VMs of a pool are available by the truth.
    #[must_use]
    pub fn truly_available(&self, pool: &str) -> u32 {
        let vms = self.state.vms().iter();
        let count = vms
            .filter(|vm| vm.pool.as_str() == pool && vm.claim.is_none())
            .filter(|vm| self.ground_truth.machines[index_of(vm.name.as_str())].is_up)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Asks the VMs of a pool right before a planned step and reports what is news.
    pub fn probe_pool(&mut self, vm: &str) {
        let Some(pool) = self.state.vms().get(vm).map(|vm| vm.pool.clone()) else {
            return;
        };
        let news: Vec<usize> = self
            .state
            .vms()
            .iter()
            .filter(|vm| vm.pool == pool && vm.is_available())
            .map(|vm| index_of(vm.name.as_str()))
            .filter(|vm| !self.ground_truth.machines[*vm].is_up)
            .collect();
        for vm in news {
            self.report(vm);
        }
    }

    /// Starts the reboot of a VM.
    pub fn reboot(&mut self, vm: usize) {
        let input = &self.inputs.vms[vm];
        let mut restart_ms = self.now_ms + input.reboot_ms;
        if input.rack == self.inputs.faulty_rack && !self.ground_truth.machines[vm].had_long_reboot
        {
            restart_ms = self.now_ms + self.inputs.faulty_rack_down_ms;
            self.ground_truth.machines[vm].had_long_reboot = true;
        }
        self.ground_truth.take_down(vm, self.now_ms, restart_ms);
        self.sight(vm);
    }

    fn declare_fleet(&mut self, profile: &Profile, budget: Budget) {
        self.put(Resource::Policy(PolicySpec {
            name: "policy".into(),
            weights: profile.weights,
            key_keep_ms: 1,
            key_limit: 1,
        }));
        for team in 0..profile.teams {
            self.put(Resource::Team(TeamSpec {
                name: team_name(team).as_str().into(),
                quota: Resources {
                    cores_milli: profile.capacity.cores_milli * 40,
                    memory_mib: profile.capacity.memory_mib * 40,
                    accelerators: 1_000,
                },
            }));
        }
        for pool in 0..profile.pools {
            let size = self.inputs.vms.iter().filter(|vm| vm.pool == pool).count();
            self.put(Resource::Pool(PoolSpec {
                name: pool_name(pool).as_str().into(),
                size: u32::try_from(size).unwrap_or(u32::MAX),
                budget,
            }));
        }
        for vm in 0..self.inputs.vms.len() {
            let pool = pool_name(self.inputs.vms[vm].pool);
            self.put(Resource::Vm(VmSpec {
                name: vm_name(vm),
                pool: pool.as_str().into(),
            }));
        }
    }

    fn fail_machines(&mut self) {
        while let Some(fault) = self.inputs.faults.get(self.next_fault) {
            if fault.start_ms > self.now_ms {
                return;
            }
            self.next_fault += 1;
            self.ground_truth
                .take_down(fault.vm, self.now_ms, fault.end_ms);
            self.sight(fault.vm);
        }
    }

    fn sight(&mut self, vm: usize) {
        self.sightings.push(Sighting {
            due_ms: self.now_ms + OBSERVE_MS,
            vm,
        });
    }

    fn observe(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Sighting> = self
            .sightings
            .extract_if(.., |sighting| sighting.due_ms <= now_ms)
            .collect();
        for sighting in due {
            self.report(sighting.vm);
        }
    }

    fn report(&mut self, vm: usize) {
        let input = &self.inputs.vms[vm];
        let machine = &self.ground_truth.machines[vm];
        let report = VmReport {
            vm: vm_name(vm),
            incarnation: machine.incarnation,
            phase: if machine.is_up {
                VmPhase::Live
            } else {
                VmPhase::Failed
            },
            evidence_ms: self.clock_ms(),
            zone: format!("zone-{}", input.zone).into(),
            rack: format!("rack-{}", input.rack).into(),
            address: "".into(),
            capacity: input.capacity,
        };
        self.submit(RecordBody::Report {
            reports: vec![report],
        });
    }

    fn declare_jobs(&mut self) {
        let inputs = self.inputs;
        while let Some(job) = inputs.jobs.get(self.next_job) {
            if job.arrival_ms > self.now_ms {
                return;
            }
            let spec = job_spec(self.next_job, job, false);
            self.next_job += 1;
            self.put(Resource::Job(spec));
        }
    }

    fn cancel_jobs(&mut self) {
        while let Some(job) = self.cancels.last().copied() {
            let input = &self.inputs.jobs[job];
            if input.cancel_ms > Some(self.now_ms) {
                return;
            }
            self.cancels.pop();
            let is_final = self
                .state
                .jobs()
                .get(&job_name(job))
                .is_none_or(lynxwheel_state::JobState::is_final);
            if !is_final {
                self.put(Resource::Job(job_spec(job, input, true)));
                self.stopping.push(job);
            }
        }
    }

    /// Reports the ends and the use of tasks, and attempts that are lost with their VM.
    fn end_tasks(&mut self) {
        for vm in 0..self.ground_truth.machines.len() {
            for task in self.ground_truth.remove_ended_tasks(vm, self.now_ms) {
                let outcome = match task.outcome {
                    TaskOutcome::Succeeded => JobOutcome::Succeeded,
                    TaskOutcome::Failed => JobOutcome::Failed,
                    TaskOutcome::Checkpointed => JobOutcome::Checkpointed,
                };
                if task.outcome != TaskOutcome::Succeeded {
                    self.report_usage(task.job, task.attempt);
                }
                self.job_moves += u64::from(task.outcome == TaskOutcome::Checkpointed);
                self.end(task.job, task.attempt, outcome);
            }
            let late = self.now_ms.saturating_sub(USAGE_MS);
            let mut used = Vec::new();
            for task in &mut self.ground_truth.machines[vm].tasks {
                if !task.is_usage_reported && task.start_ms <= late {
                    task.is_usage_reported = true;
                    used.push((task.job, task.attempt));
                }
            }
            for (job, attempt) in used {
                self.report_usage(job, attempt);
            }
            self.end_lost(vm);
        }
    }

    fn end_lost(&mut self, vm: usize) {
        let name = vm_name(vm);
        let Some(known) = self.state.vms().get(name.as_str()) else {
            return;
        };
        if known.attempts.is_empty() {
            return;
        }
        let lost: Vec<(usize, u32)> = known
            .attempts
            .iter()
            .filter_map(|name| self.state.jobs().get(name.as_str()))
            .map(|job| (index_of(job.spec.name.as_str()), job.attempts))
            .filter(|(job, _)| {
                let tasks = &self.ground_truth.machines[vm].tasks;
                tasks.iter().all(|task| task.job != *job)
            })
            .collect();
        for (job, attempt) in lost {
            self.end(job, attempt, JobOutcome::Lost);
        }
    }

    fn end(&mut self, job: usize, attempt: u32, outcome: JobOutcome) {
        self.submit(RecordBody::End {
            job: job_name(job).as_str().into(),
            attempt,
            outcome,
        });
    }

    fn report_usage(&mut self, job: usize, attempt: u32) {
        let used = self.inputs.jobs[job].actual_usage;
        self.submit(RecordBody::Usage {
            job: job_name(job).as_str().into(),
            attempt,
            used,
        });
    }
}

/// Returns the budget of the pools.
#[must_use]
pub fn budget() -> Budget {
    Budget {
        min_available: Amount::Percent(75),
        zones_at_once: 1,
    }
}

fn job_spec(index: usize, job: &JobInput, cancelled: bool) -> JobSpec {
    JobSpec {
        name: job_name(index).as_str().into(),
        pool: pool_name(job.pool).as_str().into(),
        team: team_name(job.team).as_str().into(),
        class: job.class,
        demand: job.declared_demand,
        run_time_ms: job.declared_run_ms,
        checkpoint: job.can_checkpoint,
        max_attempts: 5,
        cancelled,
    }
}

fn pool_name(pool: usize) -> String {
    format!("pool-{pool:05}")
}

fn team_name(team: usize) -> String {
    format!("team-{team:05}")
}

/// Returns the name of a VM.
#[must_use]
pub fn vm_name(vm: usize) -> VmName {
    format!("vm-{vm:05}").into()
}

/// Returns the name of a job.
#[must_use]
pub fn job_name(job: usize) -> String {
    format!("job-{job:06}")
}

/// Returns the index in a name that the functions above made.
#[must_use]
pub fn index_of(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or_default()
}
