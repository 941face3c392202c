//! What a node needs to know to start.

use {
    crate::clock::Clock,
    lynxwheel_protocol::{NodeName, ZoneName},
    std::net::SocketAddr,
};

/// Name and place of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeIdentity {
    /// Name, unique among the nodes.
    pub node: NodeName,
    /// Zone.
    pub zone: ZoneName,
}

impl NodeIdentity {
    /// Names a node in a zone.
    #[must_use]
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            node: node.into(),
            zone: zone.into(),
        }
    }
}

/// A peer and where it listens for other nodes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerAddress {
    /// Peer.
    pub node: NodeName,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Settings of a node's coordination.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Who the node is.
    pub identity: NodeIdentity,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Name of the fleet's stream in the log service.
    pub stream: String,
    /// Other nodes, sorted by name.
    pub peers: Vec<PeerAddress>,
    /// Time that a proposal may take until its outcome is called unknown, in milliseconds.
    pub propose_timeout_ms: u64,
    /// Pause between two looks at VMs and jobs, in milliseconds.
    pub poll_interval_ms: u64,
    /// Pause by which each rank waits for the one before, in milliseconds.
    pub join_retry_ms: u64,
    /// Time that a VM may take for an action, in milliseconds.
    pub action_timeout_ms: u64,
    /// Records after which a snapshot is due; a small part of what the log keeps.
    pub snapshot_interval_records: u64,
    /// Time after which a snapshot is due, in milliseconds; a small part of what the log keeps.
    pub snapshot_interval_ms: u64,
    /// Appends in a second that all nodes together make at most.
    pub max_appends_per_s: u32,
    /// Time source.
    pub clock: Clock,
}

impl NodeSettings {
    /// Creates settings with defaults for everything else.
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

    /// Sets the other nodes.
    #[must_use]
    pub fn with_peers(mut self, mut peers: Vec<PeerAddress>) -> Self {
        peers.sort();
        self.peers = peers;
        self
    }

    /// Returns the names of all nodes, this one included, sorted.
    #[must_use]
    pub fn node_names(&self) -> Vec<NodeName> {
        let mut names: Vec<NodeName> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.identity.node.clone());
        names.sort();
        names.dedup();
        names
    }
}
