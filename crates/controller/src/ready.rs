//! Readiness endpoint for the platform's load balancer.

use {
    crate::node::Node,
    http::StatusCode,
    lynxwheel_transport::{ListenerShare, Server, error_response},
    std::{io, sync::Arc},
};

/// Binds the readiness address.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn bind(node: &Node) -> io::Result<Server> {
    let limits = node
        .settings
        .process_limits
        .server_limits(&ListenerShare::READINESS);
    Server::bind_with_limits("readiness", node.settings.readiness_address, limits).await
}

/// Serves readiness checks until the node closes.
pub async fn serve(node: Arc<Node>, server: Server) {
    let shutdown = node.closing.clone();
    let handler = |node: Arc<Node>, _| async move {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        error_response(status, "")
    };
    server.serve_with(shutdown, node, handler).await;
}
