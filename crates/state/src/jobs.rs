//! Jobs, their attempts and the usage of the teams' quotas.

use {
    crate::table::Keyed,
    compact_str::CompactString,
    lynxwheel_protocol::{JobSpec, NodeName, Resources, TeamSpec, VmName},
    serde::{Deserialize, Serialize},
};

/// Phase of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No attempt is placed yet.
    Pending,
    /// An attempt runs or may run.
    Running,
    /// An attempt succeeded.
    Succeeded,
    /// Will not be retried.
    GivenUp,
    /// Cancelled by an operator.
    Cancelled,
}

/// One attempt of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// VM on which the attempt is placed.
    pub vm: VmName,
    /// Incarnation of the VM at the start.
    pub vm_incarnation: u64,
    /// Node that starts the attempt.
    pub holder: NodeName,
    /// Log offset of the start, which is the fencing token of the lease.
    pub fence: u64,
    /// Resources reserved on the VM.
    pub reserved: Resources,
    /// Time of the start by the fold, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Whether the attempt was asked to stop.
    pub stopping: bool,
}

/// Usage and run time of a job, as observed on its attempts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// Peak usage.
    pub used: Resources,
    /// Longest run of an attempt that has ended, in milliseconds.
    #[serde(rename = "ran_ms")]
    pub longest_run_ms: u64,
}

/// State of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobState {
    /// Declaration by the operator.
    pub spec: JobSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// Current phase.
    pub phase: JobPhase,
    /// Attempts started so far.
    pub attempts: u32,
    /// Attempts that failed.
    pub failures: u32,
    /// VMs on which attempts failed, sorted.
    pub failed_on: Vec<VmName>,
    /// Attempt that runs or may run.
    pub attempt: Option<Attempt>,
    /// Observations on the attempts.
    pub estimate: Estimate,
    /// Time since which the job is pending by the fold, in milliseconds since the epoch.
    pub pending_since_ms: u64,
    /// Reason for the final phase, shown to operators.
    pub reason: CompactString,
}

impl JobState {
    /// Returns whether the job is in a final phase.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Cancelled | JobPhase::GivenUp | JobPhase::Succeeded
        )
    }
}

impl Keyed for JobState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}

/// State of a team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamState {
    /// Declaration by the operator.
    pub spec: TeamSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// Resources reserved by the running attempts of the team's jobs.
    pub used: Resources,
}

impl Keyed for TeamState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}
