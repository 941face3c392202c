//! HTTP server for requests from other nodes.

use {
    crate::{
        clock, config_sync,
        delegate_messages::{
            DELEGATE_CALLS_PATH, DELEGATE_RESULTS_PATH, DelegateReply, DelegateResults,
            PAYLOAD_PATH,
        },
        node::Node,
        owner::{OwnerHandle, OwnerMessage, request_owner},
        ownership::SUSPICION_TIMEOUT_MS,
        peer::{
            CONFIG_PATH, ConfigRequest, OWNER_PATH, OWNERSHIP_PATH, OwnerRequest, OwnerResponse,
            OwnershipAction, OwnershipRequest, OwnershipResponse,
        },
    },
    http::{Request, Response, StatusCode},
    lynxwheel_engine::FleetConfig,
    lynxwheel_protocol::{MAX_MESSAGE_BYTES, decode_message},
    lynxwheel_transport::{
        Body, HeldMemory, ListenerShare, RequestBody, Server, collect_body, error_response,
        full_body, message_response,
    },
    serde::de::DeserializeOwned,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
};

/// Path of the metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Binds the address for peers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    let limits = node
        .settings
        .process_limits
        .server_limits(&ListenerShare::PEERS);
    Server::bind_with_limits("peers", node.peer_address, limits).await
}

/// Serves peers until the node closes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = |node: Arc<Node>, request| async move { handle_request(&node, request).await };
    server.serve_with(shutdown, node, handler).await;
}

async fn handle_request(node: &Arc<Node>, request: Request<RequestBody>) -> Response<Body> {
    match request.uri().path() {
        METRICS_PATH => error_response(StatusCode::OK, &node.metrics.render()),
        OWNER_PATH => match read_message::<OwnerRequest>(request).await {
            Ok((mut request, mut held)) => {
                let job_bytes = request.caller_request.job_bytes();
                if held.grow(job_bytes).await.is_err() {
                    return message_response(&OwnerResponse::Refused);
                }
                if let Some(sender) = request.sender.take() {
                    fetch_newer_config(node, &request, sender.address).await;
                    node.record_member(sender);
                }
                message_response(&handle_locally(node, request).await)
            }
            Err(response) => response,
        },
        CONFIG_PATH => match read_message::<ConfigRequest>(request).await {
            Ok((request, _held)) => message_response(&config_newer_than(node, request.version)),
            Err(response) => response,
        },
        OWNERSHIP_PATH => match read_message(request).await {
            Ok((request, _held)) => message_response(&handle_ownership_request(node, &request)),
            Err(response) => response,
        },
        DELEGATE_CALLS_PATH => match read_message(request).await {
            Ok((request, _held)) => message_response(&node.delegate_worker.accept(node, request)),
            Err(response) => response,
        },
        DELEGATE_RESULTS_PATH => match read_message(request).await {
            Ok((request, _held)) => message_response(&accept_delegate_results(node, request).await),
            Err(response) => response,
        },
        path => match path.strip_prefix(PAYLOAD_PATH) {
            Some(job) => payload_response(node, job),
            None => error_response(StatusCode::NOT_FOUND, "no such path"),
        },
    }
}

/// Decodes the message in a request's body, and returns it with the memory held for it; fails with
/// the response to send.
async fn read_message<T: DeserializeOwned>(
    request: Request<RequestBody>,
) -> Result<(T, HeldMemory), Response<Body>> {
    let body = collect_body(request.into_body(), MAX_MESSAGE_BYTES).await?;
    let message = decode_message(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
    Ok((message, body.into_held()))
}

/// Returns the local owner handle, unless the sender knows a later epoch.
fn local_owner(node: &Node, epoch: u64) -> Option<Arc<OwnerHandle>> {
    let owner = node.owner.load_full()?;
    if epoch > owner.epoch {
        // The sender has seen a later claim: step down even if the store is unreachable.
        owner.try_send(OwnerMessage::Deposed);
        return None;
    }
    Some(owner)
}

/// Passes a request to the local owner actor, unless it was authorized with an older configuration
/// than the active one.
pub async fn handle_locally(node: &Node, request: OwnerRequest) -> OwnerResponse {
    if request.config_version < node.config.load().version {
        return OwnerResponse::NewerConfig;
    }
    match local_owner(node, request.epoch) {
        Some(owner) => request_owner(&owner, request.caller_request).await,
        None => OwnerResponse::NotOwner,
    }
}

/// Fetches the sender's configuration if it is newer than the owner's.
async fn fetch_newer_config(node: &Node, request: &OwnerRequest, sender: SocketAddr) {
    let version = request.config_version;
    if node.owner.load().is_some() && version > node.config.load().version {
        config_sync::fetch_from(node, sender, version).await;
    }
}

/// Returns the active configuration if it is newer than `version`.
fn config_newer_than(node: &Node, version: u64) -> Option<FleetConfig> {
    let config = node.config.load();
    (config.version > version).then(|| FleetConfig::clone(&config))
}

/// Returns the cached payload of a job submitted to this node.
fn payload_response(node: &Node, job: &str) -> Response<Body> {
    let payload = job.parse().ok().and_then(|job| node.payloads.get(job));
    match payload {
        Some(payload) => Response::new(full_body(payload.to_string())),
        None => error_response(StatusCode::NOT_FOUND, "no such payload"),
    }
}

/// Passes results of delegated calls to the local owner actor.
async fn accept_delegate_results(node: &Node, request: DelegateResults) -> DelegateReply {
    match local_owner(node, request.epoch) {
        Some(owner) if owner.epoch == request.epoch => {
            let message = OwnerMessage::DelegateResults(request.delegate, request.results);
            owner.send(message).await;
            DelegateReply::Accepted
        }
        _ => DelegateReply::Refused,
    }
}

fn handle_ownership_request(node: &Node, request: &OwnershipRequest) -> OwnershipResponse {
    let Some(owner) = local_owner(node, request.epoch) else {
        // Loading the state of a large fleet takes a while. A new owner that counted as dead
        // meanwhile would be replaced before its first action, and its successor likewise.
        let is_taking_over = request.action == OwnershipAction::Probe
            && node.takeover_epoch.load(Ordering::Relaxed) == request.epoch;
        return if is_taking_over {
            OwnershipResponse::Alive
        } else {
            OwnershipResponse::NotOwner
        };
    };
    match request.action {
        OwnershipAction::Yield => {
            owner.try_send(OwnerMessage::Release);
            OwnershipResponse::Yielded
        }
        OwnershipAction::Probe => {
            let now_ms = clock::steady_ms();
            // Renewals may fail while reads succeed. Treating that as a disconnect would replace
            // the owner by one that fares no better.
            if owner.is_renewed_within(now_ms, SUSPICION_TIMEOUT_MS)
                || node.is_store_reachable(now_ms)
            {
                OwnershipResponse::Alive
            } else {
                OwnershipResponse::Unheard
            }
        }
    }
}
