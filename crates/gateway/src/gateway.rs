//! Callers' requests from their arrival to their answer.

use {
    crate::{
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        keys::Keys,
        refusal::{Refusal, RefusalReason},
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::body::Incoming,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_transport::{Body, collect_body},
    std::time::Duration,
    tokio::time::Instant,
};

/// Bytes of a request's body at most.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Connections to one endpoint.
const ENDPOINT_CONNECTIONS: usize = 16;

/// Serves callers; copies share the state.
#[derive(Clone, Debug)]
pub struct Gateway {
    node: Node,
    dispatcher: Dispatcher,
    keys: Keys,
}

impl Gateway {
    /// Creates the request path of a node.
    #[must_use]
    pub fn new(node: Node) -> Self {
        let dispatcher = Dispatcher::new(node.clone(), ENDPOINT_CONNECTIONS);
        let keys = Keys::new(node.clone(), dispatcher.clone());
        Self {
            node,
            dispatcher,
            keys,
        }
    }

    /// Answers a request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let request = match CallerRequest::new(parts) {
            Ok(request) => request,
            Err(refusal) => return refusal.answer(),
        };
        let body = match collect_body(incoming, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        match self.run(&request, body).await {
            Ok(response) => response,
            Err(refusal) => {
                info!(event = "refused", request = request.request_id.as_str(),
                    service = request.service.as_str(), did_not_run = refusal.did_not_run;
                    "{}", refusal.detail);
                metrics::counter!("lynxwheel_refused_total").increment(1);
                refusal.answer()
            }
        }
    }

    async fn run(&self, request: &CallerRequest, body: Bytes) -> Result<Response<Body>, Refusal> {
        let state = self.node.state();
        let service = state.service(&request.service).ok_or_else(|| {
            let detail = format!("there is no service {}", request.service);
            Refusal::not_run(RefusalReason::UnknownService, detail)
        })?;
        let limit_ms = request
            .deadline_ms
            .unwrap_or(service.deadline_ms)
            .min(service.deadline_ms);
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        match &request.key {
            Some(key) if !request.is_idempotent() => {
                self.keys.run(request, key, service, body, deadline).await
            }
            _ => self.dispatcher.run(request, service, &body, deadline).await,
        }
    }

    /// Answers a peer that asks for the answer of a key, to be mounted on the peer listener.
    pub async fn peer_answer(self, request: Request<Incoming>) -> Response<Body> {
        self.keys.answer_peer(request).await
    }
}
