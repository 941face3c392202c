//! The lynxwheel daemon.

use {
    clap::Parser,
    lynxwheel::cli::{self, Cli},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    cli::execute(&Cli::parse())
}
