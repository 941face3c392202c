//! HTTP resource API of lynxwheel.
//!
//! ```no_run
//! use lynxwheel_api::{AccessControl, Api};
//! use lynxwheel_coordination::{Node, NodeIdentity, NodeSettings};
//! use lynxwheel_transport::{Server, Shutdown};
//!
//! # async fn run() -> std::io::Result<()> {
//! let identity = NodeIdentity::new("node-1", "zone-1");
//! let settings = NodeSettings::new(identity, "127.0.0.1:7000".parse().unwrap());
//! let shutdown = Shutdown::new();
//! let (node, _threads) = Node::start(settings, &shutdown);
//! let api = Api::start(node, AccessControl::default(), shutdown.clone());
//! let server = Server::bind("127.0.0.1:8081".parse().unwrap()).await?;
//! server.serve(shutdown, move |request| api.clone().handle(request)).await;
//! # Ok(())
//! # }
//! ```

mod access;
mod changes;
mod handler;
mod list;
mod openapi;
mod query;
mod responses;
mod routes;
mod status;
mod watch;
mod write;

pub use access::{AccessControl, AccessToken, Operator, Role};
pub use handler::Api;
pub use openapi::openapi;
pub use routes::{Action, Route, routes};
pub use status::resource_view;
