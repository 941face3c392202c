//! What it takes to empty a VM.

use {
    crate::tuning::Tuning,
    lynxwheel_state::{FleetState, JobState, VmState},
};

/// Time that a checkpoint takes, in milliseconds.
const CHECKPOINT_MS: u64 = 5_000;

/// Expected drain of a VM.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DrainEstimate {
    /// Time until it is empty, in milliseconds.
    pub wait_ms: u64,
    /// Jobs that have to be moved for it.
    pub job_moves: u32,
    /// Jobs that have to end by themselves before.
    pub awaited_jobs: u32,
}

impl DrainEstimate {
    /// Estimates the drain of a VM on which nothing new is started.
    #[must_use]
    pub fn new(state: &FleetState, vm: &VmState, tuning: &Tuning, now_ms: u64) -> Self {
        let mut drain = Self::default();
        for name in &vm.attempts {
            if let Some(job) = state.jobs().get(name.as_str()) {
                drain.add(job, tuning, now_ms);
            }
        }
        drain
    }

    /// Tells whether claiming the VM now charges the budget for little more than the action.
    ///
    /// A VM loses its jobs at the same pace whether it is claimed or only kept free of new
    /// starts, but only the claim charges the budget. So a VM is not claimed while a job on it is
    /// waited for, however soon that job is expected to end: the expectation is often wrong.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.awaited_jobs == 0
    }

    /// Returns the cost by which VMs are put in order, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, tuning: &Tuning) -> u64 {
        self.wait_ms + u64::from(self.job_moves) * tuning.max_job_wait_ms
    }

    fn add(&mut self, job: &JobState, tuning: &Tuning, now_ms: u64) {
        let left_ms = remaining_ms(job, now_ms);
        let is_stopped = job.attempt.as_ref().is_some_and(|run| run.stopping);
        let is_moved = job.spec.checkpoint && (left_ms > tuning.max_job_wait_ms || is_stopped);
        self.wait_ms = self
            .wait_ms
            .max(if is_moved { CHECKPOINT_MS } else { left_ms });
        self.job_moves += u32::from(is_moved);
        self.awaited_jobs += u32::from(!is_moved);
    }
}

/// Estimates how long a running job goes on, in milliseconds.
///
/// Declared run times are often far off. A job that has outlived its expected time is taken to
/// go on for half as long again as it has run, which grows until it ends.
#[must_use]
pub fn remaining_ms(job: &JobState, now_ms: u64) -> u64 {
    let Some(attempt) = &job.attempt else {
        return 0;
    };
    let ran_ms = now_ms.saturating_sub(attempt.since_ms);
    let expected_ms = job.spec.run_time_ms.max(job.estimate.ran_ms);
    if ran_ms < expected_ms {
        expected_ms - ran_ms
    } else {
        ran_ms / 2
    }
}
