//! Telling the peers about this node, and hearing from them.

use {
    crate::{node::Node, peer_server::HELLO_PATH, settings::PeerAddress},
    log::{debug, warn},
    lynxwheel_protocol::PeerHello,
    lynxwheel_transport::{Client, TransportError},
    std::time::Duration,
    tokio::{sync::watch, task::JoinSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Pause between two messages to a peer, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Longest addition to the pause, in milliseconds; nodes that start together must not stay in
/// step.
const JITTER_MS: u64 = 250;

/// Time that one exchange may take, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// Silence after which a node speaks first to a peer whose turn it is, in milliseconds.
const SILENCE_MS: u64 = 2_000;

/// Connections to one peer; one for the periodic message and one for entries or a snapshot.
pub(crate) const PEER_CONNECTIONS: usize = 2;

/// Exchanges messages with every peer for as long as it is polled.
///
/// Of two nodes the one with the lower name speaks and the other answers, so each pair costs one
/// exchange a period. The other one speaks only after a silence or when it has urgent news.
pub(crate) async fn exchange_hellos(node: Node) {
    let mut exchanges = JoinSet::new();
    for peer in node.settings().peers.clone() {
        let exchange = Exchange {
            client: node.peer_clients().get(peer.address),
            news: node.peers().news(),
            node: node.clone(),
            peer,
        };
        exchanges.spawn(exchange.run());
    }
    exchanges.join_all().await;
}

/// Exchanges with one peer.
struct Exchange {
    node: Node,
    peer: PeerAddress,
    client: Client,
    news: watch::Receiver<u64>,
}

impl Exchange {
    async fn run(mut self) {
        let mut round = 0_u64;
        let mut has_news = true;
        loop {
            if has_news || self.is_to_speak() {
                self.speak().await;
            }
            round += 1;
            let pause = Duration::from_millis(PERIOD_MS + self.jitter_ms(round));
            has_news = tokio::time::timeout(pause, self.news.changed())
                .await
                .is_ok();
        }
    }

    /// Tells whether it is this node's turn, or the peer has let its own turn pass.
    ///
    /// A peer that cannot open connections to this node would otherwise count as dead although
    /// this node can reach it.
    fn is_to_speak(&self) -> bool {
        let is_first = self.node.settings().identity.node < self.peer.node;
        let now_ms = self.node.clock().now_ms();
        is_first || self.node.peers().silence_ms(&self.peer.node, now_ms) >= SILENCE_MS
    }

    async fn speak(&self) {
        match self.exchange().await {
            Ok(hello) if hello.node == self.peer.node => self.node.note_hello(hello),
            Ok(hello) => warn!(event = "peer_is_another", peer = self.peer.node.as_str(),
                answered = hello.node.as_str(); ""),
            Err(error) => {
                debug!(event = "hello_failed", peer = self.peer.node.as_str(); "{error}");
            }
        }
    }

    async fn exchange(&self) -> Result<PeerHello, TransportError> {
        let limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        self.client
            .exchange(HELLO_PATH, &self.node.hello(), limit)
            .await
    }

    fn jitter_ms(&self, round: u64) -> u64 {
        let seed = self.node.incarnation();
        let name = self.peer.node.as_str().as_bytes();
        xxh3_64_with_seed(name, seed.wrapping_add(round)) % JITTER_MS
    }
}
