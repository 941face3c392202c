//! Estimate of the time and the job moves that draining a VM takes.

use {
    crate::tuning::Tuning,
    lynxwheel_state::{FleetState, JobState, VmState},
};

/// Assumed duration of a checkpoint, in milliseconds.
const CHECKPOINT_MS: u64 = 5_000;

/// Estimate of a VM's drain.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DrainEstimate {
    /// Expected time until the VM is empty, in milliseconds.
    pub wait_ms: u64,
    /// Jobs that have to be checkpointed and moved.
    pub job_moves: u32,
    /// Jobs that have to end by themselves.
    pub awaited_jobs: u32,
}

impl DrainEstimate {
    /// Estimates the drain of a VM on which no new jobs are started.
    #[must_use]
    pub fn new(state: &FleetState, vm: &VmState, tuning: &Tuning, now_ms: u64) -> Self {
        let mut drain = Self::default();
        for name in &vm.attempts {
            if let Some(job) = state.jobs().get(name.as_str()) {
                drain.add_job(job, tuning, now_ms);
            }
        }
        drain
    }

    /// Returns whether the VM can be claimed, since no job on it has to be waited for.
    ///
    /// A cordoned VM drains as fast as a claimed one, but only a claim charges the budget. A VM is
    /// therefore not claimed while a job on it has to end, whatever its expected run time.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.awaited_jobs == 0
    }

    /// Returns the cost by which VMs are ordered, in milliseconds.
    #[must_use]
    pub fn cost_ms(&self, tuning: &Tuning) -> u64 {
        self.wait_ms + u64::from(self.job_moves) * tuning.max_job_wait_ms
    }

    fn add_job(&mut self, job: &JobState, tuning: &Tuning, now_ms: u64) {
        let job_remaining_ms = remaining_ms(job, now_ms);
        let is_stopping = job.attempt.as_ref().is_some_and(|run| run.stopping);
        let is_moved =
            job.spec.checkpoint && (job_remaining_ms > tuning.max_job_wait_ms || is_stopping);
        self.wait_ms = self.wait_ms.max(if is_moved {
            CHECKPOINT_MS
        } else {
            job_remaining_ms
        });
        self.job_moves += u32::from(is_moved);
        self.awaited_jobs += u32::from(!is_moved);
    }
}

/// Estimates the remaining run time of a job, in milliseconds.
///
/// Declared run times are often inaccurate. A job that has exceeded its expected run time is assumed
/// to run for another half of the time that it has run so far.
#[must_use]
pub fn remaining_ms(job: &JobState, now_ms: u64) -> u64 {
    let Some(attempt) = &job.attempt else {
        return 0;
    };
    let ran_ms = now_ms.saturating_sub(attempt.since_ms);
    let expected_ms = job.spec.run_time_ms.max(job.estimate.longest_run_ms);
    if ran_ms < expected_ms {
        expected_ms - ran_ms
    } else {
        ran_ms / 2
    }
}
