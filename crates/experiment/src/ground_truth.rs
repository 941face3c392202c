//! Actual state of machines, tasks and jobs, independent of what the fleet state has recorded.

use crate::inputs::{Inputs, JobInput};

/// Duration of a checkpoint, in milliseconds.
const CHECKPOINT_MS: u64 = 3_000;

/// Run time of a task that fails, in milliseconds.
const FAILURE_DELAY_MS: u64 = 20_000;

/// How a task ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// Completed.
    Succeeded,
    /// Failed.
    Failed,
    /// Stopped with its progress saved.
    Checkpointed,
}

/// A task that runs on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Index of its job.
    pub job: usize,
    /// Number of the attempt.
    pub attempt: u32,
    /// Start time, in milliseconds.
    pub start_ms: u64,
    /// End time, in milliseconds.
    pub end_ms: u64,
    /// How it ends.
    pub outcome: TaskOutcome,
    /// Whether its usage was reported.
    pub is_usage_reported: bool,
}

/// The machine of a VM.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Whether it is up.
    pub is_up: bool,
    /// Incarnation, incremented at each start.
    pub incarnation: u64,
    /// Time of the last shutdown or failure, in milliseconds.
    pub down_since_ms: u64,
    /// Time of the next start, in milliseconds.
    pub restart_ms: u64,
    /// Whether it already had the long reboot of the faulty rack.
    pub had_long_reboot: bool,
    /// Running tasks.
    pub tasks: Vec<Task>,
}

/// Progress of a job.
#[derive(Clone, Debug, Default)]
pub struct JobProgress {
    /// Run time saved by checkpoints, in milliseconds.
    pub checkpointed_ms: u64,
    /// Started attempts, in order.
    pub started_attempts: Vec<u32>,
    /// Time of the first start, in milliseconds.
    pub first_start_ms: Option<u64>,
}

/// Actual state of the fleet and its jobs.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// Machines, indexed by VM.
    pub machines: Vec<Machine>,
    /// Progress, indexed by job.
    pub jobs: Vec<JobProgress>,
    /// Starts of an attempt that had run before, or while another attempt of its job was running.
    pub duplicate_starts: u64,
}

impl GroundTruth {
    /// Creates the machines, all of them up.
    #[must_use]
    pub fn new(inputs: &Inputs) -> Self {
        let machine = Machine {
            is_up: true,
            incarnation: 1,
            down_since_ms: 0,
            restart_ms: 0,
            had_long_reboot: false,
            tasks: Vec::new(),
        };
        Self {
            machines: vec![machine; inputs.vms.len()],
            jobs: vec![JobProgress::default(); inputs.jobs.len()],
            duplicate_starts: 0,
        }
    }

    /// Takes a machine down and drops its tasks.
    pub fn take_down(&mut self, vm: usize, now_ms: u64, restart_ms: u64) {
        let machine = &mut self.machines[vm];
        machine.restart_ms = machine.restart_ms.max(restart_ms);
        if machine.is_up {
            machine.is_up = false;
            machine.down_since_ms = now_ms;
            machine.tasks.clear();
        }
    }

    /// Starts the machines whose downtime is over and returns their indexes.
    pub fn restart_due_machines(&mut self, now_ms: u64) -> Vec<usize> {
        let mut restarted = Vec::new();
        for (vm, machine) in self.machines.iter_mut().enumerate() {
            if !machine.is_up && machine.restart_ms <= now_ms {
                machine.is_up = true;
                machine.incarnation += 1;
                restarted.push(vm);
            }
        }
        restarted
    }

    /// Starts an attempt on a machine and determines how it ends.
    pub fn start_attempt(
        &mut self,
        inputs: &Inputs,
        vm: usize,
        job: usize,
        attempt: u32,
        now_ms: u64,
    ) {
        let runs_job = |machine: &Machine| machine.tasks.iter().any(|task| task.job == job);
        let is_duplicate = self.jobs[job].started_attempts.contains(&attempt)
            || self.machines.iter().any(runs_job);
        self.duplicate_starts += u64::from(is_duplicate);
        let input = &inputs.jobs[job];
        let progress = &mut self.jobs[job];
        progress.started_attempts.push(attempt);
        progress.first_start_ms.get_or_insert(now_ms);
        let remaining_ms = input
            .actual_run_ms
            .saturating_sub(progress.checkpointed_ms)
            .max(1_000);
        let will_fail = input.always_fails
            || inputs.vms[vm].fails_all_tasks
            || !self.has_free_memory(inputs, vm, input);
        let run_ms = if will_fail {
            FAILURE_DELAY_MS.min(remaining_ms)
        } else {
            remaining_ms
        };
        self.machines[vm].tasks.push(Task {
            job,
            attempt,
            start_ms: now_ms,
            end_ms: now_ms + run_ms,
            outcome: if will_fail {
                TaskOutcome::Failed
            } else {
                TaskOutcome::Succeeded
            },
            is_usage_reported: false,
        });
    }

    fn has_free_memory(&self, inputs: &Inputs, vm: usize, job: &JobInput) -> bool {
        let tasks = self.machines[vm].tasks.iter();
        let used: u32 = tasks
            .map(|task| inputs.jobs[task.job].actual_usage.memory_mib)
            .sum();
        used + job.actual_usage.memory_mib <= inputs.vms[vm].capacity.memory_mib
    }

    /// Stops a task after the time of a checkpoint, unless it ends before.
    pub fn checkpoint(&mut self, vm: usize, job: usize, now_ms: u64) {
        for task in &mut self.machines[vm].tasks {
            let end_ms = now_ms + CHECKPOINT_MS;
            if task.job == job && task.outcome == TaskOutcome::Succeeded && task.end_ms > end_ms {
                task.end_ms = end_ms;
                task.outcome = TaskOutcome::Checkpointed;
            }
        }
    }

    /// Removes and returns the tasks of a machine that have ended.
    pub fn remove_ended_tasks(&mut self, vm: usize, now_ms: u64) -> Vec<Task> {
        let machine = &mut self.machines[vm];
        let ended: Vec<Task> = machine
            .tasks
            .extract_if(.., |task| task.end_ms <= now_ms)
            .collect();
        for task in &ended {
            if task.outcome == TaskOutcome::Checkpointed {
                self.jobs[task.job].checkpointed_ms += task.end_ms - task.start_ms;
            }
        }
        ended
    }
}
