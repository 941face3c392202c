//! Callers: they hand jobs in, ask for them, cancel some, and come back as real ones do.

use {
    crate::ledger::Ledger,
    http::{Method, StatusCode},
    lynxwheel_engine::{JobId, JobSpec, Room, StepSpec},
    lynxwheel_platform_standin::{
        LASTING_PAYLOAD, QueueSpec, is_count, job_body, read_state, wait_header,
    },
    lynxwheel_transport::{Answer, ClientRequest, Clients},
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

/// What all callers share.
#[derive(Clone, Debug)]
pub struct Callers {
    nodes: Arc<[SocketAddr]>,
    queues: Arc<[QueueSpec]>,
    ledger: Arc<Ledger>,
    clients: Arc<Clients>,
}

impl Callers {
    /// Creates callers of these nodes.
    #[must_use]
    pub fn new(nodes: &[SocketAddr], queues: &[QueueSpec], ledger: Arc<Ledger>) -> Self {
        Self {
            nodes: nodes.into(),
            queues: queues.into(),
            ledger,
            clients: Arc::new(Clients::new(CONNECTIONS)),
        }
    }

    /// Lets one caller work until a time.
    pub async fn work(self, seed: u64, until: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut handed_in: Vec<(JobId, usize)> = Vec::new();
        while Instant::now() < until {
            sleep(Duration::from_millis(random.random_range(PAUSES_MS))).await;
            let known = random.random_range(0..handed_in.len().max(1));
            match (random.random_range(0..12), handed_in.get(known).copied()) {
                (0..7, Some((job, queue))) => self.ask_state(&mut random, job, queue).await,
                (7, Some((job, queue))) => self.cancel(&mut random, job, queue).await,
                (8, _) => self.count(&mut random).await,
                _ => handed_in.push(self.hand_in(&mut random).await),
            }
        }
    }

    async fn call(&self, node: usize, request: &ClientRequest) -> Option<Answer> {
        let limit = Duration::from_millis(WAIT_MS + SLACK_MS);
        let client = self.clients.get(self.nodes[node]);
        client.call(request, limit).await.ok()
    }

    fn request(&self, method: Method, queue: usize, id: &str) -> ClientRequest {
        let path = format!("{}{id}", self.queues[queue].path_prefix);
        let (name, value) = wait_header(WAIT_MS);
        ClientRequest::new(method, path).with_header(name, value)
    }

    fn any_node(&self, random: &mut ChaCha8Rng) -> usize {
        random.random_range(0..self.nodes.len())
    }

    /// Hands a job in, again at another node while the answer is not clear.
    async fn hand_in(&self, random: &mut ChaCha8Rng) -> (JobId, usize) {
        let queue = random.random_range(0..self.queues.len());
        let spec = draw_job(random);
        let id = draw_id(random);
        let QueueSpec {
            pool, max_attempts, ..
        } = &self.queues[queue];
        self.ledger.hand_in(id, &spec, pool, *max_attempts);
        let request = self
            .request(Method::POST, queue, id.as_str())
            .with_header("Content-Type", "application/json")
            .with_body(job_body(&spec));
        for _ in 0..RETRIES {
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
                Some(429 | 503) if random.random_range(0..2) == 0 => break,
                Some(429 | 503) => {}
                None | Some(502 | 504) => self.ledger.unclear(id),
                Some(status) => {
                    let text = format!("{id}: a hand-in was answered with {status}");
                    self.ledger.breaks(&text);
                    break;
                }
            }
            sleep(Duration::from_millis(random.random_range(50..700))).await;
        }
        (id, queue)
    }

    async fn ask_state(&self, random: &mut ChaCha8Rng, job: JobId, queue: usize) {
        let node = self.any_node(random);
        self.ask_state_at(node, job, queue).await;
    }

    /// Asks a node for the state of a job; tells whether it was told a final one.
    async fn ask_state_at(&self, node: usize, job: JobId, queue: usize) -> bool {
        let request = self.request(Method::GET, queue, job.as_str());
        let Some(answer) = self.call(node, &request).await else {
            return false;
        };
        match answer.status {
            StatusCode::OK => match read_state(&answer.body) {
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

    async fn cancel(&self, random: &mut ChaCha8Rng, job: JobId, queue: usize) {
        if random.random_range(0..3) != 0 {
            return;
        }
        self.ledger.cancel_sent(job);
        let request = self.request(Method::DELETE, queue, job.as_str());
        let answer = self.call(self.any_node(random), &request).await;
        if answer.is_some_and(|answer| answer.status.is_success()) {
            self.ledger.cancelled(job);
        }
    }

    async fn count(&self, random: &mut ChaCha8Rng) {
        let queue = random.random_range(0..self.queues.len());
        let request = self.request(Method::GET, queue, "");
        let answer = self.call(self.any_node(random), &request).await;
        if answer.is_some_and(|answer| answer.status == StatusCode::OK && !is_count(&answer.body)) {
            self.ledger.breaks("a queue's count is not whole");
        }
    }

    /// Asks until a job that was owed has come to its end; tells whether it has.
    pub async fn settles(&self, job: JobId, pool: &str, until: Instant) -> bool {
        let queue = self.queues.iter().position(|queue| queue.pool == pool);
        let mut node = 0;
        while Instant::now() < until {
            if self
                .ask_state_at(node, job, queue.unwrap_or_default())
                .await
            {
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
        if is_lasting { LASTING_PAYLOAD } else { "batch" },
        random.random::<u32>()
    );
    let count = if is_lasting {
        1
    } else {
        random.random_range(1..4)
    };
    let steps = (0..count).map(|step| StepSpec {
        count: random.random_range(1..5),
        room: Room {
            cpu_millis: random.random_range(200..1_500),
            memory_mb: 64,
            gpus: 0,
        },
        estimated_ms: 300,
        after: if step == 0 {
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
