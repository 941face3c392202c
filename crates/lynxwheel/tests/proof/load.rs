//! Callers that ask for as long as a test lasts and note what they were told.

use {
    crate::{
        balancer::Balancer,
        checker::{Told, Verdict, attempt_id, is_attempt_of},
        common::LIMIT,
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

/// Time that a caller waits for one answer.
const WAIT: Duration = Duration::from_secs(5);

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(5);

/// Connections of one caller to one node, its own, so that none is kept unused while a node
/// drains.
const CONNECTIONS: usize = 1;

/// Attempts of one request, each at the next node, as a caller behind the balancer makes them.
const ATTEMPTS: usize = 3;

/// Callers under way.
pub struct Load {
    is_over: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Vec<Told>>>,
}

impl Load {
    /// Starts callers; every second request is non-idempotent and carries a key.
    pub fn start(nodes: &[Client], callers: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
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
                    answered: Arc::clone(&answered),
                    told: Vec::new(),
                };
                tokio::spawn(caller.ask_until(Arc::clone(&is_over)))
            })
            .collect();
        Self {
            is_over,
            answered,
            callers,
        }
    }

    /// Waits until `count` more requests have been answered in full.
    pub async fn wait_answered(&self, count: u64) {
        let target = self.answered.load(Ordering::Relaxed) + count;
        let until = Instant::now() + LIMIT;
        while self.answered.load(Ordering::Relaxed) < target {
            assert!(Instant::now() < until, "requests are no longer answered");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Ends the load and returns what the callers were told.
    pub async fn stop(self) -> Vec<Told> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut told = Vec::new();
        for caller in self.callers {
            told.extend(caller.await.expect("no panic"));
        }
        told
    }
}

struct Caller {
    number: usize,
    balancer: Balancer,
    nodes: Vec<Client>,
    answered: Arc<AtomicU64>,
    told: Vec<Told>,
}

impl Caller {
    async fn ask_until(mut self, is_over: Arc<AtomicBool>) -> Vec<Told> {
        let mut count = 0;
        while !is_over.load(Ordering::Relaxed) {
            self.ask(count).await;
            count += 1;
            tokio::time::sleep(PAUSE).await;
        }
        self.told
    }

    async fn ask(&mut self, count: usize) {
        let is_idempotent = count.is_multiple_of(2);
        let name = format!("{}-{count}", self.number);
        for attempt in 0..ATTEMPTS {
            let row = self.balancer.choose(self.number + count + attempt);
            let node = &self.nodes[row];
            let request = if is_idempotent {
                ClientRequest::new(Method::GET, "/maps/work?ms=5&size=20000")
            } else {
                ClientRequest::new(Method::POST, "/maps/charge?ms=10")
                    .with_header("idempotency-key", format!("charge-{name}"))
                    .with_body(format!("charge {count}"))
            };
            let told = ask_once(node, request, &name, attempt).await;
            let verdict = told.verdict.clone();
            self.told.push(told);
            if verdict == Verdict::Answered {
                self.answered.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Asks once and judges the answer.
pub async fn ask_once(node: &Client, request: ClientRequest, name: &str, attempt: usize) -> Told {
    let request = request.with_header("x-request-id", attempt_id(name, attempt));
    let verdict = match node.call(&request, WAIT).await {
        Ok(answer) => judge(&answer, name, &request),
        Err(error) if !error.may_have_run => Verdict::NotReached,
        Err(error) => Verdict::Unknown(error.to_string()),
    };
    Told {
        request: name.into(),
        attempt,
        verdict,
    }
}

fn judge(answer: &ClientResponse, name: &str, request: &ClientRequest) -> Verdict {
    if answer.header("lynxwheel-did-not-run") == Some("true") {
        return Verdict::DidNotRun;
    }
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status != StatusCode::OK {
        return Verdict::Unknown(text.into_owned());
    }
    let line = text.lines().next().unwrap_or_default();
    let padding = text.len().saturating_sub(line.len() + 1);
    let id = line.strip_prefix("request=").unwrap_or_default();
    let is_own =
        is_attempt_of(id, name) && line.ends_with(&format!("bytes={}", request.body.len()));
    if is_own && padding == size_of(&request.path) {
        Verdict::Answered
    } else {
        Verdict::Wrong(format!("{line} and {padding} bytes"))
    }
}

/// Returns the padding that a path asks for, in bytes.
fn size_of(path: &str) -> usize {
    path.split_once("size=")
        .and_then(|(_, size)| size.parse().ok())
        .unwrap_or(0)
}
