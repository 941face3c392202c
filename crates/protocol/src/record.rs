//! Records of the fleet's log stream.
//!
//! Every record is a proposal: the fold accepts or rejects it by the state at its offset.

use {
    crate::{
        names::{JobName, NodeName, PoolName, RackName, VmName, WaveName, ZoneName},
        resource::{Resource, ResourceRef, Resources},
        snapshot::SnapshotId,
    },
    serde::{Deserialize, Serialize},
};

/// Identity of a record: the writing process and its count of records.
///
/// A record that is appended twice carries the same id twice; the fold takes the first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WriterId {
    /// Identifies one run of one node; later runs have higher numbers.
    pub incarnation: u64,
    /// Counts the records of that run from 1.
    pub sequence: u64,
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Identity, for removing duplicates.
    pub id: WriterId,
    /// Writer's clock in milliseconds since the epoch; the fold keeps the maximum.
    pub time_ms: u64,
    /// What is proposed.
    pub body: RecordBody,
}

/// Digest of a caller's team, service and idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub u128);

/// Whether a VM can be counted on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmPhase {
    /// Serving, by fresh evidence.
    Live,
    /// Announced that it goes; gets no new work.
    Leaving,
    /// Does not answer, or was reported as failed.
    Failed,
    /// No fresh evidence since its last transition.
    Unknown,
}

/// Reports in one record at most, so that it keeps to the bound of a record's size.
pub const MAX_REPORTS_PER_RECORD: usize = 256;

/// What a node found out about a VM.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmReport {
    /// VM.
    pub vm: VmName,
    /// Platform's count of the machine's lives under this name.
    pub incarnation: u64,
    /// What was seen.
    pub phase: VmPhase,
    /// When it was seen, in milliseconds since the epoch.
    pub evidence_ms: u64,
    /// Zone it is in.
    pub zone: ZoneName,
    /// Rack it is in.
    pub rack: RackName,
    /// Address of its endpoint as `ip:port`.
    pub address: compact_str::CompactString,
    /// What it offers.
    pub capacity: Resources,
}

/// Why a VM is claimed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimPurpose {
    /// Maintenance by a wave.
    Maintain(WaveName),
    /// Move to a pool.
    Move(PoolName),
}

/// How an attempt of a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// Completed.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped with its progress kept.
    Checkpointed,
    /// Proven not to have started.
    NotStarted,
    /// Its VM is gone with it.
    Lost,
}

/// How the execution of a non-idempotent request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyOutcome {
    /// Answered with this HTTP status.
    Answered(u16),
    /// Proven not to have run; the key may be used again.
    NotRun,
    /// Dispatched, and nobody can tell whether it ran.
    Unknown,
}

/// What a record proposes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordBody {
    /// First record of a node's run.
    Join {
        /// Node.
        node: NodeName,
        /// Highest fold version that it knows.
        fold_version: u32,
    },
    /// Raises the fold's version for all later records.
    RaiseVersion {
        /// New version.
        fold_version: u32,
    },
    /// Declares a resource.
    Put {
        /// Resource.
        resource: Box<Resource>,
        /// Revision that it must have; 0 means that it must not exist.
        if_revision: Option<u64>,
    },
    /// Withdraws a resource.
    Delete {
        /// Resource.
        reference: ResourceRef,
        /// Revision that it must have.
        if_revision: Option<u64>,
    },
    /// Reports VMs.
    Report {
        /// Findings.
        reports: Vec<VmReport>,
    },
    /// Takes a VM out of service and charges the budget of its pool.
    Claim {
        /// VM.
        vm: VmName,
        /// Purpose.
        purpose: ClaimPurpose,
        /// Node that carries it out.
        holder: NodeName,
    },
    /// Rechecks the budget right before the action.
    Begin {
        /// VM.
        vm: VmName,
        /// Fencing number of the claim.
        fence: u64,
        /// Writer's time after which the action must not start, in milliseconds.
        not_after_ms: u64,
    },
    /// Takes over the claim of a node that is gone; the charge stays.
    TakeOver {
        /// VM.
        vm: VmName,
        /// Fencing number of the claim taken over.
        fence: u64,
        /// New holder.
        holder: NodeName,
    },
    /// Gives a claim back whose action has not begun.
    Release {
        /// VM.
        vm: VmName,
        /// Fencing number of the claim.
        fence: u64,
    },
    /// Completes a maintenance claim.
    Done {
        /// VM.
        vm: VmName,
        /// Fencing number of the claim.
        fence: u64,
        /// Whether the action succeeded.
        succeeded: bool,
    },
    /// Completes a move claim: the VM belongs to the target from this offset on.
    HandOver {
        /// VM.
        vm: VmName,
        /// Fencing number of the claim.
        fence: u64,
    },
    /// Places an attempt of a job on a VM.
    Start {
        /// Job.
        job: JobName,
        /// Attempt, from 1.
        attempt: u32,
        /// VM.
        vm: VmName,
        /// Demand reserved, by estimate.
        reserved: Resources,
        /// Node that starts it.
        holder: NodeName,
    },
    /// Asks that a running attempt be checkpointed or stopped.
    Stop {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
    },
    /// Tells how an attempt ended.
    End {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
        /// Outcome.
        outcome: JobOutcome,
    },
    /// Tells what a running attempt uses.
    Usage {
        /// Job.
        job: JobName,
        /// Attempt.
        attempt: u32,
        /// Observed peak.
        used: Resources,
    },
    /// Gives a job up for good.
    GiveUp {
        /// Job.
        job: JobName,
        /// Reason shown to people.
        reason: compact_str::CompactString,
    },
    /// Keeps new jobs off a VM for a time.
    Quarantine {
        /// VM.
        vm: VmName,
        /// End, in milliseconds since the epoch.
        until_ms: u64,
    },
    /// Announces the execution of a non-idempotent request before its dispatch.
    Intent {
        /// Key.
        key: RequestKey,
        /// Digest of the request, so that a key reused for another request is noticed.
        request_digest: u64,
        /// Node that executes it.
        holder: NodeName,
    },
    /// Tells how the execution of an intent ended.
    Outcome {
        /// Key.
        key: RequestKey,
        /// Outcome.
        outcome: KeyOutcome,
    },
    /// Tells that a snapshot stands whole in the snapshot stream.
    Snapshot {
        /// Snapshot.
        id: SnapshotId,
    },
    /// Confirms the time when nothing else is to be written.
    Tick,
}
