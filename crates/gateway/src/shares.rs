//! Shares of the slots, kept per endpoint until the set of live nodes changes.

use {
    lynxwheel_decisions::slot_shares,
    lynxwheel_protocol::{NodeName, VmName},
};

/// Time for which a node goes on with the smaller of its old and new shares, in milliseconds.
const LAG_MS: u64 = 3_000;

/// Set of nodes that share the slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeView {
    nodes: Vec<NodeName>,
    former: Vec<NodeName>,
    since_ms: u64,
    changes: u64,
}

impl NodeView {
    /// Notes the live nodes.
    pub(crate) fn see(&mut self, nodes: Vec<NodeName>, now_ms: u64) {
        if nodes != self.nodes {
            self.former = std::mem::replace(&mut self.nodes, nodes);
            self.since_ms = now_ms;
            self.changes += 1;
        } else if !self.former.is_empty() && now_ms >= self.since_ms + LAG_MS {
            self.former = Vec::new();
            self.changes += 1;
        }
    }
}

/// Shares of one endpoint's slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointShares {
    slots: u32,
    changes: u64,
    shares: Vec<u32>,
    former: Vec<u32>,
}

impl EndpointShares {
    /// Deals the slots anew when the nodes or the slots have changed.
    pub(crate) fn refresh(&mut self, vm: &VmName, slots: u32, view: &NodeView) {
        if self.changes == view.changes && self.slots == slots {
            return;
        }
        self.slots = slots;
        self.changes = view.changes;
        self.shares = slot_shares(vm, &view.nodes, slots);
        self.former = slot_shares(vm, &view.former, slots);
    }

    /// Returns how many slots belong to `node`.
    ///
    /// Nodes learn of a change of their set at different times. A node gives slots up at once and
    /// takes slots over only after a while, when the others have given them up.
    pub(crate) fn share(&self, node: &NodeName, view: &NodeView) -> u32 {
        let share = share_in(&self.shares, &view.nodes, node);
        if view.former.is_empty() {
            return share;
        }
        share.min(share_in(&self.former, &view.former, node))
    }
}

fn share_in(shares: &[u32], nodes: &[NodeName], node: &NodeName) -> u32 {
    let row = nodes.binary_search(node).ok();
    row.and_then(|row| shares.get(row)).copied().unwrap_or(0)
}
