//! Measures take-overs: `cargo run --release -p lynxwheel-soak --example take_over -- --count 30`.

use {
    clap::{Parser, ValueEnum},
    lynxwheel_soak::{OwnerLoss, SoakPlan, measure_take_over},
    std::{path::PathBuf, sync::Arc},
    tokio::{sync::Semaphore, task::JoinSet},
};

/// How the owner is lost.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Loss {
    /// Its process ends at once.
    Kill,
    /// It stands still.
    Pause,
}

/// Time without a start when the owner is lost.
#[derive(Debug, Parser)]
struct Arguments {
    /// The program.
    #[arg(long, default_value = "target/release/lynxwheel")]
    program: PathBuf,
    /// How the owner is lost.
    #[arg(long, value_enum, default_value_t = Loss::Kill)]
    loss: Loss,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 30)]
    count: u64,
    /// Seeds played at once.
    #[arg(long, default_value_t = 6)]
    jobs: usize,
    /// Nodes of each run.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let loss = match arguments.loss {
        Loss::Kill => OwnerLoss::Kill,
        Loss::Pause => OwnerLoss::Pause,
    };
    let permits = Arc::new(Semaphore::new(arguments.jobs));
    let mut runs = JoinSet::new();
    for seed in arguments.first..arguments.first + arguments.count {
        let permits = Arc::clone(&permits);
        let plan = SoakPlan::new(&arguments.program, seed, 0, arguments.nodes);
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await;
            measure_take_over(&plan, loss).await
        });
    }
    let mut gaps_ms = Vec::new();
    while let Some(run) = runs.join_next().await {
        match run {
            Ok(Ok(gap)) => gaps_ms.push(gap.as_millis()),
            Ok(Err(error)) => println!("a run failed: {error}"),
            Err(error) => println!("a run failed: {error}"),
        }
    }
    gaps_ms.sort_unstable();
    let at = |percent: usize| gaps_ms.get((gaps_ms.len() * percent / 100).min(gaps_ms.len() - 1));
    println!(
        "{} runs, time without a start in ms: p50 {:?}, p90 {:?}, most {:?}",
        gaps_ms.len(),
        at(50),
        at(90),
        gaps_ms.last()
    );
}
