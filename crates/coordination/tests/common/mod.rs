//! A platform and nodes with their peer listeners in one process.

// Each test file uses a part of this.
#![allow(dead_code)]

use {
    lynxwheel_coordination::{
        BackgroundThreads, Clock, Node, NodeIdentity, NodeSettings, PeerAddress,
    },
    lynxwheel_protocol::PeerHello,
    lynxwheel_standin::PlatformServer,
    lynxwheel_transport::{Client, Server, Shutdown},
    std::{
        future::Future,
        net::SocketAddr,
        process,
        sync::atomic::{AtomicU16, Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::Instant,
    },
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
    _threads: BackgroundThreads,
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
        Self {
            platform,
            addresses: free_addresses(count),
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

    /// Starts the node in `row` so that it can be cut from the platform.
    pub async fn run_behind_relay(&self, row: usize) -> (RunningNode, Relay) {
        let (relay, address) = Relay::start(self.platform.address()).await;
        let mut settings = self.settings(row);
        settings.platform = address;
        (self.run_with(row, settings).await, relay)
    }

    /// Sends a message to the node in `row` as a peer would.
    pub async fn tell(&self, row: usize, hello: &PeerHello) {
        let client = Client::new(self.addresses[row].address, 1);
        client
            .exchange::<_, PeerHello>("/peer/hello", hello, LIMIT)
            .await
            .expect("the node answers");
    }

    /// Starts the node in `row` with other settings.
    pub async fn run_with(&self, row: usize, settings: NodeSettings) -> RunningNode {
        let shutdown = Shutdown::new();
        let server = bind(self.addresses[row].address).await;
        let (node, threads) = Node::start(settings, &shutdown);
        let peer = node.clone();
        tokio::spawn(server.serve(shutdown.clone(), move |request| {
            let peer = peer.clone();
            async move { peer.handle_peer_request(request).await }
        }));
        RunningNode {
            node,
            shutdown,
            _threads: threads,
        }
    }
}

/// Binds an address, which the node before may not have left yet.
async fn bind(address: SocketAddr) -> Server {
    let until = Instant::now() + LIMIT;
    loop {
        match Server::bind(address).await {
            Ok(server) => return server,
            Err(error) => assert!(Instant::now() < until, "{address}: {error}"),
        }
        tokio::time::sleep(LOOK).await;
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

/// Finds a free address for each node.
pub fn free_addresses(count: u32) -> Vec<PeerAddress> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| std::net::TcpListener::bind(own_address()).expect("a free port"))
        .collect();
    (1..)
        .zip(&listeners)
        .map(|(number, listener)| PeerAddress {
            node: format!("node-{number}").as_str().into(),
            address: listener.local_addr().expect("a bound port"),
        })
        .collect()
}

/// Passes connections on to an address until it is cut.
pub struct Relay {
    is_cut: watch::Sender<bool>,
}

impl Relay {
    /// Breaks all connections and refuses new ones.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Passes connections on again.
    pub fn mend(&self) {
        self.is_cut.send_replace(false);
    }

    async fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let is_cut = watch::Sender::new(false);
        let cut = is_cut.clone();
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                if !*cut.borrow() {
                    tokio::spawn(pass(from, target, cut.subscribe()));
                }
            }
        });
        (Self { is_cut }, address)
    }
}

async fn pass(mut from: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        copied = tokio::io::copy_bidirectional(&mut from, &mut to) => drop(copied),
        waited = cut.wait_for(|is_cut| *is_cut) => drop(waited),
    }
}

/// Returns a loopback address that no other test of this process uses, with any port.
///
/// A port that was free a moment ago on a shared address is soon taken by another test.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(process::id() % 250).unwrap_or(0) + 1;
    SocketAddr::from(([127, process, high, low], 0))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
