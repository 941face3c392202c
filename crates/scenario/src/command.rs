//! Commands of the scripts.

use {
    lynxwheel_protocol::{Class, VmAction, WaveGoal},
    std::str::FromStr,
};

/// Step of a script. The name of a node is the prefix of its steps: `node-1: claim vm-0 wave=os`.
#[derive(Clone, Debug, goldenscript::Command)]
pub enum Command {
    /// Adds numbered VMs to the platform, four per rack, in three zones.
    Machines {
        /// Number of VMs.
        count: u32,
    },
    /// Advances the manual clock and the state of the VMs.
    Advance {
        /// Duration, in milliseconds.
        by_ms: u64,
    },
    /// Turns a fault of the platform on or off.
    Fault {
        /// Name of the fault.
        fault: FaultName,
    },
    /// Applies the delayed appends.
    DeliverLate,
    /// Trims the log before an offset.
    Trim {
        /// Lowest offset that remains.
        before: u64,
    },
    /// Stops a VM for a time.
    FailVm {
        /// Name of the VM.
        vm: String,
        /// Time until its restart, in milliseconds; it never restarts without one.
        #[arg(key)]
        back_in_ms: Option<u64>,
    },
    /// Makes a VM unreachable while it continues to run.
    CutVm {
        /// Name of the VM.
        vm: String,
    },
    /// Stops every VM of a rack.
    FailRack {
        /// Name of the rack.
        rack: String,
    },
    /// Makes a VM announce that it will leave.
    LeaveVm {
        /// Name of the VM.
        vm: String,
    },
    /// Makes every task on a VM fail.
    FailTasks {
        /// Name of the VM.
        vm: String,
    },
    /// Shows the state of a VM in the platform.
    ShowMachine {
        /// Name of the VM.
        vm: String,
    },
    /// Starts a node from an empty state or from a stored snapshot.
    Start {
        /// Name of the snapshot.
        #[arg(key)]
        from: Option<String>,
        /// Offset of the clock of the node into the future, in milliseconds.
        #[arg(key, optional)]
        ahead_ms: u64,
        /// Highest fold version that the node supports.
        #[arg(key)]
        fold_version: Option<u32>,
    },
    /// Kills a node, which loses its state.
    Kill,
    /// Pauses a node, which keeps its state but neither reads nor sends anything.
    Freeze,
    /// Resumes a paused node without reading the log.
    Thaw,
    /// Disconnects a node from the log.
    CutLog,
    /// Reconnects a node to the log.
    MendLog,
    /// Folds all new entries of the log.
    Read,
    /// Folds the missing entries from another node.
    ReadFrom {
        /// Name of the other node.
        peer: String,
    },
    /// Stores a snapshot of the state of a node under a name.
    Snapshot {
        /// Name of the snapshot.
        name: String,
    },
    /// Reads one chunk of a stored snapshot, or all chunks.
    ReadChunk {
        /// Name of the snapshot.
        name: String,
        /// Index of the chunk.
        index: Option<usize>,
    },
    /// Corrupts a chunk of a stored snapshot.
    SpoilChunk {
        /// Name of the snapshot.
        name: String,
        /// Index of the chunk.
        index: usize,
    },
    /// Replaces the state of a node by the latest complete snapshot that it read, if not older.
    Restore,
    /// Appends again the record whose append had no response.
    Retry,
    /// Declares a pool with VMs numbered from `vm-0`, and observes them.
    Fleet {
        /// Name of the pool.
        pool: String,
        /// Number of VMs, which is also the promised size of the pool.
        #[arg(key)]
        vms: u32,
        /// VMs that must stay available.
        #[arg(key)]
        floor: u32,
        /// Maximum number of zones under maintenance at the same time.
        #[arg(key)]
        zones: Option<u32>,
    },
    /// Declares a pool.
    Pool {
        /// Name of the pool.
        name: String,
        /// Promised number of VMs.
        #[arg(key)]
        size: u32,
        /// VMs that must stay available.
        #[arg(key)]
        floor: u32,
        /// Maximum number of zones under maintenance at the same time.
        #[arg(key)]
        zones: Option<u32>,
        /// Expected current revision.
        #[arg(key)]
        if_revision: Option<u64>,
    },
    /// Declares the pool of a VM.
    Vm {
        /// Name of the VM.
        name: String,
        /// Name of the pool.
        #[arg(key)]
        pool: String,
        /// Expected current revision.
        #[arg(key)]
        if_revision: Option<u64>,
    },
    /// Declares a wave.
    Wave {
        /// Name of the wave.
        name: String,
        /// Name of the pool.
        #[arg(key)]
        pool: String,
        /// Goal of the wave.
        #[arg(key)]
        goal: Option<GoalName>,
        /// Time until its deadline, in milliseconds.
        #[arg(key)]
        deadline_in_ms: Option<u64>,
    },
    /// Declares a team.
    Team {
        /// Name of the team.
        name: String,
        /// Quota, in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
    },
    /// Declares a job.
    Job {
        /// Name of the job.
        name: String,
        /// Name of the pool.
        #[arg(key)]
        pool: String,
        /// Name of the team.
        #[arg(key)]
        team: String,
        /// Demand, in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
        /// Priority class.
        #[arg(key)]
        class: Option<ClassName>,
        /// Maximum number of attempts.
        #[arg(key)]
        max_attempts: Option<u32>,
        /// Whether the job is cancelled.
        #[arg(key, optional)]
        cancelled: bool,
    },
    /// Declares the limits on idempotency keys.
    Policy {
        /// Retention of a key, in milliseconds.
        #[arg(key)]
        key_keep_ms: u64,
        /// Maximum number of keys.
        #[arg(key)]
        key_limit: u32,
    },
    /// Reads the VM list, probes the endpoints and reports the changes.
    Observe,
    /// Reports VMs whose incarnation in the VM list is unknown to the node, without probing them.
    ObserveList,
    /// Plans claims and proposes them.
    ProposeClaims,
    /// Plans starts of jobs and proposes them.
    ProposeStarts,
    /// Plans which jobs to give up and which VMs to quarantine, and proposes it.
    ProposeVerdicts,
    /// Reviews the claims in progress, and proposes takeovers and releases.
    Review {
        /// Nodes that are assumed to be alive.
        live: Vec<String>,
    },
    /// Claims a VM for a wave or for a move to a pool.
    Claim {
        /// Name of the VM.
        vm: String,
        /// Name of the wave.
        #[arg(key)]
        wave: Option<String>,
        /// Name of the pool.
        #[arg(key)]
        pool: Option<String>,
    },
    /// Rechecks the budget before the action, with the fencing token that the node last knew.
    Begin {
        /// Name of the VM.
        vm: String,
    },
    /// Takes over a claim.
    TakeOver {
        /// Name of the VM.
        vm: String,
    },
    /// Releases a claim.
    Release {
        /// Name of the VM.
        vm: String,
    },
    /// Completes a maintenance claim.
    Done {
        /// Name of the VM.
        vm: String,
        /// Whether the action succeeded.
        #[arg(key)]
        succeeded: bool,
    },
    /// Completes a move.
    HandOver {
        /// Name of the VM.
        vm: String,
    },
    /// Requests an action from the platform, with the fencing token that the node last knew.
    Act {
        /// Name of the VM.
        vm: String,
        /// Name of the action.
        action: ActionName,
    },
    /// Starts an attempt of a job on a given VM.
    StartJob {
        /// Name of the job.
        job: String,
        /// Name of the VM.
        #[arg(key)]
        vm: String,
    },
    /// Requests the start of the attempt of a job from its worker.
    StartTask {
        /// Name of the job.
        job: String,
    },
    /// Requests a stop with a checkpoint of the attempt of a job from its worker.
    StopTask {
        /// Name of the job.
        job: String,
    },
    /// Reports the end of the attempt of a job: as its worker reports it, or as lost.
    EndJob {
        /// Name of the job.
        job: String,
        /// How the attempt ended.
        outcome: OutcomeName,
    },
    /// Gives up a job.
    GiveUp {
        /// Name of the job.
        job: String,
        /// Reason shown to operators.
        reason: String,
    },
    /// Reports the resource usage of the attempt of a job.
    Usage {
        /// Name of the job.
        job: String,
        /// Usage, in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
    },
    /// Excludes a VM from new starts of jobs.
    Quarantine {
        /// Name of the VM.
        vm: String,
        /// Duration, in milliseconds.
        #[arg(key)]
        for_ms: u64,
    },
    /// Records the intent to run a non-idempotent request.
    Intent {
        /// Idempotency key.
        key: u128,
    },
    /// Records the outcome of a non-idempotent request.
    Outcome {
        /// Idempotency key.
        key: u128,
        /// HTTP status of the response; none means that the outcome is unknown.
        #[arg(key)]
        status: Option<u16>,
    },
    /// Chooses an endpoint of a pool by the routing decision.
    Route {
        /// Name of the pool.
        pool: String,
        /// Seed that decides between equally loaded endpoints.
        #[arg(key, optional)]
        seed: u64,
    },
    /// Sends a request to the endpoint chosen last.
    Dispatch,
    /// Shows whether admission lets a request wait for a slot.
    Admit {
        /// Priority class.
        class: ClassName,
        /// Number of waiting requests.
        #[arg(key)]
        waiting: usize,
        /// Number of waiting requests that are served before it.
        #[arg(key)]
        ahead: usize,
        /// Maximum number of waiting requests.
        #[arg(key)]
        limit: usize,
        /// Number of slots that serve the queue.
        #[arg(key)]
        slots: u32,
        /// Mean service time of a request, in microseconds.
        #[arg(key)]
        mean_us: u64,
        /// Time until the deadline, in milliseconds.
        #[arg(key)]
        remaining_ms: u64,
    },
    /// Shows how the slots of an endpoint are distributed among nodes.
    DealSlots {
        /// Name of the VM of the endpoint.
        vm: String,
        /// Nodes that are assumed to be alive.
        nodes: Vec<String>,
        /// Number of slots.
        #[arg(key)]
        slots: u32,
    },
    /// Raises the version of the fold.
    RaiseVersion {
        /// New version of the fold.
        fold_version: u32,
    },
    /// Shows the state of a pool on a node.
    ShowPool {
        /// Name of the pool.
        name: String,
    },
    /// Shows the state of a VM on a node.
    ShowVm {
        /// Name of the VM.
        name: String,
    },
    /// Shows the forecast of a wave.
    ShowForecast {
        /// Name of the wave.
        name: String,
    },
    /// Shows the state of a job on a node.
    ShowJob {
        /// Name of the job.
        name: String,
    },
    /// Shows the state of an idempotency key on a node.
    ShowKey {
        /// Idempotency key.
        key: u128,
    },
    /// Shows the offset of each node.
    ShowNodes,
}

macro_rules! names {
    ($(#[$doc:meta])* $name:ident($inner:ty) { $($text:literal => $value:expr,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $name(pub(crate) $inner);

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                match text {
                    $($text => Ok(Self($value)),)+
                    _ => Err(format!("unknown name: {text}")),
                }
            }
        }
    };
}

/// Change of an injected fault of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    LoseAnswer,
    LateAppend,
    LogDown,
    LogUp,
    ListFrozen,
    ListThawed,
}

/// Reported end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum JobEnd {
    AsReported,
    Lost,
}

names! {
    /// Name of a fault.
    FaultName(Fault) {
        "lose_answer" => Fault::LoseAnswer,
        "late_append" => Fault::LateAppend,
        "log_down" => Fault::LogDown,
        "log_up" => Fault::LogUp,
        "list_frozen" => Fault::ListFrozen,
        "list_thawed" => Fault::ListThawed,
    }
}
names! {
    /// Name of the goal of a wave.
    GoalName(WaveGoal) {
        "run" => WaveGoal::Run,
        "pause" => WaveGoal::Pause,
        "abort" => WaveGoal::Abort,
    }
}
names! {
    /// Name of a priority class.
    ClassName(Class) {
        "urgent" => Class::Urgent,
        "normal" => Class::Normal,
        "batch" => Class::Batch,
    }
}
names! {
    /// Name of an action on a VM.
    ActionName(VmAction) {
        "drain" => VmAction::Drain,
        "undrain" => VmAction::Undrain,
        "reboot" => VmAction::Reboot,
    }
}
names! {
    /// Name of the end of an attempt.
    OutcomeName(JobEnd) {
        "as_reported" => JobEnd::AsReported,
        "lost" => JobEnd::Lost,
    }
}
