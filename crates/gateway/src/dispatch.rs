//! Sending a request to an endpoint, and trying another where that is safe.

use {
    crate::{
        caller_request::CallerRequest,
        endpoints::{Endpoint, Slot},
        forward::{NotStarted, not_started, outgoing, outgoing_to_peer, remove_hop_headers},
        limits::RetryBudget,
        payload::{Payload, STALL},
        queue::Place,
        refusal::{DID_NOT_RUN_HEADER, Refusal, RefusalReason},
        table::{Row, ServiceRow, Spare, Tables},
    },
    http::Response,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::{
        Admission, AdmissionView, EndpointView, RoutePolicy, RouteReason, RouteRequest, admit,
    },
    lynxwheel_protocol::VmName,
    lynxwheel_transport::{Body, ClientPool, TransportError, guarded_body, limited_body},
    std::{net::SocketAddr, sync::Arc},
    tokio::time::Instant,
};

/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 3;

/// Requests of one service that wait for a slot at most.
const MAX_WAITING: usize = 256;

/// Connections to one peer for passing requests on.
const PEER_CONNECTIONS: usize = 64;

/// Time after which to come back when no endpoint can take a request, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Sends requests to endpoints; copies share the state.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    node: Node,
    tables: Tables,
    budget: RetryBudget,
    policy: RoutePolicy,
    peers: Arc<ClientPool>,
}

/// Outcome of one look for a slot.
enum Choice {
    /// A slot is taken.
    Taken(Slot),
    /// Every slot is taken.
    NoFreeSlot,
    /// No endpoint is left to try.
    NoEndpoint,
}

impl Dispatcher {
    pub(crate) fn new(node: Node, tables: Tables, policy: RoutePolicy) -> Self {
        Self {
            node,
            tables,
            budget: RetryBudget::new(),
            policy,
            peers: Arc::new(ClientPool::new(PEER_CONNECTIONS)),
        }
    }

    /// Runs a request on some endpoint of its service.
    ///
    /// Another endpoint is tried only when the request is idempotent or proven not to have run.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        self.budget.note_request();
        if let Some(peer) = self.peer_with_slots(request) {
            let sent = self.send_to_peer(request, peer, payload, deadline).await;
            let is_refused = sent.as_ref().is_err_and(|refusal| refusal.did_not_run);
            if !is_refused || !payload.is_at_hand() || !self.budget.take() {
                return sent;
            }
        }
        let mut tried: Vec<VmName> = Vec::new();
        let mut may_have_run = false;
        loop {
            let slot = match self.acquire(request, &tried, deadline).await {
                Ok(slot) => slot,
                Err(refusal) => return Err(refusal.after_attempts(may_have_run)),
            };
            let vm = slot.endpoint().vm.clone();
            let failure = match self.send(request, slot, payload, deadline).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            may_have_run |= !failure.did_not_run;
            if let Err(row) = tried.binary_search(&vm) {
                tried.insert(row, vm);
            }
            let may_retry = failure.did_not_run || request.is_idempotent();
            let can_retry = payload.is_at_hand() && tried.len() < MAX_ATTEMPTS;
            if !may_retry || !can_retry || Instant::now() >= deadline || !self.budget.take() {
                return Err(failure.after_attempts(may_have_run));
            }
            metrics::counter!("lynxwheel_retries_total").increment(1);
        }
    }

    /// Returns the peer to which a request is passed on because this node has no slot for it.
    ///
    /// A pool with fewer slots than there are nodes leaves some nodes without any, and a balancer
    /// that lost a node may send its neighbour twice as much. The peer takes the request on its own
    /// slots, so the endpoints' bounds hold as before. A short queue is worked off here: what is
    /// known of the peers is up to a second old, and nodes that passed on every burst would flood
    /// the few peers that were idle then.
    fn peer_with_slots(&self, request: &CallerRequest) -> Option<SocketAddr> {
        if request.is_forwarded {
            return None;
        }
        let table = self.tables.load();
        let service = table.service(&request.service)?;
        let is_behind = service.queue.lengths(request.class).ahead >= service.slots() as usize;
        if !is_behind {
            return None;
        }
        let spare = pick_spare(&service.spares, request.digest(&[]))?;
        if service.slots() > 0 && !spare.has_surplus() {
            return None;
        }
        info!(event = "routing", request = request.request_id.as_str(),
            service = request.service.as_str(), node = spare.node.as_str(),
            reason = "passed_on", offset = table.offset; "");
        metrics::counter!("lynxwheel_passed_on_total").increment(1);
        Some(spare.address)
    }

    async fn send_to_peer(
        &self,
        request: &CallerRequest,
        peer: SocketAddr,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let Some(body) = payload.take() else {
            return Err(no_endpoint());
        };
        let outgoing =
            outgoing_to_peer(request, peer, body, deadline).map_err(|error| refusal_of(&error))?;
        let sent = self.peers.get(peer).send(outgoing, deadline).await;
        let mut response = sent.map_err(|error| {
            self.tables.note_unreachable(peer);
            refusal_of(&error)
        })?;
        remove_hop_headers(response.headers_mut());
        if response.headers().contains_key(DID_NOT_RUN_HEADER) {
            return Err(no_endpoint());
        }
        Ok(response)
    }

    /// Takes a slot, after a wait in the service's queue where admission allows it.
    async fn acquire(
        &self,
        request: &CallerRequest,
        tried: &[VmName],
        deadline: Instant,
    ) -> Result<Slot, Refusal> {
        let mut place: Option<Place> = None;
        loop {
            let table = self.tables.load();
            let service = table.service(&request.service).ok_or_else(|| {
                Refusal::not_run(RefusalReason::UnknownService, "the service was withdrawn")
            })?;
            let is_turn = match &place {
                Some(place) => place.is_first(),
                None => service.queue.lengths(request.class).ahead == 0,
            };
            if is_turn {
                match self.choose(request, service, table.offset, tried) {
                    Choice::Taken(slot) => return Ok(slot),
                    Choice::NoEndpoint => return Err(no_endpoint()),
                    Choice::NoFreeSlot => {}
                }
            }
            if Instant::now() >= deadline {
                let detail = "no slot was free before the deadline";
                return Err(Refusal::not_run(RefusalReason::Timeout, detail)
                    .with_retry_after_ms(RETRY_AFTER_MS));
            }
            match &place {
                Some(place) => place.wait(deadline).await,
                None => place = Some(enqueue(request, service, deadline)?),
            }
        }
    }

    fn choose(
        &self,
        request: &CallerRequest,
        service: &ServiceRow,
        offset: u64,
        tried: &[VmName],
    ) -> Choice {
        let now_ms = self.node.clock().now_ms();
        let rows: Vec<&Row> = service
            .rows
            .iter()
            .filter(|row| !row.endpoint.ejection.is_out(now_ms))
            .filter(|row| tried.binary_search(&row.endpoint.vm).is_err())
            .collect();
        let views: Vec<EndpointView<'_>> = rows
            .iter()
            .map(|row| view(row, service.spec.slots_per_endpoint))
            .collect();
        let route = RouteRequest {
            zone: &self.node.settings().identity.zone,
            seed: request.digest(&[]),
        };
        let choice = (self.policy)(&route, &views);
        let slot = choice.endpoint.and_then(|index| {
            let slot = rows[index].endpoint.enter(choice.limit, &service.queue)?;
            slot.endpoint().ejection.note_trial(now_ms);
            Some(slot)
        });
        let vm = slot.as_ref().map_or("", |slot| slot.endpoint().vm.as_str());
        info!(event = "routing", request = request.request_id.as_str(),
            service = request.service.as_str(), vm = vm, reason = choice.reason.as_str(),
            offset = offset; "");
        match slot {
            Some(slot) => Choice::Taken(slot),
            None if choice.reason == RouteReason::NoEndpoint => Choice::NoEndpoint,
            None => Choice::NoFreeSlot,
        }
    }

    async fn send(
        &self,
        request: &CallerRequest,
        slot: Slot,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let endpoint = Arc::clone(slot.shared_endpoint());
        let Some(body) = payload.take() else {
            return Err(no_endpoint());
        };
        let outgoing =
            outgoing(request, &endpoint, body, deadline).map_err(|error| refusal_of(&error))?;
        let response = match endpoint.client.send(outgoing, deadline).await {
            Ok(response) => response,
            Err(error) => {
                note_failure(&endpoint, &error, self.node.clock().now_ms());
                return Err(refusal_at(&error, deadline));
            }
        };
        if let Some(reason) = not_started(&response) {
            let now_ms = self.node.clock().now_ms();
            let refusal = note_not_started(&endpoint, reason, now_ms);
            if reason == NotStarted::Gone {
                self.node.peers().announce();
            }
            return Err(refusal);
        }
        endpoint.ejection.note_success();
        Ok(incoming(response, slot))
    }
}

/// Picks the better of two peers, so that nodes with the same old news do not all pick one.
fn pick_spare(spares: &[Spare], seed: u64) -> Option<&Spare> {
    let count = u64::try_from(spares.len())
        .ok()
        .filter(|count| *count > 0)?;
    let at = |seed: u64| usize::try_from(seed % count).unwrap_or(0);
    // They are sorted, so the earlier one has more free slots.
    spares.get(at(seed).min(at(seed >> 32)))
}

fn view(row: &Row, slots: u32) -> EndpointView<'_> {
    EndpointView {
        vm: &row.endpoint.vm,
        zone: &row.endpoint.zone,
        in_progress: row.endpoint.in_progress(),
        peers_in_progress: row.endpoint.peers_in_progress(),
        slots,
        slot_share: row.share,
    }
}

/// Puts a request into the queue, or refuses it when it cannot be served in time.
fn enqueue(
    request: &CallerRequest,
    service: &ServiceRow,
    deadline: Instant,
) -> Result<Place, Refusal> {
    if service.slots() == 0 {
        return Err(no_endpoint());
    }
    let lengths = service.queue.lengths(request.class);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let view = AdmissionView {
        class: request.class,
        waiting: lengths.waiting,
        ahead: lengths.ahead,
        max_waiting: MAX_WAITING,
        slots: service.slots(),
        mean_service_us: service.queue.mean_us(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    };
    match admit(&view) {
        Admission::Wait => Ok(service.queue.join(request.class)),
        Admission::QueueFull { retry_after_ms } => Err(Refusal::not_run(
            RefusalReason::NoFreeSlot,
            "every slot is taken and the queue is full",
        )
        .with_retry_after_ms(retry_after_ms)),
        Admission::TooLate { retry_after_ms } => Err(Refusal::not_run(
            RefusalReason::NoFreeSlot,
            "no slot will be free before the deadline",
        )
        .with_retry_after_ms(retry_after_ms)),
    }
}

/// Prepares an endpoint's answer for the caller; the slot is kept until the body has ended.
fn incoming(response: Response<Body>, slot: Slot) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    remove_hop_headers(&mut parts.headers);
    let body = guarded_body(limited_body(body, STALL, u64::MAX), slot);
    Response::from_parts(parts, body)
}

fn note_failure(endpoint: &Endpoint, error: &TransportError, now_ms: u64) {
    if !error.may_have_run {
        endpoint.ejection.note_failure(now_ms);
        info!(event = "endpoint_out", vm = endpoint.vm.as_str(), reason = error.step.as_str(); "");
    }
}

fn note_not_started(endpoint: &Endpoint, reason: NotStarted, now_ms: u64) -> Refusal {
    let (refused, detail) = match reason {
        NotStarted::Busy => (RefusalReason::NoFreeSlot, "the endpoint has no free slot"),
        NotStarted::Gone => {
            endpoint.ejection.note_failure(now_ms);
            info!(event = "endpoint_out", vm = endpoint.vm.as_str(), reason = "not_started"; "");
            (RefusalReason::NoEndpoint, "the endpoint is leaving")
        }
    };
    metrics::counter!("lynxwheel_not_started_total").increment(1);
    Refusal::not_run(refused, detail).with_retry_after_ms(RETRY_AFTER_MS)
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(RefusalReason::NoEndpoint, "no endpoint can take it now")
        .with_retry_after_ms(RETRY_AFTER_MS)
}

/// Returns the refusal of a failed exchange, which is a timeout when the deadline has passed.
fn refusal_at(error: &TransportError, deadline: Instant) -> Refusal {
    if error.may_have_run && Instant::now() >= deadline {
        let detail = "no answer before the deadline; it may have run";
        return Refusal::may_have_run(RefusalReason::Timeout, detail);
    }
    refusal_of(error)
}

fn refusal_of(error: &TransportError) -> Refusal {
    if error.may_have_run {
        Refusal::may_have_run(RefusalReason::OutcomeUnknown, error.to_string())
    } else {
        Refusal::not_run(RefusalReason::NoEndpoint, error.to_string())
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}
