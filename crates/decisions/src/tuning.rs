//! What the customer's weights mean for waves and placement.

use lynxwheel_protocol::Weights;

/// Time for which an equal weighing waits for a job rather than move it, in milliseconds.
const BASE_PATIENCE_MS: u64 = 10 * 60 * 1_000;

/// Longest time for which any weighing waits for a job that could be moved, in milliseconds.
const MAX_PATIENCE_MS: u64 = 2 * 60 * 60 * 1_000;

/// First step of a wave when roll-out weighs most, in percent of the VMs that it maintains.
const EAGER_FIRST_STEP_PERCENT: u32 = 10;

/// First step of a wave otherwise, in percent of the VMs that it maintains.
const CAREFUL_FIRST_STEP_PERCENT: u32 = 5;

/// Room for new starts that a pool keeps when roll-out weighs most, in percent.
const EAGER_ROOM_PERCENT: u32 = 15;

/// Room for new starts that a pool keeps otherwise, in percent.
const CAREFUL_ROOM_PERCENT: u32 = 30;

/// The same decisions with other weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tuning {
    /// VMs that a wave claims before the first one is done, in percent of its VMs.
    pub first_step_percent: u32,
    /// A job that ends within this time is waited for; one that runs longer is moved.
    pub max_job_wait_ms: u64,
    /// Whether VMs that planned work takes next are kept free of new starts.
    pub can_cordon: bool,
    /// Room for new starts that a pool keeps while VMs are kept free, in percent of its capacity.
    pub min_free_percent: u32,
}

impl Tuning {
    /// Derives the tuning from the weights in force.
    ///
    /// Waiting for a job costs roll-out time and moving it costs a move, so the patience grows
    /// with the weight of moves and buffer in proportion to that of roll-out.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        let roll_out = u64::from(weights.roll_out.max(1));
        let others = u64::from(weights.buffer) + u64::from(weights.moves);
        let is_eager = weights.roll_out > weights.buffer;
        Self {
            first_step_percent: if is_eager {
                EAGER_FIRST_STEP_PERCENT
            } else {
                CAREFUL_FIRST_STEP_PERCENT
            },
            max_job_wait_ms: (BASE_PATIENCE_MS * others / (2 * roll_out)).min(MAX_PATIENCE_MS),
            can_cordon: true,
            min_free_percent: if is_eager {
                EAGER_ROOM_PERCENT
            } else {
                CAREFUL_ROOM_PERCENT
            },
        }
    }
}
