//! HTTP server for callers: submits, queries, cancels and counts jobs.

use {
    crate::{
        access::{Access, Credentials, Denial, authorize},
        config_sync,
        node::Node,
        peer::{CallerRequest, OWNER_PATH, OwnerRequest, OwnerResponse},
        peer_server::handle_locally,
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    log::info,
    lynxwheel_engine::JobId,
    lynxwheel_platform::{
        caller_key, caller_timeout_ms, decode_job, encode_job_state, encode_pending_count,
    },
    lynxwheel_transport::{
        Body, ListenerShare, RequestBody, Server, collect_body, error_response, full_body,
    },
    metrics::{counter, histogram},
    std::{io, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Timeout of a request without a deadline header, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// Part of the caller's deadline reserved for sending the response, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 100;

/// Maximum time for one attempt, in milliseconds. Long enough for an owner with a slow store, short
/// enough to leave time for another attempt when a connection hangs.
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;

/// Time after which the owner's response is overdue, in milliseconds. The owner stores a job before
/// it responds, which takes some tens of milliseconds.
const OVERDUE_RESPONSE_MS: u64 = 250;

/// Delay between attempts to reach the owner, in milliseconds.
const RETRY_DELAY_MS: u64 = 80;

/// Time for which a request is held while there is no owner, in milliseconds. Slightly less than
/// the owner timeout: most requests are served, and the rest are retried once a new owner is there.
const TAKEOVER_WAIT_MS: u64 = 1_300;

/// Value of the `Retry-After` header without an owner, in whole seconds. A lost owner is replaced
/// within about two.
const RETRY_AFTER_S: u64 = 1;

const MILLIS_PER_S: u64 = 1_000;

/// Copies of a job that exist while its submission is forwarded.
const JOB_COPIES: usize = 2;

/// Maximum number of bytes of a denied request's path in the log.
const MAX_LOGGED_PATH_BYTES: usize = 80;

/// Binds the address for callers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    let limits = node
        .settings
        .process_limits
        .server_limits(&ListenerShare::CALLERS);
    Server::bind_with_limits("callers", node.settings.caller_address, limits).await
}

/// Serves callers until the node closes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = |node: Arc<Node>, request| async move { handle_request(&node, request).await };
    server.serve_with(shutdown, node, handler).await;
}

async fn handle_request(node: &Node, request: Request<RequestBody>) -> Response<Body> {
    let credentials = credentials(&request);
    let access = match authorize_request(node, &credentials).await {
        Ok(access) => access,
        Err(denial) => return denial_response(denial, &credentials),
    };
    let authorized = AuthorizedRequest {
        credentials,
        access,
        timeout: response_timeout(&request),
    };
    let Some(job) = authorized.access.job else {
        return match *request.method() {
            Method::GET => count_pending(node, authorized).await,
            _ => method_not_allowed("GET"),
        };
    };
    match *request.method() {
        Method::POST => submit(node, job, authorized, request).await,
        Method::GET => state(node, job, authorized).await,
        Method::DELETE => cancel(node, job, authorized).await,
        _ => method_not_allowed("GET, POST, DELETE"),
    }
}

/// Request that has been authorized.
struct AuthorizedRequest {
    credentials: Credentials,
    access: Access,
    /// Time that the caller waits for a response.
    timeout: Duration,
}

fn credentials(request: &Request<RequestBody>) -> Credentials {
    Credentials {
        host: request_host(request),
        path: request.uri().path().to_string(),
        key: caller_key(request.headers()),
    }
}

/// Authorizes a request. Fetches a newer configuration first if this node may have missed one and
/// no other node would check the request again.
async fn authorize_request(node: &Node, credentials: &Credentials) -> Result<Access, Denial> {
    let result = authorize(&node.config.load(), credentials);
    if !config_sync::should_fetch_newer(node, result.is_ok()) {
        return result;
    }
    config_sync::fetch_newer(node).await;
    authorize(&node.config.load(), credentials)
}

/// Builds the response to a denied request, which has no effect.
fn denial_response(denial: Denial, credentials: &Credentials) -> Response<Body> {
    let (status, reason) = match denial {
        Denial::NoConfig => {
            return unavailable(
                "no configuration yet: nothing was done, a submitted job never runs",
            );
        }
        Denial::UnknownQueue => (StatusCode::NOT_FOUND, "no such queue".to_string()),
        Denial::InvalidJobId => (
            StatusCode::NOT_FOUND,
            "no id of a job: 16 hexadecimal digits".to_string(),
        ),
        Denial::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown key".to_string()),
        Denial::InvalidKey(error) => (StatusCode::UNAUTHORIZED, error.to_string()),
    };
    if status == StatusCode::UNAUTHORIZED {
        counter!("lynxwheel_unauthorized_total").increment(1);
        info!(
            event = "unauthorized", path = truncated(&credentials.path), reason = reason.as_str(),
            key:? = credentials.key.ok();
            "request denied"
        );
    }
    error_response(status, &reason)
}

fn request_host(request: &Request<RequestBody>) -> String {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn response_timeout(request: &Request<RequestBody>) -> Duration {
    let timeout_ms = caller_timeout_ms(request.headers()).unwrap_or(DEFAULT_TIMEOUT_MS);
    Duration::from_millis(timeout_ms.saturating_sub(RESPONSE_MARGIN_MS))
}

async fn submit(
    node: &Node,
    job: JobId,
    authorized: AuthorizedRequest,
    request: Request<RequestBody>,
) -> Response<Body> {
    let max_body_bytes = node.config.load().limits.max_body_bytes;
    let body = match collect_body(request.into_body(), max_body_bytes).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let spec = match decode_job(&body) {
        Ok(spec) => Box::new(spec),
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error),
    };
    // The decoded job and the copy that is sent to the owner; held until the response.
    let job_bytes = JOB_COPIES * spec.memory_bytes();
    let mut held = body.into_held();
    if let Err(response) = held.grow(job_bytes).await {
        return response;
    }
    // Cached before the owner is asked, since a delegate may fetch the payload before the owner
    // responds.
    node.payloads.insert(job, &spec.payload);
    let build_request = |access: &Access| CallerRequest::Submit {
        job: job.to_string(),
        queue: access.queue.clone(),
        spec: spec.clone(),
        account: access.account.clone(),
        origin: Some(node.peer_address),
    };
    let response = request_owner(node, "submit", authorized, build_request).await;
    match response {
        Ok(OwnerResponse::Accepted) => error_response(StatusCode::OK, ""),
        Ok(OwnerResponse::Refused | OwnerResponse::NotOwner) => {
            unavailable("not accepted; it never runs")
        }
        Ok(OwnerResponse::OverQuota) => error_response(
            StatusCode::TOO_MANY_REQUESTS,
            "not accepted; it never runs: a task or gang takes more than the account may have running",
        ),
        Ok(OwnerResponse::Overloaded {
            retry_after_ms,
            is_over_share,
        }) => overloaded_response(retry_after_ms, is_over_share),
        Ok(OwnerResponse::OtherAccount) => other_account_response(),
        Ok(_) => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was accepted is not known",
        ),
        Err(denied) => denied,
    }
}

async fn state(node: &Node, job: JobId, authorized: AuthorizedRequest) -> Response<Body> {
    let build_request = |access: &Access| CallerRequest::State {
        job: job.to_string(),
        account: access.account.clone(),
    };
    match request_owner(node, "state", authorized, build_request).await {
        Ok(OwnerResponse::State(state)) => json_response(encode_job_state(state)),
        Ok(OwnerResponse::Unknown) => error_response(StatusCode::GONE, "no such job"),
        Ok(OwnerResponse::OtherAccount) => other_account_response(),
        Ok(_) => unavailable("no owner to ask"),
        Err(denied) => denied,
    }
}

async fn cancel(node: &Node, job: JobId, authorized: AuthorizedRequest) -> Response<Body> {
    let build_request = |access: &Access| CallerRequest::Cancel {
        job: job.to_string(),
        account: access.account.clone(),
    };
    match request_owner(node, "cancel", authorized, build_request).await {
        Ok(OwnerResponse::Cancelled) => error_response(StatusCode::OK, ""),
        Ok(OwnerResponse::Unknown) => error_response(StatusCode::GONE, "no such job"),
        Ok(OwnerResponse::OtherAccount) => other_account_response(),
        Ok(OwnerResponse::Refused | OwnerResponse::NotOwner) => unavailable("no owner to ask"),
        Ok(_) => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was cancelled is not known",
        ),
        Err(denied) => denied,
    }
}

async fn count_pending(node: &Node, authorized: AuthorizedRequest) -> Response<Body> {
    let build_request = |access: &Access| CallerRequest::Pending {
        queue: access.queue.clone(),
    };
    match request_owner(node, "count", authorized, build_request).await {
        Ok(OwnerResponse::Pending(count)) => json_response(encode_pending_count(count)),
        Ok(_) => unavailable("no owner to ask"),
        Err(denied) => denied,
    }
}

fn other_account_response() -> Response<Body> {
    error_response(
        StatusCode::FORBIDDEN,
        "the job belongs to another account; nothing was done",
    )
}

/// Sends a request to the owner, logs its outcome and records metrics.
///
/// # Errors
///
/// Returns the response to send if a newer configuration denies the request.
async fn request_owner(
    node: &Node,
    kind: &'static str,
    authorized: AuthorizedRequest,
    build_request: impl Fn(&Access) -> CallerRequest,
) -> Result<OwnerResponse, Response<Body>> {
    let started = Instant::now();
    let key = authorized.credentials.key;
    let reply = request_until_resolved(node, &authorized, build_request).await;
    let OwnerReply { response, access } = match reply {
        Ok(reply) => reply,
        Err(denial) => return Err(denial_response(denial, &authorized.credentials)),
    };
    record_request_metrics(kind, response, started);
    // State queries are too frequent to log.
    if kind != "state" || !matches!(response, OwnerResponse::State(_)) {
        info!(
            event = kind, job:? = access.job.as_ref().map(JobId::as_str),
            pool = access.queue.pool.as_str(), account = access.account.as_str(),
            key:? = key.ok(), outcome:? = response, config_version = access.config_version,
            epoch = node.ownership.borrow().epoch;
            "caller request answered"
        );
    }
    Ok(response)
}

/// Truncates a path for the log.
fn truncated(path: &str) -> &str {
    let mut end = path.len().min(MAX_LOGGED_PATH_BYTES);
    while !path.is_char_boundary(end) {
        end -= 1;
    }
    &path[..end]
}

/// Response of the owner and the authorization under which it was given.
struct OwnerReply {
    response: OwnerResponse,
    access: Access,
}

/// Sends a request to the owner, and retries while the outcome is unknown or a takeover is
/// expected.
///
/// Every request may be repeated, as the job id makes it idempotent. A caller that gets an unknown
/// outcome cannot safely resubmit, so the node retries until the caller's deadline. A request that
/// has certainly not reached an owner is held only for the duration of a takeover.
///
/// If the owner has a newer configuration, the request is authorized again with that one.
async fn request_until_resolved(
    node: &Node,
    authorized: &AuthorizedRequest,
    build_request: impl Fn(&Access) -> CallerRequest,
) -> Result<OwnerReply, Denial> {
    let started = Instant::now();
    let takeover_limit = authorized
        .timeout
        .min(Duration::from_millis(TAKEOVER_WAIT_MS));
    let mut access = authorized.access.clone();
    let mut may_have_been_applied = false;
    loop {
        let remaining = authorized.timeout.saturating_sub(started.elapsed());
        let attempt_timeout = remaining.min(Duration::from_millis(ATTEMPT_TIMEOUT_MS));
        match try_owner(
            node,
            build_request(&access),
            access.config_version,
            attempt_timeout,
        )
        .await
        {
            OwnerResponse::Unclear => may_have_been_applied = true,
            OwnerResponse::NotOwner => {}
            OwnerResponse::NewerConfig => {
                let previous_version = access.config_version;
                config_sync::fetch_newer(node).await;
                match authorize(&node.config.load(), &authorized.credentials) {
                    Ok(newer) => access = newer,
                    // An earlier attempt may have been accepted under the older configuration.
                    Err(_) if may_have_been_applied => break,
                    Err(denial) => return Err(denial),
                }
                if access.config_version > previous_version {
                    continue;
                }
            }
            // An earlier attempt may still arrive and be accepted.
            OwnerResponse::Refused | OwnerResponse::Overloaded { .. } if may_have_been_applied => {}
            response => return Ok(OwnerReply { response, access }),
        }
        let end = if may_have_been_applied {
            authorized.timeout
        } else {
            takeover_limit
        };
        if started.elapsed() + Duration::from_millis(RETRY_DELAY_MS) >= end {
            break;
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    let response = if may_have_been_applied {
        OwnerResponse::Unclear
    } else {
        OwnerResponse::NotOwner
    };
    Ok(OwnerReply { response, access })
}

/// Sends a request to the owner once, locally or over the network.
async fn try_owner(
    node: &Node,
    caller_request: CallerRequest,
    config_version: u64,
    limit: Duration,
) -> OwnerResponse {
    let (epoch, owner) = node.known_owner();
    let mut request = OwnerRequest {
        epoch,
        config_version,
        caller_request,
        sender: None,
    };
    if node.owner.load().is_some() {
        let response = timeout(limit, handle_locally(node, request)).await;
        return response.unwrap_or(OwnerResponse::Unclear);
    }
    let Some(owner) = owner else {
        return OwnerResponse::NotOwner;
    };
    request.sender = Some(node.as_member());
    let client = node.peers.get(owner.address);
    let result = tokio::select! {
        result = client.post_message(OWNER_PATH, &request, limit) => result,
        () = succeeded_while_overdue(node, epoch) => {
            info!(
                event = "forward_abandoned", peer:% = owner.address, epoch = owner.epoch;
                "the owner was succeeded before it responded"
            );
            return OwnerResponse::Unclear;
        }
    };
    match result {
        Ok(response) => {
            if response == OwnerResponse::NotOwner {
                node.record_owner_doubt();
            } else {
                node.record_owner_response();
            }
            response
        }
        Err(error) => {
            node.record_owner_doubt();
            info!(
                event = "forward_failed", peer:% = owner.address, epoch = owner.epoch,
                reason = error.reason.as_str(), may_have_run = error.may_have_run;
                "forwarding the request to the owner failed"
            );
            if error.is_refused {
                node.record_owner_refused(owner.epoch);
            }
            if error.may_have_run {
                OwnerResponse::Unclear
            } else {
                OwnerResponse::NotOwner
            }
        }
    }
}

/// Waits until a request to the owner of `epoch` is overdue and a newer epoch is known.
///
/// An owner that was suspended or has lost its VM does not respond, and its successor could have
/// answered for most of the time until the attempt ends.
async fn succeeded_while_overdue(node: &Node, epoch: u64) {
    sleep(Duration::from_millis(OVERDUE_RESPONSE_MS)).await;
    node.record_owner_doubt();
    let mut views = node.ownership.subscribe();
    // Fails only once the node itself is gone.
    drop(views.wait_for(|view| view.epoch > epoch).await);
}

/// Counts a request by outcome and records its duration.
fn record_request_metrics(kind: &'static str, response: OwnerResponse, started: Instant) {
    let outcome = match response {
        OwnerResponse::Accepted
        | OwnerResponse::Cancelled
        | OwnerResponse::State(_)
        | OwnerResponse::Pending(_) => "answered",
        OwnerResponse::Unknown => "no_such_job",
        OwnerResponse::Refused | OwnerResponse::NotOwner | OwnerResponse::NewerConfig => "refused",
        OwnerResponse::OverQuota => "over_quota",
        OwnerResponse::Overloaded { .. } => "overloaded",
        OwnerResponse::OtherAccount => "other_account",
        OwnerResponse::Unclear => "unclear",
    };
    counter!("lynxwheel_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("lynxwheel_request_seconds", "kind" => kind).record(started.elapsed());
}

fn json_response(body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn unavailable(reason: &str) -> Response<Body> {
    refusal(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER_S)
}

/// Builds the response to a job that would be completed too late.
fn overloaded_response(retry_after_ms: u64, is_over_share: bool) -> Response<Body> {
    let (status, reason) = if is_over_share {
        (
            StatusCode::TOO_MANY_REQUESTS,
            "not accepted; it never runs: the account is above its fair share or quota",
        )
    } else {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "not accepted; it never runs: it would be completed too late",
        )
    };
    refusal(status, reason, retry_after_ms.div_ceil(MILLIS_PER_S))
}

/// Builds a response that tells when to send the request again.
fn refusal(status: StatusCode, reason: &str, retry_after_s: u64) -> Response<Body> {
    let mut response = error_response(status, reason);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(retry_after_s));
    response
}

fn method_not_allowed(methods: &'static str) -> Response<Body> {
    let mut response = error_response(StatusCode::METHOD_NOT_ALLOWED, "no such method here");
    response
        .headers_mut()
        .insert(header::ALLOW, HeaderValue::from_static(methods));
    response
}
