//! The daemon: listeners around one node, and its graceful stop.

use {
    crate::config::Config,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    log::{error, info},
    lynxwheel_api::Api,
    lynxwheel_coordination::{Duties, Node},
    lynxwheel_gateway::{Gateway, PEER_ANSWER_PATH, PEER_RUN_PATH},
    lynxwheel_transport::{Body, Server, Shutdown, error_answer, json_answer},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde_json::json,
    std::{error::Error, fmt, io, net::SocketAddr, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
    },
};

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
    callers: SocketAddr,
    operators: SocketAddr,
    stopping: Shutdown,
    closing: Shutdown,
    drain: Duration,
    servers: Vec<JoinHandle<()>>,
    duties: Duties,
}

impl Daemon {
    /// Starts a node with its listeners.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened.
    pub async fn start(config: &Config) -> Result<Self, DaemonError> {
        let callers = bind("callers", config.callers).await?;
        let operators = bind("operators", config.operators).await?;
        let peers = bind("peers", config.peers_listen).await?;
        let metrics = metrics_handle();
        let stopping = Shutdown::new();
        let closing = Shutdown::new();
        let (node, duties) = Node::start(config.node_settings(), &closing);
        let addresses = (
            local(&callers, config.callers),
            local(&operators, config.operators),
        );
        let gateway = Gateway::new(node.clone());
        let health = Health {
            node: node.clone(),
            stopping: stopping.clone(),
        };
        let peer_node = node.clone();
        let peer_gateway = gateway.clone();
        let api = Api::start(node.clone(), config.access.clone(), closing.clone());
        let servers = vec![
            tokio::spawn(peers.serve(closing.clone(), move |request| {
                serve_peer(peer_node.clone(), peer_gateway.clone(), request)
            })),
            tokio::spawn(callers.serve(closing.clone(), move |request| {
                serve_caller(gateway.clone(), health.clone(), request)
            })),
            tokio::spawn(operators.serve(closing.clone(), move |request| {
                serve_operator(api.clone(), metrics.clone(), request)
            })),
        ];
        Ok(Self {
            node,
            callers: addresses.0,
            operators: addresses.1,
            stopping,
            closing,
            drain: Duration::from_millis(config.drain_ms),
            servers,
            duties,
        })
    }

    /// Returns the node.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Stops gracefully: readiness off, a while for the balancer to notice, then no new
    /// connections, and the end when every request in progress is answered.
    pub async fn stop(self) {
        self.stopping.begin();
        self.node.peers().announce_stop();
        tokio::time::sleep(self.drain).await;
        self.closing.begin();
        for server in self.servers {
            if let Err(problem) = server.await {
                error!(event = "server_failed"; "{problem}");
            }
        }
        let duties = self.duties;
        if let Err(problem) = tokio::task::spawn_blocking(move || duties.join()).await {
            error!(event = "duties_failed"; "{problem}");
        }
        info!(event = "stopped"; "");
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
    info!(event = "started", node = config.node.as_str(),
        callers = daemon.callers().to_string().as_str(),
        operators = daemon.operators().to_string().as_str(); "");
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
        let is_current = self.node.is_current();
        let is_stopping = self.stopping.has_begun();
        let status = if is_current && !is_stopping {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let offset = self.node.state().offset();
        json_answer(
            status,
            &json!({ "current": is_current, "stopping": is_stopping, "offset": offset }),
        )
    }
}

async fn serve_caller(
    gateway: Gateway,
    health: Health,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/livez") => json_answer(StatusCode::OK, &true),
        (&Method::GET, "/readyz") => health.ready(),
        _ => gateway.handle(request).await,
    }
}

async fn serve_peer(node: Node, gateway: Gateway, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        PEER_ANSWER_PATH => gateway.peer_answer(request).await,
        path if path.starts_with(PEER_RUN_PATH) => gateway.peer_run(request).await,
        _ => node.handle_peer(request).await,
    }
}

async fn serve_operator(
    api: Api,
    metrics: Option<PrometheusHandle>,
    request: Request<Incoming>,
) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        let text = metrics.map(|handle| handle.render()).unwrap_or_default();
        return error_answer(StatusCode::OK, &text);
    }
    api.handle(request).await
}
