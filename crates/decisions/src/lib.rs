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

mod admission;
mod placement;
mod rendezvous;
mod routing;
mod waves;

pub use admission::{
    Admission, AdmissionView, MAX_RETRY_BUDGET, TokenBucket, admit, budget_after_request,
    budget_after_retry, expected_wait_ms,
};
pub use placement::{Placement, PlacementReason, plan_placements};
pub use rendezvous::rendezvous_rank;
pub use routing::{
    EndpointView, RouteChoice, RoutePolicy, RouteReason, RouteRequest, least_loaded, own_share,
    slot_share,
};
pub use waves::{ClaimPlan, ClaimReason, plan_claims};
