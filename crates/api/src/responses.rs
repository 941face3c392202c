//! Error responses and response headers.

use {
    crate::changes::TooOld,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    lynxwheel_protocol::{
        CURRENT_HEADER, FieldError, Problem, ProblemReason, REVISION_HEADER, Resource,
    },
    lynxwheel_state::{FleetState, Rejection},
    lynxwheel_transport::{Body, json_response},
};

/// Returns the response for a problem.
pub(crate) fn problem_response(problem: &Problem) -> Response<Body> {
    let mut response = json_response(status_of(problem.reason), problem);
    if problem.reason == ProblemReason::Unauthenticated {
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Adds the headers that describe the state of the node.
pub(crate) fn add_node_headers(
    mut response: Response<Body>,
    is_current: bool,
    offset: u64,
) -> Response<Body> {
    let is_current = HeaderValue::from_static(if is_current { "true" } else { "false" });
    let headers = response.headers_mut();
    headers.insert(HeaderName::from_static(CURRENT_HEADER), is_current);
    headers.insert(
        HeaderName::from_static(REVISION_HEADER),
        HeaderValue::from(offset),
    );
    response
}

fn status_of(reason: ProblemReason) -> StatusCode {
    match reason {
        ProblemReason::BadRequest => StatusCode::BAD_REQUEST,
        ProblemReason::Unauthenticated => StatusCode::UNAUTHORIZED,
        ProblemReason::Forbidden => StatusCode::FORBIDDEN,
        ProblemReason::NotFound => StatusCode::NOT_FOUND,
        ProblemReason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        ProblemReason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        ProblemReason::Rejected | ProblemReason::StillNeeded => StatusCode::CONFLICT,
        ProblemReason::TooOld => StatusCode::GONE,
        ProblemReason::RevisionConflict => StatusCode::PRECONDITION_FAILED,
        ProblemReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ProblemReason::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        ProblemReason::Behind
        | ProblemReason::LogUnavailable
        | ProblemReason::NoMemory
        | ProblemReason::TooManyWatches => StatusCode::SERVICE_UNAVAILABLE,
        ProblemReason::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Returns the problem for a declaration with invalid fields.
pub(crate) fn invalid_fields(errors: Vec<FieldError>) -> Problem {
    let mut problem = Problem::new(
        ProblemReason::Invalid,
        format!("{} bad fields", errors.len()),
    );
    problem.errors = errors;
    problem
}

/// Returns the problem for a rejected declaration.
///
/// The rejection names only the first missing reference; the others are looked up in `state`.
pub(crate) fn put_problem(
    rejection: &Rejection,
    resource: &Resource,
    state: &FleetState,
) -> Problem {
    match rejection {
        Rejection::Missing { .. } => invalid_fields(missing_fields(resource, state)),
        Rejection::BadField { field, reason, .. } => invalid_fields(vec![FieldError {
            field: field.clone(),
            reason: reason.clone(),
        }]),
        other => problem_from(other),
    }
}

/// Returns the problem for a rejected withdrawal, with all resources that depend on the resource.
pub(crate) fn delete_problem(rejection: &Rejection, state: &FleetState) -> Problem {
    let mut problem = problem_from(rejection);
    if let Rejection::StillNeeded { reference, by } = rejection {
        problem.needed_by = state.dependents(reference);
        if !problem.needed_by.contains(by) {
            problem.needed_by.insert(0, by.clone());
        }
    }
    problem
}

fn problem_from(rejection: &Rejection) -> Problem {
    let reason = match rejection {
        Rejection::RevisionConflict { .. } => ProblemReason::RevisionConflict,
        Rejection::BadField { .. } => ProblemReason::Invalid,
        Rejection::Missing { .. } => ProblemReason::NotFound,
        Rejection::StillNeeded { .. } => ProblemReason::StillNeeded,
        _ => ProblemReason::Rejected,
    };
    let mut problem = Problem::new(reason, rejection.to_string());
    if let Rejection::RevisionConflict { revision, .. } = rejection {
        problem.revision = Some(*revision);
    }
    problem
}

fn missing_fields(resource: &Resource, state: &FleetState) -> Vec<FieldError> {
    let missing = state.missing_dependencies(resource).into_iter();
    missing
        .map(|dependency| FieldError {
            field: resource.dependency_field(dependency.kind).into(),
            reason: format!("{dependency} does not exist"),
        })
        .collect()
}

/// Returns the problem for a revision whose later changes are not known.
pub(crate) fn too_old(error: TooOld) -> Problem {
    let detail = format!(
        "this node cannot tell every change since revision {}, which is too old or another \
         node's; list again",
        error.offset
    );
    Problem::new(ProblemReason::TooOld, detail)
}
