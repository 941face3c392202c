//! Requests and answers as they pass between a caller and an endpoint.

use {
    crate::{
        caller_request::{CallerRequest, DEADLINE_HEADER},
        endpoints::Endpoint,
    },
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri,
        header::{self, Entry},
    },
    lynxwheel_transport::{Body, Step, TransportError},
    std::net::SocketAddr,
    tokio::time::Instant,
};

/// Path prefix of the peer listener under which [`crate::Gateway::handle_peer_run`] is mounted,
/// followed by the caller's path.
pub const PEER_RUN_PATH: &str = "/peer/run/";

/// Answer header by which an endpoint says that it did not start a request.
const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("not-started");

/// Value of that header when only a slot is missing.
const NOT_STARTED_BUSY: &str = "busy";

/// Request header that names the life of the VM that the request is meant for.
const INCARNATION_HEADER: HeaderName = HeaderName::from_static("vm-incarnation");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Whether an endpoint refused to start a request, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotStarted {
    /// Every slot is taken.
    Busy,
    /// It leaves, is down or is not the one that was meant.
    Gone,
}

/// Builds the request to an endpoint.
///
/// # Errors
///
/// Fails when the caller's path is none.
pub(crate) fn outgoing(
    request: &CallerRequest,
    endpoint: &Endpoint,
    body: Body,
    deadline: Instant,
) -> Result<Request<Body>, TransportError> {
    let path = request.path.clone();
    let mut outgoing = passed_on(request, endpoint.address, path, body, deadline)?;
    let incarnation = HeaderValue::from(endpoint.incarnation);
    outgoing
        .headers_mut()
        .insert(INCARNATION_HEADER, incarnation);
    Ok(outgoing)
}

/// Builds the request by which another node runs a caller's request.
///
/// # Errors
///
/// Fails when the caller's path is none.
pub(crate) fn outgoing_to_peer(
    request: &CallerRequest,
    peer: SocketAddr,
    body: Body,
    deadline: Instant,
) -> Result<Request<Body>, TransportError> {
    let path = format!("{PEER_RUN_PATH}{}{}", request.service, request.path);
    passed_on(request, peer, path, body, deadline)
}

fn passed_on(
    request: &CallerRequest,
    address: SocketAddr,
    path: String,
    body: Body,
    deadline: Instant,
) -> Result<Request<Body>, TransportError> {
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = Uri::try_from(path)
        .map_err(|error| TransportError::unsent(Step::Decode, address, error.to_string()))?;
    let mut headers = request.headers.clone();
    remove_hop_headers(&mut headers);
    // The body's own length is set anew, so that no two lengths can be read out of one request.
    headers.remove(header::CONTENT_LENGTH);
    let left = deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

/// Tells whether an answer is an endpoint's refusal to start.
pub(crate) fn not_started(response: &Response<Body>) -> Option<NotStarted> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = response.headers().get(NOT_STARTED_HEADER)?;
    Some(if value == NOT_STARTED_BUSY {
        NotStarted::Busy
    } else {
        NotStarted::Gone
    })
}

/// Removes the headers that concern one connection only, those named by `Connection` included.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    if let Entry::Occupied(connection) = headers.entry(header::CONNECTION) {
        let (_, values) = connection.remove_entry_mult();
        let named: Vec<HeaderName> = values
            .filter_map(|value| value.to_str().map(str::to_owned).ok())
            .flat_map(|text| {
                let names = text.split(',').map(|name| name.trim().parse());
                names.filter_map(Result::ok).collect::<Vec<_>>()
            })
            .collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}
