//! Proposes records that advance the fold's confirmed time and its version.

use {
    crate::node::Node,
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{FOLD_VERSION, RecordBody},
    std::time::Duration,
};

/// Interval between two checks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Lag of the fold's time beyond which it is confirmed again, in milliseconds.
const MAX_TIME_LAG_MS: u64 = 10_000;

/// Number of nodes that confirm the time: the two required and one spare.
const MAX_CONFIRMING_NODES: usize = 3;

/// Confirms the time and raises the fold version for as long as it is polled.
pub(crate) async fn run_housekeeping(node: Node) {
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        if !node.is_current() {
            continue;
        }
        if node.clock().now_ms() > node.state().time_ms() + MAX_TIME_LAG_MS
            && rank(&node, "time") < MAX_CONFIRMING_NODES
        {
            node.proposer().propose_and_confirm(RecordBody::Tick).await;
        }
        let next_version = node.state().fold_version() + 1;
        if next_version <= FOLD_VERSION
            && rank(&node, "fold-version") == 0
            && is_supported_by_peers(&node, next_version)
        {
            let raise = RecordBody::RaiseVersion {
                fold_version: next_version,
            };
            node.proposer().propose_and_confirm(raise).await;
        }
    }
}

fn rank(node: &Node, subject: &str) -> usize {
    rendezvous_rank(subject, &node.settings().identity.node, &node.live_nodes())
}

/// Returns whether every live peer supports the fold version.
fn is_supported_by_peers(node: &Node, fold_version: u32) -> bool {
    let peers = node.peers().live_peers(node.clock().now_ms());
    peers.len() + 1 == node.live_nodes().len()
        && peers
            .iter()
            .all(|peer| peer.hello.fold_version >= fold_version)
}
