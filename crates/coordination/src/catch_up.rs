//! Catches up from peers while the log cannot be read.

use {
    crate::{
        fold::{Fold, FoldEntries, ReplaceState},
        node::Node,
        peer_server::ENTRIES_PATH,
        recovery::fetch_state,
    },
    kameo::actor::ActorRef,
    log::{info, warn},
    lynxwheel_protocol::{NodeName, PeerEntries},
    lynxwheel_transport::{Client, TransportError},
    std::time::Duration,
};

/// Interval between two checks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Timeout of a request for entries, in milliseconds.
const ENTRIES_TIMEOUT_MS: u64 = 2_000;

/// Catches up from peers for as long as it is polled.
///
/// Otherwise a node that cannot reach the log would keep routing by an outdated state. It sends
/// a request only when a peer is ahead and its own offset has not changed since the last check, so
/// that nodes that read the log do not burden their peers.
pub(crate) async fn catch_up(node: Node, fold: ActorRef<Fold>) {
    let mut previous_offset = None;
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let own_offset = node.state().offset();
        let peer_ahead = most_advanced_peer(&node, own_offset);
        if let Some(peer) = peer_ahead
            && previous_offset == Some(own_offset)
            && let Err(error) = fetch_entries(&node, &peer, own_offset, &fold).await
        {
            warn!(event = "catch_up_failed", peer = peer.as_str(), offset = own_offset; "{error}");
        }
        previous_offset = Some(own_offset);
    }
}

/// Returns the live peer with the highest offset, if it is ahead of this node.
fn most_advanced_peer(node: &Node, own_offset: u64) -> Option<NodeName> {
    let peers = node.peers().live_peers(node.clock().now_ms());
    peers
        .into_iter()
        .map(|peer| peer.hello)
        .filter(|hello| hello.offset > own_offset && !hello.diverged)
        .max_by_key(|hello| hello.offset)
        .map(|hello| hello.node)
}

async fn fetch_entries(
    node: &Node,
    peer: &NodeName,
    own_offset: u64,
    fold: &ActorRef<Fold>,
) -> Result<(), TransportError> {
    let Some(client) = peer_client(node, peer) else {
        return Ok(());
    };
    let path = format!("{ENTRIES_PATH}?from={}", own_offset + 1);
    let timeout = Duration::from_millis(ENTRIES_TIMEOUT_MS);
    let response: PeerEntries = client.get_message(&path, timeout).await?;
    info!(event = "entries_from_peer", peer = peer.as_str(), offset = own_offset,
        count = response.entries.len(); "received entries from a peer");
    if !response.entries.is_empty() {
        let entries = response.entries;
        drop(fold.tell(FoldEntries { entries }).send().await);
    } else if let Some(state) = fetch_state(&client).await {
        drop(fold.tell(ReplaceState::new(state)).send().await);
    }
    Ok(())
}

fn peer_client(node: &Node, peer: &NodeName) -> Option<Client> {
    let peers = &node.settings().peers;
    let index = peers
        .binary_search_by(|configured| configured.node.cmp(peer))
        .ok()?;
    Some(node.peer_clients().get(peers[index].address))
}
