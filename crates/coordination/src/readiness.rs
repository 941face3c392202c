//! Readiness of a node for load balancers.

/// Conditions that determine whether a node is ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Readiness {
    /// Whether the node's state is current.
    pub is_current: bool,
    /// Whether the state has been current at least once since the start.
    pub has_been_current: bool,
    /// Number of peers in the settings.
    pub configured_peers: usize,
    /// Number of live peers.
    pub live_peers: usize,
    /// Number of live peers that can read the log.
    pub log_reading_peers: usize,
}

impl Readiness {
    /// Returns whether a load balancer should route requests to the node.
    ///
    /// During an outage of the log no node is current. If all nodes reported themselves unready,
    /// idempotent requests would fail although they do not need the log. A node therefore stays
    /// ready when none of its live peers can read the log either. A node that is isolated while
    /// others read the log is unready, since it misses declarations.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_outage =
            self.configured_peers == 0 || self.live_peers > 0 && self.log_reading_peers == 0;
        self.is_current || self.has_been_current && is_outage
    }
}
