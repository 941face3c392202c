//! Readiness for the platform's balancer.

use {
    crate::node::Node,
    http::{Request, StatusCode},
    hyper::body::Incoming,
    lynxwheel_transport::{Server, error_answer},
    std::{io, sync::Arc},
};

/// Binds the address at which the balancer asks.
///
/// # Errors
///
/// Fails when it cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    Server::bind(node.settings.ready).await
}

/// Answers the balancer.
///
/// A node is ready while it has a configuration and is not stopping. An outage of the store does not change
/// that: no other node would be better off, and callers still get states and refusals.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = move |_: Request<Incoming>| {
        let is_ready = node.config.load().version > 0 && !node.stopping.has_begun();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { error_answer(status, "") }
    };
    server.serve(shutdown, handler).await;
}
