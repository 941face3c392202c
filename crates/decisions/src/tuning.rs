//! Parameters of waves and placement, derived from the policy's weights.

use lynxwheel_protocol::Weights;

/// Wait for a job before it is moved when all weights are equal, in milliseconds.
const BASE_JOB_WAIT_MS: u64 = 10 * 60 * 1_000;

/// Upper bound of the wait for a job that could be moved, in milliseconds.
const MAX_JOB_WAIT_MS: u64 = 2 * 60 * 60 * 1_000;

/// First step of a wave when roll-out outweighs the buffer, in percent of the wave's VMs.
const FAST_FIRST_STEP_PERCENT: u32 = 10;

/// First step of a wave otherwise, in percent of the wave's VMs.
const DEFAULT_FIRST_STEP_PERCENT: u32 = 5;

/// Free capacity of a pool when roll-out outweighs the buffer, in percent.
const FAST_MIN_FREE_PERCENT: u32 = 15;

/// Free capacity of a pool otherwise, in percent.
const DEFAULT_MIN_FREE_PERCENT: u32 = 30;

/// Parameters of the planning functions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// VMs that a wave may claim before the first one is done, in percent of its VMs.
    pub first_step_percent: u32,
    /// Longest remaining run time of a job that is waited for; longer jobs are moved.
    pub max_job_wait_ms: u64,
    /// Whether VMs that planned work claims next are cordoned.
    pub can_cordon: bool,
    /// Free capacity that a pool keeps for new starts when VMs are cordoned, in percent.
    pub min_free_percent: u32,
}

impl Tuning {
    /// Derives the parameters from the active weights.
    ///
    /// Waiting for a job delays the roll-out and moving it interrupts the job, so the wait grows
    /// with the weights of moves and buffer relative to that of roll-out.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        let roll_out_weight = u64::from(weights.roll_out.max(1));
        let other_weights = u64::from(weights.buffer) + u64::from(weights.moves);
        let prefers_roll_out = weights.roll_out > weights.buffer;
        Self {
            first_step_percent: if prefers_roll_out {
                FAST_FIRST_STEP_PERCENT
            } else {
                DEFAULT_FIRST_STEP_PERCENT
            },
            max_job_wait_ms: (BASE_JOB_WAIT_MS * other_weights / (2 * roll_out_weight))
                .min(MAX_JOB_WAIT_MS),
            can_cordon: true,
            min_free_percent: if prefers_roll_out {
                FAST_MIN_FREE_PERCENT
            } else {
                DEFAULT_MIN_FREE_PERCENT
            },
        }
    }
}
