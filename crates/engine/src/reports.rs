//! What the platform tells: endpoints in the registry, VMs, tasks on an endpoint, waves ordered.

use {
    crate::job::{Resources, TaskRef},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Entry of the registry for one life of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Id of this life.
    pub id: CompactString,
    /// Address for orders.
    pub address: SocketAddr,
    /// Pool.
    pub pool: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Room.
    pub capacity: Resources,
    /// Labels, the rack among them.
    pub labels: Vec<CompactString>,
    /// Whether the endpoint is leaving.
    pub is_draining: bool,
    /// Least time that is left to a leaving endpoint, in milliseconds, if it is told.
    pub remaining_ms: Option<u64>,
    /// VM on which it runs, if it is told.
    pub vm: Option<CompactString>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// It is done.
    Done,
    /// It failed, through its own fault or the endpoint's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// The endpoint's lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
    /// A word that this version does not know.
    Unknown,
}

/// A run on an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// How much of its work is done, or 100 for a long-running task at work.
    pub percent: u32,
    /// Tail of response times in milliseconds for a serving task, else thousandths of a core in use.
    pub usage: Option<u64>,
}

/// A run that has ended on an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndedTask {
    /// Place in the endpoint's list, rising from 1 in each life.
    pub number: u64,
    /// Task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// What an endpoint says of itself when its lease is renewed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not yet acknowledged, the oldest first.
    pub ended: Vec<EndedTask>,
    /// Whether there may be more ends than were listed.
    pub is_partial: bool,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// In its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Failed.
    Down,
}

/// A VM as the platform lists it.
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
    /// Labels, the rack among them.
    pub labels: Vec<CompactString>,
    /// Room.
    pub capacity: Resources,
    /// Id of the endpoint that runs on it; empty for none.
    pub endpoint: CompactString,
}

/// Maintenance that an operator orders.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveOrder {
    /// Number.
    pub wave: u64,
    /// VMs.
    pub vms: Vec<CompactString>,
    /// Time in which every VM must have had its maintenance, in seconds.
    pub duration_s: f64,
    /// VMs in maintenance at once.
    pub max_count: usize,
}
