//! The request path of a lynxwheel node: admission, routing, retries and at-most-once execution.
//!
//! It serves callers of `lynxwheel run`; those of `lynxwheel serve` are served by
//! `lynxwheel_controller`.
//!
//! ```no_run
//! use lynxwheel_coordination::{Node, NodeIdentity, NodeSettings};
//! use lynxwheel_gateway::Gateway;
//! use lynxwheel_transport::{Server, Shutdown};
//!
//! # async fn run() -> std::io::Result<()> {
//! let identity = NodeIdentity::new("node-1", "zone-1");
//! let settings = NodeSettings::new(identity, "127.0.0.1:7000".parse().unwrap());
//! let shutdown = Shutdown::new();
//! let (node, _threads) = Node::start(settings, &shutdown);
//! let gateway = Gateway::new(node);
//! let server = Server::bind("127.0.0.1:8080".parse().unwrap()).await?;
//! server.serve(shutdown, move |request| gateway.clone().handle(request)).await;
//! # Ok(())
//! # }
//! ```

mod attempts;
mod caller_request;
mod dispatch;
mod ejection;
mod endpoint;
mod forward;
mod gateway;
mod intents;
mod key_age;
mod keyed_requests;
mod limits;
mod payload;
mod peer_answers;
mod queue;
mod refusal;
mod routing_table;
mod slot_shares;

pub use attempts::{StoredHeader, StoredResponse};
pub use caller_request::{
    CLASS_HEADER, CallerRequest, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, ISSUED_HEADER,
    REQUEST_ID_HEADER, TEAM_HEADER,
};
pub use forward::PEER_RUN_PATH;
pub use gateway::Gateway;
pub use key_age::{KeyAge, check_key_age, uuid_v7_timestamp_ms};
pub use peer_answers::{PEER_ANSWER_PATH, PeerAnswer, PeerAnswerRequest};
pub use refusal::{DID_NOT_RUN_HEADER, Refusal, RefusalReason};
