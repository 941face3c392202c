//! Exchanges periodic hello messages with the peers.

use {
    crate::{node::Node, peer_server::HELLO_PATH, settings::PeerAddress},
    log::{debug, warn},
    lynxwheel_protocol::PeerHello,
    lynxwheel_transport::{Client, TransportError},
    std::time::Duration,
    tokio::{sync::watch, task::JoinSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Interval between two hellos to a peer, in milliseconds.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// Maximum random addition to the interval, in milliseconds; keeps nodes that started together
/// from sending in step.
const MAX_JITTER_MS: u64 = 250;

/// Timeout of an exchange, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 1_000;

/// Silence of an initiating peer after which this node sends a hello itself, in milliseconds.
const MAX_SILENCE_MS: u64 = 2_000;

/// Maximum number of connections to a peer: one for hellos and one for entries or a snapshot.
pub(crate) const MAX_PEER_CONNECTIONS: usize = 2;

/// Exchanges hellos with every peer for as long as it is polled.
///
/// Of two nodes the one with the lower name sends and the other replies, so that a pair needs one
/// exchange per interval. The other node sends only after a silence or an announcement.
pub(crate) async fn exchange_hellos(node: Node) {
    let mut exchanges = JoinSet::new();
    for peer in node.settings().peers.clone() {
        let exchange = HelloExchange {
            client: node.peer_clients().get(peer.address),
            announcements: node.peers().announcements(),
            node: node.clone(),
            peer,
        };
        exchanges.spawn(exchange.run());
    }
    exchanges.join_all().await;
}

/// Hello exchange with one peer.
struct HelloExchange {
    node: Node,
    peer: PeerAddress,
    client: Client,
    announcements: watch::Receiver<u64>,
}

impl HelloExchange {
    async fn run(mut self) {
        let mut round = 0_u64;
        let mut is_announced = true;
        loop {
            if is_announced || self.is_hello_due() {
                self.send_hello().await;
            }
            round += 1;
            let pause = Duration::from_millis(HELLO_INTERVAL_MS + self.jitter_ms(round));
            is_announced = tokio::time::timeout(pause, self.announcements.changed())
                .await
                .is_ok();
        }
    }

    /// Returns whether this node initiates the exchange, or the peer should have but did not.
    ///
    /// Otherwise a peer that cannot connect to this node would count as dead although this node
    /// can reach it.
    fn is_hello_due(&self) -> bool {
        let is_initiator = self.node.settings().identity.node < self.peer.node;
        let now_ms = self.node.clock().now_ms();
        is_initiator || self.node.peers().silence_ms(&self.peer.node, now_ms) >= MAX_SILENCE_MS
    }

    async fn send_hello(&self) {
        match self.exchange().await {
            Ok(hello) if hello.node == self.peer.node => self.node.record_hello(hello),
            Ok(hello) => warn!(event = "peer_is_another", peer = self.peer.node.as_str(),
                answered = hello.node.as_str(); "another node answered at the peer's address"),
            Err(error) => {
                debug!(event = "hello_failed", peer = self.peer.node.as_str(); "{error}");
            }
        }
    }

    async fn exchange(&self) -> Result<PeerHello, TransportError> {
        let timeout = Duration::from_millis(HELLO_TIMEOUT_MS);
        self.client
            .post_message(HELLO_PATH, &self.node.hello(), timeout)
            .await
    }

    fn jitter_ms(&self, round: u64) -> u64 {
        let seed = self.node.incarnation();
        let name = self.peer.node.as_str().as_bytes();
        xxh3_64_with_seed(name, seed.wrapping_add(round)) % MAX_JITTER_MS
    }
}
