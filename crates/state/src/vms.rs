//! VMs, pools and waves as folded from the log.

use {
    crate::table::Keyed,
    compact_str::CompactString,
    lynxwheel_protocol::{
        ClaimPurpose, JobName, NodeName, PoolName, PoolSpec, RackName, Resources, VmName, VmPhase,
        WaveName, WaveSpec, ZoneName,
    },
    serde::{Deserialize, Serialize},
};

/// How far a claim has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ClaimStage {
    /// Charged to the budget; work on the VM is being drained.
    Draining,
    /// Rechecked; the action may have happened.
    Acting,
}

/// A VM taken out of service for planned work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Purpose of the claim.
    pub purpose: ClaimPurpose,
    /// Life of the VM that the claim was made in.
    pub incarnation: u64,
    /// Node that carries it out.
    pub holder: NodeName,
    /// Fencing number: offset of the claim or of its last takeover.
    pub fence: u64,
    /// Current stage.
    pub stage: ClaimStage,
    /// Fold's time of the last step, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Time after which the action must not start; 0 before the action.
    pub not_after_ms: u64,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmState {
    /// Name of the VM.
    pub name: VmName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Pool that it shall belong to.
    pub wanted_pool: PoolName,
    /// Revision of its declaration.
    pub revision: u64,
    /// Platform's count of the machine's lives under this name; 0 before the first report.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack, unique within the zone.
    pub rack: RackName,
    /// Address of its endpoint as `ip:port`.
    pub address: CompactString,
    /// What it offers.
    pub capacity: Resources,
    /// What the attempts placed on it have reserved.
    pub reserved: Resources,
    /// Whether it can be counted on.
    pub phase: VmPhase,
    /// Evidence must be at or after this time to count, in milliseconds since the epoch.
    pub evidence_ms: u64,
    /// Planned work on it.
    pub claim: Option<Claim>,
    /// When it was last maintained, in milliseconds since the epoch.
    pub maintained_ms: u64,
    /// Wave whose action failed on it last, if the failure is not yet made good.
    pub failed_in: Option<WaveName>,
    /// End of its quarantine, in milliseconds since the epoch.
    pub quarantined_until_ms: u64,
    /// Attempts that failed on it since the last success.
    pub failures: u32,
    /// Jobs whose attempt runs or may run on it, sorted.
    pub attempts: Vec<JobName>,
}

impl VmState {
    /// Tells whether the VM counts as available to its pool.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.phase == VmPhase::Live && self.claim.is_none()
    }

    /// Returns what is free for further attempts.
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

/// One pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolState {
    /// Declaration by the operator.
    pub spec: PoolSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// VMs that belong to it, whatever their phase.
    pub members: u32,
    /// VMs that are available.
    pub available: u32,
    /// Zones with claimed VMs and how many; sorted.
    pub claimed_zones: Vec<(ZoneName, u32)>,
}

impl PoolState {
    /// Returns the number of VMs that must stay available.
    #[must_use]
    pub fn floor(&self) -> u32 {
        self.spec.budget.min_available.rounded_up(self.spec.size)
    }
}

impl Keyed for PoolState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}

/// One wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveState {
    /// Declaration by the operator.
    pub spec: WaveSpec,
    /// Revision of the declaration.
    pub revision: u64,
    /// Fold's time of the first declaration, in milliseconds since the epoch.
    pub started_ms: u64,
    /// VMs maintained by it.
    pub done: u32,
    /// VMs on which the action failed.
    pub failed: u32,
    /// VMs claimed for it now.
    pub claimed: u32,
    /// Fold's time of its last completed action, in milliseconds since the epoch.
    pub last_done_ms: u64,
    /// Time that its successful actions took together, in milliseconds.
    pub acting_ms: u64,
}

impl Keyed for WaveState {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}
