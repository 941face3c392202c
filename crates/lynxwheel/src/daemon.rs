//! The daemon: listeners around one node, and its graceful stop.

use {
    crate::config::Config,
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    log::{error, info, warn},
    lynxwheel_api::Api,
    lynxwheel_coordination::{BackgroundThreads, Node},
    lynxwheel_gateway::{Gateway, PEER_ANSWER_PATH, PEER_RUN_PATH},
    lynxwheel_transport::{Body, Server, Shutdown, error_response, json_response},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde_json::json,
    std::{error::Error, fmt, io, net::SocketAddr, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
        time::timeout,
    },
};

/// Time that a stopping node waits for the outcomes of keys to enter the log.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// Why the daemon cannot run.
#[derive(Debug)]
pub enum DaemonError {
    /// A listener cannot be opened.
    Listen {
        /// Whose listener.
        listener: &'static str,
        /// Address.
        address: SocketAddr,
        /// Reason.
        source: io::Error,
    },
    /// Signals cannot be received.
    Signals {
        /// Reason.
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

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Node,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    gateway: Gateway,
    stopping: Shutdown,
    closing: Shutdown,
    ending: Shutdown,
    drain: Duration,
    servers: Vec<JoinHandle<()>>,
    peer_server: JoinHandle<()>,
    threads: BackgroundThreads,
}

impl Daemon {
    /// Starts a node with its listeners.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened.
    pub async fn start(config: &Config) -> Result<Self, DaemonError> {
        let callers = bind("callers", config.caller_address).await?;
        let operators = bind("operators", config.operator_address).await?;
        let peers = bind("peers", config.peer_listen_address).await?;
        let metrics = metrics_handle();
        let stopping = Shutdown::new();
        let closing = Shutdown::new();
        let ending = Shutdown::new();
        let (node, threads) = Node::start(config.node_settings(), &ending);
        let addresses = (
            local(&callers, config.caller_address),
            local(&operators, config.operator_address),
        );
        let gateway = Gateway::new(node.clone());
        let health = Health {
            node: node.clone(),
            stopping: stopping.clone(),
        };
        let peer_node = node.clone();
        let peer_gateway = gateway.clone();
        let api = Api::start(node.clone(), config.access.clone(), closing.clone());
        let peer_server = tokio::spawn(peers.serve(ending.clone(), move |request| {
            serve_peer(peer_node.clone(), peer_gateway.clone(), request)
        }));
        let caller_gateway = gateway.clone();
        let servers = vec![
            tokio::spawn(callers.serve(closing.clone(), move |request| {
                serve_caller(caller_gateway.clone(), health.clone(), request)
            })),
            tokio::spawn(operators.serve(closing.clone(), move |request| {
                serve_operator(api.clone(), metrics.clone(), request)
            })),
        ];
        Ok(Self {
            node,
            caller_address: addresses.0,
            operator_address: addresses.1,
            gateway,
            stopping,
            closing,
            ending,
            drain: Duration::from_millis(config.drain_delay_ms),
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

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Stops gracefully: readiness off, a while for the balancer to notice, then no new
    /// connections, and the end when every request in progress is answered and settled.
    ///
    /// The duties and the peer listener end last. A request in progress may need the log and its
    /// peers; without them its intent would stay pending, and its caller's next attempt would be
    /// told "outcome unknown" although nothing ran.
    pub async fn stop(self) {
        self.stopping.begin();
        self.node.peers().announce_stop();
        tokio::time::sleep(self.drain).await;
        self.closing.begin();
        for server in self.servers {
            await_end("server", server).await;
        }
        if timeout(SETTLE_LIMIT, self.gateway.wait_for_outcomes())
            .await
            .is_err()
        {
            warn!(event = "not_settled"; "outcomes of keys are not in the log at the stop");
        }
        self.ending.begin();
        await_end("peer_server", self.peer_server).await;
        let threads = self.threads;
        await_end(
            "duties",
            tokio::task::spawn_blocking(move || threads.join()),
        )
        .await;
        info!(event = "stopped"; "");
    }
}

async fn await_end(part: &str, task: JoinHandle<()>) {
    if let Err(problem) = task.await {
        error!(event = "part_failed", part = part; "{problem}");
    }
}

/// Runs a daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the daemon cannot be started.
pub async fn run(config: Config) -> Result<(), DaemonError> {
    let signals = |kind| signal(kind).map_err(|source| DaemonError::Signals { source });
    let mut terminate = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let daemon = Daemon::start(&config).await?;
    info!(event = "started", node = config.node_name.as_str(),
        callers = daemon.caller_address().to_string().as_str(),
        operators = daemon.operator_address().to_string().as_str(); "");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(event = "stopping"; "");
    daemon.stop().await;
    Ok(())
}

async fn bind(listener: &'static str, address: SocketAddr) -> Result<Server, DaemonError> {
    Server::bind(address)
        .await
        .map_err(|source| DaemonError::Listen {
            listener,
            address,
            source,
        })
}

fn local(server: &Server, configured: SocketAddr) -> SocketAddr {
    server.local_addr().unwrap_or(configured)
}

/// Installs the recorder of metrics; a second daemon in one process goes without.
fn metrics_handle() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// What the balancer asks about.
#[derive(Clone, Debug)]
struct Health {
    node: Node,
    stopping: Shutdown,
}

impl Health {
    fn ready(&self) -> Response<Body> {
        let readiness = self.node.readiness();
        let is_stopping = self.stopping.has_begun();
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
    request: Request<Incoming>,
) -> Response<Body> {
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/livez") => json_response(StatusCode::OK, &true),
        (&Method::GET, "/readyz") => health.ready(),
        _ => gateway.handle(request).await,
    };
    if health.stopping.has_begun() {
        // A request sent on a kept connection just as a stopping node closes it shows up as cut
        // off. Callers that are told to close beforehand have no such connection by then.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve_peer(node: Node, gateway: Gateway, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        PEER_ANSWER_PATH => gateway.handle_peer_answer(request).await,
        path if path.starts_with(PEER_RUN_PATH) => gateway.handle_peer_run(request).await,
        _ => node.handle_peer_request(request).await,
    }
}

async fn serve_operator(
    api: Api,
    metrics: Option<PrometheusHandle>,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        let text = metrics.map(|handle| handle.render()).unwrap_or_default();
        return error_response(StatusCode::OK, &text);
    }
    api.handle(request).await
}
