//! Nodes' shares of an endpoint's slots, computed when the set of live nodes changes.

use {
    lynxwheel_decisions::slot_shares,
    lynxwheel_protocol::{NodeName, VmName},
};

/// Time for which a node uses the smaller of its previous and new shares, in milliseconds.
const HANDOVER_MS: u64 = 3_000;

/// Live nodes, which share the slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharingNodes {
    nodes: Vec<NodeName>,
    previous: Vec<NodeName>,
    changed_ms: u64,
    generation: u64,
}

impl SharingNodes {
    /// Updates the live nodes.
    pub(crate) fn update(&mut self, nodes: Vec<NodeName>, now_ms: u64) {
        if nodes != self.nodes {
            self.previous = std::mem::replace(&mut self.nodes, nodes);
            self.changed_ms = now_ms;
            self.generation += 1;
        } else if !self.previous.is_empty() && now_ms >= self.changed_ms + HANDOVER_MS {
            self.previous = Vec::new();
            self.generation += 1;
        }
    }
}

/// Nodes' shares of one endpoint's slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointShares {
    slots: u32,
    generation: u64,
    shares: Vec<u32>,
    previous: Vec<u32>,
}

impl EndpointShares {
    /// Recomputes the shares if the nodes or the number of slots changed.
    pub(crate) fn refresh(&mut self, vm: &VmName, slots: u32, live_nodes: &SharingNodes) {
        if self.generation == live_nodes.generation && self.slots == slots {
            return;
        }
        self.slots = slots;
        self.generation = live_nodes.generation;
        self.shares = slot_shares(vm, &live_nodes.nodes, slots);
        self.previous = slot_shares(vm, &live_nodes.previous, slots);
    }

    /// Returns the number of slots that `node` may use.
    ///
    /// Nodes learn of a change of the live nodes at different times, so a node releases slots
    /// immediately but uses additional ones only after [`HANDOVER_MS`], when its peers have
    /// released them.
    pub(crate) fn share(&self, node: &NodeName, live_nodes: &SharingNodes) -> u32 {
        let share = share_of(&self.shares, &live_nodes.nodes, node);
        if live_nodes.previous.is_empty() {
            return share;
        }
        share.min(share_of(&self.previous, &live_nodes.previous, node))
    }
}

fn share_of(shares: &[u32], nodes: &[NodeName], node: &NodeName) -> u32 {
    let index = nodes.binary_search(node).ok();
    index
        .and_then(|index| shares.get(index))
        .copied()
        .unwrap_or(0)
}
