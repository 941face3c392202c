//! Runs seeds by hand: `cargo run --release -p lynxwheel-soak --example soak -- --count 50`.

use {
    clap::Parser,
    lynxwheel_soak::{SoakPlan, run_soak},
    std::{path::PathBuf, process::ExitCode, sync::Arc},
    tokio::{sync::Semaphore, task::JoinSet},
};

/// Randomized soak of real nodes.
#[derive(Debug, Parser)]
struct Arguments {
    /// The program.
    #[arg(long, default_value = "target/release/lynxwheel")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Seeds played at once.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Nodes of each run.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Length of traffic and faults, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    length_ms: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let permits = Arc::new(Semaphore::new(arguments.jobs));
    let mut runs = JoinSet::new();
    for seed in arguments.first..arguments.first + arguments.count {
        let permits = Arc::clone(&permits);
        let plan = SoakPlan::new(
            &arguments.program,
            seed,
            arguments.length_ms,
            arguments.nodes,
        );
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let folder = plan.folder.clone();
            (seed, folder, run_soak(&plan).await)
        });
    }
    let mut is_well = true;
    while let Some(run) = runs.join_next().await {
        match run {
            Ok((seed, folder, Ok(verdict))) => {
                println!(
                    "seed {seed}: {} faults, {} jobs owed, {} starts, {} broken",
                    verdict.faults,
                    verdict.owed,
                    verdict.starts,
                    verdict.broken.len()
                );
                for broken in &verdict.broken {
                    println!("  {broken}");
                }
                if !verdict.broken.is_empty() {
                    is_well = false;
                    println!("  logs: {}", folder.display());
                }
            }
            Ok((seed, _, Err(error))) => {
                is_well = false;
                println!("seed {seed}: {error}");
            }
            Err(error) => {
                is_well = false;
                println!("{error}");
            }
        }
    }
    if is_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
