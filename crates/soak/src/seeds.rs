//! Runs many seeds in parallel.

use {
    std::{io, ops::Range, sync::Arc},
    tokio::{sync::Semaphore, task::JoinSet},
};

/// Runs seeds, at most `jobs` in parallel, and passes each outcome to `report` as runs end. A run
/// that returns an error or panics is reported as text.
pub async fn run_seeds<T, F>(
    seeds: Range<u64>,
    jobs: usize,
    run: impl Fn(u64) -> F,
    mut report: impl FnMut(Result<(u64, T), String>),
) where
    T: Send + 'static,
    F: Future<Output = io::Result<T>> + Send + 'static,
{
    let semaphore = Arc::new(Semaphore::new(jobs));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let semaphore = Arc::clone(&semaphore);
        let future = run(seed);
        runs.spawn(async move {
            let _permit = semaphore.acquire_owned().await;
            match future.await {
                Ok(outcome) => Ok((seed, outcome)),
                Err(error) => Err(format!("seed {seed}: {error}")),
            }
        });
    }
    while let Some(run) = runs.join_next().await {
        report(run.unwrap_or_else(|error| Err(error.to_string())));
    }
}
