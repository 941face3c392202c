//! Events that the owner writes to the log.

use {
    crate::{
        admission::RefusalReason,
        event::Refusal,
        job::{JobId, JobState, Resources, TaskRef},
        reports::{EndKind, VmEntry},
        vms::VmOrder,
    },
    compact_str::CompactString,
};

/// How the engine knows that a run has ended or never started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The endpoint reported the end.
    Reported(EndKind),
    /// The endpoint refused the start, and no earlier order can still take effect.
    Refused,
    /// The order was never sent.
    NeverOrdered,
    /// A report requested after the run was confirmed does not contain it.
    Missing,
    /// The endpoint incarnation has ended.
    EndpointOver,
    /// Every lease of the endpoint has expired.
    LeaseOver,
}

/// Supply, demand and orders of a pool in one planning round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolPlan {
    /// Pool.
    pub pool: CompactString,
    /// Endpoints that accept starts.
    pub members: usize,
    /// Endpoints with long-running tasks.
    pub pinned: usize,
    /// VMs that are moving into the pool.
    pub arriving: usize,
    /// Endpoints that take no more work, so that their VMs can move.
    pub vacating: usize,
    /// Capacity of the endpoints that accept starts, in thousandths of a core.
    pub supply_cpu_millis: u64,
    /// Processor in use, in thousandths of a core.
    pub used_cpu_millis: u64,
    /// Memory in use, in MB.
    pub used_memory_mb: u64,
    /// Capacity that the pool needs, in thousandths of a core.
    pub wanted_cpu_millis: u64,
    /// VMs ordered into the pool in this round.
    pub moved_in: usize,
    /// VMs ordered out of the pool in this round.
    pub moved_out: usize,
}

/// Tasks that wait for the quota of their account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaWait {
    /// Account.
    pub account: CompactString,
    /// First waiting job.
    pub job: JobId,
    /// Resources that each waiting task requires.
    pub wanted: Resources,
    /// Resources that the account is using.
    pub running: Resources,
    /// Quota of the account; 0 means unlimited.
    pub quota: Resources,
}

/// Tasks that wait because their account has reached its fair share.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareWait {
    /// Account.
    pub account: CompactString,
    /// First waiting job.
    pub job: JobId,
    /// Resources that the account is using.
    pub running: Resources,
    /// Fair share of the account, in thousandths of a core.
    pub share_cpu_millis: f64,
}

/// A job that was refused because it would be completed too late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRefusal {
    /// Job.
    pub job: JobId,
    /// Account; empty for none.
    pub account: CompactString,
    /// Pool.
    pub pool: CompactString,
    /// Reason.
    pub reason: RefusalReason,
    /// Predicted wait before the job would start, in milliseconds.
    pub wait_ms: u64,
    /// On-time work ahead of the job, in thousandths of a core times milliseconds.
    pub on_time_ahead_cpu_ms: u64,
    /// On-time and late work ahead of the job once it is late, in the same unit.
    pub valuable_ahead_cpu_ms: u64,
    /// Waiting work of its pool that is too late to have a value and not ahead of it, in the same
    /// unit.
    pub too_late_cpu_ms: u64,
    /// Present and arriving capacity of the pool, in thousandths of a core.
    pub capacity_cpu_millis: u64,
    /// Age of the capacity plan, in milliseconds.
    pub plan_age_ms: u64,
    /// Time after which the job may be submitted again, in milliseconds.
    pub retry_after_ms: u64,
    /// Number of refusals since the last event of this kind that only have a
    /// [`LogEvent::JobRefusalOmitted`].
    pub omitted: u64,
}

/// Kind of an order for a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOrder {
    /// Start it.
    Start,
    /// Stop it.
    Stop,
}

/// An order for a run that its endpoint refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedOrder {
    /// Order.
    pub order: RunOrder,
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Endpoint.
    pub endpoint: CompactString,
    /// Reason.
    pub refusal: Refusal,
    /// Time until the order is sent again, in milliseconds; `None` if it is not.
    pub retry_ms: Option<u64>,
}

/// A run that an endpoint lists and that should not be active there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnwantedRun {
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Endpoint.
    pub endpoint: CompactString,
    /// Whether the owner knows the run; it stops unknown ones, too.
    pub is_known: bool,
    /// Time since the decision to stop it, or since an unknown run was first listed, in
    /// milliseconds; `None` if a previous owner decided it.
    pub since_ms: Option<u64>,
}

/// A run that its endpoint omits, although it confirmed it or a previous owner placed it there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingRun {
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Endpoint.
    pub endpoint: CompactString,
    /// Start of the incarnation, in milliseconds since the Unix epoch; `None` if unknown.
    pub born_ms: Option<u64>,
    /// Number of the last run end of the incarnation that was processed.
    pub processed_end: u64,
    /// Highest number up to which this owner has acknowledged run ends.
    pub acknowledged_end: u64,
    /// Numbers of the first and the last run end in the report that omits the run.
    pub listed_ends: Option<(u64, u64)>,
}

/// Leases of an unresponsive endpoint that count as expired, so that its runs may start elsewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiredLeases {
    /// Endpoint.
    pub endpoint: CompactString,
    /// Number of runs that are removed.
    pub runs: usize,
    /// Time since its last response to this owner, in milliseconds; `None` if it has never responded,
    /// so that only previous owners can have granted the leases.
    pub silent_ms: Option<u64>,
    /// Consecutive failed calls.
    pub failed_calls: u32,
}

/// Event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The leases of an unresponsive endpoint count as expired.
    LeasesExpired(ExpiredLeases),
    /// An endpoint refused an order for a run.
    OrderRefused(RefusedOrder),
    /// An endpoint lists a run that should not be active there.
    UnwantedRunListed(UnwantedRun),
    /// A report omits a run whose end no report has listed.
    RunMissing(MissingRun),
    /// A run has ended or never started.
    RunEnded {
        /// Task.
        task: TaskRef,
        /// Run number.
        run: u32,
        /// Endpoint.
        endpoint: CompactString,
        /// How the end is known.
        end: RunEnd,
        /// Time since the start was decided, in milliseconds; `None` if a previous owner decided it.
        after_ms: Option<u64>,
    },
    /// A job has ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// Final state.
        state: JobState,
        /// Time since the job was submitted, in milliseconds.
        after_ms: u64,
    },
    /// A job was refused because it would be completed too late.
    JobRefused(JobRefusal),
    /// A job was refused like the one of the last [`Self::JobRefused`], but the limit of log lines
    /// is reached.
    JobRefusalOmitted(RefusalReason),
    /// An endpoint crashed under a run of a task.
    CrashCharged {
        /// Task.
        task: TaskRef,
        /// Endpoint.
        endpoint: CompactString,
        /// Number of endpoints that have crashed under the task.
        crashes: u32,
        /// Number of other crashes in its pool meanwhile and shortly before.
        other_crashes: u32,
        /// Whether only tasks of one job are charged.
        is_one_job: bool,
        /// Whether the start of the task is unlikely to have caused the crash.
        is_unlikely: bool,
        /// Whether the crash seems to be an immediate effect of the start.
        is_immediate: bool,
        /// For how long its run is known to have been active, in milliseconds; `None` if the run was
        /// removed before the crash was known.
        active_ms: Option<u64>,
    },
    /// A job fails because endpoints crash under one of its tasks.
    JobGivenUp {
        /// Task.
        task: TaskRef,
        /// Number of endpoints that have crashed under it.
        crashes: u32,
    },
    /// Tasks wait for the quota of their account.
    QuotaReached(QuotaWait),
    /// Tasks wait for those of other accounts because their account has reached its fair share.
    ShareReached(ShareWait),
    /// Pools were planned.
    PoolPlanned(PoolPlan),
    /// Endpoints of a pool take no more work, or take work again.
    VacatingChanged {
        /// Pool.
        pool: CompactString,
        /// Whether they take no more work.
        is_vacating: bool,
        /// Number of endpoints.
        endpoints: usize,
    },
    /// A VM order was decided or is retried.
    VmOrdered {
        /// VM.
        vm: CompactString,
        /// Order.
        order: VmOrder,
        /// Whether an earlier call with the order got no clear response.
        is_retry: bool,
        /// Entry of the VM in the list that the decision is based on.
        listed: VmEntry,
        /// Time since that list was requested, in milliseconds.
        list_age_ms: u64,
        /// Endpoint on the VM; empty if none is known.
        endpoint: CompactString,
        /// Number of runs that may be active there.
        runs: usize,
    },
    /// A VM order was not sent, as its record was stored after the ownership might have ended.
    VmOrderWithheld {
        /// VM.
        vm: CompactString,
    },
    /// An endpoint whose end was inferred has shown to be active.
    EndpointResumed {
        /// Endpoint.
        endpoint: CompactString,
        /// Time since its end was inferred, in milliseconds.
        after_ms: u64,
    },
    /// An endpoint has started again under the id that it had.
    EndpointRestarted {
        /// Endpoint.
        endpoint: CompactString,
        /// Start of the incarnation that has responded, in milliseconds since the Unix epoch.
        born_ms: Option<u64>,
        /// The same of the earlier incarnation.
        replaced_born_ms: Option<u64>,
        /// Number of runs that may be active on the one that has responded.
        moved_runs: usize,
    },
    /// An endpoint incarnation has ended.
    EndpointEnded {
        /// Endpoint.
        endpoint: CompactString,
        /// VM of the endpoint; empty if unknown.
        vm: CompactString,
        /// Number of runs lost with it.
        runs: usize,
    },
}
