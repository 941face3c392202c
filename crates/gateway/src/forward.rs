//! Requests forwarded to endpoints and peers, and the headers of their responses.

use {
    crate::{
        caller_request::{CallerRequest, DEADLINE_HEADER},
        endpoint::Endpoint,
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

/// Response header by which an endpoint reports that it did not start a request.
const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("not-started");

/// Value of [`NOT_STARTED_HEADER`] if all slots of the endpoint are in use.
const NOT_STARTED_BUSY: &str = "busy";

/// Request header with the incarnation of the VM that the request is addressed to.
const INCARNATION_HEADER: HeaderName = HeaderName::from_static("vm-incarnation");

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
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

/// Why an endpoint did not start a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotStarted {
    /// Every slot is in use.
    Busy,
    /// The endpoint is leaving, down or of another incarnation.
    Unavailable,
}

/// Builds the request to an endpoint from that of the caller.
///
/// # Errors
///
/// Returns an error if the caller's path is not a valid URI.
pub(crate) fn build_endpoint_request(
    request: &CallerRequest,
    endpoint: &Endpoint,
    body: Body,
    deadline: Instant,
) -> Result<Request<Body>, TransportError> {
    let path = request.path.clone();
    let mut outgoing = build_forwarded_request(request, endpoint.address, path, body, deadline)?;
    let incarnation = HeaderValue::from(endpoint.incarnation);
    outgoing
        .headers_mut()
        .insert(INCARNATION_HEADER, incarnation);
    Ok(outgoing)
}

/// Builds the request that forwards a caller's request to a peer.
///
/// # Errors
///
/// Returns an error if the caller's path is not a valid URI.
pub(crate) fn build_peer_request(
    request: &CallerRequest,
    peer: SocketAddr,
    body: Body,
    deadline: Instant,
) -> Result<Request<Body>, TransportError> {
    let path = format!("{PEER_RUN_PATH}{}{}", request.service, request.path);
    build_forwarded_request(request, peer, path, body, deadline)
}

fn build_forwarded_request(
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
    remove_hop_by_hop_headers(&mut headers);
    // The HTTP client sets the length of the body; a second length must not be sent.
    headers.remove(header::CONTENT_LENGTH);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

/// Returns why the endpoint did not start the request, or `None` if it did.
pub(crate) fn not_started_reason(response: &Response<Body>) -> Option<NotStarted> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = response.headers().get(NOT_STARTED_HEADER)?;
    Some(if value == NOT_STARTED_BUSY {
        NotStarted::Busy
    } else {
        NotStarted::Unavailable
    })
}

/// Removes hop-by-hop headers, including those named by `Connection`.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
