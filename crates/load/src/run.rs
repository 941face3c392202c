//! Execution of a load.

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

/// Maximum requests in flight to one target; further ones are counted as not sent.
const MAX_IN_FLIGHT: u32 = 10_000;

/// Delay before the next attempt of a request.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Nodes or endpoints that receive the same requests.
#[derive(Debug)]
struct Target {
    clients: Vec<Client>,
    template: RequestTemplate,
    tally: SharedTally,
    in_flight: Arc<Semaphore>,
    timeout: Duration,
    max_attempts: u32,
}

impl Target {
    fn new(
        addresses: &[SocketAddr],
        template: RequestTemplate,
        args: &LoadArgs,
        max_attempts: u32,
    ) -> Self {
        let connections = args.connections.div_ceil(addresses.len().max(1));
        Self {
            clients: addresses
                .iter()
                .map(|address| Client::new(*address, connections))
                .collect(),
            template,
            tally: SharedTally::new(),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT as usize)),
            timeout: Duration::from_millis(args.timeout_ms),
            max_attempts,
        }
    }

    /// Sends request `number` and retries it after outcomes that a retry may improve.
    async fn send(self: Arc<Self>, number: u64, due: Instant, permit: OwnedSemaphorePermit) {
        let mut attempt = 0;
        loop {
            let client_index = usize::try_from(number + u64::from(attempt)).unwrap_or(0);
            let client = &self.clients[client_index % self.clients.len()];
            let outcome = self.template.send(client, number, self.timeout).await;
            attempt += 1;
            let can_retry = matches!(
                outcome,
                Outcome::Failed | Outcome::Refused | Outcome::Unknown
            );
            if !can_retry || attempt >= self.max_attempts {
                self.tally.record(outcome, due.elapsed(), attempt - 1);
                drop(permit);
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Runs a load on the current thread's runtime.
pub async fn run(args: &LoadArgs) -> LoadReport {
    let run_name = unique_run_name();
    let nodes = Target::new(
        &args.nodes,
        RequestTemplate::for_nodes(args, &run_name),
        args,
        args.attempts,
    );
    let nodes = Arc::new(nodes);
    let direct = (!args.direct.is_empty()).then(|| {
        let template = RequestTemplate::for_endpoints(args, &run_name);
        Arc::new(Target::new(&args.direct, template, args, 1))
    });
    let usage_before = ProcessUsage::read(&args.pids);
    let start = Instant::now();
    let sender = {
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
        .then(|| tokio::spawn(print_progress(Arc::clone(&nodes))));
    let sent = tokio::task::spawn_blocking(move || sender.join()).await;
    let not_sent = sent.ok().and_then(Result::ok).unwrap_or(0);
    let usage_after = ProcessUsage::read(&args.pids);
    for target in [Some(&nodes), direct.as_ref()].into_iter().flatten() {
        // Every request has a timeout, so all permits are returned.
        drop(target.in_flight.acquire_many(MAX_IN_FLIGHT).await);
    }
    let elapsed = start.elapsed();
    if let Some(progress) = progress {
        progress.abort();
    }
    let duplicate_keys = match args.platform {
        Some(platform) => count_duplicate_keys(platform, &run_name).await,
        None => None,
    };
    LoadReport {
        nodes: TargetReport::new(&nodes.tally.snapshot(), elapsed),
        direct: direct.map(|target| TargetReport::new(&target.tally.snapshot(), elapsed)),
        not_sent,
        duplicate_keys,
        ..LoadReport::default()
    }
    .with_usage(usage_before, usage_after)
}

/// Runs a load and prints its report.
///
/// The exit code is 1 if a response was wrong or truncated, or if a request ran more than once.
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

/// Sends `count` requests to each target and returns how many were not sent.
fn send_all(targets: &[Arc<Target>], schedule: SendSchedule, count: u64, runtime: &Handle) -> u64 {
    let mut not_sent = 0;
    for number in 0..count {
        schedule.wait_until_due(number);
        for target in targets {
            match Arc::clone(&target.in_flight).try_acquire_owned() {
                Ok(permit) => {
                    let target = Arc::clone(target);
                    runtime.spawn(target.send(number, schedule.due_time(number), permit));
                }
                Err(_) => not_sent += 1,
            }
        }
    }
    not_sent
}

async fn print_progress(target: Arc<Target>) {
    let start = Instant::now();
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let tally = target.tally.snapshot();
        let line = serde_json::json!({
            "event": "progress",
            "elapsed_ms": u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
            "ended": tally.ended_count(),
            "answered": tally.answered,
            "refused": tally.refused,
            "failed": tally.failed,
            "p99_us": tally.latency.value_at_quantile(0.99),
        });
        println!("{line}");
    }
}

/// Returns a name for the run that makes its request ids differ from those of other runs.
fn unique_run_name() -> String {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("load-{}", since_epoch.as_millis())
}
