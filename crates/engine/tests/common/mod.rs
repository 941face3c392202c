//! Test harness: a store, endpoints and a manual clock around an engine.
#![allow(dead_code, reason = "each test file uses a part")]

use lynxwheel_engine::{
    Batch, CallOutcome, CallerResponse, ClientAccount, ClientAccounts, Effect, EndKind, EndedTask,
    EndpointEntry, EndpointReport, Engine, EngineSettings, Event, FleetConfig, JobId, JobSpec,
    JobState, KeyDigest, Now, Pool, Queue, Record, Refusal, Resources, RunningTask, StartOrder,
    StepSpec, TaskRef, UnreadCause, VmEntry, VmOutcome, VmState,
};

/// Start of the clock in milliseconds, which is far from zero as on a real system.
const START_MS: u64 = 5_000_000;

/// Name of the only pool with work.
pub const POOL: &str = "maps";

/// Returns the monotonic clock of every endpoint, which is slow by some percent.
fn clock_ms(now: Now, slow_percent: u64) -> u64 {
    let passed_ms = now.steady_ms - START_MS;
    START_MS / 2 + passed_ms * (100 - slow_percent) / 100
}

/// Returns the id of the job with a number.
pub fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

/// Returns the queue used by all tests.
pub fn queue() -> Queue {
    Queue {
        host: "maps.example".into(),
        path_prefix: "/maps/".into(),
        pool: POOL.into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_latency_ms: 600,
        advised: false,
        is_public: true,
    }
}

/// Returns a step whose tasks take one core for a second.
pub fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu_millis: 1_000,
            memory_mb: 100,
            gpus: 0,
        },
        estimated_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns an account with a quota in cores; 0 means unlimited.
pub fn account(name: &str, cores: u64) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        keys: vec![KeyDigest::new(name.as_bytes())],
        weight: 1.0,
        quota: Resources {
            cpu_millis: cores * 1_000,
            ..Resources::default()
        },
    }
}

/// Simulated endpoint.
#[derive(Clone, Debug, Default)]
pub struct FakeEndpoint {
    pub id: String,
    pub running: Vec<(TaskRef, u32)>,
    pub ended: Vec<EndedTask>,
    pub fence: u64,
    pub is_unresponsive: bool,
    /// Executes orders, but the answers are lost.
    pub loses_answers: bool,
    /// Start of the incarnation; `None` if each one has an id of its own.
    pub born_ms: Option<u64>,
    /// Ends each run as done when it starts.
    pub ends_at_once: bool,
    /// Refuses the calls for which this returns a reason, and does nothing for them.
    pub refuses: Option<fn(&Effect) -> Option<Refusal>>,
    /// Number of ended runs.
    pub ends: u64,
    /// End of the lease on the endpoint's clock.
    pub lease_until_ms: u64,
    /// Tasks whose ends were not acknowledged before the lease expired, so that they may run again.
    pub exempt: Vec<TaskRef>,
    /// Reported progress of every run; `None` means 100.
    pub percent: Option<u32>,
    /// Reported usage of every run, which is the tail latency of a serving one.
    pub usage: Option<u64>,
    /// Speeds other than full speed, in percent.
    pub paces: Vec<(TaskRef, u32, u8)>,
    pub started: Vec<(TaskRef, u32)>,
}

/// Returns the event for a registry entry.
pub fn listed(entry: EndpointEntry, is_fresh: bool) -> Event {
    Event::Registered {
        entry: Box::new(entry),
        is_fresh,
    }
}

/// Returns a pool without admission checks.
pub fn pool(name: &str, is_standby: bool) -> Pool {
    Pool {
        name: name.into(),
        is_standby,
        checks_admission: false,
    }
}

/// Returns a VM of 16 cores that is switched off.
pub fn standby_vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        pool: "spare".into(),
        state: VmState::Up,
        zone: "zone-1".into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mb: 64_000,
            gpus: 0,
        },
        endpoint: "".into(),
    }
}

/// Returns a list with one VM.
pub fn vms_with(name: &str, endpoint: &str) -> Vec<VmEntry> {
    vec![VmEntry {
        name: name.into(),
        pool: POOL.into(),
        state: VmState::Up,
        zone: "zone-1".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        endpoint: endpoint.into(),
    }]
}

/// An engine with its simulated environment.
pub struct Fleet {
    pub engine: Engine,
    pub stored: Vec<Record>,
    pub endpoints: Vec<FakeEndpoint>,
    pub entries: Vec<EndpointEntry>,
    pub replies: Vec<(u64, CallerResponse)>,
    pub orders: Vec<Effect>,
    pub now: Now,
    pub is_store_down: bool,
    /// By how much the clocks of endpoints are slow, in percent.
    pub slow_clock_percent: u64,
    /// Number of batches with records that were stored.
    pub stored_batches: usize,
    pub version: u64,
    pub accounts: Vec<ClientAccount>,
    pub pools: Vec<Pool>,
    /// Whether calls to endpoints are only added to `orders`, for the test to deliver.
    pub collects_calls: bool,
    /// Renewals held by endpoints: due time, endpoint, acknowledged end.
    waiting: Vec<(u64, u32, u64)>,
    in_flight: Option<Batch>,
}

impl Fleet {
    pub fn new() -> Self {
        let now = Now {
            steady_ms: START_MS,
            wall_ms: START_MS,
        };
        let mut fleet = Self {
            engine: Engine::new(EngineSettings::default()),
            stored: Vec::new(),
            endpoints: Vec::new(),
            entries: Vec::new(),
            replies: Vec::new(),
            orders: Vec::new(),
            now,
            is_store_down: false,
            slow_clock_percent: 0,
            stored_batches: 0,
            version: 1,
            accounts: Vec::new(),
            pools: vec![pool(POOL, false), pool("spare", true)],
            collects_calls: false,
            waiting: Vec::new(),
            in_flight: None,
        };
        fleet.configure();
        fleet
    }

    fn configure(&mut self) {
        let config = FleetConfig {
            version: self.version,
            queues: vec![queue()],
            pools: self.pools.clone(),
            accounts: ClientAccounts::new(self.accounts.clone()),
            ..FleetConfig::default()
        };
        self.handle(Event::ConfigChanged(config.into()));
    }

    /// Applies a new configuration with these accounts.
    pub fn configure_accounts(&mut self, accounts: &[ClientAccount]) {
        self.version += 1;
        self.accounts = accounts.to_vec();
        self.configure();
    }

    /// Returns the cores in use on all endpoints by jobs that satisfy `is_counted`.
    pub fn running_cores(&self, is_counted: impl Fn(JobId) -> bool) -> usize {
        let running = self.endpoints.iter().flat_map(|endpoint| &endpoint.running);
        running.filter(|(task, _)| is_counted(task.job)).count()
    }

    /// Returns the reading of every endpoint's monotonic clock.
    pub fn clock_ms(&self) -> u64 {
        clock_ms(self.now, self.slow_clock_percent)
    }

    pub fn handle(&mut self, event: Event) {
        self.engine.handle(event, self.now);
    }

    /// Delivers a list of VMs that was requested just now.
    pub fn list_vms(&mut self, vms: Vec<VmEntry>) {
        let requested_ms = self.now.steady_ms;
        self.handle(Event::VmsListed { vms, requested_ms });
    }

    /// Answers the latest call with an order for a VM.
    pub fn answer_vm_order(&mut self, vm: &str, outcome: VmOutcome) {
        let latest = self.orders.iter().rev().find_map(|order| match order {
            Effect::MoveVm {
                vm: known, call, ..
            }
            | Effect::MaintainVm {
                vm: known, call, ..
            } if known == vm => Some(*call),
            _ => None,
        });
        self.answer_vm_call(vm, latest.expect("an order"), outcome);
    }

    /// Answers a call with an order for a VM.
    pub fn answer_vm_call(&mut self, vm: &str, call: u64, outcome: VmOutcome) {
        let vm = vm.into();
        self.handle(Event::VmOrderAnswered { vm, call, outcome });
    }

    pub fn list_endpoint(&mut self, id: &str, cpu_millis: u64) {
        self.add_endpoint(None, id, POOL, cpu_millis);
    }

    /// Lists an endpoint on a VM.
    pub fn list_endpoint_on(&mut self, vm: &str, id: &str, pool: &str, cpu_millis: u64) {
        self.add_endpoint(Some(vm), id, pool, cpu_millis);
    }

    fn add_endpoint(&mut self, vm: Option<&str>, id: &str, pool: &str, cpu_millis: u64) {
        let port = 9_000 + u16::try_from(self.endpoints.len()).expect("few endpoints");
        let entry = EndpointEntry {
            born_ms: None,
            id: id.into(),
            address: ([127, 0, 0, 1], port).into(),
            pool: pool.into(),
            zone: "zone-1".into(),
            capacity: Resources {
                cpu_millis,
                memory_mb: 64_000,
                gpus: 0,
            },
            labels: vec!["a".into(), format!("rack-{id}").into()],
            is_draining: false,
            remaining_ms: None,
            vm: vm.map(Into::into),
        };
        self.endpoints.push(FakeEndpoint {
            id: id.into(),
            ..FakeEndpoint::default()
        });
        self.entries.push(entry.clone());
        self.handle(listed(entry, true));
    }

    /// Ends the incarnation of an endpoint with its runs; the VM is silent until it restarts.
    pub fn crash(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.running.clear();
        endpoint.ended.clear();
        endpoint.is_unresponsive = true;
    }

    /// Replaces the incarnation of an endpoint by a new one at the same address.
    pub fn restart(&mut self, index: usize) {
        let known = &mut self.endpoints[index];
        let started = std::mem::take(&mut known.started);
        let id = format!("{}+", known.id);
        *known = FakeEndpoint {
            id: id.clone(),
            started,
            ..FakeEndpoint::default()
        };
        let entry = &mut self.entries[index];
        entry.id = id.into();
        entry.is_draining = false;
        let entry = entry.clone();
        self.handle(listed(entry, true));
        self.settle();
    }

    /// Lists an endpoint that states when it started.
    pub fn list_born_endpoint(&mut self, id: &str, cpu_millis: u64) {
        let born_ms = Some(self.now.wall_ms);
        self.list_endpoint(id, cpu_millis);
        let endpoint = self.endpoints.last_mut().expect("a listed endpoint");
        endpoint.born_ms = born_ms;
        let entry = self.entries.last_mut().expect("a listed endpoint");
        entry.born_ms = born_ms;
        let entry = entry.clone();
        self.handle(listed(entry, true));
    }

    /// Replaces the incarnation of an endpoint by a new one with the same id, which has not written
    /// its entry yet.
    pub fn restart_with_id(&mut self, index: usize) {
        let known = &mut self.endpoints[index];
        *known = FakeEndpoint {
            id: known.id.clone(),
            born_ms: Some(self.now.wall_ms),
            started: std::mem::take(&mut known.started),
            ..FakeEndpoint::default()
        };
        let entry = &mut self.entries[index];
        entry.born_ms = known.born_ms;
        entry.is_draining = false;
    }

    /// Delivers the registry entry of an endpoint.
    pub fn list_again(&mut self, index: usize) {
        let entry = self.entries[index].clone();
        self.handle(listed(entry, true));
    }

    /// Changes the capacity in the registry entry of an endpoint.
    pub fn set_cpu_millis(&mut self, index: usize, cpu_millis: u64) {
        self.entries[index].capacity.cpu_millis = cpu_millis;
        let entry = self.entries[index].clone();
        self.handle(listed(entry, true));
    }

    pub fn submit(&mut self, number: u64, tasks: u16) {
        let spec = JobSpec {
            steps: vec![step(tasks)],
            ..JobSpec::default()
        };
        self.submit_spec(number, spec);
    }

    pub fn submit_spec(&mut self, number: u64, spec: JobSpec) {
        self.submit_to(queue(), number, spec);
    }

    pub fn submit_to(&mut self, queue: Queue, number: u64, spec: JobSpec) {
        self.submit_for("", queue, number, spec);
    }

    /// Submits a job with one step for an account.
    pub fn submit_as(&mut self, account: &str, number: u64, step: StepSpec) {
        let spec = JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        };
        self.submit_for(account, queue(), number, spec);
    }

    pub fn submit_for(&mut self, account: &str, queue: Queue, number: u64, spec: JobSpec) {
        self.handle(Event::Submit {
            job: job_id(number),
            queue,
            spec: Box::new(spec),
            account: account.into(),
            origin: None,
            token: number,
        });
    }

    pub fn job_state(&self, number: u64) -> Option<JobState> {
        self.engine.job_state(job_id(number))
    }

    /// Advances the clock in ticks of 100 ms.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now.steady_ms += 100;
            self.now.wall_ms += 100;
            let clock_ms = self.clock_ms();
            for endpoint in &mut self.endpoints {
                endpoint.lapse(clock_ms);
            }
            self.handle(Event::Tick);
            self.settle();
        }
    }

    /// Executes effects and stores batches until nothing changes.
    pub fn settle(&mut self) {
        while self.turn() {}
    }

    /// Stores one batch, the one in flight if there is one, and discards the effects that it
    /// releases.
    pub fn settle_without_cleaning(&mut self) {
        let in_flight = self.in_flight.take();
        let batch = in_flight.unwrap_or_else(|| self.engine.take_batch(self.now));
        self.store(&batch);
        drop(self.engine.committed(batch, self.now));
    }

    fn turn(&mut self) -> bool {
        self.answer_renewals();
        let mut effects = self.engine.take_immediate_effects();
        if !self.is_store_down {
            let batch = match self.in_flight.take() {
                Some(batch) => batch,
                None => self.engine.take_batch(self.now),
            };
            let has_records = !batch.records.is_empty();
            self.stored_batches += usize::from(has_records);
            self.store(&batch);
            effects.extend(self.engine.committed(batch, self.now));
            effects.extend(self.engine.take_immediate_effects());
            if effects.is_empty() && !has_records {
                return false;
            }
        }
        let is_busy = !effects.is_empty();
        for effect in effects {
            self.carry_out(effect);
        }
        is_busy || !self.is_store_down
    }

    /// Makes a batch taken by the test the next one to be stored.
    pub fn put_in_flight(&mut self, batch: Batch) {
        self.in_flight = Some(batch);
    }

    /// Stores the batch in flight, of which the owner does not learn.
    pub fn store_in_flight(&mut self) {
        if let Some(batch) = self.in_flight.take() {
            self.store(&batch);
        }
    }

    fn store(&mut self, batch: &Batch) {
        for record in &batch.records {
            self.stored.retain(|known| known.key != record.key);
            if !record.value.is_empty() {
                self.stored.push(record.clone());
            }
        }
    }

    /// Returns whether the incarnation no longer exists.
    fn has_ended(&self, key: u32) -> bool {
        let id = &self.engine.endpoints().get(key).id;
        !self.endpoints.iter().any(|endpoint| endpoint.id == *id)
    }

    fn endpoint(&mut self, key: u32) -> &mut FakeEndpoint {
        let id = self.engine.endpoints().get(key).id.to_string();
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.id == id)
            .expect("a listed endpoint")
    }

    /// Sends an order to an endpoint and returns the outcome that the caller observes.
    fn order(
        &mut self,
        key: u32,
        refusal: Option<Refusal>,
        act: impl FnOnce(&mut FakeEndpoint),
    ) -> CallOutcome<u64> {
        if self.has_ended(key) {
            return CallOutcome::OtherLife;
        }
        let endpoint = self.endpoint(key);
        if endpoint.is_unresponsive {
            return CallOutcome::Unknown;
        }
        if let Some(refusal) = refusal {
            return CallOutcome::Refused(refusal);
        }
        act(endpoint);
        if endpoint.loses_answers {
            return CallOutcome::Unknown;
        }
        CallOutcome::Done(self.clock_ms())
    }

    /// Returns why an endpoint refuses a call, if it does.
    fn refusal(&mut self, key: u32, call: &Effect) -> Option<Refusal> {
        if self.has_ended(key) {
            return None;
        }
        self.endpoint(key).refuses.and_then(|refuses| refuses(call))
    }

    fn carry_out(&mut self, effect: Effect) {
        if let Effect::Reply { token, response } = effect {
            self.orders.push(effect);
            return self.replies.push((token, response));
        }
        self.orders.push(effect.clone());
        if self.collects_calls {
            return;
        }
        let refusal = match &effect {
            Effect::Start(order) => self.refusal(order.endpoint, &effect),
            Effect::Stop { endpoint, .. }
            | Effect::Renew { endpoint, .. }
            | Effect::Pace { endpoint, .. } => self.refusal(*endpoint, &effect),
            _ => None,
        };
        match effect {
            Effect::Start(order) => {
                let StartOrder {
                    endpoint: key,
                    task,
                    run,
                    deadline_ms,
                    ..
                } = *order;
                let outcome = self.order(key, refusal, |endpoint| {
                    endpoint.lease_until_ms = endpoint.lease_until_ms.max(deadline_ms);
                    if !endpoint.running.contains(&(task, run)) {
                        endpoint.running.push((task, run));
                        endpoint.started.push((task, run));
                        if endpoint.ends_at_once {
                            endpoint.end(&task, run, EndKind::Done);
                        }
                    }
                });
                self.handle(Event::Started {
                    endpoint: key,
                    task,
                    run,
                    outcome,
                });
            }
            Effect::Stop {
                endpoint: key,
                task,
                run,
            } => {
                let outcome = self.order(key, refusal, |endpoint| {
                    endpoint.end(&task, run, EndKind::Stopped);
                });
                self.handle(Event::Stopped {
                    endpoint: key,
                    task,
                    run,
                    outcome,
                });
            }
            Effect::Renew {
                endpoint,
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                if let Some(refusal) = refusal {
                    return self.handle(Event::Renewed {
                        endpoint,
                        outcome: CallOutcome::Refused(refusal),
                    });
                }
                if !self.has_ended(endpoint) {
                    let fake = self.endpoint(endpoint);
                    if !fake.is_unresponsive {
                        let until_ms = deadline_ms.unwrap_or_default();
                        fake.lease_until_ms = fake.lease_until_ms.max(until_ms);
                    }
                }
                let due_ms = self.now.steady_ms + wait_ms;
                self.waiting.push((due_ms, endpoint, acknowledged));
            }
            Effect::Pace {
                endpoint,
                task,
                run,
                percent,
            } => {
                let outcome = self.order(endpoint, refusal, |fake| {
                    fake.set_pace(&task, run, percent);
                });
                self.handle(Event::Paced {
                    endpoint,
                    task,
                    run,
                    percent,
                    is_done: matches!(outcome, CallOutcome::Done(_)),
                });
            }
            _ => {}
        }
    }

    /// Answers renewals that are due, and those whose endpoint has an ended run to report.
    fn answer_renewals(&mut self) {
        let clock_ms = self.clock_ms();
        for (due_ms, key, acknowledged) in std::mem::take(&mut self.waiting) {
            let now_ms = self.now.steady_ms;
            if self.has_ended(key) {
                self.handle(Event::Renewed {
                    endpoint: key,
                    outcome: CallOutcome::Unknown,
                });
                continue;
            }
            let endpoint = self.endpoint(key);
            endpoint.ended.retain(|ended| ended.number > acknowledged);
            if due_ms > now_ms && endpoint.ended.is_empty() && !endpoint.is_unresponsive {
                self.waiting.push((due_ms, key, acknowledged));
            } else {
                let endpoint = self.endpoint(key);
                let outcome = if endpoint.is_unresponsive {
                    CallOutcome::Unknown
                } else {
                    endpoint.ended.retain(|ended| ended.number > acknowledged);
                    CallOutcome::Done(endpoint.report(clock_ms))
                };
                self.handle(Event::Renewed {
                    endpoint: key,
                    outcome,
                });
            }
        }
    }

    /// Ends every run as done.
    pub fn end_all_done(&mut self) {
        self.end_all(EndKind::Done);
    }

    /// Ends every run and answers the renewals.
    pub fn end_all(&mut self, kind: EndKind) {
        for endpoint in &mut self.endpoints {
            for (task, run) in endpoint.running.clone() {
                endpoint.end(&task, run, kind);
            }
        }
        self.answer_renewals();
    }

    /// Replaces the owner by one that restores its state from the stored records.
    pub fn take_over(&mut self) {
        assert_eq!(self.take_over_incomplete(), []);
    }

    /// Replaces the owner like [`Self::take_over`], and returns why records were not used.
    pub fn take_over_incomplete(&mut self) -> Vec<UnreadCause> {
        self.in_flight = None;
        self.waiting.clear();
        self.now.steady_ms += 10;
        self.now.wall_ms += 10;
        let mut engine = Engine::new(EngineSettings::default());
        let unread = engine.restore(&self.stored, self.now);
        let causes = unread.iter().map(|record| record.cause).collect();
        self.engine = engine;
        self.configure();
        for entry in self.entries.clone() {
            self.handle(listed(entry, false));
        }
        causes
    }

    /// Returns the ordered VM moves as pairs of VM and pool, in order.
    pub fn moves(&self) -> Vec<(&str, &str)> {
        let moves = self.orders.iter().filter_map(|order| match order {
            Effect::MoveVm { vm, pool, .. } => Some((vm.as_str(), pool.as_str())),
            _ => None,
        });
        moves.collect()
    }

    /// Returns the number of starts of a task on all endpoints.
    pub fn starts(&self, task: &str) -> usize {
        let task: TaskRef = task.parse().expect("a task's name");
        self.endpoints
            .iter()
            .flat_map(|endpoint| &endpoint.started)
            .filter(|(started, _)| *started == task)
            .count()
    }
}

impl FakeEndpoint {
    /// Ends all runs if the lease has expired.
    fn lapse(&mut self, clock_ms: u64) {
        if self.lease_until_ms == 0 || clock_ms <= self.lease_until_ms {
            return;
        }
        let done = self.ended.iter().map(|ended| ended.task);
        self.exempt.extend(done);
        for (task, run) in self.running.clone() {
            self.end(&task, run, EndKind::Lapsed);
        }
    }

    fn report(&self, clock_ms: u64) -> EndpointReport {
        EndpointReport {
            clock_ms,
            running: self
                .running
                .iter()
                .map(|(task, run)| RunningTask {
                    task: *task,
                    run: *run,
                    checkpoint: "".into(),
                    percent: self.percent.unwrap_or(100),
                    usage: self.usage,
                })
                .collect(),
            ended: self.ended.clone(),
            is_partial: false,
            born_ms: self.born_ms,
        }
    }

    /// Returns the speed of a run, in percent.
    pub fn pace(&self, task: &TaskRef, run: u32) -> u8 {
        let mut paces = self.paces.iter();
        let pace = paces.find(|(known, known_run, _)| known == task && *known_run == run);
        pace.map_or(100, |(_, _, percent)| *percent)
    }

    /// Sets the speed of a run; does nothing if it is not active.
    pub fn set_pace(&mut self, task: &TaskRef, run: u32, percent: u8) {
        if self.running.contains(&(*task, run)) {
            self.paces
                .retain(|(known, known_run, _)| known != task || *known_run != run);
            self.paces.push((*task, run, percent));
        }
    }

    pub fn end(&mut self, task: &TaskRef, run: u32, kind: EndKind) {
        let index = self.running.iter().position(|known| *known == (*task, run));
        if let Some(index) = index {
            self.running.remove(index);
            self.ends += 1;
            let number = self.ends;
            self.ended.push(EndedTask {
                number,
                task: *task,
                run,
                kind,
                checkpoint: "".into(),
            });
        }
    }
}
