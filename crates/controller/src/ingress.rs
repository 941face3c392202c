//! Callers' requests: submit, state, cancel, count.

use {
    crate::{
        access::{Access, Credentials, Denial, judge},
        config_sync,
        node::Node,
        peer::{Ask, OWNER_PATH, OwnerAnswer, OwnerRequest},
        peer_server::ask_here,
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    log::info,
    lynxwheel_engine::JobId,
    lynxwheel_platform::{
        caller_key, caller_timeout_ms, decode_job, encode_job_state, encode_pending_count,
    },
    lynxwheel_transport::{Body, Server, collect_body, error_answer, full_body},
    metrics::{counter, histogram},
    std::{io, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Time for the owner's answer when the caller does not say how long it waits, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Time kept of the caller's own for the way back, in milliseconds.
const WAY_BACK_MS: u64 = 100;

/// Longest time for one ask, in milliseconds: a store slowed to a hundredth still lets the owner
/// answer, and a connection that fell silent is given up in time for another.
const ATTEMPT_MS: u64 = 1_000;

/// Pause before the owner is asked again, in milliseconds.
const ASK_PAUSE_MS: u64 = 80;

/// Time for which a caller is kept for a new owner, in milliseconds: a little less than the silence
/// after which one comes, so that most are served and the others come back when there is one.
const TAKE_OVER_MS: u64 = 1_300;

/// When a refused caller may come back, in seconds: an owner's loss is made good within about two,
/// and whole seconds are all that the header can say.
const RETRY_AFTER_S: &str = "1";

/// Bytes of a refused request's path that are logged at most.
const LOGGED_PATH_BYTES: usize = 80;

/// Binds the callers' address.
///
/// # Errors
///
/// Fails when it cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    Server::bind(node.settings.caller_address).await
}

/// Answers callers until the node closes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = |node: Arc<Node>, request| async move { answer(&node, request).await };
    server.serve_with(shutdown, node, handler).await;
}

async fn answer(node: &Node, request: Request<Incoming>) -> Response<Body> {
    let credentials = credentials(&request);
    let access = match may_call(node, &credentials).await {
        Ok(access) => access,
        Err(denial) => return denied(denial, &credentials),
    };
    let caller = Caller {
        credentials,
        access,
        limit: deadline(&request),
    };
    let Some(job) = caller.access.job else {
        return match *request.method() {
            Method::GET => count(node, caller).await,
            _ => not_allowed("GET"),
        };
    };
    match *request.method() {
        Method::POST => submit(node, job, caller, request).await,
        Method::GET => state(node, job, caller).await,
        Method::DELETE => cancel(node, job, caller).await,
        _ => not_allowed("GET, POST, DELETE"),
    }
}

/// A request that may be made.
struct Caller {
    credentials: Credentials,
    access: Access,
    /// Time that the caller waits.
    limit: Duration,
}

fn credentials(request: &Request<Incoming>) -> Credentials {
    Credentials {
        host: host_of(request),
        path: request.uri().path().to_string(),
        key: caller_key(request.headers()),
    }
}

/// Decides whether a request may be made. A node that may have missed a configuration asks others for it
/// where nobody else would notice.
async fn may_call(node: &Node, credentials: &Credentials) -> Result<Access, Denial> {
    let judged = judge(&node.config.load(), credentials);
    if !config_sync::is_ask_due(node, judged.is_ok()) {
        return judged;
    }
    config_sync::fetch_newer(node).await;
    judge(&node.config.load(), credentials)
}

/// Answers a request that may not be made. Nothing was done for it.
fn denied(denial: Denial, credentials: &Credentials) -> Response<Body> {
    let (status, reason) = match denial {
        Denial::NoConfig => return unavailable("no configuration yet"),
        Denial::NoQueue => (StatusCode::NOT_FOUND, "no such queue".to_string()),
        Denial::NoJobId => (
            StatusCode::NOT_FOUND,
            "no id of a job: 16 hexadecimal digits".to_string(),
        ),
        Denial::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown key".to_string()),
        Denial::BadKey(mistake) => (StatusCode::UNAUTHORIZED, mistake.to_string()),
    };
    if status == StatusCode::UNAUTHORIZED {
        counter!("lynxwheel_unauthorized_total").increment(1);
        info!(
            event = "unauthorized", path = shortened(&credentials.path), reason = reason.as_str(),
            key:? = credentials.key.ok();
            ""
        );
    }
    error_answer(status, &reason)
}

fn host_of(request: &Request<Incoming>) -> String {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

fn deadline(request: &Request<Incoming>) -> Duration {
    let deadline_ms = caller_timeout_ms(request.headers()).unwrap_or(DEFAULT_DEADLINE_MS);
    Duration::from_millis(deadline_ms.saturating_sub(WAY_BACK_MS))
}

async fn submit(
    node: &Node,
    job: JobId,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    let max_body_bytes = node.config.load().limits.max_body_bytes;
    let body = match collect_body(request.into_body(), max_body_bytes).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let spec = match decode_job(&body) {
        Ok(spec) => Box::new(spec),
        Err(mistake) => return error_answer(StatusCode::BAD_REQUEST, &mistake),
    };
    // Before the owner is asked: the first start may follow before its answer.
    node.payloads.keep(job, &spec.payload);
    let ask = |access: &Access| Ask::Submit {
        job: job.to_string(),
        queue: access.queue.clone(),
        spec: spec.clone(),
        account: access.account.clone(),
        origin: Some(node.peer_address),
    };
    let answer = ask_owner(node, "submit", caller, ask).await;
    match answer {
        Ok(OwnerAnswer::Accepted) => error_answer(StatusCode::OK, ""),
        Ok(OwnerAnswer::Refused | OwnerAnswer::NotOwner) => {
            unavailable("not accepted; it never runs")
        }
        Ok(OwnerAnswer::OverQuota) => error_answer(
            StatusCode::TOO_MANY_REQUESTS,
            "not accepted; it never runs: a task or gang takes more than the account may have running",
        ),
        Ok(OwnerAnswer::OtherAccount) => other_account(),
        Ok(_) => error_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was accepted is not known",
        ),
        Err(denied) => denied,
    }
}

async fn state(node: &Node, job: JobId, caller: Caller) -> Response<Body> {
    let ask = |access: &Access| Ask::State {
        job: job.to_string(),
        account: access.account.clone(),
    };
    match ask_owner(node, "state", caller, ask).await {
        Ok(OwnerAnswer::State(state)) => json(encode_job_state(state)),
        Ok(OwnerAnswer::Unknown) => error_answer(StatusCode::GONE, "no such job"),
        Ok(OwnerAnswer::OtherAccount) => other_account(),
        Ok(_) => unavailable("no owner to ask"),
        Err(denied) => denied,
    }
}

async fn cancel(node: &Node, job: JobId, caller: Caller) -> Response<Body> {
    let ask = |access: &Access| Ask::Cancel {
        job: job.to_string(),
        account: access.account.clone(),
    };
    match ask_owner(node, "cancel", caller, ask).await {
        Ok(OwnerAnswer::Cancelled) => error_answer(StatusCode::OK, ""),
        Ok(OwnerAnswer::Unknown) => error_answer(StatusCode::GONE, "no such job"),
        Ok(OwnerAnswer::OtherAccount) => other_account(),
        Ok(OwnerAnswer::Refused | OwnerAnswer::NotOwner) => unavailable("no owner to ask"),
        Ok(_) => error_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was cancelled is not known",
        ),
        Err(denied) => denied,
    }
}

async fn count(node: &Node, caller: Caller) -> Response<Body> {
    let ask = |access: &Access| Ask::Pending {
        queue: access.queue.clone(),
    };
    match ask_owner(node, "count", caller, ask).await {
        Ok(OwnerAnswer::Pending(count)) => json(encode_pending_count(count)),
        Ok(_) => unavailable("no owner to ask"),
        Err(denied) => denied,
    }
}

fn other_account() -> Response<Body> {
    error_answer(
        StatusCode::FORBIDDEN,
        "the job belongs to another account; nothing was done",
    )
}

/// Asks the owner, counts the request and logs its outcome.
///
/// # Errors
///
/// Returns the answer to a caller who may not call by a newer configuration.
async fn ask_owner(
    node: &Node,
    kind: &'static str,
    caller: Caller,
    ask: impl Fn(&Access) -> Ask,
) -> Result<OwnerAnswer, Response<Body>> {
    let begun = Instant::now();
    let key = caller.credentials.key;
    let asked = ask_until_clear(node, &caller, ask).await;
    let Asked { answer, access } = match asked {
        Ok(asked) => asked,
        Err(denial) => return Err(denied(denial, &caller.credentials)),
    };
    count_request(kind, answer, begun);
    // States are asked for all the time.
    if kind != "state" || !matches!(answer, OwnerAnswer::State(_)) {
        info!(
            event = kind, job:? = access.job.as_ref().map(JobId::as_str), pool = access.queue.pool.as_str(),
            account = access.account.as_str(), key:? = key.ok(), outcome:? = answer,
            config_version = access.version, epoch = node.view.borrow().epoch;
            ""
        );
    }
    Ok(answer)
}

/// Returns the beginning of a path, for the log.
fn shortened(path: &str) -> &str {
    let mut end = path.len().min(LOGGED_PATH_BYTES);
    while !path.is_char_boundary(end) {
        end -= 1;
    }
    &path[..end]
}

/// The owner's answer, and by what the request was judged.
struct Asked {
    answer: OwnerAnswer,
    access: Access,
}

/// Asks the owner, and asks again while there is a new one to come or the outcome is not known.
///
/// Every ask may be repeated: a job's id makes a second submission the same job. A caller that is told
/// "not known" cannot safely come back with a request that must not run twice, so the node finds
/// out itself as long as the caller waits. One that has certainly not been heard is kept only as
/// long as a take-over lasts, and then refused.
///
/// Where the owner has a newer configuration, the request is judged again by that.
async fn ask_until_clear(
    node: &Node,
    caller: &Caller,
    ask: impl Fn(&Access) -> Ask,
) -> Result<Asked, Denial> {
    let begun = Instant::now();
    let patience = caller.limit.min(Duration::from_millis(TAKE_OVER_MS));
    let mut access = caller.access.clone();
    let mut is_unclear = false;
    loop {
        let left = caller.limit.saturating_sub(begun.elapsed());
        let attempt = left.min(Duration::from_millis(ATTEMPT_MS));
        match ask_once(node, ask(&access), access.version, attempt).await {
            OwnerAnswer::Unclear => is_unclear = true,
            OwnerAnswer::NotOwner => {}
            OwnerAnswer::NewerConfig => {
                let known = access.version;
                config_sync::fetch_newer(node).await;
                match judge(&node.config.load(), &caller.credentials) {
                    Ok(newer) => access = newer,
                    // An earlier ask may have been accepted by the older one.
                    Err(_) if is_unclear => break,
                    Err(denial) => return Err(denial),
                }
                if access.version > known {
                    continue;
                }
            }
            // An earlier ask may still arrive, and be accepted.
            OwnerAnswer::Refused if is_unclear => {}
            answer => return Ok(Asked { answer, access }),
        }
        let end = if is_unclear { caller.limit } else { patience };
        if begun.elapsed() + Duration::from_millis(ASK_PAUSE_MS) >= end {
            break;
        }
        sleep(Duration::from_millis(ASK_PAUSE_MS)).await;
    }
    let answer = if is_unclear {
        OwnerAnswer::Unclear
    } else {
        OwnerAnswer::NotOwner
    };
    Ok(Asked { answer, access })
}

/// Asks the owner once, here or at another node.
async fn ask_once(node: &Node, ask: Ask, config_version: u64, limit: Duration) -> OwnerAnswer {
    let (epoch, owner) = node.known_owner();
    let mut request = OwnerRequest {
        epoch,
        config_version,
        ask,
        sender: None,
    };
    if node.owner.load().is_some() {
        let answer = timeout(limit, ask_here(node, request)).await;
        return answer.unwrap_or(OwnerAnswer::Unclear);
    }
    let Some(owner) = owner else {
        return OwnerAnswer::NotOwner;
    };
    request.sender = Some(node.member());
    let client = node.peers.get(owner.address);
    match client.exchange(OWNER_PATH, &request, limit).await {
        Ok(answer) => {
            if answer == OwnerAnswer::NotOwner {
                node.owner_doubted.notify_one();
            } else {
                node.record_owner_answer();
            }
            answer
        }
        Err(error) => {
            node.owner_doubted.notify_one();
            info!(
                event = "forward_failed", peer:% = owner.address, epoch = owner.epoch,
                reason = error.reason.as_str(), may_have_run = error.may_have_run;
                ""
            );
            if error.is_refused {
                node.record_owner_refused(owner.epoch);
            }
            if error.may_have_run {
                OwnerAnswer::Unclear
            } else {
                OwnerAnswer::NotOwner
            }
        }
    }
}

/// Counts a caller's request by its outcome, with the time that the answer took.
fn count_request(kind: &'static str, answer: OwnerAnswer, begun: Instant) {
    let outcome = match answer {
        OwnerAnswer::Accepted
        | OwnerAnswer::Cancelled
        | OwnerAnswer::State(_)
        | OwnerAnswer::Pending(_) => "answered",
        OwnerAnswer::Unknown => "no_such_job",
        OwnerAnswer::Refused | OwnerAnswer::NotOwner | OwnerAnswer::NewerConfig => "refused",
        OwnerAnswer::OverQuota => "over_quota",
        OwnerAnswer::OtherAccount => "other_account",
        OwnerAnswer::Unclear => "unclear",
    };
    counter!("lynxwheel_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("lynxwheel_request_seconds", "kind" => kind).record(begun.elapsed());
}

fn json(body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn unavailable(reason: &str) -> Response<Body> {
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    response
}

fn not_allowed(methods: &'static str) -> Response<Body> {
    let mut response = error_answer(StatusCode::METHOD_NOT_ALLOWED, "no such method here");
    response
        .headers_mut()
        .insert(header::ALLOW, HeaderValue::from_static(methods));
    response
}
