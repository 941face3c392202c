//! Dispatch of requests to endpoints, with retries where they are safe.

use {
    crate::{
        caller_request::CallerRequest,
        endpoint::{Endpoint, Slot},
        forward::{
            NotStarted, build_endpoint_request, build_peer_request, not_started_reason,
            remove_hop_by_hop_headers,
        },
        limits::RetryBudget,
        payload::{Payload, STALL_TIMEOUT},
        queue::QueueTicket,
        refusal::{DID_NOT_RUN_HEADER, Refusal, RefusalReason},
        routing_table::{EndpointRoute, PeerSlots, RoutingTables, ServiceRoutes},
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

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;

/// Maximum length of the queue of a service.
const MAX_WAITING: usize = 256;

/// Maximum number of connections to one peer for forwarded requests.
const PEER_CONNECTIONS: usize = 64;

/// Retry delay for callers while no endpoint can take a request, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Dispatches requests to endpoints; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    node: Node,
    routing_tables: RoutingTables,
    budget: RetryBudget,
    policy: RoutePolicy,
    peers: Arc<ClientPool>,
}

/// Result of choosing a slot.
enum SlotChoice {
    /// A slot was acquired.
    Acquired(Slot),
    /// Every slot is in use.
    NoFreeSlot,
    /// No endpoint is left to try.
    NoEndpoint,
}

impl Dispatcher {
    pub(crate) fn new(node: Node, routing_tables: RoutingTables, policy: RoutePolicy) -> Self {
        Self {
            node,
            routing_tables,
            budget: RetryBudget::new(),
            policy,
            peers: Arc::new(ClientPool::new(PEER_CONNECTIONS)),
        }
    }

    /// Runs a request on an endpoint of its service.
    ///
    /// The request is retried on another endpoint only if it is idempotent or known not to have
    /// run.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        self.budget.record_request();
        if let Some(peer) = self.forwarding_peer(request) {
            let result = self.forward_to_peer(request, peer, payload, deadline).await;
            let did_not_run = result.as_ref().is_err_and(|refusal| refusal.did_not_run);
            if !did_not_run || !payload.can_send() || !self.budget.take() {
                return result;
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
            let failure = match self
                .send_to_endpoint(request, slot, payload, deadline)
                .await
            {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            may_have_run |= !failure.did_not_run;
            if let Err(index) = tried.binary_search(&vm) {
                tried.insert(index, vm);
            }
            let is_retry_safe = failure.did_not_run || request.is_idempotent();
            let can_retry = payload.can_send() && tried.len() < MAX_ATTEMPTS;
            if !is_retry_safe || !can_retry || Instant::now() >= deadline || !self.budget.take() {
                return Err(failure.after_attempts(may_have_run));
            }
            metrics::counter!("lynxwheel_retries_total").increment(1);
        }
    }

    /// Returns the peer to which a request is forwarded because this node has no slot for it.
    ///
    /// A pool with fewer slots than nodes leaves some nodes without any, and a load balancer may
    /// send a node more than its share. The peer uses its own slots, so the limits of the endpoints
    /// hold. Requests that find a short queue are not forwarded: the peers' loads are up to a second
    /// old, and forwarding every burst would overload the peers that were idle then.
    fn forwarding_peer(&self, request: &CallerRequest) -> Option<SocketAddr> {
        if request.is_forwarded {
            return None;
        }
        let table = self.routing_tables.load();
        let service = table.service(&request.service)?;
        let is_backlogged = service.queue.lengths(request.class).ahead >= service.slots() as usize;
        if !is_backlogged {
            return None;
        }
        let peer = choose_peer(&service.peer_slots, request.digest(&[]))?;
        if service.slots() > 0 && !peer.has_surplus() {
            return None;
        }
        info!(event = "routing", request = request.request_id.as_str(),
            service = request.service.as_str(), node = peer.node.as_str(),
            reason = "passed_on", offset = table.offset; "request forwarded to a peer");
        metrics::counter!("lynxwheel_passed_on_total").increment(1);
        Some(peer.address)
    }

    async fn forward_to_peer(
        &self,
        request: &CallerRequest,
        peer: SocketAddr,
        payload: &mut Payload,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let Some(body) = payload.take() else {
            return Err(no_endpoint());
        };
        let outgoing = build_peer_request(request, peer, body, deadline)
            .map_err(|error| transport_refusal(&error))?;
        let sent = self.peers.get(peer).send(outgoing, deadline).await;
        let mut response = sent.map_err(|error| {
            self.routing_tables.record_unreachable(peer);
            transport_refusal(&error)
        })?;
        remove_hop_by_hop_headers(response.headers_mut());
        if response.headers().contains_key(DID_NOT_RUN_HEADER) {
            return Err(no_endpoint());
        }
        Ok(response)
    }

    /// Acquires a slot, waiting in the service's queue if admission allows it.
    async fn acquire(
        &self,
        request: &CallerRequest,
        tried: &[VmName],
        deadline: Instant,
    ) -> Result<Slot, Refusal> {
        let mut ticket: Option<QueueTicket> = None;
        loop {
            let table = self.routing_tables.load();
            let service = table.service(&request.service).ok_or_else(|| {
                Refusal::not_run(RefusalReason::UnknownService, "the service was withdrawn")
            })?;
            let is_first = match &ticket {
                Some(ticket) => ticket.is_first(),
                None => service.queue.lengths(request.class).ahead == 0,
            };
            if is_first {
                match self.choose_slot(request, service, table.offset, tried) {
                    SlotChoice::Acquired(slot) => return Ok(slot),
                    SlotChoice::NoEndpoint => return Err(no_endpoint()),
                    SlotChoice::NoFreeSlot => {}
                }
            }
            if Instant::now() >= deadline {
                let detail = "no slot was free before the deadline";
                return Err(Refusal::not_run(RefusalReason::Timeout, detail)
                    .with_retry_after_ms(RETRY_AFTER_MS));
            }
            match &ticket {
                Some(ticket) => ticket.wait(deadline).await,
                None => ticket = Some(admit_to_queue(request, service, deadline)?),
            }
        }
    }

    fn choose_slot(
        &self,
        request: &CallerRequest,
        service: &ServiceRoutes,
        offset: u64,
        tried: &[VmName],
    ) -> SlotChoice {
        let now_ms = self.node.clock().now_ms();
        let routes: Vec<&EndpointRoute> = service
            .routes
            .iter()
            .filter(|route| !route.endpoint.ejection.is_ejected(now_ms))
            .filter(|route| tried.binary_search(&route.endpoint.vm).is_err())
            .collect();
        let views: Vec<EndpointView<'_>> = routes
            .iter()
            .map(|route| endpoint_view(route, service.spec.slots_per_endpoint))
            .collect();
        let route = RouteRequest {
            zone: &self.node.settings().identity.zone,
            seed: request.digest(&[]),
        };
        let choice = (self.policy)(&route, &views);
        let slot = choice.endpoint.and_then(|index| {
            let slot = routes[index]
                .endpoint
                .try_acquire(choice.limit, &service.queue)?;
            slot.endpoint().ejection.record_trial(now_ms);
            Some(slot)
        });
        let vm = slot.as_ref().map_or("", |slot| slot.endpoint().vm.as_str());
        info!(event = "routing", request = request.request_id.as_str(),
            service = request.service.as_str(), vm = vm, reason = choice.reason.as_str(),
            offset = offset; "routing decision");
        match slot {
            Some(slot) => SlotChoice::Acquired(slot),
            None if choice.reason == RouteReason::NoEndpoint => SlotChoice::NoEndpoint,
            None => SlotChoice::NoFreeSlot,
        }
    }

    async fn send_to_endpoint(
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
        let outgoing = build_endpoint_request(request, &endpoint, body, deadline)
            .map_err(|error| transport_refusal(&error))?;
        let response = match endpoint.client.send(outgoing, deadline).await {
            Ok(response) => response,
            Err(error) => {
                record_failure(&endpoint, &error, self.node.clock().now_ms());
                return Err(refusal_at_deadline(&error, deadline));
            }
        };
        if let Some(reason) = not_started_reason(&response) {
            let now_ms = self.node.clock().now_ms();
            let refusal = record_not_started(&endpoint, reason, now_ms);
            if reason == NotStarted::Unavailable {
                self.node.peers().announce();
            }
            return Err(refusal);
        }
        endpoint.ejection.record_success();
        Ok(build_caller_response(response, slot))
    }
}

/// Chooses the better of two peers by `seed`, so that nodes with the same data choose different
/// ones.
fn choose_peer(peer_slots: &[PeerSlots], seed: u64) -> Option<&PeerSlots> {
    let count = u64::try_from(peer_slots.len())
        .ok()
        .filter(|count| *count > 0)?;
    let index_of = |seed: u64| usize::try_from(seed % count).unwrap_or(0);
    // The peers are ordered by free slots, so the lower index is the better one.
    peer_slots.get(index_of(seed).min(index_of(seed >> 32)))
}

fn endpoint_view(route: &EndpointRoute, slots: u32) -> EndpointView<'_> {
    EndpointView {
        vm: &route.endpoint.vm,
        zone: &route.endpoint.zone,
        in_progress: route.endpoint.in_progress(),
        peers_in_progress: route.endpoint.peers_in_progress(),
        slots,
        slot_share: route.share,
    }
}

/// Adds a request to the queue, or refuses it if it cannot be served in time.
fn admit_to_queue(
    request: &CallerRequest,
    service: &ServiceRoutes,
    deadline: Instant,
) -> Result<QueueTicket, Refusal> {
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
        mean_service_us: service.queue.mean_service_us(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    };
    match admit(&view) {
        Admission::Wait => Ok(service.queue.enqueue(request.class)),
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

/// Builds the caller's response from an endpoint's; the slot is held until the body has ended.
fn build_caller_response(response: Response<Body>, slot: Slot) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    remove_hop_by_hop_headers(&mut parts.headers);
    let body = guarded_body(limited_body(body, STALL_TIMEOUT, u64::MAX), slot);
    Response::from_parts(parts, body)
}

fn record_failure(endpoint: &Endpoint, error: &TransportError, now_ms: u64) {
    if !error.may_have_run {
        endpoint.ejection.record_failure(now_ms);
        info!(event = "endpoint_out", vm = endpoint.vm.as_str(), reason = error.step.as_str();
            "endpoint ejected");
    }
}

fn record_not_started(endpoint: &Endpoint, reason: NotStarted, now_ms: u64) -> Refusal {
    let (refused, detail) = match reason {
        NotStarted::Busy => (RefusalReason::NoFreeSlot, "the endpoint has no free slot"),
        NotStarted::Unavailable => {
            endpoint.ejection.record_failure(now_ms);
            info!(event = "endpoint_out", vm = endpoint.vm.as_str(), reason = "not_started";
                "endpoint ejected");
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

/// Returns the refusal for a transport error, which is a timeout if the deadline has passed.
fn refusal_at_deadline(error: &TransportError, deadline: Instant) -> Refusal {
    if error.may_have_run && Instant::now() >= deadline {
        let detail = "no answer before the deadline; it may have run";
        return Refusal::may_have_run(RefusalReason::Timeout, detail);
    }
    transport_refusal(error)
}

fn transport_refusal(error: &TransportError) -> Refusal {
    if error.may_have_run {
        Refusal::may_have_run(RefusalReason::OutcomeUnknown, error.to_string())
    } else {
        Refusal::not_run(RefusalReason::NoEndpoint, error.to_string())
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}
