//! Outcome of a proposal.

use {
    lynxwheel_protocol::{JobName, PoolName, ResourceRef, TeamName, VmName, WaveName},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What the fold made of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Accepted; the state has changed.
    Accepted,
    /// Already applied at an earlier offset; the state is unchanged.
    Duplicate,
    /// Rejected; the state is unchanged but for the writer's sequence.
    Rejected(Rejection),
}

impl Verdict {
    /// Tells whether the proposal was accepted.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// Why a proposal was rejected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rejection {
    /// The writer's run was never announced or is no longer remembered.
    UnknownWriter,
    /// The resource has another revision than expected.
    RevisionConflict {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Revision that it has; 0 when it does not exist.
        revision: u64,
    },
    /// A resource that the proposal needs does not exist.
    Missing {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
    },
    /// The resource is still needed by another one.
    StillNeeded {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Resource that needs it.
        by: ResourceRef,
    },
    /// A field of the declaration is out of its range.
    BadField {
        /// Resource that is declared or deleted.
        reference: ResourceRef,
        /// Name of the field.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// No such VM.
    UnknownVm {
        /// Name of the VM.
        vm: VmName,
    },
    /// The VM is claimed already.
    AlreadyClaimed {
        /// Name of the VM.
        vm: VmName,
    },
    /// The claim is gone or another node took it over.
    StaleFence {
        /// Name of the VM.
        vm: VmName,
        /// Fencing number in force; 0 when there is no claim.
        fence: u64,
    },
    /// The step does not fit the claim's stage or purpose.
    WrongStage {
        /// Name of the VM.
        vm: VmName,
    },
    /// The pool's availability budget would be broken.
    BudgetExhausted {
        /// Name of the pool.
        pool: PoolName,
        /// VMs available now.
        available: u32,
        /// VMs that must stay available.
        floor: u32,
    },
    /// Too many zones of the pool would be claimed at once.
    TooManyZones {
        /// Name of the pool.
        pool: PoolName,
    },
    /// The wave is paused, aborted or does not include the VM's pool.
    WaveNotRunning {
        /// Name of the wave.
        wave: WaveName,
    },
    /// The VM does not wait for this move.
    MoveNotWanted {
        /// Name of the VM.
        vm: VmName,
    },
    /// The evidence is older than what is known.
    OldEvidence {
        /// Name of the VM.
        vm: VmName,
    },
    /// The attempt is not the one that the job waits for or runs.
    WrongAttempt {
        /// Name of the job.
        job: JobName,
    },
    /// The VM cannot take the job now.
    VmNotFit {
        /// Name of the VM.
        vm: VmName,
    },
    /// The team's quota would be exceeded.
    QuotaExceeded {
        /// Name of the team.
        team: TeamName,
    },
    /// The key was used before.
    KeyTaken,
    /// No more keys can be kept now.
    KeysFull,
    /// The key is not in a state that allows the step.
    KeyNotPending,
    /// A later snapshot is known.
    OldSnapshot,
    /// Not all live nodes know the fold version, or it is not the next one.
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
