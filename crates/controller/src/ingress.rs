//! Callers' requests: hand in, ask, cancel, count.

use {
    crate::{
        node::Node,
        peer::{Ask, OWNER_PATH, OwnerAnswer, OwnerRequest},
        peer_server::ask_here,
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    log::info,
    lynxwheel_engine::{JobId, Queue},
    lynxwheel_platform::{caller_deadline_ms, decode_job, pending_body, state_body},
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

/// Binds the callers' address.
///
/// # Errors
///
/// Fails when it cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    Server::bind(node.settings.callers).await
}

/// Answers callers until the node closes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = |node: Arc<Node>, request| async move { answer(&node, request).await };
    server.serve_with(shutdown, node, handler).await;
}

async fn answer(node: &Node, request: Request<Incoming>) -> Response<Body> {
    let config = node.config.load_full();
    if config.version == 0 {
        return unavailable("no configuration yet");
    }
    let path = request.uri().path();
    let host = host_of(&request);
    let Some(queue) = config.queue_for(&host, path) else {
        return error_answer(StatusCode::NOT_FOUND, "no such queue");
    };
    let rest = path[queue.path_prefix.len()..].to_string();
    if rest.is_empty() {
        return match *request.method() {
            Method::GET => count(node, queue).await,
            _ => not_allowed("GET"),
        };
    }
    let Ok(job) = rest.parse::<JobId>() else {
        return error_answer(
            StatusCode::NOT_FOUND,
            "no id of a job: 16 hexadecimal digits",
        );
    };
    let method = request.method().clone();
    match method {
        Method::POST => submit(node, job, queue, config.limits.max_body_bytes, request).await,
        Method::GET => state(node, job, &request).await,
        Method::DELETE => cancel(node, job, &request).await,
        _ => not_allowed("GET, POST, DELETE"),
    }
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
    let deadline_ms = caller_deadline_ms(request.headers()).unwrap_or(DEFAULT_DEADLINE_MS);
    Duration::from_millis(deadline_ms.saturating_sub(WAY_BACK_MS))
}

async fn submit(
    node: &Node,
    job: JobId,
    queue: &Queue,
    max_body_bytes: usize,
    request: Request<Incoming>,
) -> Response<Body> {
    let limit = deadline(&request);
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
    let ask = Ask::Submit {
        job: job.to_string(),
        queue: queue.clone(),
        spec,
        origin: Some(node.peer_address),
    };
    let begun = Instant::now();
    let answer = ask_owner(node, ask, limit).await;
    count_request("submit", answer, begun);
    info!(
        event = "submit", job = job.as_str(), pool = queue.pool.as_str(), outcome:? = answer,
        epoch = node.view.borrow().epoch;
        ""
    );
    match answer {
        OwnerAnswer::Accepted => error_answer(StatusCode::OK, ""),
        OwnerAnswer::Refused | OwnerAnswer::NotOwner => unavailable("not accepted; it never runs"),
        _ => error_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was accepted is not known",
        ),
    }
}

async fn state(node: &Node, job: JobId, request: &Request<Incoming>) -> Response<Body> {
    let ask = Ask::State {
        job: job.to_string(),
    };
    let begun = Instant::now();
    let answer = ask_owner(node, ask, deadline(request)).await;
    count_request("state", answer, begun);
    match answer {
        OwnerAnswer::State(state) => json(state_body(state)),
        OwnerAnswer::Unknown => {
            info!(event = "state", job = job.as_str(), outcome = "unknown"; "");
            error_answer(StatusCode::GONE, "no such job")
        }
        _ => unavailable("no owner to ask"),
    }
}

async fn cancel(node: &Node, job: JobId, request: &Request<Incoming>) -> Response<Body> {
    let ask = Ask::Cancel {
        job: job.to_string(),
    };
    let begun = Instant::now();
    let answer = ask_owner(node, ask, deadline(request)).await;
    count_request("cancel", answer, begun);
    info!(event = "cancel", job = job.as_str(), outcome:? = answer; "");
    match answer {
        OwnerAnswer::Cancelled => error_answer(StatusCode::OK, ""),
        OwnerAnswer::Unknown => error_answer(StatusCode::GONE, "no such job"),
        OwnerAnswer::Refused | OwnerAnswer::NotOwner => unavailable("no owner to ask"),
        _ => error_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "whether it was cancelled is not known",
        ),
    }
}

async fn count(node: &Node, queue: &Queue) -> Response<Body> {
    let ask = Ask::Pending {
        queue: queue.clone(),
    };
    let limit = Duration::from_millis(DEFAULT_DEADLINE_MS - WAY_BACK_MS);
    match ask_owner(node, ask, limit).await {
        OwnerAnswer::Pending(count) => json(pending_body(count)),
        _ => unavailable("no owner to ask"),
    }
}

/// Asks the owner, and asks again while there is a new one to come or the outcome is not known.
///
/// Every ask may be repeated: a job's id makes a second hand-in the same job. A caller that is told
/// "not known" cannot safely come back with a request that must not run twice, so the node finds
/// out itself as long as the caller waits. One that has certainly not been heard is kept only as
/// long as a take-over lasts, and then refused.
async fn ask_owner(node: &Node, ask: Ask, limit: Duration) -> OwnerAnswer {
    let begun = Instant::now();
    let patience = limit.min(Duration::from_millis(TAKE_OVER_MS));
    let mut is_unclear = false;
    loop {
        let left = limit.saturating_sub(begun.elapsed());
        let attempt = left.min(Duration::from_millis(ATTEMPT_MS));
        match ask_once(node, ask.clone(), attempt).await {
            OwnerAnswer::Unclear => is_unclear = true,
            OwnerAnswer::NotOwner => {}
            // An earlier ask may still arrive, and be accepted.
            OwnerAnswer::Refused if is_unclear => {}
            answer => return answer,
        }
        let end = if is_unclear { limit } else { patience };
        if begun.elapsed() + Duration::from_millis(ASK_PAUSE_MS) >= end {
            break;
        }
        sleep(Duration::from_millis(ASK_PAUSE_MS)).await;
    }
    if is_unclear {
        OwnerAnswer::Unclear
    } else {
        OwnerAnswer::NotOwner
    }
}

/// Asks the owner once, here or at another node.
async fn ask_once(node: &Node, ask: Ask, limit: Duration) -> OwnerAnswer {
    let (epoch, owner) = node.known_owner();
    let mut request = OwnerRequest {
        epoch,
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
                node.note_owner_heard();
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
                node.note_owner_refused(owner.epoch);
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
        OwnerAnswer::Refused | OwnerAnswer::NotOwner => "refused",
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
