//! Measures take-overs: `cargo run --release -p lynxwheel-soak --example takeover -- --count 30`.

use {
    clap::{Parser, ValueEnum},
    lynxwheel_soak::{OwnerLoss, SoakPlan, measure_takeover, run_seeds},
    std::path::PathBuf,
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
    let Arguments {
        program,
        loss,
        first,
        count,
        jobs,
        nodes,
    } = Arguments::parse();
    let loss = match loss {
        Loss::Kill => OwnerLoss::Kill,
        Loss::Pause => OwnerLoss::Pause,
    };
    let play = |seed| {
        let plan = SoakPlan::new(&program, seed, 0, nodes);
        async move { measure_takeover(&plan, loss).await }
    };
    let mut gaps_ms = Vec::new();
    run_seeds(first..first + count, jobs, play, |run| match run {
        Ok((_, gap)) => gaps_ms.push(gap.as_millis()),
        Err(text) => println!("a run failed: {text}"),
    })
    .await;
    gaps_ms.sort_unstable();
    let at = |percent: usize| gaps_ms.get(gaps_ms.len() * percent / 100);
    println!(
        "{} runs, time without a start in ms: p50 {:?}, p90 {:?}, most {:?}",
        gaps_ms.len(),
        at(50),
        at(90),
        gaps_ms.last()
    );
}
