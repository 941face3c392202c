//! Why a VM, a job or a wave stands where it does.

use {
    crate::{
        drain::DrainEstimate,
        fleet_view::FleetView,
        forecast::{Forecast, forecast},
        placement::estimate_demand,
        tuning::Tuning,
        verdicts::{GiveUpReason, hopeless},
        wave_health::{WaveHealth, ramp_limit},
        waves::{cordoned_vms, is_due},
    },
    lynxwheel_protocol::{ClaimPurpose, Kind, NodeName, ResourceRef, VmName, VmPhase, WaveGoal},
    lynxwheel_state::{
        ClaimStage, FleetState, JobPhase, JobState, PoolAvailability, VmState, WaveState,
    },
    std::fmt,
};

/// Why something stands where it does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Explanation {
    /// It is not declared, or its kind is not decided about.
    NothingToSay,
    /// A VM.
    Vm(VmExplanation),
    /// A job.
    Job(JobExplanation),
    /// A wave.
    Wave(Forecast),
    /// A pool.
    Pool(PoolAvailability),
}

/// Why a VM is in service or not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmExplanation {
    /// It is not live.
    NotLive(VmPhase),
    /// A node takes it out of service.
    Claimed {
        /// For what.
        purpose: ClaimPurpose,
        /// How far it has come.
        stage: ClaimStage,
        /// Node.
        holder: NodeName,
        /// Jobs still on it.
        jobs: usize,
    },
    /// Planned work takes it next, and it takes no new jobs until then.
    KeptFree(DrainEstimate),
    /// Planned work takes it later.
    Waits(WaitReason),
    /// It keeps new jobs off until then, in milliseconds since the epoch.
    Quarantined {
        /// End.
        until_ms: u64,
    },
    /// In service, and nothing waits for it.
    InService,
}

/// Why planned work has not taken a VM yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// The operator stopped the wave.
    WaveStopped,
    /// The wave halted on failures.
    WaveHalted(WaveHealth),
    /// The wave has as many VMs out of service as it may for now.
    RampLimit,
    /// The pool has no more than it must keep.
    Budget(PoolAvailability),
    /// The pool has another zone open.
    OtherZone,
    /// Jobs on it are waited for.
    Jobs(DrainEstimate),
    /// It is its turn.
    Turn,
}

/// Why a job runs or waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobExplanation {
    /// An attempt runs or may run there.
    Running {
        /// VM.
        vm: VmName,
        /// Whether it was asked to stop.
        stopping: bool,
    },
    /// It has its final answer.
    Final {
        /// Phase.
        phase: JobPhase,
        /// Reason shown to people.
        reason: String,
    },
    /// It can never run and gets its final answer soon.
    Hopeless(GiveUpReason),
    /// Its team's quota is used up.
    Quota,
    /// No VM of its pool is available.
    NoVmAvailable,
    /// VMs with room are kept free for planned work, are quarantined or failed it before.
    RoomNotUsable {
        /// Such VMs.
        vms: u32,
    },
    /// No VM has room for it.
    NoRoom,
    /// It starts in the next round.
    Next,
}

/// Explains where the resource that `reference` names stands.
#[must_use]
pub fn explain(state: &FleetState, reference: &ResourceRef, now_ms: u64) -> Explanation {
    let name = reference.name.as_str();
    let found = match reference.kind {
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
    found.unwrap_or(Explanation::NothingToSay)
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
        let kept_free = cordoned_vms(state, &tuning, now_ms);
        return if kept_free.binary_search(&vm.name).is_ok() && !drain.is_ready() {
            VmExplanation::KeptFree(drain)
        } else {
            VmExplanation::Waits(wait_reason(state, vm, wave, &drain, &tuning))
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
        return WaitReason::Turn;
    };
    let availability = pool.availability();
    if availability.spare_vms() == 0 {
        WaitReason::Budget(availability)
    } else if !pool.allows_zone(&vm.zone) {
        WaitReason::OtherZone
    } else if !drain.is_ready() {
        WaitReason::Jobs(*drain)
    } else {
        WaitReason::Turn
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
    explain_waiting(state, job, now_ms)
}

fn explain_waiting(state: &FleetState, job: &JobState, now_ms: u64) -> JobExplanation {
    let members: Vec<&VmState> = state
        .vms()
        .iter()
        .filter(|vm| vm.pool == job.spec.pool)
        .collect();
    let is_known = members.iter().all(|vm| vm.incarnation > 0);
    let shapes: Vec<_> = members.iter().map(|vm| vm.capacity).collect();
    if let Some(reason) = hopeless(state, job, if is_known { &shapes } else { &[] }) {
        return JobExplanation::Hopeless(reason);
    }
    let demand = estimate_demand(job);
    let team = state.teams().get(job.spec.team.as_str());
    let has_quota = team.is_some_and(|team| team.used.plus(&demand).fits(&team.spec.quota));
    if !has_quota {
        return JobExplanation::Quota;
    }
    let available: Vec<&VmState> = members.into_iter().filter(|vm| vm.is_available()).collect();
    if available.is_empty() {
        return JobExplanation::NoVmAvailable;
    }
    let kept_free = cordoned_vms(state, &Tuning::new(state.weights()), now_ms);
    let roomy: Vec<&VmState> = available
        .into_iter()
        .filter(|vm| demand.fits(&vm.free()))
        .collect();
    let is_usable = |vm: &&VmState| {
        kept_free.binary_search(&vm.name).is_err()
            && vm.quarantined_until_ms <= state.time_ms()
            && job.failed_on.binary_search(&vm.name).is_err()
    };
    if roomy.is_empty() {
        JobExplanation::NoRoom
    } else if roomy.iter().any(is_usable) {
        JobExplanation::Next
    } else {
        JobExplanation::RoomNotUsable {
            vms: u32::try_from(roomy.len()).unwrap_or(u32::MAX),
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NothingToSay => formatter.write_str("nothing is decided about it"),
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
            Self::KeptFree(drain) => write!(
                formatter,
                "takes no new jobs, planned work takes it in about {} s",
                drain.wait_ms / 1_000
            ),
            Self::Waits(reason) => reason.fmt(formatter),
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
            Self::Budget(pool) => write!(
                formatter,
                "waits: {} VMs of its pool are available and {} must stay",
                pool.available, pool.floor
            ),
            Self::OtherZone => formatter.write_str("waits: its pool has another zone open"),
            Self::Jobs(drain) => write!(
                formatter,
                "waits: {} jobs on it have to end, in about {} s",
                drain.awaited_jobs,
                drain.wait_ms / 1_000
            ),
            Self::Turn => formatter.write_str("waits for its turn"),
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
            Self::Hopeless(reason) => write!(formatter, "can never run: {reason}"),
            Self::Quota => formatter.write_str("waits: its team's quota is used up"),
            Self::NoVmAvailable => formatter.write_str("waits: no VM of its pool is available"),
            Self::RoomNotUsable { vms } => write!(
                formatter,
                "waits: {vms} VMs with room are kept free, are quarantined or failed it"
            ),
            Self::NoRoom => formatter.write_str("waits: no VM of its pool has room"),
            Self::Next => formatter.write_str("starts next"),
        }
    }
}
