//! A node: its background threads and the data they share.

use {
    crate::{
        actions,
        appender::Appender,
        background::spawn_background_thread,
        catch_up::catch_up,
        clock::{Clock, new_incarnation},
        divergence::Divergence,
        fold::{Fold, FoldOutputs},
        housekeeping::run_housekeeping,
        log_client::LogClient,
        membership::{MAX_PEER_CONNECTIONS, exchange_hellos},
        observer,
        operations::Operation,
        peers::Peers,
        planner,
        proposer::Proposer,
        published_state::PublishedState,
        rate_limit::RateShare,
        reader,
        readiness::Readiness,
        recent_entries::RecentEntries,
        settings::NodeSettings,
        snapshots::write_snapshots,
        tasks,
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

/// Maximum number of batches of entries waiting for the fold.
const FOLD_MAILBOX_CAPACITY: usize = 8;

/// Maximum number of proposals waiting for the appender.
const APPENDER_MAILBOX_CAPACITY: usize = 1_024;

/// Maximum number of connections to an endpoint for probes.
const MAX_ENDPOINT_CONNECTIONS: usize = 2;

/// Suffix that the snapshot stream's name adds to the name of the fleet's stream.
const SNAPSHOT_STREAM_SUFFIX: &str = "-snapshots";

/// Age of the last successful read of the log beyond which a node is no longer current, in
/// milliseconds.
const MAX_READ_AGE_MS: u64 = 5_000;

/// Handle to a running node; clones share it.
#[derive(Clone, Debug)]
pub struct Node {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
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

impl Shared {
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
        let appender = Appender::spawn_in_thread_with_mailbox(
            appender,
            mailbox::bounded(APPENDER_MAILBOX_CAPACITY),
        );
        let outcome_timeout = Duration::from_millis(settings.propose_timeout_ms);
        let snapshots = format!("{}{SNAPSHOT_STREAM_SUFFIX}", settings.stream);
        Self {
            incarnation,
            proposer: Proposer::new(appender, outcome_timeout, Arc::clone(&outputs.divergence)),
            clients: Arc::new(ClientPool::new(MAX_ENDPOINT_CONNECTIONS)),
            peers: Peers::new(&settings),
            peer_clients: ClientPool::new(MAX_PEER_CONNECTIONS),
            snapshot_log: LogClient::new(settings.platform, &snapshots),
            has_been_current: AtomicBool::new(false),
            outputs,
            settings,
        }
    }
}

impl Node {
    /// Starts a node and its background threads, which run until shutdown.
    #[must_use]
    pub fn start(settings: NodeSettings, shutdown: &Shutdown) -> (Self, BackgroundThreads) {
        let incarnation = new_incarnation(settings.identity.node.as_str(), &settings.clock);
        let outputs = FoldOutputs::new(FleetState::new());
        let log = LogClient::new(settings.platform, &settings.stream);
        let fold = Fold::new(FleetState::new(), outputs.clone(), incarnation);
        let fold =
            Fold::spawn_in_thread_with_mailbox(fold, mailbox::bounded(FOLD_MAILBOX_CAPACITY));
        let node = Self {
            shared: Arc::new(Shared::new(settings, incarnation, &log, outputs)),
        };
        let mut threads = BackgroundThreads::new(shutdown.clone());
        threads.run("reader", reader::read_log(node.clone(), log, fold.clone()));
        threads.run("observer", observer::observe(node.clone()));
        threads.run("planner", planner::plan(node.clone()));
        threads.run("actions", actions::execute_claims(node.clone()));
        threads.run("tasks", tasks::run_attempts(node.clone()));
        threads.run("membership", exchange_hellos(node.clone()));
        threads.run("catch_up", catch_up(node.clone(), fold));
        threads.run("snapshots", write_snapshots(node.clone()));
        threads.run("upkeep", run_housekeeping(node.clone()));
        threads.run("join", join(node.clone()));
        (node, threads)
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &NodeSettings {
        &self.shared.settings
    }

    /// Returns the time source.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.shared.settings.clock
    }

    /// Returns the incarnation of this node process.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Returns the latest state.
    #[must_use]
    pub fn state(&self) -> Arc<FleetState> {
        self.shared.outputs.published.load()
    }

    /// Returns the published state, for waiting on new offsets.
    #[must_use]
    pub fn published_state(&self) -> &PublishedState {
        &self.shared.outputs.published
    }

    /// Returns the outcome of a declaration by any node.
    #[must_use]
    pub fn operation(&self, id: OperationId) -> OperationOutcome {
        self.shared.outputs.operations.look_up(id, &self.state())
    }

    /// Returns the latest declarations of all nodes, newest first.
    #[must_use]
    pub fn latest_operations(&self, limit: usize) -> Vec<Operation> {
        self.shared.outputs.operations.latest(limit)
    }

    /// Returns the handle for proposing records.
    #[must_use]
    pub fn proposer(&self) -> &Proposer {
        &self.shared.proposer
    }

    /// Returns the HTTP clients for endpoints.
    #[must_use]
    pub fn endpoint_clients(&self) -> &Arc<ClientPool> {
        &self.shared.clients
    }

    /// Returns the table of peers.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.shared.peers
    }

    pub(crate) fn peer_clients(&self) -> &ClientPool {
        &self.shared.peer_clients
    }

    pub(crate) fn recent_entries(&self) -> &RecentEntries {
        &self.shared.outputs.recent_entries
    }

    /// Returns the names of all live nodes including this one, sorted.
    #[must_use]
    pub fn live_nodes(&self) -> Vec<NodeName> {
        self.shared.peers.live_nodes(self.clock().now_ms())
    }

    /// Returns whether the state includes every record up to a few seconds ago.
    ///
    /// This requires that the node has joined, and that either the node or a live peer that is not
    /// ahead of it has recently read the log to its end.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let state = self.state();
        let has_joined = state.writers().get(self.shared.incarnation).is_some();
        has_joined && (self.reads_log() || self.matches_log_reader(state.offset()))
    }

    /// Returns the conditions for the node's readiness.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        let is_current = self.is_current();
        if is_current {
            self.shared.has_been_current.store(true, Ordering::Relaxed);
        }
        let peers = self.peers().live_peers(self.clock().now_ms());
        Readiness {
            is_current,
            has_been_current: self.shared.has_been_current.load(Ordering::Relaxed),
            configured_peers: self.settings().peers.len(),
            live_peers: peers.len(),
            log_reading_peers: peers.iter().filter(|peer| peer.hello.reads_log).count(),
        }
    }

    fn matches_log_reader(&self, offset: u64) -> bool {
        let peers = self.peers().live_peers(self.clock().now_ms());
        peers
            .iter()
            .any(|peer| peer.hello.reads_log && peer.hello.offset <= offset)
    }

    /// Returns whether the state has diverged from that of the peers; such a node proposes nothing.
    #[must_use]
    pub fn has_diverged(&self) -> bool {
        self.shared.outputs.divergence.has_diverged()
    }

    /// Returns whether the node itself has recently read the log to its end.
    pub(crate) fn reads_log(&self) -> bool {
        let read_ms = self.shared.outputs.published.last_read_ms();
        read_ms + MAX_READ_AGE_MS > self.clock().now_ms()
            && self.shared.outputs.published.is_caught_up()
    }

    pub(crate) fn divergence(&self) -> &Divergence {
        &self.shared.outputs.divergence
    }

    pub(crate) fn snapshot_log(&self) -> &LogClient {
        &self.shared.snapshot_log
    }
}

/// Background threads of a node.
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
            Err(error) => error!(event = "duty_not_started", duty = name; "{error}"),
        }
    }

    /// Waits until all threads have ended, which they do on shutdown.
    pub fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                error!(event = "duty_panicked"; "a background thread panicked");
            }
        }
    }
}

/// Proposes this incarnation's join until it is accepted.
async fn join(node: Node) {
    loop {
        let body = RecordBody::Join {
            node: node.settings().identity.node.clone(),
            fold_version: FOLD_VERSION,
        };
        let outcome = node.proposer().propose(body).await;
        let has_joined = node.state().writers().get(node.incarnation()).is_some();
        if outcome.is_ok_and(|outcome| outcome.verdict.is_accepted()) || has_joined {
            info!(event = "joined", incarnation = node.incarnation(); "the node has joined");
            return;
        }
        tokio::time::sleep(Duration::from_millis(node.settings().join_retry_ms)).await;
    }
}
