//! A load from its start to its report.

use {
    crate::{
        args::LoadArgs,
        duplicates::count_duplicate_keys,
        report::{LoadReport, TargetReport},
        request::{Outcome, RequestTemplate},
        schedule::SendSchedule,
        tally::SharedTally,
        usage::ProcessUsage,
    },
    lynxwheel_transport::Client,
    std::{
        net::SocketAddr,
        process::ExitCode,
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime::{Builder, Handle},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// Requests of one side that may be unanswered at once; further ones are counted as not sent.
const MAX_UNANSWERED: u32 = 10_000;

/// Pause before a caller's next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// Requests to one side.
#[derive(Debug)]
struct Target {
    clients: Vec<Client>,
    template: RequestTemplate,
    tally: SharedTally,
    unanswered: Arc<Semaphore>,
    limit: Duration,
    attempts: u32,
}

impl Target {
    fn new(
        addresses: &[SocketAddr],
        template: RequestTemplate,
        args: &LoadArgs,
        attempts: u32,
    ) -> Self {
        let connections = args.connections.div_ceil(addresses.len().max(1));
        Self {
            clients: addresses
                .iter()
                .map(|address| Client::new(*address, connections))
                .collect(),
            template,
            tally: SharedTally::new(),
            unanswered: Arc::new(Semaphore::new(MAX_UNANSWERED as usize)),
            limit: Duration::from_millis(args.timeout_ms),
            attempts,
        }
    }

    /// Sends request `number`, with further attempts while they may help.
    async fn send(self: Arc<Self>, number: u64, due: Instant, permit: OwnedSemaphorePermit) {
        let mut attempt = 0;
        loop {
            let turn = usize::try_from(number + u64::from(attempt)).unwrap_or(0);
            let client = &self.clients[turn % self.clients.len()];
            let outcome = self.template.send(client, number, self.limit).await;
            attempt += 1;
            let may_help = matches!(
                outcome,
                Outcome::Failed | Outcome::Refused | Outcome::Unknown
            );
            if !may_help || attempt >= self.attempts {
                self.tally.note(outcome, due.elapsed(), attempt - 1);
                drop(permit);
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Runs a load on the current thread's runtime.
pub async fn run(args: &LoadArgs) -> LoadReport {
    let name = run_name();
    let nodes = Target::new(
        &args.nodes,
        RequestTemplate::to_nodes(args, &name),
        args,
        args.attempts,
    );
    let nodes = Arc::new(nodes);
    let direct = (!args.direct.is_empty()).then(|| {
        let template = RequestTemplate::to_endpoints(args, &name);
        Arc::new(Target::new(&args.direct, template, args, 1))
    });
    let before = ProcessUsage::read(&args.pids);
    let start = Instant::now();
    let sending = {
        let targets: Vec<Arc<Target>> = [Some(&nodes), direct.as_ref()]
            .into_iter()
            .flatten()
            .map(Arc::clone)
            .collect();
        let count = (u64::from(args.rate) * args.seconds).min(args.max_requests);
        let schedule = SendSchedule::new(start, args.rate);
        let runtime = Handle::current();
        thread::spawn(move || send_all(&targets, schedule, count, &runtime))
    };
    let progress = args
        .json
        .then(|| tokio::spawn(show_progress(Arc::clone(&nodes))));
    let sent = tokio::task::spawn_blocking(move || sending.join()).await;
    let not_sent = sent.ok().and_then(Result::ok).unwrap_or(0);
    let after = ProcessUsage::read(&args.pids);
    for target in [Some(&nodes), direct.as_ref()].into_iter().flatten() {
        // Every request has a time limit, so all permits come back.
        drop(target.unanswered.acquire_many(MAX_UNANSWERED).await);
    }
    let elapsed = start.elapsed();
    if let Some(progress) = progress {
        progress.abort();
    }
    let doubled = match args.platform {
        Some(platform) => count_duplicate_keys(platform, &name).await,
        None => None,
    };
    LoadReport {
        nodes: TargetReport::new(&nodes.tally.copy(), elapsed),
        direct: direct.map(|target| TargetReport::new(&target.tally.copy(), elapsed)),
        not_sent,
        doubled,
        ..LoadReport::default()
    }
    .with_usage(before, after)
}

/// Runs a load and prints its report; the exit code is 1 when an answer was wrong, cut or doubled.
#[must_use]
pub fn execute(args: &LoadArgs) -> ExitCode {
    let runtime = match Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(run(args));
    if args.json {
        println!(
            "{}",
            serde_json::json!({ "event": "report", "report": report })
        );
    } else {
        println!("{report}");
    }
    if report.is_correct() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Sends `count` requests to each side and returns how many were not sent.
fn send_all(targets: &[Arc<Target>], schedule: SendSchedule, count: u64, runtime: &Handle) -> u64 {
    let mut not_sent = 0;
    for number in 0..count {
        schedule.wait(number);
        for target in targets {
            match Arc::clone(&target.unanswered).try_acquire_owned() {
                Ok(permit) => {
                    let target = Arc::clone(target);
                    runtime.spawn(target.send(number, schedule.due(number), permit));
                }
                Err(_) => not_sent += 1,
            }
        }
    }
    not_sent
}

async fn show_progress(target: Arc<Target>) {
    let start = Instant::now();
    loop {
        tokio::time::sleep(PROGRESS).await;
        let tally = target.tally.copy();
        let line = serde_json::json!({
            "event": "progress",
            "elapsed_ms": u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
            "ended": tally.ended(),
            "answered": tally.answered,
            "refused": tally.refused,
            "failed": tally.failed,
            "p99_us": tally.latency.value_at_quantile(0.99),
        });
        println!("{line}");
    }
}

/// Names a run, so that ids of two runs differ.
fn run_name() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("load-{}", since.as_millis())
}
