//! The command-line client for operators.

use {
    clap::Parser,
    lynxctl::cli::{self, Cli},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    cli::execute(&Cli::parse())
}
