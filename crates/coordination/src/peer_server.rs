//! Server side of the peer protocol.

use {
    crate::node::Node,
    http::{Method, Request, Response, StatusCode},
    log::warn,
    lynxwheel_protocol::{FOLD_VERSION, PeerEntries, PeerHello, PeerSnapshot, decode_message},
    lynxwheel_state::encode_snapshot,
    lynxwheel_transport::{Body, RequestBody, collect_body, error_response, message_response},
};

/// Path for hellos.
pub(crate) const HELLO_PATH: &str = "/peer/hello";

/// Path for recent log entries.
pub(crate) const ENTRIES_PATH: &str = "/peer/entries";

/// Path for a snapshot of the state.
pub(crate) const SNAPSHOT_PATH: &str = "/peer/snapshot";

/// Maximum size of a hello, in bytes.
const MAX_HELLO_BYTES: usize = 16 * 1024;

impl Node {
    /// Handles a peer's hello or its request for entries or a snapshot.
    pub async fn handle_peer_request(&self, request: Request<RequestBody>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, HELLO_PATH) => self.handle_hello(request).await,
            (&Method::GET, ENTRIES_PATH) => self.handle_entries(&request),
            (&Method::GET, SNAPSHOT_PATH) => self.handle_snapshot(),
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Returns the hello that describes this node to its peers.
    #[must_use]
    pub fn hello(&self) -> PeerHello {
        let state = self.state();
        let content = self.divergence().content_digest();
        PeerHello {
            node: self.settings().identity.node.clone(),
            incarnation: self.incarnation(),
            zone: self.settings().identity.zone.clone(),
            stopping: self.peers().is_stopping(),
            reads_log: self.reads_log(),
            diverged: self.has_diverged(),
            fold_version: FOLD_VERSION,
            offset: state.offset(),
            digest_offset: state.offset(),
            digest: state.digest(),
            content_offset: content.offset,
            content_digest: content.digest,
            loads: self.peers().local_loads(),
            leaving: self.peers().local_leaving(),
        }
    }

    /// Records a peer's hello and compares its digests.
    pub(crate) fn record_hello(&self, hello: PeerHello) {
        self.divergence().compare(&hello);
        self.peers().update(hello, self.clock().now_ms());
    }

    async fn handle_hello(&self, request: Request<RequestBody>) -> Response<Body> {
        let bytes = match collect_body(request.into_body(), MAX_HELLO_BYTES).await {
            Ok(bytes) => bytes,
            Err(response) => return response,
        };
        match decode_message::<PeerHello>(&bytes) {
            Ok(hello) => {
                self.record_hello(hello);
                message_response(&self.hello())
            }
            Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn handle_entries(&self, request: &Request<RequestBody>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let from = query
            .strip_prefix("from=")
            .and_then(|from| from.parse().ok());
        match from {
            Some(from) => message_response(&PeerEntries {
                entries: self.recent_entries().starting_at(from),
            }),
            None => error_response(StatusCode::BAD_REQUEST, "from is missing"),
        }
    }

    fn handle_snapshot(&self) -> Response<Body> {
        if self.has_diverged() {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "the state has diverged");
        }
        let state = self.state();
        match encode_snapshot(&state) {
            Ok(bytes) => message_response(&PeerSnapshot {
                offset: state.offset(),
                digest: state.digest(),
                bytes,
            }),
            Err(error) => {
                warn!(event = "snapshot_failed", offset = state.offset(); "{error}");
                error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
            }
        }
    }
}
