//! Jobs, their attempts and the teams' use.

use {
    crate::table::Keyed,
    compact_str::CompactString,
    lynxwheel_protocol::{JobSpec, NodeName, Resources, TeamSpec, VmName},
    serde::{Deserialize, Serialize},
};

/// Where a job stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Waits for a VM.
    Pending,
    /// An attempt runs, or may run.
    Running,
    /// An attempt succeeded.
    Succeeded,
    /// Given up for good.
    GivenUp,
    /// Cancelled by an operator.
    Cancelled,
}

/// One attempt of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// VM on which the attempt is placed.
    pub vm: VmName,
    /// Incarnation of the VM.
    pub vm_incarnation: u64,
    /// Node that starts it.
    pub holder: NodeName,
    /// Offset of its start, the fencing number of its lease.
    pub fence: u64,
    /// Demand reserved.
    pub reserved: Resources,
    /// Fold's time of the start, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Whether it was asked to stop.
    pub stopping: bool,
}

/// What earlier attempts showed of a job's real size and run time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// Highest use seen.
    pub used: Resources,
    /// Longest completed or aborted run in milliseconds.
    pub ran_ms: u64,
}

/// One job.
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
    /// Estimate from earlier attempts.
    pub estimate: Estimate,
    /// Fold's time since which it waits, in milliseconds since the epoch.
    pub pending_since_ms: u64,
    /// Reason of its final answer.
    pub reason: CompactString,
}

impl JobState {
    /// Tells whether the job has its final answer.
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

/// One team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamState {
    /// Declaration by the operator.
    pub spec: TeamSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// What its running attempts have reserved.
    pub used: Resources,
}

impl Keyed for TeamState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}
