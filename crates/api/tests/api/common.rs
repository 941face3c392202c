//! Nodes with their APIs and a stand-in platform, all in the test process.

use {
    http::Method,
    lynxwheel_api::{AccessControl, Api},
    lynxwheel_coordination::{BackgroundThreads, Node, NodeIdentity, NodeSettings},
    lynxwheel_protocol::Kind,
    lynxwheel_standin::{Faults, PlatformServer, VmTemplate},
    lynxwheel_transport::{Client, ClientRequest, ClientResponse, Server, ServerLimits, Shutdown},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Timeout of every wait, far above the usual duration.
pub const LIMIT: Duration = Duration::from_mins(1);

/// Time after which the outcome of a proposal is unknown, in milliseconds.
pub const PROPOSE_TIMEOUT_MS: u64 = 1_000;

/// Write timeout of the server in milliseconds; short, since a test waits for it.
const WRITE_STALL_MS: u64 = 2_000;

pub struct TestNode {
    pub node: Node,
    pub client: Client,
    pub stop: Shutdown,
    pub server: JoinHandle<()>,
    _threads: BackgroundThreads,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.stop.begin();
    }
}

pub async fn platform(vms: u32) -> PlatformServer {
    let templates: Vec<VmTemplate> = (0..vms).map(VmTemplate::numbered).collect();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    PlatformServer::start(address, &templates, 100)
        .await
        .expect("start the platform")
}

pub fn set_faults(platform: &PlatformServer, faults: Faults) {
    platform.with_platform(|platform| platform.faults = faults);
}

pub async fn start_node(platform: &PlatformServer, name: &str, access: AccessControl) -> TestNode {
    let mut settings = NodeSettings::new(NodeIdentity::new(name, "zone-1"), platform.address());
    settings.propose_timeout_ms = PROPOSE_TIMEOUT_MS;
    settings.poll_interval_ms = 50;
    let stop = Shutdown::new();
    let (node, threads) = Node::start(settings, &stop);
    let api = Api::start(node.clone(), access, stop.clone());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(address).await.expect("bind");
    let server = server.with_limits(ServerLimits {
        write_stall_timeout_ms: WRITE_STALL_MS,
        ..ServerLimits::default()
    });
    let address = server.local_addr().expect("address");
    let handler = move |request| api.clone().handle(request);
    let server = tokio::spawn(server.serve(stop.clone(), handler));
    let test_node = TestNode {
        client: Client::new(address, 64),
        node,
        stop,
        server,
        _threads: threads,
    };
    let node = test_node.node.clone();
    wait_until("the node is current", || {
        node.is_current() && node.state().writers().get(node.incarnation()).is_some()
    })
    .await;
    test_node
}

pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub fn json(response: &ClientResponse) -> Value {
    serde_json::from_slice(&response.body).expect("JSON")
}

/// Formats status and body for snapshots.
pub fn format_response(response: &ClientResponse) -> String {
    let body = serde_json::to_string_pretty(&json(response)).expect("JSON");
    format!("{}\n{body}", response.status.as_u16())
}

pub fn pool(size: u32, min_available: u32) -> Value {
    json!({ "kind": "pool", "spec": { "size": size,
        "budget": { "min_available": { "count": min_available } } } })
}

pub fn vm(pool: &str) -> Value {
    json!({ "kind": "vm", "spec": { "pool": pool } })
}

impl TestNode {
    pub async fn call(&self, request: &ClientRequest) -> ClientResponse {
        self.client.call(request, LIMIT).await.expect("a response")
    }

    pub async fn get(&self, path: &str) -> ClientResponse {
        self.call(&ClientRequest::new(Method::GET, path)).await
    }

    pub async fn put(&self, path: &str, document: &Value) -> ClientResponse {
        self.call(&put(path, document)).await
    }

    pub async fn delete(&self, path: &str) -> ClientResponse {
        self.call(&ClientRequest::new(Method::DELETE, path)).await
    }

    /// Declares a resource and asserts that it is accepted; returns its revision.
    pub async fn declare(&self, kind: Kind, name: &str, document: &Value) -> u64 {
        let response = self.put(&format!("/v1/{kind}/{name}"), document).await;
        assert_eq!(
            response.status,
            200,
            "{kind}/{name}: {}",
            format_response(&response)
        );
        json(&response)["revision"].as_u64().expect("revision")
    }
}

pub fn put(path: &str, document: &Value) -> ClientRequest {
    let body = serde_json::to_vec(document).expect("JSON");
    ClientRequest::new(Method::PUT, path).with_body(body)
}
