//! Seeded experiments that judge the decisions of lynxwheel against baselines.
//!
//! A small step loop calls the real decision functions and the real fold. Faults, wrong
//! declarations and late observation come from the inputs of a seed, which are the same for every
//! policy; the results are counted from the truth, not from what a policy believes.

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
