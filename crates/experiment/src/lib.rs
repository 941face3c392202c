//! Seeded experiments that compare the decisions of lynxwheel with baselines.
//!
//! A simulation calls the production decision functions and fleet state. Faults and wrong
//! declarations are drawn from a seed and are identical for every policy. The measures are counted
//! from the ground truth, which the fleet state follows with a delay.

mod args;
mod bound;
mod executor;
mod ground_truth;
mod inputs;
mod measures;
mod plot;
mod policies;
mod profile;
mod routing;
mod run;
mod simulation;

pub use args::{ExperimentArgs, ExperimentName, execute, run_seed};
pub use measures::Measures;
pub use profile::ProfileName;
