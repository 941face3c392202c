//! What is really so: machines, tasks and jobs, whatever the fold knows of them.

use crate::inputs::{Inputs, JobInput};

/// Time that a checkpoint takes, in milliseconds.
const CHECKPOINT_MS: u64 = 3_000;

/// Time after which a task fails that has not enough memory or is bad, in milliseconds.
const EARLY_FAILURE_MS: u64 = 20_000;

/// How a task ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskEnd {
    /// Completes.
    Succeeded,
    /// Fails.
    Failed,
    /// Stops with its progress kept.
    Checkpointed,
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Job.
    pub job: usize,
    /// Attempt.
    pub attempt: u32,
    /// When it started, in milliseconds.
    pub started_ms: u64,
    /// When it ends, in milliseconds.
    pub ends_ms: u64,
    /// How it ends.
    pub end: TaskEnd,
    /// Whether its use was reported.
    pub has_usage: bool,
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Whether it is up.
    pub is_up: bool,
    /// Count of its lives.
    pub life: u64,
    /// When it went down last, in milliseconds.
    pub down_ms: u64,
    /// When it is up again, in milliseconds.
    pub back_ms: u64,
    /// Whether its long outage after a reboot is over.
    pub is_repaired: bool,
    /// Tasks.
    pub tasks: Vec<Task>,
}

/// A job.
#[derive(Clone, Debug, Default)]
pub struct JobProgress {
    /// Progress that a checkpoint kept, in milliseconds.
    pub kept_ms: u64,
    /// Attempts started, in order.
    pub started: Vec<u32>,
    /// Time of the first start, in milliseconds.
    pub first_start_ms: Option<u64>,
}

/// Everything that is really so.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// Machines by VM.
    pub machines: Vec<Machine>,
    /// Jobs.
    pub jobs: Vec<JobProgress>,
    /// Attempts that ran twice or beside another one.
    pub doubled_starts: u64,
}

impl GroundTruth {
    /// Builds the machines, all up.
    #[must_use]
    pub fn new(inputs: &Inputs) -> Self {
        let machine = Machine {
            is_up: true,
            life: 1,
            down_ms: 0,
            back_ms: 0,
            is_repaired: false,
            tasks: Vec::new(),
        };
        Self {
            machines: vec![machine; inputs.vms.len()],
            jobs: vec![JobProgress::default(); inputs.jobs.len()],
            doubled_starts: 0,
        }
    }

    /// Takes a machine down with its tasks.
    pub fn go_down(&mut self, vm: usize, now_ms: u64, back_ms: u64) {
        let machine = &mut self.machines[vm];
        machine.back_ms = machine.back_ms.max(back_ms);
        if machine.is_up {
            machine.is_up = false;
            machine.down_ms = now_ms;
            machine.tasks.clear();
        }
    }

    /// Brings machines up whose time has come, and returns them.
    pub fn come_up(&mut self, now_ms: u64) -> Vec<usize> {
        let mut up = Vec::new();
        for (vm, machine) in self.machines.iter_mut().enumerate() {
            if !machine.is_up && machine.back_ms <= now_ms {
                machine.is_up = true;
                machine.life += 1;
                up.push(vm);
            }
        }
        up
    }

    /// Starts an attempt.
    pub fn start(&mut self, inputs: &Inputs, vm: usize, job: usize, attempt: u32, now_ms: u64) {
        let runs = |machine: &Machine| machine.tasks.iter().any(|task| task.job == job);
        let is_doubled =
            self.jobs[job].started.contains(&attempt) || self.machines.iter().any(runs);
        self.doubled_starts += u64::from(is_doubled);
        let input = &inputs.jobs[job];
        let progress = &mut self.jobs[job];
        progress.started.push(attempt);
        progress.first_start_ms.get_or_insert(now_ms);
        let left_ms = input
            .actual_run_ms
            .saturating_sub(progress.kept_ms)
            .max(1_000);
        let fails = input.always_fails
            || inputs.vms[vm].fails_all_tasks
            || !self.has_memory(inputs, vm, input);
        let runs_ms = if fails {
            EARLY_FAILURE_MS.min(left_ms)
        } else {
            left_ms
        };
        self.machines[vm].tasks.push(Task {
            job,
            attempt,
            started_ms: now_ms,
            ends_ms: now_ms + runs_ms,
            end: if fails {
                TaskEnd::Failed
            } else {
                TaskEnd::Succeeded
            },
            has_usage: false,
        });
    }

    fn has_memory(&self, inputs: &Inputs, vm: usize, job: &JobInput) -> bool {
        let tasks = self.machines[vm].tasks.iter();
        let used: u32 = tasks
            .map(|task| inputs.jobs[task.job].actual_usage.memory_mib)
            .sum();
        used + job.actual_usage.memory_mib <= inputs.vms[vm].capacity.memory_mib
    }

    /// Asks a task to stop with its progress kept.
    pub fn checkpoint(&mut self, vm: usize, job: usize, now_ms: u64) {
        for task in &mut self.machines[vm].tasks {
            let ends_ms = now_ms + CHECKPOINT_MS;
            if task.job == job && task.end == TaskEnd::Succeeded && task.ends_ms > ends_ms {
                task.ends_ms = ends_ms;
                task.end = TaskEnd::Checkpointed;
            }
        }
    }

    /// Takes the tasks of a machine that have ended off it.
    pub fn take_ended(&mut self, vm: usize, now_ms: u64) -> Vec<Task> {
        let machine = &mut self.machines[vm];
        let ended: Vec<Task> = machine
            .tasks
            .extract_if(.., |task| task.ends_ms <= now_ms)
            .collect();
        for task in &ended {
            if task.end == TaskEnd::Checkpointed {
                self.jobs[task.job].kept_ms += task.ends_ms - task.started_ms;
            }
        }
        ended
    }
}
