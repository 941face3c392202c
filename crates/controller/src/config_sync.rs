//! Configuration synchronization between nodes.
//!
//! Every node reads the configuration from the store. A node that cannot reach the store gets newer
//! versions from the owner; an owner gets them from nodes that forward requests, or from other live
//! nodes.

use {
    crate::{
        clock,
        node::Node,
        peer::{CONFIG_PATH, ConfigRequest},
    },
    log::info,
    lynxwheel_engine::FleetConfig,
    rand::seq::SliceRandom,
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
    tokio::time::timeout,
};

/// Timeout for fetching a configuration from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 300;

/// Maximum number of peers asked for a newer configuration.
const MAX_PEERS_ASKED: usize = 3;

/// Minimum interval between fetches of a newer configuration, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 300;

/// Age up to which the last read of the operator topic counts as recent, in milliseconds: the
/// maximum poll wait of the owner plus slack. Nodes that poll less often ask the owner.
const FRESH_READ_MS: u64 = 1_000;

/// Fetches a peer's configuration and activates it if newer. Returns whether the active
/// configuration is at least `version` afterwards.
pub async fn fetch_from(node: &Node, peer: SocketAddr, version: u64) -> bool {
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    // Concurrent requests share one fetch. The wait is limited, so that unresponsive peers do not
    // exhaust the callers' deadlines.
    let guard = timeout(limit, node.config_fetch.lock()).await;
    if guard.is_err() || node.config.load().version >= version {
        return node.config.load().version >= version;
    }
    let request = ConfigRequest {
        version: node.config.load().version,
    };
    let client = node.peers.get(peer);
    let fetched: Result<Option<FleetConfig>, _> =
        client.post_message(CONFIG_PATH, &request, limit).await;
    match fetched {
        Ok(Some(config)) => node.activate_config(config),
        Ok(None) => {}
        Err(error) => {
            let reason = error.reason.as_str();
            info!(
                event = "config_fetch_failed", peer:% = peer, reason = reason;
                "fetching the configuration from a peer failed"
            );
        }
    }
    drop(guard);
    node.config.load().version >= version
}

/// Fetches a newer configuration from the owner or, when it is unknown or this node itself, from
/// live nodes.
pub async fn fetch_newer(node: &Node) {
    let next = node.config.load().version + 1;
    let (_, owner) = node.known_owner();
    if let Some(owner) = owner.filter(|owner| owner.address != node.peer_address) {
        fetch_from(node, owner.address, next).await;
        return;
    }
    let mut members = node.live_members(clock::steady_ms());
    // Some of them may be cut off from the store as well.
    members.shuffle(&mut rand::rng());
    for member in members.iter().take(MAX_PEERS_ASKED) {
        if fetch_from(node, member.address, next).await {
            return;
        }
    }
}

/// Returns whether to fetch a newer configuration before responding to a request, and records the
/// attempt.
///
/// An authorized request needs no fetch here unless this node is the owner, since the owner checks
/// the configuration version again.
pub fn should_fetch_newer(node: &Node, is_authorized: bool) -> bool {
    let is_rechecked_by_owner = is_authorized && node.owner.load().is_none();
    if is_rechecked_by_owner || !may_be_stale(node) {
        return false;
    }
    let now_ms = clock::steady_ms();
    let next_request =
        |requested_ms| (now_ms >= requested_ms + FETCH_INTERVAL_MS).then_some(now_ms);
    node.config_requested_ms
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next_request)
        .is_ok()
}

/// Returns whether this node may have missed a newer configuration.
fn may_be_stale(node: &Node) -> bool {
    let read_ms = node.config_read_ms.load(Ordering::Relaxed);
    clock::steady_ms() > read_ms + FRESH_READ_MS
}
