//! Messages between nodes: callers' requests on their way to the owner, and asks about ownership.

use {
    crate::members::Member,
    compact_str::CompactString,
    lynxwheel_engine::{JobSpec, JobState, Queue},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path at which a node takes other nodes' requests.
pub const OWNER_PATH: &str = "/owner";

/// Path at which a node gives its configuration to one that has an older one.
pub const CONFIG_PATH: &str = "/config";

/// Asks for a newer configuration than this version.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ConfigRequest {
    /// Version that the sender has.
    pub version: u64,
}

/// A caller's request for the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnerRequest {
    /// Highest epoch that the sender has heard of; an owner of a lower one learns that it is over.
    pub epoch: u64,
    /// Version of the configuration by which the sender has judged the request.
    pub config_version: u64,
    /// What is asked for.
    pub ask: CallerRequest,
    /// Node that passes the request on; nothing where it is the owner itself.
    #[serde(default)]
    pub sender: Option<Member>,
}

/// What a caller asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallerRequest {
    /// Hand in a job.
    Submit {
        /// Id of the job.
        job: String,
        /// Queue as the sender's configuration has it.
        queue: Queue,
        /// What the caller sent.
        spec: Box<JobSpec>,
        /// Client account of the caller; empty for a queue that needs no key.
        account: CompactString,
        /// Node that took the job from its caller and keeps its payload.
        #[serde(default)]
        origin: Option<SocketAddr>,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        job: String,
        /// Client account of the caller; empty for a queue that needs no key.
        account: CompactString,
    },
    /// Tell a job's state.
    State {
        /// Id of the job.
        job: String,
        /// Client account of the caller; empty for a queue that needs no key.
        account: CompactString,
    },
    /// Count the jobs of a queue of which no task has started.
    Pending {
        /// Queue.
        queue: Queue,
    },
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// State of a job.
    State(JobState),
    /// Number of jobs.
    Pending(usize),
    /// No such job.
    Unknown,
    /// Nothing was done, and it does not run.
    Refused,
    /// A task or a gang takes more than its account may ever have running; nothing was done.
    OverQuota,
    /// The job belongs to another client account; nothing was done.
    OtherAccount,
    /// The asked node has a newer configuration than the one by which the request was judged; nothing was
    /// done.
    NewerConfig,
    /// The asked node is not the owner; nothing was done.
    NotOwner,
    /// Whether it was done is not known.
    Unclear,
}

/// Path at which a node is asked about its ownership.
pub const OWNERSHIP_PATH: &str = "/ownership";

/// What another node wants of the owner itself.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct OwnershipRequest {
    /// Highest epoch that the sender has heard of.
    pub epoch: u64,
    /// What is asked for.
    pub ask: OwnershipAction,
}

/// What is asked of the owner itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipAction {
    /// Say whether it is there.
    Alive,
    /// Give ownership up, as the sender is much larger.
    Yield,
}

/// The owner's answer about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipResponse {
    /// It is there.
    Alive,
    /// It is there, and has been unable to say so in the log.
    Unheard,
    /// It gives up.
    Yielded,
    /// The asked node is not the owner.
    NotOwner,
}
