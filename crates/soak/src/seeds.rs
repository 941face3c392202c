//! Playing many seeds.

use {
    std::{io, ops::Range, sync::Arc},
    tokio::{sync::Semaphore, task::JoinSet},
};

/// Plays seeds, `jobs` of them at once, and tells each outcome as it comes; a run that did not come
/// to its end is told as text.
pub async fn run_seeds<T, F>(
    seeds: Range<u64>,
    jobs: usize,
    play: impl Fn(u64) -> F,
    mut tell: impl FnMut(Result<(u64, T), String>),
) where
    T: Send + 'static,
    F: Future<Output = io::Result<T>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(jobs));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let permits = Arc::clone(&permits);
        let run = play(seed);
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await;
            match run.await {
                Ok(outcome) => Ok((seed, outcome)),
                Err(error) => Err(format!("seed {seed}: {error}")),
            }
        });
    }
    while let Some(run) = runs.join_next().await {
        tell(run.unwrap_or_else(|error| Err(error.to_string())));
    }
}
