//! Coordination of a node that `lynxwheel run` starts: reads and appends the log, tracks peers, plans
//! placements and executes actions. The node of `lynxwheel serve` is in `lynxwheel_controller`.
//!
//! ```no_run
//! use lynxwheel_coordination::{Node, NodeIdentity, NodeSettings};
//! use lynxwheel_transport::Shutdown;
//!
//! # async fn run() {
//! let identity = NodeIdentity::new("node-1", "zone-1");
//! let settings = NodeSettings::new(identity, "127.0.0.1:7000".parse().unwrap());
//! let (node, _threads) = Node::start(settings, &Shutdown::new());
//! println!("folded up to offset {}", node.state().offset());
//! # }
//! ```

mod actions;
mod appender;
mod background;
mod catch_up;
mod clock;
mod cpu_share;
mod divergence;
mod fold;
mod housekeeping;
mod log_client;
mod membership;
mod node;
mod observer;
mod operations;
mod peer_server;
mod peers;
mod planner;
mod poll_schedule;
mod proposer;
mod published_state;
mod rate_limit;
mod reader;
mod readiness;
mod recent_entries;
mod recovery;
mod settings;
mod snapshot_chunks;
mod snapshots;
mod tasks;
mod waiters;

pub use background::spawn_background_thread;
pub use clock::Clock;
pub use log_client::{LogClient, LogError};
pub use node::{BackgroundThreads, Node};
pub use operations::Operation;
pub use peers::{LocalEndpoints, PeerStatus, Peers};
pub use proposer::{ProposalOutcome, ProposeError, Proposer};
pub use published_state::PublishedState;
pub use rate_limit::{RateLimiter, RateShare};
pub use readiness::Readiness;
pub use settings::{NodeIdentity, NodeSettings, PeerAddress};
pub use snapshot_chunks::{SnapshotAssembler, split_snapshot};
