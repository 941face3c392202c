//! Faults that the platform can be told to show.

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the log service refuses everything.
    pub log_down: bool,
    /// Time that each call to the log service takes longer, in milliseconds.
    pub log_slow_ms: u64,
    /// Appends that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Appends that are answered with an error and take effect only later.
    pub late_appends: u32,
    /// How much later, in milliseconds.
    pub late_ms: u64,
    /// Appends taken in a second; 0 means no limit.
    pub appends_per_s: u32,
    /// Whether the VM list stays as it was.
    pub vm_list_frozen: bool,
    /// VMs on which every task fails, sorted.
    pub failing_workers: Vec<String>,
    /// VMs whose reboot never ends, sorted.
    pub stuck_reboots: Vec<String>,
}
