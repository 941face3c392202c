//! Configurations that one node takes over from another.
//!
//! Every node reads configurations from the store. One that the store turns away learns of a newer one
//! from the owner, and an owner that is behind from the node that sends it a request.

use {
    crate::{
        clock,
        node::Node,
        peer::{CONFIG_PATH, ConfigRequest},
    },
    log::info,
    lynxwheel_engine::FleetConfig,
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
};

/// Time for another node's configuration, in milliseconds.
const FETCH_MS: u64 = 300;

/// Age up to which the last read of what operators write counts as fresh, in milliseconds: the longest
/// wait of a poll, and some slack.
const FRESH_READ_MS: u64 = 1_000;

/// Takes over the configuration of another node if that is newer; tells whether this node's is as new
/// as `version` then.
pub async fn fetch_from(node: &Node, peer: SocketAddr, version: u64) -> bool {
    // Requests that come meanwhile wait for the same answer.
    let fetching = node.config_fetch.lock().await;
    if node.config.load().version >= version {
        return true;
    }
    let request = ConfigRequest {
        version: node.config.load().version,
    };
    let client = node.peers.get(peer);
    let limit = Duration::from_millis(FETCH_MS);
    let fetched: Result<Option<FleetConfig>, _> =
        client.exchange(CONFIG_PATH, &request, limit).await;
    match fetched {
        Ok(Some(config)) => node.put_config(config),
        Ok(None) => {}
        Err(error) => {
            let reason = error.reason.as_str();
            info!(event = "config_fetch_failed", peer:% = peer, reason = reason; "");
        }
    }
    drop(fetching);
    node.config.load().version >= version
}

/// Takes over the owner's configuration if that is newer.
pub async fn fetch_from_owner(node: &Node) {
    let (_, owner) = node.known_owner();
    if let Some(owner) = owner.filter(|owner| owner.address != node.peer_address) {
        let next = node.config.load().version + 1;
        fetch_from(node, owner.address, next).await;
    }
}

/// Tells whether a newer configuration may be in force that this node has not read.
pub fn may_be_behind(node: &Node) -> bool {
    let read_ms = node.config_read_ms.load(Ordering::Relaxed);
    clock::steady_ms() > read_ms + FRESH_READ_MS
}
