//! What the engine learns and what it asks for.

use {
    crate::{
        advice::Ticket,
        config::FleetConfig,
        config::Queue,
        job::{JobId, JobSpec, TaskRef},
        reports::{EndpointEntry, EndpointReport, VmEntry, WaveOrder},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Number of an endpoint's life within one engine.
pub type EndpointKey = u32;

/// Names a caller's request that waits for its answer.
pub type ReplyToken = u64;

/// Times at which something is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Now {
    /// Steady clock that counts suspension too, in milliseconds.
    pub steady_ms: u64,
    /// Time of day, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Outcome of a call to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallOutcome<T> {
    /// Answered.
    Done(T),
    /// Another life answered: the one meant is over.
    OtherLife,
    /// A newer owner has given orders there.
    Fenced,
    /// Refused, and nothing was done.
    Refused(Refusal),
    /// Nothing was sent: no connection.
    Unsent,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// Why an endpoint refused an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// That run, or a later one, was stopped or has ended there.
    OldRun,
    /// The order's time was over.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket does not hold.
    Ticket,
    /// The endpoint is unhealthy or busy.
    Unhealthy,
    /// It does not know the task, or takes the order for malformed.
    Invalid,
}

/// Outcome of a call for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmOutcome {
    /// Done, now or before.
    Done,
    /// The VM is not up, or is leaving.
    Busy,
    /// Refused for another reason: nothing was done.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// What the engine learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller hands in a job.
    Submit {
        /// Id of the job.
        job: JobId,
        /// Queue as the receiving node's configuration has it.
        queue: Queue,
        /// What the caller sent.
        spec: Box<JobSpec>,
        /// Client account that hands it in; empty for a queue that needs no key.
        account: CompactString,
        /// Node that took the job from its caller and keeps its payload for a while, if it is known.
        origin: Option<SocketAddr>,
        /// Request that waits.
        token: ReplyToken,
    },
    /// A caller cancels a job.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Client account that cancels; empty for a queue that needs no key.
        account: CompactString,
        /// Request that waits.
        token: ReplyToken,
    },
    /// A configuration came into force.
    ConfigChanged(Arc<FleetConfig>),
    /// An endpoint's entry was written, or was found.
    Registered {
        /// Entry.
        entry: Box<EndpointEntry>,
        /// Whether it was written after others that are known, not found among them.
        is_fresh: bool,
    },
    /// An endpoint's entry was removed.
    Deregistered(CompactString),
    /// The platform's list of VMs, whole.
    VmsListed(Vec<VmEntry>),
    /// An operator orders maintenance.
    WaveOrdered(WaveOrder),
    /// Answer to a start.
    Started {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
        /// Outcome, with the endpoint's clock.
        outcome: CallOutcome<u64>,
    },
    /// Answer to a stop.
    Stopped {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
        /// Outcome, with the endpoint's clock.
        outcome: CallOutcome<u64>,
    },
    /// Answer to a renewal of an endpoint's lease.
    Renewed {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Outcome.
        outcome: CallOutcome<EndpointReport>,
    },
    /// Answer to an ask which endpoints may run a step.
    Advised {
        /// First task of the step.
        step: TaskRef,
        /// Tickets and the time for which they hold in milliseconds; nothing when the call failed.
        answer: Option<(Vec<Ticket>, u64)>,
    },
    /// Answer to a change of pace.
    Paced {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
        /// Share of work asked for, in percent.
        percent: u8,
        /// Whether it was carried out.
        is_done: bool,
    },
    /// Answer to a move or to maintenance.
    VmOrderAnswered {
        /// VM.
        vm: CompactString,
        /// Outcome.
        outcome: VmOutcome,
    },
    /// Time has passed.
    Tick,
}

/// Answer to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// No such job.
    Unknown,
    /// Nothing was stored of the job, and nothing will be.
    Refused,
    /// A task or a gang of the job takes more than its account may ever have running; nothing was
    /// stored, and nothing will be.
    OverQuota,
    /// The job belongs to another client account; nothing was done.
    OtherAccount,
}

/// What the engine asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Start a run.
    Start(Box<StartOrder>),
    /// Stop a run.
    Stop {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
    },
    /// Renew an endpoint's lease and ask for its report.
    Renew {
        /// Endpoint.
        endpoint: EndpointKey,
        /// End of the lease on the endpoint's clock, if it is to be renewed.
        deadline_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// Time that the endpoint may wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Ask which endpoints may run a step.
    Advise {
        /// First task of the step.
        step: TaskRef,
        /// Ids of the endpoints.
        endpoints: Vec<CompactString>,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
        /// Share in percent.
        percent: u8,
    },
    /// Move a VM to another pool.
    MoveVm {
        /// VM.
        vm: CompactString,
        /// Pool.
        pool: CompactString,
    },
    /// Begin the maintenance of a VM.
    MaintainVm {
        /// VM.
        vm: CompactString,
        /// Wave.
        wave: u64,
    },
    /// Publish how a wave stands.
    PublishWave {
        /// Wave.
        wave: u64,
        /// Whether every VM has had its maintenance.
        is_completed: bool,
    },
    /// Answer a caller.
    Reply {
        /// Request.
        token: ReplyToken,
        /// Answer.
        answer: CallerAnswer,
    },
    /// Give up ownership: a newer owner gives orders.
    StepDown,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartOrder {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Task.
    pub task: TaskRef,
    /// Run.
    pub run: u32,
    /// Text of the job.
    pub payload: CompactString,
    /// Node that keeps that text for a while, if one is known to.
    pub origin: Option<SocketAddr>,
    /// End of the lease on the endpoint's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint from which to go on; empty for none.
    pub checkpoint: CompactString,
    /// Ticket; empty where none is needed.
    pub ticket: CompactString,
}

/// Where an endpoint's life is reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointAddress {
    /// Id of the life.
    pub id: CompactString,
    /// Address.
    pub address: SocketAddr,
}
