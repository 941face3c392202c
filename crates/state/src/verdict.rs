//! Outcome of a proposal.

use {
    lynxwheel_protocol::{JobName, PoolName, ResourceRef, TeamName, VmName, WaveName},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Outcome of applying a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The record was accepted and applied.
    Accepted,
    /// The record was already applied at an earlier offset; the state is unchanged.
    Duplicate,
    /// The record was rejected; only the time and the writer's sequence number have changed.
    Rejected(Rejection),
}

impl Verdict {
    /// Returns whether the proposal was accepted.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rejection {
    /// The writer's incarnation has not joined or was evicted.
    UnknownWriter,
    /// The resource does not have the expected revision.
    RevisionConflict {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Current revision; 0 if the resource does not exist.
        revision: u64,
    },
    /// A resource that the proposal refers to does not exist.
    Missing {
        /// Resource that does not exist.
        reference: ResourceRef,
    },
    /// Another resource depends on the resource to delete.
    StillNeeded {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Resource that depends on it.
        by: ResourceRef,
    },
    /// A field of the declaration is invalid.
    BadField {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Name of the field.
        field: String,
        /// Why the field is invalid.
        reason: String,
    },
    /// The VM is not declared.
    UnknownVm {
        /// Name of the VM.
        vm: VmName,
    },
    /// The VM is claimed already.
    AlreadyClaimed {
        /// Name of the VM.
        vm: VmName,
    },
    /// The claim has ended or was taken over by another node.
    StaleFence {
        /// Name of the VM.
        vm: VmName,
        /// Current fencing token; 0 if there is no claim.
        fence: u64,
    },
    /// The step is not allowed in the claim's stage, or while attempts run on the VM.
    WrongStage {
        /// Name of the VM.
        vm: VmName,
    },
    /// The proposal would leave the pool below its floor.
    BudgetExhausted {
        /// Name of the pool.
        pool: PoolName,
        /// VMs currently available.
        available: u32,
        /// VMs that must stay available.
        floor: u32,
    },
    /// The budget of the pool allows no claims in another zone.
    TooManyZones {
        /// Name of the pool.
        pool: PoolName,
    },
    /// The wave is deleted, paused or aborted, or does not include the VM's pool.
    WaveNotRunning {
        /// Name of the wave.
        wave: WaveName,
    },
    /// The VM is not declared in the target pool.
    MoveNotWanted {
        /// Name of the VM.
        vm: VmName,
    },
    /// No report of the record is newer than the known state.
    OldEvidence {
        /// Name of the VM.
        vm: VmName,
    },
    /// The attempt is neither the next nor the running one of the job.
    WrongAttempt {
        /// Name of the job.
        job: JobName,
    },
    /// The VM cannot take the job, or cannot be quarantined.
    VmNotFit {
        /// Name of the VM.
        vm: VmName,
    },
    /// The team's quota would be exceeded.
    QuotaExceeded {
        /// Name of the team.
        team: TeamName,
    },
    /// The idempotency key is already used.
    KeyTaken,
    /// The maximum number of idempotency keys is reached.
    KeysFull,
    /// The idempotency key is not pending under the writer's incarnation.
    KeyNotPending,
    /// The snapshot is not newer than the last one.
    OldSnapshot,
    /// Not all nodes support the fold version, or it is not the next one.
    VersionNotKnown {
        /// Version proposed.
        fold_version: u32,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownWriter => write!(formatter, "the writer is not known"),
            Self::RevisionConflict {
                reference,
                revision,
            } => {
                write!(formatter, "{reference} is at revision {revision}")
            }
            Self::Missing { reference } => write!(formatter, "{reference} does not exist"),
            Self::StillNeeded { reference, by } => {
                write!(formatter, "{reference} is still needed by {by}")
            }
            Self::BadField {
                reference,
                field,
                reason,
            } => {
                write!(formatter, "{reference}: field {field}: {reason}")
            }
            Self::UnknownVm { vm } => write!(formatter, "VM {vm} is not declared"),
            Self::AlreadyClaimed { vm } => write!(formatter, "VM {vm} is claimed already"),
            Self::StaleFence { vm, fence } => {
                write!(formatter, "the claim on VM {vm} has fencing number {fence}")
            }
            Self::WrongStage { vm } => {
                write!(formatter, "the claim on VM {vm} is at another stage")
            }
            Self::BudgetExhausted {
                pool,
                available,
                floor,
            } => write!(
                formatter,
                "pool {pool} has {available} VMs available and must keep {floor}"
            ),
            Self::TooManyZones { pool } => {
                write!(
                    formatter,
                    "pool {pool} is claimed in as many zones as allowed"
                )
            }
            Self::WaveNotRunning { wave } => write!(formatter, "wave {wave} is not running"),
            Self::MoveNotWanted { vm } => write!(formatter, "VM {vm} is not to be moved there"),
            Self::OldEvidence { vm } => write!(formatter, "newer evidence of VM {vm} is known"),
            Self::WrongAttempt { job } => write!(formatter, "job {job} is at another attempt"),
            Self::VmNotFit { vm } => write!(formatter, "VM {vm} cannot take the job"),
            Self::QuotaExceeded { team } => write!(formatter, "team {team} is at its quota"),
            Self::KeyTaken => write!(formatter, "the key was used before"),
            Self::KeysFull => write!(formatter, "no more keys can be kept now"),
            Self::KeyNotPending => write!(formatter, "the key is not pending"),
            Self::OldSnapshot => write!(formatter, "a later snapshot is known"),
            Self::VersionNotKnown { fold_version } => {
                write!(formatter, "fold version {fold_version} cannot be raised to")
            }
        }
    }
}
