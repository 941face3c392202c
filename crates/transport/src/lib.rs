//! HTTP servers, clients and connection pools for lynxwheel.
//!
//! ```
//! use lynxwheel_transport::{Client, Step};
//! use std::time::Duration;
//!
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
//! let error = runtime.block_on(async {
//!     let client = Client::new("127.0.0.1:1".parse().unwrap(), 1);
//!     client.get("/livez", Duration::from_secs(1)).await.unwrap_err()
//! });
//! assert_eq!(error.step, Step::Connect);
//! assert!(!error.may_have_run);
//! ```

mod body;
mod body_wrappers;
mod client;
mod connection_table;
mod connections;
mod counted;
mod error;
mod head_scan;
mod line_limit;
mod process_limits;
mod request_body;
mod send_guard;
mod sent_body;
mod server;
mod stall;

pub use body::{Body, BodyError, BufferedBody, buffer_body, empty_body, full_body};
pub use body_wrappers::{guarded_body, limited_body};
pub use client::{BodyChoice, Client, ClientPool, ClientRequest, ClientResponse, ConnectionId};
pub use connection_table::{ConnectionNumber, ConnectionTable, Opening, Phase, Reserving};
pub use error::{Step, TransportError};
pub use process_limits::{ListenerShare, ProcessLimits};
pub use request_body::{CollectedBody, HeldMemory, RequestBody, collect_body};
pub use send_guard::{SendCondition, SendGuard, SendRecord};
pub use server::{Server, ServerLimits, Shutdown, error_response, json_response, message_response};
