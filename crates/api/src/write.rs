//! Declaration and withdrawal of resources.

use {
    crate::{
        query::WriteQuery,
        responses::{delete_problem, invalid_fields, put_problem},
    },
    http::{HeaderMap, Request, Response, StatusCode, header},
    lynxwheel_coordination::{Node, ProposalOutcome, ProposeError},
    lynxwheel_protocol::{
        OperationId, Problem, ProblemReason, RecordBody, Resource, ResourceRef, WriteResponse,
        parse_resource,
    },
    lynxwheel_state::{FleetState, Verdict},
    lynxwheel_transport::{Body, RequestBody, collect_body, json_response},
    std::time::Duration,
    tokio::time::timeout,
};

/// Maximum size of a declaration in bytes, which keeps its record within the size limit.
const MAX_BODY_BYTES: usize = 48 * 1024;

/// Timeout for reading the body of a declaration.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay when no memory is left, in milliseconds.
const NO_MEMORY_RETRY_MS: u32 = 1_000;

/// Declares a resource.
pub(crate) async fn put(
    node: &Node,
    reference: &ResourceRef,
    request: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let query = WriteQuery::parse(request.uri().query())?;
    let if_revision = expected_revision(request.headers())?;
    let resource = read_resource(reference, request).await?;
    if query.dry_run {
        let state = node.state();
        state
            .check_put(&resource, if_revision)
            .map_err(|rejection| put_problem(&rejection, &resource, &state))?;
        return Ok(dry_run_response(reference, &state));
    }
    let body = RecordBody::Put {
        resource: Box::new(resource.clone()),
        if_revision,
    };
    let outcome = propose(node, body).await?;
    match &outcome.verdict {
        Verdict::Rejected(rejection) => Err(put_problem(rejection, &resource, &node.state())),
        Verdict::Accepted | Verdict::Duplicate => Ok(write_response(reference, &outcome)),
    }
}

/// Withdraws a resource.
pub(crate) async fn delete(
    node: &Node,
    reference: &ResourceRef,
    request: Request<RequestBody>,
) -> Result<Response<Body>, Problem> {
    let query = WriteQuery::parse(request.uri().query())?;
    let if_revision = expected_revision(request.headers())?;
    if query.dry_run {
        let state = node.state();
        state
            .check_delete(reference, if_revision)
            .map_err(|rejection| delete_problem(&rejection, &state))?;
        return Ok(dry_run_response(reference, &state));
    }
    let body = RecordBody::Delete {
        reference: reference.clone(),
        if_revision,
    };
    let outcome = propose(node, body).await?;
    match &outcome.verdict {
        Verdict::Rejected(rejection) => Err(delete_problem(rejection, &node.state())),
        Verdict::Accepted | Verdict::Duplicate => Ok(write_response(reference, &outcome)),
    }
}

async fn propose(node: &Node, body: RecordBody) -> Result<ProposalOutcome, Problem> {
    node.proposer()
        .propose(body)
        .await
        .map_err(|error| match error {
            ProposeError::NotAppended { retry_after_ms } => {
                let detail = "the log takes no records now; nothing was applied";
                let mut problem = Problem::new(ProblemReason::LogUnavailable, detail);
                problem.retry_after_ms = Some(u32::try_from(retry_after_ms).unwrap_or(u32::MAX));
                problem
            }
            ProposeError::OutcomeUnknown { id } => {
                let operation = OperationId(id);
                let detail = format!(
                    "the write may or may not take effect; ask for /v1/operations/{operation}"
                );
                let mut problem = Problem::new(ProblemReason::OutcomeUnknown, detail);
                problem.operation = Some(operation);
                problem
            }
        })
}

async fn read_resource(
    reference: &ResourceRef,
    request: Request<RequestBody>,
) -> Result<Resource, Problem> {
    let body = collect_body(request.into_body(), MAX_BODY_BYTES);
    let bytes = timeout(BODY_TIMEOUT, body)
        .await
        .map_err(|_| {
            Problem::new(
                ProblemReason::BodyTimeout,
                "the body did not arrive in time",
            )
        })?
        .map_err(|response| body_problem(response.status()))?;
    let document = serde_json::from_slice(&bytes)
        .map_err(|error| Problem::new(ProblemReason::BadRequest, format!("no JSON: {error}")))?;
    parse_resource(reference.kind, &reference.name, &document).map_err(invalid_fields)
}

fn body_problem(status: StatusCode) -> Problem {
    if status == StatusCode::PAYLOAD_TOO_LARGE {
        let detail = format!("a declaration has at most {MAX_BODY_BYTES} bytes");
        return Problem::new(ProblemReason::TooLarge, detail);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let detail = "the node has no memory left for the body";
        let mut problem = Problem::new(ProblemReason::NoMemory, detail);
        problem.retry_after_ms = Some(NO_MEMORY_RETRY_MS);
        return problem;
    }
    if status == StatusCode::REQUEST_TIMEOUT {
        return Problem::new(
            ProblemReason::BodyTimeout,
            "the body did not arrive in time",
        );
    }
    Problem::new(ProblemReason::BadRequest, "the body broke off")
}

/// Returns the expected revision of a write; 0 means that the resource must not exist.
fn expected_revision(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let err = |detail| Err(Problem::new(ProblemReason::BadRequest, detail));
    let if_match = headers.get(header::IF_MATCH);
    let if_none_match = headers.get(header::IF_NONE_MATCH);
    match (if_match, if_none_match) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => err("send either If-Match or If-None-Match"),
        (None, Some(value)) if value == "*" => Ok(Some(0)),
        (None, Some(_)) => err("If-None-Match must be *"),
        (Some(value), None) => {
            let text = value.to_str().unwrap_or_default();
            match text.trim_matches('"').parse() {
                Ok(revision) => Ok(Some(revision)),
                Err(_) => err("If-Match must be a revision, or 0 for a resource not yet declared"),
            }
        }
    }
}

fn write_response(reference: &ResourceRef, outcome: &ProposalOutcome) -> Response<Body> {
    json_response(
        StatusCode::OK,
        &WriteResponse {
            reference: reference.clone(),
            revision: outcome.offset,
            dry_run: false,
            operation: Some(OperationId(outcome.id)),
        },
    )
}

fn dry_run_response(reference: &ResourceRef, state: &FleetState) -> Response<Body> {
    let declared = state.declared(reference);
    json_response(
        StatusCode::OK,
        &WriteResponse {
            reference: reference.clone(),
            revision: declared.map_or(0, |declared| declared.revision),
            dry_run: true,
            operation: None,
        },
    )
}
