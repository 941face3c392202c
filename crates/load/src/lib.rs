//! Open-loop load generator for lynxwheel nodes that checks every response.
//!
//! Requests are sent at a fixed rate, whether or not earlier ones have completed. Latency is
//! measured from the scheduled time of a request, so a stall counts in every request that it
//! delays. The same requests can be sent directly to endpoints in the same run, to measure the
//! overhead of lynxwheel.
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
