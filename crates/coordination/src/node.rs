//! One node: its threads and what they share.

use {
    crate::{
        actions,
        appender::Appender,
        background::spawn_background_thread,
        catch_up::catch_up,
        clock::{Clock, new_incarnation},
        divergence::Divergence,
        fold::{Fold, FoldOutputs},
        log_client::LogClient,
        membership::{PEER_CONNECTIONS, exchange_hellos},
        observer,
        operations::Operation,
        peers::Peers,
        planner,
        proposer::Proposer,
        published_state::PublishedState,
        rate_limit::RateShare,
        reader,
        readiness::Readiness,
        recent::RecentEntries,
        settings::NodeSettings,
        snapshots::write_snapshots,
        tasks,
        upkeep::keep_up,
    },
    kameo::{actor::Spawn, mailbox},
    log::{error, info},
    lynxwheel_protocol::{FOLD_VERSION, NodeName, OperationId, OperationOutcome, RecordBody},
    lynxwheel_state::FleetState,
    lynxwheel_transport::{ClientPool, Shutdown},
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Batches that wait for the fold at most.
const FOLD_RING: usize = 8;

/// Proposals that wait for the appender at most.
const APPEND_RING: usize = 1_024;

/// Connections to one endpoint for probes.
const PROBE_CONNECTIONS: usize = 2;

/// What the name of the snapshot stream adds to the fleet's stream.
const SNAPSHOT_SUFFIX: &str = "-snapshots";

/// Age of the last successful read after which a node no longer takes itself for current, in
/// milliseconds.
const CURRENT_MS: u64 = 5_000;

/// A running node; copies share it.
#[derive(Clone, Debug)]
pub struct Node {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: NodeSettings,
    incarnation: u64,
    outputs: FoldOutputs,
    proposer: Proposer,
    clients: Arc<ClientPool>,
    peers: Peers,
    peer_clients: ClientPool,
    snapshot_log: LogClient,
    has_been_current: AtomicBool,
}

impl Inner {
    fn new(
        settings: NodeSettings,
        incarnation: u64,
        log: &LogClient,
        outputs: FoldOutputs,
    ) -> Self {
        let appender = Appender::new(
            log.clone(),
            settings.clock.clone(),
            RateShare::new(settings.max_appends_per_s, settings.peers.len() + 1),
            Arc::clone(&outputs.published),
            Arc::clone(&outputs.waiters),
            incarnation,
        );
        let appender =
            Appender::spawn_in_thread_with_mailbox(appender, mailbox::bounded(APPEND_RING));
        let limit = Duration::from_millis(settings.propose_timeout_ms);
        let snapshots = format!("{}{SNAPSHOT_SUFFIX}", settings.stream);
        Self {
            incarnation,
            proposer: Proposer::new(appender, limit, Arc::clone(&outputs.divergence)),
            clients: Arc::new(ClientPool::new(PROBE_CONNECTIONS)),
            peers: Peers::new(&settings),
            peer_clients: ClientPool::new(PEER_CONNECTIONS),
            snapshot_log: LogClient::new(settings.platform, &snapshots),
            has_been_current: AtomicBool::new(false),
            outputs,
            settings,
        }
    }
}

impl Node {
    /// Starts a node and its duties, which end with the signal.
    #[must_use]
    pub fn start(settings: NodeSettings, shutdown: &Shutdown) -> (Self, BackgroundThreads) {
        let incarnation = new_incarnation(settings.identity.node.as_str(), &settings.clock);
        let outputs = FoldOutputs::new(FleetState::new());
        let log = LogClient::new(settings.platform, &settings.stream);
        let fold = Fold::new(FleetState::new(), outputs.clone(), incarnation);
        let fold = Fold::spawn_in_thread_with_mailbox(fold, mailbox::bounded(FOLD_RING));
        let node = Self {
            inner: Arc::new(Inner::new(settings, incarnation, &log, outputs)),
        };
        let mut threads = BackgroundThreads::new(shutdown.clone());
        threads.run("reader", reader::read_log(node.clone(), log, fold.clone()));
        threads.run("observer", observer::observe(node.clone()));
        threads.run("planner", planner::plan(node.clone()));
        threads.run("actions", actions::act(node.clone()));
        threads.run("tasks", tasks::run(node.clone()));
        threads.run("membership", exchange_hellos(node.clone()));
        threads.run("catch_up", catch_up(node.clone(), fold));
        threads.run("snapshots", write_snapshots(node.clone()));
        threads.run("upkeep", keep_up(node.clone()));
        threads.run("join", join(node.clone()));
        (node, threads)
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &NodeSettings {
        &self.inner.settings
    }

    /// Returns the time source.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.inner.settings.clock
    }

    /// Returns the number of this run.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.inner.incarnation
    }

    /// Returns the latest state.
    #[must_use]
    pub fn state(&self) -> Arc<FleetState> {
        self.inner.outputs.published.load()
    }

    /// Returns where the state is published.
    #[must_use]
    pub fn published_state(&self) -> &PublishedState {
        &self.inner.outputs.published
    }

    /// Returns what became of a declaration that any node wrote.
    #[must_use]
    pub fn operation(&self, id: OperationId) -> OperationOutcome {
        self.inner.outputs.operations.look_up(id, &self.state())
    }

    /// Returns the latest declarations of all nodes, the last one first.
    #[must_use]
    pub fn latest_operations(&self, limit: usize) -> Vec<Operation> {
        self.inner.outputs.operations.latest(limit)
    }

    /// Returns the handle for proposals.
    #[must_use]
    pub fn proposer(&self) -> &Proposer {
        &self.inner.proposer
    }

    /// Returns the clients for probes.
    #[must_use]
    pub fn endpoint_clients(&self) -> &Arc<ClientPool> {
        &self.inner.clients
    }

    /// Returns what is known of the other nodes.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.inner.peers
    }

    pub(crate) fn peer_clients(&self) -> &ClientPool {
        &self.inner.peer_clients
    }

    pub(crate) fn recent(&self) -> &RecentEntries {
        &self.inner.outputs.recent
    }

    /// Returns the nodes that are taken to be live, this one included, sorted.
    #[must_use]
    pub fn live_nodes(&self) -> Vec<NodeName> {
        self.inner.peers.live_nodes(self.clock().now_ms())
    }

    /// Tells whether the state includes everything accepted up to a few seconds ago.
    ///
    /// Its run must have been accepted. Then either the node has read the log lately to its end,
    /// or a live peer has and is not ahead.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let state = self.state();
        let has_joined = state.writers().get(self.inner.incarnation).is_some();
        has_joined && (self.reads_log() || self.is_level_with_reader(state.offset()))
    }

    /// Returns what the node's readiness depends on.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        let is_current = self.is_current();
        if is_current {
            self.inner.has_been_current.store(true, Ordering::Relaxed);
        }
        let views = self.peers().live_peers(self.clock().now_ms());
        Readiness {
            is_current,
            has_been_current: self.inner.has_been_current.load(Ordering::Relaxed),
            configured_peers: self.settings().peers.len(),
            live_peers: views.len(),
            log_reading_peers: views.iter().filter(|view| view.hello.reads_log).count(),
        }
    }

    fn is_level_with_reader(&self, offset: u64) -> bool {
        let views = self.peers().live_peers(self.clock().now_ms());
        views
            .iter()
            .any(|view| view.hello.reads_log && view.hello.offset <= offset)
    }

    /// Tells whether the state differs from the peers'; such a node proposes nothing.
    #[must_use]
    pub fn has_diverged(&self) -> bool {
        self.inner.outputs.divergence.has_diverged()
    }

    /// Tells whether the node itself has read the log lately and to its end.
    pub(crate) fn reads_log(&self) -> bool {
        let read_ms = self.inner.outputs.published.last_read_ms();
        read_ms + CURRENT_MS > self.clock().now_ms() && self.inner.outputs.published.is_caught_up()
    }

    pub(crate) fn divergence(&self) -> &Divergence {
        &self.inner.outputs.divergence
    }

    pub(crate) fn snapshot_log(&self) -> &LogClient {
        &self.inner.snapshot_log
    }
}

/// Threads of a node's duties.
#[derive(Debug)]
pub struct BackgroundThreads {
    shutdown: Shutdown,
    threads: Vec<thread::JoinHandle<()>>,
}

impl BackgroundThreads {
    fn new(shutdown: Shutdown) -> Self {
        Self {
            shutdown,
            threads: Vec::new(),
        }
    }

    fn run<F: Future<Output = ()> + Send + 'static>(&mut self, name: &str, future: F) {
        match spawn_background_thread(name, &self.shutdown, future) {
            Ok(thread) => self.threads.push(thread),
            Err(problem) => error!(event = "duty_not_started", duty = name; "{problem}"),
        }
    }

    /// Waits until every duty has ended, which they do after the signal.
    pub fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                error!(event = "duty_panicked"; "");
            }
        }
    }
}

/// Announces the run in the log, again and again until it is there.
async fn join(node: Node) {
    loop {
        let body = RecordBody::Join {
            node: node.settings().identity.node.clone(),
            fold_version: FOLD_VERSION,
        };
        let joined = node.proposer().propose(body).await;
        let is_known = node.state().writers().get(node.incarnation()).is_some();
        if joined.is_ok_and(|decision| decision.verdict.is_accepted()) || is_known {
            info!(event = "joined", incarnation = node.incarnation(); "");
            return;
        }
        tokio::time::sleep(Duration::from_millis(node.settings().join_retry_ms)).await;
    }
}
