//! Commands of the test language.

use {
    lynxwheel_protocol::{Class, VmAction, WaveGoal},
    std::str::FromStr,
};

/// One step of a story. Steps of a node carry its name as prefix: `node-1: claim vm-0 wave=os`.
#[derive(Clone, Debug, goldenscript::Command)]
pub enum Command {
    /// Adds numbered VMs to the platform, four to a rack, in three zones.
    Machines {
        /// How many.
        count: u32,
    },
    /// Advances the manual clock and the machines' time, in milliseconds.
    Advance {
        /// By how much, in milliseconds.
        by_ms: u64,
    },
    /// Turns a fault of the platform on or off.
    Fault {
        /// Fault.
        fault: FaultName,
    },
    /// Lets the appends that were held back take effect.
    DeliverLate,
    /// Drops the log's entries before an offset.
    Trim {
        /// Lowest offset that is kept.
        before: u64,
    },
    /// Stops a VM for a time.
    FailVm {
        /// VM.
        vm: String,
        /// When it is back, in milliseconds.
        #[arg(key)]
        back_in_ms: Option<u64>,
    },
    /// Cuts a VM off: it works on, but nobody reaches it.
    CutVm {
        /// VM.
        vm: String,
    },
    /// Stops every VM of a rack.
    FailRack {
        /// Rack.
        rack: String,
    },
    /// Makes a VM announce that it goes.
    LeaveVm {
        /// VM.
        vm: String,
    },
    /// Makes every task on a VM fail.
    FailTasks {
        /// VM.
        vm: String,
    },
    /// Tells what happened to a VM on the platform.
    ShowMachine {
        /// VM.
        vm: String,
    },
    /// Starts a node, from nothing or from a kept snapshot.
    Start {
        /// Snapshot.
        #[arg(key)]
        from: Option<String>,
        /// How far the node's clock is ahead, in milliseconds.
        #[arg(key, optional)]
        ahead_ms: u64,
        /// Highest fold version that it knows.
        #[arg(key)]
        fold_version: Option<u32>,
    },
    /// Ends a node with everything it knows.
    Kill,
    /// Stops a node for a while; it neither reads nor speaks but keeps what it believes.
    Freeze,
    /// Lets a frozen node go on, without reading first.
    Thaw,
    /// Cuts a node from the log.
    CutLog,
    /// Ends the cut from the log.
    MendLog,
    /// Reads and folds the log to its end.
    Read,
    /// Takes the entries that it misses from another node.
    ReadFrom {
        /// Other node.
        peer: String,
    },
    /// Keeps a snapshot of the node's state under a name.
    Snapshot {
        /// Name.
        name: String,
    },
    /// Reads one chunk of a kept snapshot, or all of them.
    ReadChunk {
        /// Name.
        name: String,
        /// Position of the chunk.
        index: Option<usize>,
    },
    /// Changes a byte of a kept snapshot's chunk.
    SpoilChunk {
        /// Name.
        name: String,
        /// Position of the chunk.
        index: usize,
    },
    /// Replaces the node's state by the latest whole snapshot read, if that is no step back.
    Restore,
    /// Sends the last record again, whose append had no answer.
    Retry,
    /// Declares a pool with the VMs from vm-0 on, and observes them.
    Fleet {
        /// Pool.
        pool: String,
        /// VMs, which are the promised size too.
        #[arg(key)]
        vms: u32,
        /// VMs that must stay available.
        #[arg(key)]
        floor: u32,
        /// Zones at once.
        #[arg(key)]
        zones: Option<u32>,
    },
    /// Declares a pool.
    Pool {
        /// Name.
        name: String,
        /// Promised VMs.
        #[arg(key)]
        size: u32,
        /// VMs that must stay available.
        #[arg(key)]
        floor: u32,
        /// Zones at once.
        #[arg(key)]
        zones: Option<u32>,
        /// Revision expected.
        #[arg(key)]
        if_revision: Option<u64>,
    },
    /// Declares a VM's pool.
    Vm {
        /// VM.
        name: String,
        /// Pool.
        #[arg(key)]
        pool: String,
        /// Revision expected.
        #[arg(key)]
        if_revision: Option<u64>,
    },
    /// Declares a wave.
    Wave {
        /// Name.
        name: String,
        /// Pool.
        #[arg(key)]
        pool: String,
        /// Goal.
        #[arg(key)]
        goal: Option<GoalName>,
        /// When it should be complete, in milliseconds.
        #[arg(key)]
        deadline_in_ms: Option<u64>,
    },
    /// Declares a team.
    Team {
        /// Name.
        name: String,
        /// Quota in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
    },
    /// Declares a job.
    Job {
        /// Name.
        name: String,
        /// Pool.
        #[arg(key)]
        pool: String,
        /// Team.
        #[arg(key)]
        team: String,
        /// Demand in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
        /// Importance.
        #[arg(key)]
        class: Option<ClassName>,
        /// Starts at most.
        #[arg(key)]
        max_attempts: Option<u32>,
        /// Whether it is to be cancelled.
        #[arg(key, optional)]
        cancelled: bool,
    },
    /// Declares the customer's limits on idempotency keys.
    Policy {
        /// How long a key is kept, in milliseconds.
        #[arg(key)]
        key_keep_ms: u64,
        /// Keys at most.
        #[arg(key)]
        key_limit: u32,
    },
    /// Looks at the VM list and the endpoints and reports what is new.
    Observe,
    /// Reports what the VM list shows in lives that the node does not know, without a probe.
    ObserveList,
    /// Asks the real planner for claims and proposes them.
    ProposeClaims,
    /// Asks the real planner for starts and proposes them.
    ProposeStarts,
    /// Asks for jobs to give up and VMs to quarantine, and proposes them.
    ProposeVerdicts,
    /// Reviews the claims under way, with the nodes that it takes to be alive, and proposes.
    Review {
        /// Nodes.
        live: Vec<String>,
    },
    /// Claims a VM for a wave or for a move to a pool.
    Claim {
        /// VM.
        vm: String,
        /// Wave.
        #[arg(key)]
        wave: Option<String>,
        /// Pool.
        #[arg(key)]
        pool: Option<String>,
    },
    /// Rechecks the budget before the action, under the fencing number the node believes in.
    Begin {
        /// VM.
        vm: String,
    },
    /// Takes a claim over.
    TakeOver {
        /// VM.
        vm: String,
    },
    /// Gives a claim back.
    Release {
        /// VM.
        vm: String,
    },
    /// Completes a maintenance claim.
    Done {
        /// VM.
        vm: String,
        /// Whether the action succeeded.
        #[arg(key)]
        succeeded: bool,
    },
    /// Completes a move.
    HandOver {
        /// VM.
        vm: String,
    },
    /// Asks the platform for an action, under the fencing number the node believes in.
    Act {
        /// VM.
        vm: String,
        /// Action.
        action: ActionName,
    },
    /// Places an attempt of a job by hand.
    StartJob {
        /// Job.
        job: String,
        /// VM.
        #[arg(key)]
        vm: String,
    },
    /// Asks the worker of a job's attempt to start it.
    StartTask {
        /// Job.
        job: String,
    },
    /// Asks the worker of a job's attempt to stop it with its progress kept.
    StopTask {
        /// Job.
        job: String,
    },
    /// Reports how a job's attempt ended: by the worker's word, or that its VM is lost.
    EndJob {
        /// Job.
        job: String,
        /// Outcome.
        outcome: OutcomeName,
    },
    /// Gives a job up.
    GiveUp {
        /// Job.
        job: String,
        /// Reason.
        reason: String,
    },
    /// Reports what a job's attempt uses.
    Usage {
        /// Job.
        job: String,
        /// Use in thousandths of a core.
        #[arg(key)]
        cores_milli: u32,
    },
    /// Keeps jobs off a VM.
    Quarantine {
        /// VM.
        vm: String,
        /// For how long, in milliseconds.
        #[arg(key)]
        for_ms: u64,
    },
    /// Announces a non-idempotent request.
    Intent {
        /// Key.
        key: u128,
    },
    /// Tells how a non-idempotent request ended.
    Outcome {
        /// Key.
        key: u128,
        /// Status; none means that nobody knows.
        #[arg(key)]
        status: Option<u16>,
    },
    /// Chooses an endpoint of a pool by the real routing decision.
    Route {
        /// Pool.
        pool: String,
        /// Spreads equal choices.
        #[arg(key, optional)]
        seed: u64,
    },
    /// Hands a request to the endpoint chosen last.
    Dispatch,
    /// Asks the real admission whether a request may wait for a slot.
    Admit {
        /// Class.
        class: ClassName,
        /// Requests that wait.
        #[arg(key)]
        waiting: usize,
        /// Requests that wait and are served before it.
        #[arg(key)]
        ahead: usize,
        /// Requests that may wait at most.
        #[arg(key)]
        limit: usize,
        /// Slots that serve the queue.
        #[arg(key)]
        slots: u32,
        /// Mean time of a request, in microseconds.
        #[arg(key)]
        mean_us: u64,
        /// Time until the deadline, in milliseconds.
        #[arg(key)]
        remaining_ms: u64,
    },
    /// Deals the slots of an endpoint out to nodes.
    DealSlots {
        /// VM of the endpoint.
        vm: String,
        /// Nodes that are taken to be alive.
        nodes: Vec<String>,
        /// Slots.
        #[arg(key)]
        slots: u32,
    },
    /// Raises the fold's version.
    RaiseVersion {
        /// Version.
        fold_version: u32,
    },
    /// Shows a pool as the node sees it.
    ShowPool {
        /// Pool.
        name: String,
    },
    /// Shows a VM as the node sees it.
    ShowVm {
        /// VM.
        name: String,
    },
    /// Shows the forecast of a wave.
    ShowForecast {
        /// Wave.
        name: String,
    },
    /// Shows a job as the node sees it.
    ShowJob {
        /// Job.
        name: String,
    },
    /// Shows an idempotency key as the node sees it.
    ShowKey {
        /// Key.
        key: u128,
    },
    /// Shows each node's offset, and whether those at the same offset agree.
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
                    _ => Err(format!("no such name: {text}")),
                }
            }
        }
    };
}

/// Fault of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    LoseAnswer,
    LateAppend,
    LogDown,
    LogUp,
    ListFrozen,
    ListThawed,
}

/// How an attempt ended.
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
    /// Name of a wave's goal.
    GoalName(WaveGoal) {
        "run" => WaveGoal::Run,
        "pause" => WaveGoal::Pause,
        "abort" => WaveGoal::Abort,
    }
}
names! {
    /// Name of a class.
    ClassName(Class) {
        "urgent" => Class::Urgent,
        "normal" => Class::Normal,
        "batch" => Class::Batch,
    }
}
names! {
    /// Name of an action.
    ActionName(VmAction) {
        "drain" => VmAction::Drain,
        "undrain" => VmAction::Undrain,
        "reboot" => VmAction::Reboot,
    }
}
names! {
    /// Name of an attempt's end.
    OutcomeName(JobEnd) {
        "as_reported" => JobEnd::AsReported,
        "lost" => JobEnd::Lost,
    }
}
