//! Random simulations of starts, stops and renewals, checked after each step.
//!
//! Calls to endpoints are refused, lost, executed late or answered late, and answers overtake each
//! other. Endpoints crash, in some histories start again under the id that they had, also with calls
//! on their way to them, drain, are cut off, and their registry entries expire while they live.
//! Owners are replaced while their calls are under way, in some histories across a partition in which
//! they go on, and callers cancel jobs before they submit them. In all cases endpoints stay within
//! their capacity, no task runs twice, cancelled jobs end
//! in time, and at the end each endpoint runs exactly what is wanted of it.

mod common;
#[path = "run_histories/partitions.rs"]
mod partitions;

use {
    common::{Fleet, POOL, job_id, listed, step},
    lynxwheel_engine::{
        Attempt, CallOutcome, CallerResponse, Effect, EndKind, EndedTask, EndpointEntry,
        EndpointKey, EndpointReport, Engine, EngineSettings, Event, JobSpec, JobState, LogEvent,
        Refusal, Resources, RunEnd, RunningTask, StartOrder, StepSpec, TaskRef,
    },
    partitions::OwnerFaults,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::ops::Range,
};

const SLOTS: usize = 4;

/// Slot whose capacity is reduced and raised.
const VARYING_SLOT: usize = 3;

/// Capacity of each endpoint, in thousandths of a core.
const CPU_MILLIS: u64 = 4_000;

const STEP_MS: u64 = 20;

const TICK_MS: u64 = 100;

/// Time between two random events, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 200;

/// Duration of the part with faults, in milliseconds.
const HISTORY_MS: u64 = 36_000;

/// Time after which a call without an answer counts as unknown, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;

/// Time from sending a call until it is executed, if it is late, in milliseconds.
const LATE_MS: Range<u64> = 2_000..12_000;

/// Longest time that a stop takes, in milliseconds.
const MAX_STOP_MS: u64 = 200;

/// Longest lease that an endpoint accepts, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// Time from the end of a lease until the endpoint has stopped its runs, in milliseconds.
const LAPSE_DELAY_MS: u64 = 100;

/// Time after which a member of a gang no longer waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 4_000;

/// Maximum time in which the runs of a cancelled job end, in milliseconds: 3,000 until the last
/// start or stop, and 200 for the stop itself.
const CANCELLED_WITHIN_MS: u64 = 3_200;

/// Time after the answer to a cancel from which no run of the job may start, in milliseconds.
const LAST_START_MS: u64 = 3_000;

/// Time in which all jobs end once the faults have ceased and the long-running ones are cancelled,
/// in milliseconds.
const FINISHED_WITHIN_MS: u64 = 40_000;

/// Time without faults after which bounds hold, in milliseconds.
const CALM_MS: u64 = 4_000;

/// Time in which an endpoint that was taken for ended is called again after it has shown that it is
/// alive, in milliseconds.
const CALLED_WITHIN_MS: u64 = 1_500;

/// Longest time for which an owner that is not cut off acts after its successor has taken over, in
/// milliseconds.
const FORMER_OWNER_MS: u64 = 1_000;

/// Time after which callers repeat requests without an answer, in milliseconds.
const CALLER_RETRY_MS: u64 = 1_500;

/// Time between two writes of a registry entry, in milliseconds.
const HEARTBEAT_MS: u64 = 600;

/// Maximum number of long-running jobs that are not cancelled.
const MAX_LONG_RUNNING_JOBS: usize = 2;

/// Added to the number of a job for the token of its cancel.
const CANCEL_TOKEN: u64 = 1_000_000;

/// What a run does on its endpoint.
#[derive(Clone, Copy, Debug)]
enum Work {
    /// It ends after this time in milliseconds.
    Ends(u64, EndKind),
    /// It makes no progress.
    Stalls,
    /// It lasts until it is stopped.
    Lasts,
    /// It ends this long after all members are present, in milliseconds.
    Gang(u64),
}

#[derive(Clone, Debug)]
struct ActiveRun {
    task: TaskRef,
    run: u32,
    cpu_millis: u64,
    work: Work,
    started_ms: u64,
    /// Whether a delayed call has started it anew after it was over.
    is_stray: bool,
    /// When a stop takes effect.
    stopped_ms: Option<u64>,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one incarnation"
)]
struct SimEndpoint {
    id: String,
    /// Number of the incarnation.
    incarnation: usize,
    /// Whether it states when it started, as others have its id.
    states_birth: bool,
    is_up: bool,
    began_ms: u64,
    /// How much slower its clock is, in thousandths.
    slow_permille: u64,
    checks_admission: bool,
    fence: u64,
    /// End of the lease on its own clock.
    lease_end_ms: u64,
    /// Whether a call for an earlier incarnation has extended it, which no owner can know.
    is_lease_foreign: bool,
    runs: Vec<ActiveRun>,
    /// Highest run of each task that was stopped or has ended here, sorted.
    blocked: Vec<(TaskRef, u32)>,
    ends: u64,
    ended: Vec<EndedTask>,
    cpu_millis: u64,
    is_draining: bool,
    /// When it exits, or when the next incarnation starts.
    change_ms: Option<u64>,
    /// From when and until when no call reaches it.
    cut_from_ms: u64,
    cut_until_ms: u64,
    /// First owner that is cut off from it meanwhile; previous ones still reach it.
    cut_from_epoch: u64,
    /// Until when its registry entry is missing although it is alive.
    unlisted_until_ms: u64,
    /// Until when it refuses most calls.
    unhealthy_until_ms: u64,
    heartbeat_ms: u64,
    /// Whether it has seemed to be closed although it is alive, and has not responded since. Once
    /// it drains, the owner may take it for ended, so that tasks that run there start elsewhere.
    has_seemed_closed: bool,
    /// Since when the owner should know that it is alive, although it took it for ended.
    shown_ms: Option<u64>,
    /// When a call to it last went wrong or was not sent.
    missed_ms: u64,
}

/// How endpoints start again after a crash or an exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Restarts {
    /// Under a new id.
    NewId,
    /// Under the id that they had.
    SameId,
    /// Under the id that they had, and calls for the earlier incarnation may reach the next one.
    SameIdDelayedCalls,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answered,
    AnswerLost,
    /// Delayed on its way; executed late by the incarnation that has the id then.
    Delayed,
    /// Delayed by the endpoint; executed late unless the incarnation ends before.
    Late,
    Lost,
    Refused(Refusal),
    Unsent,
}

/// Answer of an endpoint.
#[derive(Clone, Debug)]
enum Answer {
    Order(CallOutcome<u64>),
    Report(CallOutcome<EndpointReport>),
}

#[derive(Clone, Debug)]
struct Call {
    epoch: u64,
    slot: usize,
    id: String,
    /// Incarnation that has received it.
    incarnation: usize,
    /// Incarnation that had last listed its ends to the sender.
    listed_by: Option<usize>,
    key: EndpointKey,
    /// Capacity of the endpoint as the owner knew it.
    known_millis: u64,
    effect: Effect,
    fate: Fate,
    /// When it is executed or refused; `None` if it was, or never is.
    effective_ms: Option<u64>,
    /// Until when the endpoint holds a renewal for a run to end.
    held_until_ms: Option<u64>,
    /// Answer on its way back, and when it arrives.
    answer: Option<(u64, Answer)>,
    /// When the owner gives up; `None` if it has learnt the outcome.
    timeout_ms: Option<u64>,
}

/// A run that ended as done and whose end was not lost.
#[derive(Clone, Debug)]
struct DoneEnd {
    task: TaskRef,
    run: u32,
    endpoint: String,
    incarnation: usize,
    number: u64,
    is_acknowledged: bool,
    /// Whether the task was started after this end.
    is_followed: bool,
}

/// A job as its caller knows it.
#[derive(Clone, Debug)]
struct CallerJob {
    spec: JobSpec,
    /// When the submission is sent next; `None` if it is not sent again.
    submit_ms: Option<u64>,
    is_accepted: bool,
    /// When the cancel is sent next; `None` if it is not sent.
    cancel_ms: Option<u64>,
    /// When the cancel was answered.
    cancelled_ms: Option<u64>,
    /// Whether the job was unknown when it was cancelled.
    is_cancelled_before: bool,
    /// Requests and replies with their times.
    notes: Vec<(u64, String)>,
}

/// A run that is active but not wanted, or wanted but not active.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Difference {
    endpoint: String,
    task: TaskRef,
    run: u32,
    is_active: bool,
    since_ms: u64,
}

/// Something that happened to a run or to an endpoint.
#[derive(Clone, Debug)]
struct Note {
    at_ms: u64,
    endpoint: String,
    run: Option<(TaskRef, u32)>,
    text: String,
}

#[derive(Clone, Debug)]
enum RegistryChange {
    Written(Box<EndpointEntry>),
    Removed(String),
}

struct History {
    fleet: Fleet,
    epoch: u64,
    /// Previous owner and until when it acts.
    former: Option<(Engine, u64)>,
    /// Faults that cut owners off from the store; `None` if there are none.
    owner_faults: Option<OwnerFaults>,
    endpoints: Vec<SimEndpoint>,
    incarnations: usize,
    restarts: Restarts,
    /// Incarnation that has last listed its ends to an owner: owner, slot and incarnation, sorted.
    listings: Vec<(u64, usize, usize)>,
    calls: Vec<Call>,
    registry: Vec<(u64, RegistryChange)>,
    jobs: Vec<CallerJob>,
    read_replies: usize,
    done: Vec<DoneEnd>,
    /// Runs that are over by an end, a stop or their lease, sorted; no crash is enough.
    over: Vec<(TaskRef, u32)>,
    /// Gangs at work: first task, run, and since when all members are present.
    gangs: Vec<(TaskRef, u32, u64)>,
    differences: Vec<Difference>,
    notes: Vec<Note>,
    /// When the faults of the current phase end.
    phase_end_ms: u64,
    /// Share of calls that go wrong, in percent; 0 in a calm phase.
    fault_percent: u32,
    store_down_until_ms: u64,
    /// Until when the owner is suspended.
    suspended_until_ms: u64,
    last_fault_ms: u64,
    /// Whether all faults have ceased.
    is_calm: bool,
    random: ChaCha8Rng,
}

impl History {
    fn new(seed: u64, restarts: Restarts) -> Self {
        let mut fleet = Fleet::new();
        fleet.collects_calls = true;
        let mut history = Self {
            fleet,
            epoch: 1,
            former: None,
            owner_faults: None,
            endpoints: Vec::new(),
            incarnations: 0,
            restarts,
            listings: Vec::new(),
            calls: Vec::new(),
            registry: Vec::new(),
            jobs: Vec::new(),
            read_replies: 0,
            done: Vec::new(),
            over: Vec::new(),
            gangs: Vec::new(),
            differences: Vec::new(),
            notes: Vec::new(),
            phase_end_ms: 0,
            fault_percent: 0,
            store_down_until_ms: 0,
            suspended_until_ms: 0,
            last_fault_ms: 0,
            is_calm: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for slot in 0..SLOTS {
            history.endpoints.push(SimEndpoint::default());
            history.begin_incarnation(slot);
        }
        history
    }

    /// Returns whether endpoints start again under the ids that they had.
    fn keeps_ids(&self) -> bool {
        self.restarts != Restarts::NewId
    }

    /// Returns whether calls may be delayed until another incarnation has the id.
    fn delays_calls(&self) -> bool {
        self.restarts == Restarts::SameIdDelayedCalls
    }

    fn now_ms(&self) -> u64 {
        self.fleet.now.steady_ms
    }

    fn pick(&mut self, range: Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    /// Returns whether an event of a probability in percent happens.
    fn happens(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn note(&mut self, slot: usize, run: Option<(TaskRef, u32)>, text: impl Into<String>) {
        self.notes.push(Note {
            at_ms: self.now_ms(),
            endpoint: self.endpoints[slot].id.clone(),
            run,
            text: text.into(),
        });
    }

    fn record_fault(&mut self) {
        self.last_fault_ms = self.now_ms();
    }

    /// Fails, and prints what happened to a task and to an endpoint.
    fn fail(&self, check: &str, task: Option<&TaskRef>, endpoint: &str) -> ! {
        for note in &self.notes {
            let noted = note.run.map(|(task, _)| task);
            let is_of_task = task.is_some() && noted == task.copied();
            let is_of_endpoint = note.endpoint == endpoint && (noted.is_none() || task.is_none());
            if is_of_task || is_of_endpoint {
                let run = note.run.map(|(task, run)| format!(" {task} run {run}"));
                let run = run.unwrap_or_default();
                println!("{} {}{run}: {}", note.at_ms, note.endpoint, note.text);
            }
        }
        if let Some(task) = task {
            let job = &self.jobs[job_index(task)];
            for (at_ms, text) in &job.notes {
                println!("{at_ms} {text}");
            }
            println!("{:?}", self.spec_of(task));
        }
        panic!(
            "{check}: {:?} on {endpoint:?} at {}, last fault at {}",
            task.map(ToString::to_string),
            self.now_ms(),
            self.last_fault_ms
        );
    }

    fn run(&mut self) {
        let end_ms = self.now_ms() + HISTORY_MS;
        while self.now_ms() < end_ms {
            self.begin_phase_if_due();
            if self.now_ms().is_multiple_of(EVENT_INTERVAL_MS) {
                self.apply_caller_event();
                if self.fault_percent > 0 {
                    self.apply_fault();
                }
                self.begin_owner_fault();
            }
            self.pass_step();
        }
        self.recover();
    }

    /// Begins the next phase; phases with faults alternate with calm ones.
    fn begin_phase_if_due(&mut self) {
        if self.now_ms() < self.phase_end_ms {
            return;
        }
        if self.fault_percent > 0 {
            self.fault_percent = 0;
            self.phase_end_ms = self.now_ms() + self.pick(500..9_000);
        } else {
            self.fault_percent = [5, 20, 50][self.random.random_range(0..3)];
            self.phase_end_ms = self.now_ms() + self.pick(300..3_500);
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.pass_step();
        }
    }

    fn pass_step(&mut self) {
        self.fleet.now.steady_ms += STEP_MS;
        self.fleet.now.wall_ms += STEP_MS;
        self.change_endpoints();
        self.advance_runs();
        self.execute_calls();
        self.write_entries();
        if self.now_ms() < self.suspended_until_ms {
            self.record_fault();
            self.record_missed(|_| true);
            self.check_copies();
            return;
        }
        self.advance_ownership();
        self.answer_calls();
        self.deliver_registry();
        self.send_caller_requests();
        self.update_store();
        if self.now_ms().is_multiple_of(TICK_MS) {
            self.fleet.handle(Event::Tick);
        }
        self.settle();
        self.record_expired();
        self.send_calls();
        self.let_former_owner_act();
        self.read_replies();
        self.check();
    }

    /// Delays the batch in flight while the store is down.
    fn update_store(&mut self) {
        let is_down = self.now_ms() < self.store_down_until_ms;
        if is_down && !self.fleet.is_store_down {
            let batch = self.fleet.engine.take_batch(self.fleet.now);
            self.fleet.put_in_flight(batch);
        }
        self.fleet.is_store_down = is_down;
        if is_down {
            self.record_fault();
        }
    }
}

/// Callers.
impl History {
    fn apply_caller_event(&mut self) {
        let active = self.endpoints.iter().map(|endpoint| endpoint.runs.len());
        let is_full = active.sum::<usize>() > 12;
        match self.random.random_range(0..12) {
            0..3 if !is_full => self.create_job(),
            3..6 => self.cancel_job(),
            6 => self.repeat_submission(),
            7 => self.change_capacity(),
            8 if self.happens(40) => self.drain(),
            _ => {}
        }
        self.cancel_surplus_job();
    }

    /// Cancels the oldest long-running job if there are too many of them for the others to run.
    fn cancel_surplus_job(&mut self) {
        let now_ms = self.now_ms();
        let mut lasting: Vec<&mut CallerJob> = self
            .jobs
            .iter_mut()
            .filter(|job| job.is_long_running() && !job.is_cancelled())
            .collect();
        if lasting.len() > MAX_LONG_RUNNING_JOBS {
            lasting[0].cancel_ms = Some(now_ms);
        }
    }

    fn create_job(&mut self) {
        let now_ms = self.now_ms();
        let mut job = CallerJob {
            spec: self.random_spec(),
            submit_ms: Some(now_ms),
            is_accepted: false,
            cancel_ms: None,
            cancelled_ms: None,
            is_cancelled_before: false,
            notes: Vec::new(),
        };
        if self.happens(10) {
            // The request is repeated by a node whose caller has given up.
            job.cancel_ms = Some(now_ms);
            job.submit_ms = Some(now_ms + self.pick(100..4_000));
        }
        self.jobs.push(job);
    }

    fn random_spec(&mut self) -> JobSpec {
        let count = self.random.random_range(1..4);
        let estimated_ms = [300, 1_000, 6_000][self.random.random_range(0..3)];
        let plain = StepSpec {
            estimated_ms,
            ..step(count)
        };
        let steps = match self.random.random_range(0..8) {
            0 => vec![StepSpec {
                long_running: true,
                ..plain
            }],
            1 => vec![
                StepSpec {
                    long_running: true,
                    target_ms: 50,
                    max_unavailable: self.random.random_range(0..2),
                    ..plain.clone()
                },
                StepSpec {
                    filler: true,
                    ..plain
                },
            ],
            2 => vec![StepSpec {
                gang: true,
                count: self.random.random_range(2..4),
                ..plain
            }],
            3 => vec![StepSpec {
                concurrent_copies: true,
                ..plain
            }],
            4 => vec![
                plain.clone(),
                StepSpec {
                    depends_on: vec![0],
                    ..plain
                },
            ],
            5 => vec![StepSpec {
                resources: Resources {
                    cpu_millis: 2_000,
                    ..plain.resources
                },
                ..plain
            }],
            _ => vec![plain],
        };
        JobSpec {
            steps,
            ..JobSpec::default()
        }
    }

    fn cancel_job(&mut self) {
        let now_ms = self.now_ms();
        if self.jobs.is_empty() {
            return;
        }
        let first = self.jobs.len().saturating_sub(8);
        let index = self.random.random_range(first..self.jobs.len());
        let job = &mut self.jobs[index];
        if !job.is_cancelled() {
            job.cancel_ms = Some(now_ms);
        }
    }

    fn repeat_submission(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let at_ms = self.now_ms() + self.pick(0..4_000);
        let first = self.jobs.len().saturating_sub(8);
        let index = self.random.random_range(first..self.jobs.len());
        self.jobs[index].submit_ms.get_or_insert(at_ms);
    }

    /// Sends submissions and cancels that are due, and repeats those without an answer.
    fn send_caller_requests(&mut self) {
        let now_ms = self.now_ms();
        for (index, number) in (0..self.jobs.len()).zip(1..) {
            let job = &mut self.jobs[index];
            if job.cancel_ms.is_some_and(|ms| ms <= now_ms) {
                job.cancel_ms = Some(now_ms + CALLER_RETRY_MS);
                job.notes.push((now_ms, "cancel".into()));
                self.fleet.handle(Event::Cancel {
                    job: job_id(number),
                    account: "".into(),
                    token: CANCEL_TOKEN + number,
                });
            }
            let job = &mut self.jobs[index];
            if job.submit_ms.is_some_and(|ms| ms <= now_ms) {
                let is_final = job.is_accepted || job.cancelled_ms.is_some();
                job.submit_ms = (!is_final).then_some(now_ms + CALLER_RETRY_MS);
                job.notes.push((now_ms, "submission".into()));
                let spec = job.spec.clone();
                self.fleet.submit_spec(number, spec);
            }
        }
    }

    fn read_replies(&mut self) {
        let now_ms = self.now_ms();
        for at in self.read_replies..self.fleet.replies.len() {
            let (token, response) = self.fleet.replies[at];
            let is_cancel = token >= CANCEL_TOKEN;
            let number = if is_cancel {
                token - CANCEL_TOKEN
            } else {
                token
            };
            let job = &mut self.jobs[usize::try_from(number).expect("few jobs") - 1];
            job.notes
                .push((now_ms, format!("{response:?} for {token}")));
            match response {
                CallerResponse::Accepted => {
                    job.is_accepted = true;
                    job.submit_ms = None;
                }
                CallerResponse::Cancelled | CallerResponse::Unknown if is_cancel => {
                    job.cancel_ms = None;
                    job.cancelled_ms.get_or_insert(now_ms);
                    job.is_cancelled_before |= response == CallerResponse::Unknown;
                }
                // A job that was cancelled before it arrived may be refused.
                _ if !is_cancel && job.is_cancelled() => job.submit_ms = None,
                CallerResponse::Overloaded { retry_after_ms, .. }
                    if !is_cancel && !job.is_accepted =>
                {
                    job.submit_ms = Some(now_ms + retry_after_ms);
                }
                other => panic!("{other:?} for token {token}"),
            }
        }
        self.read_replies = self.fleet.replies.len();
    }

    fn spec_of(&self, task: &TaskRef) -> &StepSpec {
        &self.jobs[job_index(task)].spec.steps[usize::from(task.step)]
    }
}

/// Faults and planned changes.
impl History {
    fn apply_fault(&mut self) {
        let slot = self.pick_slot();
        match self.random.random_range(0..40) {
            0..3 => self.cut(slot),
            3..6 => self.expire_entry(slot),
            6..12 => {
                self.endpoints[slot].unhealthy_until_ms = self.now_ms() + self.pick(200..1_500);
            }
            12 => self.crash(slot),
            13..17 if self.has_owner_fault() => {}
            30.. if self.delays_calls() => self.crash(slot),
            13..15 => self.take_over(),
            15 => self.store_down_until_ms = self.now_ms() + self.pick(200..1_500),
            16 => self.suspended_until_ms = self.now_ms() + self.pick(300..8_000),
            _ => {}
        }
    }

    /// Returns any slot, or more often one whose endpoint drains.
    fn pick_slot(&mut self) -> usize {
        let mut endpoints = self.endpoints.iter();
        let draining = endpoints.position(|endpoint| endpoint.is_up && endpoint.is_draining);
        match draining {
            Some(slot) if self.happens(50) => slot,
            _ => self.random.random_range(0..SLOTS),
        }
    }

    fn cut(&mut self, slot: usize) {
        let until_ms = self.now_ms() + self.pick(300..9_000);
        self.cut_between(slot, self.now_ms(), until_ms, 0);
        if self.happens(40) {
            self.expire_entry(slot);
        }
    }

    /// Cuts the owner off from an endpoint that previous owners still reach.
    fn cut_off_owner(&mut self, slot: usize) {
        let from_ms = self.now_ms() + self.pick(0..400);
        let until_ms = self.now_ms() + self.pick(1_000..12_000);
        self.cut_between(slot, from_ms, until_ms, self.epoch);
    }

    /// Cuts an endpoint off from an owner and its successors.
    fn cut_between(&mut self, slot: usize, from_ms: u64, until_ms: u64, from_epoch: u64) {
        let endpoint = &mut self.endpoints[slot];
        endpoint.cut_from_ms = from_ms;
        endpoint.cut_until_ms = until_ms;
        endpoint.cut_from_epoch = from_epoch;
        let text = format!("cut from {from_ms} until {until_ms}, from owner {from_epoch}");
        self.note(slot, None, text);
    }

    /// Removes the registry entry of a living endpoint for a while.
    fn expire_entry(&mut self, slot: usize) {
        let now_ms = self.now_ms();
        let until_ms = (now_ms + self.pick(800..4_000)).max(self.endpoints[slot].cut_until_ms);
        let endpoint = &mut self.endpoints[slot];
        if endpoint.is_up {
            endpoint.unlisted_until_ms = until_ms;
            let at_ms = now_ms + self.pick(0..900);
            let id = self.endpoints[slot].id.clone();
            self.registry.push((at_ms, RegistryChange::Removed(id)));
            self.note(slot, None, format!("unlisted until {until_ms}"));
        }
    }

    fn crash(&mut self, slot: usize) {
        if self.endpoints[slot].is_up {
            self.record_fault();
            self.end_incarnation(slot, "crashes");
        }
    }

    fn end_incarnation(&mut self, slot: usize, text: &str) {
        self.note(slot, None, text);
        for run in self.endpoints[slot].runs.clone() {
            self.note(slot, Some((run.task, run.run)), text);
            // Its owner may infer the end from the draining.
            if self.endpoints[slot].is_draining {
                self.record_over(&run.task, run.run);
            }
        }
        let at_ms = self.now_ms() + self.pick(100..2_500);
        let pause_ms = if self.delays_calls() {
            200..1_000
        } else {
            200..4_000
        };
        let next_ms = self.now_ms() + self.pick(pause_ms);
        let endpoint = &mut self.endpoints[slot];
        endpoint.is_up = false;
        endpoint.runs.clear();
        endpoint.ended.clear();
        endpoint.change_ms = Some(next_ms);
        let id = endpoint.id.clone();
        self.forget_unacknowledged(slot);
        self.registry.push((at_ms, RegistryChange::Removed(id)));
    }

    fn begin_incarnation(&mut self, slot: usize) {
        self.incarnations += 1;
        let id = if self.keeps_ids() {
            format!("i-{slot}")
        } else {
            format!("i-{}", self.incarnations)
        };
        let now_ms = self.now_ms();
        let slow_permille = self.pick(0..21);
        self.endpoints[slot] = SimEndpoint {
            id,
            incarnation: self.incarnations,
            states_birth: self.keeps_ids(),
            is_up: true,
            began_ms: now_ms,
            slow_permille,
            checks_admission: slot == 0,
            cpu_millis: CPU_MILLIS,
            ..SimEndpoint::default()
        };
        self.note(slot, None, "begins");
    }

    fn drain(&mut self) {
        let slot = self.random.random_range(0..SLOTS);
        if self.endpoints[slot].is_up && !self.endpoints[slot].is_draining {
            let exit_ms = self.now_ms() + self.pick(1_500..16_000);
            let endpoint = &mut self.endpoints[slot];
            endpoint.is_draining = true;
            endpoint.heartbeat_ms = 0;
            endpoint.change_ms = Some(exit_ms);
            if endpoint.may_count_as_ended() {
                self.forget_unacknowledged(slot);
            }
            self.note(slot, None, format!("drains until {exit_ms}"));
        }
    }

    fn change_capacity(&mut self) {
        let cpu_millis = self.pick(2..5) * 1_000;
        let endpoint = &mut self.endpoints[VARYING_SLOT];
        endpoint.cpu_millis = cpu_millis;
        endpoint.heartbeat_ms = 0;
        self.note(VARYING_SLOT, None, format!("has {cpu_millis} millicores"));
    }

    /// Replaces the owner; the previous one goes on for a while, and its calls still take effect.
    fn take_over(&mut self) {
        if self.happens(50) {
            // The last changes are stored, but the previous owner does not learn it.
            self.fleet.settle_without_cleaning();
        }
        self.replace_owner(self.now_ms() + FORMER_OWNER_MS);
        let slot = self.random.random_range(0..SLOTS);
        if self.happens(40) {
            self.cut_off_owner(slot);
        }
    }

    /// Replaces the owner by one that restores the stored records; the previous one goes on.
    fn replace_owner(&mut self, former_until_ms: u64) {
        self.record_fault();
        self.record_missed(|_| true);
        self.epoch += 1;
        let former = std::mem::replace(
            &mut self.fleet.engine,
            Engine::new(EngineSettings::default()),
        );
        self.former = Some((former, former_until_ms));
        self.fleet.is_store_down = false;
        self.store_down_until_ms = 0;
        let steady_ms = self.fleet.now.steady_ms;
        self.fleet.take_over();
        self.fleet.now.steady_ms = steady_ms;
        self.fleet.now.wall_ms = steady_ms;
        let epoch = self.epoch;
        for slot in 0..SLOTS {
            self.note(slot, None, format!("owner {epoch} takes over"));
        }
    }

    /// Lets the previous owner retry and renew; nothing that it decides is stored.
    fn let_former_owner_act(&mut self) {
        let Some((mut engine, until_ms)) = self.former.take() else {
            return;
        };
        let now = self.fleet.now;
        if now.steady_ms.is_multiple_of(TICK_MS) {
            engine.handle(Event::Tick, now);
        }
        let effects = engine.take_immediate_effects();
        let is_over = now.steady_ms >= until_ms
            || effects
                .iter()
                .any(|effect| matches!(effect, Effect::StepDown));
        for effect in effects {
            self.send_call(&engine, self.epoch - 1, effect);
        }
        if !is_over {
            self.former = Some((engine, until_ms));
        }
    }

    /// Lets endpoints exit, restart and reconnect.
    fn change_endpoints(&mut self) {
        let now_ms = self.now_ms();
        for slot in 0..SLOTS {
            let endpoint = &self.endpoints[slot];
            if endpoint.is_up
                && (self.is_cut(slot, self.epoch) || now_ms < endpoint.unlisted_until_ms)
            {
                self.record_fault();
            }
            if self.endpoints[slot]
                .change_ms
                .is_some_and(|ms| ms <= now_ms)
            {
                if self.endpoints[slot].is_up {
                    self.end_incarnation(slot, "exits");
                } else {
                    self.begin_incarnation(slot);
                }
            }
        }
    }
}

/// The registry.
impl History {
    fn write_entries(&mut self) {
        let now_ms = self.now_ms();
        for slot in 0..SLOTS {
            let is_stored = !self.is_off_store(slot);
            let endpoint = &mut self.endpoints[slot];
            if endpoint.is_up
                && is_stored
                && endpoint.heartbeat_ms <= now_ms
                && endpoint.unlisted_until_ms <= now_ms
            {
                endpoint.heartbeat_ms = now_ms + HEARTBEAT_MS;
                let entry = endpoint.entry(slot);
                let at_ms = now_ms + self.pick(0..300);
                // The registry is a log, which delivers the entries of an id in order.
                let at_ms = if self.delays_calls() || self.owner_faults.is_some() {
                    at_ms.max(self.last_entry_ms(&entry.id))
                } else {
                    at_ms
                };
                let change = RegistryChange::Written(Box::new(entry));
                self.registry.push((at_ms, change));
            }
        }
    }

    /// Returns when the last entry of an id that is on its way arrives; 0 for none.
    fn last_entry_ms(&self, id: &str) -> u64 {
        let entries = self
            .registry
            .iter()
            .filter_map(|(at_ms, change)| match change {
                RegistryChange::Written(entry) if entry.id == id => Some(*at_ms),
                _ => None,
            });
        entries.max().unwrap_or_default()
    }

    fn deliver_registry(&mut self) {
        let now_ms = self.now_ms();
        if self.owner_faults.is_some() && now_ms < self.store_down_until_ms {
            return;
        }
        let registry = std::mem::take(&mut self.registry);
        for (at_ms, change) in registry {
            if at_ms > now_ms {
                self.registry.push((at_ms, change));
                continue;
            }
            match change {
                RegistryChange::Written(entry) => {
                    self.fleet.entries.retain(|known| known.id != entry.id);
                    self.fleet.entries.push((*entry).clone());
                    let id = entry.id.clone();
                    self.fleet.handle(listed(*entry, true));
                    self.show_alive(&id);
                }
                // The next incarnation keeps the entry from expiring.
                RegistryChange::Removed(id) if self.is_restarted(&id) => {}
                RegistryChange::Removed(id) => {
                    self.fleet.entries.retain(|known| known.id != id);
                    self.fleet.handle(Event::Deregistered(id.as_str().into()));
                }
            }
        }
    }

    /// Returns whether an endpoint that keeps its id is up and writes entries.
    fn is_restarted(&self, id: &str) -> bool {
        let now_ms = self.now_ms();
        let mut endpoints = self.endpoints.iter();
        self.keeps_ids()
            && endpoints.any(|endpoint| {
                endpoint.id == id && endpoint.is_up && endpoint.unlisted_until_ms <= now_ms
            })
    }

    /// Records that the owner has learnt that an endpoint is alive.
    fn show_alive(&mut self, id: &str) {
        let known = self.fleet.engine.endpoints();
        let has_ended = known.find(id).is_some_and(|key| known.get(key).has_ended);
        let now_ms = self.now_ms();
        let mut endpoints = self.endpoints.iter_mut();
        if let Some(endpoint) = endpoints.find(|endpoint| endpoint.is_up && endpoint.id == id)
            && has_ended
        {
            endpoint.shown_ms.get_or_insert(now_ms);
        }
    }
}

/// Calls to endpoints.
impl History {
    /// Sends the calls that the owner has ordered.
    fn send_calls(&mut self) {
        let orders = std::mem::take(&mut self.fleet.orders);
        let engine = std::mem::replace(
            &mut self.fleet.engine,
            Engine::new(EngineSettings::default()),
        );
        for effect in orders {
            assert!(!matches!(effect, Effect::StepDown), "the owner steps down");
            self.send_call(&engine, self.epoch, effect);
        }
        self.fleet.engine = engine;
    }

    fn send_call(&mut self, engine: &Engine, epoch: u64, effect: Effect) {
        let (key, wait_ms) = match &effect {
            Effect::Start(order) => (order.endpoint, 0),
            Effect::Stop { endpoint, .. } | Effect::Pace { endpoint, .. } => (*endpoint, 0),
            Effect::Renew {
                endpoint, wait_ms, ..
            } => (*endpoint, *wait_ms),
            _ => return,
        };
        let now_ms = self.now_ms();
        let endpoint = engine.endpoints().get(key);
        let slot = usize::from(endpoint.address().port() - 9_000);
        let id = endpoint.id.to_string();
        let known_millis = endpoint.capacity.cpu_millis;
        if endpoint.is_draining && matches!(effect, Effect::Start(_)) {
            self.fail("start sent to a draining endpoint", None, &id);
        }
        let mut fate = self.fate(slot, epoch, &effect);
        if fate == Fate::Unsent && matches!(effect, Effect::Renew { .. }) {
            fate = self.unconnected_renewal(slot);
        }
        if self.delays_calls() && matches!(fate, Fate::Late | Fate::Lost) && self.happens(60) {
            fate = Fate::Delayed;
        }
        if fate != Fate::Answered {
            self.record_fault();
            self.endpoints[slot].missed_ms = now_ms;
        }
        let timeout_ms = now_ms + wait_ms + CALL_TIMEOUT_MS;
        let effective_ms = match fate {
            Fate::Lost => None,
            Fate::Delayed | Fate::Late => Some(now_ms + self.pick(LATE_MS)),
            _ if self.happens(10) && self.fault_percent > 0 => {
                self.record_fault();
                Some(now_ms + self.pick(20..300))
            }
            _ => Some(now_ms + self.pick(0..40)),
        };
        if self.endpoints[slot].id == id {
            self.endpoints[slot].shown_ms = None;
        }
        let call = Call {
            epoch,
            slot,
            id,
            incarnation: self.endpoints[slot].incarnation,
            listed_by: self.listed_by(epoch, slot),
            key,
            known_millis,
            effect,
            fate,
            effective_ms,
            held_until_ms: None,
            answer: None,
            timeout_ms: Some(timeout_ms),
        };
        self.note_call(&call, &format!("{fate:?}, by {epoch}"));
        self.calls.push(call);
    }

    /// Returns the incarnation that has last listed its ends to an owner.
    fn listed_by(&self, epoch: u64, slot: usize) -> Option<usize> {
        let index = self.search_listing(epoch, slot).ok()?;
        Some(self.listings[index].2)
    }

    fn record_listing(&mut self, call: &Call) {
        let listing = (call.epoch, call.slot, call.incarnation);
        match self.search_listing(call.epoch, call.slot) {
            Ok(index) => self.listings[index] = listing,
            Err(index) => self.listings.insert(index, listing),
        }
    }

    fn search_listing(&self, epoch: u64, slot: usize) -> Result<usize, usize> {
        self.listings
            .binary_search_by_key(&(epoch, slot), |&(epoch, slot, _)| (epoch, slot))
    }

    fn note_call(&mut self, call: &Call, text: &str) {
        let run = call.run();
        let is_renewal = run.is_none();
        if is_renewal && call.fate == Fate::Answered && text != "fenced" {
            return;
        }
        self.notes.push(Note {
            at_ms: self.now_ms(),
            endpoint: call.id.clone(),
            run,
            text: format!("{} {text}", call.name()),
        });
    }

    fn fate(&mut self, slot: usize, epoch: u64, effect: &Effect) -> Fate {
        let now_ms = self.now_ms();
        let endpoint = &self.endpoints[slot];
        let is_unhealthy = now_ms < endpoint.unhealthy_until_ms;
        if self.is_parted(slot, epoch) {
            return self.parted_fate(effect);
        }
        if endpoint.is_cut(epoch, now_ms) {
            return if self.happens(50) {
                Fate::Unsent
            } else {
                Fate::Lost
            };
        }
        if is_unhealthy && self.happens(60) {
            return Fate::Refused(Refusal::Unhealthy);
        }
        if !self.happens(self.fault_percent) {
            return Fate::Answered;
        }
        match self.random.random_range(0..20) {
            0..6 => Fate::AnswerLost,
            6..11 => Fate::Late,
            11..14 => Fate::Lost,
            14..16 => Fate::Unsent,
            16 => match effect {
                Effect::Start(_) => {
                    let refusals = [Refusal::Late, Refusal::NoRoom, Refusal::Invalid];
                    Fate::Refused(refusals[self.random.random_range(0..3)])
                }
                Effect::Stop { .. } => Fate::Refused(Refusal::Invalid),
                _ => Fate::Refused(Refusal::Unhealthy),
            },
            _ => Fate::Refused(Refusal::Unhealthy),
        }
    }

    /// Returns the fate of a renewal without a connection. Unless the endpoint seems to be closed,
    /// the outcome counts as unknown.
    fn unconnected_renewal(&mut self, slot: usize) -> Fate {
        let is_draining = self.endpoints[slot].is_draining;
        if self.happens(if is_draining { 50 } else { 90 }) {
            return Fate::Lost;
        }
        let endpoint = &mut self.endpoints[slot];
        endpoint.has_seemed_closed |= endpoint.is_up;
        if endpoint.may_count_as_ended() {
            self.forget_unacknowledged(slot);
        }
        Fate::Unsent
    }

    /// Executes the calls that have reached their endpoint.
    fn execute_calls(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.calls.len() {
            if self.calls[at].effective_ms.is_some_and(|ms| ms <= now_ms) {
                self.calls[at].effective_ms = None;
                let call = self.calls[at].clone();
                if let Some(answer) = self.execute(at, &call) {
                    self.send_answer(at, answer);
                }
            } else if self.calls[at].held_until_ms.is_some() {
                self.release_renewal(at);
            }
        }
    }

    /// Executes a call; returns the answer unless the endpoint holds it.
    fn execute(&mut self, at: usize, call: &Call) -> Option<Answer> {
        let endpoint = &self.endpoints[call.slot];
        if self.is_cut(call.slot, call.epoch) && call.fate != Fate::Unsent {
            self.note_call(call, "is lost on its way");
            return None;
        }
        if call.fate == Fate::Unsent || !endpoint.is_up {
            return Some(call.answer(CallOutcome::Unsent));
        }
        if let Fate::Refused(refusal) = call.fate {
            return Some(call.answer(CallOutcome::Refused(refusal)));
        }
        if endpoint.id != call.id {
            return Some(call.answer(CallOutcome::OtherLife));
        }
        if call.fate == Fate::Late && endpoint.incarnation != call.incarnation {
            self.note_call(call, "is lost with the incarnation that delayed it");
            return None;
        }
        if endpoint.fence > call.epoch {
            self.note_call(call, "fenced");
            return Some(call.answer(CallOutcome::Fenced));
        }
        let endpoint_incarnation = endpoint.incarnation;
        self.endpoints[call.slot].fence = call.epoch;
        if call.fate.is_late() {
            let is_other = endpoint_incarnation != call.incarnation;
            let text = if is_other {
                "is executed late by another incarnation"
            } else {
                "is executed late"
            };
            self.note_call(call, text);
        }
        match &call.effect {
            Effect::Start(order) => {
                let outcome = self.start(call, order);
                Some(Answer::Order(outcome))
            }
            Effect::Stop { task, run, .. } => {
                self.stop(call.slot, task, *run);
                Some(Answer::Order(CallOutcome::Done(self.clock_ms(call.slot))))
            }
            Effect::Renew {
                deadline_ms,
                acknowledged,
                wait_ms,
                ..
            } => {
                self.extend_lease(call, deadline_ms.unwrap_or_default());
                if self.may_acknowledge(call) {
                    self.acknowledge(call.slot, *acknowledged);
                }
                self.calls[at].incarnation = self.endpoints[call.slot].incarnation;
                self.calls[at].held_until_ms = Some(self.now_ms() + wait_ms);
                self.release_renewal(at);
                None
            }
            _ => Some(Answer::Order(CallOutcome::Done(self.clock_ms(call.slot)))),
        }
    }

    /// Returns whether a renewal acknowledges ends at the incarnation that it has reached.
    ///
    /// It does so only on the connection on which they were listed, behind which the process stays
    /// the same.
    fn may_acknowledge(&self, call: &Call) -> bool {
        let incarnation = self.endpoints[call.slot].incarnation;
        !self.delays_calls() || call.listed_by == Some(incarnation)
    }

    /// Answers a held renewal once a run has ended or the time is over.
    fn release_renewal(&mut self, at: usize) {
        let call = &self.calls[at];
        let endpoint = &self.endpoints[call.slot];
        let is_over = call.held_until_ms.is_some_and(|ms| ms <= self.now_ms());
        if !endpoint.is_up || endpoint.incarnation != call.incarnation {
            self.calls[at].held_until_ms = None;
        } else if is_over || !endpoint.ended.is_empty() {
            self.calls[at].held_until_ms = None;
            let report = self.report(self.calls[at].slot);
            self.send_answer(at, Answer::Report(CallOutcome::Done(report)));
        }
    }

    fn send_answer(&mut self, at: usize, answer: Answer) {
        let Call {
            fate, slot, epoch, ..
        } = self.calls[at];
        let is_lost = fate == Fate::AnswerLost || fate.is_late();
        if is_lost || self.is_cut(slot, epoch) {
            return;
        }
        let delay_ms = if self.fault_percent > 0 && self.happens(15) {
            self.record_fault();
            self.pick(20..300)
        } else {
            self.pick(0..40)
        };
        self.calls[at].answer = Some((self.now_ms() + delay_ms, answer));
    }

    /// Delivers the answers that arrive, and gives up calls without one.
    fn answer_calls(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.calls.len() {
            let call = &mut self.calls[at];
            let Some(timeout_ms) = call.timeout_ms else {
                continue;
            };
            let is_answered = call.answer.as_ref().is_some_and(|(ms, _)| *ms <= now_ms);
            if !is_answered && timeout_ms > now_ms {
                continue;
            }
            call.timeout_ms = None;
            let answer = match call.answer.take() {
                Some((_, answer)) if is_answered => answer,
                _ => call.answer(CallOutcome::Unknown),
            };
            let call = call.clone();
            self.deliver(&call, answer);
        }
        self.calls.retain(|call| {
            call.timeout_ms.is_some() || call.effective_ms.is_some() || call.held_until_ms.is_some()
        });
    }

    /// Records that the owner has a response of an endpoint, which then no longer seems closed,
    /// unless it may have been taken for ended already.
    fn record_response(&mut self, slot: usize, id: &str) {
        let endpoint = &mut self.endpoints[slot];
        if endpoint.id == id && !endpoint.is_draining {
            endpoint.has_seemed_closed = false;
        }
    }

    fn deliver(&mut self, call: &Call, answer: Answer) {
        if let Answer::Order(outcome) = &answer {
            self.note_call(call, &format!("-> {outcome:?}"));
        }
        let is_alive = matches!(
            answer,
            Answer::Order(CallOutcome::Done(_)) | Answer::Report(CallOutcome::Done(_))
        );
        if matches!(answer, Answer::Report(CallOutcome::Done(_))) {
            self.record_listing(call);
        }
        let event = call.event(answer);
        if call.epoch == self.epoch {
            self.fleet.handle(event);
            if is_alive {
                self.record_response(call.slot, &call.id);
                self.show_alive(&call.id);
            }
        } else if let Some((engine, _)) = &mut self.former
            && call.epoch + 1 == self.epoch
        {
            engine.handle(event, self.fleet.now);
        }
    }
}

/// Endpoints.
impl History {
    fn clock_ms(&self, slot: usize) -> u64 {
        self.endpoints[slot].clock_ms(self.now_ms())
    }

    fn extend_lease(&mut self, call: &Call, deadline_ms: u64) {
        let clock_ms = self.clock_ms(call.slot);
        let endpoint = &mut self.endpoints[call.slot];
        let deadline_ms = if endpoint.states_birth {
            deadline_ms.min(clock_ms + MAX_LEASE_MS)
        } else {
            deadline_ms
        };
        endpoint.is_lease_foreign |= call.fate == Fate::Delayed
            && call.incarnation != endpoint.incarnation
            && deadline_ms > endpoint.lease_end_ms;
        endpoint.lease_end_ms = endpoint.lease_end_ms.max(deadline_ms);
    }

    fn acknowledge(&mut self, slot: usize, number: u64) {
        let endpoint = &mut self.endpoints[slot];
        endpoint.ended.retain(|ended| ended.number > number);
        let incarnation = endpoint.incarnation;
        let done = self.done.iter_mut();
        for done in done.filter(|done| done.incarnation == incarnation && done.number <= number) {
            done.is_acknowledged = true;
        }
        let mut done = self.done.iter();
        if let Some(done) = done.find(|done| done.is_acknowledged && done.is_followed) {
            self.fail(
                "started after it was done",
                Some(&done.task),
                &done.endpoint,
            );
        }
    }

    fn start(&mut self, call: &Call, order: &StartOrder) -> CallOutcome<u64> {
        let &StartOrder {
            task,
            run,
            deadline_ms,
            ..
        } = order;
        let (slot, now_ms) = (call.slot, self.now_ms());
        let clock_ms = self.clock_ms(slot);
        if deadline_ms < clock_ms {
            return CallOutcome::Refused(Refusal::Late);
        }
        self.extend_lease(call, deadline_ms);
        let cpu_millis = match self.spec_of(&task) {
            spec if spec.filler => 0,
            spec => spec.resources.cpu_millis,
        };
        let endpoint = &self.endpoints[slot];
        let is_active = |known: &ActiveRun| known.task == task && known.run == run;
        if endpoint.runs.iter().any(is_active) {
            return CallOutcome::Done(clock_ms);
        }
        if endpoint.is_blocked(&task, run) {
            return CallOutcome::Refused(Refusal::OldRun);
        }
        let is_full = endpoint.used_millis() + cpu_millis > endpoint.cpu_millis;
        if is_full && endpoint.checks_admission {
            return CallOutcome::Refused(Refusal::NoRoom);
        }
        let work = self.random_work(&task);
        let is_stray = self.is_stray(call, &task, run);
        self.endpoints[slot].runs.push(ActiveRun {
            task,
            run,
            cpu_millis,
            work,
            started_ms: now_ms,
            is_stray,
            stopped_ms: None,
        });
        self.note(slot, Some((task, run)), format!("starts: {work:?}"));
        if call.fate.is_late() {
            self.record_fault();
        }
        if !is_stray {
            self.check_start(call, &task);
        }
        CallOutcome::Done(clock_ms)
    }

    /// Returns whether a call starts a run that is over, or that a former owner has not passed on: the
    /// endpoint that would have refused it has started again.
    fn is_stray(&self, call: &Call, task: &TaskRef, run: u32) -> bool {
        let is_over = self.over.binary_search(&(*task, run)).is_ok();
        let is_delayed =
            call.fate == Fate::Delayed && call.incarnation != self.endpoints[call.slot].incarnation;
        let is_unknown = call.epoch < self.epoch && self.attempt(task, run).is_none();
        (is_delayed && is_over) || (self.delays_calls() && is_unknown)
    }

    fn random_work(&mut self, task: &TaskRef) -> Work {
        let spec = self.spec_of(task);
        let (is_gang, lasts, estimated_ms) = (spec.gang, spec.long_running, spec.estimated_ms);
        let duration_ms = self.pick(estimated_ms / 2..estimated_ms + 200);
        if is_gang {
            return Work::Gang(duration_ms);
        }
        if lasts {
            return Work::Lasts;
        }
        match self.random.random_range(0..20) {
            0 if !self.is_calm => Work::Ends(duration_ms, EndKind::Failed),
            1 if !self.is_calm => Work::Stalls,
            _ => Work::Ends(duration_ms, EndKind::Done),
        }
    }

    /// Stops a run; one that is not there can no longer start.
    fn stop(&mut self, slot: usize, task: &TaskRef, run: u32) {
        let stopped_ms = self.now_ms() + self.pick(0..MAX_STOP_MS);
        self.record_over(task, run);
        let endpoint = &mut self.endpoints[slot];
        endpoint.block(task, run);
        let mut runs = endpoint.runs.iter_mut();
        if let Some(active) = runs.find(|known| known.task == *task && known.run == run) {
            active.stopped_ms.get_or_insert(stopped_ms);
        }
    }

    fn record_over(&mut self, task: &TaskRef, run: u32) {
        if let Err(index) = self.over.binary_search(&(*task, run)) {
            self.over.insert(index, (*task, run));
        }
    }

    /// Records the runs that the owner has given up as their leases have expired.
    fn record_expired(&mut self) {
        for event in self.fleet.engine.take_log_events() {
            if let LogEvent::RunEnded {
                task,
                run,
                end: RunEnd::LeaseOver,
                ..
            } = event
            {
                self.record_over(&task, run);
                self.forgive_foreign_lease(&task, run);
            }
        }
    }

    /// Exempts a run, given up by its owner, of which only a lease by a delayed call for an earlier
    /// incarnation was left.
    fn forgive_foreign_lease(&mut self, task: &TaskRef, run: u32) {
        let endpoints = self.endpoints.iter_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.is_lease_foreign) {
            let incarnation = endpoint.incarnation;
            self.done.retain(|done| {
                (done.task, done.run, done.incarnation) != (*task, run, incarnation)
            });
            let mut runs = endpoint.runs.iter_mut();
            if let Some(active) = runs.find(|active| active.task == *task && active.run == run) {
                active.is_stray = true;
            }
        }
    }

    fn report(&self, slot: usize) -> EndpointReport {
        let endpoint = &self.endpoints[slot];
        let now_ms = self.now_ms();
        let running = endpoint.runs.iter().map(|active| RunningTask {
            task: active.task,
            run: active.run,
            checkpoint: "".into(),
            percent: active.percent(now_ms),
            usage: Some(now_ms / 1_000 % 10 * 10),
        });
        EndpointReport {
            clock_ms: self.clock_ms(slot),
            running: running.collect(),
            ended: endpoint.ended.clone(),
            is_partial: false,
            born_ms: endpoint.born_ms(),
        }
    }

    /// Ends runs whose work is done, whose stop takes effect or whose lease has expired.
    fn advance_runs(&mut self) {
        let now_ms = self.now_ms();
        for slot in 0..SLOTS {
            let endpoint = &self.endpoints[slot];
            let is_lapsed = endpoint.is_up
                && endpoint.clock_ms(now_ms) > endpoint.lease_end_ms + LAPSE_DELAY_MS;
            if is_lapsed {
                self.lapse(slot);
                continue;
            }
            for active in self.endpoints[slot].runs.clone() {
                let age_ms = now_ms - active.started_ms;
                let kind = match active.work {
                    _ if active.stopped_ms.is_some() => {
                        let is_over = active.stopped_ms.is_some_and(|ms| ms <= now_ms);
                        is_over.then_some(EndKind::Stopped)
                    }
                    Work::Ends(after_ms, kind) => (age_ms >= after_ms).then_some(kind),
                    _ => None,
                };
                if let Some(kind) = kind {
                    self.end_run(slot, &active, kind);
                }
            }
        }
        self.advance_gangs();
    }

    fn lapse(&mut self, slot: usize) {
        self.check_lapse(slot);
        for active in self.endpoints[slot].runs.clone() {
            self.end_run(slot, &active, EndKind::Lapsed);
        }
        self.forget_unacknowledged(slot);
    }

    /// Forgets the ends as done that an endpoint did not get acknowledged, as they do not bind the
    /// owner any more.
    fn forget_unacknowledged(&mut self, slot: usize) {
        let incarnation = self.endpoints[slot].incarnation;
        self.done
            .retain(|done| done.is_acknowledged || done.incarnation != incarnation);
    }

    fn end_run(&mut self, slot: usize, active: &ActiveRun, kind: EndKind) {
        let ActiveRun { task, run, .. } = *active;
        self.record_over(&task, run);
        let is_finite = !self.spec_of(&task).long_running;
        let endpoint = &mut self.endpoints[slot];
        endpoint
            .runs
            .retain(|known| (known.task, known.run) != (task, run));
        endpoint.block(&task, run);
        endpoint.ends += 1;
        endpoint.ended.push(EndedTask {
            number: endpoint.ends,
            task,
            run,
            kind,
            checkpoint: "".into(),
        });
        if kind == EndKind::Done && is_finite && !active.is_stray && !endpoint.may_count_as_ended()
        {
            self.done.push(DoneEnd {
                task,
                run,
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                number: endpoint.ends,
                is_acknowledged: false,
                is_followed: false,
            });
        }
        self.note(slot, Some((task, run)), format!("ends: {kind:?}"));
    }

    /// Lets gangs begin, end, or break.
    fn advance_gangs(&mut self) {
        let now_ms = self.now_ms();
        let mut members: Vec<(TaskRef, u32, usize, ActiveRun)> = Vec::new();
        for (slot, endpoint) in self.endpoints.iter().enumerate() {
            for active in &endpoint.runs {
                if matches!(active.work, Work::Gang(_)) {
                    let first = TaskRef {
                        index: 0,
                        ..active.task
                    };
                    members.push((first, active.run, slot, active.clone()));
                }
            }
        }
        members
            .sort_unstable_by_key(|(first, run, slot, active)| (*first, *run, active.task, *slot));
        for gang in members.chunk_by(|one, other| (one.0, one.1) == (other.0, other.1)) {
            self.advance_gang(gang, now_ms);
        }
    }

    fn advance_gang(&mut self, gang: &[(TaskRef, u32, usize, ActiveRun)], now_ms: u64) {
        let (first, run, ..) = gang[0];
        let is_complete = gang.len() == usize::from(self.spec_of(&first).count)
            && gang.iter().all(|(.., active)| active.stopped_ms.is_none());
        let known = self
            .gangs
            .iter()
            .find(|known| (known.0, known.1) == (first, run));
        let kind = match (known.map(|known| known.2), is_complete) {
            (None, true) => {
                self.gangs.push((first, run, now_ms));
                return;
            }
            (Some(since_ms), true) => match gang[0].3.work {
                Work::Gang(after_ms) if now_ms >= since_ms + after_ms => EndKind::Done,
                _ => return,
            },
            (Some(_), false) => EndKind::Broken,
            (None, false) => EndKind::Alone,
        };
        for (_, _, slot, active) in gang {
            let is_waiting = kind == EndKind::Alone && now_ms < active.started_ms + GANG_TIMEOUT_MS;
            if active.stopped_ms.is_none() && !is_waiting {
                self.end_run(*slot, active, kind);
            }
        }
    }
}

/// Checks.
impl History {
    /// Checks the start of a run that has just happened.
    fn check_start(&mut self, call: &Call, task: &TaskRef) {
        let now_ms = self.now_ms();
        let endpoint = &self.endpoints[call.slot];
        let is_filler = self.spec_of(task).filler;
        let known_millis = endpoint.cpu_millis.max(call.known_millis);
        if !is_filler && endpoint.expected_millis() > known_millis {
            self.fail("above the capacity", Some(task), &call.id);
        }
        let is_late = call.fate.is_late();
        let job = &self.jobs[job_index(task)];
        if !is_late
            && job
                .cancelled_ms
                .is_some_and(|ms| now_ms > ms + LAST_START_MS)
        {
            let check = if job.is_cancelled_before {
                "started although cancelled before its submission"
            } else {
                "started after its cancel"
            };
            self.fail(check, Some(task), &call.id);
        }
        if self.spec_of(task).concurrent_copies {
            return;
        }
        for done in self.done.iter_mut().filter(|done| done.task == *task) {
            done.is_followed = true;
        }
        let mut done = self.done.iter();
        if done.any(|done| done.task == *task && done.is_acknowledged) {
            self.fail("started after it was done", Some(task), &call.id);
        }
    }

    fn check(&mut self) {
        self.check_copies();
        self.check_cancelled();
        self.check_called();
        self.check_differences();
        for (job, number) in self.jobs.iter().zip(1..) {
            let is_owed = job.is_accepted && !job.is_cancelled();
            let is_known = !is_owed || self.fleet.job_state(number).is_some();
            assert!(is_known, "forgotten: job {number}");
        }
    }

    /// No task has two active runs.
    fn check_copies(&self) {
        let endpoints = self.endpoints.iter();
        let judged = endpoints.filter(|endpoint| !endpoint.may_count_as_ended());
        let runs = judged.flat_map(|endpoint| {
            let expected = endpoint.runs.iter().filter(|run| !run.is_stray);
            expected.map(move |run| (run.task, &endpoint.id))
        });
        let mut running: Vec<(TaskRef, &String)> = runs.collect();
        running.sort_unstable();
        for pair in running.windows(2) {
            let (task, endpoint) = pair[0];
            if task == pair[1].0 && !self.spec_of(&task).concurrent_copies {
                self.fail("two runs", Some(&task), endpoint);
            }
        }
    }

    /// The runs of cancelled jobs end in time.
    fn check_cancelled(&self) {
        let now_ms = self.now_ms();
        if now_ms < self.last_fault_ms + CALM_MS {
            return;
        }
        for endpoint in &self.endpoints {
            for active in &endpoint.runs {
                let job = &self.jobs[job_index(&active.task)];
                let cancelled_ms = job.cancelled_ms;
                if cancelled_ms.is_some_and(|ms| now_ms >= ms + CANCELLED_WITHIN_MS) {
                    let check = if job.is_cancelled_before {
                        "active although cancelled before its submission"
                    } else {
                        "active after its cancel"
                    };
                    self.fail(check, Some(&active.task), &endpoint.id);
                }
            }
        }
    }

    /// An endpoint that is alive is called again although it was taken for ended.
    fn check_called(&mut self) {
        let now_ms = self.now_ms();
        for slot in 0..SLOTS {
            let endpoint = &self.endpoints[slot];
            let known = self.fleet.engine.endpoints();
            let has_ended = known
                .find(&endpoint.id)
                .is_some_and(|key| known.get(key).has_ended);
            if !has_ended || !endpoint.is_up {
                self.endpoints[slot].shown_ms = None;
            } else if endpoint
                .shown_ms
                .is_some_and(|ms| now_ms > ms + CALLED_WITHIN_MS)
            {
                self.fail("alive but not called", None, &endpoint.id);
            }
        }
    }

    /// Each endpoint runs what is wanted of it.
    fn check_differences(&mut self) {
        let mut current = self.current_differences();
        for difference in &mut current {
            let known = self.differences.iter().find(|known| {
                (
                    known.task,
                    known.run,
                    known.is_active,
                    known.endpoint.as_str(),
                ) == (
                    difference.task,
                    difference.run,
                    difference.is_active,
                    difference.endpoint.as_str(),
                )
            });
            difference.since_ms = known.map_or(difference.since_ms, |known| known.since_ms);
        }
        self.differences = current;
        let now_ms = self.now_ms();
        if now_ms < self.last_fault_ms + CALM_MS {
            return;
        }
        let mut differences = self.differences.iter();
        if let Some(difference) =
            differences.find(|known| now_ms > known.since_ms + CANCELLED_WITHIN_MS)
        {
            let check = if difference.is_active {
                "active but not wanted"
            } else {
                "wanted but not active"
            };
            self.fail(check, Some(&difference.task), &difference.endpoint);
        }
    }

    fn current_differences(&self) -> Vec<Difference> {
        let mut differences = Vec::new();
        let known = self.fleet.engine.endpoints();
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.is_up) {
            let Some(key) = known.find(&endpoint.id) else {
                continue;
            };
            let difference = |task: TaskRef, run: u32, is_active: bool| Difference {
                endpoint: endpoint.id.clone(),
                task,
                run,
                is_active,
                since_ms: self.now_ms(),
            };
            for active in &endpoint.runs {
                let attempt = self.attempt(&active.task, active.run);
                let is_wanted = attempt.is_some_and(|attempt| {
                    let is_stopped = attempt.is_stopping() && !self.may_wait(&active.task);
                    attempt.endpoint == key && !is_stopped
                });
                if !is_wanted {
                    differences.push(difference(active.task, active.run, true));
                }
            }
            for placed in &known.get(key).placed_runs {
                if !endpoint.has_run(&placed.task, placed.run) {
                    differences.push(difference(placed.task, placed.run, false));
                }
            }
        }
        differences
    }

    /// Returns whether the stop of a run may wait for other tasks of its step.
    fn may_wait(&self, task: &TaskRef) -> bool {
        let is_cancelled = self.jobs[job_index(task)].cancelled_ms.is_some();
        self.spec_of(task).max_unavailable > 0 && !is_cancelled
    }

    fn attempt(&self, task: &TaskRef, run: u32) -> Option<&Attempt> {
        let mut jobs = self.fleet.engine.jobs();
        let job = jobs.find(|job| job.id == task.job)?;
        let mut attempts = job.task(task)?.attempts.iter();
        attempts.find(|attempt| attempt.run == run)
    }
}

/// The end of all faults.
impl History {
    fn recover(&mut self) {
        self.end_faults();
        while self.calls.iter().any(|call| call.fate.is_late()) {
            self.pass(200);
        }
        self.pass(CALM_MS + CANCELLED_WITHIN_MS);
        self.cancel_jobs(CallerJob::is_long_running);
        let end_ms = self.now_ms() + FINISHED_WITHIN_MS;
        while !self.unfinished_jobs().is_empty() {
            assert!(
                self.now_ms() < end_ms,
                "unfinished: {:?}",
                self.unfinished_jobs()
            );
            self.pass(500);
        }
        self.cancel_jobs(|_| true);
        self.pass(CANCELLED_WITHIN_MS + CALLER_RETRY_MS);
        self.check_empty();
        self.fill();
    }

    /// Ends all faults; calls that are late are still executed.
    fn end_faults(&mut self) {
        self.is_calm = true;
        self.fault_percent = 0;
        self.phase_end_ms = u64::MAX;
        let now_ms = self.now_ms();
        self.store_down_until_ms = 0;
        self.suspended_until_ms = 0;
        for endpoint in &mut self.endpoints {
            endpoint.cut_until_ms = 0;
            endpoint.unhealthy_until_ms = 0;
            endpoint.unlisted_until_ms = endpoint.unlisted_until_ms.min(now_ms + 1_000);
            for active in &mut endpoint.runs {
                if matches!(active.work, Work::Stalls) {
                    active.work = Work::Ends(0, EndKind::Done);
                }
            }
        }
    }

    fn unfinished_jobs(&self) -> Vec<(u64, Option<JobState>)> {
        let jobs = self.jobs.iter().zip(1..);
        let unfinished = jobs.filter_map(|(job, number)| {
            let state = self.fleet.job_state(number);
            let is_finished = job.is_cancelled() || state.is_some_and(JobState::is_final);
            (!is_finished).then_some((number, state))
        });
        unfinished.collect()
    }

    fn cancel_jobs(&mut self, is_chosen: impl Fn(&CallerJob) -> bool) {
        let now_ms = self.now_ms();
        for job in &mut self.jobs {
            if !job.is_cancelled() && is_chosen(job) {
                job.cancel_ms = Some(now_ms);
            }
        }
    }

    /// No run is active and no room is reserved.
    fn check_empty(&self) {
        for endpoint in &self.endpoints {
            if let Some(active) = endpoint.runs.first() {
                self.fail("active at the end", Some(&active.task), &endpoint.id);
            }
        }
        for (_, endpoint) in self.fleet.engine.endpoints().iter() {
            if let Some(placed) = endpoint.placed_runs.first() {
                self.fail("reserved at the end", Some(&placed.task), &endpoint.id);
            }
        }
    }

    /// Every endpoint is in use, up to its capacity.
    fn fill(&mut self) {
        while self.endpoints.iter().any(|one| one.change_ms.is_some()) {
            self.pass(200);
        }
        let cores = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.cpu_millis / 1_000);
        let count = u16::try_from(cores.sum::<u64>()).expect("few cores");
        let spec = JobSpec {
            steps: vec![StepSpec {
                long_running: true,
                ..step(count)
            }],
            ..JobSpec::default()
        };
        self.jobs.push(CallerJob {
            spec,
            submit_ms: Some(self.now_ms()),
            is_accepted: false,
            cancel_ms: None,
            cancelled_ms: None,
            is_cancelled_before: false,
            notes: Vec::new(),
        });
        self.pass(2_000);
        for endpoint in &self.endpoints {
            if endpoint.used_millis() != endpoint.cpu_millis {
                self.fail("not in use at the end", None, &endpoint.id);
            }
        }
    }
}

impl Fate {
    fn is_late(self) -> bool {
        matches!(self, Self::Delayed | Self::Late)
    }
}

impl CallerJob {
    fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether its caller has cancelled it or is about to.
    fn is_cancelled(&self) -> bool {
        self.cancel_ms.is_some() || self.cancelled_ms.is_some()
    }
}

impl SimEndpoint {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        let passed_ms = now_ms - self.began_ms;
        7_000 + passed_ms * (1_000 - self.slow_permille) / 1_000
    }

    fn born_ms(&self) -> Option<u64> {
        self.states_birth.then_some(self.began_ms)
    }

    /// Returns whether the calls of an owner do not reach it.
    fn is_cut(&self, epoch: u64, now_ms: u64) -> bool {
        let is_in_time = self.cut_from_ms <= now_ms && now_ms < self.cut_until_ms;
        is_in_time && epoch >= self.cut_from_epoch
    }

    /// Returns whether the owner may take it for ended although it is alive.
    fn may_count_as_ended(&self) -> bool {
        self.has_seemed_closed && self.is_draining
    }

    fn used_millis(&self) -> u64 {
        self.runs.iter().map(|active| active.cpu_millis).sum()
    }

    /// Returns the use by runs that the owner can know of.
    fn expected_millis(&self) -> u64 {
        let expected = self.runs.iter().filter(|active| !active.is_stray);
        expected.map(|active| active.cpu_millis).sum()
    }

    fn has_run(&self, task: &TaskRef, run: u32) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|active| active.task == *task && active.run == run)
    }

    fn is_blocked(&self, task: &TaskRef, run: u32) -> bool {
        let index = self.blocked.binary_search_by_key(task, |(known, _)| *known);
        index.is_ok_and(|index| run <= self.blocked[index].1)
    }

    fn block(&mut self, task: &TaskRef, run: u32) {
        match self.blocked.binary_search_by_key(task, |(known, _)| *known) {
            Ok(index) => self.blocked[index].1 = self.blocked[index].1.max(run),
            Err(index) => self.blocked.insert(index, (*task, run)),
        }
    }

    fn entry(&self, slot: usize) -> EndpointEntry {
        let port = 9_000 + u16::try_from(slot).expect("few slots");
        EndpointEntry {
            id: self.id.as_str().into(),
            born_ms: self.born_ms(),
            address: ([127, 0, 0, 1], port).into(),
            pool: POOL.into(),
            zone: "zone-1".into(),
            capacity: Resources {
                cpu_millis: self.cpu_millis,
                memory_mb: 64_000,
                gpus: 0,
            },
            labels: vec!["a".into(), "r1".into()],
            is_draining: self.is_draining,
            remaining_ms: None,
            vm: Some(format!("vm-{slot}").into()),
        }
    }
}

impl ActiveRun {
    fn percent(&self, now_ms: u64) -> u32 {
        let percent = match self.work {
            Work::Ends(after_ms, _) => (now_ms - self.started_ms) * 100 / after_ms.max(1),
            Work::Stalls | Work::Gang(_) => 30,
            Work::Lasts => 100,
        };
        u32::try_from(percent.min(100)).expect("at most 100")
    }
}

impl Call {
    fn run(&self) -> Option<(TaskRef, u32)> {
        match &self.effect {
            Effect::Start(order) => Some((order.task, order.run)),
            Effect::Stop { task, run, .. } | Effect::Pace { task, run, .. } => Some((*task, *run)),
            _ => None,
        }
    }

    fn name(&self) -> &'static str {
        match &self.effect {
            Effect::Start(_) => "start",
            Effect::Stop { .. } => "stop",
            Effect::Pace { .. } => "pace",
            _ => "renewal",
        }
    }

    /// Returns the answer of this call for an outcome without a result.
    fn answer(&self, outcome: CallOutcome<u64>) -> Answer {
        if !matches!(self.effect, Effect::Renew { .. }) {
            return Answer::Order(outcome);
        }
        Answer::Report(match outcome {
            CallOutcome::Done(_) | CallOutcome::Unknown => CallOutcome::Unknown,
            CallOutcome::OtherLife => CallOutcome::OtherLife,
            CallOutcome::Fenced => CallOutcome::Fenced,
            CallOutcome::Refused(refusal) => CallOutcome::Refused(refusal),
            CallOutcome::Unsent => CallOutcome::Unsent,
        })
    }

    fn event(&self, answer: Answer) -> Event {
        let endpoint = self.key;
        match (&self.effect, answer) {
            (_, Answer::Report(outcome)) => Event::Renewed { endpoint, outcome },
            (Effect::Start(order), Answer::Order(outcome)) => Event::Started {
                endpoint,
                task: order.task,
                run: order.run,
                outcome,
            },
            (Effect::Stop { task, run, .. }, Answer::Order(outcome)) => Event::Stopped {
                endpoint,
                task: *task,
                run: *run,
                outcome,
            },
            (
                Effect::Pace {
                    task, run, percent, ..
                },
                Answer::Order(outcome),
            ) => Event::Paced {
                endpoint,
                task: *task,
                run: *run,
                percent: *percent,
                is_done: matches!(outcome, CallOutcome::Done(_)),
            },
            (effect, answer) => unreachable!("{answer:?} to {effect:?}"),
        }
    }
}

/// Returns the index of a task's job.
fn job_index(task: &TaskRef) -> usize {
    let number = usize::from_str_radix(task.job.as_str(), 16).expect("hexadecimal digits");
    number - 1
}

macro_rules! histories {
    ($new:expr; $($(#[$line:meta])* $name:ident: $seeds:expr;)*) => {
        $($(#[$line])* #[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                $new(seed).run();
            }
        })*
    };
}

histories! {
    |seed| History::new(seed, Restarts::NewId);
    first_seeds: 0..16;
    further_seeds: 1_000..1_012;
    /// Guards against a run of a cancelled job that goes on after its stop was refused.
    refused_stop_of_a_cancelled_job: [2];
    /// Guards against a run that goes on although nobody wants it, as its stop was refused.
    refused_stop_of_an_unwanted_run: [46];
    /// Guards against a second run of a task while an unanswered start, whose stop was refused, may
    /// still take effect.
    late_start_after_a_refused_stop: [216];
    /// Guards against a job that starts although it was cancelled before its submission.
    cancelled_before_its_submission: [1];
    /// Guards against such a job at an owner that did not answer the cancel.
    cancelled_at_the_previous_owner: [0];
    /// Guards against an endpoint that is never called again after it seemed to be closed.
    draining_endpoint_that_seemed_closed: [262];
    /// Guards against a start that is repeated at a draining endpoint.
    unanswered_start_on_a_draining_endpoint: [50];
    /// Guards against a start that is repeated after the capacity of its endpoint was reduced.
    unanswered_start_without_room: [89];
    /// Guards against a lease that the previous owner granted after the takeover.
    lease_of_the_previous_owner: [330];
    /// Guards against a start that takes effect after a later call with it was refused.
    late_start_after_its_refusal: [19];
    /// Guards against an acknowledged end of a task that the next owner does not know.
    acknowledged_before_it_is_stored: [2];
    /// Guards against starts that are all refused as late after a report was processed late.
    reading_of_the_clock_processed_late: [2_718];
}

histories! {
    |seed| History::new(seed, Restarts::SameId);
    /// Guards against taking an endpoint that has started again under its id for the incarnation that
    /// it was.
    endpoints_that_keep_their_ids: 0..16;
}

histories! {
    |seed| History::new(seed, Restarts::SameIdDelayedCalls);
    /// Guards against calls for an earlier incarnation that the next one executes.
    delayed_calls: 0..16;
    /// Guards against a second run of a task by a delayed try of its start.
    delayed_start_beside_another_run: [99, 251, 392];
    /// Guards against a start of a task that is done, as a delayed try of its start has ended.
    delayed_start_that_ends: [357, 461];
    /// Guards against a run of a cancelled job that a delayed call starts on an idle endpoint.
    delayed_start_of_a_cancelled_job: [28, 524];
    /// Guards against such a run of a task that runs elsewhere.
    delayed_start_of_an_unwanted_run: [1_232];
    /// Guards against a start beyond a capacity that is reduced just after a restart.
    capacity_reduced_after_a_restart: [6_438, 19_147];
    /// Guards against a late start beyond a capacity that was raised and reduced since it was sent.
    capacity_changed_before_a_late_start: [22_192];
}

histories! {
    History::with_partitions;
    /// Guards against leases that a former owner extends beside its successor, for as long as it is cut
    /// off with an endpoint.
    partitions_and_outages: 0..40;
    /// Guards against a second run beside one whose lease such an owner extends.
    second_run_across_a_partition: [27, 212];
    /// Guards against a run after a done end that such an owner has kept from expiring.
    run_after_a_done_end_across_a_partition: [7, 63];
    /// Guards against a start of a cancelled job by such an owner, long after the cancel.
    start_across_a_partition_after_a_cancel: [366, 575];
    /// Guards against leases that expire during an outage of the store of 6 s.
    work_lapses_in_an_outage: [441, 1_471];
}
