//! A platform and nodes with their peer listeners in one process.

use {
    lynxwheel_coordination::{Clock, Duties, Node, NodeIdentity, NodeSettings, PeerAddress},
    lynxwheel_standin::PlatformServer,
    lynxwheel_transport::{Server, Shutdown},
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Time within which anything awaited must come.
const LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// A running node.
pub struct RunningNode {
    /// Node.
    pub node: Node,
    /// Ends the node.
    pub shutdown: Shutdown,
    _duties: Duties,
}

/// A platform and the addresses of its nodes.
pub struct Fleet {
    /// Platform.
    pub platform: PlatformServer,
    /// Every node's peer listener, sorted by name.
    pub addresses: Vec<PeerAddress>,
    /// Time source of all nodes.
    pub clock: Clock,
}

impl Fleet {
    /// Starts a platform for `count` nodes.
    pub async fn start(count: u32) -> Self {
        let platform = PlatformServer::start(any_port(), &[], 0)
            .await
            .expect("a free port");
        let listeners: Vec<std::net::TcpListener> = (0..count)
            .map(|_| std::net::TcpListener::bind(any_port()).expect("a free port"))
            .collect();
        let addresses = (1..)
            .zip(&listeners)
            .map(|(number, listener)| PeerAddress {
                node: format!("node-{number}").as_str().into(),
                address: listener.local_addr().expect("a bound port"),
            })
            .collect();
        Self {
            platform,
            addresses,
            clock: Clock::system(),
        }
    }

    /// Returns the settings of the node in `row`.
    pub fn settings(&self, row: usize) -> NodeSettings {
        let own = &self.addresses[row];
        let others = self
            .addresses
            .iter()
            .filter(|peer| peer.node != own.node)
            .cloned()
            .collect();
        let identity = NodeIdentity::new(own.node.as_str(), "zone-1");
        NodeSettings::new(identity, self.platform.address())
            .with_peers(others)
            .with_clock(self.clock.clone())
    }

    /// Starts the node in `row`.
    pub async fn run(&self, row: usize) -> RunningNode {
        self.run_with(row, self.settings(row)).await
    }

    /// Starts the node in `row` with other settings.
    pub async fn run_with(&self, row: usize, settings: NodeSettings) -> RunningNode {
        let shutdown = Shutdown::new();
        let server = Server::bind(self.addresses[row].address)
            .await
            .expect("the reserved port");
        let (node, duties) = Node::start(settings, &shutdown);
        let peer = node.clone();
        tokio::spawn(server.serve(shutdown.clone(), move |request| {
            let peer = peer.clone();
            async move { peer.handle_peer(request).await }
        }));
        RunningNode {
            node,
            shutdown,
            _duties: duties,
        }
    }
}

/// Waits until `holds`, and fails the test when it takes too long.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    wait_for(what, || {
        let holds = holds();
        async move { holds }
    })
    .await;
}

/// Waits until the future of `look` tells so, and fails the test when it takes too long.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, look: impl Fn() -> F) {
    let until = Instant::now() + LIMIT;
    while !look().await {
        assert!(Instant::now() < until, "did not come: {what}");
        tokio::time::sleep(LOOK).await;
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
