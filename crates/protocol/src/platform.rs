//! Messages exchanged with the platform: log service, VM list and workers.

use {
    crate::{
        names::{JobName, RackName, VmName, ZoneName},
        resource::Resources,
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Appends entries to a stream, all or none, in order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendRequest {
    /// Encoded records.
    #[serde(with = "crate::binary::list")]
    pub entries: Vec<Vec<u8>>,
}

/// Where appended entries stand.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendResponse {
    /// Offset of the first entry.
    pub first_offset: u64,
}

/// One entry of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEntry {
    /// Offset, from 1 without gaps.
    pub offset: u64,
    /// Encoded record.
    #[serde(with = "crate::binary")]
    pub bytes: Vec<u8>,
}

/// Entries read from a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadResponse {
    /// Lowest offset that is still kept.
    pub earliest_offset: u64,
    /// Offset that the next append gets.
    pub next_offset: u64,
    /// Entries from the offset asked for; empty when it is trimmed or not yet written.
    pub entries: Vec<LogEntry>,
}

/// What the VM list says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmListState {
    /// Serving.
    Live,
    /// Announced that it goes.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name.
    pub name: VmName,
    /// Count of the machine's lives under this name.
    pub incarnation: u64,
    /// State.
    pub state: VmListState,
    /// Zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Address of its endpoint as `ip:port`.
    pub address: CompactString,
    /// What it offers.
    pub capacity: Resources,
}

/// Platform's list of VMs, which lags behind reality.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// When the list was made, in milliseconds since the epoch.
    pub made_ms: u64,
    /// VMs by name.
    pub vms: Vec<VmEntry>,
}

/// What can be done with a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmAction {
    /// Finish what runs and take nothing new.
    Drain,
    /// Take work again.
    Undrain,
    /// Restart.
    Reboot,
}

/// Asks a VM for an action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActionRequest {
    /// Action.
    pub action: VmAction,
    /// Fencing number; a VM rejects a number below the highest it has seen.
    pub fence: u64,
    /// Time after which the action must not start, in milliseconds since the epoch.
    pub not_after_ms: u64,
    /// Life of the VM that a restart is meant to end; in a later one it is done already.
    pub vm_incarnation: u64,
}

/// Starts an attempt of a job on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// Job.
    pub job: JobName,
    /// Attempt; a worker starts each at most once.
    pub attempt: u32,
    /// Demand reserved.
    pub reserved: Resources,
    /// Declared run time in milliseconds.
    pub run_time_ms: u64,
    /// How long the worker may run it without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Life of the VM that it was placed on; a worker in another life refuses it.
    pub vm_incarnation: u64,
    /// Time after which it must not start, in milliseconds since the epoch; renewals may come
    /// later.
    pub not_after_ms: u64,
}

/// State of an attempt on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Runs.
    Running,
    /// Completed.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped with its progress kept.
    Checkpointed,
}

/// Worker's report of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// Job.
    pub job: JobName,
    /// Attempt.
    pub attempt: u32,
    /// State.
    pub state: TaskState,
    /// Observed use; comes late.
    pub used: Resources,
}
