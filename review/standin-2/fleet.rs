//! Executors and their machines, as PROTOCOL.md describes them.
//!
//! What a task does is written in the job's `spec`: `work=MS` (how long it works), `gang=N`, `saves`
//! and `lasts`.

use {
    crate::{
        http::{Handler, Request, Response, Server, empty_response, json_response},
        json::{Json, number, object, text},
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const TICK_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 1_500;
const MAX_HOLD_MS: u64 = 10_000;
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Time after the end of a member until the others are broken.
const BREAK_MS: u64 = 50;

/// A task that an executor has begun on an order.
pub struct Start {
    pub task: String,
    pub run: u64,
    pub checkpoint: String,
    pub fence: u64,
}

#[derive(Clone)]
struct Run {
    task: String,
    run: u64,
    work_ms: Option<u64>,
    gang: usize,
    saves: bool,
    done_ms: u64,
    resumed_ms: u64,
    saved: String,
    since: Instant,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

pub struct Machine {
    pub name: String,
    pub labels: Vec<String>,
    pub service: String,
    port: u16,
    server: Option<Server>,
    pub id: String,
    life: u64,
    keeps_id: bool,
    born: u64,
    started: Instant,
    written: Option<Instant>,
    sequence: u64,
    lease_end: u64,
    pub fence: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    blocked: BTreeMap<String, u64>,
    /// Entries of ended lives that have not expired yet.
    expiring: Vec<(String, Instant)>,
    /// What the platform says of it: up, upkeep or down.
    pub state: &'static str,
    /// Fence number of callers whose calls do not arrive.
    pub unreached_by: u64,
    /// Whether it belongs to another installation that shares the store.
    pub is_foreign: bool,
}

#[derive(Default)]
pub struct World {
    pub machines: Vec<Machine>,
    pub starts: Vec<Start>,
    /// Tasks that have ended `done`.
    pub done: Vec<String>,
    /// When a member of a gang ended early.
    broken: BTreeMap<(String, u64), Instant>,
    /// Calls that executors of another installation got.
    pub foreign_calls: Vec<String>,
}

#[derive(Clone)]
pub struct Fleet {
    inner: Arc<(Mutex<World>, Condvar)>,
    pub store: Store,
    pub record: Record,
    save_ms: u64,
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Machine {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn is_up(&self) -> bool {
        self.server.is_some()
    }

    fn end(&mut self, index: usize, how: &'static str) -> (String, u64) {
        let run = self.runs.remove(index);
        let blocked = self.blocked.entry(run.task.clone()).or_default();
        *blocked = run.run.max(*blocked);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: run.task.clone(),
            run: run.run,
            how,
            saved: run.saved,
        });
        (run.task, run.run)
    }
}

impl Run {
    /// Writes a checkpoint of the work done so far.
    fn save(&mut self) {
        if self.saves {
            self.saved = format!("{:08x}{}", self.done_ms, &self.task[4..12]);
        }
    }
}

impl Fleet {
    pub fn new(store: Store, record: Record, save_ms: u64) -> Self {
        let fleet = Self { inner: Arc::default(), store, record, save_ms };
        let ticking = fleet.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(TICK_MS));
                let passed = last.elapsed().as_millis() as u64;
                last += Duration::from_millis(passed);
                ticking.tick(passed);
            }
        });
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.inner.0.lock().unwrap()
    }

    pub fn add(&self, name: &str, service: &str, labels: &[&str], keeps_id: bool) {
        let mut world = self.lock();
        world.machines.push(Machine {
            name: name.into(),
            labels: labels.iter().map(|label| label.to_string()).collect(),
            service: service.into(),
            port: 0,
            server: None,
            id: String::new(),
            life: 0,
            keeps_id,
            born: 0,
            started: Instant::now(),
            written: None,
            sequence: 0,
            lease_end: 0,
            fence: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            blocked: BTreeMap::new(),
            expiring: Vec::new(),
            state: "down",
            unreached_by: 0,
            is_foreign: false,
        });
        let index = world.machines.len() - 1;
        drop(world);
        self.start(index);
    }

    /// Starts the next life of the executor on a machine.
    pub fn start(&self, index: usize) {
        let fleet = self.clone();
        let handler: Handler = Arc::new(move |request| fleet.answer(index, request));
        let mut world = self.lock();
        let machine = &mut world.machines[index];
        let server = Server::start(machine.port, handler).expect("a free port");
        machine.port = server.address.port();
        machine.server = Some(server);
        machine.life += 1;
        machine.id = if machine.keeps_id {
            format!("i-{}", machine.name)
        } else {
            format!("i-{}-{}", machine.name, machine.life)
        };
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        machine.born = unix_ms;
        machine.started = Instant::now();
        machine.written = None;
        machine.sequence = 0;
        machine.lease_end = 0;
        machine.fence = 0;
        machine.runs.clear();
        machine.ends.clear();
        machine.last_end = 0;
        machine.blocked.clear();
        machine.state = "up";
        let id = machine.id.clone();
        machine.expiring.retain(|(known, _)| *known != id);
        self.record.line(&format!("executor {id} starts on {}", machine.name));
    }

    /// Ends the executor on a machine: all that runs there ends, and it sends nothing any more.
    pub fn crash(&self, index: usize, state: &'static str) {
        let mut world = self.lock();
        let world = &mut *world;
        let machine = &mut world.machines[index];
        let Some(server) = machine.server.take() else { return };
        server.stop();
        machine.state = state;
        let runs: Vec<(String, u64)> =
            machine.runs.drain(..).map(|run| (run.task, run.run)).collect();
        self.record.line(&format!("executor {} ends ({state}); it ran {runs:?}", machine.id));
        machine.expiring.push((machine.id.clone(), Instant::now()));
        machine.ends.clear();
        for (task, run) in runs {
            world.broken.entry((step_of(&task).into(), run)).or_insert_with(Instant::now);
        }
        self.inner.1.notify_all();
    }

    /// Returns the machine on which a task runs.
    pub fn machine_of(&self, task: &str) -> Option<usize> {
        let world = self.lock();
        world.machines.iter().position(|machine| {
            machine.is_up() && machine.runs.iter().any(|run| run.task == task)
        })
    }

    pub fn is_job_running(&self, job: &str) -> bool {
        let world = self.lock();
        let up = world.machines.iter().filter(|machine| machine.is_up());
        up.flat_map(|machine| &machine.runs).any(|run| run.task.starts_with(job))
    }

    /// Returns how many tasks of a job have ended `done`.
    pub fn done_tasks(&self, job: &str) -> usize {
        let world = self.lock();
        let done = world.done.iter().filter(|task| task.starts_with(job));
        done.collect::<std::collections::BTreeSet<_>>().len()
    }

    fn tick(&self, passed_ms: u64) {
        let mut world = self.lock();
        let world = &mut *world;
        let now = Instant::now();
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for run in world.machines.iter().flat_map(|machine| &machine.runs) {
            if run.gang > 0 {
                *present.entry((step_of(&run.task).into(), run.run)).or_default() += 1;
            }
        }
        for machine in &mut world.machines {
            self.write_entry(machine, now);
            if !machine.is_up() {
                continue;
            }
            let has_lapsed = machine.clock_ms() > machine.lease_end;
            let mut index = 0;
            while index < machine.runs.len() {
                let run = &mut machine.runs[index];
                let gang = (step_of(&run.task).to_string(), run.run);
                let is_complete = run.gang == 0 || present.get(&gang) == Some(&run.gang);
                let broken = world.broken.get(&gang).filter(|_| run.gang > 0);
                let is_broken = broken.is_some_and(|since| now - *since >= Duration::from_millis(BREAK_MS));
                if is_complete && broken.is_none() {
                    let saves = run.done_ms / self.save_ms;
                    run.done_ms += passed_ms;
                    if run.done_ms / self.save_ms > saves {
                        run.save();
                    }
                }
                let waited = run.since.elapsed() > Duration::from_millis(GANG_TIMEOUT_MS);
                let has_waited = run.gang > 0 && run.done_ms == run.resumed_ms && waited;
                let how = if has_lapsed {
                    "lapsed"
                } else if is_broken {
                    "broken"
                } else if run.work_ms.is_some_and(|work_ms| run.done_ms >= work_ms) {
                    "done"
                } else if has_waited {
                    "alone"
                } else {
                    index += 1;
                    continue;
                };
                let is_gang = run.gang > 0;
                let (task, run) = machine.end(index, how);
                self.record.line(&format!("end {task} run {run} on {}: {how}", machine.id));
                if how == "done" {
                    world.done.push(task.clone());
                } else if is_gang {
                    world.broken.entry((step_of(&task).into(), run)).or_insert(now);
                }
            }
        }
        self.inner.1.notify_all();
    }

    fn write_entry(&self, machine: &mut Machine, now: Instant) {
        machine.expiring.retain(|(id, since)| {
            let is_over = now - *since > Duration::from_millis(3 * HEARTBEAT_MS);
            if is_over {
                self.store.put("keyed.servers", id, "");
            }
            !is_over
        });
        let is_due = machine
            .written
            .is_none_or(|written| now - written >= Duration::from_millis(HEARTBEAT_MS));
        if !machine.is_up() || !is_due {
            return;
        }
        machine.written = Some(now);
        machine.sequence += 1;
        let labels = machine.labels.iter().map(|label| text(label.as_str())).collect();
        let mut entry = vec![
            ("service", text(machine.service.as_str())),
            ("address", text(format!("127.0.0.1:{}", machine.port))),
            ("zone", text("zone-1")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("capacity", capacity()),
            ("labels", Json::List(labels)),
            ("machine", text(machine.name.as_str())),
            ("clock_ms", number(machine.clock_ms())),
            ("sequence", number(machine.sequence)),
        ];
        if machine.keeps_id {
            entry.push(("born", number(machine.born)));
        }
        self.store.put("keyed.servers", &machine.id, &object(entry).to_text());
    }

    /// Adds an executor of another installation, which has started a task of its own there.
    pub fn add_foreign(&self, name: &str, service: &str, fence: u64) {
        self.add(name, service, &["a", "r1-9"], true);
        let mut world = self.lock();
        let machine = world.machines.last_mut().expect("the machine added above");
        machine.is_foreign = true;
        machine.fence = fence;
        machine.lease_end = u64::MAX / 2;
        machine.runs.push(Run {
            task: "0123456789abcdef.0.0.0".into(),
            run: 1,
            work_ms: None,
            gang: 0,
            saves: false,
            done_ms: 0,
            resumed_ms: 0,
            saved: String::new(),
            since: Instant::now(),
        });
    }

    pub fn machine_list(&self) -> Json {
        let world = self.lock();
        let own = world.machines.iter().filter(|machine| !machine.is_foreign);
        let machines = own.map(|machine| {
            let labels = machine.labels.iter().map(|label| text(label.as_str())).collect();
            let id = machine.is_up().then(|| text(machine.id.as_str()));
            object(vec![
                ("machine", text(machine.name.as_str())),
                ("pool", text(machine.service.as_str())),
                ("state", text(machine.state)),
                ("zone", text("zone-1")),
                ("labels", Json::List(labels)),
                ("capacity", capacity()),
                ("id", id.unwrap_or(Json::Null)),
            ])
        });
        let machines = Json::List(machines.collect());
        object(vec![("machines", machines), ("next_page_token", Json::Null)])
    }

    fn answer(&self, index: usize, request: &Request) -> Option<Response> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let body = body.unwrap_or(Json::Null);
        let fence = body.get("fencing_token").u64().unwrap_or_default();
        let mut world = self.lock();
        let machine = &mut world.machines[index];
        if fence != 0 && machine.unreached_by == fence {
            return None;
        }
        if request.path == "/health" {
            return empty_response(200);
        }
        if request.header("Lynxwheel-Expect-Instance").is_some_and(|id| id != machine.id) {
            return empty_response(421);
        }
        if machine.is_foreign {
            let call = format!("{} {}", request.path, String::from_utf8_lossy(&request.body));
            self.record.line(&format!("executor {} gets {call}", machine.id));
            world.foreign_calls.push(call);
        }
        let machine = &mut world.machines[index];
        if fence < machine.fence {
            return refused(machine, "fence");
        }
        machine.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut world, index, &body),
            "/run-stop" => self.run_stop(&mut world, index, &body),
            "/pace" => done(&world.machines[index]),
            "/hold" => self.hold(world, index, &body),
            _ => empty_response(404),
        }
    }

    fn run_start(&self, world: &mut World, index: usize, body: &Json) -> Option<Response> {
        let machine = &mut world.machines[index];
        let (task, spec) = (body.get("task").str().to_string(), body.get("spec").str().to_string());
        let run = body.get("run").u64()?;
        let deadline_ms = body.get("deadline_ms").u64()?;
        let clock_ms = machine.clock_ms();
        if deadline_ms <= clock_ms {
            return refused(machine, "late");
        }
        machine.lease_end = machine.lease_end.max(deadline_ms.min(clock_ms + MAX_HOLD_MS));
        if machine.runs.iter().any(|known| known.task == task && known.run == run) {
            return done(machine);
        }
        if machine.blocked.get(&task).is_some_and(|blocked| run <= *blocked) {
            return refused(machine, "old");
        }
        let word = |name: &str| {
            let mut words = spec.split(' ');
            words.find_map(|word| word.strip_prefix(name)).and_then(|value| value.parse::<u64>().ok())
        };
        let checkpoint = body.get("checkpoint").str().to_string();
        let resumed_ms =
            checkpoint.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let started = Run {
            task: task.clone(),
            run,
            work_ms: word("work=").filter(|_| !spec.contains("lasts")),
            gang: word("gang=").unwrap_or_default() as usize,
            saves: spec.contains("saves"),
            done_ms: resumed_ms.unwrap_or_default(),
            resumed_ms: resumed_ms.unwrap_or_default(),
            saved: checkpoint.clone(),
            since: Instant::now(),
        };
        self.record.line(&format!(
            "start {task} run {run} on {} checkpoint {checkpoint:?} fence {}",
            machine.id, machine.fence
        ));
        machine.runs.push(started);
        let fence = machine.fence;
        let answer = done(machine);
        world.starts.push(Start { task, run, checkpoint, fence });
        answer
    }

    fn run_stop(&self, world: &mut World, index: usize, body: &Json) -> Option<Response> {
        let machine = &mut world.machines[index];
        let task = body.get("task").str();
        let run = body.get("run").u64()?;
        let blocked = machine.blocked.entry(task.into()).or_default();
        *blocked = run.max(*blocked);
        let known = machine.runs.iter().position(|known| known.task == task && known.run <= run);
        if let Some(at) = known {
            machine.runs[at].save();
            let is_gang = machine.runs[at].gang > 0;
            let (task, run) = machine.end(at, "stopped");
            self.record.line(&format!("end {task} run {run} on {}: stopped", machine.id));
            if is_gang {
                let gang = (step_of(&task).to_string(), run);
                world.broken.entry(gang).or_insert_with(Instant::now);
            }
        }
        self.inner.1.notify_all();
        done(&world.machines[index])
    }

    fn hold(&self, world: MutexGuard<'_, World>, index: usize, body: &Json) -> Option<Response> {
        let mut guard = world;
        let world = &mut *guard;
        let machine = &mut world.machines[index];
        let life = machine.life;
        if let Some(deadline_ms) = body.get("deadline_ms").u64() {
            let deadline_ms = deadline_ms.min(machine.clock_ms() + MAX_HOLD_MS);
            machine.lease_end = machine.lease_end.max(deadline_ms);
        }
        let cursor = body.get("ack_cursor").u64().unwrap_or_default();
        machine.ends.retain(|end| end.number > cursor);
        let wait_ms = body.get("wait_ms").u64().unwrap_or_default().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let machine = &guard.machines[index];
            if !machine.is_up() || machine.life != life {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !machine.ends.is_empty() || left.is_zero() {
                return json_response(200, &report(machine));
            }
            guard = self.inner.1.wait_timeout(guard, left).unwrap().0;
        }
    }
}

fn capacity() -> Json {
    object(vec![("cpu", number(16_000)), ("mem_mb", number(65_536)), ("gpu", number(0))])
}

fn done(machine: &Machine) -> Option<Response> {
    json_response(200, &object(vec![("clock_ms", number(machine.clock_ms()))]))
}

fn refused(machine: &Machine, reason: &str) -> Option<Response> {
    let body = vec![("clock_ms", number(machine.clock_ms())), ("reason", text(reason))];
    json_response(409, &object(body))
}

fn report(machine: &Machine) -> Json {
    let running = machine.runs.iter().map(|run| {
        let percent = run.work_ms.map_or(100, |work_ms| (run.done_ms * 100 / work_ms.max(1)).min(99));
        let row = vec![
            text(run.task.as_str()),
            number(run.run),
            text(run.saved.as_str()),
            number(percent),
            number(500),
        ];
        Json::List(row)
    });
    let finished = machine.ends.iter().take(500).map(|end| {
        Json::List(vec![
            number(end.number),
            text(end.task.as_str()),
            number(end.run),
            text(end.how),
            text(end.saved.as_str()),
        ])
    });
    let mut body = vec![
        ("clock_ms", number(machine.clock_ms())),
        ("running", Json::List(running.collect())),
        ("finished", Json::List(finished.collect())),
    ];
    if machine.keeps_id {
        body.push(("born", number(machine.born)));
    }
    object(body)
}
