//! What the engine found out, for the log.

use {
    crate::{
        job::{JobId, JobState, Resources, TaskRef},
        reports::EndKind,
    },
    compact_str::CompactString,
};

/// How it is known that a run is over, or never was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The endpoint reported the end.
    Reported(EndKind),
    /// The endpoint refused the start, and no earlier order can be carried out late.
    Refused,
    /// The order never went out.
    NeverOrdered,
    /// A report that was asked for after the run was known to be there leaves it out.
    Missing,
    /// The life of the endpoint is over.
    EndpointOver,
    /// Every lease of the endpoint is over.
    LeaseOver,
}

/// How a pool stands at a planning of the pools.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolPlan {
    /// Pool.
    pub pool: CompactString,
    /// Endpoints that take starts.
    pub members: usize,
    /// Endpoints with long-running tasks.
    pub pinned: usize,
    /// VMs on their way here.
    pub arriving: usize,
    /// Room of the endpoints that take starts, in thousandths of a core.
    pub supply_cpu_millis: u64,
    /// Room in use, in thousandths of a core.
    pub used_cpu_millis: u64,
    /// Memory in use, in MB.
    pub used_memory_mb: u64,
    /// Room that should be here, in thousandths of a core.
    pub wanted_cpu_millis: u64,
    /// VMs ordered into the pool.
    pub moved_in: usize,
    /// VMs ordered out of the pool.
    pub moved_out: usize,
}

/// Tasks that wait for their account's quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaWait {
    /// Account.
    pub account: CompactString,
    /// First job that waits.
    pub job: JobId,
    /// Room that each of its waiting tasks takes.
    pub wanted: Resources,
    /// What the account has running.
    pub running: Resources,
    /// Most that it may have running; 0 is no limit.
    pub quota: Resources,
}

/// Tasks that wait as their account has its share of what there is.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareWait {
    /// Account.
    pub account: CompactString,
    /// First job that waits.
    pub job: JobId,
    /// What the account has running.
    pub running: Resources,
    /// Its share of all processors, in thousandths of a core.
    pub share_cpu_millis: f64,
}

/// Something that was found out.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A run is over.
    RunEnded {
        /// Task.
        task: TaskRef,
        /// Run.
        run: u32,
        /// Endpoint.
        endpoint: CompactString,
        /// How that is known.
        end: RunEnd,
        /// Time since it was decided, in milliseconds.
        after_ms: u64,
    },
    /// A job has ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// How.
        state: JobState,
        /// Time since it was handed in, in milliseconds.
        after_ms: u64,
    },
    /// Tasks wait for their account's quota.
    QuotaReached(QuotaWait),
    /// Tasks wait for those of other accounts, as theirs has had its share.
    ShareReached(ShareWait),
    /// How a pool stands: what it has, what it wants, and what was ordered for it.
    PoolPlanned(PoolPlan),
    /// The life of an endpoint is over.
    EndpointEnded {
        /// Endpoint.
        endpoint: CompactString,
        /// Its VM, if it was known.
        vm: CompactString,
        /// Runs that are lost with it.
        runs: usize,
    },
}
