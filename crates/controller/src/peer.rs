//! Messages between nodes: forwarded requests of callers, and requests about ownership.

use {
    crate::members::Member,
    compact_str::CompactString,
    lynxwheel_engine::{JobSpec, JobState, Queue},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path for requests forwarded to the owner.
pub const OWNER_PATH: &str = "/owner";

/// Path that returns a node's configuration.
pub const CONFIG_PATH: &str = "/config";

/// Requests a configuration newer than `version`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ConfigRequest {
    /// Configuration version of the sender.
    pub version: u64,
}

/// Request of a caller, forwarded to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnerRequest {
    /// Highest epoch known to the sender; an owner with a lower one steps down.
    pub epoch: u64,
    /// Version of the configuration with which the sender authorized the request.
    pub config_version: u64,
    /// Forwarded request.
    #[serde(rename = "ask")]
    pub caller_request: CallerRequest,
    /// Node that forwards the request; `None` when it is the owner itself.
    #[serde(default)]
    pub sender: Option<Member>,
}

/// Request of a caller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallerRequest {
    /// Submits a job.
    Submit {
        /// Job id.
        job: String,
        /// Queue as configured at the sender.
        queue: Queue,
        /// Submitted job.
        spec: Box<JobSpec>,
        /// Client account of the caller; empty for a public queue.
        account: CompactString,
        /// Node that received the job and keeps its payload.
        #[serde(default)]
        origin: Option<SocketAddr>,
    },
    /// Cancels a job.
    Cancel {
        /// Job id.
        job: String,
        /// Client account of the caller; empty for a public queue.
        account: CompactString,
    },
    /// Queries a job's state.
    State {
        /// Job id.
        job: String,
        /// Client account of the caller; empty for a public queue.
        account: CompactString,
    },
    /// Counts the jobs of a queue that have not started any task.
    Pending {
        /// Queue to count.
        queue: Queue,
    },
}

impl CallerRequest {
    /// Returns the memory of the submitted job, in bytes; 0 for other requests.
    #[must_use]
    pub fn job_bytes(&self) -> usize {
        match self {
            Self::Submit { spec, .. } => spec.memory_bytes(),
            Self::Cancel { .. } | Self::State { .. } | Self::Pending { .. } => 0,
        }
    }
}

/// Response of the owner to a caller's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The job is cancelled or had already ended.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// Number of pending jobs.
    Pending(usize),
    /// The job does not exist.
    Unknown,
    /// The request was rejected and has no effect.
    Refused,
    /// A task or gang exceeds the quota of its account; the request has no effect.
    OverQuota,
    /// The job would be completed too late to have any value; the request has no effect.
    Overloaded {
        /// Time after which the job may be submitted again, in milliseconds.
        retry_after_ms: u64,
        /// Whether its account is above its fair share or has too much waiting work for its quota.
        is_over_share: bool,
    },
    /// The job belongs to another client account; the request has no effect.
    OtherAccount,
    /// The node has a newer configuration than the one that authorized the request; the request has
    /// no effect.
    NewerConfig,
    /// The node is not the owner; the request has no effect.
    NotOwner,
    /// The outcome is unknown.
    Unclear,
}

/// Path for requests about ownership.
pub const OWNERSHIP_PATH: &str = "/ownership";

/// Request to the owner about its ownership.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OwnershipRequest {
    /// Highest epoch known to the sender.
    pub epoch: u64,
    /// Requested action.
    #[serde(rename = "ask")]
    pub action: OwnershipAction,
}

/// Action requested of the owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipAction {
    /// Confirm that the owner is alive.
    #[serde(rename = "Alive")]
    Probe,
    /// Release the ownership, as the sender is much larger.
    Yield,
}

/// Response to a request about ownership.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipResponse {
    /// The owner is alive.
    Alive,
    /// The owner is alive but could not renew its ownership in the log.
    Unheard,
    /// The owner releases the ownership.
    Yielded,
    /// The node is not the owner.
    NotOwner,
}
