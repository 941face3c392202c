//! Sending a request to an endpoint, and trying another where that is safe.

use {
    crate::{
        caller_request::CallerRequest,
        endpoints::{Loads, Slot, available},
        refusal::{Refusal, RefusalReason},
    },
    bytes::Bytes,
    http::{HeaderName, Request, Response, StatusCode, header},
    http_body_util::BodyExt,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::{EndpointView, RouteReason, RouteRequest, least_loaded},
    lynxwheel_protocol::{ServiceSpec, VmName},
    lynxwheel_state::VmState,
    lynxwheel_transport::{Body, Clients, TransportError, full_body},
    std::{net::SocketAddr, sync::Arc},
    tokio::time::Instant,
};

/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 3;

/// Answer header by which an endpoint says that it did not start a request.
const NOT_STARTED_HEADER: &str = "not-started";

/// Request header that names the life of the VM that the request is meant for.
const INCARNATION_HEADER: &str = "vm-incarnation";

/// Time after which to come back when no endpoint is free, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A chosen endpoint with a slot on it.
struct Target {
    vm: VmName,
    incarnation: u64,
    address: SocketAddr,
    slot: Slot,
    reason: RouteReason,
}

/// Sends requests to endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    node: Node,
    loads: Loads,
    clients: Arc<Clients>,
}

impl Dispatcher {
    pub(crate) fn new(node: Node, max_connections: usize) -> Self {
        Self {
            node,
            loads: Loads::default(),
            clients: Arc::new(Clients::new(max_connections)),
        }
    }

    /// Runs a request on some endpoint of its service.
    ///
    /// Another endpoint is tried only when the request is idempotent or proven not to have run.
    pub(crate) async fn run(
        &self,
        request: &CallerRequest,
        service: &ServiceSpec,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let mut tried: Vec<VmName> = Vec::new();
        loop {
            let target = self.choose(request, service, &tried)?;
            let vm = target.vm.clone();
            let failure = match self.send(request, &target, body, deadline).await {
                Ok(response) if is_not_started(&response) => {
                    Refusal::not_run(RefusalReason::NoFreeSlot, "the endpoint did not start it")
                        .with_retry_after_ms(RETRY_AFTER_MS)
                }
                Ok(response) => return Ok(hold_slot(response, target.slot)),
                Err(error) => refusal_of(&error),
            };
            if let Err(row) = tried.binary_search(&vm) {
                tried.insert(row, vm);
            }
            let may_retry = failure.did_not_run || request.is_idempotent();
            if !may_retry || tried.len() >= MAX_ATTEMPTS || Instant::now() >= deadline {
                return Err(failure);
            }
            metrics::counter!("lynxwheel_retries_total").increment(1);
        }
    }

    fn choose(
        &self,
        request: &CallerRequest,
        service: &ServiceSpec,
        tried: &[VmName],
    ) -> Result<Target, Refusal> {
        let state = self.node.state();
        let candidates: Vec<&VmState> = available(&state, service)
            .filter(|vm| tried.binary_search(&vm.name).is_err())
            .collect();
        let views: Vec<EndpointView<'_>> = candidates
            .iter()
            .map(|vm| EndpointView {
                vm: &vm.name,
                zone: &vm.zone,
                in_progress: self.loads.get(&vm.name, vm.incarnation),
                slots: service.slots_per_endpoint,
            })
            .collect();
        let seed = request.digest(&[]);
        let route = RouteRequest {
            zone: &self.node.settings().identity.zone,
            seed,
        };
        let choice = least_loaded(&route, &views);
        let target = choice.endpoint.and_then(|index| {
            let vm = candidates[index];
            let slot = self
                .loads
                .enter(&vm.name, vm.incarnation, service.slots_per_endpoint)?;
            Some(Target {
                vm: vm.name.clone(),
                incarnation: vm.incarnation,
                address: vm.address.parse().ok()?,
                slot,
                reason: choice.reason,
            })
        });
        let vm = target.as_ref().map_or("", |target| target.vm.as_str());
        info!(event = "routing", request = request.request_id.as_str(),
            service = request.service.as_str(), vm = vm, reason = choice.reason.as_str(),
            offset = state.offset(); "");
        target.ok_or_else(|| {
            let reason = match choice.reason {
                RouteReason::NoEndpoint => RefusalReason::NoEndpoint,
                _ => RefusalReason::NoFreeSlot,
            };
            Refusal::not_run(reason, "no endpoint can take it now")
                .with_retry_after_ms(RETRY_AFTER_MS)
        })
    }

    async fn send(
        &self,
        request: &CallerRequest,
        target: &Target,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Response<Body>, TransportError> {
        debug_assert!(target.reason != RouteReason::NoEndpoint);
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_str());
        for (name, value) in &request.headers {
            if !HOP_HEADERS.contains(name) {
                builder = builder.header(name, value);
            }
        }
        let outgoing = builder
            .header(header::HOST, target.address.to_string())
            .header(INCARNATION_HEADER, target.incarnation)
            .body(full_body(body.clone()))
            .map_err(|error| {
                TransportError::unsent(
                    lynxwheel_transport::Step::Decode,
                    target.address,
                    error.to_string(),
                )
            })?;
        self.clients
            .get(target.address)
            .send(outgoing, deadline)
            .await
    }
}

fn is_not_started(response: &Response<Body>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_STARTED_HEADER)
}

fn refusal_of(error: &TransportError) -> Refusal {
    if error.may_have_run {
        Refusal::may_have_run(RefusalReason::OutcomeUnknown, error.to_string())
    } else {
        Refusal::not_run(RefusalReason::NoEndpoint, error.to_string())
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}

/// Keeps the slot until the answer's body has been passed on.
fn hold_slot(response: Response<Body>, slot: Slot) -> Response<Body> {
    response.map(|body| {
        let mut slot = Some(slot);
        body.map_frame(move |frame| {
            if frame.is_trailers() {
                drop(slot.take());
            }
            frame
        })
        .boxed_unsync()
    })
}
