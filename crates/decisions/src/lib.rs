//! Pure decisions of lynxwheel: routing, waves, moves and placement.
//!
//! A decision takes the folded state and the node's own observations, and returns what to do and
//! why as data. It reads no clock, does no I/O and uses no randomness.
//!
//! ```
//! use lynxwheel_decisions::rendezvous_rank;
//!
//! let nodes = ["node-1".into(), "node-2".into()];
//! let ranks: Vec<_> = nodes.iter().map(|node| rendezvous_rank("pool-a", node, &nodes)).collect();
//! assert!(ranks.contains(&0) && ranks.contains(&1));
//! ```

mod action_step;
mod admission;
mod allocation;
mod claim_review;
mod drain;
mod exclusions;
mod explain;
mod fleet_view;
mod forecast;
mod placement;
mod preemption;
mod rendezvous;
mod routing;
mod tuning;
mod wave_health;
mod waves;

pub use action_step::{ActionStep, next_action_step};
pub use admission::{
    Admission, AdmissionView, MAX_RETRY_BUDGET, TokenBucket, admit, budget_after_request,
    budget_after_retry, expected_wait_ms,
};
pub use claim_review::{ClaimReview, ReleaseReason, ReviewStep, review_claims};
pub use drain::{DrainEstimate, remaining_ms};
pub use exclusions::{GiveUpPlan, GiveUpReason, QuarantinePlan, plan_give_ups, plan_quarantines};
pub use explain::{Explanation, JobExplanation, VmExplanation, WaitReason, explain};
pub use fleet_view::{FleetView, PoolView};
pub use forecast::{Forecast, Outlook, forecast};
pub use placement::{Placement, PlacementPlan, PlacementReason, estimate_demand, plan_placements};
pub use preemption::Preemption;
pub use rendezvous::rendezvous_rank;
pub use routing::{
    EndpointView, RouteChoice, RoutePolicy, RouteReason, RouteRequest, least_loaded,
    least_loaded_in_share, slot_shares,
};
pub use tuning::Tuning;
pub use wave_health::{WaveHealth, ramp_limit};
pub use waves::{ClaimPlan, ClaimReason, cordoned_vms, is_due, plan_claims};
