//! Cost of events and ticks by the numbers of endpoints and waiting tasks.

use {
    divan::{Bencher, black_box},
    lynxwheel_engine::{
        CallOutcome, ClientAccount, ClientAccounts, EndKind, EndedTask, EndpointEntry,
        EndpointReport, Engine, EngineSettings, Event, FleetConfig, JobId, JobSpec, Now, Pool,
        Queue, Resources, RunningTask, StepSpec, TaskRef, VmEntry, VmState,
    },
};

/// Numbers of endpoints and of waiting tasks.
const SIZES: [(u16, u64); 8] = [
    (50, 0),
    (350, 0),
    (1_100, 0),
    (1_400, 0),
    (1_400, 300),
    (1_400, 3_000),
    (1_400, 30_000),
    (5_600, 3_000),
];

/// Numbers of client accounts that share the jobs.
const ACCOUNTS: [u64; 4] = [0, 1, 20, 300];

const ACCOUNTS_ENDPOINTS: u16 = 1_400;

const ACCOUNTS_WAITING: u64 = 3_000;

const POOL: &str = "maps";

/// Processor of an endpoint, in thousandths of a core.
const CPU_MILLIS: u64 = 16_000;

/// Tasks of each job.
const TASKS: u16 = 10;

fn main() {
    divan::main();
}

fn now(ms: u64) -> Now {
    Now {
        steady_ms: 1_000_000 + ms,
        wall_ms: 1_000_000 + ms,
    }
}

fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

fn queue() -> Queue {
    Queue {
        host: "maps.example".into(),
        path_prefix: "/maps/".into(),
        pool: POOL.into(),
        max_attempts: 3,
        stretch: 1.6,
        target_latency_ms: 600,
        ..Queue::default()
    }
}

fn account_name(number: u64) -> String {
    format!("account-{number}")
}

fn submit(engine: &mut Engine, number: u64, accounts: u64) {
    let step = StepSpec {
        count: TASKS,
        resources: Resources {
            cpu_millis: CPU_MILLIS / 4,
            memory_mb: 100,
            gpus: 0,
        },
        estimated_ms: 1_000,
        ..StepSpec::default()
    };
    let event = Event::Submit {
        job: job_id(number),
        queue: queue(),
        spec: Box::new(JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        }),
        account: number
            .checked_rem(accounts)
            .map(account_name)
            .unwrap_or_default()
            .into(),
        origin: None,
        token: number,
    };
    engine.handle(event, now(0));
}

fn account(number: u64) -> ClientAccount {
    ClientAccount {
        name: account_name(number).into(),
        weight: 1.0,
        quota: Resources {
            cpu_millis: u64::from(ACCOUNTS_ENDPOINTS) * CPU_MILLIS,
            ..Resources::default()
        },
        ..ClientAccount::default()
    }
}

/// Takes and commits a batch.
fn store(engine: &mut Engine, ms: u64) {
    let batch = engine.take_batch(now(ms));
    black_box(engine.committed(batch, now(ms)));
    black_box(engine.take_immediate_effects());
    black_box(engine.take_log_events());
}

/// Returns an engine with four tasks on each endpoint, all full, and waiting tasks.
fn busy(endpoints: u16, waiting: u64) -> Engine {
    busy_for(endpoints, waiting, 0)
}

/// Returns such an engine whose jobs are distributed among client accounts.
fn busy_for(endpoints: u16, waiting: u64, accounts: u64) -> Engine {
    let mut engine = Engine::new(EngineSettings::default());
    let pool = |name: &str, is_standby| Pool {
        name: name.into(),
        is_standby,
        checks_admission: false,
    };
    let config = FleetConfig {
        version: 1,
        queues: vec![queue()],
        pools: vec![pool(POOL, false), pool("spare", true)],
        accounts: ClientAccounts::new((0..accounts).map(account).collect()),
        ..FleetConfig::default()
    };
    engine.handle(Event::ConfigChanged(config.into()), now(0));
    let capacity = Resources {
        cpu_millis: CPU_MILLIS,
        memory_mb: 32_000,
        gpus: 0,
    };
    let mut vms = Vec::new();
    for number in 0..endpoints {
        let entry = EndpointEntry {
            born_ms: None,
            id: format!("i-{number:05}").into(),
            address: ([10, 0, 0, 1], 10_000 + number).into(),
            pool: POOL.into(),
            zone: "zone-1".into(),
            capacity,
            labels: vec!["a".into(), format!("r-{}", number / 20).into()],
            is_draining: false,
            remaining_ms: None,
            vm: Some(format!("vm-{number:05}").into()),
        };
        vms.push(VmEntry {
            name: format!("vm-{number:05}").into(),
            pool: POOL.into(),
            state: VmState::Up,
            zone: "zone-1".into(),
            labels: entry.labels.clone(),
            capacity,
            endpoint: entry.id.clone(),
        });
        let listed = Event::Registered {
            entry: Box::new(entry),
            is_fresh: true,
        };
        engine.handle(listed, now(0));
        renewed(&mut engine, u32::from(number), EndpointReport::default());
    }
    engine.allow_vm_orders(true);
    let listed = Event::VmsListed {
        vms,
        requested_ms: now(0).steady_ms,
    };
    engine.handle(listed, now(0));
    let filling = u64::from(endpoints) * 4 / u64::from(TASKS);
    for number in 0..filling {
        submit(&mut engine, number, accounts);
    }
    store(&mut engine, 0);
    for number in 0..waiting / u64::from(TASKS) {
        submit(&mut engine, 1_000_000 + number, accounts);
    }
    store(&mut engine, 0);
    engine.handle(Event::Tick, now(0));
    store(&mut engine, 0);
    engine
}

fn renewed(engine: &mut Engine, endpoint: u32, report: EndpointReport) {
    let outcome = CallOutcome::Done(report);
    engine.handle(Event::Renewed { endpoint, outcome }, now(0));
}

/// Returns the runs on an endpoint.
fn running(engine: &Engine, endpoint: u32) -> Vec<(TaskRef, u32)> {
    let placed = &engine.endpoints().get(endpoint).placed_runs;
    placed
        .iter()
        .map(|placed| (placed.task, placed.run))
        .collect()
}

/// Returns runs as reported by an endpoint.
fn reported(runs: &[(TaskRef, u32)]) -> Vec<RunningTask> {
    let running = runs.iter().map(|&(task, run)| RunningTask {
        task,
        run,
        checkpoint: "".into(),
        percent: 10,
        usage: None,
    });
    running.collect()
}

/// An endpoint reports its runs, none of which has ended.
#[divan::bench(args = SIZES, sample_count = 60)]
fn report(bencher: Bencher, (endpoints, waiting): (u16, u64)) {
    let mut engine = busy(endpoints, waiting);
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % u32::from(endpoints);
        let running = reported(&running(&engine, next));
        let report = EndpointReport {
            clock_ms: 1_000,
            running,
            ..EndpointReport::default()
        };
        renewed(&mut engine, next, report);
        store(&mut engine, 0);
    });
}

/// A run ends as done, and a waiting task takes its place.
#[divan::bench(args = SIZES, sample_count = 60)]
fn end(bencher: Bencher, (endpoints, waiting): (u16, u64)) {
    end_runs(bencher, busy(endpoints, waiting), endpoints);
}

/// The same with client accounts.
#[divan::bench(args = ACCOUNTS, sample_count = 60)]
fn end_for_accounts(bencher: Bencher, accounts: u64) {
    let engine = busy_for(ACCOUNTS_ENDPOINTS, ACCOUNTS_WAITING, accounts);
    end_runs(bencher, engine, ACCOUNTS_ENDPOINTS);
}

fn end_runs(bencher: Bencher, mut engine: Engine, endpoints: u16) {
    let mut next = 0;
    let mut number = 0;
    bencher.bench_local(|| {
        next = (next + 1) % u32::from(endpoints);
        number += 1;
        let runs = running(&engine, next);
        let Some(&(task, run)) = runs.first() else {
            return;
        };
        let ended = EndedTask {
            number,
            task,
            run,
            kind: EndKind::Done,
            checkpoint: "".into(),
        };
        let running = reported(&runs[1..]);
        let report = EndpointReport {
            clock_ms: 1_000,
            running,
            ended: vec![ended],
            is_partial: false,
            born_ms: None,
        };
        renewed(&mut engine, next, report);
        store(&mut engine, 0);
    });
}

/// A job is submitted and has to wait.
#[divan::bench(args = SIZES, sample_count = 60)]
fn submission(bencher: Bencher, (endpoints, waiting): (u16, u64)) {
    let mut engine = busy(endpoints, waiting);
    let mut number = 2_000_000;
    bencher.bench_local(|| {
        number += 1;
        submit(&mut engine, number, 0);
        store(&mut engine, 0);
    });
}

/// The same with client accounts.
#[divan::bench(args = ACCOUNTS, sample_count = 60)]
fn submission_for_accounts(bencher: Bencher, accounts: u64) {
    let mut engine = busy_for(ACCOUNTS_ENDPOINTS, ACCOUNTS_WAITING, accounts);
    let mut number = 2_000_000;
    bencher.bench_local(|| {
        number += 1;
        submit(&mut engine, number, accounts);
        store(&mut engine, 0);
    });
}

/// A tick passes.
#[divan::bench(args = SIZES, sample_count = 60)]
fn tick(bencher: Bencher, (endpoints, waiting): (u16, u64)) {
    let mut engine = busy(endpoints, waiting);
    let mut ms = 0;
    bencher.bench_local(|| {
        ms += 100;
        engine.handle(Event::Tick, now(ms));
        store(&mut engine, ms);
    });
}
