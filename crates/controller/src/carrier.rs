//! Calls that this node makes for an owner on another one.
//!
//! Nothing is decided or kept here: each call carries the owner's fencing token, and its result goes
//! back. What the owner does not hear of counts as unknown there, and is asked about again.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        carried::{
            CARRIED_PATH, CallNumber, CarriedCall, CarriedRequest, CarryAnswer, CarryRequest,
            PAYLOAD_PATH,
        },
        node::Node,
    },
    compact_str::CompactString,
    http::StatusCode,
    log::info,
    lynxwheel_engine::{CallOutcome, JobId, StartOrder},
    lynxwheel_platform::EndpointClient,
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

/// Calls under way for an owner at most; an owner that is turned away makes them itself.
const MOST_UNDER_WAY: usize = 4_096;

/// Time for which results are gathered before they are sent, in milliseconds.
const GATHER_MS: u64 = 4;

/// Time for another node's answer with a payload, in milliseconds.
const PAYLOAD_MS: u64 = 250;

/// Time for the owner's answer to results, in milliseconds.
const RESULTS_MS: u64 = 500;

/// Tries to send results. After that the owner has long taken them for unknown.
const RESULTS_TRIES: u32 = 3;

/// Pause between two tries, in milliseconds.
const RETRY_MS: u64 = 50;

/// Time between two looks for connections that are not used any more, in milliseconds.
const PRUNE_EVERY_MS: u64 = 1_000;

/// Calls made for the owner of one epoch.
#[derive(Debug)]
struct Carrying {
    epoch: u64,
    owner: SocketAddr,
    calls: EndpointClient,
    under_way: AtomicUsize,
    results: Mutex<Vec<(CallNumber, CallResult)>>,
    has_results: Notify,
    is_over: AtomicBool,
}

impl Carrying {
    fn new(epoch: u64, owner: SocketAddr) -> Self {
        Self {
            epoch,
            owner,
            calls: EndpointClient::new(epoch),
            under_way: AtomicUsize::new(0),
            results: Mutex::default(),
            has_results: Notify::new(),
            is_over: AtomicBool::new(false),
        }
    }

    fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.has_results.notify_one();
    }

    fn add_result(&self, number: CallNumber, result: CallResult) {
        self.under_way.fetch_sub(1, Ordering::Relaxed);
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

/// What this node does for owners on other nodes.
#[derive(Debug, Default)]
pub struct CarrierDuty {
    current: Mutex<Option<Arc<Carrying>>>,
}

impl CarrierDuty {
    /// Takes calls of an owner, unless a later one is known.
    pub fn take(&self, node: &Arc<Node>, request: CarryRequest) -> CarryAnswer {
        let (known_epoch, _) = node.known_owner();
        if request.epoch < known_epoch || node.stopping.has_begun() {
            return CarryAnswer::NotTaken;
        }
        let Some(carrying) = self.carrying(node, request.epoch, request.owner) else {
            return CarryAnswer::NotTaken;
        };
        let count = request.calls.len();
        let under_way = carrying.under_way.fetch_add(count, Ordering::Relaxed);
        if under_way + count > MOST_UNDER_WAY {
            carrying.under_way.fetch_sub(count, Ordering::Relaxed);
            return CarryAnswer::NotTaken;
        }
        for call in request.calls {
            let node = Arc::clone(node);
            let carrying = Arc::clone(&carrying);
            tokio::spawn(async move { make(&node, &carrying, call).await });
        }
        CarryAnswer::Taken
    }

    /// Returns what is carried for an epoch; nothing for one that is over.
    fn carrying(&self, node: &Arc<Node>, epoch: u64, owner: SocketAddr) -> Option<Arc<Carrying>> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = current.as_ref() {
            if known.epoch > epoch {
                return None;
            }
            if known.epoch == epoch && !known.is_over.load(Ordering::Relaxed) {
                return Some(Arc::clone(known));
            }
            known.end();
        }
        info!(event = "carrying", epoch = epoch, owner:% = owner; "");
        let carrying = Arc::new(Carrying::new(epoch, owner));
        *current = Some(Arc::clone(&carrying));
        tokio::spawn(send_results(Arc::clone(node), Arc::clone(&carrying)));
        Some(carrying)
    }
}

/// Makes a call, and keeps its result for the owner.
async fn make(node: &Node, carrying: &Carrying, carried: CarriedCall) {
    let CarriedCall {
        number,
        to,
        mut call,
    } = carried;
    let has_payload = match &mut call {
        EndpointCall::Start(order) => add_payload(node, order).await,
        _ => true,
    };
    let result = if has_payload {
        call.make(&carrying.calls, &to).await
    } else {
        CallResult::Ordered(CallOutcome::Unsent)
    };
    carrying.add_result(number, result);
}

/// Adds the payload that the owner left out of a start; tells whether it is there.
async fn add_payload(node: &Node, order: &mut StartOrder) -> bool {
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
                ""
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
    let limit = Duration::from_millis(PAYLOAD_MS);
    let answer = client.get(&path, limit).await;
    let answer = answer.map_err(|error| error.reason)?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status.as_u16()));
    }
    let payload = CompactString::from_utf8(&answer.body).map_err(|error| error.to_string())?;
    node.payloads.note_fetched(&payload);
    Ok(payload)
}

/// Sends results to the owner until its epoch is over.
async fn send_results(node: Arc<Node>, carrying: Arc<Carrying>) {
    let prune_every = Duration::from_millis(PRUNE_EVERY_MS);
    while !carrying.is_over.load(Ordering::Relaxed) {
        if timeout(prune_every, carrying.has_results.notified())
            .await
            .is_err()
        {
            carrying.calls.prune();
            continue;
        }
        sleep(Duration::from_millis(GATHER_MS)).await;
        let results = carrying.take_results();
        if results.is_empty() {
            continue;
        }
        let request = CarriedRequest {
            epoch: carrying.epoch,
            carrier: node.peer_address,
            results,
        };
        if !send(&node, &carrying, &request).await {
            carrying.is_over.store(true, Ordering::Relaxed);
        }
    }
    info!(event = "carried", epoch = carrying.epoch, owner:% = carrying.owner; "");
}

/// Sends results; tells whether the owner may still be there.
async fn send(node: &Node, carrying: &Carrying, request: &CarriedRequest) -> bool {
    let client = node.peers.get(carrying.owner);
    let limit = Duration::from_millis(RESULTS_MS);
    for _ in 0..RESULTS_TRIES {
        let answer = client.exchange_compact(CARRIED_PATH, request, limit).await;
        match answer {
            Ok(CarryAnswer::Taken) => return true,
            Ok(CarryAnswer::NotTaken) => return false,
            Err(error) => {
                info!(
                    event = "results_lost", epoch = carrying.epoch, peer:% = carrying.owner,
                    results = request.results.len(), reason = error.reason.as_str();
                    ""
                );
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
    true
}
