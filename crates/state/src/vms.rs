//! State of VMs, pools and waves.

use {
    crate::table::Keyed,
    compact_str::CompactString,
    lynxwheel_protocol::{
        ClaimPurpose, JobName, NodeName, PoolName, PoolSpec, RackName, Resources, VmName, VmPhase,
        WaveName, WaveSpec, ZoneName,
    },
    serde::{Deserialize, Serialize},
};

/// Stage of a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimStage {
    /// The VM is charged to the budget and is being drained.
    Draining,
    /// The budget was rechecked; the action may have been executed.
    Acting,
}

/// Claim on a VM, which takes it out of service for planned work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Purpose of the claim.
    pub purpose: ClaimPurpose,
    /// Incarnation of the VM when it was claimed.
    pub incarnation: u64,
    /// Node that executes the planned work.
    pub holder: NodeName,
    /// Fencing token, the log offset of the claim or of its last takeover.
    pub fence: u64,
    /// Current stage.
    pub stage: ClaimStage,
    /// Time of the claim, its last takeover or the recheck by the fold, in milliseconds since the
    /// epoch.
    pub since_ms: u64,
    /// Time after which the action must not start, in milliseconds since the epoch; 0 before the
    /// recheck.
    pub not_after_ms: u64,
}

/// State of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmState {
    /// Name of the VM.
    pub name: VmName,
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Pool that the VM is declared in.
    pub wanted_pool: PoolName,
    /// Revision of the declaration.
    pub revision: u64,
    /// Incarnation of the VM, counted by the platform; 0 before the first report.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack, unique within the zone.
    pub rack: RackName,
    /// Address of the endpoint as `ip:port`.
    pub address: CompactString,
    /// Resources that the VM offers.
    pub capacity: Resources,
    /// Resources reserved by the attempts placed on the VM.
    pub reserved: Resources,
    /// Phase by the last report or transition.
    pub phase: VmPhase,
    /// Time from which the evidence of a report counts, in milliseconds since the epoch.
    pub evidence_ms: u64,
    /// Claim for planned work, if any.
    pub claim: Option<Claim>,
    /// Time of the last maintenance, in milliseconds since the epoch.
    pub maintained_ms: u64,
    /// Wave whose action failed on the VM, until an action on it succeeds.
    #[serde(rename = "failed_in")]
    pub failed_wave: Option<WaveName>,
    /// End of the quarantine, in milliseconds since the epoch.
    pub quarantined_until_ms: u64,
    /// Attempts that failed on the VM since the last success, quarantine or new incarnation.
    pub failures: u32,
    /// Jobs whose attempt runs or may run on the VM, sorted.
    pub attempts: Vec<JobName>,
}

impl VmState {
    /// Returns whether the VM counts as available in its pool.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.phase == VmPhase::Live && self.claim.is_none()
    }

    /// Returns the resources that are free for further attempts.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.reserved)
    }
}

impl Keyed for VmState {
    type Key = str;

    fn key(&self) -> &str {
        self.name.as_str()
    }
}

/// State of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolState {
    /// Declaration by the operator.
    pub spec: PoolSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// Number of VMs that belong to the pool, whatever their phase.
    pub members: u32,
    /// Number of available VMs.
    pub available: u32,
    /// Zones with claimed VMs and the number of these, sorted.
    pub claimed_zones: Vec<(ZoneName, u32)>,
}

impl PoolState {
    /// Returns the number of VMs that must stay available.
    #[must_use]
    pub fn floor(&self) -> u32 {
        self.spec.budget.min_available.vm_count(self.spec.size)
    }
}

impl Keyed for PoolState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}

/// State of a wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveState {
    /// Declaration by the operator.
    pub spec: WaveSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// Time of the first declaration by the fold, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Actions that succeeded.
    pub done: u32,
    /// Actions that failed.
    pub failed: u32,
    /// VMs currently claimed for the wave.
    pub claimed: u32,
    /// Time of the last completed action by the fold, in milliseconds since the epoch.
    pub last_done_ms: u64,
    /// Total duration of the successful actions, in milliseconds.
    #[serde(rename = "acting_ms")]
    pub total_action_ms: u64,
}

impl Keyed for WaveState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}
