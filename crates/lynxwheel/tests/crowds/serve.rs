//! Crowds at the listeners of `lynxwheel serve`.

use {
    crate::{
        common::{WAIT_TIMEOUT, create_directory, free_ports},
        crowd::{Crowd, Pace, UnfinishedRequest},
        footprint::{Sampler, unread_bytes},
        run_alone,
    },
    http::{Method, StatusCode},
    lynxwheel_engine::{JobSpec, Resources, StepSpec},
    lynxwheel_platform_standin::{
        EndpointSpec, EndpointStandIn, NodeLimits, NodeSettings, Observer, QueueSpec, StoreFault,
        StoreStandIn, VmServiceStandIn, encode_job, put_config, timeout_header,
    },
    lynxwheel_soak::NodeProcess,
    lynxwheel_transport::{Client, ClientRequest},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
        slice,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Limits in the settings of the node.
const LIMITS: NodeLimits = NodeLimits {
    memory_mb: 64,
    max_descriptors: 4_100,
    body_stall_ms: 10_000,
};

/// Limits in the settings of a node that gives up bodies early.
const SHORT_STALL: NodeLimits = NodeLimits {
    body_stall_ms: 500,
    ..LIMITS
};

/// Limits in the settings of a node with less memory than others.
const LITTLE_MEMORY: NodeLimits = NodeLimits {
    memory_mb: 40,
    ..LIMITS
};

/// Limits in the settings of a node that takes jobs of the largest size.
const LARGE_JOBS: NodeLimits = NodeLimits {
    memory_mb: 160,
    ..LIMITS
};

/// Limits in the settings of a node with few descriptors.
const FEW_DESCRIPTORS: NodeLimits = NodeLimits {
    max_descriptors: 400,
    ..LIMITS
};

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// Largest body of a job, in bytes.
const MAX_JOB_BYTES: usize = 262_144;

/// Time for which an ordinary caller waits for a response, in milliseconds.
const CALLER_WAIT_MS: u64 = 20_000;

/// Pause before an ordinary caller sends a refused request again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const POOLS: [&str; 2] = ["alpha", "spare"];
const SUBMIT_JOB: &str = "POST /alpha/00000000000000aa HTTP/1.1\r\nhost: 127.0.0.1\r\n";
const ASK_OWNER: &str = "POST /owner HTTP/1.1\r\nhost: 127.0.0.1\r\n";

/// Node with stand-ins of the platform around it.
struct Fleet {
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    limits: NodeLimits,
    node: NodeProcess,
    store: StoreStandIn,
    _endpoint: EndpointStandIn,
}

impl Fleet {
    async fn start(name: &str, limits: NodeLimits) -> Self {
        let store = StoreStandIn::start().await.expect("start the store");
        let queue = QueueSpec {
            path_prefix: "/alpha/".into(),
            pool: POOLS[0].into(),
            max_attempts: 3,
        };
        put_config(&store, 1, &[queue], &POOLS, &[]);
        let spec = EndpointSpec {
            vm: "vm-0".into(),
            pool: POOLS[0].into(),
            cpu_millis: 6_000,
            keeps_id: false,
        };
        let observer: Observer = Arc::new(|_| {});
        let endpoint = EndpointStandIn::start(spec, store.clone(), Arc::clone(&observer))
            .await
            .expect("start the endpoint");
        endpoint.start_incarnation();
        let vms = VmServiceStandIn::start(slice::from_ref(&endpoint), observer)
            .await
            .expect("start the VM service");
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let ports = free_ports(3);
        let settings = NodeSettings {
            name: name.into(),
            ip,
            ports: (ports[0], ports[1], ports[2]),
            store: store.address(),
            vms: vms.address(),
            cpu_share: 1.0,
            config_apply_ms: 2_000,
            contact_ms: 3_000,
            limits,
        };
        let directory = create_directory("crowds");
        let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
        let node = NodeProcess::new(program, &directory, &settings).expect("write the settings");
        node.start().expect("start the node");
        let fleet = Self {
            callers: SocketAddr::new(ip, ports[0]),
            readiness: SocketAddr::new(ip, ports[1]),
            peers: SocketAddr::new(ip, ports[2]),
            limits,
            node,
            store,
            _endpoint: endpoint,
        };
        fleet.submit_job("feed000000000001").await;
        fleet
    }

    /// Samples the node's footprint.
    fn sampler(&self) -> Sampler {
        let process = self.node.id().expect("a running node");
        Sampler::start(process, self.listeners())
    }

    fn listeners(&self) -> Vec<SocketAddr> {
        vec![self.callers, self.readiness, self.peers]
    }

    /// Submits an ordinary job, and submits it again until it is accepted.
    async fn submit_job(&self, id: &str) {
        let (name, value) = timeout_header(CALLER_WAIT_MS);
        let request = ClientRequest::new(Method::POST, format!("/alpha/{id}"))
            .with_header(name, value)
            .with_body(encode_job(&job()));
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let client = Client::new(self.callers, 1);
            let response = client
                .call(&request, Duration::from_millis(CALLER_WAIT_MS))
                .await;
            if response
                .as_ref()
                .is_ok_and(|it| it.status == StatusCode::OK)
            {
                return;
            }
            assert!(Instant::now() < deadline, "not accepted: {response:?}");
            sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until the node reports to the load balancer that it is ready.
    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let client = Client::new(self.readiness, 1);
            let response = client
                .get("/ready", Duration::from_millis(CALLER_WAIT_MS))
                .await;
            if response
                .as_ref()
                .is_ok_and(|it| it.status == StatusCode::OK)
            {
                return;
            }
            assert!(Instant::now() < deadline, "not ready: {response:?}");
            sleep(RETRY_DELAY).await;
        }
    }

    /// Asserts that the node bears a crowd and serves an ordinary caller beside it; `fault` is that
    /// of the store until all requests are sent.
    async fn assert_bears(
        &self,
        address: SocketAddr,
        size: usize,
        request: &UnfinishedRequest,
        fault: StoreFault,
    ) {
        let sampler = self.sampler();
        self.store.set_fault(fault);
        let mut crowd = Crowd::start(address, size, request);
        crowd.settle(|| unread_bytes(&self.listeners())).await;
        self.store.set_fault(StoreFault::None);
        assert_eq!(self.node.exit_status(), None, "the node has ended");
        self.submit_job("feed000000000002").await;
        self.wait_until_ready().await;
        let peak = sampler.stop();
        assert_eq!(self.node.exit_status(), None, "the node has ended");
        println!("{peak:?}");
        let max_memory_bytes = u64::from(self.limits.memory_mb) * BYTES_PER_MB;
        assert!(peak.memory_bytes <= max_memory_bytes, "memory: {peak:?}");
        let max_sockets = self.limits.max_descriptors as usize - FILE_DESCRIPTORS;
        assert!(peak.sockets <= max_sockets, "descriptors: {peak:?}");
        drop(crowd);
    }
}

fn job() -> JobSpec {
    JobSpec {
        payload: "batch 00000001".into(),
        steps: vec![StepSpec {
            count: 1,
            resources: Resources {
                cpu_millis: 500,
                memory_mb: 64,
                gpus: 0,
            },
            estimated_ms: 300,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    }
}

/// Returns the body of a job of the largest size with as many steps as it may have.
fn largest_job() -> Vec<u8> {
    let mut spec = job();
    let mut body = encode_job(&spec);
    let step_bytes = encode_job(&JobSpec {
        steps: vec![spec.steps[0].clone(); 2],
        ..spec.clone()
    })
    .len()
        - body.len();
    let steps = 1 + (MAX_JOB_BYTES - body.len()) / step_bytes;
    spec.steps = vec![spec.steps[0].clone(); steps];
    body = encode_job(&spec);
    body.resize(MAX_JOB_BYTES, b' ');
    body
}

macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident: $limits:expr, $listener:ident, $size:literal, $request:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            run_alone(async {
                let fleet = Fleet::start(stringify!($name), $limits).await;
                fleet
                    .assert_bears(fleet.$listener, $size, &$request, StoreFault::None)
                    .await;
            });
        })*
    };
}

crowds! {
    /// Guards against unfinished job bodies that exhaust the memory of the node.
    large_job_bodies: LIMITS, callers, 400,
        UnfinishedRequest::with_length(SUBMIT_JOB, MAX_JOB_BYTES);

    /// Guards against unfinished job bodies that exhaust the memory of the node while each of them
    /// makes progress.
    large_job_bodies_in_pieces: LIMITS, callers, 400,
        UnfinishedRequest::with_length(SUBMIT_JOB, MAX_JOB_BYTES).with_pace(Pace::InPieces);

    /// Guards against job bodies without a declared size that exhaust the memory of the node.
    job_bodies_in_large_chunks: LIMITS, callers, 400,
        UnfinishedRequest::with_chunks(SUBMIT_JOB, 16, 16_000);

    /// Guards against bookkeeping for each chunk that takes many times the memory of its bytes.
    job_bodies_in_small_chunks: LIMITS, callers, 40,
        UnfinishedRequest::with_chunks(SUBMIT_JOB, 60_000, 1);

    /// Guards against unfinished messages of peers that exhaust the memory of the node.
    large_peer_messages: LIMITS, peers, 100,
        UnfinishedRequest::with_length(ASK_OWNER, 2_000_000);

    /// Guards against messages of peers in small chunks that exhaust the memory of the node.
    peer_messages_in_small_chunks: LIMITS, peers, 40,
        UnfinishedRequest::with_chunks(ASK_OWNER, 60_000, 1);

    /// Guards against complete jobs of the largest size, decoded to many times their size, that
    /// exhaust the memory of the node while they wait.
    complete_jobs_of_the_largest_size: LARGE_JOBS, callers, 200,
        UnfinishedRequest::complete(SUBMIT_JOB, &largest_job());

    /// Guards against unfinished bodies that take all descriptors of the node.
    small_job_bodies: FEW_DESCRIPTORS, callers, 450,
        UnfinishedRequest::with_length(SUBMIT_JOB, 100);

    /// Guards against connections without a request that take all descriptors of the node.
    silent_connections: FEW_DESCRIPTORS, callers, 450,
        UnfinishedRequest::within_head("");

    /// Guards against unfinished request heads that take all descriptors of the node.
    unfinished_heads: FEW_DESCRIPTORS, callers, 450,
        UnfinishedRequest::within_head(SUBMIT_JOB);

    /// Guards against peer connections that take all descriptors of the node.
    silent_peer_connections: FEW_DESCRIPTORS, peers, 450,
        UnfinishedRequest::within_head("");

    /// Guards against connections for readiness checks that take all descriptors of the node.
    silent_readiness_connections: FEW_DESCRIPTORS, readiness, 450,
        UnfinishedRequest::within_head("");
}

/// Guards against bytes that arrive behind requests that wait for the store, and that are not read.
#[test]
fn bytes_behind_waiting_requests() {
    run_alone(async {
        let fleet = Fleet::start("bytes_behind", LITTLE_MEMORY).await;
        let mut body = encode_job(&job());
        let length = body.len();
        body.resize(length + MAX_JOB_BYTES, b' ');
        let request = UnfinishedRequest::followed_by_bytes(SUBMIT_JOB, &body, length);
        let fault = StoreFault::Unresponsive;
        fleet
            .assert_bears(fleet.callers, 480, &request, fault)
            .await;
    });
}

/// Guards against stalled clients that keep a connection of the node for ever.
#[test]
fn stalled_body_is_given_up() {
    run_alone(async {
        let fleet = Fleet::start("stalled_body", SHORT_STALL).await;
        let mut stream = TcpStream::connect(fleet.callers).await.expect("connect");
        let request = format!("{SUBMIT_JOB}content-length: 100\r\n\r\n ");
        stream.write_all(request.as_bytes()).await.expect("send");
        let mut response = String::new();
        timeout(WAIT_TIMEOUT, stream.read_to_string(&mut response))
            .await
            .expect("a closed connection")
            .expect("read");
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    });
}

/// Guards against limits that refuse the largest job that a caller may submit.
#[test]
fn slow_job_of_the_largest_size_is_accepted() {
    run_alone(async {
        let fleet = Fleet::start("slow_job", LIMITS).await;
        let mut body = encode_job(&job());
        body.resize(MAX_JOB_BYTES, b' ');
        let (name, value) = timeout_header(CALLER_WAIT_MS);
        let head = format!(
            "POST /alpha/00000000000000bb HTTP/1.1\r\nhost: 127.0.0.1\r\n{name}: {value}\r\n\
             content-length: {MAX_JOB_BYTES}\r\nconnection: close\r\n\r\n"
        );
        let mut stream = TcpStream::connect(fleet.callers).await.expect("connect");
        stream.write_all(head.as_bytes()).await.expect("send");
        for piece in body.chunks(MAX_JOB_BYTES / 32) {
            stream.write_all(piece).await.expect("send");
            sleep(Duration::from_millis(200)).await;
        }
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("read");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}
