//! Runs seeds by hand: `cargo run --release -p lynxwheel-soak --example soak -- --count 50`.

use {
    clap::Parser,
    lynxwheel_soak::{SoakPlan, run_seeds, run_soak},
    std::{path::PathBuf, process::ExitCode},
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
    /// Let each node call so few endpoints that the owner needs the others.
    #[arg(long)]
    small_nodes: bool,
    /// Length of traffic and faults, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    length_ms: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let Arguments {
        program,
        first,
        count,
        jobs,
        nodes,
        small_nodes,
        length_ms,
    } = Arguments::parse();
    let plan = |seed| SoakPlan::new(&program, seed, length_ms, nodes).with_small_nodes(small_nodes);
    let run = |seed| {
        let plan = plan(seed);
        async move { run_soak(&plan).await }
    };
    let mut is_well = true;
    run_seeds(first..first + count, jobs, run, |outcome| match outcome {
        Ok((seed, report)) => {
            println!(
                "seed {seed}: {} faults, {} jobs owed, {} starts, {} broken",
                report.fault_count,
                report.expected_jobs,
                report.started_runs,
                report.violations.len()
            );
            for violation in &report.violations {
                println!("  {violation}");
            }
            if !report.violations.is_empty() {
                is_well = false;
                println!("  logs: {}", plan(seed).folder.display());
            }
        }
        Err(text) => {
            is_well = false;
            println!("{text}");
        }
    })
    .await;
    if is_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
