//! Runs the load generator from the command line.

use {clap::Parser, lynxwheel_load::LoadArgs, std::process::ExitCode};

/// Open-loop load.
#[derive(Debug, Parser)]
struct Cli {
    #[command(flatten)]
    load: LoadArgs,
}

fn main() -> ExitCode {
    lynxwheel_load::execute(&Cli::parse().load)
}
