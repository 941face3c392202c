//! Callers' requests from their arrival to their answer.

use {
    crate::{
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        forward::PEER_RUN_PATH,
        keys::Keys,
        limits::TeamRates,
        payload::{MAX_KEPT_BYTES, MAX_KEYED_BYTES, Payload},
        refusal::{Refusal, RefusalReason},
        table::Tables,
    },
    http::{Request, Response, Uri, uri::PathAndQuery},
    hyper::body::Incoming,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::{RoutePolicy, least_loaded_in_share},
    lynxwheel_protocol::{EndpointLoad, ServiceSpec},
    lynxwheel_transport::Body,
    std::time::Duration,
    tokio::time::Instant,
};

/// Serves callers; copies share the state.
#[derive(Clone, Debug)]
pub struct Gateway {
    tables: Tables,
    rates: TeamRates,
    dispatcher: Dispatcher,
    keys: Keys,
}

impl Gateway {
    /// Creates the request path of a node.
    #[must_use]
    pub fn new(node: Node) -> Self {
        Self::with_policy(node, least_loaded_in_share)
    }

    /// Creates the request path of a node with another way to choose endpoints.
    #[must_use]
    pub fn with_policy(node: Node, policy: RoutePolicy) -> Self {
        let tables = Tables::new(node.clone());
        node.peers().set_local_endpoints(tables.local_view());
        let dispatcher = Dispatcher::new(node.clone(), tables.clone(), policy);
        Self {
            tables,
            rates: TeamRates::default(),
            keys: Keys::new(node, dispatcher.clone()),
            dispatcher,
        }
    }

    /// Answers a request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        match CallerRequest::from_parts(parts) {
            Ok(request) => self.answer(&request, incoming).await,
            Err(refusal) => refusal.to_response(),
        }
    }

    /// Runs a request that a peer without own slots passes on, to be mounted on the peer listener.
    pub async fn handle_peer_run(self, request: Request<Incoming>) -> Response<Body> {
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
                self.answer(&request, incoming).await
            }
            Err(refusal) => refusal.to_response(),
        }
    }

    async fn answer(&self, request: &CallerRequest, incoming: Incoming) -> Response<Body> {
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

    /// Waits until the outcome of every keyed request that was begun is in the log.
    ///
    /// A node that stopped before would leave keys pending that only it knows the outcome of, and
    /// their callers would be told "outcome unknown" from then on.
    pub async fn wait_for_outcomes(&self) {
        self.keys.wait_for_outcomes().await;
    }

    /// Answers a peer that asks for the answer of a key, to be mounted on the peer listener.
    pub async fn handle_peer_answer(self, request: Request<Incoming>) -> Response<Body> {
        self.keys.answer_peer(request).await
    }

    /// Returns the load that this node puts on endpoints, for its peers.
    #[must_use]
    pub fn endpoint_loads(&self) -> Vec<EndpointLoad> {
        self.tables.loads()
    }

    /// Returns the endpoints that this node saw leaving or failing, for its peers.
    #[must_use]
    pub fn ejected_endpoints(&self) -> Vec<EndpointLoad> {
        self.tables.leaving()
    }

    async fn run(
        &self,
        request: &CallerRequest,
        incoming: Incoming,
    ) -> Result<Response<Body>, Refusal> {
        let arrived = Instant::now();
        let table = self.tables.load();
        let service = table.service(&request.service).ok_or_else(|| {
            let detail = format!("there is no service {}", request.service);
            Refusal::not_run(RefusalReason::UnknownService, detail)
        })?;
        let spec = &service.spec;
        let deadline = arrived + allowed(request, spec);
        if request.is_forwarded {
            let mut payload = Payload::read(incoming, MAX_KEPT_BYTES, deadline).await?;
            return self.dispatcher.run(request, &mut payload, deadline).await;
        }
        let now_ms = self.tables.now_ms();
        self.rates
            .take(&spec.name, &request.team, spec.team_rate_per_s, now_ms)?;
        match &request.key {
            Some(key) if !request.is_idempotent() => {
                match Payload::read(incoming, MAX_KEYED_BYTES, deadline).await? {
                    Payload::Kept(body) => self.keys.run(request, key, body, deadline).await,
                    Payload::Streamed(_) => Err(Refusal::not_run(
                        RefusalReason::BodyTooLarge,
                        "a body with an idempotency key may have 1 MiB",
                    )),
                }
            }
            _ => {
                let mut payload = Payload::read(incoming, MAX_KEPT_BYTES, deadline).await?;
                self.dispatcher.run(request, &mut payload, deadline).await
            }
        }
    }
}

/// Returns the time for which a request may take.
fn allowed(request: &CallerRequest, service: &ServiceSpec) -> Duration {
    let asked_ms = request.deadline_ms.unwrap_or(service.deadline_ms);
    Duration::from_millis(asked_ms.min(service.deadline_ms))
}
