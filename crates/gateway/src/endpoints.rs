//! Endpoints, and the slots and connections that this node uses on them.

use {
    crate::{ejection::Ejection, queue::ServiceQueue},
    compact_str::CompactString,
    lynxwheel_protocol::{EndpointLoad, VmName, ZoneName},
    lynxwheel_state::VmState,
    lynxwheel_transport::Client,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Instant,
    },
};

/// One life of a VM's endpoint.
///
/// Connections and counts belong to the life, since the platform gives addresses and names anew:
/// a late answer or a count of the former life never reaches the next one.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) vm: VmName,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) address_text: CompactString,
    pub(crate) zone: ZoneName,
    pub(crate) client: Client,
    pub(crate) ejection: Ejection,
    in_progress: AtomicU32,
    peers_in_progress: AtomicU32,
}

impl Endpoint {
    /// Creates the endpoint of a VM's life; `None` when its address is none.
    pub(crate) fn new(vm: &VmState, max_connections: usize) -> Option<Self> {
        let address: SocketAddr = vm.address.parse().ok()?;
        Some(Self {
            vm: vm.name.clone(),
            incarnation: vm.incarnation,
            address,
            address_text: vm.address.clone(),
            zone: vm.zone.clone(),
            client: Client::new(address, max_connections),
            ejection: Ejection::default(),
            in_progress: AtomicU32::new(0),
            peers_in_progress: AtomicU32::new(0),
        })
    }

    /// Returns the requests of this node in progress on it.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the requests of the other nodes in progress on it, as they last told.
    pub(crate) fn peers_in_progress(&self) -> u32 {
        self.peers_in_progress.load(Ordering::Relaxed)
    }

    pub(crate) fn set_peers_in_progress(&self, count: u32) {
        self.peers_in_progress.store(count, Ordering::Relaxed);
    }

    /// Returns the load as peers are told.
    pub(crate) fn load(&self) -> EndpointLoad {
        EndpointLoad {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            in_progress: self.in_progress(),
        }
    }

    /// Takes a slot when fewer than `limit` are taken.
    pub(crate) fn enter(self: &Arc<Self>, limit: u32, queue: &Arc<ServiceQueue>) -> Option<Slot> {
        let enter = |count: u32| (count < limit).then_some(count + 1);
        self.in_progress
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, enter)
            .ok()?;
        Some(Slot {
            endpoint: Arc::clone(self),
            queue: Arc::clone(queue),
            since: Instant::now(),
        })
    }
}

/// A request in progress on an endpoint; dropping it frees the slot and wakes the next request.
#[derive(Debug)]
pub(crate) struct Slot {
    endpoint: Arc<Endpoint>,
    queue: Arc<ServiceQueue>,
    since: Instant,
}

impl Slot {
    pub(crate) fn shared_endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.endpoint.in_progress.fetch_sub(1, Ordering::AcqRel);
        self.queue.note_service(self.since.elapsed());
        self.queue.wake();
    }
}
