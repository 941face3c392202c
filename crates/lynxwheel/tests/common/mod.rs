//! Processes of a small fleet for tests: a platform and nodes on loopback.

#![allow(dead_code, reason = "each test binary uses a part")]

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

/// Time within which anything waited for must happen; far above what it takes.
pub const LIMIT: Duration = Duration::from_mins(1);

/// Time that one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// A process that is ended with its handle.
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts `lynxwheel` and returns it with the lines of its standard output.
    fn start(arguments: &[&str]) -> (Self, mpsc::Receiver<String>) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lynxwheel"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start lynxwheel");
        let stdout = child.stdout.take().expect("piped standard output");
        let (sender, lines) = mpsc::channel();
        let path = scratch("logs").join(format!("{}.log", child.id()));
        // Shown with a test that fails.
        println!("{} writes to {}", arguments.join(" "), path.display());
        let mut log = fs::File::create(path).expect("make a log file");
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                writeln!(log, "{line}").expect("write the log");
                // The output is read to its end, so that the process never blocks on it.
                drop(sender.send(line));
            }
        });
        (Self { child }, lines)
    }

    /// Returns the process's id.
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

    /// Tells whether the process has ended by itself, and with success.
    ///
    /// # Panics
    ///
    /// Panics when it failed.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait().expect("wait for lynxwheel");
        status.is_some_and(|status| {
            assert!(status.success(), "lynxwheel failed: {status}");
            true
        })
    }

    /// Waits for the process's own end and tells whether it was a success.
    pub fn wait(mut self) -> bool {
        let until = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait for lynxwheel") {
                return status.success();
            }
            assert!(Instant::now() < until, "lynxwheel did not end");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A node's process and addresses.
pub struct TestNode {
    pub process: TestProcess,
    pub callers: Client,
    pub operators: Client,
}

/// A platform's process and address.
pub struct TestPlatform {
    _process: TestProcess,
    pub client: Client,
}

impl TestPlatform {
    pub fn start(vms: u32) -> Self {
        let vms = vms.to_string();
        let (process, lines) =
            TestProcess::start(&["dev", "platform", "--listen", "127.0.0.1:0", "--vms", &vms]);
        let line = lines.recv_timeout(LIMIT).expect("platform's address");
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

/// Pause between two looks at VMs and jobs, in milliseconds.
const TICK_MS: u64 = 50;

/// Ports by which the choices of two test processes are apart.
const PORTS_PER_PROCESS: u32 = 211;

/// Ports for listeners: below those that the system gives to outgoing connections, which would
/// otherwise take a port between its choice and the node's start.
const PORTS: Range<u16> = 10_000..30_000;

/// Returns `count` free ports that no other test of this process gets.
pub fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let spread = process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut ports = Vec::new();
    while ports.len() < count {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let index = spread.wrapping_add(step) % u32::from(PORTS.end - PORTS.start);
        let port = PORTS.start + u16::try_from(index).expect("within the range");
        if is_free(port) {
            ports.push(port);
        }
    }
    ports
}

/// Tells whether nobody listens on a port.
///
/// Asked by connecting: a listener of our own, closed again, would stay open in the processes that
/// other tests are just starting, until these run their program, and the node that gets the port
/// would find it taken.
fn is_free(port: u16) -> bool {
    TcpStream::connect(("127.0.0.1", port)).is_err()
}

/// Starts `count` nodes that know each other.
pub fn start_nodes(platform: SocketAddr, count: usize, directory: &str) -> Vec<TestNode> {
    let ports = free_ports(count * 3);
    (0..count)
        .map(|number| start_node(platform, &ports, number, directory))
        .collect()
}

/// Starts node `number` of those that share `ports`, three for each.
pub fn start_node(platform: SocketAddr, ports: &[u16], number: usize, directory: &str) -> TestNode {
    start_node_with_tick(platform, ports, number, directory, TICK_MS)
}

/// Starts node `number` with a pause of `tick_ms` between looks at VMs and jobs.
pub fn start_node_with_tick(
    platform: SocketAddr,
    ports: &[u16],
    number: usize,
    directory: &str,
    tick_ms: u64,
) -> TestNode {
    let peers: Vec<SocketAddr> = ports
        .chunks(3)
        .map(|own| SocketAddr::from(([127, 0, 0, 1], own[2])))
        .collect();
    start_node_with(platform, ports, &peers, number, directory, tick_ms)
}

/// Starts node `number` that reaches the others at `peers`.
pub fn start_node_with_peers(
    platform: SocketAddr,
    ports: &[u16],
    peers: &[SocketAddr],
    number: usize,
    directory: &str,
) -> TestNode {
    start_node_with(platform, ports, peers, number, directory, TICK_MS)
}

fn start_node_with(
    platform: SocketAddr,
    ports: &[u16],
    peers: &[SocketAddr],
    number: usize,
    directory: &str,
    tick_ms: u64,
) -> TestNode {
    let own = &ports[number * 3..number * 3 + 3];
    let zone = number % 3 + 1;
    let mut settings = format!(
        "[node]\nname = node-{number}\nzone = zone-{zone}\n[listen]\ncallers = 127.0.0.1:{}\n\
         operators = 127.0.0.1:{}\npeers = 127.0.0.1:{}\n[platform]\naddress = {platform}\n\
         [timing]\ntick_ms = {tick_ms}\nrank_delay_ms = 100\ndrain_ms = 1000\n[peers]\n",
        own[0], own[1], own[2]
    );
    let peers: Vec<String> = (0..)
        .zip(peers)
        .filter(|(other, _)| *other != number)
        .map(|(other, peer)| format!("node-{other} = {peer}"))
        .collect();
    settings += &peers.join("\n");
    // Two runs of the tests at the same time must not write each other's settings.
    let directory = format!("{directory}-{}", process::id());
    let path = scratch(&directory).join(format!("node-{number}.ini"));
    fs::write(&path, settings).expect("write settings");
    let (process, lines) =
        TestProcess::start(&["run", "--settings", path.to_str().expect("path in UTF-8")]);
    let until = Instant::now() + LIMIT;
    while !lines
        .recv_timeout(until - Instant::now())
        .expect("start")
        .contains("\"started\"")
    {}
    let client = |port| Client::new(SocketAddr::from(([127, 0, 0, 1], port)), 64);
    TestNode {
        process,
        callers: client(own[0]),
        operators: client(own[1]),
    }
}

/// Returns a directory for a test's files.
pub fn scratch(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).expect("make a directory");
    directory
}

impl TestNode {
    /// Waits until the node says that it is ready.
    pub async fn wait_until_ready(&self) {
        let until = Instant::now() + LIMIT;
        loop {
            let answer = self.callers.get("/readyz", CALL_LIMIT).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < until, "the node is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Declares a resource.
    pub async fn declare(&self, resource: &Resource) {
        let path = format!("/v1/{}/{}", resource.kind(), resource.name());
        let body = serde_json::to_vec(resource).expect("encode");
        let request = ClientRequest::new(Method::PUT, path).with_body(body);
        let answer = self
            .operators
            .call(&request, CALL_LIMIT)
            .await
            .expect("answer");
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!(
            answer.status,
            StatusCode::OK,
            "{}: {text}",
            resource.reference()
        );
    }

    /// Returns a resource with its status.
    pub async fn get(&self, reference: &str) -> Value {
        let path = format!("/v1/{reference}");
        let answer = self.operators.get(&path, CALL_LIMIT).await.expect("answer");
        serde_json::from_slice(&answer.body).expect("JSON")
    }

    /// Sends a caller's request.
    pub async fn call(&self, request: &ClientRequest) -> Result<ClientResponse, TransportError> {
        self.callers.call(request, CALL_LIMIT).await
    }

    /// Waits until the first condition of a resource holds.
    pub async fn wait_ready(&self, reference: &str) {
        let until = Instant::now() + LIMIT;
        loop {
            let view = self.get(reference).await;
            if view["conditions"][0]["holds"] == Value::Bool(true) {
                return;
            }
            assert!(Instant::now() < until, "{reference} is not ready: {view}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Declares pool and service `maps` with the VMs from vm-0 on.
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
