//! Operators' requests.

use {
    crate::status::view,
    http::{HeaderMap, Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    lynxwheel_coordination::{Node, ProposeError},
    lynxwheel_protocol::{Kind, RecordBody, Resource, ResourceRef, ResourceView, WriteAnswer},
    lynxwheel_state::{Rejection, Verdict},
    lynxwheel_transport::{Body, collect_body, error_answer, json_answer},
    serde_json::json,
};

/// Bytes of a declaration at most.
const MAX_BODY_BYTES: usize = 48 * 1024;

/// Serves operators; copies share the state.
#[derive(Clone, Debug)]
pub struct Api {
    node: Node,
}

impl Api {
    /// Creates the resource API of a node.
    #[must_use]
    pub fn new(node: Node) -> Self {
        Self { node }
    }

    /// Answers a request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match segments.as_slice() {
            ["v1", kind] => match Kind::from_text(kind) {
                Some(kind) if request.method() == Method::GET => self.list(kind),
                Some(_) => error_answer(StatusCode::METHOD_NOT_ALLOWED, "only GET"),
                None => error_answer(StatusCode::NOT_FOUND, "no such kind"),
            },
            ["v1", kind, name] => match Kind::from_text(kind) {
                Some(kind) => self.one(&ResourceRef::new(kind, name), request).await,
                None => error_answer(StatusCode::NOT_FOUND, "no such kind"),
            },
            _ => error_answer(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn list(&self, kind: Kind) -> Response<Body> {
        let state = self.node.state();
        let views: Vec<ResourceView> = state
            .names(kind)
            .into_iter()
            .filter_map(|name| view(&state, &ResourceRef::new(kind, name)))
            .collect();
        json_answer(
            StatusCode::OK,
            &json!({ "revision": state.offset(), "items": views }),
        )
    }

    async fn one(&self, reference: &ResourceRef, request: Request<Incoming>) -> Response<Body> {
        let if_revision = match if_match(request.headers()) {
            Ok(if_revision) => if_revision,
            Err(answer) => return *answer,
        };
        match *request.method() {
            Method::GET => match view(&self.node.state(), reference) {
                Some(view) => json_answer(StatusCode::OK, &view),
                None => error_answer(StatusCode::NOT_FOUND, "not declared"),
            },
            Method::PUT => self.put(reference, if_revision, request).await,
            Method::DELETE => {
                let body = RecordBody::Delete {
                    reference: reference.clone(),
                    if_revision,
                };
                self.write(reference, body).await
            }
            _ => error_answer(StatusCode::METHOD_NOT_ALLOWED, "only GET, PUT and DELETE"),
        }
    }

    async fn put(
        &self,
        reference: &ResourceRef,
        if_revision: Option<u64>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let bytes = match collect_body(request.into_body(), MAX_BODY_BYTES).await {
            Ok(bytes) => bytes,
            Err(answer) => return answer,
        };
        let resource: Resource = match serde_json::from_slice(&bytes) {
            Ok(resource) => resource,
            Err(error) => return error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if resource.reference() != *reference {
            return error_answer(StatusCode::BAD_REQUEST, "the path names another resource");
        }
        let body = RecordBody::Put {
            resource: Box::new(resource),
            if_revision,
        };
        self.write(reference, body).await
    }

    async fn write(&self, reference: &ResourceRef, body: RecordBody) -> Response<Body> {
        match self.node.proposer().propose(body).await {
            Ok(decision) => match decision.verdict {
                Verdict::Accepted => json_answer(
                    StatusCode::OK,
                    &WriteAnswer {
                        reference: reference.clone(),
                        revision: decision.offset,
                        dry_run: false,
                    },
                ),
                Verdict::Duplicate => error_answer(StatusCode::CONFLICT, "written before"),
                Verdict::Rejected(rejection) => rejection_answer(&rejection),
            },
            Err(ProposeError::NotAppended { retry_after_ms }) => json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "reason": "log_unavailable", "applied": false,
                    "retry_after_ms": retry_after_ms }),
            ),
            Err(ProposeError::Unknown { id }) => json_answer(
                StatusCode::GATEWAY_TIMEOUT,
                &json!({ "reason": "outcome_unknown",
                    "operation": format!("{}-{}", id.incarnation, id.sequence) }),
            ),
        }
    }
}

fn rejection_answer(rejection: &Rejection) -> Response<Body> {
    let status = match rejection {
        Rejection::RevisionConflict { .. } => StatusCode::PRECONDITION_FAILED,
        Rejection::BadField { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Rejection::Missing { .. } => StatusCode::NOT_FOUND,
        _ => StatusCode::CONFLICT,
    };
    json_answer(
        status,
        &json!({ "rejected": rejection, "detail": rejection.to_string() }),
    )
}

fn if_match(headers: &HeaderMap) -> Result<Option<u64>, Box<Response<Body>>> {
    let Some(value) = headers.get(http::header::IF_MATCH) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.trim_matches('"').parse().ok())
        .map(Some)
        .ok_or_else(|| {
            Box::new(error_answer(
                StatusCode::BAD_REQUEST,
                "If-Match must be a revision",
            ))
        })
}
