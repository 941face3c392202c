//! Callers that send requests throughout a test and record the outcomes.

use {
    crate::{
        balancer::Balancer,
        checker::{AttemptOutcome, AttemptRecord, attempt_id, is_attempt_of},
        common::WAIT_TIMEOUT,
    },
    http::{Method, StatusCode},
    lynxwheel_transport::{Client, ClientRequest, ClientResponse},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::Instant},
};

/// Time limit for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(5);

/// Connections of one caller to one node; callers share none, so that none is idle while a node
/// drains.
const CONNECTIONS: usize = 1;

/// Maximum attempts of one request, each at the next node that the load balancer selects.
const MAX_ATTEMPTS: usize = 3;

/// A running group of callers.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    response_count: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Vec<AttemptRecord>>>,
}

impl Load {
    /// Starts callers; every second request is non-idempotent and has an idempotency key.
    pub fn start(nodes: &[Client], callers: usize) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let response_count = Arc::new(AtomicU64::new(0));
        let balancer = Balancer::start(nodes);
        let callers = (0..callers)
            .map(|number| {
                let caller = Caller {
                    number,
                    balancer: balancer.clone(),
                    nodes: nodes
                        .iter()
                        .map(|node| Client::new(node.peer(), CONNECTIONS))
                        .collect(),
                    response_count: Arc::clone(&response_count),
                    records: Vec::new(),
                };
                tokio::spawn(caller.run_until(Arc::clone(&is_stopped)))
            })
            .collect();
        Self {
            is_stopped,
            response_count,
            callers,
        }
    }

    /// Waits until `count` more requests have a complete response.
    pub async fn wait_for_responses(&self, count: u64) {
        let target = self.response_count.load(Ordering::Relaxed) + count;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.response_count.load(Ordering::Relaxed) < target {
            assert!(Instant::now() < deadline, "requests are no longer answered");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Stops the callers and returns the records of all attempts.
    pub async fn stop(self) -> Vec<AttemptRecord> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for caller in self.callers {
            records.extend(caller.await.expect("no panic"));
        }
        records
    }
}

struct Caller {
    number: usize,
    balancer: Balancer,
    nodes: Vec<Client>,
    response_count: Arc<AtomicU64>,
    records: Vec<AttemptRecord>,
}

impl Caller {
    async fn run_until(mut self, is_stopped: Arc<AtomicBool>) -> Vec<AttemptRecord> {
        let mut count = 0;
        while !is_stopped.load(Ordering::Relaxed) {
            self.send_request(count).await;
            count += 1;
            tokio::time::sleep(PAUSE).await;
        }
        self.records
    }

    async fn send_request(&mut self, count: usize) {
        let is_idempotent = count.is_multiple_of(2);
        let name = format!("{}-{count}", self.number);
        for attempt in 0..MAX_ATTEMPTS {
            let index = self.balancer.choose(self.number + count + attempt);
            let node = &self.nodes[index];
            let request = if is_idempotent {
                ClientRequest::new(Method::GET, "/maps/work?ms=5&size=20000")
            } else {
                ClientRequest::new(Method::POST, "/maps/charge?ms=10")
                    .with_header("idempotency-key", format!("charge-{name}"))
                    .with_body(format!("charge {count}"))
            };
            let record = send_attempt(node, request, &name, attempt).await;
            let outcome = record.outcome.clone();
            self.records.push(record);
            if outcome == AttemptOutcome::Answered {
                self.response_count.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Sends one attempt of a request and records its outcome.
pub async fn send_attempt(
    node: &Client,
    request: ClientRequest,
    name: &str,
    attempt: usize,
) -> AttemptRecord {
    let request = request.with_header("x-request-id", attempt_id(name, attempt));
    let outcome = match node.call(&request, RESPONSE_TIMEOUT).await {
        Ok(response) => check_response(&response, name, &request),
        Err(error) if !error.may_have_run => AttemptOutcome::NotReached,
        Err(error) => AttemptOutcome::Unknown(error.to_string()),
    };
    AttemptRecord {
        request: name.into(),
        attempt,
        outcome,
    }
}

fn check_response(
    response: &ClientResponse,
    name: &str,
    request: &ClientRequest,
) -> AttemptOutcome {
    if response.header("lynxwheel-did-not-run") == Some("true") {
        return AttemptOutcome::DidNotRun;
    }
    let text = String::from_utf8_lossy(&response.body);
    if response.status != StatusCode::OK {
        return AttemptOutcome::Unknown(text.into_owned());
    }
    let line = text.lines().next().unwrap_or_default();
    let padding = text.len().saturating_sub(line.len() + 1);
    let id = line.strip_prefix("request=").unwrap_or_default();
    let is_matching =
        is_attempt_of(id, name) && line.ends_with(&format!("bytes={}", request.body.len()));
    if is_matching && padding == requested_padding(&request.path) {
        AttemptOutcome::Answered
    } else {
        AttemptOutcome::Wrong(format!("{line} and {padding} bytes"))
    }
}

/// Returns the padding that a path requests, in bytes.
fn requested_padding(path: &str) -> usize {
    path.split_once("size=")
        .and_then(|(_, size)| size.parse().ok())
        .unwrap_or(0)
}
