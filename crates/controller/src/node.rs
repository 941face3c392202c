//! Node state shared by all tasks, startup and graceful shutdown.

use {
    crate::{
        clock,
        delegate_worker::DelegateWorker,
        feeds, ingress,
        members::{Member, Members},
        owner::{OwnerHandle, OwnerMessage},
        ownership::{OwnerInfo, OwnershipKind, OwnershipRecord, OwnershipView},
        payloads::PayloadCache,
        peer_server,
        polling::{MIN_POLL_WAIT_MS, OwnerContact, max_poll_wait_ms},
        ready,
        speed::{self, CpuSpeed},
        suspension::{OBSERVATION_INTERVAL_MS, Suspension},
        watcher,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    log::{info, warn},
    lynxwheel_engine::{EngineSettings, FleetConfig, WaveOrder},
    lynxwheel_platform::{PlatformSettings, StoreClient},
    lynxwheel_transport::{ClientPool, Shutdown},
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::Notify,
    },
};

/// Maximum endpoint lease, in milliseconds. Outlasts an owner failure and the following takeover by
/// several seconds, and bounds how long runs on a dead endpoint go unnoticed.
const MAX_LEASE_MS: u64 = 6_000;

/// Retention of ended jobs beyond the promised period, in milliseconds.
const RETENTION_SLACK_MS: u64 = 30_000;

/// Time for which a stopping node keeps accepting connections, in milliseconds. The load balancer
/// checks readiness every second and removes a node after two failed checks.
const CONNECTION_DRAIN_MS: u64 = 2_600;

/// Part of the shutdown grace period reserved for final responses, in milliseconds.
const FINAL_RESPONSES_MS: u64 = 1_200;

/// Time without store contact beyond one poll after which a node reports that it is not ready, in
/// milliseconds.
const READY_POLL_SLACK_MS: u64 = 1_100;

/// Time without store contact after which an owner counts as disconnected from the store, in
/// milliseconds: the maximum poll wait plus slack.
const OWNER_CONTACT_MS: u64 = 750;

/// Interval of the metrics upkeep, in milliseconds; the same as the exporter's default.
const METRICS_UPKEEP_INTERVAL_MS: u64 = 5_000;

/// Maximum number of connections to each peer.
const MAX_PEER_CONNECTIONS: usize = 32;

/// Handle to the process's metrics exporter.
#[derive(Clone)]
pub struct MetricsHandle {
    render: Arc<dyn Fn() -> String + Send + Sync>,
    upkeep: Arc<dyn Fn() + Send + Sync>,
}

impl MetricsHandle {
    /// Creates a handle from a function that renders the metrics and one that drains histogram
    /// samples, which would otherwise accumulate while the metrics are not scraped.
    #[must_use]
    pub fn new(
        render: impl Fn() -> String + Send + Sync + 'static,
        upkeep: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            render: Arc::new(render),
            upkeep: Arc::new(upkeep),
        }
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        (self.render)()
    }
}

impl fmt::Debug for MetricsHandle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MetricsHandle")
    }
}

/// State shared by the tasks of a node.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: PlatformSettings,
    /// Random identifier of this process's lifetime.
    pub incarnation: u64,
    /// Monotonic start time of the process, in milliseconds.
    pub started_ms: u64,
    /// Address at which peers reach this node.
    pub peer_address: SocketAddr,
    /// Measured CPU speed.
    pub cpu_speed: Mutex<CpuSpeed>,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// HTTP clients for peers.
    pub peers: Arc<ClientPool>,
    /// Active configuration.
    pub config: ArcSwap<FleetConfig>,
    /// Monotonic time of the last read of the operator topic, in milliseconds.
    pub config_read_ms: AtomicU64,
    /// Monotonic time of the last request for a newer configuration, in milliseconds.
    pub config_requested_ms: AtomicU64,
    /// Serializes configuration fetches from peers.
    pub config_fetch: tokio::sync::Mutex<()>,
    /// Maintenance orders read from the operator topic, sorted by wave.
    pub wave_orders: Mutex<Vec<WaveOrder>>,
    /// State replayed from the ownership log.
    pub ownership: tokio::sync::watch::Sender<OwnershipView>,
    /// Nodes that recently forwarded requests to this one.
    pub members: Mutex<Members>,
    /// Payloads of jobs submitted here or fetched for delegated calls.
    pub payloads: PayloadCache,
    /// Executes endpoint calls for owners on other nodes.
    pub delegate_worker: DelegateWorker,
    /// Notified when the owner's address refuses a connection.
    pub owner_refused: Notify,
    /// Notified when a forwarded request fails or reaches a node that is not the owner.
    pub owner_suspected: Notify,
    /// Handle of the owner actor while this node is the owner.
    pub owner: ArcSwapOption<OwnerHandle>,
    /// Epoch of the takeover in progress; 0 for none.
    pub takeover_epoch: AtomicU64,
    /// Last epoch for which this process ran an owner actor; it never runs a second one for the
    /// same epoch.
    pub last_owned_epoch: AtomicU64,
    /// Monotonic time of the owner's last response to this node, in milliseconds.
    pub last_owner_response_ms: AtomicU64,
    /// Monotonic time of the last sign that the owner may have been replaced, in milliseconds.
    pub last_owner_doubt_ms: AtomicU64,
    /// Notified when this node becomes the owner.
    pub became_owner: Notify,
    /// Monotonic time of the last successful store access, in milliseconds.
    pub last_store_contact_ms: AtomicU64,
    /// Monotonic time of the last failed store access, in milliseconds.
    pub last_store_failure_ms: AtomicU64,
    /// Handle to the metrics exporter.
    pub metrics: MetricsHandle,
    /// Start of the last successful read of the ownership log, on the monotonic clock, in milliseconds.
    pub ownership_read_ms: AtomicU64,
    /// Detects suspensions of this process.
    pub suspension: Arc<Suspension>,
    /// Triggered when graceful shutdown begins.
    pub stopping: Shutdown,
    /// Triggered when the node stops accepting connections.
    pub closing: Shutdown,
}

impl Node {
    /// Creates a node that has not contacted the store yet.
    #[must_use]
    pub fn new(settings: PlatformSettings, metrics: MetricsHandle) -> Self {
        let ip: IpAddr = settings
            .ip
            .parse()
            .unwrap_or_else(|_| settings.caller_address.ip());
        Self {
            incarnation: rand::random(),
            started_ms: clock::steady_ms(),
            cpu_speed: Mutex::default(),
            peer_address: SocketAddr::new(ip, settings.peer_ports.0),
            store: StoreClient::new(settings.store_address),
            peers: Arc::new(ClientPool::new(MAX_PEER_CONNECTIONS)),
            config: ArcSwap::default(),
            config_read_ms: AtomicU64::new(0),
            config_requested_ms: AtomicU64::new(0),
            config_fetch: tokio::sync::Mutex::default(),
            wave_orders: Mutex::default(),
            ownership: tokio::sync::watch::Sender::default(),
            owner: ArcSwapOption::empty(),
            members: Mutex::default(),
            payloads: PayloadCache::default(),
            delegate_worker: DelegateWorker::default(),
            owner_refused: Notify::new(),
            owner_suspected: Notify::new(),
            metrics,
            takeover_epoch: AtomicU64::new(0),
            last_owned_epoch: AtomicU64::new(0),
            last_owner_response_ms: AtomicU64::new(0),
            last_owner_doubt_ms: AtomicU64::new(0),
            became_owner: Notify::new(),
            last_store_contact_ms: AtomicU64::new(0),
            last_store_failure_ms: AtomicU64::new(0),
            ownership_read_ms: AtomicU64::new(0),
            suspension: Arc::new(Suspension::new(clock::steady_ms())),
            stopping: Shutdown::new(),
            closing: Shutdown::new(),
            settings,
        }
    }

    /// Records a successful store access.
    pub fn record_store_contact(&self) {
        self.last_store_contact_ms
            .store(clock::steady_ms(), Ordering::Relaxed);
    }

    /// Records a failed store access.
    pub fn record_store_failure(&self) {
        self.last_store_failure_ms
            .store(clock::steady_ms(), Ordering::Relaxed);
    }

    /// Records a successful read of the operator topic.
    pub fn record_config_read(&self) {
        let now_ms = clock::steady_ms();
        self.config_read_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the maximum wait of a poll of this node, in milliseconds.
    #[must_use]
    pub fn max_poll_wait_ms(&self) -> u64 {
        if self.owner.load().is_some() {
            return MIN_POLL_WAIT_MS;
        }
        max_poll_wait_ms(&self.settings.bounds)
    }

    /// Records that the owner may have been replaced, and ends the pause before the next read of the
    /// ownership log.
    pub fn record_owner_doubt(&self) {
        self.last_owner_doubt_ms
            .store(clock::steady_ms(), Ordering::Relaxed);
        self.owner_suspected.notify_one();
    }

    /// Returns whether the owner may have been replaced, as far as this node knows from its own
    /// requests.
    #[must_use]
    pub fn is_owner_in_doubt(&self) -> bool {
        let contact = OwnerContact {
            responded_ms: self.last_owner_response_ms.load(Ordering::Relaxed),
            doubted_ms: self.last_owner_doubt_ms.load(Ordering::Relaxed),
        };
        contact.is_in_doubt(clock::steady_ms())
    }

    /// Returns whether the store was reached recently. Between two polls, the last one counts.
    fn has_store_contact(&self, now_ms: u64) -> bool {
        let contact_ms = self.last_store_contact_ms.load(Ordering::Relaxed);
        let failed_ms = self.last_store_failure_ms.load(Ordering::Relaxed);
        let poll_wait_ms = if failed_ms > contact_ms {
            MIN_POLL_WAIT_MS
        } else {
            self.max_poll_wait_ms()
        };
        self.was_store_reached_within(now_ms, poll_wait_ms + READY_POLL_SLACK_MS)
    }

    fn was_store_reached_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.last_store_contact_ms.load(Ordering::Relaxed) + age_ms
    }

    /// Records that the owner responded to a request of this node.
    pub fn record_owner_response(&self) {
        self.last_owner_response_ms
            .store(clock::steady_ms(), Ordering::Relaxed);
    }

    /// Returns whether the owner responded within the last `age_ms`.
    #[must_use]
    pub fn has_owner_responded_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.last_owner_response_ms.load(Ordering::Relaxed) + age_ms
    }

    /// Returns whether the store was reached within the last poll.
    #[must_use]
    pub fn is_store_reachable(&self, now_ms: u64) -> bool {
        self.was_store_reached_within(now_ms, OWNER_CONTACT_MS)
    }

    /// Returns the highest known epoch and the owner, if any.
    #[must_use]
    pub fn known_owner(&self) -> (u64, Option<OwnerInfo>) {
        let view = self.ownership.borrow();
        (view.epoch, view.owner)
    }

    /// Returns whether the ownership log was read since this process last continued after a
    /// suspension, so that the known owner is a recent one.
    #[must_use]
    pub fn is_owner_known(&self, now_ms: u64) -> bool {
        let read_ms = self.ownership_read_ms.load(Ordering::Relaxed);
        self.suspension.has_run_since(read_ms, now_ms)
    }

    fn record_benchmark(&self, elapsed: Duration) {
        let mut speed = self
            .cpu_speed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        speed.record(elapsed);
    }

    /// Returns the effective CPU capacity, in thousandths of a core.
    #[must_use]
    pub fn cpu_millis(&self) -> u32 {
        let speed = self
            .cpu_speed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        speed.effective_cpu_millis(self.settings.cpu_millis)
    }

    /// Describes this node to peers.
    #[must_use]
    pub fn as_member(&self) -> Member {
        Member {
            address: self.peer_address,
            zone: self.settings.zone.clone(),
            cpu_millis: self.cpu_millis(),
            link_mbps: self.settings.link_mbps,
        }
    }

    /// Records a node that forwarded a request to this one.
    pub fn record_member(&self, member: Member) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.record(member, clock::steady_ms());
    }

    /// Returns the other nodes that count as live.
    #[must_use]
    pub fn live_members(&self, now_ms: u64) -> Vec<Member> {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.live(now_ms)
    }

    /// Creates an ownership log record written by this node.
    #[must_use]
    pub fn ownership_record(&self, kind: OwnershipKind, epoch: u64) -> OwnershipRecord {
        OwnershipRecord {
            kind,
            epoch,
            incarnation: self.incarnation,
            address: self.peer_address,
            cpu_millis: self.cpu_millis(),
            stored_end: 0,
        }
    }

    /// Returns whether callers can be served: a configuration is active, the node is not stopping,
    /// and the store was reached recently.
    ///
    /// A node that is cut off from the store can neither follow the owner nor discover a new one.
    /// When the store is down for all nodes, none is ready and the balancer falls back to using all
    /// of them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.load().version > 0
            && !self.stopping.has_begun()
            && self.has_store_contact(clock::steady_ms())
    }

    /// Derives the engine's settings from the platform's limits.
    #[must_use]
    pub fn engine_settings(&self) -> EngineSettings {
        let bounds = &self.settings.bounds;
        EngineSettings {
            lease_ms: bounds.max_lease_ms.min(MAX_LEASE_MS),
            max_lease_ms: bounds.max_lease_ms,
            retention_ms: bounds.retention_ms + RETENTION_SLACK_MS,
            maintenance_ms: bounds.maintenance_ms,
            vm_lease_ms: bounds.vm_lease_ms,
            vm_orders_per_s: self.settings.vm_orders_per_s,
        }
    }

    /// Records that the address of the owner of `epoch` refused a connection.
    pub fn record_owner_refused(&self, epoch: u64) {
        let now_ms = clock::steady_ms();
        self.ownership
            .send_modify(|view| view.record_refused_connection(epoch, now_ms));
        self.owner_refused.notify_one();
    }

    /// Activates a configuration if it is newer than the active one.
    pub fn activate_config(&self, config: FleetConfig) {
        if config.version <= self.config.load().version {
            return;
        }
        info!(
            event = "config", version = config.version, queues = config.queues.len(),
            pools = config.pools.len(), accounts = config.accounts.len();
            "configuration activated"
        );
        for shared in config.accounts.shared_keys() {
            warn!(
                event = "key_shared", version = config.version, key:% = shared.key,
                account = shared.holder.as_str(), passed_over = shared.ignored_account.as_str();
                "API key belongs to several accounts"
            );
        }
        let config = Arc::new(config);
        self.config.store(Arc::clone(&config));
        if let Some(owner) = self.owner.load_full() {
            owner.try_send(OwnerMessage::event(lynxwheel_engine::Event::ConfigChanged(
                config,
            )));
        }
    }

    /// Stores a maintenance order and passes it to the owner actor, if there is one.
    pub fn record_wave_order(&self, order: WaveOrder) {
        info!(
            event = "wave_order", wave = order.wave, vms = order.vms.len(),
            duration_s = order.duration_s, max_count = order.max_count;
            "maintenance order received"
        );
        let mut waves = self
            .wave_orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match waves.binary_search_by_key(&order.wave, |other| other.wave) {
            Ok(index) => waves[index] = order.clone(),
            Err(index) => waves.insert(index, order.clone()),
        }
        drop(waves);
        if let Some(owner) = self.owner.load_full() {
            owner.try_send(OwnerMessage::event(lynxwheel_engine::Event::WaveOrdered(
                order,
            )));
        }
    }
}

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound or a signal handler cannot be installed.
pub async fn run(settings: PlatformSettings, metrics: MetricsHandle) -> io::Result<()> {
    // Installed first, so that a signal during startup shuts the node down gracefully, too.
    let signals = Signals::new()?;
    let node = Arc::new(Node::new(settings, metrics));
    info!(
        event = "start", node = node.settings.node_name.as_str(),
        zone = node.settings.zone.as_str(), incarnation = node.incarnation;
        "node started"
    );
    let callers = ingress::bind(&node).await?;
    let peers = peer_server::bind(&node).await?;
    let ready = ready::bind(&node).await?;
    tokio::spawn(feeds::follow_operator_topic(Arc::clone(&node)));
    tokio::spawn(watcher::watch(Arc::clone(&node)));
    tokio::spawn(run_metrics_upkeep(node.metrics.clone()));
    tokio::spawn(monitor_cpu_speed(Arc::clone(&node)));
    tokio::spawn(observe_suspensions(Arc::clone(&node.suspension)));
    let callers = tokio::spawn(ingress::serve(Arc::clone(&node), callers));
    tokio::spawn(peer_server::serve(Arc::clone(&node), peers));
    tokio::spawn(ready::serve(Arc::clone(&node), ready));
    signals.wait_for_stop().await;
    begin_shutdown(&node).await;
    let remaining_ms = node
        .settings
        .bounds
        .grace_ms
        .saturating_sub(CONNECTION_DRAIN_MS + FINAL_RESPONSES_MS);
    let drained = tokio::time::timeout(Duration::from_millis(remaining_ms), callers).await;
    info!(event = "stop", is_complete = drained.is_ok(), at_ms = clock::wall_ms(); "node stopped");
    Ok(())
}

/// Measures the CPU speed periodically and logs when the node slows down or recovers.
async fn monitor_cpu_speed(node: Arc<Node>) {
    let nominal_millis = node.settings.cpu_millis;
    let mut was_slowed = false;
    loop {
        let elapsed = speed::run_benchmark();
        node.record_benchmark(elapsed);
        let cpu_millis = node.cpu_millis();
        let is_slowed = cpu_millis < nominal_millis;
        if is_slowed != was_slowed {
            was_slowed = is_slowed;
            info!(
                event = "speed", cpu_millis = cpu_millis, nominal_millis = nominal_millis;
                "CPU speed changed"
            );
        }
        tokio::time::sleep(Duration::from_millis(speed::MEASUREMENT_INTERVAL_MS)).await;
    }
}

async fn observe_suspensions(suspension: Arc<Suspension>) {
    loop {
        suspension.observe(clock::steady_ms());
        tokio::time::sleep(Duration::from_millis(OBSERVATION_INTERVAL_MS)).await;
    }
}

async fn run_metrics_upkeep(metrics: MetricsHandle) {
    loop {
        tokio::time::sleep(Duration::from_millis(METRICS_UPKEEP_INTERVAL_MS)).await;
        (metrics.upkeep)();
    }
}

/// Signals handled by a node.
struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn wait_for_stop(mut self) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.interrupt.recv() => return,
                // Settings are fixed for the lifetime of the process.
                _ = self.hangup.recv() => {
                    info!(
                        event = "reload", outcome = "nothing to take over";
                        "SIGHUP ignored: settings cannot be reloaded"
                    );
                }
            }
        }
    }
}

async fn begin_shutdown(node: &Node) {
    info!(event = "stopping"; "graceful shutdown started");
    node.stopping.begin();
    if let Some(owner) = node.owner.load_full() {
        owner.try_send(OwnerMessage::Release);
    }
    tokio::time::sleep(Duration::from_millis(CONNECTION_DRAIN_MS)).await;
    node.closing.begin();
}
