//! Callers that submit, query and cancel jobs, and retry as real clients do.

use {
    crate::{
        accounts::{ACCOUNT_COUNT, AccountIndex, Accounts, UNKNOWN_KEY},
        checker::Checker,
        flood::SteadyTraffic,
    },
    http::{Method, StatusCode},
    lynxwheel_engine::{JobId, JobSpec, Resources, StepSpec},
    lynxwheel_platform_standin::{
        CRASHING_PAYLOAD, LONG_RUNNING_PAYLOAD, PROLONGED_PAYLOAD, QueueSpec, SLOW_PAYLOAD,
        api_key_header, decode_job_state, encode_job, is_count, timeout_header,
    },
    lynxwheel_transport::{ClientPool, ClientRequest, ClientResponse},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Timeout that a caller requests in its timeout header, in milliseconds.
const TIMEOUT_MS: u64 = 2_500;

/// Time that a caller waits for the response beyond the requested timeout, in milliseconds.
const TIMEOUT_MARGIN_MS: u64 = 500;

/// Pause between two requests of a caller, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 20..160;

/// Pause between two jobs whose tasks crash their endpoints, in milliseconds.
const CRASHING_PAUSES_MS: std::ops::Range<u64> = 1_000..3_000;

/// Random stream of the caller that submits these jobs.
const CRASHING_STREAM: u64 = 1;

/// Estimated duration of a task that takes long, in milliseconds.
const SLOW_ESTIMATE_MS: u64 = 40_000;

/// CPU of the tasks of these jobs, and of those that crash their endpoints, in thousandths of a core.
const SIMPLE_CPU_MILLIS: std::ops::Range<u64> = 200..1_000;

/// Time between the submission of a job that takes long and its cancellation, in milliseconds.
const CANCEL_DELAYS_MS: std::ops::Range<u64> = 100..1_500;

/// Pause between two jobs whose tasks take some seconds, in milliseconds.
const PROLONGED_PAUSES_MS: std::ops::Range<u64> = 300..900;

/// Estimated duration of these tasks, in milliseconds.
const PROLONGED_ESTIMATE_MS: u64 = 9_000;

/// Random stream of the caller that submits these jobs.
const PROLONGED_STREAM: u64 = 5;

/// Random stream of the callers that cancel these jobs.
const CANCELLING_STREAM: u64 = 2;

/// Maximum number of requests to cancel the same job.
const MAX_CANCELLATIONS: u32 = 8;

/// Maximum number of times that a caller submits the same job.
const MAX_SUBMISSIONS: u32 = 6;

/// Maximum number of connections of all callers to a node.
const MAX_CONNECTIONS: usize = 16;

/// Maximum number of connections of an account at a fixed rate to a node: enough for what it
/// submits while requests wait for an owner.
const MAX_STEADY_CONNECTIONS: usize = 64;

/// Maximum time that a caller waits because of a `Retry-After` header, in seconds.
const MAX_RETRY_AFTER_S: u64 = 10;

/// Maximum number of state queries a second while waiting for the end of all jobs: a burst of
/// queries must not slow down the nodes.
const MAX_QUERIES_PER_S: usize = 500;

/// Minimum time between two queries of a job while waiting for its end, in milliseconds.
const MIN_QUERY_INTERVAL_MS: usize = 100;

/// A submitted job, with what is needed to query it.
#[derive(Clone, Copy, Debug)]
struct SubmittedJob {
    job: JobId,
    queue: usize,
    account: AccountIndex,
}

/// State shared by all callers of a run.
#[derive(Clone, Debug)]
pub struct Callers {
    nodes: Arc<[SocketAddr]>,
    queues: Arc<[QueueSpec]>,
    accounts: Arc<Accounts>,
    checker: Arc<Checker>,
    clients: Arc<ClientPool>,
    heeds_retry_after: bool,
}

impl Callers {
    /// Creates the callers of `nodes`.
    #[must_use]
    pub fn new(
        nodes: &[SocketAddr],
        queues: &[QueueSpec],
        accounts: Arc<Accounts>,
        checker: Arc<Checker>,
    ) -> Self {
        Self {
            nodes: nodes.into(),
            queues: queues.into(),
            accounts,
            checker,
            clients: Arc::new(ClientPool::new(MAX_CONNECTIONS)),
            heeds_retry_after: false,
        }
    }

    /// Returns callers that share no connections with these.
    #[must_use]
    pub fn with_own_connections(&self) -> Self {
        Self {
            clients: Arc::new(ClientPool::new(MAX_STEADY_CONNECTIONS)),
            ..self.clone()
        }
    }

    /// Makes callers submit refused jobs again only after the time in the refusal.
    #[must_use]
    pub fn heeding_retry_after(self) -> Self {
        Self {
            heeds_retry_after: true,
            ..self
        }
    }

    /// Runs callers of one account that submit jobs at a fixed rate, however long the responses
    /// take.
    pub async fn run_steadily(self, seed: u64, traffic: SteadyTraffic) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(traffic.stream);
        let mut submissions = JoinSet::new();
        let mut due = traffic.start;
        while due < traffic.end {
            sleep_until(due).await;
            due += traffic.interval;
            let queue = random.random_range(0..self.queues.len());
            let (spec, mut random) = traffic.draw_job(&mut random);
            let callers = self.clone();
            submissions.spawn(async move {
                callers
                    .submit_spec(&mut random, queue, traffic.account, &spec)
                    .await
            });
        }
        submissions.join_all().await;
    }

    /// Runs one caller until `until`.
    pub async fn run(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut submitted_jobs: Vec<SubmittedJob> = Vec::new();
        while Instant::now() < until {
            sleep(Duration::from_millis(random.random_range(PAUSES_MS))).await;
            let submitted = random.random_range(0..submitted_jobs.len().max(1));
            match (
                random.random_range(0..12),
                submitted_jobs.get(submitted).copied(),
            ) {
                (0..7, Some(submitted)) => self.query_state(&mut random, submitted).await,
                (7, Some(submitted)) => self.cancel(&mut random, submitted).await,
                (8, _) => self.query_count(&mut random).await,
                (9, Some(submitted)) => self.query_without_access(&mut random, submitted).await,
                _ => submitted_jobs.push(self.submit(&mut random).await),
            }
        }
    }

    /// Submits jobs whose tasks crash their endpoints until `until`.
    pub async fn run_crashing(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(CRASHING_STREAM);
        while Instant::now() < until {
            let queue = random.random_range(0..self.queues.len());
            let account = random.random_range(0..ACCOUNT_COUNT);
            let spec = draw_crashing_job(&mut random);
            self.submit_spec(&mut random, queue, account, &spec).await;
            sleep(Duration::from_millis(
                random.random_range(CRASHING_PAUSES_MS),
            ))
            .await;
        }
    }

    /// Submits jobs whose tasks take some seconds until `until`.
    pub async fn run_prolonged(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(PROLONGED_STREAM);
        while Instant::now() < until {
            let queue = random.random_range(0..self.queues.len());
            let account = random.random_range(0..ACCOUNT_COUNT);
            let spec = draw_prolonged_job(&mut random);
            self.submit_spec(&mut random, queue, account, &spec).await;
            let pause_ms = random.random_range(PROLONGED_PAUSES_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Submits jobs that take long, and cancels each of them, until `until`.
    pub async fn run_cancelling(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(CANCELLING_STREAM);
        while Instant::now() < until {
            let queue = random.random_range(0..self.queues.len());
            let account = random.random_range(0..ACCOUNT_COUNT);
            let spec = draw_slow_job(&mut random);
            let submitted = self.submit_spec(&mut random, queue, account, &spec).await;
            sleep(Duration::from_millis(random.random_range(CANCEL_DELAYS_MS))).await;
            for _ in 0..MAX_CANCELLATIONS {
                if self.request_cancellation(&mut random, submitted).await {
                    break;
                }
                sleep(Duration::from_millis(random.random_range(PAUSES_MS))).await;
            }
        }
    }

    async fn call(&self, node: usize, request: &ClientRequest) -> Option<ClientResponse> {
        let timeout = Duration::from_millis(TIMEOUT_MS + TIMEOUT_MARGIN_MS);
        let client = self.clients.get(self.nodes[node]);
        client.call(request, timeout).await.ok()
    }

    fn request(&self, method: Method, queue: usize, id: &str, key: &str) -> ClientRequest {
        let path = format!("{}{id}", self.queues[queue].path_prefix);
        let (name, value) = timeout_header(TIMEOUT_MS);
        let (key_name, key) = api_key_header(key);
        ClientRequest::new(method, path)
            .with_header(name, value)
            .with_header(key_name, key)
    }

    fn request_for(&self, method: Method, submitted: SubmittedJob) -> ClientRequest {
        let key = self.accounts.key(submitted.account);
        self.request(method, submitted.queue, submitted.job.as_str(), &key)
    }

    fn draw_node(&self, random: &mut ChaCha8Rng) -> usize {
        random.random_range(0..self.nodes.len())
    }

    async fn submit(&self, random: &mut ChaCha8Rng) -> SubmittedJob {
        let queue = random.random_range(0..self.queues.len());
        let account = random.random_range(0..ACCOUNT_COUNT);
        let spec = draw_job(random);
        self.submit_spec(random, queue, account, &spec).await
    }

    /// Submits a job, and submits it again to a random node while its outcome is unknown.
    async fn submit_spec(
        &self,
        random: &mut ChaCha8Rng,
        queue: usize,
        account: AccountIndex,
        spec: &JobSpec,
    ) -> SubmittedJob {
        let id = draw_id(random);
        let QueueSpec {
            pool, max_attempts, ..
        } = &self.queues[queue];
        self.checker
            .record_submission(id, account, spec, pool, *max_attempts);
        let submitted = SubmittedJob {
            job: id,
            queue,
            account,
        };
        for _ in 0..MAX_SUBMISSIONS {
            let request = self
                .request_for(Method::POST, submitted)
                .with_header("Content-Type", "application/json")
                .with_body(encode_job(spec));
            self.checker.begin_attempt(id);
            let response = self.call(self.draw_node(random), &request).await;
            let mut retry_after_s = None;
            if let Some(refusal) = response.as_ref().filter(|response| is_refusal(response)) {
                retry_after_s = self.checker.check_refusal(id, refusal);
            }
            match response.map(|response| response.status.as_u16()) {
                Some(200..=299) => {
                    self.checker.record_acceptance(id);
                    // Sometimes retries as a caller that lost the response.
                    if random.random_range(0..10) != 0 {
                        break;
                    }
                }
                // Rejected: the caller either gives up or submits the job again. A node that has
                // not read the latest configuration may not know the key yet.
                Some(status @ (401 | 429 | 503)) => {
                    if status == 401 {
                        self.checker.record_denial(id);
                    }
                    if random.random_range(0..2) == 0 {
                        break;
                    }
                }
                None | Some(502 | 504) => self.checker.record_unknown_outcome(id),
                Some(status) => {
                    let text = format!("{id}: unexpected status {status} for a submission");
                    self.checker.record_violation(&text);
                    break;
                }
            }
            let mut pause = Duration::from_millis(random.random_range(50..700));
            if let Some(retry_after_s) = retry_after_s.filter(|_| self.heeds_retry_after) {
                pause += Duration::from_secs(retry_after_s.min(MAX_RETRY_AFTER_S));
            }
            sleep(pause).await;
        }
        submitted
    }

    async fn query_state(&self, random: &mut ChaCha8Rng, submitted: SubmittedJob) {
        let node = self.draw_node(random);
        self.query_state_at(node, submitted).await;
    }

    /// Queries a job with the key of another account or with an unknown key.
    async fn query_without_access(&self, random: &mut ChaCha8Rng, submitted: SubmittedJob) {
        let other = (submitted.account + 1) % ACCOUNT_COUNT;
        let key = match random.random_range(0..2) {
            0 => self.accounts.key(other),
            _ => UNKNOWN_KEY.into(),
        };
        let request = self.request(Method::GET, submitted.queue, submitted.job.as_str(), &key);
        let response = self.call(self.draw_node(random), &request).await;
        if response.is_some_and(|response| response.status.is_success()) {
            let text = format!(
                "{}: its state was returned to an unauthorized caller",
                submitted.job
            );
            self.checker.record_violation(&text);
        }
    }

    /// Queries the state of a job at a node; returns whether it is final.
    async fn query_state_at(&self, node: usize, submitted: SubmittedJob) -> bool {
        let SubmittedJob { job, .. } = submitted;
        let request = self.request_for(Method::GET, submitted);
        let Some(response) = self.call(node, &request).await else {
            return false;
        };
        match response.status {
            StatusCode::OK => match decode_job_state(&response.body) {
                Some(state) => {
                    self.checker.check_reported_state(job, Some(state));
                    return state.is_final();
                }
                None => self
                    .checker
                    .record_violation(&format!("{job}: malformed state")),
            },
            StatusCode::GONE => self.checker.check_reported_state(job, None),
            _ => {}
        }
        false
    }

    async fn cancel(&self, random: &mut ChaCha8Rng, submitted: SubmittedJob) {
        if random.random_range(0..3) == 0 {
            self.request_cancellation(random, submitted).await;
        }
    }

    /// Requests the cancellation of a job; returns whether it was acknowledged.
    async fn request_cancellation(&self, random: &mut ChaCha8Rng, submitted: SubmittedJob) -> bool {
        let SubmittedJob { job, .. } = submitted;
        self.checker.record_cancel_request(job);
        let request = self.request_for(Method::DELETE, submitted);
        let response = self.call(self.draw_node(random), &request).await;
        let is_acknowledged = response.is_some_and(|response| response.status.is_success());
        if is_acknowledged {
            self.checker.record_cancellation(job);
        }
        is_acknowledged
    }

    /// Queries the job count of the first queue at a node, and returns the status of the response.
    pub async fn query_count_at(&self, node: usize, key: &str) -> Option<StatusCode> {
        let request = self.request(Method::GET, 0, "", key);
        self.call(node, &request)
            .await
            .map(|response| response.status)
    }

    async fn query_count(&self, random: &mut ChaCha8Rng) {
        let queue = random.random_range(0..self.queues.len());
        let is_key_unknown = random.random_range(0..3) == 0;
        let key = if is_key_unknown {
            UNKNOWN_KEY.into()
        } else {
            self.accounts.key(random.random_range(0..ACCOUNT_COUNT))
        };
        let request = self.request(Method::GET, queue, "", &key);
        let response = self.call(self.draw_node(random), &request).await;
        if is_key_unknown {
            if response.is_some_and(|response| response.status.is_success()) {
                self.checker
                    .record_violation("a job count was returned for an unknown key");
            }
            return;
        }
        if response.is_some_and(|reply| reply.status == StatusCode::OK && !is_count(&reply.body)) {
            self.checker
                .record_violation("malformed job count of a queue");
        }
    }

    /// Queries a job until it has ended; returns whether it does before the deadline.
    pub async fn await_end(
        &self,
        job: JobId,
        account: AccountIndex,
        pool: &str,
        query_interval: Duration,
        until: Instant,
    ) -> bool {
        let queue = self.queues.iter().position(|queue| queue.pool == pool);
        let submitted = SubmittedJob {
            job,
            queue: queue.unwrap_or_default(),
            account,
        };
        let mut node = 0;
        while Instant::now() < until {
            if self.query_state_at(node, submitted).await {
                return true;
            }
            node = (node + 1) % self.nodes.len();
            sleep(query_interval).await;
        }
        false
    }
}

/// Returns the time between two queries of each of `jobs` jobs whose end is awaited.
pub fn query_interval(jobs: usize) -> Duration {
    let interval_ms = (jobs * 1_000 / MAX_QUERIES_PER_S).max(MIN_QUERY_INTERVAL_MS);
    Duration::from_millis(u64::try_from(interval_ms).unwrap_or(u64::MAX))
}

fn is_refusal(response: &ClientResponse) -> bool {
    matches!(
        response.status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn draw_id(random: &mut ChaCha8Rng) -> JobId {
    let text = format!("{:016x}", random.random::<u64>());
    text.parse().expect("sixteen hexadecimal digits")
}

fn draw_job(random: &mut ChaCha8Rng) -> JobSpec {
    let is_long_running = random.random_range(0..25) == 0;
    let payload = format!(
        "{} {:08x}",
        if is_long_running {
            LONG_RUNNING_PAYLOAD
        } else {
            "batch"
        },
        random.random::<u32>()
    );
    let step_count = if is_long_running {
        1
    } else {
        random.random_range(1..4)
    };
    let steps = (0..step_count).map(|step| StepSpec {
        count: random.random_range(1..5),
        resources: Resources {
            cpu_millis: random.random_range(200..1_500),
            memory_mb: 64,
            gpus: 0,
        },
        estimated_ms: 300,
        depends_on: if step == 0 {
            Vec::new()
        } else {
            vec![step - 1]
        },
        long_running: is_long_running,
        max_unavailable: u16::from(is_long_running),
        ..StepSpec::default()
    });
    JobSpec {
        payload: payload.into(),
        steps: steps.collect(),
        ..JobSpec::default()
    }
}

/// Returns a job with one task that crashes its endpoints.
fn draw_crashing_job(random: &mut ChaCha8Rng) -> JobSpec {
    let cpu_millis = random.random_range(SIMPLE_CPU_MILLIS);
    draw_simple_job(random, CRASHING_PAYLOAD, 1, cpu_millis, 300)
}

/// Returns a job with a few tasks that take long.
fn draw_slow_job(random: &mut ChaCha8Rng) -> JobSpec {
    let count = random.random_range(1..5);
    let cpu_millis = random.random_range(SIMPLE_CPU_MILLIS);
    draw_simple_job(random, SLOW_PAYLOAD, count, cpu_millis, SLOW_ESTIMATE_MS)
}

/// Returns a job with a few tasks that take some seconds.
fn draw_prolonged_job(random: &mut ChaCha8Rng) -> JobSpec {
    let count = random.random_range(1..5);
    let cpu_millis = random.random_range(SIMPLE_CPU_MILLIS);
    draw_simple_job(
        random,
        PROLONGED_PAYLOAD,
        count,
        cpu_millis,
        PROLONGED_ESTIMATE_MS,
    )
}

/// Returns a job with one step.
pub fn draw_simple_job(
    random: &mut ChaCha8Rng,
    payload: &str,
    count: u16,
    cpu_millis: u64,
    estimated_ms: u64,
) -> JobSpec {
    let step = StepSpec {
        count,
        resources: Resources {
            cpu_millis,
            memory_mb: 64,
            gpus: 0,
        },
        estimated_ms,
        ..StepSpec::default()
    };
    JobSpec {
        payload: format!("{payload} {:08x}", random.random::<u32>()).into(),
        steps: vec![step],
        ..JobSpec::default()
    }
}
