//! Data reported by the platform: registry entries, endpoint reports, VMs and waves.

use {
    crate::job::{Resources, TaskRef},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Registry entry of one endpoint incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Id of the endpoint. Only some platforms give each incarnation an id of its own.
    pub id: CompactString,
    /// Start of this incarnation, in milliseconds since the Unix epoch on its VM's clock; `None` if
    /// each incarnation has an id of its own.
    pub born_ms: Option<u64>,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Pool.
    pub pool: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Total resources.
    pub capacity: Resources,
    /// Labels, including the rack.
    pub labels: Vec<CompactString>,
    /// Whether the endpoint is shutting down.
    pub is_draining: bool,
    /// Minimum time left to a draining endpoint, in milliseconds, if known.
    pub remaining_ms: Option<u64>,
    /// VM on which it runs, if known.
    pub vm: Option<CompactString>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// It completed.
    Done,
    /// It failed, through a fault of the task or of the endpoint.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The endpoint's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Other members of its gang did not start in time.
    Alone,
    /// A kind that this version does not know.
    Unknown,
}

/// A run on an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Progress in percent; 100 for a long-running task that is working.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task, otherwise processor use in thousandths of a
    /// core.
    pub usage: Option<u64>,
}

/// A run that has ended on an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedTask {
    /// Position among the ended runs of the incarnation, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// An endpoint's response to a lease renewal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Reading of its monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Active runs.
    pub running: Vec<RunningTask>,
    /// Ended runs that are not acknowledged yet, the oldest first.
    pub ended: Vec<EndedTask>,
    /// Whether the list of ended runs may be incomplete.
    pub is_partial: bool,
    /// Start of the responding incarnation, in milliseconds since the Unix epoch on its VM's clock;
    /// `None` if each incarnation has an id of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
}

impl EndpointReport {
    /// Returns whether a run is listed as active or ended.
    #[must_use]
    pub fn lists_run(&self, task: &TaskRef, run: u32) -> bool {
        let mut running = self.running.iter();
        let mut ended = self.ended.iter();
        running.any(|known| known.task == *task && known.run == run)
            || ended.any(|known| known.task == *task && known.run == run)
    }
}

/// State of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// Up in its pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Failed.
    Down,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct VmEntry {
    /// Name.
    pub name: CompactString,
    /// Pool.
    pub pool: CompactString,
    /// State.
    pub state: VmState,
    /// Availability zone.
    pub zone: CompactString,
    /// Labels, including the rack.
    pub labels: Vec<CompactString>,
    /// Total resources.
    pub capacity: Resources,
    /// Id of the endpoint on the VM; empty for none.
    pub endpoint: CompactString,
}

/// Maintenance ordered by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveOrder {
    /// Wave number.
    pub wave: u64,
    /// Names of the VMs to maintain.
    pub vms: Vec<CompactString>,
    /// Time in which all VMs must be maintained, in seconds.
    pub duration_s: f64,
    /// Maximum number of VMs in maintenance at once.
    pub max_count: usize,
}
