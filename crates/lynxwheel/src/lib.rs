//! Library of the lynxwheel daemon: settings, logging, listeners and the embedded development
//! platform.
//!
//! ```
//! use lynxwheel::Config;
//!
//! let text = "[node]\nname = node-1\nzone = zone-1\n[listen]\ncallers = 127.0.0.1:8080\n\
//!     operators = 127.0.0.1:8081\npeers = 127.0.0.1:8082\n[platform]\naddress = 127.0.0.1:7000\n";
//! let config = Config::parse("node-1.ini", text).unwrap();
//! assert_eq!(config.node_name, "node-1");
//!
//! let errors = Config::parse("node-1.ini", "[node]\nnmae = node-1\n").unwrap_err();
//! assert!(errors[0].to_string().starts_with("node-1.ini: section node, key nmae: "));
//! ```

pub mod cli;

mod audit;
mod config;
mod daemon;
mod dev;
mod embedded;
mod logging;
mod main_job;
mod non_blocking_log;
mod report;

pub use audit::{PoolAudit, audit};
pub use config::{Config, ConfigError, KNOWN_KEYS, NAMED_SECTIONS};
pub use daemon::{Daemon, DaemonError, run};
pub use dev::{run_dev_fleet, run_dev_job, run_dev_platform};
pub use logging::{start_logging, start_quiet_logging};
pub use report::{DevReport, PoolReport, RequestReport};
