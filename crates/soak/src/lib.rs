//! Randomized soak of the real program.
//!
//! Nodes run as processes of their own, against stand-ins of the platform in this process. Faults
//! come from outside: signals, proxies between nodes and what they talk to, a store and endpoints
//! that misbehave, all drawn from a seed and overlapping. What callers and endpoints see is checked
//! while it happens; afterwards everything is healed, and what was accepted has to come to its end.
//!
//! ```
//! use lynxwheel_soak::plan_faults;
//!
//! assert_eq!(plan_faults(7, 5_000, 3, 8), plan_faults(7, 5_000, 3, 8));
//! ```

mod accounts;
mod callers;
mod checker;
mod faults;
mod key_propagation;
mod nodes;
mod proxy;
mod run;
mod scene;
mod seeds;
mod takeover;
mod world;

pub use {
    checker::Checker,
    faults::{Fault, LinkId, PlannedFault, plan_faults},
    key_propagation::count_nodes_with_latest_keys,
    proxy::{LinkFault, Proxy},
    run::{SoakPlan, SoakReport, run_soak},
    seeds::run_seeds,
    takeover::{OwnerLoss, measure_takeover},
};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks what tasks of one process share; a panic elsewhere changes nothing here.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
