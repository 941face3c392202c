//! An in-process fleet of a stand-in platform and nodes with gateways.

#![allow(dead_code, reason = "each test file uses only some items")]

use {
    http::{Method, Request, Response, StatusCode},
    lynxwheel_coordination::{BackgroundThreads, Node, NodeIdentity, NodeSettings, PeerAddress},
    lynxwheel_decisions::{RoutePolicy, least_loaded_in_share},
    lynxwheel_gateway::{
        Gateway, IDEMPOTENCY_KEY_HEADER, PEER_ANSWER_PATH, PEER_RUN_PATH, REQUEST_ID_HEADER,
    },
    lynxwheel_protocol::{
        Amount, Budget, PoolSpec, RecordBody, Resource, ServiceSpec, VmPhase, VmSpec,
    },
    lynxwheel_standin::{PlatformServer, RunEntry, VmTemplate},
    lynxwheel_transport::{
        Body, Client, ClientRequest, ClientResponse, RequestBody, Server, Shutdown, TransportError,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    tokio::runtime::{Builder, Runtime},
};

/// Timeout of every wait in the tests.
pub const TIMEOUT: Duration = Duration::from_mins(1);

/// First port of nodes' peer listeners, and their number, below the ephemeral port range.
const FIRST_PEER_PORT: u16 = 10_000;
const PEER_PORT_COUNT: u32 = 20_000;

/// Distance between the first ports of test processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 101;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Name of the service and of its pool.
pub const SERVICE: &str = "renewals";

/// Options of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    pub nodes: usize,
    pub vms: u32,
    pub propose_timeout_ms: u64,
    pub deadline_ms: u64,
    pub team_rate_per_s: u32,
    pub slots: u32,
    pub policy: RoutePolicy,
}

impl FleetOptions {
    /// Returns options for one node with one endpoint that has one slot.
    pub fn one_slot() -> Self {
        Self {
            nodes: 1,
            vms: 1,
            slots: 1,
            ..Self::default()
        }
    }
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            nodes: 2,
            vms: 3,
            propose_timeout_ms: 3_000,
            deadline_ms: 10_000,
            team_rate_per_s: 0,
            slots: 8,
            policy: least_loaded_in_share,
        }
    }
}

/// A node on a separate runtime, so that it can be killed.
pub struct TestNode {
    pub node: Node,
    pub gateway: Gateway,
    pub callers: Client,
    shutdown: Shutdown,
    runtime: Option<Runtime>,
    _threads: BackgroundThreads,
}

impl TestNode {
    fn start(settings: NodeSettings, peer_address: SocketAddr, policy: RoutePolicy) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime");
        let shutdown = Shutdown::new();
        let (node, threads) = {
            let _entered = runtime.enter();
            Node::start(settings, &shutdown)
        };
        let gateway = Gateway::with_policy(node.clone(), policy);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let callers = runtime.block_on(Server::bind(any_port)).expect("bind");
        let peers = runtime.block_on(Server::bind(peer_address)).expect("bind");
        let address = callers.local_addr().expect("address");
        let handler = gateway.clone();
        runtime.spawn(callers.serve(shutdown.clone(), move |request| {
            handler.clone().handle(request)
        }));
        let handler = gateway.clone();
        let handler_node = node.clone();
        runtime.spawn(peers.serve(shutdown.clone(), move |request| {
            serve_peer(handler_node.clone(), handler.clone(), request)
        }));
        Self {
            node,
            gateway,
            callers: Client::new(address, 1_024),
            shutdown,
            runtime: Some(runtime),
            _threads: threads,
        }
    }

    /// Sends a request as a caller.
    pub async fn call(&self, request: &ClientRequest) -> Result<ClientResponse, TransportError> {
        self.callers.call(request, TIMEOUT).await
    }

    /// Stops the node's tasks without waiting for them.
    pub fn kill(&mut self) {
        self.shutdown.begin();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn serve_peer(node: Node, gateway: Gateway, request: Request<RequestBody>) -> Response<Body> {
    match request.uri().path() {
        PEER_ANSWER_PATH => gateway.handle_peer_answer(request).await,
        path if path.starts_with(PEER_RUN_PATH) => gateway.handle_peer_run(request).await,
        _ => node.handle_peer_request(request).await,
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A stand-in platform and nodes, with one declared service.
pub struct Fleet {
    pub platform: PlatformServer,
    pub nodes: Vec<TestNode>,
    settings: Vec<NodeSettings>,
    peer_addresses: Vec<SocketAddr>,
    policy: RoutePolicy,
}

impl Fleet {
    /// Starts a fleet and waits until every node sees all VMs as live.
    pub async fn start(options: FleetOptions) -> Self {
        let templates: Vec<VmTemplate> = (0..options.vms).map(VmTemplate::numbered).collect();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port, &templates, 100)
            .await
            .expect("platform");
        let peer_addresses = free_addresses(options.nodes);
        let settings: Vec<NodeSettings> = (0..options.nodes)
            .map(|own| node_settings(own, &peer_addresses, platform.address(), &options))
            .collect();
        let nodes = start_nodes(settings.clone(), peer_addresses.clone(), options.policy).await;
        let fleet = Self {
            platform,
            nodes,
            settings,
            peer_addresses,
            policy: options.policy,
        };
        fleet.declare(&options).await;
        fleet
    }

    /// Restarts a killed node.
    pub async fn restart(&mut self, index: usize) {
        let settings = vec![self.settings[index].clone()];
        let addresses = vec![self.peer_addresses[index]];
        let node = start_nodes(settings, addresses, self.policy)
            .await
            .remove(0);
        let incarnation = node.node.incarnation();
        self.nodes[index] = node;
        for other in &self.nodes {
            wait_until("the new incarnation is known", || {
                other.node.state().writers().get(incarnation).is_some()
            })
            .await;
        }
    }

    /// Returns the runs of requests with `key` on all endpoints.
    pub fn runs(&self, key: &str) -> Vec<RunEntry> {
        let runs = self.platform.runs();
        runs.into_iter().filter(|run| run.key == key).collect()
    }

    async fn declare(&self, options: &FleetOptions) {
        let node = &self.nodes[0].node;
        let mut resources = vec![
            Resource::Pool(PoolSpec {
                name: SERVICE.into(),
                size: options.vms,
                budget: Budget {
                    min_available: Amount::Count(0),
                    zones_at_once: 3,
                },
            }),
            Resource::Service(ServiceSpec {
                name: SERVICE.into(),
                pool: SERVICE.into(),
                slots_per_endpoint: options.slots,
                connections_per_endpoint: 64,
                deadline_ms: options.deadline_ms,
                team_rate_per_s: options.team_rate_per_s,
            }),
        ];
        resources.extend((0..options.vms).map(|vm| {
            Resource::Vm(VmSpec {
                name: format!("vm-{vm}").into(),
                pool: SERVICE.into(),
            })
        }));
        for resource in resources {
            let body = RecordBody::Put {
                resource: Box::new(resource),
                if_revision: None,
            };
            wait_accepted(node, body).await;
        }
        for node in &self.nodes {
            wait_until("all VMs are live", || {
                let state = node.node.state();
                let live = state.vms().iter().filter(|vm| vm.phase == VmPhase::Live);
                live.count() == options.vms as usize
            })
            .await;
        }
    }
}

async fn wait_accepted(node: &Node, body: RecordBody) {
    let deadline = Instant::now() + TIMEOUT;
    while !node.proposer().propose_and_confirm(body.clone()).await {
        assert!(Instant::now() < deadline, "no record is accepted");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_nodes(
    settings: Vec<NodeSettings>,
    addresses: Vec<SocketAddr>,
    policy: RoutePolicy,
) -> Vec<TestNode> {
    // A runtime cannot be created or blocked on within another one.
    tokio::task::spawn_blocking(move || {
        settings
            .into_iter()
            .zip(addresses)
            .map(|(settings, address)| TestNode::start(settings, address, policy))
            .collect()
    })
    .await
    .expect("nodes")
}

fn node_settings(
    own: usize,
    peer_addresses: &[SocketAddr],
    platform: SocketAddr,
    options: &FleetOptions,
) -> NodeSettings {
    let name = |index: usize| format!("node-{index}");
    let peers = peer_addresses
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != own)
        .map(|(index, address)| PeerAddress {
            node: name(index).as_str().into(),
            address: *address,
        })
        .collect();
    let zone = format!("zone-{}", own % 3 + 1);
    let identity = NodeIdentity::new(&name(own), &zone);
    let mut settings = NodeSettings::new(identity, platform).with_peers(peers);
    settings.propose_timeout_ms = options.propose_timeout_ms;
    settings.poll_interval_ms = 50;
    settings
}

/// Returns a loopback address that is specific to this process, so that its ports are not shared.
fn process_loopback_ip() -> [u8; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, high | 1, low, 1]
}

/// Returns free addresses with ports below the ephemeral range.
///
/// Peers must know a node's port before it listens; an ephemeral port could be assigned to another
/// socket in the meantime.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let candidates = std::iter::repeat_with(|| {
        let number =
            NEXT_PORT.fetch_add(1, Ordering::Relaxed) + std::process::id() * PORTS_PER_PROCESS;
        let port = FIRST_PEER_PORT
            + u16::try_from(number % PEER_PORT_COUNT).expect("below the range's length");
        SocketAddr::from((process_loopback_ip(), port))
    });
    candidates
        .filter(|address| std::net::TcpListener::bind(address).is_ok())
        .take(count)
        .collect()
}

/// Waits until `condition` is true; panics after [`TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a non-idempotent request with a key.
pub fn renewal(key: &str, query: &str) -> ClientRequest {
    ClientRequest::new(Method::POST, format!("/{SERVICE}/renew?{query}"))
        .with_header(IDEMPOTENCY_KEY_HEADER, key)
        .with_header(REQUEST_ID_HEADER, key)
}

/// Checks that a response is complete and belongs to the request with this id.
pub fn assert_response_of(response: &ClientResponse, id: &str) {
    let text = String::from_utf8_lossy(&response.body);
    assert_eq!(response.status, StatusCode::OK, "{text}");
    assert!(text.starts_with(&format!("request={id} ")), "{text}");
}
