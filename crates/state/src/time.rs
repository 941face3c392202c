//! Time of the fold, derived from the writers' clocks.

use {
    lynxwheel_protocol::NodeName,
    serde::{Deserialize, Serialize},
};

/// Highest time that the records of two nodes have reached.
///
/// With the maximum over all nodes, one clock that runs ahead would expire all idempotency keys
/// and quarantines, and unreachable attempts would count as lost and be started twice. A restarted
/// node does not confirm the time of its earlier incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct FoldTime {
    /// Node with the highest time.
    highest: Option<NodeName>,
    /// Time of that node, in milliseconds since the epoch.
    highest_ms: u64,
    /// Highest time of any other node, in milliseconds since the epoch.
    confirmed_ms: Option<u64>,
    /// Time of the fold, in milliseconds since the epoch.
    now_ms: u64,
}

impl FoldTime {
    /// Records the time of a node's record.
    pub(crate) fn record(&mut self, node: &NodeName, time_ms: u64) {
        match &self.highest {
            None => {
                self.highest = Some(node.clone());
                self.highest_ms = time_ms;
            }
            Some(highest) if highest == node => self.highest_ms = self.highest_ms.max(time_ms),
            Some(_) if time_ms > self.highest_ms => {
                self.confirmed_ms = Some(self.highest_ms);
                self.highest = Some(node.clone());
                self.highest_ms = time_ms;
            }
            Some(_) => self.confirmed_ms = self.confirmed_ms.max(Some(time_ms)),
        }
        let confirmed_ms = self.confirmed_ms.unwrap_or(self.highest_ms);
        self.now_ms = self.now_ms.max(confirmed_ms);
    }

    /// Returns the time of the fold, in milliseconds since the epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }
}
