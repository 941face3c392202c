//! Callers' requests from their arrival to their answer.

use {
    crate::{
        caller_request::CallerRequest,
        dispatch::Dispatcher,
        refusal::{Refusal, RefusalReason},
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::body::Incoming,
    log::info,
    lynxwheel_coordination::{Node, ProposeError},
    lynxwheel_protocol::{KeyOutcome, RecordBody, RequestKey, ServiceSpec},
    lynxwheel_state::{KeyEntry, KeyState, Rejection, Verdict},
    lynxwheel_transport::{Body, collect_body},
    std::time::Duration,
    tokio::time::Instant,
};

/// Bytes of a request's body at most.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Connections to one endpoint.
const ENDPOINT_CONNECTIONS: usize = 16;

/// Time after which to come back when the log takes no records, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Serves callers; copies share the state.
#[derive(Clone, Debug)]
pub struct Gateway {
    node: Node,
    dispatcher: Dispatcher,
}

impl Gateway {
    /// Creates the request path of a node.
    #[must_use]
    pub fn new(node: Node) -> Self {
        let dispatcher = Dispatcher::new(node.clone(), ENDPOINT_CONNECTIONS);
        Self { node, dispatcher }
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
                self.run_once(request, key, service, &body, deadline).await
            }
            _ => self.dispatcher.run(request, service, &body, deadline).await,
        }
    }

    /// Runs a non-idempotent request at most once.
    ///
    /// A caller that lost its answer asks again, perhaps another node. The intent enters the log
    /// before the first dispatch and the first intent of a key wins on every node, so the second
    /// attempt is never dispatched.
    async fn run_once(
        &self,
        request: &CallerRequest,
        key: &str,
        service: &ServiceSpec,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let key = request.request_key(key);
        let request_digest = request.digest(body);
        self.intend(key, request_digest).await?;
        let result = self.dispatcher.run(request, service, body, deadline).await;
        let outcome = match &result {
            Ok(response) => KeyOutcome::Answered(response.status().as_u16()),
            Err(refusal) if refusal.did_not_run => KeyOutcome::NotRun,
            Err(_) => KeyOutcome::Unknown,
        };
        let proposer = self.node.proposer().clone();
        tokio::spawn(async move {
            proposer
                .is_accepted(RecordBody::Outcome { key, outcome })
                .await;
        });
        result
    }

    async fn intend(&self, key: RequestKey, request_digest: u64) -> Result<(), Refusal> {
        if let Some(entry) = self.node.state().key(key)
            && entry.state != KeyState::Ended(KeyOutcome::NotRun)
        {
            return Err(refusal_of_key(entry, request_digest));
        }
        let holder = self.node.settings().identity.node.clone();
        let body = RecordBody::Intent {
            key,
            request_digest,
            holder,
        };
        match self.node.proposer().propose(body).await {
            Ok(decision) => match decision.verdict {
                Verdict::Accepted => Ok(()),
                Verdict::Rejected(Rejection::KeyTaken) => {
                    Err(self.node.state().key(key).map_or_else(
                        || Refusal::not_run(RefusalReason::KeyPending, "the key was just used"),
                        |entry| refusal_of_key(entry, request_digest),
                    ))
                }
                _ => Err(
                    Refusal::not_run(RefusalReason::KeysFull, "no more keys can be kept")
                        .with_retry_after_ms(RETRY_AFTER_MS),
                ),
            },
            Err(ProposeError::NotAppended { retry_after_ms }) => Err(Refusal::not_run(
                RefusalReason::LogUnavailable,
                "the log takes no records",
            )
            .with_retry_after_ms(retry_after_ms)),
            Err(ProposeError::Unknown { .. }) => Err(Refusal::not_run(
                RefusalReason::LogUnavailable,
                "the log did not answer",
            )
            .with_retry_after_ms(RETRY_AFTER_MS)),
        }
    }
}

fn refusal_of_key(entry: &KeyEntry, request_digest: u64) -> Refusal {
    if entry.request_digest != request_digest {
        let detail = "the key was used for another request; this one did not run";
        return Refusal::not_run(RefusalReason::KeyReused, detail);
    }
    match entry.state {
        KeyState::Pending => {
            let detail = "outcome unknown, not run again: the first attempt may be running";
            Refusal::may_have_run(RefusalReason::KeyPending, detail)
                .with_retry_after_ms(RETRY_AFTER_MS)
        }
        KeyState::Ended(KeyOutcome::Answered(status)) => {
            let detail = format!("not run again: the first attempt was answered with {status}");
            Refusal::may_have_run(RefusalReason::KeyEnded, detail)
        }
        KeyState::Ended(_) => Refusal::may_have_run(
            RefusalReason::OutcomeUnknown,
            "outcome unknown, not run again",
        ),
    }
}
