//! Faults that can be injected into the platform.

use serde::{Deserialize, Serialize};

/// Active faults; the default has none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the log service rejects all requests.
    pub log_down: bool,
    /// Additional latency of each log service request, in milliseconds.
    pub log_slow_ms: u64,
    /// Number of next appends that take effect but return a timeout.
    pub lose_answers: u32,
    /// Number of next appends that return a timeout and take effect later.
    pub late_appends: u32,
    /// Delay of late appends, in milliseconds.
    pub late_ms: u64,
    /// Maximum number of appends per second; 0 means no limit.
    pub appends_per_s: u32,
    /// Whether the VM list is no longer updated.
    pub vm_list_frozen: bool,
    /// Names of the VMs on which every task fails, sorted.
    pub failing_workers: Vec<String>,
    /// Names of the VMs whose reboots never end, sorted.
    pub stuck_reboots: Vec<String>,
}
