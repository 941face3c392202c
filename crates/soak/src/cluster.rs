//! The nodes of one run and the stand-ins around them, with the injection of faults.

use {
    crate::{
        accounts::Accounts,
        checker::Checker,
        faults::{Fault, LinkId, PlannedFault},
        nodes::NodeProcess,
        proxy::{LinkFault, Proxy},
        run::SoakPlan,
    },
    lynxwheel_controller::{OWNERSHIP_TOPIC, OwnershipRecord},
    lynxwheel_platform_standin::{
        AccountSpec, EndpointFault, EndpointSpec, EndpointStandIn, NodeLimits, NodeSettings,
        Observer, QueueSpec, Reach, StoreFault, StoreStandIn, VmServiceStandIn, put_config,
        put_wave, trim_operator_topics,
    },
    nix::sys::signal::Signal,
    std::{
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        process,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// CPU capacity of every endpoint, in thousandths of a core.
pub const ENDPOINT_CPU_MILLIS: u64 = 6_000;

/// Maximum number of VMs of a wave that may be down at the same time.
pub const MAX_VMS_DOWN: usize = 2;

/// Names of the pools; the VMs of the last one are switched off.
const POOLS: [&str; 3] = ["alpha", "beta", "spare"];

/// Number of VMs in each pool at the start.
const VMS_PER_POOL: usize = 3;

/// CPU capacity of all endpoints, and of those outside the standby pool, in thousandths of a core.
pub const TOTAL_CPU_MILLIS: u64 = ENDPOINT_CPU_MILLIS * (POOLS.len() * VMS_PER_POOL) as u64;
pub const QUEUES_CPU_MILLIS: u64 = ENDPOINT_CPU_MILLIS * ((POOLS.len() - 1) * VMS_PER_POOL) as u64;

/// Time within which the maintenance of a wave has to be done, in seconds.
const WAVE_DURATION_S: u64 = 8;

/// Ports of every node for callers, readiness checks and peers; each node has its own address.
const PORTS: (u16, u16, u16) = (7_801, 7_802, 7_803);

/// Share of a processor with which an owner can call two endpoints, and a delegate four.
const SMALL_NODE_CPU_SHARE: f64 = 0.012;

/// Maximum time for a node to exit after SIGTERM, in milliseconds: a little over its grace period.
pub const SHUTDOWN_MS: u64 = 7_000;

/// Nodes, stand-ins of the platform and the proxies between them.
pub struct Cluster {
    pub store: StoreStandIn,
    pub endpoints: Vec<EndpointStandIn>,
    pub nodes: Vec<NodeProcess>,
    node_ips: Vec<IpAddr>,
    /// Addresses of the proxies through which callers reach the nodes.
    pub caller_addresses: Vec<SocketAddr>,
    store_links: Vec<Proxy>,
    caller_links: Vec<Proxy>,
    endpoint_links: Vec<Proxy>,
    config_version: AtomicU64,
    accounts: Arc<Accounts>,
    checker: Arc<Checker>,
    last_wave: AtomicU64,
}

/// Returns a loopback address for a node that differs from those of other runs on this machine.
fn node_ip(run: u32, node: usize) -> IpAddr {
    let id = process::id();
    let octet = |value: u32| u8::try_from(value % 250).unwrap_or_default();
    IpAddr::V4(Ipv4Addr::new(
        127,
        16 + octet(id % 125),
        octet(id / 125),
        1 + octet(run * 16 + u32::try_from(node).unwrap_or_default()),
    ))
}

/// Returns the share of a processor in the settings of a node.
fn cpu_share(plan: &SoakPlan, number: usize) -> f64 {
    match number {
        _ if plan.has_small_nodes => SMALL_NODE_CPU_SHARE,
        // Small enough that larger nodes replace it as the owner.
        0 => 0.1,
        _ => 0.5,
    }
}

/// Returns the times that nodes have for a new configuration and until bounds hold for them after a
/// disturbance, in milliseconds.
fn times_ms(plan: &SoakPlan) -> (u64, u64) {
    if plan.has_long_polls {
        (5_000, 6_000)
    } else {
        (2_000, 3_000)
    }
}

/// Returns the queues, which are the same in every run.
pub fn queues() -> Vec<QueueSpec> {
    POOLS[..2]
        .iter()
        .zip([2, 3])
        .map(|(pool, max_attempts)| QueueSpec {
            path_prefix: format!("/{pool}/"),
            pool: (*pool).into(),
            max_attempts,
        })
        .collect()
}

impl Cluster {
    /// Starts stand-ins, proxies and nodes with the first configuration.
    pub async fn start(plan: &SoakPlan, checker: &Arc<Checker>) -> io::Result<Self> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let observer: Observer = {
            let checker = Arc::clone(checker);
            Arc::new(move |observation| checker.observe(observation))
        };
        let store = StoreStandIn::start().await?;
        let mut endpoints = Vec::new();
        let mut endpoint_links = Vec::new();
        for number in 0..POOLS.len() * VMS_PER_POOL {
            let spec = EndpointSpec {
                vm: format!("vm{number}").into(),
                pool: POOLS[number / VMS_PER_POOL].into(),
                cpu_millis: ENDPOINT_CPU_MILLIS,
                keeps_id: plan.has_kept_ids,
            };
            let endpoint =
                EndpointStandIn::start(spec, store.clone(), Arc::clone(&observer)).await?;
            let link = if plan.has_kept_ids {
                Proxy::start_following(endpoint.address(), endpoint.running_incarnation())?
            } else {
                Proxy::start(endpoint.address()).await?
            };
            endpoint.advertise(link.address());
            endpoint.start_incarnation();
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let vms = VmServiceStandIn::start(&endpoints, observer).await?;
        let mut cluster = Self {
            store,
            endpoints,
            nodes: Vec::new(),
            node_ips: Vec::new(),
            caller_addresses: Vec::new(),
            store_links: Vec::new(),
            caller_links: Vec::new(),
            endpoint_links,
            config_version: AtomicU64::new(0),
            accounts: Arc::default(),
            checker: Arc::clone(checker),
            last_wave: AtomicU64::new(0),
        };
        cluster.apply_config(&cluster.accounts.next_round());
        for number in 0..plan.nodes {
            let ip = node_ip(run, number);
            cluster.add_node(plan, number, ip, vms.address()).await?;
        }
        Ok(cluster)
    }

    /// Returns the generator of the accounts.
    pub fn accounts(&self) -> Arc<Accounts> {
        Arc::clone(&self.accounts)
    }

    async fn add_node(
        &mut self,
        plan: &SoakPlan,
        number: usize,
        ip: IpAddr,
        vms: SocketAddr,
    ) -> io::Result<()> {
        let store_link = Proxy::start(self.store.address()).await?;
        let (config_apply_ms, contact_ms) = times_ms(plan);
        let settings = NodeSettings {
            name: format!("node{number}"),
            ip,
            ports: PORTS,
            store: store_link.address(),
            vms,
            cpu_share: cpu_share(plan, number),
            config_apply_ms,
            contact_ms,
            limits: NodeLimits::default(),
        };
        let node = NodeProcess::new(&plan.program, &plan.directory, &settings)?;
        node.start()?;
        let caller_link = Proxy::start(SocketAddr::new(ip, PORTS.0)).await?;
        self.caller_addresses.push(caller_link.address());
        self.caller_links.push(caller_link);
        self.store_links.push(store_link);
        self.nodes.push(node);
        self.node_ips.push(ip);
        Ok(())
    }

    /// Writes a configuration with `accounts` to the store.
    fn apply_config(&self, accounts: &[AccountSpec]) {
        let config_version = self.config_version.fetch_add(3, Ordering::Relaxed) + 3;
        put_config(&self.store, config_version, &queues(), &POOLS, accounts);
    }

    /// Orders maintenance of every second VM.
    fn order_maintenance(&self) {
        let wave = self.last_wave.fetch_add(1, Ordering::Relaxed) + 1;
        let vms: Vec<&str> = self
            .endpoints
            .iter()
            .step_by(2)
            .map(|endpoint| endpoint.spec().vm.as_str())
            .collect();
        put_wave(&self.store, wave, &vms, WAVE_DURATION_S, MAX_VMS_DOWN);
    }

    fn link(&self, id: LinkId) -> &Proxy {
        match id {
            LinkId::Store(node) => &self.store_links[node],
            LinkId::Callers(node) => &self.caller_links[node],
            LinkId::Endpoint(endpoint) => &self.endpoint_links[endpoint],
        }
    }

    /// Starts a fault at its time and ends it after its duration.
    pub async fn inject(&self, planned: PlannedFault) {
        sleep(Duration::from_millis(planned.start_ms)).await;
        self.start_fault(planned.fault);
        sleep(Duration::from_millis(planned.duration_ms)).await;
        self.end_fault(planned.fault).await;
    }

    /// Starts a fault.
    pub fn start_fault(&self, fault: Fault) {
        self.checker.begin_fault(fault);
        match fault {
            Fault::KillNode(node) => self.nodes[node].signal(Signal::SIGKILL),
            Fault::KillAll => self.nodes.iter().for_each(|n| n.signal(Signal::SIGKILL)),
            Fault::KillOwner => self.kill_owner(),
            Fault::CutOffOwner(endpoints) => self.cut_off_owner(endpoints),
            Fault::PauseNode(node) => self.nodes[node].signal(Signal::SIGSTOP),
            Fault::StopNode(node) => self.nodes[node].signal(Signal::SIGTERM),
            Fault::ReloadSettings(node) => self.nodes[node].signal(Signal::SIGHUP),
            Fault::Store(fault) => self.store.set_fault(fault),
            Fault::TrimTopics => {
                trim_operator_topics(&self.store);
            }
            Fault::Link(id, fault) => self.link(id).set_fault(fault),
            Fault::Endpoint(endpoint, fault) => self.endpoints[endpoint].set_fault(fault),
            Fault::Overload(endpoint, overload) => {
                self.endpoints[endpoint].set_overload(Some(overload));
            }
            Fault::EndIncarnation(endpoint) => self.endpoints[endpoint].end_incarnation(),
            Fault::Drain(endpoint) => self.endpoints[endpoint].drain(),
            Fault::ChangeCapacity(endpoint, cpu_millis) => {
                self.endpoints[endpoint].set_cpu_millis(cpu_millis);
            }
            Fault::ChangeConfig => self.apply_config(&self.accounts.next_round()),
            Fault::OrderMaintenance => self.order_maintenance(),
        }
    }

    /// Ends a fault.
    pub async fn end_fault(&self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => self.restart(node),
            Fault::KillAll | Fault::KillOwner => {
                (0..self.nodes.len()).for_each(|node| self.restart(node));
            }
            Fault::CutOffOwner(_) => self.end_partition(),
            Fault::PauseNode(node) => self.nodes[node].signal(Signal::SIGCONT),
            Fault::StopNode(node) => {
                sleep(Duration::from_millis(SHUTDOWN_MS)).await;
                self.restart(node);
            }
            Fault::Store(_) => self.store.set_fault(StoreFault::None),
            Fault::Link(id, _) => self.link(id).set_fault(LinkFault::None),
            Fault::Endpoint(endpoint, _) => {
                self.endpoints[endpoint].set_fault(EndpointFault::None);
            }
            Fault::Overload(endpoint, _) => self.endpoints[endpoint].set_overload(None),
            Fault::EndIncarnation(endpoint) => self.endpoints[endpoint].start_incarnation(),
            Fault::Drain(endpoint) => {
                self.endpoints[endpoint].end_incarnation();
                self.endpoints[endpoint].start_incarnation();
            }
            Fault::ChangeCapacity(endpoint, _) => {
                self.endpoints[endpoint].set_cpu_millis(ENDPOINT_CPU_MILLIS);
            }
            Fault::ReloadSettings(_)
            | Fault::TrimTopics
            | Fault::ChangeConfig
            | Fault::OrderMaintenance => {}
        }
        self.checker.end_fault(fault);
    }

    /// Kills the node that wrote the last ownership record.
    fn kill_owner(&self) {
        let record = self.store.last_record(OWNERSHIP_TOPIC);
        let owner = record.and_then(|record| OwnershipRecord::decode(&record));
        match owner.and_then(|owner| self.node_of(&owner)) {
            Some(node) => self.nodes[node].signal(Signal::SIGKILL),
            None => self.checker.record_violation("no node owns the fleet"),
        }
    }

    /// Returns the number of the node that wrote an ownership record.
    fn node_of(&self, record: &OwnershipRecord) -> Option<usize> {
        let mut ips = self.node_ips.iter();
        ips.position(|ip| *ip == record.address.ip())
    }

    /// Cuts off the owner with the endpoints of a bit mask.
    fn cut_off_owner(&self, endpoints: u32) {
        // Claims have no epoch yet.
        let find = |record: &[u8]| OwnershipRecord::decode(record).filter(|it| it.epoch > 0);
        let owner = self.store.find_last(OWNERSHIP_TOPIC, find);
        let node = owner.as_ref().and_then(|owner| self.node_of(owner));
        let Some((node, OwnershipRecord { epoch, .. })) = node.zip(owner) else {
            return self.checker.record_violation("no node owns the fleet");
        };
        self.checker
            .trace(&format!("node{node} with epoch {epoch} is cut off"));
        self.store_links[node].set_fault(LinkFault::DropBoth);
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            endpoint.set_reach(if (endpoints >> number) & 1 == 1 {
                Reach::Only(epoch)
            } else {
                Reach::AllBut(epoch)
            });
        }
    }

    /// Connects everything that a partition cut off.
    fn end_partition(&self) {
        for link in &self.store_links {
            link.set_fault(LinkFault::None);
        }
        for endpoint in &self.endpoints {
            endpoint.set_reach(Reach::All);
        }
    }

    fn restart(&self, node: usize) {
        // The final checks detect a node that does not start by jobs that do not end.
        if let Err(error) = self.nodes[node].start() {
            eprintln!("cannot start node{node}: {error}");
        }
    }

    /// Ends all faults and starts every node and endpoint that is down.
    pub fn end_all_faults(&self) {
        self.store.set_fault(StoreFault::None);
        let links = [&self.store_links, &self.caller_links, &self.endpoint_links];
        for link in links.into_iter().flatten() {
            link.set_fault(LinkFault::None);
        }
        for endpoint in &self.endpoints {
            endpoint.set_fault(EndpointFault::None);
            endpoint.set_overload(None);
            endpoint.set_reach(Reach::All);
            endpoint.set_cpu_millis(ENDPOINT_CPU_MILLIS);
            endpoint.start_incarnation();
        }
        for number in 0..self.nodes.len() {
            self.nodes[number].signal(Signal::SIGCONT);
            self.restart(number);
        }
        self.apply_config(&self.accounts.last_round());
        self.checker.end_all_faults();
    }
}
