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
mod cut_off;
mod faults;
mod ledger;
mod nodes;
mod proxy;
mod run;
mod scene;
mod seeds;
mod take_over;
mod world;

pub use {
    cut_off::nodes_with_newest_keys,
    faults::{Fault, LinkId, PlannedFault, plan_faults},
    ledger::Ledger,
    proxy::{LinkFault, Proxy},
    run::{SoakPlan, Verdict, run_soak},
    seeds::play_seeds,
    take_over::{OwnerLoss, measure_take_over},
};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks what tasks of one process share; a panic elsewhere changes nothing here.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
