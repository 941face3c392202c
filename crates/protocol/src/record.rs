//! Records of the fleet's log.
//!
//! Each record is a proposal that the fold accepts or rejects by the state at its offset.

use {
    crate::{
        names::{JobName, NodeName, PoolName, RackName, VmName, WaveName, ZoneName},
        resource::{Resource, ResourceRef, Resources},
        snapshot::SnapshotId,
    },
    serde::{Deserialize, Serialize},
};

/// Identifier of a record: the incarnation of the writer and a sequence number.
///
/// A record that is appended twice has the same id in both places; the fold ignores the second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WriterId {
    /// Identifies one run of a node; later runs have higher numbers.
    pub incarnation: u64,
    /// Sequence number of the record in that run, from 1.
    pub sequence: u64,
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Identifier, used for deduplication.
    pub id: WriterId,
    /// Clock of the writer in milliseconds since the epoch; the fold keeps the maximum.
    pub time_ms: u64,
    /// Proposal.
    pub body: RecordBody,
}

/// Digest of team, service and idempotency key of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub u128);

/// Observed phase of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmPhase {
    /// Serving, according to recent evidence.
    Live,
    /// Announced to be terminated; gets no new work.
    Leaving,
    /// Does not respond, or was reported as failed.
    Failed,
    /// No recent evidence since the last transition.
    Unknown,
}

/// Maximum number of reports in one record, which keeps it within the size limit.
pub const MAX_REPORTS_PER_RECORD: usize = 256;

/// Observation of a VM by a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmReport {
    /// VM.
    pub vm: VmName,
    /// Incarnation of the VM under this name, assigned by the platform.
    pub incarnation: u64,
    /// Observed phase.
    pub phase: VmPhase,
    /// Time of the observation, in milliseconds since the epoch.
    pub evidence_ms: u64,
    /// Zone of the VM.
    pub zone: ZoneName,
    /// Rack of the VM.
    pub rack: RackName,
    /// Address of the endpoint as `ip:port`.
    pub address: compact_str::CompactString,
    /// Capacity.
    pub capacity: Resources,
}

/// Purpose of a claim on a VM.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimPurpose {
    /// Maintenance by a wave.
    Maintain(WaveName),
    /// Move to a pool.
    Move(PoolName),
}

/// Outcome of an attempt of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// Completed.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped with its progress saved.
    Checkpointed,
    /// Certainly not started.
    NotStarted,
    /// Lost with its VM.
    Lost,
}

/// Outcome of a non-idempotent request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyOutcome {
    /// Completed with this HTTP status.
    Answered(u16),
    /// Certainly not executed; the key may be used again.
    NotRun,
    /// Dispatched, and may or may not have been executed.
    Unknown,
}

/// Proposal of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordBody {
    /// First record of a run of a node.
    Join {
        /// Node that joins.
        node: NodeName,
        /// Latest fold version that the node supports.
        fold_version: u32,
    },
    /// Raises the fold version for all later records.
    RaiseVersion {
        /// New fold version.
        fold_version: u32,
    },
    /// Declares a resource.
    Put {
        /// Declared resource.
        resource: Box<Resource>,
        /// Expected revision; 0 means that the resource must not exist.
        if_revision: Option<u64>,
    },
    /// Withdraws a resource.
    Delete {
        /// Resource to withdraw.
        reference: ResourceRef,
        /// Expected revision.
        if_revision: Option<u64>,
    },
    /// Reports observations of VMs.
    Report {
        /// Observations.
        reports: Vec<VmReport>,
    },
    /// Takes a VM out of service and charges the budget of its pool.
    Claim {
        /// VM.
        vm: VmName,
        /// Purpose.
        purpose: ClaimPurpose,
        /// Node that performs the action.
        holder: NodeName,
    },
    /// Rechecks the budget immediately before the action.
    Begin {
        /// VM.
        vm: VmName,
        /// Fencing token of the claim.
        fence: u64,
        /// Time after which the action must not start, in milliseconds by the clock of the writer.
        not_after_ms: u64,
    },
    /// Takes over the claim of a failed node; the VM stays charged to the budget.
    TakeOver {
        /// VM.
        vm: VmName,
        /// Fencing token of the claim to take over.
        fence: u64,
        /// New holder.
        holder: NodeName,
    },
    /// Releases a claim whose action has not begun.
    Release {
        /// VM.
        vm: VmName,
        /// Fencing token of the claim.
        fence: u64,
    },
    /// Completes a maintenance claim.
    Done {
        /// VM.
        vm: VmName,
        /// Fencing token of the claim.
        fence: u64,
        /// Whether the action succeeded.
        succeeded: bool,
    },
    /// Completes a move claim: from this offset on, the VM belongs to the target pool.
    HandOver {
        /// VM.
        vm: VmName,
        /// Fencing token of the claim.
        fence: u64,
    },
    /// Starts an attempt of a job on a VM.
    Start {
        /// Job.
        job: JobName,
        /// Attempt number, from 1.
        attempt: u32,
        /// VM.
        vm: VmName,
        /// Reserved resources, by estimate.
        reserved: Resources,
        /// Node that starts the attempt.
        holder: NodeName,
    },
    /// Requests that a running attempt be checkpointed or stopped.
    Stop {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
    },
    /// Reports the outcome of an attempt.
    End {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
        /// Outcome.
        outcome: JobOutcome,
    },
    /// Reports the resource usage of a running attempt.
    Usage {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
        /// Observed peak usage.
        used: Resources,
    },
    /// Abandons a job permanently.
    GiveUp {
        /// Job.
        job: JobName,
        /// Human-readable reason.
        reason: compact_str::CompactString,
    },
    /// Excludes a VM from the placement of new jobs for a time.
    Quarantine {
        /// VM.
        vm: VmName,
        /// End of the quarantine, in milliseconds since the epoch.
        until_ms: u64,
    },
    /// Records a non-idempotent request before it is dispatched.
    Intent {
        /// Idempotency key.
        key: RequestKey,
        /// Digest of the request, which detects the reuse of a key for another request.
        request_digest: u64,
        /// Node that dispatches the request.
        holder: NodeName,
    },
    /// Records the outcome of an intent.
    Outcome {
        /// Idempotency key.
        key: RequestKey,
        /// Outcome.
        outcome: KeyOutcome,
    },
    /// Records that a snapshot is complete in the snapshot stream.
    Snapshot {
        /// Snapshot.
        id: SnapshotId,
    },
    /// Advances the time when no other record is written.
    Tick,
}
