//! Table of the other nodes and their liveness.

use {
    crate::settings::NodeSettings,
    log::info,
    lynxwheel_protocol::{EndpointLoad, NodeName, PeerHello},
    std::{
        fmt,
        sync::{
            Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::watch,
};

/// Silence after which a peer no longer counts as live, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 5_000;

/// Maximum length of each endpoint list in a hello.
const MAX_LISTED_ENDPOINTS: usize = 64;

/// Function that lists endpoints of the request path.
type ListEndpoints = Box<dyn Fn() -> Vec<EndpointLoad> + Send + Sync>;

/// Endpoint lists of the request path that hellos carry to the peers.
pub struct LocalEndpoints {
    loads: ListEndpoints,
    leaving: ListEndpoints,
}

impl LocalEndpoints {
    /// Creates the lists from two functions that return endpoint loads and leaving endpoints.
    ///
    /// The functions are called for every hello and must not block.
    #[must_use]
    pub fn new(
        loads: impl Fn() -> Vec<EndpointLoad> + Send + Sync + 'static,
        leaving: impl Fn() -> Vec<EndpointLoad> + Send + Sync + 'static,
    ) -> Self {
        Self {
            loads: Box::new(loads),
            leaving: Box::new(leaving),
        }
    }
}

impl fmt::Debug for LocalEndpoints {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LocalEndpoints")
            .finish_non_exhaustive()
    }
}

/// Last known status of a peer.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// Last hello of the peer.
    pub hello: PeerHello,
    /// Time at which the hello arrived, in milliseconds since the Unix epoch.
    pub last_seen_ms: u64,
}

/// Configured peers and their last hellos.
#[derive(Debug)]
pub struct Peers {
    node: NodeName,
    configured: Vec<NodeName>,
    started_ms: u64,
    statuses: Mutex<Vec<PeerStatus>>,
    local_endpoints: OnceLock<LocalEndpoints>,
    is_stopping: AtomicBool,
    announcements: watch::Sender<u64>,
}

impl Peers {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let configured = settings
            .peers
            .iter()
            .map(|peer| peer.node.clone())
            .collect();
        Self {
            node: settings.identity.node.clone(),
            configured,
            started_ms: settings.clock.now_ms(),
            statuses: Mutex::new(Vec::new()),
            local_endpoints: OnceLock::new(),
            is_stopping: AtomicBool::new(false),
            announcements: watch::Sender::new(0),
        }
    }

    /// Sets the endpoint lists for hellos; only the first call has an effect.
    pub fn set_local_endpoints(&self, local_endpoints: LocalEndpoints) {
        drop(self.local_endpoints.set(local_endpoints));
    }

    /// Sends a hello to all peers immediately instead of at the next interval.
    ///
    /// Used for urgent changes, such as an endpoint that starts leaving.
    pub fn announce(&self) {
        self.announcements.send_modify(|count| *count += 1);
    }

    /// Informs the peers immediately that this node is stopping and accepts no new work.
    pub fn announce_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.announce();
    }

    /// Returns whether this node is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns a receiver that is notified when a hello must be sent immediately.
    pub(crate) fn announcements(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }

    /// Returns the time since the last hello of a peer, in milliseconds.
    pub(crate) fn silence_ms(&self, peer: &NodeName, now_ms: u64) -> u64 {
        let statuses = self.lock();
        let last_seen_ms = statuses
            .binary_search_by(|status| status.hello.node.cmp(peer))
            .map_or(self.started_ms, |index| statuses[index].last_seen_ms);
        now_ms.saturating_sub(last_seen_ms)
    }

    /// Returns the statuses of the live peers, sorted by name.
    #[must_use]
    pub fn live_peers(&self, now_ms: u64) -> Vec<PeerStatus> {
        let mut statuses = self.lock().clone();
        statuses.retain(|status| is_live(status, now_ms));
        statuses
    }

    /// Updates the sender's status; a hello of an earlier incarnation is ignored.
    pub(crate) fn update(&self, hello: PeerHello, now_ms: u64) {
        if hello.node == self.node || self.configured.binary_search(&hello.node).is_err() {
            return;
        }
        let mut statuses = self.lock();
        let index = statuses.binary_search_by(|status| status.hello.node.cmp(&hello.node));
        match index {
            Ok(index) if hello.incarnation < statuses[index].hello.incarnation => {}
            Ok(index) => {
                if hello.stopping && !statuses[index].hello.stopping {
                    info!(event = "peer_stopping", peer = hello.node.as_str();
                        "a peer is stopping");
                }
                statuses[index] = PeerStatus {
                    hello,
                    last_seen_ms: now_ms,
                };
            }
            Err(index) => {
                info!(event = "peer_seen", peer = hello.node.as_str(); "first hello of a peer");
                statuses.insert(
                    index,
                    PeerStatus {
                        hello,
                        last_seen_ms: now_ms,
                    },
                );
            }
        }
    }

    /// Returns the names of all live nodes including this one, sorted.
    ///
    /// A configured peer without a hello counts as live until the timeout has passed since the
    /// start; otherwise a starting node would rank first for everything.
    #[must_use]
    pub fn live_nodes(&self, now_ms: u64) -> Vec<NodeName> {
        let statuses = self.lock();
        let is_starting = now_ms < self.started_ms + PEER_TIMEOUT_MS;
        let mut names: Vec<NodeName> = self
            .configured
            .iter()
            .filter(|name| {
                statuses
                    .binary_search_by(|status| status.hello.node.cmp(name))
                    .map_or(is_starting, |index| is_live(&statuses[index], now_ms))
            })
            .cloned()
            .collect();
        names.push(self.node.clone());
        names.sort();
        names.dedup();
        names
    }

    /// Returns the endpoint loads for a hello, at most [`MAX_LISTED_ENDPOINTS`].
    pub(crate) fn local_loads(&self) -> Vec<EndpointLoad> {
        self.list_local(|local_endpoints| &local_endpoints.loads)
    }

    /// Returns the leaving endpoints for a hello, at most [`MAX_LISTED_ENDPOINTS`].
    pub(crate) fn local_leaving(&self) -> Vec<EndpointLoad> {
        self.list_local(|local_endpoints| &local_endpoints.leaving)
    }

    fn list_local(&self, list: impl Fn(&LocalEndpoints) -> &ListEndpoints) -> Vec<EndpointLoad> {
        let mut endpoints = self
            .local_endpoints
            .get()
            .map(|local_endpoints| list(local_endpoints)())
            .unwrap_or_default();
        // Keep the highest loads, which matter most to the peers.
        endpoints.sort_by(|a, b| b.in_progress.cmp(&a.in_progress).then(a.cmp(b)));
        endpoints.truncate(MAX_LISTED_ENDPOINTS);
        endpoints.sort();
        endpoints
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PeerStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_live(status: &PeerStatus, now_ms: u64) -> bool {
    !status.hello.stopping && now_ms < status.last_seen_ms + PEER_TIMEOUT_MS
}
