//! Records that keep the fold going: confirmed time and a raised version.

use {
    crate::node::Node,
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{FOLD_VERSION, RecordBody},
    std::time::Duration,
};

/// Pause between two looks, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// Lag of the fold's time after which it is confirmed anew, in milliseconds.
const MAX_LAG_MS: u64 = 10_000;

/// Nodes that confirm the time; two are needed, and one more in case one of them is away.
const CONFIRMING_NODES: usize = 3;

/// Keeps the fold going for as long as it is polled.
pub(crate) async fn keep_up(node: Node) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        if !node.is_current() {
            continue;
        }
        if node.clock().now_ms() > node.state().time_ms() + MAX_LAG_MS
            && rank(&node, "time") < CONFIRMING_NODES
        {
            node.proposer().propose_and_confirm(RecordBody::Tick).await;
        }
        let next = node.state().fold_version() + 1;
        if next <= FOLD_VERSION && rank(&node, "fold-version") == 0 && is_known(&node, next) {
            let raise = RecordBody::RaiseVersion { fold_version: next };
            node.proposer().propose_and_confirm(raise).await;
        }
    }
}

fn rank(node: &Node, subject: &str) -> usize {
    rendezvous_rank(subject, &node.settings().identity.node, &node.live_nodes())
}

/// Tells whether every live peer said that it knows the version.
fn is_known(node: &Node, fold_version: u32) -> bool {
    let views = node.peers().live_peers(node.clock().now_ms());
    views.len() + 1 == node.live_nodes().len()
        && views
            .iter()
            .all(|view| view.hello.fold_version >= fold_version)
}
