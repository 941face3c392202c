//! Catching up from peers when the log itself cannot be read.

use {
    crate::{
        fold::{Fold, FoldEntries, Reload},
        node::Node,
        peer_server::ENTRIES_PATH,
        recovery::from_peer,
    },
    kameo::actor::ActorRef,
    log::{info, warn},
    lynxwheel_protocol::{NodeName, PeerEntries},
    lynxwheel_transport::{Client, TransportError},
    std::time::Duration,
};

/// Pause between two looks, in milliseconds.
const LOOK_MS: u64 = 500;

/// Time that a peer may take, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// Catches up for as long as it is polled.
///
/// A node that is cut from the log but not from its peers would otherwise go on routing by an
/// old configuration. It asks only after it stood still for a look while a peer was ahead, so
/// that a node that reads the log costs its peers nothing.
pub(crate) async fn catch_up(node: Node, fold: ActorRef<Fold>) {
    let mut last = None;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let own = node.state().offset();
        let ahead = most_ahead(&node, own);
        if let Some(peer) = ahead
            && last == Some(own)
            && let Err(error) = take_entries(&node, &peer, own, &fold).await
        {
            warn!(event = "catch_up_failed", peer = peer.as_str(), offset = own; "{error}");
        }
        last = Some(own);
    }
}

/// Returns the live peer that has folded most, if it is ahead.
fn most_ahead(node: &Node, own: u64) -> Option<NodeName> {
    let views = node.peers().live_peers(node.clock().now_ms());
    views
        .into_iter()
        .map(|view| view.hello)
        .filter(|hello| hello.offset > own && !hello.diverged)
        .max_by_key(|hello| hello.offset)
        .map(|hello| hello.node)
}

async fn take_entries(
    node: &Node,
    peer: &NodeName,
    own: u64,
    fold: &ActorRef<Fold>,
) -> Result<(), TransportError> {
    let Some(client) = client_of(node, peer) else {
        return Ok(());
    };
    let path = format!("{ENTRIES_PATH}?from={}", own + 1);
    let limit = Duration::from_millis(TIMEOUT_MS);
    let answer: PeerEntries = client.fetch(&path, limit).await?;
    info!(event = "entries_from_peer", peer = peer.as_str(), offset = own,
        count = answer.entries.len(); "");
    if !answer.entries.is_empty() {
        let entries = answer.entries;
        drop(fold.tell(FoldEntries { entries }).send().await);
    } else if let Some(state) = from_peer(&client).await {
        drop(fold.tell(Reload::new(state)).send().await);
    }
    Ok(())
}

fn client_of(node: &Node, peer: &NodeName) -> Option<Client> {
    let peers = &node.settings().peers;
    let row = peers.binary_search_by(|row| row.node.cmp(peer)).ok()?;
    Some(node.peer_clients().get(peers[row].address))
}
