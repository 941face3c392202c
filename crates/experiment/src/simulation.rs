//! Simulation step: the fleet state follows the ground truth by delayed reports.

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

/// Name of the node that writes every record.
pub const NODE_NAME: &str = "node-1";

/// Delay from a change of a VM to the record that reports it, in milliseconds.
const REPORT_DELAY_MS: u64 = 2_000;

/// Delay from the start of a task to the report of its usage, in milliseconds.
const USAGE_REPORT_DELAY_MS: u64 = 60_000;

/// Wall-clock time at the start of a run, in milliseconds since the Unix epoch.
const START_CLOCK_MS: u64 = 1_000_000_000;

/// Name of the wave.
pub const WAVE_NAME: &str = "wave";

/// A scheduled report of a VM.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    due_ms: u64,
    vm: usize,
}

/// Fleet state and ground truth of one run.
#[derive(Clone, Debug)]
pub struct Simulation<'a> {
    /// Inputs of the run.
    pub inputs: &'a Inputs,
    /// Fleet state, as folded from the submitted records.
    pub state: FleetState,
    /// Actual state of the machines, tasks and jobs.
    pub ground_truth: GroundTruth,
    /// Time since the start of the run, in milliseconds.
    pub now_ms: u64,
    /// Attempts that ended with a checkpoint.
    pub job_moves: u64,
    /// VMs handed over to another pool.
    pub vm_moves: u64,
    /// Jobs whose running attempt is to be stopped.
    pub stopping_jobs: Vec<usize>,
    offset: u64,
    pending_reports: Vec<PendingReport>,
    next_job: usize,
    next_fault: usize,
    pending_cancellations: Vec<usize>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with the fleet declared and every VM reported as live.
    #[must_use]
    pub fn new(profile: &Profile, inputs: &'a Inputs, budget: Budget) -> Self {
        let mut pending_cancellations: Vec<usize> = (0..inputs.jobs.len())
            .filter(|job| inputs.jobs[*job].cancel_ms.is_some())
            .collect();
        pending_cancellations.sort_by_key(|job| std::cmp::Reverse(inputs.jobs[*job].cancel_ms));
        let mut simulation = Self {
            inputs,
            state: FleetState::new(),
            ground_truth: GroundTruth::new(inputs),
            now_ms: 0,
            job_moves: 0,
            vm_moves: 0,
            stopping_jobs: Vec::new(),
            offset: 0,
            pending_reports: Vec::new(),
            next_job: 0,
            next_fault: 0,
            pending_cancellations,
        };
        simulation.submit(RecordBody::Join {
            node: NODE_NAME.into(),
            fold_version: 1,
        });
        simulation.declare_fleet(profile, budget);
        for vm in 0..inputs.vms.len() {
            simulation.report_vm(vm);
        }
        simulation
    }

    /// Returns the simulated wall-clock time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        START_CLOCK_MS + self.now_ms
    }

    /// Writes a record and applies it to the fleet state.
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
            name: WAVE_NAME.into(),
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

    /// Advances the ground truth to the current time and submits the records that are due.
    pub fn advance(&mut self) {
        self.start_faults();
        for vm in self.ground_truth.restart_due_machines(self.now_ms) {
            self.schedule_report(vm);
        }
        self.report_tasks();
        self.submit_due_reports();
        self.declare_jobs();
        self.cancel_jobs();
    }

    /// Returns how many unclaimed VMs of a pool are actually up.
    #[must_use]
    pub fn actual_available_vms(&self, pool: &str) -> u32 {
        let vms = self.state.vms().iter();
        let count = vms
            .filter(|vm| vm.pool.as_str() == pool && vm.claim.is_none())
            .filter(|vm| self.ground_truth.machines[parse_index(vm.name.as_str())].is_up)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Reports the VMs in the pool of `vm` that are down but still recorded as available.
    pub fn probe_pool(&mut self, vm: &str) {
        let Some(pool) = self.state.vms().get(vm).map(|vm| vm.pool.clone()) else {
            return;
        };
        let undetected: Vec<usize> = self
            .state
            .vms()
            .iter()
            .filter(|vm| vm.pool == pool && vm.is_available())
            .map(|vm| parse_index(vm.name.as_str()))
            .filter(|vm| !self.ground_truth.machines[*vm].is_up)
            .collect();
        for vm in undetected {
            self.report_vm(vm);
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
        self.schedule_report(vm);
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

    fn start_faults(&mut self) {
        while let Some(fault) = self.inputs.faults.get(self.next_fault) {
            if fault.start_ms > self.now_ms {
                return;
            }
            self.next_fault += 1;
            self.ground_truth
                .take_down(fault.vm, self.now_ms, fault.end_ms);
            self.schedule_report(fault.vm);
        }
    }

    fn schedule_report(&mut self, vm: usize) {
        self.pending_reports.push(PendingReport {
            due_ms: self.now_ms + REPORT_DELAY_MS,
            vm,
        });
    }

    fn submit_due_reports(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<PendingReport> = self
            .pending_reports
            .extract_if(.., |report| report.due_ms <= now_ms)
            .collect();
        for report in due {
            self.report_vm(report.vm);
        }
    }

    fn report_vm(&mut self, vm: usize) {
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
        while let Some(job) = self.pending_cancellations.last().copied() {
            let input = &self.inputs.jobs[job];
            if input.cancel_ms > Some(self.now_ms) {
                return;
            }
            self.pending_cancellations.pop();
            let is_final = self
                .state
                .jobs()
                .get(&job_name(job))
                .is_none_or(lynxwheel_state::JobState::is_final);
            if !is_final {
                self.put(Resource::Job(job_spec(job, input, true)));
                self.stopping_jobs.push(job);
            }
        }
    }

    /// Reports ended tasks, usage that is due, and attempts that were lost with their VM.
    fn report_tasks(&mut self) {
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
                self.end_attempt(task.job, task.attempt, outcome);
            }
            let latest_start_ms = self.now_ms.saturating_sub(USAGE_REPORT_DELAY_MS);
            let mut unreported = Vec::new();
            for task in &mut self.ground_truth.machines[vm].tasks {
                if !task.is_usage_reported && task.start_ms <= latest_start_ms {
                    task.is_usage_reported = true;
                    unreported.push((task.job, task.attempt));
                }
            }
            for (job, attempt) in unreported {
                self.report_usage(job, attempt);
            }
            self.report_lost_attempts(vm);
        }
    }

    fn report_lost_attempts(&mut self, vm: usize) {
        let name = vm_name(vm);
        let Some(vm_state) = self.state.vms().get(name.as_str()) else {
            return;
        };
        if vm_state.attempts.is_empty() {
            return;
        }
        let lost: Vec<(usize, u32)> = vm_state
            .attempts
            .iter()
            .filter_map(|name| self.state.jobs().get(name.as_str()))
            .map(|job| (parse_index(job.spec.name.as_str()), job.attempts))
            .filter(|(job, _)| {
                let tasks = &self.ground_truth.machines[vm].tasks;
                tasks.iter().all(|task| task.job != *job)
            })
            .collect();
        for (job, attempt) in lost {
            self.end_attempt(job, attempt, JobOutcome::Lost);
        }
    }

    fn end_attempt(&mut self, job: usize, attempt: u32, outcome: JobOutcome) {
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

/// Returns the budget of every pool.
#[must_use]
pub fn pool_budget() -> Budget {
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

/// Returns the index at the end of a generated name.
#[must_use]
pub fn parse_index(name: &str) -> usize {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap_or_default()
}
