//! Test fixture that runs a platform and nodes as processes on loopback.

#![allow(dead_code, reason = "no test binary uses every item")]

use {
    http::{Method, StatusCode},
    lynxwheel_protocol::{Amount, Budget, PoolSpec, Resource, ServiceSpec, VmSpec},
    lynxwheel_transport::{Client, ClientRequest, ClientResponse, TransportError},
    serde_json::Value,
    std::{
        env, fs,
        io::{BufRead, BufReader, Write},
        net::{SocketAddr, TcpStream},
        ops::Range,
        path::PathBuf,
        process::{self, Child, Command, Stdio},
        sync::{
            atomic::{AtomicU32, Ordering},
            mpsc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time limit for each condition that is waited for.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A `lynxwheel` process that is killed on drop.
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts `lynxwheel` and returns the process with the lines of its standard output.
    fn start(arguments: &[&str]) -> (Self, mpsc::Receiver<String>) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lynxwheel"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start lynxwheel");
        let stdout = child.stdout.take().expect("piped standard output");
        let (sender, lines) = mpsc::channel();
        let path = create_directory("logs").join(format!("{}.log", child.id()));
        // The test harness shows this line when a test fails.
        println!("{} writes to {}", arguments.join(" "), path.display());
        let mut log = fs::File::create(path).expect("make a log file");
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                writeln!(log, "{line}").expect("write the log");
                // Lines are read even without a receiver, so that the process never blocks.
                drop(sender.send(line));
            }
        });
        (Self { child }, lines)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("run kill");
        assert!(status.success(), "kill -{name}");
    }

    /// Returns whether the process has exited.
    ///
    /// # Panics
    ///
    /// Panics when its exit code is not zero.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait().expect("wait for lynxwheel");
        status.is_some_and(|status| {
            assert!(status.success(), "lynxwheel failed: {status}");
            true
        })
    }

    /// Waits until the process exits and returns whether its exit code is zero.
    pub fn wait(mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait for lynxwheel") {
                return status.success();
            }
            assert!(Instant::now() < deadline, "lynxwheel did not end");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A node's process and clients of its listeners.
pub struct TestNode {
    pub process: TestProcess,
    pub callers: Client,
    pub operators: Client,
}

/// A platform's process and a client of it.
pub struct TestPlatform {
    _process: TestProcess,
    pub client: Client,
}

impl TestPlatform {
    pub fn start(vms: u32) -> Self {
        let vms = vms.to_string();
        let (process, lines) =
            TestProcess::start(&["dev", "platform", "--listen", "127.0.0.1:0", "--vms", &vms]);
        let line = lines
            .recv_timeout(WAIT_TIMEOUT)
            .expect("platform's address");
        let address = line
            .trim_start_matches("platform http://")
            .parse()
            .expect("address");
        Self {
            _process: process,
            client: Client::new(address, 16),
        }
    }
}

/// Interval at which nodes poll VMs and jobs, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Distance between the first ports of test processes with adjacent ids.
const PORTS_PER_PROCESS: u32 = 211;

/// Ports for listeners, below the ephemeral range: an outgoing connection could take an ephemeral
/// port before the node starts.
const LISTENER_PORTS: Range<u16> = 10_000..30_000;

/// Returns `count` free ports that no other test in this process uses.
pub fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut ports = Vec::new();
    while ports.len() < count {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let index = first.wrapping_add(step) % u32::from(LISTENER_PORTS.end - LISTENER_PORTS.start);
        let port = LISTENER_PORTS.start + u16::try_from(index).expect("within the range");
        if is_free(port) {
            ports.push(port);
        }
    }
    ports
}

/// Returns whether no process listens on a port.
///
/// Binding the port instead would be racy: a process that another test forks inherits the listener
/// until it calls exec, and the node would find the port in use.
fn is_free(port: u16) -> bool {
    TcpStream::connect(("127.0.0.1", port)).is_err()
}

/// Starts `count` nodes that are peers of each other.
pub fn start_nodes(platform: SocketAddr, count: usize, directory: &str) -> Vec<TestNode> {
    let ports = free_ports(count * 3);
    (0..count)
        .map(|number| start_node(platform, &ports, number, directory))
        .collect()
}

/// Starts node `number` of a fleet; `ports` holds three ports for each node.
pub fn start_node(platform: SocketAddr, ports: &[u16], number: usize, directory: &str) -> TestNode {
    start_node_polling(platform, ports, number, directory, POLL_INTERVAL_MS)
}

/// Starts node `number`, which polls VMs and jobs every `poll_interval_ms`.
pub fn start_node_polling(
    platform: SocketAddr,
    ports: &[u16],
    number: usize,
    directory: &str,
    poll_interval_ms: u64,
) -> TestNode {
    let peers: Vec<SocketAddr> = ports
        .chunks(3)
        .map(|ports| SocketAddr::from(([127, 0, 0, 1], ports[2])))
        .collect();
    start_node_with(platform, ports, &peers, number, directory, poll_interval_ms)
}

/// Starts node `number` that reaches the others at `peers`.
pub fn start_node_with_peers(
    platform: SocketAddr,
    ports: &[u16],
    peers: &[SocketAddr],
    number: usize,
    directory: &str,
) -> TestNode {
    start_node_with(platform, ports, peers, number, directory, POLL_INTERVAL_MS)
}

fn start_node_with(
    platform: SocketAddr,
    ports: &[u16],
    peers: &[SocketAddr],
    number: usize,
    directory: &str,
    poll_interval_ms: u64,
) -> TestNode {
    let node_ports = &ports[number * 3..number * 3 + 3];
    let zone = number % 3 + 1;
    let mut settings = format!(
        "[node]\nname = node-{number}\nzone = zone-{zone}\n[listen]\ncallers = 127.0.0.1:{}\n\
         operators = 127.0.0.1:{}\npeers = 127.0.0.1:{}\n[platform]\naddress = {platform}\n\
         [timing]\ntick_ms = {poll_interval_ms}\nrank_delay_ms = 100\ndrain_ms = 1000\n[peers]\n",
        node_ports[0], node_ports[1], node_ports[2]
    );
    let peers: Vec<String> = (0..)
        .zip(peers)
        .filter(|(other, _)| *other != number)
        .map(|(other, peer)| format!("node-{other} = {peer}"))
        .collect();
    settings += &peers.join("\n");
    // The process id keeps concurrent test runs from overwriting each other's settings.
    let directory = format!("{directory}-{}", process::id());
    let path = create_directory(&directory).join(format!("node-{number}.ini"));
    fs::write(&path, settings).expect("write settings");
    let (process, lines) =
        TestProcess::start(&["run", "--settings", path.to_str().expect("path in UTF-8")]);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !lines
        .recv_timeout(deadline - Instant::now())
        .expect("start")
        .contains("\"started\"")
    {}
    let client = |port| Client::new(SocketAddr::from(([127, 0, 0, 1], port)), 64);
    TestNode {
        process,
        callers: client(node_ports[0]),
        operators: client(node_ports[1]),
    }
}

/// Creates a directory for the files of a test.
pub fn create_directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).expect("make a directory");
    directory
}

impl TestNode {
    /// Waits until the node reports that it is ready.
    pub async fn wait_until_ready(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.callers.get("/readyz", CALL_TIMEOUT).await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < deadline, "the node is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Declares a resource.
    pub async fn declare(&self, resource: &Resource) {
        let path = format!("/v1/{}/{}", resource.kind(), resource.name());
        let body = serde_json::to_vec(resource).expect("encode");
        let request = ClientRequest::new(Method::PUT, path).with_body(body);
        let response = self
            .operators
            .call(&request, CALL_TIMEOUT)
            .await
            .expect("response");
        let text = String::from_utf8_lossy(&response.body);
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{}: {text}",
            resource.reference()
        );
    }

    /// Returns a resource with its status.
    pub async fn get(&self, reference: &str) -> Value {
        let path = format!("/v1/{reference}");
        let response = self
            .operators
            .get(&path, CALL_TIMEOUT)
            .await
            .expect("response");
        serde_json::from_slice(&response.body).expect("JSON")
    }

    /// Sends a request as a caller.
    pub async fn call(&self, request: &ClientRequest) -> Result<ClientResponse, TransportError> {
        self.callers.call(request, CALL_TIMEOUT).await
    }

    /// Waits until the first condition of a resource holds.
    pub async fn wait_ready(&self, reference: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let view = self.get(reference).await;
            if view["conditions"][0]["holds"] == Value::Bool(true) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{reference} is not ready: {view}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Declares the pool and the service `maps` with `vms` VMs, of which `floor` must be available.
pub async fn declare_maps(node: &TestNode, vms: u32, floor: u32) {
    node.wait_until_ready().await;
    node.declare(&Resource::Pool(PoolSpec {
        name: "maps".into(),
        size: vms,
        budget: Budget {
            min_available: Amount::Count(floor),
            zones_at_once: 1,
        },
    }))
    .await;
    node.declare(&Resource::Service(ServiceSpec {
        name: "maps".into(),
        pool: "maps".into(),
        slots_per_endpoint: 8,
        connections_per_endpoint: 64,
        deadline_ms: 10_000,
        team_rate_per_s: 0,
    }))
    .await;
    for vm in 0..vms {
        let spec = VmSpec {
            name: format!("vm-{vm}").into(),
            pool: "maps".into(),
        };
        node.declare(&Resource::Vm(spec)).await;
    }
}
