//! Test harness: a platform stand-in and nodes with peer listeners in one process.

// Each test file uses only a part of the harness.
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

/// Timeout of any wait.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running node and its shutdown signal.
pub struct RunningNode {
    /// Handle to the node.
    pub node: Node,
    /// Signal that stops the node.
    pub shutdown: Shutdown,
    _threads: BackgroundThreads,
}

/// A platform stand-in and the addresses of its nodes.
pub struct Fleet {
    /// Platform stand-in.
    pub platform: PlatformServer,
    /// Peer listener address of every node, sorted by name.
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

    /// Returns the settings of the node at `index`.
    pub fn settings(&self, index: usize) -> NodeSettings {
        let own = &self.addresses[index];
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

    /// Starts the node at `index`.
    pub async fn start_node(&self, index: usize) -> RunningNode {
        self.start_node_with(index, self.settings(index)).await
    }

    /// Starts the node at `index` behind a proxy that can disconnect it from the platform.
    pub async fn start_node_behind_proxy(&self, index: usize) -> (RunningNode, Proxy) {
        let (proxy, address) = Proxy::start(self.platform.address()).await;
        let mut settings = self.settings(index);
        settings.platform = address;
        (self.start_node_with(index, settings).await, proxy)
    }

    /// Sends a hello to the node at `index` as a peer would.
    pub async fn send_hello(&self, index: usize, hello: &PeerHello) {
        let client = Client::new(self.addresses[index].address, 1);
        client
            .post_message::<_, PeerHello>("/peer/hello", hello, TIMEOUT)
            .await
            .expect("the node answers");
    }

    /// Starts the node at `index` with the given settings.
    pub async fn start_node_with(&self, index: usize, settings: NodeSettings) -> RunningNode {
        let shutdown = Shutdown::new();
        let server = bind(self.addresses[index].address).await;
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

/// Binds an address, retrying while a previous node still holds it.
async fn bind(address: SocketAddr) -> Server {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match Server::bind(address).await {
            Ok(server) => return server,
            Err(error) => assert!(Instant::now() < deadline, "{address}: {error}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the condition holds; panics after [`TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    wait_for(what, || {
        let condition = condition();
        async move { condition }
    })
    .await;
}

/// Waits until the future returned by `check` resolves to `true`; panics after [`TIMEOUT`].
pub async fn wait_for<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let deadline = Instant::now() + TIMEOUT;
    while !check().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns a free address for each node.
pub fn free_addresses(count: u32) -> Vec<PeerAddress> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| std::net::TcpListener::bind(unique_loopback_address()).expect("a free port"))
        .collect();
    (1..)
        .zip(&listeners)
        .map(|(number, listener)| PeerAddress {
            node: format!("node-{number}").as_str().into(),
            address: listener.local_addr().expect("a bound port"),
        })
        .collect()
}

/// Forwards connections to an address until it is disconnected.
pub struct Proxy {
    is_disconnected: watch::Sender<bool>,
}

impl Proxy {
    /// Closes all connections and refuses new ones.
    pub fn disconnect(&self) {
        self.is_disconnected.send_replace(true);
    }

    /// Accepts connections again.
    pub fn reconnect(&self) {
        self.is_disconnected.send_replace(false);
    }

    async fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let is_disconnected = watch::Sender::new(false);
        let sender = is_disconnected.clone();
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                if !*sender.borrow() {
                    tokio::spawn(forward(from, target, sender.subscribe()));
                }
            }
        });
        (Self { is_disconnected }, address)
    }
}

async fn forward(mut from: TcpStream, target: SocketAddr, mut state: watch::Receiver<bool>) {
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        copied = tokio::io::copy_bidirectional(&mut from, &mut to) => drop(copied),
        waited = state.wait_for(|is_disconnected| *is_disconnected) => drop(waited),
    }
}

/// Returns a loopback address with port 0 that no other test uses.
///
/// On a shared address, another test could take a port between its choice and its use.
fn unique_loopback_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(process::id() % 250).unwrap_or(0) + 1;
    SocketAddr::from(([127, process, high, low], 0))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
