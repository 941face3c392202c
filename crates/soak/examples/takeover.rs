//! Measures takeovers: `cargo run --release -p lynxwheel-soak --example takeover -- --count 30`.

use {
    clap::{Parser, ValueEnum},
    lynxwheel_soak::{OwnerFailure, SoakPlan, measure_takeover, run_seeds},
    std::path::PathBuf,
};

/// How the owner fails.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Failure {
    /// The process is killed.
    Kill,
    /// The process is paused.
    Pause,
}

/// Measures the time without a task start when the owner fails.
#[derive(Debug, Parser)]
struct Arguments {
    /// Path of the `lynxwheel` program.
    #[arg(long, default_value = "target/release/lynxwheel")]
    program: PathBuf,
    /// How the owner fails.
    #[arg(long, value_enum, default_value_t = Failure::Kill)]
    loss: Failure,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 30)]
    count: u64,
    /// Number of seeds run in parallel.
    #[arg(long, default_value_t = 6)]
    jobs: usize,
    /// Number of nodes in each run.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
}

#[tokio::main]
async fn main() {
    let Arguments {
        program,
        loss,
        first,
        count,
        jobs,
        nodes,
    } = Arguments::parse();
    let loss = match loss {
        Failure::Kill => OwnerFailure::Kill,
        Failure::Pause => OwnerFailure::Pause,
    };
    let measure = |seed| {
        let plan = SoakPlan::new(&program, seed, 0, nodes);
        async move { measure_takeover(&plan, loss).await }
    };
    let mut gaps_ms = Vec::new();
    run_seeds(first..first + count, jobs, measure, |run| match run {
        Ok((_, gap)) => gaps_ms.push(gap.as_millis()),
        Err(text) => println!("a run failed: {text}"),
    })
    .await;
    gaps_ms.sort_unstable();
    let percentile = |percent: usize| gaps_ms.get(gaps_ms.len() * percent / 100);
    println!(
        "{} runs, time without a start in ms: p50 {:?}, p90 {:?}, max {:?}",
        gaps_ms.len(),
        percentile(50),
        percentile(90),
        gaps_ms.last()
    );
}
