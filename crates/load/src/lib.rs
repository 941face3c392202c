//! Open-loop load on lynxwheel nodes, with every answer checked.
//!
//! Requests are sent at a fixed rate whether or not earlier ones were answered, and latency counts
//! from the time at which a request was due, so that a stall shows in every request that it
//! delays. The same requests can be sent straight to endpoints in the same run, which shows what
//! lynxwheel adds.
//!
//! ```
//! use clap::{Args, FromArgMatches};
//! use lynxwheel_load::LoadArgs;
//!
//! let command = LoadArgs::augment_args(clap::Command::new("load"));
//! let matches = command.get_matches_from(["load", "--node", "127.0.0.1:8080", "--rate", "100"]);
//! assert_eq!(LoadArgs::from_arg_matches(&matches).unwrap().rate, 100);
//! ```

mod args;
mod duplicates;
mod report;
mod request;
mod run;
mod schedule;
mod tally;
mod usage;

pub use args::LoadArgs;
pub use report::{Latency, LoadReport, TargetReport};
pub use run::{execute, run};
