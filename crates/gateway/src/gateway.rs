//! Entry points for callers' and peers' requests.

use {
    crate::{
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        forward::PEER_RUN_PATH,
        keyed_requests::KeyedRequests,
        limits::TeamRateLimits,
        payload::{MAX_BUFFERED_BYTES, MAX_KEYED_BYTES, Payload},
        refusal::{Refusal, RefusalReason},
        routing_table::RoutingTables,
    },
    http::{Request, Response, Uri, uri::PathAndQuery},
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::{RoutePolicy, least_loaded_in_share},
    lynxwheel_protocol::{EndpointLoad, ServiceSpec},
    lynxwheel_transport::{Body, RequestBody},
    std::time::Duration,
    tokio::time::Instant,
};

/// Handles requests of callers and peers; clones share the state.
#[derive(Clone, Debug)]
pub struct Gateway {
    routing_tables: RoutingTables,
    rate_limits: TeamRateLimits,
    dispatcher: Dispatcher,
    keyed: KeyedRequests,
}

impl Gateway {
    /// Creates the gateway of a node.
    #[must_use]
    pub fn new(node: Node) -> Self {
        Self::with_policy(node, least_loaded_in_share)
    }

    /// Creates the gateway of a node with the given policy for choosing endpoints.
    #[must_use]
    pub fn with_policy(node: Node, policy: RoutePolicy) -> Self {
        let routing_tables = RoutingTables::new(node.clone());
        node.peers()
            .set_local_endpoints(routing_tables.local_endpoints());
        let dispatcher = Dispatcher::new(node.clone(), routing_tables.clone(), policy);
        Self {
            routing_tables,
            rate_limits: TeamRateLimits::default(),
            keyed: KeyedRequests::new(node, dispatcher.clone()),
            dispatcher,
        }
    }

    /// Handles a request of a caller.
    pub async fn handle(self, request: Request<RequestBody>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        match CallerRequest::from_parts(parts) {
            Ok(request) => self.respond(&request, incoming).await,
            Err(refusal) => refusal.to_response(),
        }
    }

    /// Handles a request forwarded by a peer; mounted on the peer listener under
    /// [`PEER_RUN_PATH`].
    pub async fn handle_peer_run(self, request: Request<RequestBody>) -> Response<Body> {
        let (mut parts, incoming) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
        let path = format!("/{}", path.strip_prefix(PEER_RUN_PATH).unwrap_or_default());
        let Ok(uri) = Uri::try_from(path) else {
            return Refusal::not_run(RefusalReason::BadRequest, "no such path").to_response();
        };
        parts.uri = uri;
        match CallerRequest::from_parts(parts) {
            Ok(mut request) => {
                request.is_forwarded = true;
                self.respond(&request, incoming).await
            }
            Err(refusal) => refusal.to_response(),
        }
    }

    async fn respond(&self, request: &CallerRequest, incoming: RequestBody) -> Response<Body> {
        match self.run(request, incoming).await {
            Ok(response) => response,
            Err(refusal) => {
                info!(event = "refused", request = request.request_id.as_str(),
                    service = request.service.as_str(), did_not_run = refusal.did_not_run;
                    "{}", refusal.detail);
                metrics::counter!("lynxwheel_refused_total").increment(1);
                refusal.to_response()
            }
        }
    }

    /// Waits until the outcome of every started keyed request is in the log.
    ///
    /// If the node stopped earlier, these keys would stay pending and duplicates would be refused
    /// with an unknown outcome.
    pub async fn wait_for_outcomes(&self) {
        self.keyed.wait_for_outcomes().await;
    }

    /// Handles a peer's request for the response of a key; mounted on the peer listener under
    /// [`crate::PEER_ANSWER_PATH`].
    pub async fn handle_peer_answer(self, request: Request<RequestBody>) -> Response<Body> {
        self.keyed.handle_peer_answer(request).await
    }

    /// Returns this node's requests in progress on each endpoint, for its peers.
    #[must_use]
    pub fn endpoint_loads(&self) -> Vec<EndpointLoad> {
        self.routing_tables.endpoint_loads()
    }

    /// Returns the endpoints that this node has ejected, for its peers.
    #[must_use]
    pub fn ejected_endpoints(&self) -> Vec<EndpointLoad> {
        self.routing_tables.ejected_endpoints()
    }

    async fn run(
        &self,
        request: &CallerRequest,
        incoming: RequestBody,
    ) -> Result<Response<Body>, Refusal> {
        let arrived_at = Instant::now();
        let table = self.routing_tables.load();
        let service = table.service(&request.service).ok_or_else(|| {
            let detail = format!("there is no service {}", request.service);
            Refusal::not_run(RefusalReason::UnknownService, detail)
        })?;
        let spec = &service.spec;
        let deadline = arrived_at + time_limit(request, spec);
        if request.is_forwarded {
            let mut payload = Payload::read(incoming, MAX_BUFFERED_BYTES, deadline).await?;
            return self.dispatcher.run(request, &mut payload, deadline).await;
        }
        let now_ms = self.routing_tables.now_ms();
        self.rate_limits
            .take(&spec.name, &request.team, spec.team_rate_per_s, now_ms)?;
        match &request.key {
            Some(key) if !request.is_idempotent() => {
                let payload = Payload::read(incoming, MAX_KEYED_BYTES, deadline).await?;
                let buffered = payload.into_buffered().ok_or_else(|| {
                    Refusal::not_run(
                        RefusalReason::BodyTooLarge,
                        "a body with an idempotency key may have 1 MiB",
                    )
                })?;
                self.keyed.run(request, key, buffered, deadline).await
            }
            _ => {
                let mut payload = Payload::read(incoming, MAX_BUFFERED_BYTES, deadline).await?;
                self.dispatcher.run(request, &mut payload, deadline).await
            }
        }
    }
}

/// Returns the time that a request may take.
fn time_limit(request: &CallerRequest, service: &ServiceSpec) -> Duration {
    let requested_ms = request.deadline_ms.unwrap_or(service.deadline_ms);
    Duration::from_millis(requested_ms.min(service.deadline_ms))
}
