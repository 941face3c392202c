//! Delegate side of endpoint calls: executes them for an owner on another node.
//!
//! The delegate keeps no durable state: each call carries the owner's fencing token, and its result
//! is reported to the owner. Calls without a reported result count as unknown there and are
//! resolved by the owner.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        clock,
        delegate_messages::{
            CallNumber, DELEGATE_RESULTS_PATH, DelegateReply, DelegateRequest, DelegateResults,
            DelegatedCall, PAYLOAD_PATH,
        },
        newest_renewals::NewestRenewals,
        node::Node,
    },
    compact_str::CompactString,
    http::StatusCode,
    log::info,
    lynxwheel_engine::{CallOutcome, JobId, StartOrder},
    lynxwheel_platform::EndpointClient,
    lynxwheel_transport::SendCondition,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Maximum number of calls in flight for an owner; the owner executes refused calls itself.
const MAX_IN_FLIGHT_CALLS: usize = 4_096;

/// Time for which results are collected into one message, in milliseconds.
const RESULT_BATCH_DELAY_MS: u64 = 4;

/// Timeout for fetching a payload, in milliseconds.
const PAYLOAD_TIMEOUT_MS: u64 = 250;

/// Timeout for delivering results, in milliseconds.
const RESULTS_TIMEOUT_MS: u64 = 500;

/// Maximum number of attempts to deliver results. The owner has timed out the calls by then.
const MAX_RESULTS_ATTEMPTS: u32 = 3;

/// Delay between attempts, in milliseconds.
const RETRY_DELAY_MS: u64 = 50;

/// Interval at which unused endpoint connections are closed, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Calls in flight and undelivered results for the owner of one epoch.
#[derive(Debug)]
struct DelegateSession {
    epoch: u64,
    owner: SocketAddr,
    client: EndpointClient,
    in_flight: AtomicUsize,
    newest_renewals: Mutex<NewestRenewals>,
    results: Mutex<Vec<(CallNumber, CallResult)>>,
    has_results: Notify,
    is_over: AtomicBool,
}

impl DelegateSession {
    fn new(epoch: u64, owner: SocketAddr) -> Self {
        Self {
            epoch,
            owner,
            client: EndpointClient::new(epoch),
            in_flight: AtomicUsize::new(0),
            newest_renewals: Mutex::default(),
            results: Mutex::default(),
            has_results: Notify::new(),
            is_over: AtomicBool::new(false),
        }
    }

    fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.has_results.notify_one();
    }

    /// Returns whether a call may be executed: a renewal may not if a newer one was accepted.
    fn may_execute(&self, call: &DelegatedCall) -> bool {
        let newest = self.newest_renewals.lock();
        let mut newest = newest.unwrap_or_else(PoisonError::into_inner);
        match call.call {
            EndpointCall::Renew { .. } => newest.record(call.to.address, call.number),
            _ => true,
        }
    }

    fn add_result(&self, number: CallNumber, result: CallResult) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.push((number, result));
        drop(results);
        self.has_results.notify_one();
    }

    fn take_results(&self) -> Vec<(CallNumber, CallResult)> {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut results)
    }
}

/// Executes endpoint calls for owners on other nodes.
#[derive(Debug, Default)]
pub struct DelegateWorker {
    current: Mutex<Option<Arc<DelegateSession>>>,
}

impl DelegateWorker {
    /// Starts executing calls, unless a newer epoch is known.
    pub fn accept(&self, node: &Arc<Node>, request: DelegateRequest) -> DelegateReply {
        let (known_epoch, _) = node.known_owner();
        let accepted_ms = clock::steady_ms();
        if request.epoch < known_epoch
            || node.stopping.has_begun()
            || !node.is_owner_known(accepted_ms)
        {
            return DelegateReply::Refused;
        }
        let Some(session) = self.session(node, request.epoch, request.owner) else {
            return DelegateReply::Refused;
        };
        let count = request.calls.len();
        let in_flight = session.in_flight.fetch_add(count, Ordering::Relaxed);
        if in_flight + count > MAX_IN_FLIGHT_CALLS {
            session.in_flight.fetch_sub(count, Ordering::Relaxed);
            return DelegateReply::Refused;
        }
        for call in request.calls {
            if !session.may_execute(&call) {
                session.add_result(call.number, CallResult::Renewed(CallOutcome::Unknown));
                continue;
            }
            let node = Arc::clone(node);
            let session = Arc::clone(&session);
            tokio::spawn(async move { execute_call(&node, &session, call, accepted_ms).await });
        }
        DelegateReply::Accepted
    }

    /// Returns whether calls of an owner may still be executed or delivered.
    pub fn is_active(&self) -> bool {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let is_over = |session: &Arc<DelegateSession>| session.is_over.load(Ordering::Relaxed);
        current.as_ref().is_some_and(|session| !is_over(session))
    }

    /// Returns the session of an epoch, starting it if needed; `None` if the epoch is outdated.
    fn session(
        &self,
        node: &Arc<Node>,
        epoch: u64,
        owner: SocketAddr,
    ) -> Option<Arc<DelegateSession>> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(existing) = current.as_ref() {
            if existing.epoch > epoch {
                return None;
            }
            if existing.epoch == epoch && !existing.is_over.load(Ordering::Relaxed) {
                return Some(Arc::clone(existing));
            }
            existing.end();
        }
        info!(event = "carrying", epoch = epoch, owner:% = owner; "delegate session started");
        // The ownership log may have a newer epoch that this node has not read yet.
        node.owner_suspected.notify_one();
        let session = Arc::new(DelegateSession::new(epoch, owner));
        *current = Some(Arc::clone(&session));
        tokio::spawn(send_results(Arc::clone(node), Arc::clone(&session)));
        Some(session)
    }
}

/// Executes a call and queues its result for delivery.
///
/// It is not sent if a newer epoch is known by then, or if the process was suspended since the call
/// was accepted: its owner has given it up, and may have been succeeded.
async fn execute_call(
    node: &Arc<Node>,
    session: &DelegateSession,
    delegated: DelegatedCall,
    accepted_ms: u64,
) {
    let DelegatedCall {
        number,
        to,
        mut call,
    } = delegated;
    let has_payload = match &mut call {
        EndpointCall::Start(order) => attach_payload(node, order).await,
        _ => true,
    };
    let result = if has_payload {
        let epoch = session.epoch;
        let node = Arc::clone(node);
        let condition = SendCondition::new(move || {
            let now_ms = clock::steady_ms();
            node.suspension.has_run_since(accepted_ms, now_ms) && node.known_owner().0 <= epoch
        });
        let client = session.client.clone();
        let client = client.with_conditions(condition.clone(), condition);
        call.execute(&client, &to).await
    } else {
        CallResult::Ordered(CallOutcome::Unsent)
    };
    session.add_result(number, result);
}

/// Restores the payload that the owner stripped from a start. Returns whether it is available.
async fn attach_payload(node: &Node, order: &mut StartOrder) -> bool {
    let Some(origin) = order.origin else {
        return true;
    };
    let job = order.task.job;
    let cell = node.payloads.cell(job);
    let fetched = cell
        .get_or_try_init(|| fetch_payload(node, origin, job))
        .await;
    match fetched {
        Ok(payload) => {
            order.payload.clone_from(payload);
            true
        }
        Err(reason) => {
            info!(
                event = "payload_missing", job = job.as_str(), peer:% = origin,
                reason = reason.as_str();
                "fetching the payload failed"
            );
            false
        }
    }
}

async fn fetch_payload(
    node: &Node,
    origin: SocketAddr,
    job: JobId,
) -> Result<CompactString, String> {
    let path = format!("{PAYLOAD_PATH}{job}");
    let client = node.peers.get(origin);
    let limit = Duration::from_millis(PAYLOAD_TIMEOUT_MS);
    let response = client.get(&path, limit).await;
    let response = response.map_err(|error| error.reason)?;
    if response.status != StatusCode::OK {
        return Err(format!("status {}", response.status.as_u16()));
    }
    let payload = CompactString::from_utf8(&response.body).map_err(|error| error.to_string())?;
    node.payloads.record_fetched(&payload);
    Ok(payload)
}

/// Delivers results to the owner until its epoch ends.
async fn send_results(node: Arc<Node>, session: Arc<DelegateSession>) {
    let prune_interval = Duration::from_millis(PRUNE_INTERVAL_MS);
    while !session.is_over.load(Ordering::Relaxed) {
        if timeout(prune_interval, session.has_results.notified())
            .await
            .is_err()
        {
            session.client.prune();
            continue;
        }
        sleep(Duration::from_millis(RESULT_BATCH_DELAY_MS)).await;
        let results = session.take_results();
        if results.is_empty() {
            continue;
        }
        let request = DelegateResults {
            epoch: session.epoch,
            delegate: node.peer_address,
            results,
        };
        if !deliver(&node, &session, &request).await {
            session.is_over.store(true, Ordering::Relaxed);
        }
    }
    info!(
        event = "carried", epoch = session.epoch, owner:% = session.owner;
        "delegate session ended"
    );
}

/// Delivers results. Returns `false` if the owner's epoch has ended.
async fn deliver(node: &Node, session: &DelegateSession, request: &DelegateResults) -> bool {
    let client = node.peers.get(session.owner);
    let limit = Duration::from_millis(RESULTS_TIMEOUT_MS);
    for _ in 0..MAX_RESULTS_ATTEMPTS {
        let response = client
            .post_compact_message(DELEGATE_RESULTS_PATH, request, limit)
            .await;
        match response {
            Ok(DelegateReply::Accepted) => return true,
            Ok(DelegateReply::Refused) => return false,
            Err(error) => {
                info!(
                    event = "results_lost", epoch = session.epoch, peer:% = session.owner,
                    results = request.results.len(), reason = error.reason.as_str();
                    "delivering results to the owner failed"
                );
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
    true
}
