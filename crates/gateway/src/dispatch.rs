//! Sending a request to an endpoint, and trying another where that is safe.

use {
    crate::{
        caller_request::CallerRequest,
        endpoints::{Endpoint, Slot},
        forward::{NotStarted, not_started, outgoing, remove_hop_headers},
        limits::RetryBudget,
        payload::{Payload, STALL},
        queue::Place,
        refusal::{Refusal, RefusalReason},
        table::{Row, ServiceRow, Tables},
    },
    http::Response,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::{
        Admission, AdmissionView, EndpointView, RoutePolicy, RouteReason, RouteRequest, admit,
    },
    lynxwheel_protocol::VmName,
    lynxwheel_transport::{Body, TransportError, bounded_body, holding_body},
    std::sync::Arc,
    tokio::time::Instant,
};

/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 3;

/// Requests of one service that wait for a slot at most.
const MAX_WAITING: usize = 256;

/// Time after which to come back when no endpoint can take a request, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Sends requests to endpoints; copies share the state.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    node: Node,
    tables: Tables,
    budget: RetryBudget,
    policy: RoutePolicy,
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
        let mut tried: Vec<VmName> = Vec::new();
        loop {
            let slot = self.acquire(request, &tried, deadline).await?;
            let vm = slot.endpoint().vm.clone();
            let failure = match self.send(request, slot, payload, deadline).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if let Err(row) = tried.binary_search(&vm) {
                tried.insert(row, vm);
            }
            let may_retry = failure.did_not_run || request.is_idempotent();
            let can_retry = payload.is_at_hand() && tried.len() < MAX_ATTEMPTS;
            if !may_retry || !can_retry || Instant::now() >= deadline || !self.budget.take() {
                return Err(failure);
            }
            metrics::counter!("lynxwheel_retries_total").increment(1);
        }
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
            let table = self.tables.load(self.tables.now_ms());
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
        let now_ms = self.tables.now_ms();
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
        let slot = choice
            .endpoint
            .and_then(|index| rows[index].endpoint.enter(choice.limit, &service.queue));
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
                note_failure(&endpoint, &error, self.tables.now_ms());
                return Err(refusal_of(&error));
            }
        };
        if let Some(reason) = not_started(&response) {
            return Err(note_not_started(&endpoint, reason, self.tables.now_ms()));
        }
        endpoint.ejection.note_success();
        Ok(incoming(response, slot))
    }
}

fn view(row: &Row, slots: u32) -> EndpointView<'_> {
    EndpointView {
        vm: &row.endpoint.vm,
        zone: &row.endpoint.zone,
        in_progress: row.endpoint.in_progress(),
        peers_in_progress: row.endpoint.peers_in_progress(),
        slots,
        share: row.share,
    }
}

/// Puts a request into the queue, or refuses it when it cannot be served in time.
fn enqueue(
    request: &CallerRequest,
    service: &ServiceRow,
    deadline: Instant,
) -> Result<Place, Refusal> {
    let lengths = service.queue.lengths(request.class);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let view = AdmissionView {
        class: request.class,
        waiting: lengths.waiting,
        ahead: lengths.ahead,
        limit: MAX_WAITING,
        slots: service.slots(),
        mean_us: service.queue.mean_us(),
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
    let body = holding_body(bounded_body(body, STALL, u64::MAX), slot);
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

fn refusal_of(error: &TransportError) -> Refusal {
    if error.may_have_run {
        Refusal::may_have_run(RefusalReason::OutcomeUnknown, error.to_string())
    } else {
        Refusal::not_run(RefusalReason::NoEndpoint, error.to_string())
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}
