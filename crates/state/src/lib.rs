//! The deterministic fold of the log into the state of a fleet.
//!
//! Every node applies the same records with the same pure function. A record is a proposal, which
//! the fold accepts or rejects by the state at its offset. Concurrent writers therefore need no
//! leader.
//!
//! ```
//! use lynxwheel_protocol::{Record, RecordBody, WriterId};
//! use lynxwheel_state::{FleetState, Verdict};
//!
//! let mut state = FleetState::new();
//! let join = Record {
//!     id: WriterId { incarnation: 7, sequence: 1 },
//!     time_ms: 1_000,
//!     body: RecordBody::Join { node: "node-1".into(), fold_version: 1 },
//! };
//! assert_eq!(state.apply(1, &join), Verdict::Accepted);
//! assert_eq!(state.apply(2, &join), Verdict::Duplicate);
//! ```

mod availability;
mod changes;
mod claims;
mod declarations;
mod fleet;
mod jobs;
mod keys;
mod placements;
mod snapshot;
mod table;
mod time;
mod verdict;
mod vms;
mod writers;

pub use availability::PoolAvailability;
pub use changes::ChangedNames;
pub use declarations::Declared;
pub use fleet::FleetState;
pub use jobs::{Attempt, Estimate, JobPhase, JobState, TeamState};
pub use keys::{KeyEntry, KeyState};
pub use placements::TASK_LEASE_MS;
pub use snapshot::{SnapshotError, decode_snapshot, encode_snapshot};
pub use table::{Keyed, SortedTable};
pub use verdict::{Rejection, Verdict};
pub use vms::{Claim, ClaimStage, PoolState, VmState, WaveState};
pub use writers::{Writer, Writers};
