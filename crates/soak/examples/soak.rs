//! Runs a range of seeds: `cargo run --release -p lynxwheel-soak --example soak -- --count 50`.

use {
    clap::Parser,
    lynxwheel_soak::{SoakPlan, run_seeds, run_soak},
    std::{path::PathBuf, process::ExitCode},
};

/// Randomized soak test of nodes that run as processes.
#[derive(Debug, Parser)]
#[expect(clippy::struct_excessive_bools, reason = "the options are independent")]
struct Arguments {
    /// Path of the `lynxwheel` program.
    #[arg(long, default_value = "target/release/lynxwheel")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Number of seeds run in parallel.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Number of nodes in each run.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Limits each node to so few endpoint calls that the owner depends on delegates.
    #[arg(long)]
    small_nodes: bool,
    /// Makes the store execute many appends late.
    #[arg(long)]
    late_appends: bool,
    /// Adds tasks that crash their endpoints, and changes the capacity of endpoints.
    #[arg(long)]
    unstable_endpoints: bool,
    /// Makes endpoints refuse part of their calls and execute other orders late, and adds jobs that
    /// take long and are cancelled.
    #[arg(long)]
    refused_orders: bool,
    /// Makes one account submit several times what all endpoints can do, and then all accounts,
    /// while owners are killed. The other faults follow the first of these floods.
    #[arg(long)]
    overload: bool,
    /// Gives configurations so much time that nodes poll the store seldom.
    #[arg(long)]
    long_polls: bool,
    /// Makes endpoints start again under the ids that they had, and more often.
    #[arg(long)]
    kept_ids: bool,
    /// Cuts owners off from the store, together with some endpoints, for longer than leases last. The
    /// other faults follow.
    #[arg(long)]
    partitions: bool,
    /// Duration of the traffic and the faults, in milliseconds.
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
        late_appends,
        unstable_endpoints,
        refused_orders,
        overload,
        long_polls,
        kept_ids,
        partitions,
        length_ms,
    } = Arguments::parse();
    let plan = |seed| {
        SoakPlan::new(&program, seed, length_ms, nodes)
            .with_small_nodes(small_nodes)
            .with_late_appends(late_appends)
            .with_unstable_endpoints(unstable_endpoints)
            .with_refused_orders(refused_orders)
            .with_overload(overload)
            .with_long_polls(long_polls)
            .with_kept_ids(kept_ids)
            .with_partitions(partitions)
    };
    let run = |seed| {
        let plan = plan(seed);
        async move { run_soak(&plan).await }
    };
    let mut has_passed = true;
    run_seeds(first..first + count, jobs, run, |outcome| match outcome {
        Ok((seed, report)) => {
            println!(
                "seed {seed}: {} faults, {} expected jobs, {} started runs, {} violations",
                report.fault_count,
                report.expected_jobs,
                report.started_runs,
                report.violations.len()
            );
            let refusals = report.refusals;
            println!(
                "  refused: {} times with 503, {} times with 429; {} jobs never accepted, {} accepted later",
                refusals.unavailable,
                refusals.too_many_requests,
                refusals.refused_jobs,
                refusals.accepted_later
            );
            for violation in &report.violations {
                println!("  {violation}");
            }
            if !report.violations.is_empty() {
                has_passed = false;
                println!("  logs: {}", plan(seed).directory.display());
            }
        }
        Err(text) => {
            has_passed = false;
            println!("{text}");
        }
    })
    .await;
    if has_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
