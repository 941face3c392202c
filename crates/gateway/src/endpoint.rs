//! Endpoints with the slots and connections that this node uses.

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

/// The endpoint of one incarnation of a VM.
///
/// The platform reuses addresses and names, so connections and counters belong to an incarnation:
/// a late response or a count of a previous one never affects the next.
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
    /// Creates the endpoint of a VM; returns `None` if its address is invalid.
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

    /// Returns the number of this node's requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the number of the peers' requests in progress, as last reported.
    pub(crate) fn peers_in_progress(&self) -> u32 {
        self.peers_in_progress.load(Ordering::Relaxed)
    }

    pub(crate) fn set_peers_in_progress(&self, count: u32) {
        self.peers_in_progress.store(count, Ordering::Relaxed);
    }

    /// Returns this node's load on the endpoint, as reported to peers.
    pub(crate) fn load(&self) -> EndpointLoad {
        EndpointLoad {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            in_progress: self.in_progress(),
        }
    }

    /// Acquires a slot if this node uses fewer than `limit`.
    pub(crate) fn try_acquire(
        self: &Arc<Self>,
        limit: u32,
        queue: &Arc<ServiceQueue>,
    ) -> Option<Slot> {
        let increment = |count: u32| (count < limit).then_some(count + 1);
        self.in_progress
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, increment)
            .ok()?;
        Some(Slot {
            endpoint: Arc::clone(self),
            queue: Arc::clone(queue),
            acquired_at: Instant::now(),
        })
    }
}

/// A slot in use; dropping it frees the slot and wakes the next queued request.
#[derive(Debug)]
pub(crate) struct Slot {
    endpoint: Arc<Endpoint>,
    queue: Arc<ServiceQueue>,
    acquired_at: Instant,
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
        self.queue.record_service_time(self.acquired_at.elapsed());
        self.queue.wake();
    }
}
