//! A node: what its duties share, its start and its stop.

use {
    crate::{
        carrier::CarrierDuty,
        clock, feeds, ingress,
        members::{Member, Members},
        owner::{OwnerHandle, OwnerMessage},
        ownership::{OwnerId, OwnershipKind, OwnershipRecord, OwnershipView},
        payloads::Payloads,
        peer_server, ready,
        speed::{self, Speed},
        watcher,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    log::{info, warn},
    lynxwheel_engine::{EngineSettings, FleetConfig, WaveOrder},
    lynxwheel_platform::{PlatformSettings, StoreClient},
    lynxwheel_transport::{Clients, Shutdown},
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

/// Longest lease granted to endpoints, in milliseconds: it outlives an owner's loss and its
/// successor's start by some seconds, and bounds how long the runs of a dead endpoint are missing.
const LEASE_MS: u64 = 6_000;

/// Time for which an ended job is remembered beyond what callers are promised, in milliseconds.
const RETENTION_SLACK_MS: u64 = 30_000;

/// Time for which a stopping node goes on taking connections, in milliseconds: the balancer asks
/// each second and believes the second miss.
const LEAVE_MS: u64 = 2_600;

/// Time that is kept of the grace period for the last answers, in milliseconds.
const LAST_ANSWERS_MS: u64 = 1_200;

/// Time without contact to the store after which a node is not ready, in milliseconds: one poll
/// and its slack.
const OUT_OF_TOUCH_MS: u64 = 1_800;

/// Time without contact to the store after which an owner counts as cut off from it, in
/// milliseconds: the longest wait of a poll, and a little.
const CONTACT_MS: u64 = 750;

/// Time between summing up the samples of the metrics, in milliseconds: the recorder's own default.
const METRICS_UPKEEP_MS: u64 = 5_000;

/// Connections to another node at most.
const PEER_CONNECTIONS: usize = 32;

/// Renders the metrics as text; what renders them is the program's choice.
#[derive(Clone)]
pub struct MetricsPage {
    render: Arc<dyn Fn() -> String + Send + Sync>,
    upkeep: Arc<dyn Fn() + Send + Sync>,
}

impl MetricsPage {
    /// Wraps what renders the metrics, and what sums up their samples now and then, so that they
    /// take no more and more memory while nobody asks.
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

    /// Renders the metrics.
    #[must_use]
    pub fn render(&self) -> String {
        (self.render)()
    }
}

impl fmt::Debug for MetricsPage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MetricsPage")
    }
}

/// What the duties of a node share.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: PlatformSettings,
    /// Life of this process; no two share it.
    pub incarnation: u64,
    /// When this process began, on the steady clock in milliseconds.
    pub begun_ms: u64,
    /// Address at which it takes other nodes' requests.
    pub peer_address: SocketAddr,
    /// Speed of its processor.
    pub speed: Mutex<Speed>,
    /// Store.
    pub store: StoreClient,
    /// Connections to other nodes.
    pub peers: Arc<Clients>,
    /// Active configuration.
    pub config: ArcSwap<FleetConfig>,
    /// When what operators write was read last, on the steady clock in milliseconds.
    pub config_read_ms: AtomicU64,
    /// When others were asked last for a newer configuration, on the steady clock in milliseconds.
    pub config_asked_ms: AtomicU64,
    /// Held while another node's configuration is fetched.
    pub config_fetch: tokio::sync::Mutex<()>,
    /// Orders of maintenance that were read.
    pub waves: Mutex<Vec<WaveOrder>>,
    /// What is known of ownership.
    pub view: tokio::sync::watch::Sender<OwnershipView>,
    /// Nodes that passed requests on to this one lately.
    pub members: Mutex<Members>,
    /// Payloads of jobs that came in here, or that were fetched for calls.
    pub payloads: Payloads,
    /// Calls made here for owners on other nodes.
    pub carrier: CarrierDuty,
    /// Given when nothing listens at the owner's address.
    pub owner_refused: Notify,
    /// Given when the owner did not answer a request as its owner would.
    pub owner_doubted: Notify,
    /// The owner's duties while this node is the owner.
    pub owner: ArcSwapOption<OwnerHandle>,
    /// Epoch that this node is taking over at the moment; 0 for none.
    pub taking_over: AtomicU64,
    /// Epoch under which this process has written; it is never taken up twice.
    pub taken_epoch: AtomicU64,
    /// When the owner answered a request of this node last, on the steady clock in milliseconds.
    pub owner_answered_ms: AtomicU64,
    /// When the store was reached last, on the steady clock in milliseconds.
    pub contact_ms: AtomicU64,
    /// Renders the metrics as text.
    pub metrics: MetricsPage,
    /// Given when the node has to stop.
    pub stopping: Shutdown,
    /// Given when the node takes no connections any more.
    pub closing: Shutdown,
}

impl Node {
    /// Creates a node.
    #[must_use]
    pub fn new(settings: PlatformSettings, metrics: MetricsPage) -> Self {
        let ip: IpAddr = settings
            .ip
            .parse()
            .unwrap_or_else(|_| settings.caller_address.ip());
        Self {
            incarnation: rand::random(),
            begun_ms: clock::steady_ms(),
            speed: Mutex::default(),
            peer_address: SocketAddr::new(ip, settings.peer_ports.0),
            store: StoreClient::new(settings.store_address),
            peers: Arc::new(Clients::new(PEER_CONNECTIONS)),
            config: ArcSwap::default(),
            config_read_ms: AtomicU64::new(0),
            config_asked_ms: AtomicU64::new(0),
            config_fetch: tokio::sync::Mutex::default(),
            waves: Mutex::default(),
            view: tokio::sync::watch::Sender::default(),
            owner: ArcSwapOption::empty(),
            members: Mutex::default(),
            payloads: Payloads::default(),
            carrier: CarrierDuty::default(),
            owner_refused: Notify::new(),
            owner_doubted: Notify::new(),
            metrics,
            taking_over: AtomicU64::new(0),
            taken_epoch: AtomicU64::new(0),
            owner_answered_ms: AtomicU64::new(0),
            contact_ms: AtomicU64::new(0),
            stopping: Shutdown::new(),
            closing: Shutdown::new(),
            settings,
        }
    }

    /// Records that the store was reached.
    pub fn record_contact(&self) {
        self.contact_ms.store(clock::steady_ms(), Ordering::Relaxed);
    }

    /// Records that what operators write was read.
    pub fn record_config_read(&self) {
        let now_ms = clock::steady_ms();
        self.config_read_ms.store(now_ms, Ordering::Relaxed);
    }

    fn has_contact_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.contact_ms.load(Ordering::Relaxed) + age_ms
    }

    /// Records that the owner answered a request of this node.
    pub fn record_owner_answer(&self) {
        self.owner_answered_ms
            .store(clock::steady_ms(), Ordering::Relaxed);
    }

    /// Tells whether the owner answered within the last `age_ms`.
    #[must_use]
    pub fn has_owner_answered_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.owner_answered_ms.load(Ordering::Relaxed) + age_ms
    }

    /// Tells whether the store was reached within one poll.
    #[must_use]
    pub fn is_in_contact(&self, now_ms: u64) -> bool {
        self.has_contact_within(now_ms, CONTACT_MS)
    }

    /// Returns the highest epoch heard of, and the owner if there is one.
    #[must_use]
    pub fn known_owner(&self) -> (u64, Option<OwnerId>) {
        let view = self.view.borrow();
        (view.epoch, view.owner)
    }

    fn note_speed(&self, took: Duration) {
        let mut speed = self.speed.lock().unwrap_or_else(PoisonError::into_inner);
        speed.note(took);
    }

    /// Returns the processor that the node has at the moment, in thousandths of a core.
    #[must_use]
    pub fn cpu_millis(&self) -> u32 {
        let speed = self.speed.lock().unwrap_or_else(PoisonError::into_inner);
        speed.left_of(self.settings.cpu_millis)
    }

    /// Returns what this node says of itself to others.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            address: self.peer_address,
            zone: self.settings.zone.clone(),
            cpu_millis: self.cpu_millis(),
            link_mbps: self.settings.link_mbps,
        }
    }

    /// Records a node that passed a request on to this one.
    pub fn record_member(&self, member: Member) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.note(member, clock::steady_ms());
    }

    /// Returns the other nodes that count as there.
    #[must_use]
    pub fn present_members(&self, now_ms: u64) -> Vec<Member> {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.present(now_ms)
    }

    /// Returns a record of this node for the ownership log.
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

    /// Tells whether callers are served here: with a configuration, not stopping, and in touch with
    /// the store.
    ///
    /// A node that is cut off alone can neither follow the owner nor learn of another, and every
    /// caller it takes is lost. When the store is away for everybody no node is ready, and the
    /// balancer then uses all of them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.load().version > 0
            && !self.stopping.has_begun()
            && self.has_contact_within(clock::steady_ms(), OUT_OF_TOUCH_MS)
    }

    /// Returns the bounds for the engine.
    #[must_use]
    pub fn engine_settings(&self) -> EngineSettings {
        let bounds = &self.settings.bounds;
        EngineSettings {
            lease_ms: bounds.max_lease_ms.min(LEASE_MS),
            retention_ms: bounds.retention_ms + RETENTION_SLACK_MS,
            maintenance_ms: bounds.maintenance_ms,
            vm_holder_ms: bounds.vm_lease_ms,
            vm_orders_per_s: self.settings.vm_orders_per_s,
        }
    }

    /// Records that nothing listens at the address of the owner of an epoch.
    pub fn record_owner_refused(&self, epoch: u64) {
        let now_ms = clock::steady_ms();
        self.view
            .send_modify(|view| view.note_refused(epoch, now_ms));
        self.owner_refused.notify_one();
    }

    /// Activates a configuration, unless it is older than the active one.
    pub fn put_config(&self, config: FleetConfig) {
        if config.version <= self.config.load().version {
            return;
        }
        info!(
            event = "config", version = config.version, queues = config.queues.len(),
            pools = config.pools.len(), accounts = config.accounts.len();
            ""
        );
        for shared in config.accounts.shared_keys() {
            warn!(
                event = "key_shared", version = config.version, key:% = shared.key,
                account = shared.holder.as_str(), passed_over = shared.passed_over.as_str();
                ""
            );
        }
        let config = Arc::new(config);
        self.config.store(Arc::clone(&config));
        if let Some(owner) = self.owner.load_full() {
            owner.offer(OwnerMessage::event(lynxwheel_engine::Event::Config(config)));
        }
    }

    /// Records an order of maintenance.
    pub fn put_wave(&self, order: WaveOrder) {
        info!(
            event = "wave_order", wave = order.wave, vms = order.vms.len(),
            duration_s = order.duration_s, max_count = order.max_count;
            ""
        );
        let mut waves = self.waves.lock().unwrap_or_else(PoisonError::into_inner);
        match waves.binary_search_by_key(&order.wave, |known| known.wave) {
            Ok(place) => waves[place] = order.clone(),
            Err(place) => waves.insert(place, order.clone()),
        }
        drop(waves);
        if let Some(owner) = self.owner.load_full() {
            owner.offer(OwnerMessage::event(lynxwheel_engine::Event::Wave(order)));
        }
    }
}

/// Runs a node until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound or signals cannot be received.
pub async fn run(settings: PlatformSettings, metrics: MetricsPage) -> io::Result<()> {
    // First, so that a signal that comes while the node starts stops it gracefully, too.
    let signals = Signals::new()?;
    let node = Arc::new(Node::new(settings, metrics));
    info!(
        event = "start", node = node.settings.node_name.as_str(), zone = node.settings.zone.as_str(),
        incarnation = node.incarnation;
        ""
    );
    let callers = ingress::bind(&node).await?;
    let peers = peer_server::bind(&node).await?;
    let ready = ready::bind(&node).await?;
    tokio::spawn(feeds::follow_operator(Arc::clone(&node)));
    tokio::spawn(watcher::watch(Arc::clone(&node)));
    tokio::spawn(sum_up_metrics(node.metrics.clone()));
    tokio::spawn(measure_speed(Arc::clone(&node)));
    let callers = tokio::spawn(ingress::serve(Arc::clone(&node), callers));
    tokio::spawn(peer_server::serve(Arc::clone(&node), peers));
    tokio::spawn(ready::serve(Arc::clone(&node), ready));
    signals.wait_for_stop().await;
    stop(&node).await;
    let rest_ms = node
        .settings
        .bounds
        .grace_ms
        .saturating_sub(LEAVE_MS + LAST_ANSWERS_MS);
    let ended = tokio::time::timeout(Duration::from_millis(rest_ms), callers).await;
    info!(event = "stop", is_complete = ended.is_ok(), at_ms = clock::wall_ms(); "");
    Ok(())
}

/// Measures the processor's speed, and tells when the node turns slow or recovers.
async fn measure_speed(node: Arc<Node>) {
    let nominal_millis = node.settings.cpu_millis;
    let mut was_slowed = false;
    loop {
        let took = speed::measure();
        node.note_speed(took);
        let cpu_millis = node.cpu_millis();
        let is_slowed = cpu_millis < nominal_millis;
        if is_slowed != was_slowed {
            was_slowed = is_slowed;
            info!(event = "speed", cpu_millis = cpu_millis, nominal_millis = nominal_millis; "");
        }
        tokio::time::sleep(Duration::from_millis(speed::MEASURE_EVERY_MS)).await;
    }
}

async fn sum_up_metrics(metrics: MetricsPage) {
    loop {
        tokio::time::sleep(Duration::from_millis(METRICS_UPKEEP_MS)).await;
        (metrics.upkeep)();
    }
}

/// Signals that concern a node.
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
                // The settings of a process are fixed for its life: addresses and bounds.
                _ = self.hangup.recv() => {
                    info!(event = "reload", outcome = "nothing to take over"; "");
                }
            }
        }
    }
}

async fn stop(node: &Node) {
    info!(event = "stopping"; "");
    node.stopping.begin();
    if let Some(owner) = node.owner.load_full() {
        owner.offer(OwnerMessage::Release);
    }
    tokio::time::sleep(Duration::from_millis(LEAVE_MS)).await;
    node.closing.begin();
}
