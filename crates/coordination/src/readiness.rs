//! Whether a balancer should send callers to a node.

/// What readiness depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Readiness {
    /// Whether the node knows that it has seen everything up to a moment ago.
    pub is_current: bool,
    /// Whether it has been current since its start.
    pub has_been_current: bool,
    /// Other nodes in the settings.
    pub configured_peers: usize,
    /// Other nodes that are live.
    pub live_peers: usize,
    /// Live ones that read the log.
    pub log_reading_peers: usize,
}

impl Readiness {
    /// Tells whether callers should be sent to the node.
    ///
    /// While the log is down no node is current. If all of them turned readiness off for that, a
    /// balancer would have nobody left, and callers of idempotent requests would get nothing during
    /// an outage that does not concern them. A node that sees its peers without the log too goes
    /// on; one that is cut off while others may go on steps aside, since it misses declarations.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_outage =
            self.configured_peers == 0 || self.live_peers > 0 && self.log_reading_peers == 0;
        self.is_current || self.has_been_current && is_outage
    }
}
