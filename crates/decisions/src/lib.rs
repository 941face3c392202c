//! Pure decisions of lynxwheel: routing, waves, moves and placement.
//!
//! A decision takes the folded state and what the node knows besides, and returns what to do with
//! the reason as data. It reads no clock, does no I/O and holds no hidden randomness.
//!
//! ```
//! use lynxwheel_decisions::rendezvous_rank;
//!
//! let nodes = ["node-1".into(), "node-2".into()];
//! let ranks: Vec<_> = nodes.iter().map(|node| rendezvous_rank("pool-a", node, &nodes)).collect();
//! assert!(ranks.contains(&0) && ranks.contains(&1));
//! ```

mod placement;
mod rendezvous;
mod routing;
mod waves;

pub use placement::{Placement, PlacementReason, plan_placements};
pub use rendezvous::rendezvous_rank;
pub use routing::{EndpointView, RouteChoice, RouteReason, RouteRequest, least_loaded};
pub use waves::{ClaimPlan, ClaimReason, plan_claims};
