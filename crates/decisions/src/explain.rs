//! Explanations of the current state of a VM, job, wave or pool.

use {
    crate::{
        drain::DrainEstimate,
        exclusions::{GiveUpReason, unrunnable_reason},
        fleet_view::FleetView,
        forecast::{Forecast, forecast},
        placement::estimate_demand,
        tuning::Tuning,
        wave_health::{WaveHealth, ramp_limit},
        waves::{cordoned_vms, is_due},
    },
    lynxwheel_protocol::{ClaimPurpose, Kind, NodeName, ResourceRef, VmName, VmPhase, WaveGoal},
    lynxwheel_state::{
        ClaimStage, FleetState, JobPhase, JobState, PoolAvailability, VmState, WaveState,
    },
    std::fmt,
};

/// Explanation of a resource's current state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Explanation {
    /// The resource is not declared, or its kind has no explanation.
    NotExplained,
    /// A VM.
    Vm(VmExplanation),
    /// A job.
    Job(JobExplanation),
    /// A wave.
    Wave(Forecast),
    /// A pool.
    Pool(PoolAvailability),
}

/// Why a VM is in or out of service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmExplanation {
    /// The VM is not live.
    NotLive(VmPhase),
    /// The VM is claimed for planned work.
    Claimed {
        /// Purpose of the claim.
        purpose: ClaimPurpose,
        /// Stage of the claim.
        stage: ClaimStage,
        /// Node that holds the claim.
        holder: NodeName,
        /// Jobs still running on the VM.
        jobs: usize,
    },
    /// Planned work claims the VM next, and only urgent jobs are started on it until then.
    Cordoned(DrainEstimate),
    /// Planned work claims the VM later.
    Waiting(WaitReason),
    /// No new jobs are started on the VM for a time.
    Quarantined {
        /// End of the quarantine, in milliseconds since the epoch.
        until_ms: u64,
    },
    /// The VM is in service, and no planned work claims it.
    InService,
}

/// Why planned work has not claimed a VM yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// The operator stopped the wave.
    WaveStopped,
    /// The wave halted on failures.
    WaveHalted(WaveHealth),
    /// The wave has reached its limit on concurrent claims.
    RampLimit,
    /// The pool has no more VMs available than it must keep.
    BudgetExhausted(PoolAvailability),
    /// The pool's claims are in as many other zones as its budget allows.
    OtherZone,
    /// Jobs on the VM have to end first.
    RunningJobs(DrainEstimate),
    /// Nothing prevents a claim in one of the next rounds.
    NextRound,
}

/// Why a job is running, pending or final.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobExplanation {
    /// An attempt runs or may run.
    Running {
        /// VM of the attempt.
        vm: VmName,
        /// Whether the attempt was asked to stop.
        stopping: bool,
    },
    /// The job is in a final phase.
    Final {
        /// Final phase.
        phase: JobPhase,
        /// Reason shown to operators.
        reason: String,
    },
    /// The job can never run and will be given up.
    Unrunnable(GiveUpReason),
    /// The job's demand exceeds what is left of its team's quota.
    QuotaExhausted,
    /// No VM of the job's pool is available.
    NoVmAvailable,
    /// All VMs with enough free capacity are cordoned, are quarantined or failed the job before.
    FreeVmsExcluded {
        /// Number of such VMs.
        vms: u32,
    },
    /// No available VM has enough free capacity.
    NoFreeCapacity,
    /// The job starts in the next round.
    StartsNext,
}

/// Explains the current state of the resource that `reference` names.
#[must_use]
pub fn explain(state: &FleetState, reference: &ResourceRef, now_ms: u64) -> Explanation {
    let name = reference.name.as_str();
    let explanation = match reference.kind {
        Kind::Vm => state
            .vms()
            .get(name)
            .map(|vm| Explanation::Vm(explain_vm(state, vm, now_ms))),
        Kind::Job => state
            .jobs()
            .get(name)
            .map(|job| Explanation::Job(explain_job(state, job, now_ms))),
        Kind::Wave => state
            .waves()
            .get(name)
            .map(|wave| Explanation::Wave(forecast(state, wave, now_ms))),
        Kind::Pool => state
            .pools()
            .get(name)
            .map(|pool| Explanation::Pool(pool.availability())),
        Kind::Policy | Kind::Service | Kind::Team => None,
    };
    explanation.unwrap_or(Explanation::NotExplained)
}

fn explain_vm(state: &FleetState, vm: &VmState, now_ms: u64) -> VmExplanation {
    if let Some(claim) = &vm.claim {
        return VmExplanation::Claimed {
            purpose: claim.purpose.clone(),
            stage: claim.stage,
            holder: claim.holder.clone(),
            jobs: vm.attempts.len(),
        };
    }
    if vm.phase != VmPhase::Live {
        return VmExplanation::NotLive(vm.phase);
    }
    let wave = state.waves().iter().find(|wave| is_due(wave, vm));
    let tuning = Tuning::new(state.weights());
    let drain = DrainEstimate::new(state, vm, &tuning, now_ms);
    if wave.is_some() || vm.wanted_pool != vm.pool {
        let cordoned = cordoned_vms(state, &tuning, now_ms);
        return if cordoned.binary_search(&vm.name).is_ok() && !drain.is_ready() {
            VmExplanation::Cordoned(drain)
        } else {
            VmExplanation::Waiting(wait_reason(state, vm, wave, &drain, &tuning))
        };
    }
    if vm.quarantined_until_ms > state.time_ms() {
        return VmExplanation::Quarantined {
            until_ms: vm.quarantined_until_ms,
        };
    }
    VmExplanation::InService
}

fn wait_reason(
    state: &FleetState,
    vm: &VmState,
    wave: Option<&WaveState>,
    drain: &DrainEstimate,
    tuning: &Tuning,
) -> WaitReason {
    let view = FleetView::new(state);
    if let Some(wave) = wave.filter(|_| vm.wanted_pool == vm.pool) {
        let health = WaveHealth::new(&view, wave);
        if wave.spec.goal != WaveGoal::Run {
            return WaitReason::WaveStopped;
        }
        if !health.can_continue() {
            return WaitReason::WaveHalted(health);
        }
        if wave.claimed >= ramp_limit(&view, wave, tuning) {
            return WaitReason::RampLimit;
        }
    }
    let Some(pool) = state.pools().get(vm.pool.as_str()) else {
        return WaitReason::NextRound;
    };
    let availability = pool.availability();
    if availability.spare_vms() == 0 {
        WaitReason::BudgetExhausted(availability)
    } else if !pool.allows_zone(&vm.zone) {
        WaitReason::OtherZone
    } else if !drain.is_ready() {
        WaitReason::RunningJobs(*drain)
    } else {
        WaitReason::NextRound
    }
}

fn explain_job(state: &FleetState, job: &JobState, now_ms: u64) -> JobExplanation {
    if let Some(attempt) = &job.attempt {
        return JobExplanation::Running {
            vm: attempt.vm.clone(),
            stopping: attempt.stopping,
        };
    }
    if job.is_final() {
        return JobExplanation::Final {
            phase: job.phase,
            reason: job.reason.as_str().into(),
        };
    }
    explain_pending_job(state, job, now_ms)
}

fn explain_pending_job(state: &FleetState, job: &JobState, now_ms: u64) -> JobExplanation {
    let members: Vec<&VmState> = state
        .vms()
        .iter()
        .filter(|vm| vm.pool == job.spec.pool)
        .collect();
    let has_known_sizes = members.iter().all(|vm| vm.incarnation > 0);
    let vm_sizes: Vec<_> = members.iter().map(|vm| vm.capacity).collect();
    if let Some(reason) =
        unrunnable_reason(state, job, if has_known_sizes { &vm_sizes } else { &[] })
    {
        return JobExplanation::Unrunnable(reason);
    }
    let demand = estimate_demand(job);
    let team = state.teams().get(job.spec.team.as_str());
    let has_quota = team.is_some_and(|team| team.used.plus(&demand).fits(&team.spec.quota));
    if !has_quota {
        return JobExplanation::QuotaExhausted;
    }
    let available: Vec<&VmState> = members.into_iter().filter(|vm| vm.is_available()).collect();
    if available.is_empty() {
        return JobExplanation::NoVmAvailable;
    }
    let cordoned = cordoned_vms(state, &Tuning::new(state.weights()), now_ms);
    let with_capacity: Vec<&VmState> = available
        .into_iter()
        .filter(|vm| demand.fits(&vm.free()))
        .collect();
    let is_usable = |vm: &&VmState| {
        cordoned.binary_search(&vm.name).is_err()
            && vm.quarantined_until_ms <= state.time_ms()
            && job.failed_on.binary_search(&vm.name).is_err()
    };
    if with_capacity.is_empty() {
        JobExplanation::NoFreeCapacity
    } else if with_capacity.iter().any(is_usable) {
        JobExplanation::StartsNext
    } else {
        JobExplanation::FreeVmsExcluded {
            vms: u32::try_from(with_capacity.len()).unwrap_or(u32::MAX),
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotExplained => formatter.write_str("nothing is decided about it"),
            Self::Vm(vm) => vm.fmt(formatter),
            Self::Job(job) => job.fmt(formatter),
            Self::Wave(forecast) => forecast.fmt(formatter),
            Self::Pool(pool) => write!(
                formatter,
                "{} of {} VMs available, {} must stay",
                pool.available, pool.members, pool.floor
            ),
        }
    }
}

impl fmt::Display for VmExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLive(phase) => write!(formatter, "not in service: {phase:?}"),
            Self::Claimed {
                purpose,
                stage,
                holder,
                jobs,
            } => {
                let what = match purpose {
                    ClaimPurpose::Maintain(wave) => format!("maintenance by wave {wave}"),
                    ClaimPurpose::Move(pool) => format!("a move to pool {pool}"),
                };
                write!(
                    formatter,
                    "out of service for {what}, {stage:?} by {holder}, {jobs} jobs on it"
                )
            }
            Self::Cordoned(drain) => write!(
                formatter,
                "takes no new jobs, planned work takes it in about {} s",
                drain.wait_ms / 1_000
            ),
            Self::Waiting(reason) => reason.fmt(formatter),
            Self::Quarantined { until_ms } => {
                write!(
                    formatter,
                    "failed what runs elsewhere, no new jobs until {until_ms}"
                )
            }
            Self::InService => formatter.write_str("in service"),
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WaveStopped => formatter.write_str("waits: the operator stopped the wave"),
            Self::WaveHalted(health) => write!(formatter, "waits: {}", health.as_str()),
            Self::RampLimit => {
                formatter.write_str("waits: the wave has as many VMs out as it may for now")
            }
            Self::BudgetExhausted(pool) => write!(
                formatter,
                "waits: {} VMs of its pool are available and {} must stay",
                pool.available, pool.floor
            ),
            Self::OtherZone => formatter.write_str("waits: its pool has another zone open"),
            Self::RunningJobs(drain) => write!(
                formatter,
                "waits: {} jobs on it have to end, in about {} s",
                drain.awaited_jobs,
                drain.wait_ms / 1_000
            ),
            Self::NextRound => formatter.write_str("waits for its turn"),
        }
    }
}

impl fmt::Display for JobExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running { vm, stopping } if *stopping => {
                write!(formatter, "runs on VM {vm} and was asked to stop")
            }
            Self::Running { vm, .. } => write!(formatter, "runs on VM {vm}"),
            Self::Final { phase, reason } => write!(formatter, "{phase:?}: {reason}"),
            Self::Unrunnable(reason) => write!(formatter, "can never run: {reason}"),
            Self::QuotaExhausted => formatter.write_str("waits: its team's quota is used up"),
            Self::NoVmAvailable => formatter.write_str("waits: no VM of its pool is available"),
            Self::FreeVmsExcluded { vms } => write!(
                formatter,
                "waits: {vms} VMs with room are kept free, are quarantined or failed it"
            ),
            Self::NoFreeCapacity => formatter.write_str("waits: no VM of its pool has room"),
            Self::StartsNext => formatter.write_str("starts next"),
        }
    }
}
