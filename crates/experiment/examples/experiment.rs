//! Runs one experiment from the command line.

use {
    clap::Parser,
    lynxwheel_experiment::{ExperimentArgs, execute},
    std::process::ExitCode,
};

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: ExperimentArgs,
}

fn main() -> ExitCode {
    execute(&Cli::parse().args)
}
