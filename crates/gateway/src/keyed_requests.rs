//! At-most-once execution of non-idempotent requests with an idempotency key.
//!
//! The intent of a key is appended to the log before the first dispatch, and every node accepts
//! only the first intent of a key, so a duplicate is never dispatched. It receives the first
//! attempt's response from the node that ran it, or the refusal that the outcome is unknown.

use {
    crate::{
        attempts::{
            Attempt, Attempts, MAX_STORED_RESPONSE_BYTES, Progress, StoredResponse,
            wait_until_ended,
        },
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        intents::{IntentOutcome, Intents},
        key_age::{KeyAge, check_key_age},
        payload::Payload,
        peer_answers::{PEER_ANSWER_PATH, PeerAnswer, PeerAnswerRequest, answer_peer_request},
        refusal::{Refusal, RefusalReason},
    },
    bytes::Bytes,
    http::{Request, Response},
    lynxwheel_coordination::Node,
    lynxwheel_protocol::{KeyOutcome, RequestKey},
    lynxwheel_state::{KeyEntry, KeyState},
    lynxwheel_transport::{Body, BufferedBody, ClientPool, HeldMemory, RequestBody, buffer_body},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::Instant,
    },
};

/// Retry delay for callers of a key whose outcome is not known yet, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Maximum number of connections to one peer for its stored responses.
const PEER_CONNECTIONS: usize = 8;

/// Time added to the wait requested from a peer, for the exchange itself.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Response to an attempt, or its refusal.
type Outcome = Result<Response<Body>, Refusal>;

/// A run of a keyed request, owned by the task that executes it.
#[derive(Debug)]
struct KeyedRun {
    request: CallerRequest,
    key: RequestKey,
    request_digest: u64,
    body: Bytes,
    _held: HeldMemory,
    deadline: Instant,
}

/// Runs requests with idempotency keys; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct KeyedRequests {
    node: Node,
    dispatcher: Dispatcher,
    intents: Intents,
    attempts: Attempts,
    peers: Arc<ClientPool>,
    in_flight: Arc<watch::Sender<()>>,
}

impl KeyedRequests {
    pub(crate) fn new(node: Node, dispatcher: Dispatcher) -> Self {
        Self {
            intents: Intents::new(node.clone()),
            attempts: Attempts::default(),
            peers: Arc::new(ClientPool::new(PEER_CONNECTIONS)),
            in_flight: Arc::new(watch::Sender::new(())),
            node,
            dispatcher,
        }
    }

    /// Answers a peer's request for the response of a key.
    pub(crate) async fn handle_peer_answer(&self, request: Request<RequestBody>) -> Response<Body> {
        answer_peer_request(&self.attempts, self.node.incarnation(), request).await
    }

    /// Waits until the outcome of every started request is in the log.
    pub(crate) async fn wait_for_outcomes(&self) {
        self.in_flight.closed().await;
    }

    /// Runs a request unless an earlier attempt with its key exists on any node.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        key: &str,
        (body, held): (Bytes, HeldMemory),
        deadline: Instant,
    ) -> Outcome {
        self.check_age(request)?;
        let key = request.request_key(key);
        let request_digest = request.digest(&body);
        loop {
            if let Some(Attempt::Duplicate {
                request_digest: first_digest,
                progress,
            }) = self.attempts.find(key)
            {
                check_digest(first_digest, request_digest)?;
                match wait_until_ended(progress, deadline).await {
                    Some(progress) => return outcome_of(progress),
                    // The first attempt found the key taken by another node: check the log.
                    None => continue,
                }
            }
            if let Some(entry) = self.blocking_entry(key) {
                return self.answer(&entry, request_digest, deadline).await;
            }
            if let Attempt::Duplicate { .. } = self.attempts.begin(key, request_digest) {
                continue;
            }
            let run = KeyedRun {
                request: request.clone(),
                key,
                request_digest,
                body,
                _held: held,
                deadline,
            };
            return self.spawn(run).await;
        }
    }

    /// Refuses keys so old that earlier attempts may no longer be recorded.
    fn check_age(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let retention_ms = self.node.state().key_retention_ms();
        match check_key_age(request.issued_ms, self.node.clock().now_ms(), retention_ms) {
            KeyAge::Valid => Ok(()),
            KeyAge::Expired => Err(Refusal::may_have_run(
                RefusalReason::KeyTooOld,
                "this attempt did not run; the key is too old to know of earlier ones",
            )),
            KeyAge::InFuture => Err(Refusal::not_run(
                RefusalReason::BadRequest,
                "the key's time lies in the future",
            )),
        }
    }

    /// Returns the entry of a key in the log, unless the key may be used again.
    fn blocking_entry(&self, key: RequestKey) -> Option<KeyEntry> {
        let state = self.node.state();
        let entry = state.key(key)?;
        let is_reusable = entry.state == KeyState::Ended(KeyOutcome::NotRun);
        (!is_reusable).then(|| entry.clone())
    }

    /// Runs the first attempt in a separate task.
    ///
    /// The handler is dropped when its caller disconnects, but a request whose intent is in the log
    /// must still get an outcome, for which duplicates wait.
    async fn spawn(&self, run: KeyedRun) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let deadline = run.deadline;
        let requests = self.clone();
        let guard = self.in_flight.subscribe();
        tokio::spawn(async move {
            requests.execute(&run, reply).await;
            drop(guard);
        });
        match tokio::time::timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(unknown_refusal()),
            Err(_) => Err(pending_refusal()),
        }
    }

    async fn execute(&self, run: &KeyedRun, reply: oneshot::Sender<Outcome>) {
        match self.intents.propose(run.key, run.request_digest).await {
            IntentOutcome::Accepted => self.dispatch(run, reply).await,
            IntentOutcome::KeyTaken => {
                self.attempts.remove(run.key);
                let outcome = match self.blocking_entry(run.key) {
                    Some(entry) => self.answer(&entry, run.request_digest, run.deadline).await,
                    None => Err(pending_refusal()),
                };
                send(reply, outcome);
            }
            IntentOutcome::NotAppended(refusal) => {
                self.attempts.notify_refused(run.key, &refusal);
                self.attempts.remove(run.key);
                send(reply, Err(refusal));
            }
            IntentOutcome::Unknown { id, refusal } => {
                self.attempts.notify_refused(run.key, &refusal);
                send(reply, Err(refusal));
                self.intents.withdraw(run.key, id).await;
                self.attempts.remove(run.key);
            }
        }
    }

    /// Dispatches a request whose intent was accepted and records its outcome.
    async fn dispatch(&self, run: &KeyedRun, reply: oneshot::Sender<Outcome>) {
        let result = if Instant::now() < run.deadline {
            let mut payload = Payload::with_bytes(run.body.clone(), HeldMemory::default());
            self.dispatcher
                .run(&run.request, &mut payload, run.deadline)
                .await
        } else {
            Err(deadline_refusal())
        };
        match result {
            Ok(response) => self.finish(run, response, reply).await,
            Err(refusal) => self.finish_refused(run, refusal, reply).await,
        }
    }

    async fn finish(
        &self,
        run: &KeyedRun,
        response: Response<Body>,
        reply: oneshot::Sender<Outcome>,
    ) {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        let (progress, response) = match buffer_body(body, MAX_STORED_RESPONSE_BYTES).await {
            Ok(BufferedBody::Complete(body)) => {
                let stored = StoredResponse::new(parts.status, &parts.headers, &body);
                let response = stored.to_response();
                (Progress::Answered(Arc::new(stored)), response)
            }
            Ok(BufferedBody::Exceeded(body)) => (
                Progress::TooLarge(status),
                Response::from_parts(parts, body),
            ),
            Err(error) => {
                let detail = format!("the answer is not whole, not run again: {error}");
                let refusal = Refusal::may_have_run(RefusalReason::OutcomeUnknown, detail);
                return self.finish_refused(run, refusal, reply).await;
            }
        };
        self.attempts.finish(run.key, progress);
        send(reply, Ok(response));
        self.intents
            .record(run.key, KeyOutcome::Answered(status))
            .await;
    }

    async fn finish_refused(
        &self,
        run: &KeyedRun,
        refusal: Refusal,
        reply: oneshot::Sender<Outcome>,
    ) {
        if refusal.did_not_run {
            // The key stays taken on this node until the outcome is in the log.
            self.attempts.notify_refused(run.key, &refusal);
            send(reply, Err(refusal));
            self.intents.record(run.key, KeyOutcome::NotRun).await;
            self.attempts.remove(run.key);
        } else {
            self.attempts
                .finish(run.key, Progress::Refused(refusal.clone()));
            send(reply, Err(refusal));
            self.intents.record(run.key, KeyOutcome::Unknown).await;
        }
    }

    /// Answers a duplicate from the first attempt's entry in the log.
    async fn answer(&self, entry: &KeyEntry, request_digest: u64, deadline: Instant) -> Outcome {
        check_digest(entry.request_digest, request_digest)?;
        if entry.state == KeyState::Ended(KeyOutcome::Unknown) {
            return Err(unknown_refusal());
        }
        let is_pending = entry.state == KeyState::Pending;
        let answer = if self.is_holder_restarted(entry) {
            PeerAnswer::OtherRun
        } else {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let wait = if is_pending {
                remaining
            } else {
                Duration::ZERO
            };
            self.query_holder(entry, wait).await
        };
        match answer {
            PeerAnswer::Answered(stored) => Ok(stored.to_response()),
            PeerAnswer::TooLarge(status) => Err(not_stored_refusal(status)),
            PeerAnswer::Refused(refusal) => Err(refusal),
            PeerAnswer::Running | PeerAnswer::NotKept | PeerAnswer::OtherRun => {
                Err(match entry.state {
                    KeyState::Ended(KeyOutcome::Answered(status)) => not_stored_refusal(status),
                    _ if answer == PeerAnswer::OtherRun => unknown_refusal(),
                    _ => pending_refusal(),
                })
            }
        }
    }

    /// Returns whether the holder was restarted since the entry, so that its attempt is lost.
    fn is_holder_restarted(&self, entry: &KeyEntry) -> bool {
        let state = self.node.state();
        state
            .writers()
            .latest(entry.holder.as_str())
            .is_some_and(|writer| writer.incarnation != entry.incarnation)
    }

    /// Asks the holder for the response.
    ///
    /// A holder that sends no heartbeats and cannot be reached is treated as restarted, so that the
    /// caller gets a final result.
    async fn query_holder(&self, entry: &KeyEntry, wait: Duration) -> PeerAnswer {
        let peers = &self.node.settings().peers;
        let Ok(index) = peers.binary_search_by(|peer| peer.node.cmp(&entry.holder)) else {
            return PeerAnswer::NotKept;
        };
        let query = PeerAnswerRequest {
            key: entry.key,
            incarnation: entry.incarnation,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let is_unresponsive = self.node.live_nodes().binary_search(&entry.holder).is_err();
        let timeout = if is_unresponsive {
            PEER_TIMEOUT_MARGIN
        } else {
            wait + PEER_TIMEOUT_MARGIN
        };
        let client = self.peers.get(peers[index].address);
        let reply = client.post_message(PEER_ANSWER_PATH, &query, timeout).await;
        match reply {
            Ok(answer) => answer,
            Err(_) if is_unresponsive => PeerAnswer::OtherRun,
            Err(_) => PeerAnswer::NotKept,
        }
    }
}

fn check_digest(first: u64, duplicate: u64) -> Result<(), Refusal> {
    if first == duplicate {
        return Ok(());
    }
    let detail = "the key was used for another request; this one did not run";
    Err(Refusal::not_run(RefusalReason::KeyReused, detail))
}

fn outcome_of(progress: Progress) -> Outcome {
    match progress {
        Progress::Answered(stored) => Ok(stored.to_response()),
        Progress::TooLarge(status) => Err(not_stored_refusal(status)),
        Progress::Refused(refusal) => Err(refusal),
        Progress::Running => Err(pending_refusal()),
    }
}

fn pending_refusal() -> Refusal {
    let detail = "outcome unknown, not run again: the first attempt may be running";
    Refusal::may_have_run(RefusalReason::KeyPending, detail).with_retry_after_ms(RETRY_AFTER_MS)
}

fn unknown_refusal() -> Refusal {
    Refusal::may_have_run(
        RefusalReason::OutcomeUnknown,
        "outcome unknown, not run again",
    )
}

fn not_stored_refusal(status: u16) -> Refusal {
    let detail =
        format!("not run again: the first attempt was answered with {status}, no longer kept");
    Refusal::may_have_run(RefusalReason::KeyEnded, detail)
}

fn deadline_refusal() -> Refusal {
    Refusal::not_run(
        RefusalReason::Timeout,
        "the deadline passed before the start",
    )
    .with_retry_after_ms(RETRY_AFTER_MS)
}

fn send(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    // The send fails if the caller disconnected, which may retry with its key.
    drop(reply.send(outcome));
}
