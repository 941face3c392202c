//! What is known of the other nodes.

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

/// Silence after which a peer is no longer taken to be live, in milliseconds.
pub(crate) const PEER_TIMEOUT_MS: u64 = 5_000;

/// Endpoints named in one message at most, of each list.
const MAX_LISTED: usize = 64;

/// Reads endpoints from the request path.
type ReadEndpoints = Box<dyn Fn() -> Vec<EndpointLoad> + Send + Sync>;

/// What the request path tells the peers.
pub struct LocalEndpoints {
    loads: ReadEndpoints,
    leaving: ReadEndpoints,
}

impl LocalEndpoints {
    /// Creates a view from two functions, which must be quick.
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

/// A peer as it last described itself.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// Its last message.
    pub hello: PeerHello,
    /// When the message came, in milliseconds since the epoch.
    pub seen_ms: u64,
}

/// Last messages of the other nodes.
#[derive(Debug)]
pub struct Peers {
    node: NodeName,
    configured: Vec<NodeName>,
    started_ms: u64,
    rows: Mutex<Vec<PeerStatus>>,
    local: OnceLock<LocalEndpoints>,
    is_stopping: AtomicBool,
    news: watch::Sender<u64>,
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
            rows: Mutex::new(Vec::new()),
            local: OnceLock::new(),
            is_stopping: AtomicBool::new(false),
            news: watch::Sender::new(0),
        }
    }

    /// Sets what the request path tells the peers; only the first call counts.
    pub fn set_local_endpoints(&self, local: LocalEndpoints) {
        drop(self.local.set(local));
    }

    /// Tells the peers at once what is usually told in the next period.
    ///
    /// For what must not wait, such as an endpoint that was seen leaving.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Tells the peers at once that this node stops and takes no new work.
    pub fn announce_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.announce();
    }

    /// Tells whether this node stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns a receiver that wakes when there is something to tell at once.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Returns for how long a peer has been silent, in milliseconds.
    pub(crate) fn silence_ms(&self, peer: &NodeName, now_ms: u64) -> u64 {
        let rows = self.rows();
        let seen_ms = rows
            .binary_search_by(|view| view.hello.node.cmp(peer))
            .map_or(self.started_ms, |row| rows[row].seen_ms);
        now_ms.saturating_sub(seen_ms)
    }

    /// Returns the live peers' last messages, by name.
    #[must_use]
    pub fn live_peers(&self, now_ms: u64) -> Vec<PeerStatus> {
        let mut views = self.rows().clone();
        views.retain(|view| is_live(view, now_ms));
        views
    }

    /// Notes a message; one of an earlier run of the sender is ignored.
    pub(crate) fn note(&self, hello: PeerHello, now_ms: u64) {
        if hello.node == self.node || self.configured.binary_search(&hello.node).is_err() {
            return;
        }
        let mut rows = self.rows();
        let row = rows.binary_search_by(|view| view.hello.node.cmp(&hello.node));
        match row {
            Ok(row) if hello.incarnation < rows[row].hello.incarnation => {}
            Ok(row) => {
                if hello.stopping && !rows[row].hello.stopping {
                    info!(event = "peer_stopping", peer = hello.node.as_str(); "");
                }
                rows[row] = PeerStatus {
                    hello,
                    seen_ms: now_ms,
                };
            }
            Err(row) => {
                info!(event = "peer_seen", peer = hello.node.as_str(); "");
                rows.insert(
                    row,
                    PeerStatus {
                        hello,
                        seen_ms: now_ms,
                    },
                );
            }
        }
    }

    /// Returns the names of the nodes that are taken to be live, this one included, sorted.
    ///
    /// A configured peer that was not heard yet counts as live until the timeout has passed since
    /// the start; a starting node would otherwise rank first for everything.
    #[must_use]
    pub fn live_nodes(&self, now_ms: u64) -> Vec<NodeName> {
        let rows = self.rows();
        let is_starting = now_ms < self.started_ms + PEER_TIMEOUT_MS;
        let mut names: Vec<NodeName> = self
            .configured
            .iter()
            .filter(|name| {
                rows.binary_search_by(|view| view.hello.node.cmp(name))
                    .map_or(is_starting, |row| is_live(&rows[row], now_ms))
            })
            .cloned()
            .collect();
        names.push(self.node.clone());
        names.sort();
        names.dedup();
        names
    }

    /// Returns the loads to tell, at most [`MAX_LISTED`].
    pub(crate) fn local_loads(&self) -> Vec<EndpointLoad> {
        self.listed(|local| &local.loads)
    }

    /// Returns the leaving endpoints to tell, at most [`MAX_LISTED`].
    pub(crate) fn local_leaving(&self) -> Vec<EndpointLoad> {
        self.listed(|local| &local.leaving)
    }

    fn listed(&self, list: impl Fn(&LocalEndpoints) -> &ReadEndpoints) -> Vec<EndpointLoad> {
        let mut rows = self
            .local
            .get()
            .map(|local| list(local)())
            .unwrap_or_default();
        // The message is bounded; the highest loads matter most to others.
        rows.sort_by(|a, b| b.in_progress.cmp(&a.in_progress).then(a.cmp(b)));
        rows.truncate(MAX_LISTED);
        rows.sort();
        rows
    }

    fn rows(&self) -> MutexGuard<'_, Vec<PeerStatus>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_live(view: &PeerStatus, now_ms: u64) -> bool {
    !view.hello.stopping && now_ms < view.seen_ms + PEER_TIMEOUT_MS
}
