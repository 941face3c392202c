//! Settings of a node.

use {
    crate::clock::Clock,
    lynxwheel_protocol::{NodeName, ZoneName},
    std::net::SocketAddr,
};

/// Name and availability zone of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeIdentity {
    /// Name, unique among all nodes.
    pub node: NodeName,
    /// Availability zone.
    pub zone: ZoneName,
}

impl NodeIdentity {
    /// Creates the identity of a node in an availability zone.
    #[must_use]
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            node: node.into(),
            zone: zone.into(),
        }
    }
}

/// Name and address of a peer.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerAddress {
    /// Name of the peer.
    pub node: NodeName,
    /// Address on which it accepts connections from other nodes.
    pub address: SocketAddr,
}

/// Settings of a [`Node`](crate::Node).
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name and availability zone of the node.
    pub identity: NodeIdentity,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Name of the fleet's stream in the log service.
    pub stream: String,
    /// Peers, sorted by name.
    pub peers: Vec<PeerAddress>,
    /// Time after which the outcome of a proposal counts as unknown, in milliseconds.
    pub propose_timeout_ms: u64,
    /// Interval at which VMs and jobs are polled, in milliseconds.
    pub poll_interval_ms: u64,
    /// Pause between attempts to join, in milliseconds.
    pub join_retry_ms: u64,
    /// Timeout of an action on a VM, in milliseconds.
    pub action_timeout_ms: u64,
    /// Number of records after which a snapshot is due; well below the log's retention.
    pub snapshot_interval_records: u64,
    /// Time after which a snapshot is due, in milliseconds; well below the log's retention.
    pub snapshot_interval_ms: u64,
    /// Maximum number of appends a second of all nodes together.
    pub max_appends_per_s: u32,
    /// Time source.
    pub clock: Clock,
}

impl NodeSettings {
    /// Creates settings with default values and no peers.
    #[must_use]
    pub fn new(identity: NodeIdentity, platform: SocketAddr) -> Self {
        Self {
            identity,
            platform,
            stream: "fleet".into(),
            peers: Vec::new(),
            propose_timeout_ms: 3_000,
            poll_interval_ms: 200,
            join_retry_ms: 300,
            action_timeout_ms: 600_000,
            snapshot_interval_records: 20_000,
            snapshot_interval_ms: 600_000,
            max_appends_per_s: 360,
            clock: Clock::system(),
        }
    }

    /// Sets the time source.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the peers.
    #[must_use]
    pub fn with_peers(mut self, mut peers: Vec<PeerAddress>) -> Self {
        peers.sort();
        self.peers = peers;
        self
    }

    /// Returns the names of all nodes including this one, sorted.
    #[must_use]
    pub fn node_names(&self) -> Vec<NodeName> {
        let mut names: Vec<NodeName> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.identity.node.clone());
        names.sort();
        names.dedup();
        names
    }
}
