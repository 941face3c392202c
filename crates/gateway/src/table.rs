//! Endpoints by service, kept ready for the choice.

use {
    crate::{endpoints::Endpoint, queue::ServiceQueue},
    arc_swap::ArcSwap,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::slot_share,
    lynxwheel_protocol::{EndpointLoad, NodeName, PeerHello, ServiceSpec},
    lynxwheel_state::{FleetState, VmState},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Age at which the table is made anew although the state has not changed, in milliseconds.
const MAX_AGE_MS: u64 = 50;

/// Time for which a node goes on with the smaller of its old and new shares, in milliseconds.
const SHARE_LAG_MS: u64 = 3_000;

/// Age at which a peer's loads are no longer counted, in milliseconds.
const PEER_LOADS_MS: u64 = 3_000;

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

/// Set of nodes that share the slots.
#[derive(Clone, Debug, Default)]
struct NodeView {
    nodes: Vec<NodeName>,
    since_ms: u64,
}

/// What a peer last told.
#[derive(Clone, Debug)]
struct PeerLoads {
    node: NodeName,
    at_ms: u64,
    loads: Vec<EndpointLoad>,
}

/// What tables are made from besides the state.
#[derive(Debug, Default)]
struct Maker {
    endpoints: Vec<Arc<Endpoint>>,
    view: NodeView,
    former_view: Option<NodeView>,
    peers: Vec<PeerLoads>,
}

/// The latest table; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct Tables {
    node: Node,
    latest: Arc<ArcSwap<Table>>,
    maker: Arc<Mutex<Maker>>,
}

impl Tables {
    /// Returns the node's time in milliseconds since the epoch.
    pub(crate) fn now_ms(&self) -> u64 {
        self.node.clock().now_ms()
    }

    pub(crate) fn new(node: Node) -> Self {
        Self {
            node,
            latest: Arc::default(),
            maker: Arc::default(),
        }
    }

    /// Returns a table of the latest state.
    pub(crate) fn load(&self, now_ms: u64) -> Arc<Table> {
        let latest = self.latest.load_full();
        let offset = self.node.state().offset();
        let is_fresh = latest.offset >= offset && now_ms < latest.made_ms + MAX_AGE_MS;
        if is_fresh { latest } else { self.make(now_ms) }
    }

    /// Returns the load that this node puts on endpoints.
    pub(crate) fn loads(&self) -> Vec<EndpointLoad> {
        let maker = self.maker();
        let busy = maker.endpoints.iter().map(|endpoint| endpoint.load());
        busy.filter(|load| load.in_progress > 0).collect()
    }

    /// Returns the endpoints against which this node has evidence.
    pub(crate) fn leaving(&self, now_ms: u64) -> Vec<EndpointLoad> {
        let maker = self.maker();
        let out = maker
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.ejection.is_out_by_own_evidence(now_ms));
        out.map(|endpoint| endpoint.load()).collect()
    }

    /// Takes in what a peer told.
    pub(crate) fn note_peer(&self, hello: &PeerHello, now_ms: u64) {
        let mut maker = self.maker();
        for leaving in &hello.leaving {
            if let Ok(row) = maker.find(leaving.vm.as_str(), leaving.incarnation) {
                maker.endpoints[row].ejection.note_peer(now_ms);
            }
        }
        let loads = PeerLoads {
            node: hello.node.clone(),
            at_ms: now_ms,
            loads: hello.loads.clone(),
        };
        match maker
            .peers
            .binary_search_by(|peer| peer.node.cmp(&hello.node))
        {
            Ok(row) => maker.peers[row] = loads,
            Err(row) => maker.peers.insert(row, loads),
        }
        maker.count_peers(now_ms);
    }

    fn make(&self, now_ms: u64) -> Arc<Table> {
        let mut maker = self.maker();
        let state = self.node.state();
        let former = self.latest.load_full();
        let nodes = self.node.live_nodes();
        maker.see_nodes(nodes, now_ms);
        maker.count_peers(now_ms);
        let node = &self.node.settings().identity.node;
        let node_count = self.node.settings().peers.len() + 1;
        let services = state
            .services()
            .map(|spec| {
                let queue = former
                    .service(spec.name.as_str())
                    .map(|row| Arc::clone(&row.queue))
                    .unwrap_or_default();
                let rows = maker.rows(&state, spec, node, node_count);
                Arc::new(ServiceRow {
                    spec: spec.clone(),
                    rows,
                    queue,
                })
            })
            .collect();
        maker.forget_gone(&state);
        let table = Arc::new(Table {
            offset: state.offset(),
            made_ms: now_ms,
            services,
        });
        self.latest.store(Arc::clone(&table));
        table
    }

    fn maker(&self) -> MutexGuard<'_, Maker> {
        self.maker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Maker {
    fn find(&self, vm: &str, incarnation: u64) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|endpoint| {
            (endpoint.vm.as_str(), endpoint.incarnation).cmp(&(vm, incarnation))
        })
    }

    fn rows(
        &mut self,
        state: &FleetState,
        service: &ServiceSpec,
        node: &NodeName,
        node_count: usize,
    ) -> Vec<Row> {
        let available = state
            .vms()
            .iter()
            .filter(|vm| vm.pool == service.pool && vm.is_available());
        available
            .filter_map(|vm| {
                let endpoint = self.endpoint(vm, service, node_count)?;
                let share = self.share(vm, node, service.slots_per_endpoint);
                Some(Row { endpoint, share })
            })
            .collect()
    }

    fn endpoint(
        &mut self,
        vm: &VmState,
        service: &ServiceSpec,
        node_count: usize,
    ) -> Option<Arc<Endpoint>> {
        let address: SocketAddr = vm.address.parse().ok()?;
        match self.find(vm.name.as_str(), vm.incarnation) {
            Ok(row) if self.endpoints[row].address == address => {
                Some(Arc::clone(&self.endpoints[row]))
            }
            found => {
                let connections = connections_of_node(service, node_count);
                let endpoint =
                    Endpoint::new(&vm.name, vm.incarnation, &vm.zone, address, connections);
                let endpoint = Arc::new(endpoint);
                match found {
                    Ok(row) => self.endpoints[row] = Arc::clone(&endpoint),
                    Err(row) => self.endpoints.insert(row, Arc::clone(&endpoint)),
                }
                Some(endpoint)
            }
        }
    }

    /// Notes the live nodes.
    fn see_nodes(&mut self, nodes: Vec<NodeName>, now_ms: u64) {
        if nodes == self.view.nodes {
            return;
        }
        let view = NodeView {
            nodes,
            since_ms: now_ms,
        };
        let former = std::mem::replace(&mut self.view, view);
        self.former_view = (!former.nodes.is_empty()).then_some(former);
    }

    /// Returns this node's share of an endpoint's slots.
    ///
    /// Nodes learn of a change of their set at different times. A node gives slots up at once and
    /// takes slots over only after a while, when the others have given them up.
    fn share(&self, vm: &VmState, node: &NodeName, slots: u32) -> u32 {
        let share = slot_share(&vm.name, node, &self.view.nodes, slots);
        match &self.former_view {
            Some(former) => share.min(slot_share(&vm.name, node, &former.nodes, slots)),
            None => share,
        }
    }

    fn count_peers(&mut self, now_ms: u64) {
        if now_ms >= self.view.since_ms + SHARE_LAG_MS {
            self.former_view = None;
        }
        self.peers
            .retain(|peer| now_ms < peer.at_ms + PEER_LOADS_MS);
        for endpoint in &self.endpoints {
            let count = self.peers.iter().filter_map(|peer| {
                let key = (&endpoint.vm, endpoint.incarnation);
                let row = peer
                    .loads
                    .binary_search_by(|load| (&load.vm, load.incarnation).cmp(&key))
                    .ok()?;
                Some(peer.loads[row].in_progress)
            });
            endpoint.set_peers_in_progress(count.sum());
        }
    }

    /// Forgets lives that are over, with their connections, once their last request has ended.
    fn forget_gone(&mut self, state: &FleetState) {
        self.endpoints.retain(|endpoint| {
            let is_current = state
                .vms()
                .get(endpoint.vm.as_str())
                .is_some_and(|vm| vm.incarnation == endpoint.incarnation);
            is_current || endpoint.in_progress() > 0
        });
    }
}

/// Returns the connections that one node may open to an endpoint, so that all nodes with their
/// probes stay within what the endpoint accepts.
fn connections_of_node(service: &ServiceSpec, node_count: usize) -> usize {
    let share = service.connections_per_endpoint as usize / node_count.max(1);
    share.saturating_sub(PROBE_CONNECTIONS as usize).max(1)
}
