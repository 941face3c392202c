//! Messages to and from the platform: log service, VM list and workers.

use {
    crate::{
        names::{JobName, RackName, VmName, ZoneName},
        resource::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Appends entries to a stream atomically and in order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendRequest {
    /// Encoded records.
    #[serde(with = "crate::binary::list")]
    pub entries: Vec<Vec<u8>>,
}

/// Position of appended entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendResponse {
    /// Offset of the first entry.
    pub first_offset: u64,
}

/// One entry of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Offset; consecutive, starting at 1.
    pub offset: u64,
    /// Encoded record.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}

/// Entries read from a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadResponse {
    /// Lowest offset that is retained.
    pub earliest_offset: u64,
    /// Offset of the next appended entry.
    pub next_offset: u64,
    /// Entries from the requested offset; empty if it is trimmed or not yet written.
    pub entries: Vec<LogEntry>,
}

/// State of a VM in the VM list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmListState {
    /// Serving.
    Live,
    /// Announced to be terminated.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name.
    pub name: VmName,
    /// Incarnation of the VM under this name.
    pub incarnation: u64,
    /// State.
    pub state: VmListState,
    /// Zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Address of the endpoint as `ip:port`.
    pub address: CompactString,
    /// Capacity.
    pub capacity: Resources,
}

/// The platform's list of VMs, which may be outdated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Creation time of the list, in milliseconds since the epoch.
    pub made_ms: u64,
    /// VMs, sorted by name.
    pub vms: Vec<VmEntry>,
}

/// Action on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmAction {
    /// Finish running work and accept no new work.
    Drain,
    /// Accept work again.
    Undrain,
    /// Restart.
    Reboot,
}

/// Request for an action on a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActionRequest {
    /// Action.
    pub action: VmAction,
    /// Fencing token; a VM rejects tokens below the highest it has seen.
    pub fence: u64,
    /// Time after which the action must not start, in milliseconds since the epoch.
    pub not_after_ms: u64,
    /// Incarnation to restart; a later incarnation has been restarted already.
    pub vm_incarnation: u64,
}

/// Request to start an attempt of a job on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// Job.
    pub job: JobName,
    /// Attempt; a worker starts each attempt at most once.
    pub attempt: u32,
    /// Reserved resources.
    pub reserved: Resources,
    /// Declared run time in milliseconds.
    pub run_time_ms: u64,
    /// Time that the attempt may run without a lease renewal, in milliseconds.
    pub lease_ms: u64,
    /// Incarnation of the VM on which it was placed; other incarnations reject it.
    pub vm_incarnation: u64,
    /// Time after which it must not start, in milliseconds since the epoch; renewals may arrive
    /// later.
    pub not_after_ms: u64,
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// In progress.
    Running,
    /// Completed.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped with its progress saved.
    Checkpointed,
}

/// Report of a worker about one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// Job.
    pub job: JobName,
    /// Attempt.
    pub attempt: u32,
    /// State.
    pub state: TaskState,
    /// Observed resource usage, reported with a delay.
    pub used: Resources,
}
