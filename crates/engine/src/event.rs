//! Inputs of the engine and the effects that it requests.

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

/// Identifies one incarnation of an endpoint within an engine.
pub type EndpointKey = u32;

/// Identifies a caller's request that awaits its reply.
pub type ReplyToken = u64;

/// Current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Now {
    /// Monotonic clock that includes time spent suspended, in milliseconds.
    pub steady_ms: u64,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Outcome of a call to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallOutcome<T> {
    /// The endpoint executed the call.
    Done(T),
    /// Another incarnation responded: the addressed one has ended.
    OtherLife,
    /// The endpoint has accepted orders from a newer owner.
    Fenced,
    /// The endpoint refused the call and did nothing.
    Refused(Refusal),
    /// Nothing was sent, for lack of a connection. For a renewal: the endpoint closed the
    /// connection and accepts no other one, which shows that its process has ended.
    Unsent,
    /// No response arrived: the call may have been executed, or may still be.
    Unknown,
}

/// Why an endpoint refused an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// That run or a later one was stopped or has ended there.
    OldRun,
    /// The deadline of the order had passed.
    Late,
    /// The task exceeds the endpoint's free resources.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The endpoint is unhealthy or busy.
    Unhealthy,
    /// The endpoint does not know the task or considers the order malformed.
    Invalid,
}

/// Outcome of an order for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmOutcome {
    /// Executed by this call or an earlier one.
    Done,
    /// The VM is not up, is leaving or is not part of the wave; nothing was done.
    Busy,
    /// The service has accepted orders for the VM from a newer owner.
    Fenced,
    /// Refused for another reason; nothing was done.
    Refused,
    /// No response arrived: the order may have been executed, or may still be.
    Unknown,
}

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// Id of the job.
        job: JobId,
        /// Queue as configured on the node that received the job.
        queue: Queue,
        /// Job description.
        spec: Box<JobSpec>,
        /// Client account of the caller; empty for a queue that requires no key.
        account: CompactString,
        /// Node that accepted the job and keeps its payload for a while, if known.
        origin: Option<SocketAddr>,
        /// Request to reply to.
        token: ReplyToken,
    },
    /// A caller cancels a job.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Client account of the caller; empty for a queue that requires no key.
        account: CompactString,
        /// Request to reply to.
        token: ReplyToken,
    },
    /// A configuration took effect.
    ConfigChanged(Arc<FleetConfig>),
    /// An endpoint's registry entry was written or discovered.
    Registered {
        /// Registry entry.
        entry: Box<EndpointEntry>,
        /// Whether the entry was seen being written rather than found among existing ones.
        is_fresh: bool,
    },
    /// An endpoint's registry entry was removed.
    Deregistered(CompactString),
    /// The platform returned its complete list of VMs.
    VmsListed {
        /// All VMs.
        vms: Vec<VmEntry>,
        /// When the list was requested, on the monotonic clock, in milliseconds.
        requested_ms: u64,
    },
    /// An operator ordered maintenance.
    WaveOrdered(WaveOrder),
    /// A call with a start has ended.
    Started {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run number.
        run: u32,
        /// Outcome, with the endpoint's clock reading.
        outcome: CallOutcome<u64>,
    },
    /// A call with a stop has ended.
    Stopped {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run number.
        run: u32,
        /// Outcome, with the endpoint's clock reading.
        outcome: CallOutcome<u64>,
    },
    /// A call that renews an endpoint's lease has ended.
    Renewed {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Outcome, with the endpoint's report.
        outcome: CallOutcome<EndpointReport>,
    },
    /// A request for tickets of a step has ended.
    TicketsReceived {
        /// First task of the step.
        step: TaskRef,
        /// Tickets and their validity in milliseconds; `None` if the call failed.
        tickets: Option<(Vec<Ticket>, u64)>,
    },
    /// A call that changes the pace has ended.
    Paced {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run number.
        run: u32,
        /// Requested speed, in percent of full speed.
        percent: u8,
        /// Whether the change is known to be applied. Otherwise the endpoint may have refused it,
        /// or it may be applied later.
        is_done: bool,
    },
    /// A call with a move or maintenance order has ended.
    VmOrderAnswered {
        /// VM.
        vm: CompactString,
        /// Number of the call.
        call: u64,
        /// Outcome.
        outcome: VmOutcome,
    },
    /// Time has passed.
    Tick,
}

/// Reply to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The job is cancelled or had already ended.
    Cancelled,
    /// No such job exists.
    Unknown,
    /// The job was not stored and never will be.
    Refused,
    /// A task or gang of the job exceeds the quota of its account, so the job was not stored and
    /// never will be.
    OverQuota,
    /// The job would be completed too late to have any value, so it was not stored and never will
    /// be.
    Overloaded {
        /// Time after which the job may be submitted again, in milliseconds.
        retry_after_ms: u64,
        /// Whether its account is above its fair share or has too much waiting work for its quota.
        is_over_share: bool,
    },
    /// The job belongs to another client account; nothing was done.
    OtherAccount,
}

/// Action that the engine requests from its owner.
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
        /// Run number.
        run: u32,
    },
    /// Renew an endpoint's lease and request its report.
    Renew {
        /// Endpoint.
        endpoint: EndpointKey,
        /// New end of the lease on the endpoint's clock; `None` to request a report only.
        deadline_ms: Option<u64>,
        /// Highest run end that the endpoint may forget.
        acknowledged: u64,
        /// Longest time for which the endpoint may wait for a run to end, in milliseconds.
        wait_ms: u64,
    },
    /// Request tickets for a step from the advice service.
    GetTickets {
        /// First task of the step.
        step: TaskRef,
        /// Ids of the candidate endpoints.
        endpoints: Vec<CompactString>,
    },
    /// Set the speed of a run.
    Pace {
        /// Endpoint.
        endpoint: EndpointKey,
        /// Task.
        task: TaskRef,
        /// Run number.
        run: u32,
        /// Percent of full speed.
        percent: u8,
    },
    /// Move a VM to another pool.
    MoveVm {
        /// VM.
        vm: CompactString,
        /// Pool.
        pool: CompactString,
        /// Number of the call.
        call: u64,
    },
    /// Begin maintenance of a VM.
    MaintainVm {
        /// VM.
        vm: CompactString,
        /// Wave number.
        wave: u64,
        /// Number of the call.
        call: u64,
    },
    /// Publish the status of a wave.
    PublishWave {
        /// Wave number.
        wave: u64,
        /// Whether maintenance of every VM has begun.
        is_completed: bool,
    },
    /// Reply to a caller.
    Reply {
        /// Request to reply to.
        token: ReplyToken,
        /// Reply.
        response: CallerResponse,
    },
    /// Give up ownership, as a newer owner exists.
    StepDown,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartOrder {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Payload of the job.
    pub payload: CompactString,
    /// Node that keeps the payload for a while, if known.
    pub origin: Option<SocketAddr>,
    /// End of the lease on the endpoint's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: CompactString,
    /// Ticket; empty if none is required.
    pub ticket: CompactString,
}

/// Id and address of an endpoint incarnation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointAddress {
    /// Id of the incarnation.
    pub id: CompactString,
    /// Address that accepts calls.
    pub address: SocketAddr,
}
