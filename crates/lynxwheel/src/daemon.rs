//! The daemon: one node with its listeners, and the graceful shutdown.

use {
    crate::config::Config,
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    log::{error, info, warn},
    lynxwheel_api::Api,
    lynxwheel_coordination::{BackgroundThreads, Node},
    lynxwheel_gateway::{Gateway, PEER_ANSWER_PATH, PEER_RUN_PATH},
    lynxwheel_transport::{
        Body, ListenerShare, RequestBody, Server, ServerLimits, Shutdown, error_response,
        json_response,
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde_json::json,
    std::{error::Error, fmt, io, net::SocketAddr, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
        time::timeout,
    },
};

/// Time limit for the outcomes of idempotency keys to reach the log during shutdown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

/// Error that prevents the daemon from running.
#[derive(Debug)]
pub enum DaemonError {
    /// A listener cannot be bound.
    Listen {
        /// Listener: `callers`, `operators` or `peers`.
        listener: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A signal handler cannot be installed.
    Signals {
        /// Cause.
        source: io::Error,
    },
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                listener,
                address,
                source,
            } => {
                write!(
                    formatter,
                    "cannot listen for {listener} on {address}: {source}"
                )
            }
            Self::Signals { source } => write!(formatter, "cannot receive signals: {source}"),
        }
    }
}

impl Error for DaemonError {}

/// A running node with its listeners.
#[derive(Debug)]
pub struct Daemon {
    node: Node,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    gateway: Gateway,
    /// Begins when the node reports that it is not ready.
    not_ready: Shutdown,
    /// Begins when the listeners for callers and operators stop accepting connections.
    listener_shutdown: Shutdown,
    /// Begins when the background threads and the peer listener stop.
    node_shutdown: Shutdown,
    drain_delay: Duration,
    servers: Vec<JoinHandle<()>>,
    peer_server: JoinHandle<()>,
    threads: BackgroundThreads,
}

impl Daemon {
    /// Starts a node and its listeners.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be bound.
    pub async fn start(config: &Config) -> Result<Self, DaemonError> {
        let limits = |share| config.process_limits.server_limits(share);
        let callers = bind(
            "callers",
            config.caller_address,
            limits(&ListenerShare::CALLERS),
        )
        .await?;
        let operators = bind(
            "operators",
            config.operator_address,
            limits(&ListenerShare::OPERATORS),
        )
        .await?;
        let peers = bind(
            "peers",
            config.peer_listen_address,
            limits(&ListenerShare::PEERS),
        )
        .await?;
        let metrics = install_metrics_recorder();
        let not_ready = Shutdown::new();
        let listener_shutdown = Shutdown::new();
        let node_shutdown = Shutdown::new();
        let (node, threads) = Node::start(config.node_settings(), &node_shutdown);
        let addresses = (
            local_address(&callers, config.caller_address),
            local_address(&operators, config.operator_address),
        );
        let gateway = Gateway::new(node.clone());
        let health = Health {
            node: node.clone(),
            not_ready: not_ready.clone(),
        };
        let peer_node = node.clone();
        let peer_gateway = gateway.clone();
        let api = Api::start(
            node.clone(),
            config.access.clone(),
            listener_shutdown.clone(),
        );
        let peer_server = tokio::spawn(peers.serve(node_shutdown.clone(), move |request| {
            serve_peer(peer_node.clone(), peer_gateway.clone(), request)
        }));
        let caller_gateway = gateway.clone();
        let servers = vec![
            tokio::spawn(callers.serve(listener_shutdown.clone(), move |request| {
                serve_caller(caller_gateway.clone(), health.clone(), request)
            })),
            tokio::spawn(operators.serve(listener_shutdown.clone(), move |request| {
                serve_operator(api.clone(), metrics.clone(), request)
            })),
        ];
        Ok(Self {
            node,
            caller_address: addresses.0,
            operator_address: addresses.1,
            gateway,
            not_ready,
            listener_shutdown,
            node_shutdown,
            drain_delay: Duration::from_millis(config.drain_delay_ms),
            servers,
            peer_server,
            threads,
        })
    }

    /// Returns the node.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Returns the address of the listener for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the listener for operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Shuts down gracefully: reports not ready, waits for the load balancer to notice, stops
    /// accepting connections and completes the requests in progress.
    ///
    /// The background threads and the peer listener stop last: a request in progress may need the
    /// log and the peers. Without them its intent would stay pending, and a retry would be
    /// answered with an unknown outcome although nothing ran.
    pub async fn stop(self) {
        self.not_ready.begin();
        self.node.peers().announce_stop();
        tokio::time::sleep(self.drain_delay).await;
        self.listener_shutdown.begin();
        for server in self.servers {
            join_part("server", server).await;
        }
        if timeout(OUTCOME_TIMEOUT, self.gateway.wait_for_outcomes())
            .await
            .is_err()
        {
            warn!(event = "not_settled"; "stopped before all key outcomes reached the log");
        }
        self.node_shutdown.begin();
        join_part("peer_server", self.peer_server).await;
        let threads = self.threads;
        join_part(
            "duties",
            tokio::task::spawn_blocking(move || threads.join()),
        )
        .await;
        info!(event = "stopped"; "daemon stopped");
    }
}

/// Waits for a part of the daemon to end and logs its failure.
async fn join_part(part: &str, task: JoinHandle<()>) {
    if let Err(error) = task.await {
        error!(event = "part_failed", part = part; "daemon task failed: {error}");
    }
}

/// Runs the daemon until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed or a listener cannot be bound.
pub async fn run(config: Config) -> Result<(), DaemonError> {
    let signals = |kind| signal(kind).map_err(|source| DaemonError::Signals { source });
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let daemon = Daemon::start(&config).await?;
    info!(event = "started", node = config.node_name.as_str(),
        callers = daemon.caller_address().to_string().as_str(),
        operators = daemon.operator_address().to_string().as_str(); "daemon started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(event = "stopping"; "graceful shutdown started");
    daemon.stop().await;
    Ok(())
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
    limits: ServerLimits,
) -> Result<Server, DaemonError> {
    Server::bind_with_limits(listener, address, limits)
        .await
        .map_err(|source| DaemonError::Listen {
            listener,
            address,
            source,
        })
}

/// Returns the address that a server is bound to, or the configured one when it is unknown.
fn local_address(server: &Server, configured: SocketAddr) -> SocketAddr {
    server.local_addr().unwrap_or(configured)
}

/// Installs the metrics recorder, of which a process has only one; a second daemon has no metrics.
fn install_metrics_recorder() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// State that the health checks of a load balancer report.
#[derive(Clone, Debug)]
struct Health {
    node: Node,
    not_ready: Shutdown,
}

impl Health {
    fn readiness_response(&self) -> Response<Body> {
        let readiness = self.node.readiness();
        let is_stopping = self.not_ready.has_begun();
        let has_diverged = self.node.has_diverged();
        let status = if readiness.is_ready() && !is_stopping && !has_diverged {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let offset = self.node.state().offset();
        json_response(
            status,
            &json!({
                "current": readiness.is_current,
                "diverged": has_diverged,
                "stopping": is_stopping,
                "offset": offset,
            }),
        )
    }
}

async fn serve_caller(
    gateway: Gateway,
    health: Health,
    request: Request<RequestBody>,
) -> Response<Body> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/livez") => json_response(StatusCode::OK, &true),
        (&Method::GET, "/readyz") => health.readiness_response(),
        _ => gateway.handle(request).await,
    };
    if health.not_ready.has_begun() {
        // Keep-alive connections are closed before the listener is: a request that is sent just as
        // the node closes its connection would fail.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve_peer(node: Node, gateway: Gateway, request: Request<RequestBody>) -> Response<Body> {
    match request.uri().path() {
        PEER_ANSWER_PATH => gateway.handle_peer_answer(request).await,
        path if path.starts_with(PEER_RUN_PATH) => gateway.handle_peer_run(request).await,
        _ => node.handle_peer_request(request).await,
    }
}

async fn serve_operator(
    api: Api,
    metrics: Option<PrometheusHandle>,
    request: Request<RequestBody>,
) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        let text = metrics.map(|handle| handle.render()).unwrap_or_default();
        return error_response(StatusCode::OK, &text);
    }
    api.handle(request).await
}
