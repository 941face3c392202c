//! Routing tables: the endpoints and peers of each service, derived from the replicated state.

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

/// Age at which the table is rebuilt even if the state has not changed, in milliseconds.
const MAX_UNCHANGED_AGE_MS: u64 = 50;

/// Age below which the table is used even if the state has changed, in milliseconds.
///
/// Every keyed request changes the state, so this bounds the rate of rebuilds.
const MIN_REBUILD_AGE_MS: u64 = 10;

/// Requests are forwarded to a peer if at least one in this many of its slots is free.
///
/// Peers report their loads once a second, so the last free slots of a nearly saturated peer are
/// probably in use again.
const SURPLUS_DIVISOR: u32 = 4;

/// Time for which no requests are forwarded to an unreachable peer, in milliseconds; by then the
/// membership has detected whether it failed.
const UNREACHABLE_PEER_MS: u64 = 5_000;

/// Connections to one endpoint reserved for the node's probes.
const PROBE_CONNECTIONS: u32 = 2;

/// An available endpoint with this node's share of its slots.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRoute {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) share: u32,
}

/// A service with its available endpoints and peers.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRoutes {
    pub(crate) spec: ServiceSpec,
    pub(crate) routes: Vec<EndpointRoute>,
    pub(crate) queue: Arc<ServiceQueue>,
    /// Live peers with slots, ordered by descending number of free ones.
    pub(crate) peer_slots: Vec<PeerSlots>,
}

impl ServiceRoutes {
    /// Returns the number of this node's slots on all endpoints.
    pub(crate) fn slots(&self) -> u32 {
        self.routes.iter().map(|route| route.share).sum()
    }
}

/// Services ordered by name, as of one offset of the log.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    pub(crate) offset: u64,
    built_ms: u64,
    services: Vec<Arc<ServiceRoutes>>,
}

impl RoutingTable {
    /// Returns the service named `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<ServiceRoutes>> {
        let index = self
            .services
            .binary_search_by(|service| service.spec.name.as_str().cmp(name))
            .ok()?;
        self.services.get(index)
    }
}

/// A peer's slots for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PeerSlots {
    pub(crate) node: NodeName,
    pub(crate) address: SocketAddr,
    /// Number of the peer's slots.
    pub(crate) slots: u32,
    /// Number of its slots that were free at its last report.
    pub(crate) free: u32,
}

impl PeerSlots {
    /// Returns whether some slots are probably still free.
    pub(crate) fn has_surplus(&self) -> bool {
        self.free * SURPLUS_DIVISOR >= self.slots
    }
}

/// An endpoint with all nodes' shares of its slots.
#[derive(Debug)]
struct TrackedEndpoint {
    endpoint: Arc<Endpoint>,
    shares: EndpointShares,
}

/// Data other than the replicated state from which routing tables are built.
#[derive(Debug, Default)]
struct TableBuilder {
    endpoints: Vec<TrackedEndpoint>,
    live_nodes: SharingNodes,
    unreachable: Vec<UnreachablePeer>,
}

/// A peer to which no requests are forwarded for a while.
#[derive(Clone, Copy, Debug)]
struct UnreachablePeer {
    address: SocketAddr,
    until_ms: u64,
}

/// The latest routing table; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct RoutingTables {
    node: Node,
    latest: Arc<ArcSwap<RoutingTable>>,
    builder: Arc<Mutex<TableBuilder>>,
}

impl RoutingTables {
    pub(crate) fn new(node: Node) -> Self {
        Self {
            node,
            latest: Arc::default(),
            builder: Arc::default(),
        }
    }

    /// Returns the current time of the node's clock, in milliseconds since the epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.node.clock().now_ms()
    }

    /// Returns the routing table, rebuilt if it is too old.
    pub(crate) fn load(&self) -> Arc<RoutingTable> {
        let now_ms = self.now_ms();
        let latest = self.latest.load_full();
        let offset = self.node.state().offset();
        let max_age_ms = if latest.offset >= offset {
            MAX_UNCHANGED_AGE_MS
        } else {
            MIN_REBUILD_AGE_MS
        };
        let is_fresh = now_ms < latest.built_ms + max_age_ms;
        if is_fresh {
            latest
        } else {
            self.rebuild(now_ms)
        }
    }

    /// Returns the sources of the endpoint reports for peers.
    pub(crate) fn local_endpoints(&self) -> LocalEndpoints {
        let (load_builder, ejection_builder) =
            (Arc::clone(&self.builder), Arc::clone(&self.builder));
        let clock = self.node.clock().clone();
        LocalEndpoints::new(
            move || lock(&load_builder).endpoint_loads(),
            move || lock(&ejection_builder).ejected_endpoints(clock.now_ms()),
        )
    }

    /// Returns this node's requests in progress on each endpoint.
    pub(crate) fn endpoint_loads(&self) -> Vec<EndpointLoad> {
        lock(&self.builder).endpoint_loads()
    }

    /// Returns the endpoints that this node has ejected.
    pub(crate) fn ejected_endpoints(&self) -> Vec<EndpointLoad> {
        lock(&self.builder).ejected_endpoints(self.now_ms())
    }

    /// Records that a peer could not be reached.
    ///
    /// Otherwise requests would be forwarded to a failed peer until its missing heartbeats are
    /// detected.
    pub(crate) fn record_unreachable(&self, address: SocketAddr) {
        let until_ms = self.now_ms() + UNREACHABLE_PEER_MS;
        let unreachable = &mut lock(&self.builder).unreachable;
        unreachable.retain(|peer| peer.address != address);
        unreachable.push(UnreachablePeer { address, until_ms });
    }

    fn rebuild(&self, now_ms: u64) -> Arc<RoutingTable> {
        let mut builder = lock(&self.builder);
        let state = self.node.state();
        let previous = self.latest.load_full();
        let peers = self.node.peers().live_peers(now_ms);
        builder.live_nodes.update(self.node.live_nodes(), now_ms);
        builder.unreachable.retain(|peer| now_ms < peer.until_ms);
        let pools = available_vms_by_pool(&state);
        let services = state
            .services()
            .map(|spec| {
                let queue = previous
                    .service(spec.name.as_str())
                    .map(|routes| Arc::clone(&routes.queue))
                    .unwrap_or_default();
                let vms = vms_of_pool(&pools, &spec.pool);
                let routes = builder.routes(vms, spec, self.node.settings());
                let peer_slots = builder.peer_slots(vms, &peers, self.node.settings());
                Arc::new(ServiceRoutes {
                    spec: spec.clone(),
                    routes,
                    queue,
                    peer_slots,
                })
            })
            .collect();
        builder.remove_stale_endpoints(&state);
        builder.record_peer_reports(&peers, now_ms);
        let table = Arc::new(RoutingTable {
            offset: state.offset(),
            built_ms: now_ms,
            services,
        });
        self.latest.store(Arc::clone(&table));
        table
    }
}

/// Returns the available VMs, ordered by pool.
fn available_vms_by_pool(state: &FleetState) -> Vec<&VmState> {
    let mut vms: Vec<&VmState> = state.vms().iter().filter(|vm| vm.is_available()).collect();
    vms.sort_by(|a, b| a.pool.cmp(&b.pool));
    vms
}

fn vms_of_pool<'a, 'b>(vms: &'b [&'a VmState], pool: &PoolName) -> &'b [&'a VmState] {
    let start = vms.partition_point(|vm| vm.pool < *pool);
    let end = vms.partition_point(|vm| vm.pool <= *pool);
    &vms[start..end]
}

fn lock(builder: &Mutex<TableBuilder>) -> MutexGuard<'_, TableBuilder> {
    builder.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TableBuilder {
    fn endpoint_loads(&self) -> Vec<EndpointLoad> {
        let all = self.endpoints.iter().map(|tracked| tracked.endpoint.load());
        all.filter(|load| load.in_progress > 0).collect()
    }

    fn ejected_endpoints(&self, now_ms: u64) -> Vec<EndpointLoad> {
        let all = self.endpoints.iter().map(|tracked| &tracked.endpoint);
        all.filter(|endpoint| endpoint.ejection.is_ejected_by_this_node(now_ms))
            .map(|endpoint| endpoint.load())
            .collect()
    }

    fn find(&self, vm: &str, incarnation: u64) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|tracked| {
            (tracked.endpoint.vm.as_str(), tracked.endpoint.incarnation).cmp(&(vm, incarnation))
        })
    }

    fn routes(
        &mut self,
        vms: &[&VmState],
        service: &ServiceSpec,
        settings: &NodeSettings,
    ) -> Vec<EndpointRoute> {
        let node = &settings.identity.node;
        let connections = max_connections_per_node(service, settings.peers.len() + 1);
        vms.iter()
            .filter_map(|vm| {
                let index = self.find_or_insert(vm, connections)?;
                let tracked = &mut self.endpoints[index];
                tracked
                    .shares
                    .refresh(&vm.name, service.slots_per_endpoint, &self.live_nodes);
                Some(EndpointRoute {
                    endpoint: Arc::clone(&tracked.endpoint),
                    share: tracked.shares.share(node, &self.live_nodes),
                })
            })
            .collect()
    }

    /// Returns the index of a VM's endpoint, which is added or replaced if necessary.
    fn find_or_insert(&mut self, vm: &VmState, connections: usize) -> Option<usize> {
        let found = self.find(vm.name.as_str(), vm.incarnation);
        if let Ok(index) = found
            && self.endpoints[index].endpoint.address_text == vm.address
        {
            return Some(index);
        }
        let endpoint = Endpoint::new(vm, connections)?;
        let tracked = TrackedEndpoint {
            endpoint: Arc::new(endpoint),
            shares: EndpointShares::default(),
        };
        match found {
            Ok(index) => {
                self.endpoints[index] = tracked;
                Some(index)
            }
            Err(index) => {
                self.endpoints.insert(index, tracked);
                Some(index)
            }
        }
    }

    /// Returns the live peers that have slots on a service's endpoints.
    fn peer_slots(
        &self,
        vms: &[&VmState],
        peers: &[PeerStatus],
        settings: &NodeSettings,
    ) -> Vec<PeerSlots> {
        let mut peer_slots: Vec<PeerSlots> = peers
            .iter()
            .filter_map(|peer| {
                let node = &peer.hello.node;
                let index = settings
                    .peers
                    .binary_search_by(|peer| peer.node.cmp(node))
                    .ok()?;
                let address = settings.peers[index].address;
                if self.unreachable.iter().any(|peer| peer.address == address) {
                    return None;
                }
                let mut candidate = PeerSlots {
                    node: node.clone(),
                    address,
                    slots: 0,
                    free: 0,
                };
                for vm in vms {
                    let Ok(index) = self.find(vm.name.as_str(), vm.incarnation) else {
                        continue;
                    };
                    let tracked = &self.endpoints[index];
                    let load = find_load(&peer.hello.loads, &tracked.endpoint);
                    let in_progress = load.map_or(0, |load| load.in_progress);
                    let slots = tracked.shares.share(node, &self.live_nodes);
                    candidate.slots += slots;
                    candidate.free += slots.saturating_sub(in_progress);
                }
                (candidate.slots > 0).then_some(candidate)
            })
            .collect();
        peer_slots.sort_by(|a, b| b.free.cmp(&a.free).then(a.node.cmp(&b.node)));
        peer_slots
    }

    /// Records the peers' latest reports on endpoints.
    fn record_peer_reports(&mut self, peers: &[PeerStatus], now_ms: u64) {
        for tracked in &self.endpoints {
            let endpoint = &tracked.endpoint;
            let loads = peers
                .iter()
                .filter_map(|peer| find_load(&peer.hello.loads, endpoint));
            endpoint.set_peers_in_progress(loads.map(|load| load.in_progress).sum());
            let is_ejected = peers
                .iter()
                .any(|peer| find_load(&peer.hello.leaving, endpoint).is_some());
            if is_ejected {
                endpoint.ejection.record_peer_report(now_ms);
            }
        }
    }

    /// Removes endpoints of previous incarnations and removed VMs, once they have no requests in
    /// progress.
    fn remove_stale_endpoints(&mut self, state: &FleetState) {
        self.endpoints.retain(|tracked| {
            let endpoint = &tracked.endpoint;
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
    let index = loads
        .binary_search_by(|load| (&load.vm, load.incarnation).cmp(&key))
        .ok()?;
    loads.get(index)
}

/// Returns the number of connections that one node may open to an endpoint, such that all nodes
/// and their probes stay within the endpoint's limit.
fn max_connections_per_node(service: &ServiceSpec, node_count: usize) -> usize {
    let share = service.connections_per_endpoint as usize / node_count.max(1);
    share.saturating_sub(PROBE_CONNECTIONS as usize).max(1)
}
