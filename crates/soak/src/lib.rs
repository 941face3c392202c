//! Randomized soak test of the `lynxwheel` program.
//!
//! Nodes run as separate processes against stand-ins of the platform in this process. A seed
//! determines overlapping faults: signals to nodes, proxies that disturb connections, and a store
//! and endpoints that misbehave. Invariants are checked on what callers and endpoints observe
//! during the run. Afterwards all faults are removed, and every accepted job has to end.
//!
//! ```
//! use lynxwheel_soak::plan_faults;
//!
//! assert_eq!(plan_faults(7, 5_000, 3, 8), plan_faults(7, 5_000, 3, 8));
//! ```

mod accounts;
mod callers;
mod checker;
mod cluster;
mod faults;
mod flood;
mod harness;
mod key_propagation;
mod nodes;
mod proxy;
mod run;
mod seeds;
mod takeover;

pub use {
    checker::{Checker, RefusalCounts},
    faults::{
        Fault, LinkId, PlannedFault, plan_capacity_changes, plan_faults, plan_owner_kills,
        plan_partitions, plan_restarts,
    },
    key_propagation::count_nodes_with_latest_keys,
    nodes::NodeProcess,
    proxy::{LinkFault, Proxy},
    run::{SoakPlan, SoakReport, run_soak},
    seeds::run_seeds,
    takeover::{OwnerFailure, measure_takeover},
};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a task panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
