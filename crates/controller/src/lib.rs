//! Node of the fleet controller on the users' platform, run by `lynxwheel serve`. The node that
//! `lynxwheel run` starts is in `lynxwheel_coordination` and `lynxwheel_gateway`.
//!
//! Every node serves callers. One of them owns the fleet at a time: it makes the decisions and
//! calls endpoints and platform services. The owner is elected through a log in the platform's
//! store:
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
mod assignments;
mod calls;
mod clock;
mod commit;
mod config_sync;
mod delegate_messages;
mod delegate_pool;
mod delegate_worker;
mod dispatch;
mod feeds;
mod in_flight;
mod ingress;
mod load;
mod log_events;
mod members;
mod newest_renewals;
mod node;
mod owner;
mod owner_lease;
mod ownership;
mod payloads;
mod peer;
mod peer_server;
mod pending;
mod polling;
mod publisher;
mod ready;
mod record_parts;
mod speed;
mod standbys;
mod suspension;
mod takeover;
mod watcher;

pub use {
    access::{Access, Credentials, Denial, authorize},
    assignments::EndpointAssignments,
    calls::{CallResult, CallSubject, EndpointCall},
    commit::{Append, AppendVerdict, Commit, STATE_TOPIC, Writer},
    delegate_messages::{
        CallNumber, DelegateReply, DelegateRequest, DelegateResults, DelegatedCall,
    },
    in_flight::{InFlightBatches, MAX_IN_FLIGHT_BATCHES, PIPELINE_DELAY_MS, STORE_UNAVAILABLE_MS},
    members::{MEMBER_TIMEOUT_MS, Member, Members},
    newest_renewals::NewestRenewals,
    node::{MetricsHandle, run},
    owner_lease::OwnerLease,
    ownership::{
        FRESH_RENEWAL_MS, OWNER_TIMEOUT_MS, OwnerInfo, OwnershipKind, OwnershipRecord,
        OwnershipView, REFUSED_CONNECTIONS_MS, RENEWAL_INTERVAL_MS, SMALL_NODE_CLAIM_DELAY_MS,
        SUSPICION_TIMEOUT_MS,
    },
    payloads::PayloadCache,
    peer::{
        CallerRequest, ConfigRequest, OwnerRequest, OwnerResponse, OwnershipAction,
        OwnershipRequest, OwnershipResponse,
    },
    pending::PendingCalls,
    polling::{DOUBT_MS, MIN_POLL_WAIT_MS, OwnerContact, max_poll_wait_ms, retry_delay_ms},
    publisher::StatusPublisher,
    record_parts::{JoinedRecords, RecordParts},
    speed::CpuSpeed,
    standbys::{StandbyCandidates, StandbyRecord},
    suspension::Suspension,
    takeover::{LoadedState, is_read_again_due},
    watcher::OWNERSHIP_TOPIC,
};
