//! Endpoints by service, kept ready for the choice.

use {
    crate::{
        endpoint::Endpoint,
        queue::ServiceQueue,
        slot_shares::{EndpointShares, SharingNodes},
    },
    arc_swap::ArcSwap,
    lynxwheel_coordination::{LocalEndpoints, Node, NodeSettings, PeerStatus},
    lynxwheel_protocol::{EndpointLoad, NodeName, PoolName, ServiceSpec},
    lynxwheel_state::{FleetState, VmState},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Age at which the table is made anew although the state has not changed, in milliseconds.
const MAX_AGE_MS: u64 = 50;

/// Age below which the table is used although the state has changed, in milliseconds.
///
/// Every request with a key changes the state; without the bound each of them would cost a look
/// at all VMs.
const MIN_AGE_MS: u64 = 10;

/// Part of a peer's slots that must be free for it to be given another node's requests.
///
/// Peers tell their loads once a second. Near saturation every free slot is taken again long
/// before that is known, and requests passed on would only wait elsewhere.
const SURPLUS_PART: u32 = 4;

/// Time for which an unreachable peer gets no requests, in milliseconds; by then the membership
/// knows whether it is gone.
const UNREACHABLE_MS: u64 = 5_000;

/// Connections to one endpoint that the node's probes may take.
const PROBE_CONNECTIONS: u32 = 2;

/// An endpoint with this node's share of its slots.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) share: u32,
}

/// A service with its available endpoints.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRow {
    pub(crate) spec: ServiceSpec,
    pub(crate) rows: Vec<Row>,
    pub(crate) queue: Arc<ServiceQueue>,
    /// Live peers with slots, those with most free ones first.
    pub(crate) spares: Vec<Spare>,
}

impl ServiceRow {
    /// Returns the slots that this node has on all endpoints.
    pub(crate) fn slots(&self) -> u32 {
        self.rows.iter().map(|row| row.share).sum()
    }
}

/// Services by name, as of one state.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) offset: u64,
    made_ms: u64,
    services: Vec<Arc<ServiceRow>>,
}

impl Table {
    /// Returns the service called `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<ServiceRow>> {
        let row = self
            .services
            .binary_search_by(|service| service.spec.name.as_str().cmp(name))
            .ok()?;
        self.services.get(row)
    }
}

/// A peer with slots for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Spare {
    pub(crate) node: NodeName,
    pub(crate) address: SocketAddr,
    /// Slots that are its own.
    pub(crate) slots: u32,
    /// Those of them that were free when it last told.
    pub(crate) free: u32,
}

impl Spare {
    /// Tells whether so many slots are free that some still are, although the news is old.
    pub(crate) fn has_surplus(&self) -> bool {
        self.free * SURPLUS_PART >= self.slots
    }
}

/// An endpoint as the maker knows it.
#[derive(Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    shares: EndpointShares,
}

/// What tables are made from besides the state.
#[derive(Debug, Default)]
struct Maker {
    endpoints: Vec<Known>,
    view: SharingNodes,
    unreachable: Vec<Unreachable>,
}

/// A peer that could not be reached.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    address: SocketAddr,
    until_ms: u64,
}

/// The latest table; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct Tables {
    node: Node,
    latest: Arc<ArcSwap<Table>>,
    maker: Arc<Mutex<Maker>>,
}

impl Tables {
    pub(crate) fn new(node: Node) -> Self {
        Self {
            node,
            latest: Arc::default(),
            maker: Arc::default(),
        }
    }

    /// Returns the node's time, in milliseconds since the epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.node.clock().now_ms()
    }

    /// Returns a table of the latest state.
    pub(crate) fn load(&self) -> Arc<Table> {
        let now_ms = self.now_ms();
        let latest = self.latest.load_full();
        let offset = self.node.state().offset();
        let max_age_ms = if latest.offset >= offset {
            MAX_AGE_MS
        } else {
            MIN_AGE_MS
        };
        let is_fresh = now_ms < latest.made_ms + max_age_ms;
        if is_fresh { latest } else { self.make(now_ms) }
    }

    /// Returns what peers are told of the endpoints.
    pub(crate) fn local_view(&self) -> LocalEndpoints {
        let (busy, out) = (Arc::clone(&self.maker), Arc::clone(&self.maker));
        let clock = self.node.clock().clone();
        LocalEndpoints::new(
            move || lock(&busy).loads(),
            move || lock(&out).leaving(clock.now_ms()),
        )
    }

    /// Returns the load that this node puts on endpoints.
    pub(crate) fn loads(&self) -> Vec<EndpointLoad> {
        lock(&self.maker).loads()
    }

    /// Returns the endpoints against which this node has evidence.
    pub(crate) fn leaving(&self) -> Vec<EndpointLoad> {
        lock(&self.maker).leaving(self.now_ms())
    }

    /// Notes that a peer could not be reached.
    ///
    /// A node that died is taken to be live until its heartbeats have been missing for a while, and
    /// its free slots, as it last told, would draw requests all that time.
    pub(crate) fn note_unreachable(&self, address: SocketAddr) {
        let until_ms = self.now_ms() + UNREACHABLE_MS;
        let unreachable = &mut lock(&self.maker).unreachable;
        unreachable.retain(|peer| peer.address != address);
        unreachable.push(Unreachable { address, until_ms });
    }

    fn make(&self, now_ms: u64) -> Arc<Table> {
        let mut maker = lock(&self.maker);
        let state = self.node.state();
        let former = self.latest.load_full();
        let peers = self.node.peers().live_peers(now_ms);
        maker.view.update(self.node.live_nodes(), now_ms);
        maker.unreachable.retain(|peer| now_ms < peer.until_ms);
        let pools = by_pool(&state);
        let services = state
            .services()
            .map(|spec| {
                let queue = former
                    .service(spec.name.as_str())
                    .map(|row| Arc::clone(&row.queue))
                    .unwrap_or_default();
                let vms = of_pool(&pools, &spec.pool);
                let rows = maker.rows(vms, spec, self.node.settings());
                let spares = maker.spares(vms, &peers, self.node.settings());
                Arc::new(ServiceRow {
                    spec: spec.clone(),
                    rows,
                    queue,
                    spares,
                })
            })
            .collect();
        maker.forget_gone(&state);
        maker.see_peers(&peers, now_ms);
        let table = Arc::new(Table {
            offset: state.offset(),
            made_ms: now_ms,
            services,
        });
        self.latest.store(Arc::clone(&table));
        table
    }
}

/// Returns the available VMs in the order of their pools.
fn by_pool(state: &FleetState) -> Vec<&VmState> {
    let mut vms: Vec<&VmState> = state.vms().iter().filter(|vm| vm.is_available()).collect();
    vms.sort_by(|a, b| a.pool.cmp(&b.pool));
    vms
}

fn of_pool<'a, 'b>(vms: &'b [&'a VmState], pool: &PoolName) -> &'b [&'a VmState] {
    let start = vms.partition_point(|vm| vm.pool < *pool);
    let end = vms.partition_point(|vm| vm.pool <= *pool);
    &vms[start..end]
}

fn lock(maker: &Mutex<Maker>) -> MutexGuard<'_, Maker> {
    maker.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Maker {
    fn loads(&self) -> Vec<EndpointLoad> {
        let all = self.endpoints.iter().map(|known| known.endpoint.load());
        all.filter(|load| load.in_progress > 0).collect()
    }

    fn leaving(&self, now_ms: u64) -> Vec<EndpointLoad> {
        let all = self.endpoints.iter().map(|known| &known.endpoint);
        all.filter(|endpoint| endpoint.ejection.is_ejected_by_this_node(now_ms))
            .map(|endpoint| endpoint.load())
            .collect()
    }

    fn find(&self, vm: &str, incarnation: u64) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|known| {
            (known.endpoint.vm.as_str(), known.endpoint.incarnation).cmp(&(vm, incarnation))
        })
    }

    fn rows(
        &mut self,
        vms: &[&VmState],
        service: &ServiceSpec,
        settings: &NodeSettings,
    ) -> Vec<Row> {
        let node = &settings.identity.node;
        let connections = connections_of_node(service, settings.peers.len() + 1);
        vms.iter()
            .filter_map(|vm| {
                let place = self.place(vm, connections)?;
                let known = &mut self.endpoints[place];
                known
                    .shares
                    .refresh(&vm.name, service.slots_per_endpoint, &self.view);
                Some(Row {
                    endpoint: Arc::clone(&known.endpoint),
                    share: known.shares.share(node, &self.view),
                })
            })
            .collect()
    }

    /// Returns the place of a VM's life, which is taken in when it is new.
    fn place(&mut self, vm: &VmState, connections: usize) -> Option<usize> {
        let found = self.find(vm.name.as_str(), vm.incarnation);
        if let Ok(row) = found
            && self.endpoints[row].endpoint.address_text == vm.address
        {
            return Some(row);
        }
        let endpoint = Endpoint::new(vm, connections)?;
        let known = Known {
            endpoint: Arc::new(endpoint),
            shares: EndpointShares::default(),
        };
        match found {
            Ok(row) => {
                self.endpoints[row] = known;
                Some(row)
            }
            Err(row) => {
                self.endpoints.insert(row, known);
                Some(row)
            }
        }
    }

    /// Returns the live peers with slots on a service's endpoints.
    fn spares(
        &self,
        vms: &[&VmState],
        peers: &[PeerStatus],
        settings: &NodeSettings,
    ) -> Vec<Spare> {
        let mut spares: Vec<Spare> = peers
            .iter()
            .filter_map(|peer| {
                let node = &peer.hello.node;
                let row = settings
                    .peers
                    .binary_search_by(|peer| peer.node.cmp(node))
                    .ok()?;
                let address = settings.peers[row].address;
                if self.unreachable.iter().any(|peer| peer.address == address) {
                    return None;
                }
                let mut spare = Spare {
                    node: node.clone(),
                    address,
                    slots: 0,
                    free: 0,
                };
                for vm in vms {
                    let Ok(place) = self.find(vm.name.as_str(), vm.incarnation) else {
                        continue;
                    };
                    let known = &self.endpoints[place];
                    let load = find_load(&peer.hello.loads, &known.endpoint);
                    let taken = load.map_or(0, |load| load.in_progress);
                    let slots = known.shares.share(node, &self.view);
                    spare.slots += slots;
                    spare.free += slots.saturating_sub(taken);
                }
                (spare.slots > 0).then_some(spare)
            })
            .collect();
        spares.sort_by(|a, b| b.free.cmp(&a.free).then(a.node.cmp(&b.node)));
        spares
    }

    /// Takes in what the peers last told of endpoints.
    fn see_peers(&mut self, peers: &[PeerStatus], now_ms: u64) {
        for known in &self.endpoints {
            let endpoint = &known.endpoint;
            let loads = peers
                .iter()
                .filter_map(|peer| find_load(&peer.hello.loads, endpoint));
            endpoint.set_peers_in_progress(loads.map(|load| load.in_progress).sum());
            let is_leaving = peers
                .iter()
                .any(|peer| find_load(&peer.hello.leaving, endpoint).is_some());
            if is_leaving {
                endpoint.ejection.record_peer_report(now_ms);
            }
        }
    }

    /// Forgets lives that are over, with their connections, once their last request has ended.
    fn forget_gone(&mut self, state: &FleetState) {
        self.endpoints.retain(|known| {
            let endpoint = &known.endpoint;
            let is_current = state
                .vms()
                .get(endpoint.vm.as_str())
                .is_some_and(|vm| vm.incarnation == endpoint.incarnation);
            is_current || endpoint.in_progress() > 0
        });
    }
}

fn find_load<'a>(loads: &'a [EndpointLoad], endpoint: &Endpoint) -> Option<&'a EndpointLoad> {
    let key = (&endpoint.vm, endpoint.incarnation);
    let row = loads
        .binary_search_by(|load| (&load.vm, load.incarnation).cmp(&key))
        .ok()?;
    loads.get(row)
}

/// Returns the connections that one node may open to an endpoint, so that all nodes with their
/// probes stay within what the endpoint accepts.
fn connections_of_node(service: &ServiceSpec, node_count: usize) -> usize {
    let share = service.connections_per_endpoint as usize / node_count.max(1);
    share.saturating_sub(PROBE_CONNECTIONS as usize).max(1)
}
