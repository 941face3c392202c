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
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = move |_: Request<Incoming>| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { error_answer(status, "") }
    };
    server.serve(shutdown, handler).await;
}
