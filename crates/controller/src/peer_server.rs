//! Other nodes' requests for the owner.

use {
    crate::{
        clock,
        node::Node,
        owner::{OwnerMessage, ask_owner},
        peer::{Ask, OWNER_PATH, OwnerAnswer, OwnerRequest},
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    lynxwheel_protocol::{MAX_MESSAGE_BYTES, decode_message},
    lynxwheel_transport::{Body, Server, collect_body, error_answer, message_answer},
    std::{io, sync::Arc},
};

/// Path of the metrics, in the text format of Prometheus.
const METRICS_PATH: &str = "/metrics";

/// Binds the address for other nodes.
///
/// # Errors
///
/// Fails when it cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    Server::bind(node.peer_address).await
}

/// Answers other nodes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = move |request: Request<Incoming>| {
        let node = Arc::clone(&node);
        async move { answer(&node, request).await }
    };
    server.serve(shutdown, handler).await;
}

async fn answer(node: &Node, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == METRICS_PATH {
        return error_answer(StatusCode::OK, &node.metrics.render());
    }
    if request.uri().path() != OWNER_PATH {
        return error_answer(StatusCode::NOT_FOUND, "no such path");
    }
    let bytes = match collect_body(request.into_body(), MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(answer) => return answer,
    };
    let request: OwnerRequest = match decode_message(&bytes) {
        Ok(request) => request,
        Err(error) => return error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    message_answer(&ask_here(node, request).await)
}

/// Asks this node's owner duties, if it has them.
pub async fn ask_here(node: &Node, request: OwnerRequest) -> OwnerAnswer {
    let Some(owner) = node.owner.load_full() else {
        return OwnerAnswer::NotOwner;
    };
    if request.epoch > owner.epoch {
        // Another node has seen a later claim: this one is over, even if the store is out of reach.
        owner.offer(OwnerMessage::Deposed);
        return OwnerAnswer::NotOwner;
    }
    if matches!(request.ask, Ask::Alive) {
        let now_ms = clock::steady_ms();
        // Renewals whose answers are lost say nothing: reads get through, and a successor would fare
        // no better. Taken for a cut, they made owners follow each other every second.
        return if owner.is_heard(now_ms) || node.is_in_contact(now_ms) {
            OwnerAnswer::Alive
        } else {
            OwnerAnswer::Unheard
        };
    }
    if matches!(request.ask, Ask::Yield) {
        owner.offer(OwnerMessage::Release);
        return OwnerAnswer::Yielded;
    }
    ask_owner(&owner, request.ask).await
}
