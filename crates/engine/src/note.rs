//! What the engine found out, for the log.

use {
    crate::{
        job::{JobId, JobState, TaskRef},
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

/// Something that was found out.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run is over.
    RunOver {
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
    /// The life of an endpoint is over.
    EndpointOver {
        /// Endpoint.
        endpoint: CompactString,
        /// Its VM, if it was known.
        vm: CompactString,
        /// Runs that are lost with it.
        runs: usize,
    },
}
