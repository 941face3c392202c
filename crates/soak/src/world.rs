//! Everything around the nodes of one run, and how faults reach it.

use {
    crate::{
        accounts::Accounts,
        checker::Checker,
        faults::{Fault, LinkId, PlannedFault},
        nodes::NodeProcess,
        proxy::{LinkFault, Proxy},
        run::SoakPlan,
    },
    lynxwheel_platform_standin::{
        AccountSpec, EndpointFault, EndpointSpec, EndpointStandIn, NodeSettings, Observer,
        QueueSpec, StoreFault, StoreStandIn, VmServiceStandIn, put_config, put_wave,
        trim_operator_topics,
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

/// Room of every endpoint, in thousandths of a core.
pub const CPU_MILLIS: u64 = 6_000;

/// VMs of a wave that may be down at once.
pub const MAX_DOWN: usize = 2;

/// Pools; the VMs of the last one are switched off.
const POOLS: [&str; 3] = ["alpha", "beta", "spare"];

/// VMs of each pool at the start.
const VMS_PER_POOL: usize = 3;

/// Time in which a wave's maintenance has to be done, in seconds.
const WAVE_S: u64 = 8;

/// Ports of every node, each on an address of its own: callers, asks whether it is ready, peers.
const PORTS: (u16, u16, u16) = (7_801, 7_802, 7_803);

/// Share of a processor with which an owner calls two endpoints itself, and another node four.
const SMALL_CPU_SHARE: f64 = 0.012;

/// Longest time for a node to stop when it is told to, in milliseconds: its grace and a little.
pub const GRACE_MS: u64 = 7_000;

/// What surrounds the nodes.
pub struct World {
    pub store: StoreStandIn,
    pub endpoints: Vec<EndpointStandIn>,
    pub nodes: Vec<NodeProcess>,
    /// Where callers reach the nodes.
    pub caller_addresses: Vec<SocketAddr>,
    store_links: Vec<Proxy>,
    caller_links: Vec<Proxy>,
    endpoint_links: Vec<Proxy>,
    version: AtomicU64,
    accounts: Arc<Accounts>,
    waves: AtomicU64,
}

/// Returns an address of the loopback network for a node that no other run on this machine has.
fn node_ip(run: u32, node: usize) -> IpAddr {
    let id = process::id();
    let octet = |value: u32| u8::try_from(value % 250).unwrap_or_default();
    IpAddr::V4(Ipv4Addr::new(
        127,
        16 + octet(id) / 2,
        octet(id / 125),
        1 + octet(run * 16 + u32::try_from(node).unwrap_or_default()),
    ))
}

/// Returns the share of a processor that a node is told to have.
fn cpu_share(plan: &SoakPlan, number: usize) -> f64 {
    match number {
        _ if plan.are_nodes_small => SMALL_CPU_SHARE,
        // So that others ask it to yield.
        0 => 0.1,
        _ => 0.5,
    }
}

/// Returns the queues of every run.
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

impl World {
    /// Starts stand-ins, proxies and nodes, and puts the first configuration in force.
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
                cpu_millis: CPU_MILLIS,
            };
            let endpoint =
                EndpointStandIn::start(spec, store.clone(), Arc::clone(&observer)).await?;
            let link = Proxy::start(endpoint.address()).await?;
            endpoint.advertise(link.address());
            endpoint.start_incarnation();
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let vms = VmServiceStandIn::start(&endpoints, observer).await?;
        let mut world = Self {
            store,
            endpoints,
            nodes: Vec::new(),
            caller_addresses: Vec::new(),
            store_links: Vec::new(),
            caller_links: Vec::new(),
            endpoint_links,
            version: AtomicU64::new(0),
            accounts: Arc::default(),
            waves: AtomicU64::new(0),
        };
        world.configure(&world.accounts.next_round());
        for number in 0..plan.nodes {
            let ip = node_ip(run, number);
            world.add_node(plan, number, ip, vms.address()).await?;
        }
        Ok(world)
    }

    /// Returns the accounts of the configurations.
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
        let settings = NodeSettings {
            name: format!("node{number}"),
            ip,
            ports: PORTS,
            store: store_link.address(),
            vms,
            cpu_share: cpu_share(plan, number),
        };
        let node = NodeProcess::new(&plan.program, &plan.folder, &settings)?;
        node.start()?;
        let caller_link = Proxy::start(SocketAddr::new(ip, PORTS.0)).await?;
        self.caller_addresses.push(caller_link.address());
        self.caller_links.push(caller_link);
        self.store_links.push(store_link);
        self.nodes.push(node);
        Ok(())
    }

    /// Puts a configuration with these accounts in force.
    fn configure(&self, accounts: &[AccountSpec]) {
        let version = self.version.fetch_add(3, Ordering::Relaxed) + 3;
        put_config(&self.store, version, &queues(), &POOLS, accounts);
    }

    /// Orders maintenance of every other VM.
    fn maintain(&self) {
        let wave = self.waves.fetch_add(1, Ordering::Relaxed) + 1;
        let vms: Vec<&str> = self
            .endpoints
            .iter()
            .step_by(2)
            .map(|endpoint| endpoint.spec().vm.as_str())
            .collect();
        put_wave(&self.store, wave, &vms, WAVE_S, MAX_DOWN);
    }

    fn link(&self, place: LinkId) -> &Proxy {
        match place {
            LinkId::Store(node) => &self.store_links[node],
            LinkId::Callers(node) => &self.caller_links[node],
            LinkId::Endpoint(endpoint) => &self.endpoint_links[endpoint],
        }
    }

    /// Lets one fault happen, and ends it.
    pub async fn suffer(&self, planned: PlannedFault) {
        sleep(Duration::from_millis(planned.start_ms)).await;
        self.begin(planned.fault);
        sleep(Duration::from_millis(planned.duration_ms)).await;
        self.end(planned.fault).await;
    }

    /// Lets a fault begin.
    pub fn begin(&self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => self.nodes[node].signal(Signal::SIGKILL),
            Fault::KillAll => self.nodes.iter().for_each(|n| n.signal(Signal::SIGKILL)),
            Fault::PauseNode(node) => self.nodes[node].signal(Signal::SIGSTOP),
            Fault::StopNode(node) => self.nodes[node].signal(Signal::SIGTERM),
            Fault::ReloadSettings(node) => self.nodes[node].signal(Signal::SIGHUP),
            Fault::Store(fault) => self.store.set_fault(fault),
            Fault::TrimTopics => {
                trim_operator_topics(&self.store);
            }
            Fault::Link(place, fault) => self.link(place).set_fault(fault),
            Fault::Endpoint(endpoint, fault) => self.endpoints[endpoint].set_fault(fault),
            Fault::EndIncarnation(endpoint) => self.endpoints[endpoint].end_incarnation(),
            Fault::Drain(endpoint) => self.endpoints[endpoint].drain(),
            Fault::ChangeConfig => self.configure(&self.accounts.next_round()),
            Fault::OrderMaintenance => self.maintain(),
        }
    }

    /// Ends a fault.
    pub async fn end(&self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => self.restart(node),
            Fault::KillAll => (0..self.nodes.len()).for_each(|node| self.restart(node)),
            Fault::PauseNode(node) => self.nodes[node].signal(Signal::SIGCONT),
            Fault::StopNode(node) => {
                sleep(Duration::from_millis(GRACE_MS)).await;
                self.restart(node);
            }
            Fault::Store(_) => self.store.set_fault(StoreFault::None),
            Fault::Link(place, _) => self.link(place).set_fault(LinkFault::None),
            Fault::Endpoint(endpoint, _) => {
                self.endpoints[endpoint].set_fault(EndpointFault::None);
            }
            Fault::EndIncarnation(endpoint) => self.endpoints[endpoint].start_incarnation(),
            Fault::Drain(endpoint) => {
                self.endpoints[endpoint].end_incarnation();
                self.endpoints[endpoint].start_incarnation();
            }
            Fault::ReloadSettings(_)
            | Fault::TrimTopics
            | Fault::ChangeConfig
            | Fault::OrderMaintenance => {}
        }
    }

    fn restart(&self, node: usize) {
        // A node that cannot be started shows as a job that never ends.
        if let Err(error) = self.nodes[node].start() {
            eprintln!("node{node} does not start: {error}");
        }
    }

    /// Ends every trouble and starts what is down.
    pub fn heal(&self) {
        self.store.set_fault(StoreFault::None);
        let links = [&self.store_links, &self.caller_links, &self.endpoint_links];
        for link in links.into_iter().flatten() {
            link.set_fault(LinkFault::None);
        }
        for endpoint in &self.endpoints {
            endpoint.set_fault(EndpointFault::None);
            endpoint.start_incarnation();
        }
        for number in 0..self.nodes.len() {
            self.nodes[number].signal(Signal::SIGCONT);
            self.restart(number);
        }
        self.configure(&self.accounts.last_round());
    }
}
