//! Crowds of clients that leave their requests unfinished, against nodes that run as processes.

#[path = "../common/mod.rs"]
mod common;

mod crowd;
mod footprint;
mod run;
mod serve;

use {
    std::{
        future::Future,
        sync::{Mutex, PoisonError},
    },
    tokio::runtime::Runtime,
};

/// Runs a test while no other one of this program runs.
fn run_alone(test: impl Future<Output = ()>) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    Runtime::new().expect("a runtime").block_on(test);
}
