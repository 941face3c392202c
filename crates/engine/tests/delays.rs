//! Simulations with delayed orders, responses, reports and owners.
//!
//! Orders may arrive seconds after their call timed out, responses may overtake each other, and the
//! owner may fall seconds behind its mailbox. In all cases no task has two active runs, no done
//! task starts again, neither endpoint capacity nor account quotas are exceeded, and every job
//! ends.

mod common;

use {
    common::{POOL, account, job_id, listed, pool, queue, step},
    lynxwheel_engine::{
        Batch, CallOutcome, CallerResponse, ClientAccounts, Effect, EndKind, EndedTask,
        EndpointEntry, EndpointReport, Engine, EngineSettings, Event, FleetConfig, JobId, JobSpec,
        JobState, Now, Record, Refusal, Resources, RunningTask, StartOrder, StepSpec, TaskRef,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::VecDeque,
};

const START_MS: u64 = 5_000_000;

const ENDPOINTS: u16 = 5;

const CORES: u64 = 4;

/// Client accounts with their quotas in cores, where 0 means unlimited. Jobs are assigned in turn.
const ACCOUNTS: [(&str, u64); 3] = [("", 0), ("maps", 4), ("post", 7)];

/// Period in which jobs are submitted, in milliseconds.
const BUSY_MS: u64 = 20_000;

/// Time by which every job must have ended, in milliseconds.
const END_MS: u64 = 90_000;

/// Timeout of a call, in milliseconds.
const CALL_MS: u64 = 500;

/// Scheduled occurrence.
#[derive(Debug)]
enum Scheduled {
    /// A call arrives at an endpoint; with the time at which the caller times out.
    Arrival(Effect, u64),
    /// An endpoint responds to a renewal: endpoint, acknowledged end, time at which the caller times
    /// out.
    Report(u32, u64, u64),
    /// The owner receives an event.
    Event(Event),
    /// A run ends.
    End(usize, TaskRef, u32),
    /// A batch is stored.
    Stored,
    Tick,
}

#[derive(Clone, Debug)]
struct Running {
    task: TaskRef,
    run: u32,
    begun_ms: u64,
    duration_ms: u64,
}

/// Simulated endpoint.
#[derive(Debug, Default)]
struct FakeEndpoint {
    key: u32,
    running: Vec<Running>,
    ended: Vec<EndedTask>,
    ends: u64,
    /// Stopped and ended runs; neither these nor earlier runs of the task may start again.
    ended_runs: Vec<(TaskRef, u32)>,
    lease_until_ms: u64,
}

impl FakeEndpoint {
    fn end(&mut self, task: TaskRef, run: u32, kind: EndKind) -> bool {
        let index = self
            .running
            .iter()
            .position(|known| (known.task, known.run) == (task, run));
        let Some(index) = index else {
            return false;
        };
        self.running.remove(index);
        self.ended_runs.push((task, run));
        self.ends += 1;
        self.ended.push(EndedTask {
            number: self.ends,
            task,
            run,
            kind,
            checkpoint: "".into(),
        });
        true
    }
}

struct World {
    engine: Engine,
    random: ChaCha8Rng,
    now_ms: u64,
    /// Scheduled occurrences, unsorted: time, sequence number, occurrence.
    due: Vec<(u64, u64, Scheduled)>,
    next_order: u64,
    endpoints: Vec<FakeEndpoint>,
    mailbox: VecDeque<Event>,
    stalled_until_ms: u64,
    in_flight: Option<Batch>,
    stored: Vec<Record>,
    jobs: u64,
    /// Specifications of the jobs.
    specs: Vec<JobSpec>,
    /// Tasks whose completion was acknowledged.
    done: Vec<TaskRef>,
    longest_stall_ms: u64,
}

impl World {
    fn new(seed: u64, longest_stall_ms: u64) -> Self {
        let settings = EngineSettings {
            vm_orders_per_s: 1_000,
            ..EngineSettings::default()
        };
        let mut world = Self {
            engine: Engine::new(settings),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: START_MS,
            due: Vec::new(),
            next_order: 0,
            endpoints: Vec::new(),
            mailbox: VecDeque::new(),
            stalled_until_ms: 0,
            in_flight: None,
            stored: Vec::new(),
            jobs: 0,
            specs: Vec::new(),
            done: Vec::new(),
            longest_stall_ms,
        };
        let config = FleetConfig {
            version: 1,
            queues: vec![queue()],
            pools: vec![pool(POOL, false)],
            accounts: ClientAccounts::new(
                ACCOUNTS[1..]
                    .iter()
                    .map(|(name, cores)| account(name, *cores))
                    .collect(),
            ),
            ..FleetConfig::default()
        };
        world
            .engine
            .handle(Event::ConfigChanged(config.into()), world.now());
        for number in 0..ENDPOINTS {
            world.list(number);
        }
        world.after(0, Scheduled::Tick);
        world
    }

    fn now(&self) -> Now {
        Now {
            steady_ms: self.now_ms,
            wall_ms: self.now_ms,
        }
    }

    fn list(&mut self, number: u16) {
        let entry = EndpointEntry {
            born_ms: None,
            id: format!("i-{number}").into(),
            address: ([127, 0, 0, 1], 9_000 + number).into(),
            pool: POOL.into(),
            zone: "zone-1".into(),
            capacity: Resources {
                cpu_millis: CORES * 1_000,
                memory_mb: 64_000,
                gpus: 0,
            },
            labels: vec!["a".into(), "rack-1".into()],
            is_draining: false,
            remaining_ms: None,
            vm: None,
        };
        self.engine.handle(listed(entry, true), self.now());
        let key = self
            .engine
            .endpoints()
            .find(&format!("i-{number}"))
            .expect("a listed endpoint");
        self.endpoints.push(FakeEndpoint {
            key,
            ..FakeEndpoint::default()
        });
    }

    fn after(&mut self, ms: u64, due: Scheduled) {
        self.next_order += 1;
        self.due.push((self.now_ms + ms, self.next_order, due));
    }

    /// Draws a transmission delay: mostly a few milliseconds, occasionally seconds.
    fn delay_ms(&mut self) -> u64 {
        match self.random.random_range(0..40) {
            0 => self.random.random_range(300..4_000),
            1..4 => self.random.random_range(20..300),
            _ => self.random.random_range(1..8),
        }
    }

    fn run(&mut self) {
        while self.now_ms < START_MS + END_MS {
            let next = self
                .due
                .iter()
                .enumerate()
                .min_by_key(|(_, (at_ms, order, _))| (*at_ms, *order))
                .map(|(index, _)| index)
                .expect("ticks");
            let (at_ms, _, due) = self.due.swap_remove(next);
            self.now_ms = at_ms;
            self.process(due);
            self.serve_mailbox();
        }
        for job in 1..=self.jobs {
            let state = self.engine.job_state(job_id(job));
            assert!(
                state.is_some_and(JobState::is_final),
                "job {job}: {state:?}"
            );
        }
    }

    fn process(&mut self, due: Scheduled) {
        match due {
            Scheduled::Event(event) => self.mailbox.push_back(event),
            Scheduled::Stored => {
                let batch = self.in_flight.take().expect("a batch");
                for record in &batch.records {
                    self.stored.retain(|known| known.key != record.key);
                    self.stored.push(record.clone());
                }
                let effects = self.engine.committed(batch, self.now());
                self.send(effects);
            }
            Scheduled::Tick => {
                self.mailbox.push_back(Event::Tick);
                self.lapse();
                self.apply_random_events();
                self.after(100, Scheduled::Tick);
            }
            Scheduled::End(index, task, run) => {
                let kind = match self.random.random_range(0..25) {
                    0 => EndKind::Failed,
                    _ => EndKind::Done,
                };
                self.endpoints[index].end(task, run, kind);
            }
            Scheduled::Arrival(effect, timeout_ms) => self.arrive(effect, timeout_ms),
            Scheduled::Report(key, acknowledged, timeout_ms) => {
                self.report(key, acknowledged, timeout_ms);
            }
        }
    }

    /// Draws random events of a tick.
    fn apply_random_events(&mut self) {
        let is_busy = self.now_ms < START_MS + BUSY_MS;
        if is_busy && self.random.random_range(0..3) == 0 {
            self.jobs += 1;
            let first = step(self.random.random_range(1..6));
            let second = StepSpec {
                depends_on: vec![0],
                ..step(self.random.random_range(1..4))
            };
            self.specs.push(JobSpec {
                steps: vec![first, second],
                ..JobSpec::default()
            });
            let event = self.submission(self.jobs);
            self.mailbox.push_back(event);
        }
        if is_busy && self.random.random_range(0..30) == 0 && self.longest_stall_ms > 0 {
            let stall_ms = self.random.random_range(0..self.longest_stall_ms);
            self.stalled_until_ms = self.now_ms + stall_ms;
        }
        if is_busy && self.jobs > 0 && self.random.random_range(0..40) == 0 {
            let job = job_id(self.random.random_range(1..=self.jobs));
            self.mailbox.push_back(Event::Cancel {
                job,
                account: account_of(job).0.into(),
                token: 0,
            });
        }
    }

    /// Returns the submission of a job.
    fn submission(&self, number: u64) -> Event {
        let index = usize::try_from(number).expect("few jobs") - 1;
        Event::Submit {
            job: job_id(number),
            queue: queue(),
            spec: Box::new(self.specs[index].clone()),
            account: account_of(job_id(number)).0.into(),
            origin: None,
            token: number,
        }
    }

    fn serve_mailbox(&mut self) {
        if self.now_ms < self.stalled_until_ms {
            return;
        }
        while let Some(event) = self.mailbox.pop_front() {
            let now = self.now();
            self.engine.handle(event, now);
            self.flush();
        }
        self.flush();
    }

    fn flush(&mut self) {
        let now = self.now();
        let effects = self.engine.take_immediate_effects();
        self.send(effects);
        if self.in_flight.is_none() {
            let batch = self.engine.take_batch(now);
            let effects = self.engine.take_immediate_effects();
            self.send(effects);
            if batch.records.is_empty() {
                let effects = self.engine.committed(batch, now);
                self.send(effects);
            } else {
                self.in_flight = Some(batch);
                let ms = self.random.random_range(5..40);
                self.after(ms, Scheduled::Stored);
            }
        }
    }

    fn send(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Reply { token, response } = &effect
                && let CallerResponse::Overloaded { retry_after_ms, .. } = response
            {
                let event = self.submission(*token);
                self.after(*retry_after_ms, Scheduled::Event(event));
            }
            if let Some((key, wait_ms)) = endpoint_of(&effect) {
                let delay_ms = self.delay_ms();
                let timeout_ms = self.now_ms + wait_ms + CALL_MS;
                if let Some(event) = unanswered(&effect, key) {
                    // Delivered when the call times out, unless a response arrives before.
                    self.after(wait_ms + CALL_MS, Scheduled::Event(event));
                }
                self.after(delay_ms, Scheduled::Arrival(effect, timeout_ms));
            }
        }
    }

    /// Delivers a response, unless the call has timed out by then.
    fn answer(&mut self, event: Event, timeout_ms: u64) {
        let delay_ms = self.delay_ms();
        let at_ms = self.now_ms + delay_ms;
        if at_ms >= timeout_ms {
            return;
        }
        // The response replaces the timeout.
        self.due.retain(|(due_ms, _, due)| {
            !matches!(due, Scheduled::Event(unanswered) if *due_ms == timeout_ms && is_same_call(unanswered, &event))
        });
        self.after(delay_ms, Scheduled::Event(event));
    }

    fn index_of(&self, key: u32) -> usize {
        self.endpoints
            .iter()
            .position(|endpoint| endpoint.key == key)
            .expect("a known endpoint")
    }

    fn arrive(&mut self, effect: Effect, timeout_ms: u64) {
        match effect {
            Effect::Start(order) => {
                let outcome = self.start(&order);
                let event = Event::Started {
                    endpoint: order.endpoint,
                    task: order.task,
                    run: order.run,
                    outcome,
                };
                self.answer(event, timeout_ms);
            }
            Effect::Stop {
                endpoint,
                task,
                run,
            } => {
                let index = self.index_of(endpoint);
                let fake = &mut self.endpoints[index];
                if !fake.end(task, run, EndKind::Stopped) {
                    fake.ended_runs.push((task, run));
                }
                let event = Event::Stopped {
                    endpoint,
                    task,
                    run,
                    outcome: CallOutcome::Done(self.now_ms),
                };
                self.answer(event, timeout_ms);
            }
            Effect::Renew {
                endpoint,
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let index = self.index_of(endpoint);
                let fake = &mut self.endpoints[index];
                fake.lease_until_ms = fake.lease_until_ms.max(deadline_ms.unwrap_or_default());
                self.acknowledge(index, acknowledged);
                let waits = self.endpoints[index].ended.is_empty();
                let ms = if waits { wait_ms } else { 0 };
                self.after(ms, Scheduled::Report(endpoint, acknowledged, timeout_ms));
            }
            _ => {}
        }
    }

    fn acknowledge(&mut self, index: usize, acknowledged: u64) {
        let endpoint = &mut self.endpoints[index];
        let completed = endpoint
            .ended
            .iter()
            .filter(|ended| ended.number <= acknowledged && ended.kind == EndKind::Done);
        self.done.extend(completed.map(|ended| ended.task));
        endpoint.ended.retain(|ended| ended.number > acknowledged);
    }

    fn start(&mut self, order: &StartOrder) -> CallOutcome<u64> {
        let StartOrder {
            task,
            run,
            deadline_ms,
            endpoint,
            ..
        } = order;
        let (task, run) = (*task, *run);
        let index = self.index_of(*endpoint);
        let now_ms = self.now_ms;
        let fake = &mut self.endpoints[index];
        if now_ms > *deadline_ms {
            return CallOutcome::Refused(Refusal::Late);
        }
        fake.lease_until_ms = fake.lease_until_ms.max(*deadline_ms);
        if fake
            .running
            .iter()
            .any(|known| (known.task, known.run) == (task, run))
        {
            return CallOutcome::Done(now_ms);
        }
        if fake
            .ended_runs
            .iter()
            .any(|(known, over)| *known == task && *over >= run)
        {
            return CallOutcome::Refused(Refusal::OldRun);
        }
        let used = u64::try_from(fake.running.len()).expect("few runs");
        assert!(
            used < CORES,
            "endpoint {index} is overdrawn by {task} {run}"
        );
        let (name, cores) = account_of(task.job);
        let running = self.endpoints.iter().flat_map(|endpoint| &endpoint.running);
        let of_account = running.filter(|known| account_of(known.task.job).0 == name);
        let used = u64::try_from(of_account.count()).expect("few runs");
        assert!(
            cores == 0 || used < cores,
            "{name} is above its quota by {task} {run}"
        );
        assert!(
            !self.done.contains(&task),
            "{task} {run} starts after it was done"
        );
        for (other, endpoint) in self.endpoints.iter().enumerate() {
            let twice = endpoint.running.iter().find(|known| known.task == task);
            assert!(
                twice.is_none(),
                "{task} runs twice: {run} on {index} and {twice:?} on {other}"
            );
        }
        let duration_ms = self.random.random_range(200..2_500);
        self.endpoints[index].running.push(Running {
            task,
            run,
            begun_ms: now_ms,
            duration_ms,
        });
        self.after(duration_ms, Scheduled::End(index, task, run));
        CallOutcome::Done(now_ms)
    }

    fn report(&mut self, key: u32, acknowledged: u64, timeout_ms: u64) {
        let index = self.index_of(key);
        self.acknowledge(index, acknowledged);
        let now_ms = self.now_ms;
        let fake = &self.endpoints[index];
        let running = fake.running.iter().map(|known| RunningTask {
            task: known.task,
            run: known.run,
            checkpoint: "".into(),
            percent: u32::try_from((now_ms - known.begun_ms) * 100 / known.duration_ms)
                .expect("a share"),
            usage: None,
        });
        let report = EndpointReport {
            clock_ms: now_ms,
            running: running.collect(),
            ended: fake.ended.clone(),
            is_partial: false,
            born_ms: None,
        };
        let event = Event::Renewed {
            endpoint: key,
            outcome: CallOutcome::Done(report),
        };
        self.answer(event, timeout_ms);
    }

    /// Ends the runs of endpoints whose lease has expired.
    fn lapse(&mut self) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            if endpoint.lease_until_ms == 0 || self.now_ms <= endpoint.lease_until_ms {
                continue;
            }
            for Running { task, run, .. } in endpoint.running.clone() {
                endpoint.end(task, run, EndKind::Lapsed);
            }
        }
    }
}

/// Returns the account of a job and its quota.
fn account_of(job: JobId) -> (&'static str, u64) {
    let number = u64::from_str_radix(job.as_str(), 16).expect("hexadecimal digits");
    ACCOUNTS[usize::try_from(number).expect("few jobs") % ACCOUNTS.len()]
}

/// Returns the endpoint that an effect calls, and how long the endpoint may hold the response.
fn endpoint_of(effect: &Effect) -> Option<(u32, u64)> {
    match effect {
        Effect::Start(order) => Some((order.endpoint, 0)),
        Effect::Stop { endpoint, .. } => Some((*endpoint, 0)),
        Effect::Renew {
            endpoint, wait_ms, ..
        } => Some((*endpoint, *wait_ms)),
        _ => None,
    }
}

/// Returns the event for a call that times out.
fn unanswered(effect: &Effect, endpoint: u32) -> Option<Event> {
    match effect {
        Effect::Start(order) => Some(Event::Started {
            endpoint,
            task: order.task,
            run: order.run,
            outcome: CallOutcome::Unknown,
        }),
        Effect::Stop { task, run, .. } => Some(Event::Stopped {
            endpoint,
            task: *task,
            run: *run,
            outcome: CallOutcome::Unknown,
        }),
        Effect::Renew { .. } => Some(Event::Renewed {
            endpoint,
            outcome: CallOutcome::Unknown,
        }),
        _ => None,
    }
}

fn is_same_call(one: &Event, other: &Event) -> bool {
    match (one, other) {
        (
            Event::Started {
                endpoint,
                task,
                run,
                ..
            },
            Event::Started {
                endpoint: other_endpoint,
                task: other_task,
                run: other_run,
                ..
            },
        )
        | (
            Event::Stopped {
                endpoint,
                task,
                run,
                ..
            },
            Event::Stopped {
                endpoint: other_endpoint,
                task: other_task,
                run: other_run,
                ..
            },
        ) => (endpoint, task, run) == (other_endpoint, other_task, other_run),
        (
            Event::Renewed { endpoint, .. },
            Event::Renewed {
                endpoint: other_endpoint,
                ..
            },
        ) => endpoint == other_endpoint,
        _ => false,
    }
}

macro_rules! histories {
    ($($name:ident: $seeds:expr, $longest_stall_ms:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                World::new(seed, $longest_stall_ms).run();
            }
        })*
    };
}

histories! {
    delayed_orders_and_answers: 0..16, 0;
    delayed_owner: 100..116, 4_000;
    owner_delayed_beyond_its_leases: 200..216, 12_000;
}
