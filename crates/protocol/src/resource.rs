//! Declared resources.

use {
    crate::names::{JobName, PolicyName, PoolName, ServiceName, TeamName, VmName, WaveName},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Kind of a resource, in dependency order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Customer-wide weights and limits.
    Policy,
    /// A team with a quota.
    Team,
    /// A pool of VMs.
    Pool,
    /// A VM's assignment to a pool.
    Vm,
    /// A service served by a pool's endpoints.
    Service,
    /// A job that runs on a pool's VMs.
    Job,
    /// A maintenance wave.
    Wave,
}

impl Kind {
    /// All kinds, in dependency order.
    pub const ALL: [Self; 7] = [
        Self::Policy,
        Self::Team,
        Self::Pool,
        Self::Vm,
        Self::Service,
        Self::Job,
        Self::Wave,
    ];

    /// Returns the singular name that paths, declarations and errors use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Team => "team",
            Self::Pool => "pool",
            Self::Vm => "vm",
            Self::Service => "service",
            Self::Job => "job",
            Self::Wave => "wave",
        }
    }

    /// Returns the kind with a singular name.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Amounts of processor time, memory and accelerators.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cores_milli: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `self` is at most `free` in every dimension.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cores_milli <= free.cores_milli
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Adds `other` in every dimension, saturating at the maximum.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the maximum of both in every dimension.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.max(other.cores_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Subtracts `other` in every dimension, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Number of VMs, absolute or as a percentage of a pool's promised size.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Amount {
    /// Number of VMs.
    Count(u32),
    /// Percentage of the pool's promised size, from 0 to 100.
    Percent(u8),
}

impl Amount {
    /// Returns the number of VMs for a pool of `size`; percentages are rounded up.
    #[must_use]
    pub fn vm_count(self, size: u32) -> u32 {
        match self {
            Self::Count(count) => count,
            Self::Percent(percent) => {
                let vms = (u64::from(size) * u64::from(percent)).div_ceil(100);
                u32::try_from(vms).unwrap_or(u32::MAX)
            }
        }
    }
}

/// Availability budget of a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Number of VMs that planned work must leave available.
    pub min_available: Amount,
    /// Number of zones in which VMs of the pool may be claimed at the same time; at least 1.
    pub zones_at_once: u32,
}

/// Declared pool of VMs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Unique name.
    pub name: PoolName,
    /// Promised number of VMs, the base of percentages.
    pub size: u32,
    /// Availability budget.
    pub budget: Budget,
}

/// Declared assignment of a VM to a pool.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Name under which the platform lists the VM.
    pub name: VmName,
    /// Pool to which the VM is assigned; a change results in a move.
    pub pool: PoolName,
}

/// Declared team.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Unique name.
    pub name: TeamName,
    /// Maximum total of the resources reserved by the team's running jobs.
    pub quota: Resources,
}

/// Priority class of a request or job, highest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Outage notices and other work with people waiting.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Overnight work such as billing.
    Batch,
}

impl Class {
    /// Returns the class with a lower-case name.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }
}

/// Declared service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name, the first path segment of requests to the service.
    pub name: ServiceName,
    /// Pool whose VMs run the endpoints.
    pub pool: PoolName,
    /// Maximum number of concurrent requests to an endpoint.
    pub slots_per_endpoint: u32,
    /// Maximum number of connections that an endpoint accepts.
    pub connections_per_endpoint: u32,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Requests admitted per second, node and team; 0 means no limit.
    pub team_rate_per_s: u32,
}

/// Declared job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Unique name.
    pub name: JobName,
    /// Pool whose VMs may run the job.
    pub pool: PoolName,
    /// Team to whose quota the job is charged.
    pub team: TeamName,
    /// Priority class.
    pub class: Class,
    /// Declared resource demand, which may be inaccurate.
    pub demand: Resources,
    /// Declared run time in milliseconds, which may be inaccurate.
    pub run_time_ms: u64,
    /// Whether the job can be checkpointed and resumed on another VM.
    pub checkpoint: bool,
    /// Maximum number of starts after failures before the job is abandoned.
    pub max_attempts: u32,
    /// Whether the job is to be cancelled.
    pub cancelled: bool,
}

/// Maintenance action of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WaveAction {
    /// Restart the VM.
    Reboot,
}

/// Desired progress of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WaveGoal {
    /// Claim and maintain VMs.
    Run,
    /// Claim no further VMs; finish begun actions.
    Pause,
    /// Claim no further VMs and release claims whose action has not begun.
    Abort,
}

/// Declared maintenance wave.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Unique name.
    pub name: WaveName,
    /// Pools whose VMs are maintained; sorted.
    pub pools: Vec<PoolName>,
    /// Action on each VM.
    pub action: WaveAction,
    /// Desired progress.
    pub goal: WaveGoal,
    /// VMs maintained before this time are due, in milliseconds since the epoch.
    pub due_before_ms: u64,
    /// Target completion time, in milliseconds since the epoch; 0 means no deadline.
    pub deadline_ms: u64,
}

/// Relative weights of the objectives.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the duration of waves.
    pub roll_out: u32,
    /// Weight of reserved spare capacity.
    pub buffer: u32,
    /// Weight of relocated VMs and jobs.
    pub moves: u32,
}

/// Declared policy: weights and limits.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Unique name; the first policy by name is active.
    pub name: PolicyName,
    /// Weights of the objectives.
    pub weights: Weights,
    /// Retention time of idempotency keys, in milliseconds.
    pub key_keep_ms: u64,
    /// Maximum number of idempotency keys; further ones are rejected until others expire.
    pub key_limit: u32,
}

/// Declared resource of any kind.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase", tag = "kind", content = "spec")]
pub enum Resource {
    /// Customer-wide weights and limits.
    Policy(PolicySpec),
    /// A team with a quota.
    Team(TeamSpec),
    /// A pool of VMs.
    Pool(PoolSpec),
    /// A VM's assignment to a pool.
    Vm(VmSpec),
    /// A service served by a pool's endpoints.
    Service(ServiceSpec),
    /// A job that runs on a pool's VMs.
    Job(JobSpec),
    /// A maintenance wave.
    Wave(WaveSpec),
}

impl Resource {
    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Policy(_) => Kind::Policy,
            Self::Team(_) => Kind::Team,
            Self::Pool(_) => Kind::Pool,
            Self::Vm(_) => Kind::Vm,
            Self::Service(_) => Kind::Service,
            Self::Job(_) => Kind::Job,
            Self::Wave(_) => Kind::Wave,
        }
    }

    /// Returns the name of the resource.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Policy(spec) => spec.name.as_str(),
            Self::Team(spec) => spec.name.as_str(),
            Self::Pool(spec) => spec.name.as_str(),
            Self::Vm(spec) => spec.name.as_str(),
            Self::Service(spec) => spec.name.as_str(),
            Self::Job(spec) => spec.name.as_str(),
            Self::Wave(spec) => spec.name.as_str(),
        }
    }

    /// Returns the resources to which this one refers.
    #[must_use]
    pub fn dependencies(&self) -> Vec<ResourceRef> {
        let pool = |name: &PoolName| ResourceRef::new(Kind::Pool, name.as_str());
        match self {
            Self::Policy(_) | Self::Team(_) | Self::Pool(_) => Vec::new(),
            Self::Vm(spec) => vec![pool(&spec.pool)],
            Self::Service(spec) => vec![pool(&spec.pool)],
            Self::Job(spec) => vec![
                pool(&spec.pool),
                ResourceRef::new(Kind::Team, spec.team.as_str()),
            ],
            Self::Wave(spec) => spec.pools.iter().map(pool).collect(),
        }
    }

    /// Returns the field that refers to resources of `kind`.
    #[must_use]
    pub fn dependency_field(&self, kind: Kind) -> &'static str {
        match self {
            Self::Wave(_) => "pools",
            _ => kind.as_str(),
        }
    }

    /// Returns the kind and name of the resource.
    #[must_use]
    pub fn reference(&self) -> ResourceRef {
        ResourceRef::new(self.kind(), self.name())
    }
}

/// Kind and name of a resource.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ResourceRef {
    /// Kind.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: compact_str::CompactString,
}

impl ResourceRef {
    /// Creates a reference from kind and name.
    #[must_use]
    pub fn new(kind: Kind, name: &str) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ResourceRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}
