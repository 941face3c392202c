//! Configurations that one node takes over from another.
//!
//! Every node reads configurations from the store. One that the store turns away takes a newer one over
//! from the owner, and an owner from the node that sends it a request, or from nodes heard of lately.

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

/// Time for another node's configuration, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 300;

/// Nodes that are asked for a newer configuration at most.
const MAX_PEERS_ASKED: usize = 3;

/// Time between two asks for a newer configuration, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 300;

/// Age up to which the last read of what operators write counts as fresh, in milliseconds: the longest
/// wait of a poll, and some slack.
const FRESH_READ_MS: u64 = 1_000;

/// Takes over the configuration of another node if that is newer; tells whether this node's is as new
/// as `version` then.
pub async fn fetch_from(node: &Node, peer: SocketAddr, version: u64) -> bool {
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    // Requests that come meanwhile wait for the same answer, but not in a long row for peers that give
    // none: their callers' deadlines would pass.
    let fetching = timeout(limit, node.config_fetch.lock()).await;
    if fetching.is_err() || node.config.load().version >= version {
        return node.config.load().version >= version;
    }
    let request = ConfigRequest {
        version: node.config.load().version,
    };
    let client = node.peers.get(peer);
    let fetched: Result<Option<FleetConfig>, _> =
        client.exchange(CONFIG_PATH, &request, limit).await;
    match fetched {
        Ok(Some(config)) => node.activate_config(config),
        Ok(None) => {}
        Err(error) => {
            let reason = error.reason.as_str();
            info!(event = "config_fetch_failed", peer:% = peer, reason = reason; "");
        }
    }
    drop(fetching);
    node.config.load().version >= version
}

/// Takes over a newer configuration from the owner, or, where that is not known, from nodes that were
/// heard of lately: an owner that the store turns away knows no successor.
pub async fn fetch_newer(node: &Node) {
    let next = node.config.load().version + 1;
    let (_, owner) = node.known_owner();
    if let Some(owner) = owner.filter(|owner| owner.address != node.peer_address) {
        fetch_from(node, owner.address, next).await;
        return;
    }
    let mut members = node.live_members(clock::steady_ms());
    // The store may turn some of them away, too.
    members.shuffle(&mut rand::rng());
    for member in members.iter().take(MAX_PEERS_ASKED) {
        if fetch_from(node, member.address, next).await {
            return;
        }
    }
}

/// Tells whether others are to be asked for a newer configuration before a request is answered, and counts
/// as asked then.
///
/// A request that may be made is judged again by the owner, unless this node is the owner itself.
pub fn should_fetch_newer(node: &Node, is_authorized: bool) -> bool {
    let is_rechecked_by_owner = is_authorized && node.owner.load().is_none();
    if is_rechecked_by_owner || !may_be_stale(node) {
        return false;
    }
    let now_ms = clock::steady_ms();
    let claim_request =
        |requested_ms| (now_ms >= requested_ms + FETCH_INTERVAL_MS).then_some(now_ms);
    node.config_requested_ms
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, claim_request)
        .is_ok()
}

/// Tells whether a newer configuration may be active that this node has not read.
fn may_be_stale(node: &Node) -> bool {
    let read_ms = node.config_read_ms.load(Ordering::Relaxed);
    clock::steady_ms() > read_ms + FRESH_READ_MS
}
