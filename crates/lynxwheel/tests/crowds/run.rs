//! Crowds at the listeners of `lynxwheel run`.

use {
    crate::{
        common::{TestNode, TestPlatform, WAIT_TIMEOUT, declare_maps, free_ports, start_node},
        crowd::{Crowd, UnfinishedRequest},
        footprint::{Sampler, unread_bytes},
        run_alone,
    },
    http::{Method, StatusCode},
    lynxwheel_transport::ClientRequest,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Memory of a node by default, in bytes.
const MAX_MEMORY_BYTES: u64 = 256 * 1_024 * 1_024;

/// Sockets of a node with the default limits.
const MAX_SOCKETS: usize = 1_024;

/// Pause before an ordinary caller sends a refused request again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const VMS: u32 = 2;
const CHARGE: &str = "POST /maps/charge HTTP/1.1\r\nhost: localhost\r\nidempotency-key: crowd\r\n";
const DECLARE: &str = "PUT /v1/pool/maps HTTP/1.1\r\nhost: localhost\r\n";
const HELLO: &str = "POST /peer/hello HTTP/1.1\r\nhost: localhost\r\n";

/// Node with its platform.
struct Fleet {
    node: TestNode,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    _platform: TestPlatform,
}

impl Fleet {
    async fn start(name: &str) -> Self {
        let platform = TestPlatform::start(VMS);
        let ports = free_ports(3);
        let node = start_node(platform.client.peer(), &ports, 0, name);
        declare_maps(&node, VMS, 1).await;
        node.wait_ready("vm/vm-0").await;
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node,
            callers: address(ports[0]),
            operators: address(ports[1]),
            peers: address(ports[2]),
            _platform: platform,
        }
    }

    /// Sends an ordinary request until it is answered.
    async fn call(&self) {
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=3");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.node.call(&request).await;
            if response
                .as_ref()
                .is_ok_and(|it| it.status == StatusCode::OK)
            {
                return;
            }
            assert!(Instant::now() < deadline, "not answered: {response:?}");
            sleep(RETRY_DELAY).await;
        }
    }

    /// Asserts that the node bears a crowd and serves an ordinary caller beside it.
    async fn assert_bears(
        &mut self,
        address: SocketAddr,
        size: usize,
        request: &UnfinishedRequest,
    ) {
        let listeners = vec![self.callers, self.operators, self.peers];
        let sampler = Sampler::start(self.node.process.id(), listeners.clone());
        let mut crowd = Crowd::start(address, size, request);
        crowd.settle(|| unread_bytes(&listeners)).await;
        assert!(!self.node.process.has_ended(), "the node has ended");
        self.call().await;
        self.node.wait_until_ready().await;
        let peak = sampler.stop();
        assert!(!self.node.process.has_ended(), "the node has ended");
        println!("{peak:?}");
        assert!(peak.memory_bytes <= MAX_MEMORY_BYTES, "memory: {peak:?}");
        assert!(peak.sockets <= MAX_SOCKETS, "descriptors: {peak:?}");
        drop(crowd);
    }
}

macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident: $listener:ident, $size:literal, $request:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_alone(async {
                let mut fleet = Fleet::start(stringify!($name)).await;
                fleet.assert_bears(fleet.$listener, $size, &$request).await;
            });
        })*
    };
}

crowds! {
    /// Guards against unfinished keyed bodies, which are read whole, that exhaust the memory of the
    /// node.
    keyed_bodies: callers, 400, UnfinishedRequest::with_length(CHARGE, 1_048_576);

    /// Guards against declarations in small chunks that exhaust the memory of the node.
    declarations_in_small_chunks: operators, 400,
        UnfinishedRequest::with_chunks(DECLARE, 49_000, 1);

    /// Guards against messages of peers in small chunks that exhaust the memory of the node.
    hellos_in_small_chunks: peers, 700, UnfinishedRequest::with_chunks(HELLO, 16_000, 1);
}
