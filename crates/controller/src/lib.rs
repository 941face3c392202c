//! Node of a fleet on the users' platform.
//!
//! Every node takes callers' requests; one of them owns the fleet for a while, decides and gives
//! orders. Which one is agreed through the platform's log:
//!
//! ```
//! use lynxwheel_controller::{OwnershipKind, OwnershipRecord, OwnershipView};
//!
//! let mut view = OwnershipView::default();
//! let claim = OwnershipRecord {
//!     kind: OwnershipKind::Claim,
//!     epoch: 0,
//!     incarnation: 7,
//!     address: "127.0.0.1:7060".parse().unwrap(),
//!     cpu_millis: 250,
//!     stored_end: 0,
//! };
//! view.apply(Some(&claim), 1_000);
//! assert_eq!(view.owner.unwrap().epoch, 1);
//! ```

mod access;
mod calls;
mod carried;
mod carrier;
mod carriers;
mod clock;
mod commit;
mod config_sync;
mod dispatch;
mod feeds;
mod in_flight;
mod ingress;
mod load;
mod members;
mod node;
mod notes;
mod owner;
mod ownership;
mod payloads;
mod peer;
mod peer_server;
mod pending;
mod ready;
mod shares;
mod speed;
mod take_over;
mod watcher;

pub use {
    access::{Access, Credentials, Denial, judge},
    calls::{CallResult, CallSubject, EndpointCall},
    carried::{CallNumber, CarriedCall, CarriedRequest, CarryAnswer, CarryRequest},
    in_flight::{FOLLOW_MS, InFlight, MOST_UNDER_WAY, STORE_AWAY_MS},
    members::{HEARD_MS, Member, Members},
    node::{MetricsPage, run},
    ownership::{
        FRESH_MS, OwnerId, OwnershipKind, OwnershipRecord, OwnershipView, REFUSING_MS,
        RENEW_EVERY_MS, SILENCE_MS, SMALL_NODE_DELAY_MS, SUSPECT_MS,
    },
    payloads::Payloads,
    peer::{
        Ask, ConfigRequest, OwnerAnswer, OwnerRequest, OwnershipAnswer, OwnershipAsk,
        OwnershipRequest,
    },
    pending::PendingCalls,
    shares::Shares,
    speed::Speed,
};
