//! Endpoint of one VM: serves requests up to its number of slots and records them.

use {
    crate::{
        machine::NO_FREE_SLOT,
        server::{REQUEST_ID_HEADER, Shared},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode},
    http_body_util::BodyExt,
    lynxwheel_protocol::VmName,
    lynxwheel_transport::{
        Body, BodyError, RequestBody, Server, ServerLimits, Shutdown, error_response, full_body,
        json_response,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Response header that marks a request that the endpoint did not start.
const NOT_STARTED_HEADER: &str = "not-started";

/// Request header with the incarnation of the VM that the request is for.
const INCARNATION_HEADER: &str = "vm-incarnation";

/// Size of the chunks in which a padded response is sent.
const CHUNK_BYTES: usize = 8 * 1024;

/// Record of a request that an endpoint ran, for checkers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEntry {
    /// VM of the endpoint.
    pub vm: VmName,
    /// Request id set by the caller.
    pub request_id: String,
    /// Idempotency key, or empty if the request had none.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Number of requests in progress on the endpoint, including this one.
    pub in_progress: u32,
    /// Whether the full response was generated.
    pub is_complete: bool,
}

/// Serves an endpoint until shutdown.
pub(crate) async fn serve(
    server: Server,
    shared: Arc<Shared>,
    vm: VmName,
    slots: u32,
    shutdown: Shutdown,
) {
    let limits = ServerLimits {
        max_connections: 64,
        ..ServerLimits::default()
    };
    let handler = move |request| handle(request, Arc::clone(&shared), vm.clone(), slots);
    server.with_limits(limits).serve(shutdown, handler).await;
}

async fn handle(
    request: Request<RequestBody>,
    shared: Arc<Shared>,
    vm: VmName,
    slots: u32,
) -> Response<Body> {
    if request.uri().path() == "/healthz" {
        return health(&shared, &vm);
    }
    if let Err(reason) = take_slot(&shared, &vm, slots, request.headers()) {
        return rejection(reason);
    }
    let guard = SlotGuard {
        shared: Arc::clone(&shared),
        vm: vm.clone(),
    };
    let run = record_run(&shared, &vm, &request);
    let query = request.uri().query().unwrap_or_default().to_owned();
    let request_id = header_text(request.headers(), REQUEST_ID_HEADER);
    let Ok(body) = request.into_body().collect().await else {
        return error_response(StatusCode::BAD_REQUEST, "the body broke off");
    };
    let work_ms = query_number(&query, "ms");
    if work_ms > 0 {
        // A sleep of zero would still last until the next tick of the timer.
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    if query_number(&query, "break") == 1 {
        return truncated_response(query_number(&query, "size"));
    }
    let response = full_response(
        &vm,
        &request_id,
        &body.to_bytes(),
        query_number(&query, "size"),
    );
    shared.complete(run);
    drop(guard);
    response
}

fn health(shared: &Shared, vm: &VmName) -> Response<Body> {
    let platform = shared.platform();
    match platform.machine(vm.as_str()) {
        Some(machine) if machine.is_up => json_response(
            StatusCode::OK,
            &serde_json::json!({
                "vm": vm.as_str(),
                "incarnation": machine.incarnation,
                "leaving": machine.is_leaving,
                "draining": machine.is_draining,
                "in_progress": machine.in_progress,
            }),
        ),
        _ => error_response(StatusCode::BAD_GATEWAY, "down"),
    }
}

/// Takes a slot, or returns why the request cannot start.
fn take_slot(
    shared: &Shared,
    vm: &VmName,
    slots: u32,
    headers: &HeaderMap,
) -> Result<(), &'static str> {
    let mut platform = shared.platform();
    let Some(machine) = platform.machine_mut(vm.as_str()) else {
        return Err("unknown VM");
    };
    let incarnation = header_text(headers, INCARNATION_HEADER);
    if incarnation.is_empty() {
        return machine.admit_request(None, slots);
    }
    let incarnation = incarnation.parse().map_err(|_| "another incarnation")?;
    machine.admit_request(Some(incarnation), slots)
}

/// Releases the slot when dropped, also if the request is cancelled.
struct SlotGuard {
    shared: Arc<Shared>,
    vm: VmName,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(machine) = self.shared.platform().machine_mut(self.vm.as_str()) {
            machine.in_progress = machine.in_progress.saturating_sub(1);
        }
    }
}

fn record_run(shared: &Shared, vm: &VmName, request: &Request<RequestBody>) -> usize {
    let in_progress = shared
        .platform()
        .machine(vm.as_str())
        .map_or(0, |machine| machine.in_progress);
    shared.record_run(RunEntry {
        vm: vm.clone(),
        request_id: header_text(request.headers(), REQUEST_ID_HEADER),
        key: header_text(request.headers(), "idempotency-key"),
        method: request.method().to_string(),
        in_progress,
        is_complete: false,
    })
}

fn rejection(reason: &str) -> Response<Body> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response
        .headers_mut()
        .insert(NOT_STARTED_HEADER, not_started_value(reason));
    response
}

/// Returns `busy` for a missing slot, and `gone` if the endpoint accepts no more requests.
fn not_started_value(reason: &str) -> HeaderValue {
    HeaderValue::from_static(if reason == NO_FREE_SLOT {
        "busy"
    } else {
        "gone"
    })
}

fn full_response(vm: &VmName, request_id: &str, body: &Bytes, size: u64) -> Response<Body> {
    let mut text = format!("request={request_id} vm={vm} bytes={}\n", body.len()).into_bytes();
    let padding = usize::try_from(size).unwrap_or(0);
    text.resize(text.len() + padding, b'.');
    let mut response = Response::new(if padding > CHUNK_BYTES {
        chunked_body(text)
    } else {
        full_body(text)
    });
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn chunked_body(text: Vec<u8>) -> Body {
    let whole = Bytes::from(text);
    let frames = (0..whole.len()).step_by(CHUNK_BYTES).map(move |start| {
        let end = (start + CHUNK_BYTES).min(whole.len());
        Ok(hyper::body::Frame::data(whole.slice(start..end)))
    });
    BodyExt::boxed_unsync(http_body_util::StreamBody::new(Frames { frames }))
}

/// Returns a response whose body fails after `size` bytes.
fn truncated_response(size: u64) -> Response<Body> {
    let part = vec![b'.'; usize::try_from(size).unwrap_or(0)];
    let frames = [
        Ok(hyper::body::Frame::data(Bytes::from(part))),
        Err(BodyError::Broken {
            reason: "cut".into(),
        }),
    ];
    Response::new(BodyExt::boxed_unsync(http_body_util::StreamBody::new(
        Frames {
            frames: frames.into_iter(),
        },
    )))
}

/// Stream over an iterator of frames.
struct Frames<I> {
    frames: I,
}

impl<I: Iterator + Unpin> futures_core::Stream for Frames<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<I::Item>> {
        std::task::Poll::Ready(self.frames.next())
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn query_number(query: &str, name: &str) -> u64 {
    crate::server::query_number(query, name).unwrap_or(0)
}
