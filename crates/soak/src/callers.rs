//! Callers: they hand jobs in, ask for them, cancel some, and come back as real ones do.

use {
    crate::{
        accounts::{ACCOUNT_COUNT, AccountPlace, Accounts, STRANGE_KEY},
        ledger::Ledger,
    },
    http::{Method, StatusCode},
    lynxwheel_engine::{JobId, JobSpec, Resources, StepSpec},
    lynxwheel_platform_standin::{
        LONG_RUNNING_PAYLOAD, QueueSpec, api_key_header, decode_job_state, encode_job, is_count,
        timeout_header,
    },
    lynxwheel_transport::{ClientPool, ClientRequest, ClientResponse},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time that a caller waits for an answer, in milliseconds.
const WAIT_MS: u64 = 2_500;

/// Time that it waits beyond that before it gives a connection up, in milliseconds.
const SLACK_MS: u64 = 500;

/// Pause between a caller's requests, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 20..160;

/// Times that a caller comes back with a job whose hand-in had no clear answer.
const RETRIES: u32 = 6;

/// Connections of all callers to a node.
const CONNECTIONS: usize = 16;

/// A job that was handed in, and how to ask for it.
#[derive(Clone, Copy, Debug)]
struct HandedIn {
    job: JobId,
    queue: usize,
    account: AccountPlace,
}

/// What all callers share.
#[derive(Clone, Debug)]
pub struct Callers {
    nodes: Arc<[SocketAddr]>,
    queues: Arc<[QueueSpec]>,
    accounts: Arc<Accounts>,
    ledger: Arc<Ledger>,
    clients: Arc<ClientPool>,
}

impl Callers {
    /// Creates callers of these nodes.
    #[must_use]
    pub fn new(
        nodes: &[SocketAddr],
        queues: &[QueueSpec],
        accounts: Arc<Accounts>,
        ledger: Arc<Ledger>,
    ) -> Self {
        Self {
            nodes: nodes.into(),
            queues: queues.into(),
            accounts,
            ledger,
            clients: Arc::new(ClientPool::new(CONNECTIONS)),
        }
    }

    /// Lets one caller work until a time.
    pub async fn work(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut handed_in: Vec<HandedIn> = Vec::new();
        while Instant::now() < until {
            sleep(Duration::from_millis(random.random_range(PAUSES_MS))).await;
            let known = random.random_range(0..handed_in.len().max(1));
            match (random.random_range(0..12), handed_in.get(known).copied()) {
                (0..7, Some(known)) => self.ask_state(&mut random, known).await,
                (7, Some(known)) => self.cancel(&mut random, known).await,
                (8, _) => self.count(&mut random).await,
                (9, Some(known)) => self.ask_as_stranger(&mut random, known).await,
                _ => handed_in.push(self.hand_in(&mut random).await),
            }
        }
    }

    async fn call(&self, node: usize, request: &ClientRequest) -> Option<ClientResponse> {
        let limit = Duration::from_millis(WAIT_MS + SLACK_MS);
        let client = self.clients.get(self.nodes[node]);
        client.call(request, limit).await.ok()
    }

    fn request(&self, method: Method, queue: usize, id: &str, key: &str) -> ClientRequest {
        let path = format!("{}{id}", self.queues[queue].path_prefix);
        let (name, value) = timeout_header(WAIT_MS);
        let (key_name, key) = api_key_header(key);
        ClientRequest::new(method, path)
            .with_header(name, value)
            .with_header(key_name, key)
    }

    fn request_for(&self, method: Method, known: HandedIn) -> ClientRequest {
        let key = self.accounts.key(known.account);
        self.request(method, known.queue, known.job.as_str(), &key)
    }

    fn any_node(&self, random: &mut ChaCha8Rng) -> usize {
        random.random_range(0..self.nodes.len())
    }

    /// Hands a job in, again at another node while the answer is not clear.
    async fn hand_in(&self, random: &mut ChaCha8Rng) -> HandedIn {
        let queue = random.random_range(0..self.queues.len());
        let account = random.random_range(0..ACCOUNT_COUNT);
        let spec = draw_job(random);
        let id = draw_id(random);
        let QueueSpec {
            pool, max_attempts, ..
        } = &self.queues[queue];
        self.ledger.hand_in(id, account, &spec, pool, *max_attempts);
        let known = HandedIn {
            job: id,
            queue,
            account,
        };
        for _ in 0..RETRIES {
            let request = self
                .request_for(Method::POST, known)
                .with_header("Content-Type", "application/json")
                .with_body(encode_job(&spec));
            let answer = self.call(self.any_node(random), &request).await;
            match answer.map(|answer| answer.status.as_u16()) {
                Some(200..=299) => {
                    self.ledger.accepted(id);
                    // Now and then a caller has lost the answer, and comes back.
                    if random.random_range(0..10) != 0 {
                        break;
                    }
                }
                // Told that it never runs: some give it up, others come back.
                Some(401 | 429 | 503) if random.random_range(0..2) == 0 => break,
                // A node that has not read the newest configuration may not know the key yet.
                Some(401 | 429 | 503) => {}
                None | Some(502 | 504) => self.ledger.unclear(id),
                Some(status) => {
                    let text = format!("{id}: a hand-in was answered with {status}");
                    self.ledger.breaks(&text);
                    break;
                }
            }
            sleep(Duration::from_millis(random.random_range(50..700))).await;
        }
        known
    }

    async fn ask_state(&self, random: &mut ChaCha8Rng, known: HandedIn) {
        let node = self.any_node(random);
        self.ask_state_at(node, known).await;
    }

    /// Asks for a job with the key of another account, or with none that is known.
    async fn ask_as_stranger(&self, random: &mut ChaCha8Rng, known: HandedIn) {
        let other = (known.account + 1) % ACCOUNT_COUNT;
        let key = match random.random_range(0..2) {
            0 => self.accounts.key(other),
            _ => STRANGE_KEY.into(),
        };
        let request = self.request(Method::GET, known.queue, known.job.as_str(), &key);
        let answer = self.call(self.any_node(random), &request).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            let text = format!("{}: its state was told to a stranger", known.job);
            self.ledger.breaks(&text);
        }
    }

    /// Asks a node for the state of a job; tells whether it was told a final one.
    async fn ask_state_at(&self, node: usize, known: HandedIn) -> bool {
        let HandedIn { job, .. } = known;
        let request = self.request_for(Method::GET, known);
        let Some(answer) = self.call(node, &request).await else {
            return false;
        };
        match answer.status {
            StatusCode::OK => match decode_job_state(&answer.body) {
                Some(state) => {
                    self.ledger.shown(job, Some(state));
                    return state.is_final();
                }
                None => self
                    .ledger
                    .breaks(&format!("{job}: its state is not whole")),
            },
            StatusCode::GONE => self.ledger.shown(job, None),
            _ => {}
        }
        false
    }

    async fn cancel(&self, random: &mut ChaCha8Rng, known: HandedIn) {
        let HandedIn { job, .. } = known;
        if random.random_range(0..3) != 0 {
            return;
        }
        self.ledger.cancel_sent(job);
        let request = self.request_for(Method::DELETE, known);
        let answer = self.call(self.any_node(random), &request).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            self.ledger.cancelled(job);
        }
    }

    /// Asks a node for the count of the first queue with a key; returns the status of its answer.
    pub async fn count_at(&self, node: usize, key: &str) -> Option<StatusCode> {
        let request = self.request(Method::GET, 0, "", key);
        self.call(node, &request).await.map(|answer| answer.status)
    }

    async fn count(&self, random: &mut ChaCha8Rng) {
        let queue = random.random_range(0..self.queues.len());
        let is_strange = random.random_range(0..3) == 0;
        let key = if is_strange {
            STRANGE_KEY.into()
        } else {
            self.accounts.key(random.random_range(0..ACCOUNT_COUNT))
        };
        let request = self.request(Method::GET, queue, "", &key);
        let answer = self.call(self.any_node(random), &request).await;
        if is_strange {
            if answer.is_some_and(|answer| answer.status.is_success()) {
                self.ledger.breaks("a stranger was told a queue's count");
            }
            return;
        }
        if answer.is_some_and(|answer| answer.status == StatusCode::OK && !is_count(&answer.body)) {
            self.ledger.breaks("a queue's count is not whole");
        }
    }

    /// Asks until a job that was owed has come to its end; tells whether it has.
    pub async fn settles(
        &self,
        job: JobId,
        account: AccountPlace,
        pool: &str,
        until: Instant,
    ) -> bool {
        let queue = self.queues.iter().position(|queue| queue.pool == pool);
        let known = HandedIn {
            job,
            queue: queue.unwrap_or_default(),
            account,
        };
        let mut node = 0;
        while Instant::now() < until {
            if self.ask_state_at(node, known).await {
                return true;
            }
            node = (node + 1) % self.nodes.len();
            sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

fn draw_id(random: &mut ChaCha8Rng) -> JobId {
    let text = format!("{:016x}", random.random::<u64>());
    text.parse().expect("sixteen hexadecimal digits")
}

fn draw_job(random: &mut ChaCha8Rng) -> JobSpec {
    let is_lasting = random.random_range(0..25) == 0;
    let payload = format!(
        "{} {:08x}",
        if is_lasting {
            LONG_RUNNING_PAYLOAD
        } else {
            "batch"
        },
        random.random::<u32>()
    );
    let count = if is_lasting {
        1
    } else {
        random.random_range(1..4)
    };
    let steps = (0..count).map(|step| StepSpec {
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
        long_running: is_lasting,
        max_unavailable: u16::from(is_lasting),
        ..StepSpec::default()
    });
    JobSpec {
        payload: payload.into(),
        steps: steps.collect(),
        ..JobSpec::default()
    }
}
