//! Running non-idempotent requests at most once.
//!
//! The intent of a key enters the log before the first dispatch and the first intent of a key wins
//! on every node, so a second attempt is never dispatched. It gets the first one's answer from the
//! node that ran it, or is told that the outcome is unknown.

use {
    crate::{
        answers::{Answers, Attempt, MAX_ANSWER_BYTES, Progress, StoredResponse, wait_ended},
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        intents::{Intended, Intents},
        key_age::{KeyAge, check_key_age},
        payload::Payload,
        peers::{PEER_ANSWER_PATH, PeerAnswer, PeerAnswerRequest, answer_peer},
        refusal::{Refusal, RefusalReason},
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::body::Incoming,
    lynxwheel_coordination::Node,
    lynxwheel_protocol::{KeyOutcome, RequestKey},
    lynxwheel_state::{KeyEntry, KeyState},
    lynxwheel_transport::{Body, BufferedBody, ClientPool, buffer_body},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::Instant,
    },
};

/// Time after which to come back to a key that is not settled, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Connections to one peer for its answers.
const PEER_CONNECTIONS: usize = 8;

/// Time for which a peer's answer may be late beyond its own wait.
const PEER_MARGIN: Duration = Duration::from_millis(500);

/// Result of an attempt, for its caller.
type Outcome = Result<Response<Body>, Refusal>;

/// A request with its key, owned by the task that runs it.
#[derive(Debug)]
struct Run {
    request: CallerRequest,
    key: RequestKey,
    request_digest: u64,
    body: Bytes,
    deadline: Instant,
}

/// Runs requests with keys; copies share the state.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    node: Node,
    dispatcher: Dispatcher,
    intents: Intents,
    answers: Answers,
    peers: Arc<ClientPool>,
    under_way: Arc<watch::Sender<()>>,
}

impl Keys {
    pub(crate) fn new(node: Node, dispatcher: Dispatcher) -> Self {
        Self {
            intents: Intents::new(node.clone()),
            answers: Answers::default(),
            peers: Arc::new(ClientPool::new(PEER_CONNECTIONS)),
            under_way: Arc::new(watch::Sender::new(())),
            node,
            dispatcher,
        }
    }

    /// Answers a peer's question for the answer of a key.
    pub(crate) async fn answer_peer(&self, request: Request<Incoming>) -> Response<Body> {
        answer_peer(&self.answers, self.node.incarnation(), request).await
    }

    /// Waits until the outcome of every request that was begun is in the log.
    pub(crate) async fn wait_for_outcomes(&self) {
        self.under_way.closed().await;
    }

    /// Runs a request unless an attempt with its key came before, on any node.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        key: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Outcome {
        self.check_age(request)?;
        let key = request.request_key(key);
        let request_digest = request.digest(&body);
        loop {
            if let Some(Attempt::Second {
                request_digest: first,
                progress,
            }) = self.answers.find(key)
            {
                check_digest(first, request_digest)?;
                match wait_ended(progress, deadline).await {
                    Some(progress) => return second_outcome(progress),
                    // The first attempt met a key that is settled elsewhere; look again.
                    None => continue,
                }
            }
            if let Some(entry) = self.entry(key) {
                return self.settle(&entry, request_digest, deadline).await;
            }
            if let Attempt::Second { .. } = self.answers.begin(key, request_digest) {
                continue;
            }
            let run = Run {
                request: request.clone(),
                key,
                request_digest,
                body,
                deadline,
            };
            return self.start(run).await;
        }
    }

    /// Refuses keys whose earlier attempts may have been forgotten.
    fn check_age(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let keep_ms = self.node.state().key_keep_ms();
        match check_key_age(request.issued_ms, self.node.clock().now_ms(), keep_ms) {
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

    /// Returns the entry of a key that must not be used again.
    fn entry(&self, key: RequestKey) -> Option<KeyEntry> {
        let state = self.node.state();
        let entry = state.key(key)?;
        let may_be_used_again = entry.state == KeyState::Ended(KeyOutcome::NotRun);
        (!may_be_used_again).then(|| entry.clone())
    }

    /// Runs the first attempt in a task of its own.
    ///
    /// A caller that goes away drops its handler. Without the task this would abandon the request
    /// between its intent and its outcome, and second attempts would wait for nothing.
    async fn start(&self, run: Run) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let deadline = run.deadline;
        let keys = self.clone();
        let guard = self.under_way.subscribe();
        tokio::spawn(async move {
            keys.execute(&run, reply).await;
            drop(guard);
        });
        match tokio::time::timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(unknown()),
            Err(_) => Err(pending()),
        }
    }

    async fn execute(&self, run: &Run, reply: oneshot::Sender<Outcome>) {
        match self.intents.propose(run.key, run.request_digest).await {
            Intended::Accepted => self.dispatch(run, reply).await,
            Intended::Taken => {
                self.answers.forget(run.key);
                let outcome = match self.entry(run.key) {
                    Some(entry) => self.settle(&entry, run.request_digest, run.deadline).await,
                    None => Err(pending()),
                };
                send(reply, outcome);
            }
            Intended::NotAppended(refusal) => {
                self.answers.tell(run.key, &refusal);
                self.answers.forget(run.key);
                send(reply, Err(refusal));
            }
            Intended::Unknown { id, refusal } => {
                self.answers.tell(run.key, &refusal);
                send(reply, Err(refusal));
                self.intents.withdraw(run.key, id).await;
                self.answers.forget(run.key);
            }
        }
    }

    /// Runs a request whose intent was accepted and records its outcome.
    async fn dispatch(&self, run: &Run, reply: oneshot::Sender<Outcome>) {
        let result = if Instant::now() < run.deadline {
            let mut payload = Payload::Kept(run.body.clone());
            self.dispatcher
                .run(&run.request, &mut payload, run.deadline)
                .await
        } else {
            Err(late())
        };
        match result {
            Ok(response) => self.keep(run, response, reply).await,
            Err(refusal) => self.give_up(run, refusal, reply).await,
        }
    }

    async fn keep(&self, run: &Run, response: Response<Body>, reply: oneshot::Sender<Outcome>) {
        let (parts, body) = response.into_parts();
        let status = parts.status.as_u16();
        let (progress, response) = match buffer_body(body, MAX_ANSWER_BYTES).await {
            Ok(BufferedBody::Complete(body)) => {
                let kept = StoredResponse::new(parts.status, &parts.headers, &body);
                let response = kept.to_response();
                (Progress::Answered(Arc::new(kept)), response)
            }
            Ok(BufferedBody::Exceeded(body)) => (
                Progress::TooLarge(status),
                Response::from_parts(parts, body),
            ),
            Err(error) => {
                let detail = format!("the answer is not whole, not run again: {error}");
                let refusal = Refusal::may_have_run(RefusalReason::OutcomeUnknown, detail);
                return self.give_up(run, refusal, reply).await;
            }
        };
        self.answers.end(run.key, progress);
        send(reply, Ok(response));
        self.intents
            .record(run.key, KeyOutcome::Answered(status))
            .await;
    }

    async fn give_up(&self, run: &Run, refusal: Refusal, reply: oneshot::Sender<Outcome>) {
        if refusal.did_not_run {
            // The key stays taken on this node until the log says that it may be used again.
            self.answers.tell(run.key, &refusal);
            send(reply, Err(refusal));
            self.intents.record(run.key, KeyOutcome::NotRun).await;
            self.answers.forget(run.key);
        } else {
            self.answers
                .end(run.key, Progress::Refused(refusal.clone()));
            send(reply, Err(refusal));
            self.intents.record(run.key, KeyOutcome::Unknown).await;
        }
    }

    /// Answers a second attempt by what the log says of the first one.
    async fn settle(&self, entry: &KeyEntry, request_digest: u64, deadline: Instant) -> Outcome {
        check_digest(entry.request_digest, request_digest)?;
        if entry.state == KeyState::Ended(KeyOutcome::Unknown) {
            return Err(unknown());
        }
        let is_pending = entry.state == KeyState::Pending;
        let answer = if self.has_later_run(entry) {
            PeerAnswer::OtherRun
        } else {
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = if is_pending { left } else { Duration::ZERO };
            self.ask_holder(entry, wait).await
        };
        match answer {
            PeerAnswer::Answered(kept) => Ok(kept.to_response()),
            PeerAnswer::TooLarge(status) => Err(not_kept(status)),
            PeerAnswer::Refused(refusal) => Err(refusal),
            PeerAnswer::Running | PeerAnswer::NotKept | PeerAnswer::OtherRun => {
                Err(match entry.state {
                    KeyState::Ended(KeyOutcome::Answered(status)) => not_kept(status),
                    _ if answer == PeerAnswer::OtherRun => unknown(),
                    _ => pending(),
                })
            }
        }
    }

    /// Tells whether the holder was started again, so that nothing more can come of the entry's run.
    fn has_later_run(&self, entry: &KeyEntry) -> bool {
        let state = self.node.state();
        state
            .writers()
            .latest(entry.holder.as_str())
            .is_some_and(|writer| writer.incarnation != entry.incarnation)
    }

    /// Asks the holder for the answer; a holder that is silent and does not answer is taken for
    /// gone, which is final for the caller.
    async fn ask_holder(&self, entry: &KeyEntry, wait: Duration) -> PeerAnswer {
        let peers = &self.node.settings().peers;
        let Ok(row) = peers.binary_search_by(|peer| peer.node.cmp(&entry.holder)) else {
            return PeerAnswer::NotKept;
        };
        let question = PeerAnswerRequest {
            key: entry.key,
            incarnation: entry.incarnation,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let is_silent = self.node.live_nodes().binary_search(&entry.holder).is_err();
        let limit = if is_silent {
            PEER_MARGIN
        } else {
            wait + PEER_MARGIN
        };
        let client = self.peers.get(peers[row].address);
        let answered = client
            .post_message(PEER_ANSWER_PATH, &question, limit)
            .await;
        match answered {
            Ok(answer) => answer,
            Err(_) if is_silent => PeerAnswer::OtherRun,
            Err(_) => PeerAnswer::NotKept,
        }
    }
}

fn check_digest(first: u64, second: u64) -> Result<(), Refusal> {
    if first == second {
        return Ok(());
    }
    let detail = "the key was used for another request; this one did not run";
    Err(Refusal::not_run(RefusalReason::KeyReused, detail))
}

fn second_outcome(progress: Progress) -> Outcome {
    match progress {
        Progress::Answered(kept) => Ok(kept.to_response()),
        Progress::TooLarge(status) => Err(not_kept(status)),
        Progress::Refused(refusal) => Err(refusal),
        Progress::Running => Err(pending()),
    }
}

fn pending() -> Refusal {
    let detail = "outcome unknown, not run again: the first attempt may be running";
    Refusal::may_have_run(RefusalReason::KeyPending, detail).with_retry_after_ms(RETRY_AFTER_MS)
}

fn unknown() -> Refusal {
    Refusal::may_have_run(
        RefusalReason::OutcomeUnknown,
        "outcome unknown, not run again",
    )
}

fn not_kept(status: u16) -> Refusal {
    let detail =
        format!("not run again: the first attempt was answered with {status}, no longer kept");
    Refusal::may_have_run(RefusalReason::KeyEnded, detail)
}

fn late() -> Refusal {
    Refusal::not_run(
        RefusalReason::Timeout,
        "the deadline passed before the start",
    )
    .with_retry_after_ms(RETRY_AFTER_MS)
}

fn send(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    // A caller that went away asks again with its key.
    drop(reply.send(outcome));
}
