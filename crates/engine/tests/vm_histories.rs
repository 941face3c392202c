//! Random simulations of VM orders, checked after each step.
//!
//! Lists of VMs and answers arrive late or never, calls take effect after they were given up,
//! endpoints crash or become unresponsive, waves overlap with moves, and owners are replaced. In all
//! cases no living endpoint counts as ended, no order takes effect on a VM with active runs, no task
//! has two active runs, and at the end all work is done.

mod common;

use {
    common::{FakeEndpoint, Fleet, POOL, listed, pool, queue, standby_vm, step},
    lynxwheel_engine::{
        Effect, EndKind, Event, JobSpec, JobState, Queue, Resources, TaskRef, VmEntry, VmOutcome,
        VmState, WaveOrder,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const VMS: usize = 6;

/// Capacity of each VM, in thousandths of a core.
const CPU_MILLIS: u64 = 4_000;

const STEPS: usize = 160;

const STANDBY: &str = "spare";

const OTHER_POOL: &str = "mail";

const MOVE_MS: u64 = 1_500;

const MAINTENANCE_MS: u64 = 2_000;

/// Time after which an order without an answer counts as unknown, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// Longest time from sending a call until it takes effect, in milliseconds.
const MAX_DELAY_MS: u64 = 2_500;

const LIST_INTERVAL_MS: u64 = 700;

/// Longest time from the request of a list to its delivery, in milliseconds.
const MAX_LIST_MS: u64 = 3_500;

/// VM as the platform knows it.
struct PlatformVm {
    pool: String,
    state: VmState,
    /// End of the move, the maintenance or the crash.
    until_ms: u64,
    /// Waves whose maintenance has begun.
    waves: Vec<u64>,
    endpoint: Option<String>,
}

#[derive(Clone, Debug)]
enum Order {
    Move(String),
    Maintain(u64),
}

/// Call with an order on its way to the platform.
struct Call {
    vm: usize,
    number: u64,
    order: Order,
    /// When it takes effect; `None` if it is lost.
    effective_ms: Option<u64>,
    /// When the owner learns of the outcome; `None` once it has, or if the owner was replaced.
    answered_ms: Option<u64>,
    outcome: VmOutcome,
}

struct History {
    fleet: Fleet,
    vms: Vec<PlatformVm>,
    calls: Vec<Call>,
    seen_orders: usize,
    /// List on its way: times of request and delivery.
    list: Option<(Vec<VmEntry>, u64, u64)>,
    list_due_ms: u64,
    /// Registry changes on their way: time, id, VM or `None` for a removal.
    registry: Vec<(u64, String, Option<usize>)>,
    waves: Vec<WaveOrder>,
    is_calm: bool,
    jobs: u64,
    incarnations: usize,
    done: Vec<TaskRef>,
    random: ChaCha8Rng,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new();
        fleet.pools = vec![
            pool(OTHER_POOL, false),
            pool(POOL, false),
            pool(STANDBY, true),
        ];
        fleet.configure_accounts(&[]);
        fleet.engine.allow_vm_orders(true);
        let mut history = Self {
            fleet,
            vms: Vec::new(),
            calls: Vec::new(),
            seen_orders: 0,
            list: None,
            list_due_ms: 0,
            registry: Vec::new(),
            waves: Vec::new(),
            is_calm: false,
            jobs: 0,
            incarnations: 0,
            done: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..VMS {
            let home = if index < 2 { POOL } else { STANDBY };
            let name = vm_name(index);
            history
                .fleet
                .list_endpoint_on(&name, "none", home, CPU_MILLIS);
            history.fleet.handle(Event::Deregistered("none".into()));
            history.fleet.endpoints[index].is_unresponsive = true;
            history.vms.push(PlatformVm {
                pool: home.into(),
                state: VmState::Up,
                until_ms: 0,
                waves: Vec::new(),
                endpoint: None,
            });
        }
        history
            .fleet
            .endpoints
            .iter_mut()
            .for_each(|one| one.id = "gone".into());
        for index in 0..2 {
            history.start_incarnation(index);
        }
        history
    }

    fn now_ms(&self) -> u64 {
        self.fleet.now.steady_ms
    }

    /// Returns a time in the future at most `max_ms` away.
    fn later_ms(&mut self, max_ms: u64) -> u64 {
        self.now_ms() + self.random.random_range(0..=max_ms)
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.apply_random_event();
            let ticks = self.random.random_range(1..6);
            self.pass(ticks);
        }
        self.recover();
    }

    /// Lets ticks of 100 ms pass.
    fn pass(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.fleet.advance(100);
            self.send_calls();
            self.execute_calls();
            self.answer_calls();
            self.change_vms();
            self.deliver_registry();
            self.exchange_lists();
            self.fleet.settle();
            self.send_calls();
            self.check();
        }
    }

    fn apply_random_event(&mut self) {
        let vm = self.random.random_range(0..VMS);
        match self.random.random_range(0..24) {
            0..7 => self.submit(),
            7..15 => self.end_runs(vm),
            15..17 => self.crash(vm),
            17..19 => self.toggle_link(vm),
            19..21 => self.order_wave(),
            21 => self.take_over(),
            _ => {}
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let queue = if self.random.random_range(0..2) == 0 {
            queue()
        } else {
            other_queue()
        };
        let spec = JobSpec {
            steps: vec![step(self.random.random_range(1..10))],
            ..JobSpec::default()
        };
        self.fleet.submit_to(queue, self.jobs, spec);
        self.fleet.settle();
    }

    fn end_runs(&mut self, vm: usize) {
        for (task, run) in self.fleet.endpoints[vm].running.clone() {
            if self.is_calm || self.random.random_range(0..4) > 0 {
                self.fleet.endpoints[vm].end(&task, run, EndKind::Done);
                self.done.push(task);
            }
        }
    }

    /// Ends the incarnation on a VM with its runs.
    fn stop_incarnation(&mut self, vm: usize) {
        let lost = self.fleet.endpoints[vm].ended.clone();
        // Completions that were not reported are lost with the incarnation.
        self.done
            .retain(|task| lost.iter().all(|ended| ended.task != *task));
        self.fleet.crash(vm);
        if let Some(id) = self.vms[vm].endpoint.take() {
            let at_ms = self.later_ms(3_000);
            self.registry.push((at_ms, id, None));
        }
    }

    fn start_incarnation(&mut self, vm: usize) {
        self.incarnations += 1;
        let id = format!("i-{}", self.incarnations);
        self.fleet.endpoints[vm] = FakeEndpoint {
            id: id.clone(),
            ..FakeEndpoint::default()
        };
        self.fleet.entries[vm].id = id.as_str().into();
        self.fleet.entries[vm].pool = self.vms[vm].pool.as_str().into();
        self.vms[vm].endpoint = Some(id.clone());
        let at_ms = self.later_ms(600);
        self.registry.push((at_ms, id, Some(vm)));
    }

    fn crash(&mut self, vm: usize) {
        if self.vms[vm].state == VmState::Up && self.vms[vm].pool != STANDBY {
            self.stop_incarnation(vm);
            self.vms[vm].state = VmState::Down;
            self.vms[vm].until_ms = self.later_ms(1_500);
        }
    }

    /// Cuts an endpoint off, or reconnects it.
    fn toggle_link(&mut self, vm: usize) {
        if self.vms[vm].endpoint.is_some() {
            self.fleet.endpoints[vm].is_unresponsive ^= true;
        }
    }

    fn order_wave(&mut self) {
        let wave = WaveOrder {
            wave: self.waves.len() as u64 + 1,
            vms: (0..VMS)
                .filter(|_| self.random.random_range(0..2) == 0)
                .map(|vm| vm_name(vm).into())
                .collect(),
            duration_s: 20.0,
            max_count: self.random.random_range(1..3),
        };
        self.waves.push(wave.clone());
        self.fleet.handle(Event::WaveOrdered(wave));
    }

    /// Replaces the owner; the calls of the previous one still take effect.
    fn take_over(&mut self) {
        for call in &mut self.calls {
            call.answered_ms = None;
        }
        self.list = None;
        self.fleet.take_over();
        for wave in self.waves.clone() {
            self.fleet.handle(Event::WaveOrdered(wave));
        }
        for vm in 0..VMS {
            if self.vms[vm].endpoint.is_none() {
                let id = self.fleet.entries[vm].id.clone();
                self.fleet.handle(Event::Deregistered(id));
            }
        }
        self.fleet.engine.allow_vm_orders(true);
        self.fleet.settle();
        self.seen_orders = self.fleet.orders.len();
    }

    /// Takes the orders that the owner has sent since the last call.
    fn send_calls(&mut self) {
        for at in self.seen_orders..self.fleet.orders.len() {
            let (vm, order, number) = match &self.fleet.orders[at] {
                Effect::MoveVm { vm, pool, call } => (vm, Order::Move(pool.to_string()), *call),
                Effect::MaintainVm { vm, wave, call } => (vm, Order::Maintain(*wave), *call),
                _ => continue,
            };
            let vm = vm[3..].parse().expect("a number");
            let fate = if self.is_calm {
                0
            } else {
                self.random.random_range(0..10)
            };
            let now_ms = self.now_ms();
            let effective_ms = match fate {
                0..5 => Some(self.later_ms(300)),
                5..8 => Some(self.later_ms(MAX_DELAY_MS)),
                _ => None,
            };
            let is_refused = fate == 9;
            let answered_ms = match effective_ms {
                Some(at_ms) if fate < 7 => at_ms + 100,
                None if is_refused => now_ms + 100,
                _ => now_ms + CALL_TIMEOUT_MS,
            };
            self.calls.push(Call {
                vm,
                number,
                order,
                effective_ms,
                answered_ms: Some(answered_ms.min(now_ms + CALL_TIMEOUT_MS)),
                outcome: if is_refused {
                    VmOutcome::Refused
                } else {
                    VmOutcome::Unknown
                },
            });
        }
        self.seen_orders = self.fleet.orders.len();
    }

    fn execute_calls(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.calls.len() {
            if self.calls[at].effective_ms.is_some_and(|ms| ms <= now_ms) {
                self.calls[at].effective_ms = None;
                let (vm, order) = (self.calls[at].vm, self.calls[at].order.clone());
                let outcome = self.execute(vm, &order);
                let is_in_time = self.calls[at].answered_ms.is_some_and(|ms| ms > now_ms);
                // An answer may be lost on its way back.
                if is_in_time && (self.is_calm || self.random.random_range(0..4) > 0) {
                    self.calls[at].outcome = outcome;
                } else if is_in_time {
                    self.calls[at].answered_ms = Some(now_ms + CALL_TIMEOUT_MS);
                }
            }
        }
    }

    fn execute(&mut self, vm: usize, order: &Order) -> VmOutcome {
        let known = &self.vms[vm];
        let is_done = match order {
            Order::Move(pool) => known.pool == *pool,
            Order::Maintain(wave) => known.waves.contains(wave),
        };
        if is_done {
            return VmOutcome::Done;
        }
        if known.state != VmState::Up {
            return VmOutcome::Busy;
        }
        let running = &self.fleet.endpoints[vm].running;
        assert!(running.is_empty(), "{order:?} ends {running:?}");
        self.stop_incarnation(vm);
        let now_ms = self.now_ms();
        let known = &mut self.vms[vm];
        match order {
            Order::Move(pool) => {
                known.pool.clone_from(pool);
                known.state = VmState::Moving;
                known.until_ms = now_ms + MOVE_MS;
            }
            Order::Maintain(wave) => {
                known.waves.push(*wave);
                known.state = VmState::Maintenance;
                known.until_ms = now_ms + MAINTENANCE_MS;
                self.check_wave(*wave);
            }
        }
        VmOutcome::Done
    }

    fn check_wave(&self, number: u64) {
        let is_down =
            |vm: &&PlatformVm| vm.state == VmState::Maintenance && vm.waves.last() == Some(&number);
        let down = self.vms.iter().filter(is_down).count();
        let wave = self.waves.iter().find(|wave| wave.wave == number);
        let max_count = wave.expect("an ordered wave").max_count;
        assert!(down <= max_count, "{down} VMs of wave {number} are down");
    }

    fn answer_calls(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.calls.len() {
            let call = &mut self.calls[at];
            if call.answered_ms.is_some_and(|ms| ms <= now_ms) {
                call.answered_ms = None;
                let (vm, number, outcome) = (vm_name(call.vm), call.number, call.outcome);
                self.fleet.answer_vm_call(&vm, number, outcome);
            }
        }
        self.calls
            .retain(|call| call.effective_ms.is_some() || call.answered_ms.is_some());
    }

    /// Completes moves, maintenance and restarts.
    fn change_vms(&mut self) {
        let now_ms = self.now_ms();
        for vm in 0..VMS {
            let known = &mut self.vms[vm];
            if known.state != VmState::Up && known.until_ms <= now_ms {
                known.state = VmState::Up;
                if known.pool != STANDBY {
                    self.start_incarnation(vm);
                }
            }
        }
    }

    fn deliver_registry(&mut self) {
        let now_ms = self.now_ms();
        let (due, rest) = std::mem::take(&mut self.registry)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.registry = rest;
        let due: Vec<(u64, String, Option<usize>)> = due;
        for (_, id, vm) in due {
            match vm {
                Some(vm) if self.vms[vm].endpoint.as_ref() == Some(&id) => {
                    let entry = self.fleet.entries[vm].clone();
                    self.fleet.handle(listed(entry, true));
                }
                Some(_) => {}
                None => self.fleet.handle(Event::Deregistered(id.as_str().into())),
            }
        }
    }

    /// Requests a list of VMs or delivers the requested one.
    fn exchange_lists(&mut self) {
        let now_ms = self.now_ms();
        match self.list.take() {
            Some((vms, requested_ms, at_ms)) if at_ms <= now_ms => {
                self.list_due_ms = now_ms + LIST_INTERVAL_MS;
                if self.is_calm || self.random.random_range(0..5) > 0 {
                    self.fleet.handle(Event::VmsListed { vms, requested_ms });
                }
            }
            Some(list) => self.list = Some(list),
            None if now_ms >= self.list_due_ms => {
                let is_slow = !self.is_calm && self.random.random_range(0..3) == 0;
                let at_ms = self.later_ms(if is_slow { MAX_LIST_MS } else { 100 });
                self.list = Some((self.entries(), now_ms, at_ms));
            }
            None => {}
        }
    }

    fn entries(&self) -> Vec<VmEntry> {
        let vms = self.vms.iter().enumerate();
        let entries = vms.map(|(index, vm)| VmEntry {
            pool: vm.pool.as_str().into(),
            state: vm.state,
            endpoint: vm.endpoint.clone().unwrap_or_default().into(),
            capacity: Resources {
                cpu_millis: CPU_MILLIS,
                memory_mb: 64_000,
                gpus: 0,
            },
            ..standby_vm(&vm_name(index))
        });
        entries.collect()
    }

    fn check(&mut self) {
        for endpoint in &mut self.fleet.endpoints {
            for task in endpoint.exempt.drain(..) {
                self.done.retain(|done| *done != task);
            }
        }
        let known = self.fleet.engine.endpoints();
        for vm in &self.vms {
            if let Some(key) = vm.endpoint.as_ref().and_then(|id| known.find(id)) {
                let endpoint = known.get(key);
                assert!(!endpoint.has_ended, "{} lives", endpoint.id);
            }
        }
        let endpoints = self.fleet.endpoints.iter();
        let mut running: Vec<TaskRef> = endpoints
            .flat_map(|endpoint| endpoint.running.iter().map(|(task, _)| *task))
            .collect();
        let count = running.len();
        running.sort_unstable();
        running.dedup();
        assert_eq!(running.len(), count, "a task runs twice");
        for task in &running {
            assert!(!self.done.contains(task), "{task} runs after it was done");
        }
    }

    /// Ends all faults, after which every job must end and every endpoint must be in use.
    fn recover(&mut self) {
        self.is_calm = true;
        for vm in 0..VMS {
            if self.vms[vm].endpoint.is_some() {
                self.fleet.endpoints[vm].is_unresponsive = false;
            }
        }
        for _ in 0..120 {
            self.pass(5);
            for vm in 0..VMS {
                self.end_runs(vm);
            }
        }
        for job in 1..=self.jobs {
            let state = self.fleet.job_state(job);
            assert!(state.is_none_or(JobState::is_final), "job {job}: {state:?}");
        }
        let known = self.fleet.engine.endpoints();
        for vm in &self.vms {
            if let Some(id) = &vm.endpoint {
                let key = known.find(id).expect("a registered endpoint");
                assert!(known.get(key).is_reconciled, "{id} is in use");
            }
        }
    }
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

/// Returns the queue of the second pool.
fn other_queue() -> Queue {
    Queue {
        host: "mail.example".into(),
        path_prefix: "/mail/".into(),
        pool: OTHER_POOL.into(),
        ..queue()
    }
}

macro_rules! histories {
    ($($name:ident: $seeds:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                History::new(seed).run();
            }
        })*
    };
}

histories! {
    first_seeds: 0..30;
    further_seeds: 1_500..1_512;
    standby_vm_with_an_active_endpoint: [2_324];
}
