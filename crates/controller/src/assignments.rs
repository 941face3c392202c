//! Assignment of endpoints to the nodes that call them.
//!
//! The owner calls as many endpoints as its CPU and link allow beside its other work. The rest are
//! assigned to live nodes, preferring the endpoint's zone and then the largest node.

use {crate::members::Member, lynxwheel_engine::EndpointKey, std::net::SocketAddr};

/// Endpoints that a delegate can call per core.
const DELEGATE_ENDPOINTS_PER_CORE: u32 = 400;

/// Endpoints that the owner can call per core, beside its decisions.
const OWNER_ENDPOINTS_PER_CORE: u32 = 240;

/// Endpoints that a delegate can call per Mbit/s of link bandwidth, using about a quarter of the
/// link. A busy endpoint takes some 25 kbit/s.
const DELEGATE_ENDPOINTS_PER_MBPS: u32 = 10;

/// Endpoints that the owner can call per Mbit/s of link bandwidth, most of which it needs for the
/// store and for other nodes.
const OWNER_ENDPOINTS_PER_MBPS: u32 = 2;

/// One core, in thousandths.
const CORE_MILLIS: u32 = 1_000;

/// Time for which a failed delegate gets no endpoints, in milliseconds.
const LOST_DELEGATE_EXCLUSION_MS: u64 = 3_000;

/// Node that can call endpoints for the owner.
#[derive(Clone, Debug)]
struct Delegate {
    member: Member,
    capacity: usize,
    endpoints: usize,
    excluded_until_ms: u64,
}

/// Returns the number of endpoints that a node can call.
fn capacity(cpu_millis: u32, link_mbps: u32, (per_core, per_mbps): (u32, u32)) -> usize {
    let by_cpu = cpu_millis.saturating_mul(per_core) / CORE_MILLIS;
    let by_link = link_mbps.saturating_mul(per_mbps);
    usize::try_from(by_cpu.min(by_link)).unwrap_or(usize::MAX)
}

/// Endpoints and the nodes that call them.
#[derive(Clone, Debug)]
pub struct EndpointAssignments {
    owner_capacity: usize,
    owner_endpoints: usize,
    /// Sorted by address.
    delegates: Vec<Delegate>,
    /// Endpoints with their delegate, or `None` for the owner itself; sorted by key.
    assigned: Vec<(EndpointKey, Option<SocketAddr>)>,
}

impl EndpointAssignments {
    /// Creates an empty assignment for an owner without delegates.
    #[must_use]
    pub fn new(cpu_millis: u32, link_mbps: u32) -> Self {
        Self {
            owner_capacity: capacity(
                cpu_millis,
                link_mbps,
                (OWNER_ENDPOINTS_PER_CORE, OWNER_ENDPOINTS_PER_MBPS),
            ),
            owner_endpoints: 0,
            delegates: Vec::new(),
            assigned: Vec::new(),
        }
    }

    /// Updates the available delegates, and unassigns endpoints of delegates that are gone.
    pub fn set_members(&mut self, members: &[Member]) {
        let mut delegates: Vec<Delegate> = members
            .iter()
            .map(|member| Delegate {
                capacity: capacity(
                    member.cpu_millis,
                    member.link_mbps,
                    (DELEGATE_ENDPOINTS_PER_CORE, DELEGATE_ENDPOINTS_PER_MBPS),
                ),
                member: member.clone(),
                endpoints: 0,
                excluded_until_ms: 0,
            })
            .collect();
        delegates.sort_unstable_by_key(|delegate| delegate.member.address);
        for delegate in &mut delegates {
            if let Ok(index) = self.delegate_index(delegate.member.address) {
                delegate.excluded_until_ms = self.delegates[index].excluded_until_ms;
            }
        }
        self.delegates = delegates;
        let mut retained = Vec::with_capacity(self.assigned.len());
        for (key, address) in std::mem::take(&mut self.assigned) {
            let Some(address) = address else {
                retained.push((key, None));
                continue;
            };
            // A delegate whose capacity has dropped keeps only what it can call.
            if let Ok(index) = self.delegate_index(address)
                && self.delegates[index].endpoints < self.delegates[index].capacity
            {
                self.delegates[index].endpoints += 1;
                retained.push((key, Some(address)));
            }
        }
        self.assigned = retained;
    }

    /// Excludes a failed delegate for a while and unassigns its endpoints.
    pub fn mark_lost(&mut self, address: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.delegate_index(address) {
            self.delegates[index].excluded_until_ms = now_ms + LOST_DELEGATE_EXCLUSION_MS;
            self.delegates[index].endpoints = 0;
        }
        self.assigned
            .retain(|(_, delegate)| *delegate != Some(address));
    }

    /// Removes endpoints that no longer have to be called.
    pub fn retain(&mut self, is_active: impl Fn(EndpointKey) -> bool) {
        let mut assigned = std::mem::take(&mut self.assigned);
        assigned.retain(|(key, address)| {
            let is_retained = is_active(*key);
            if !is_retained {
                self.unassign(*address);
            }
            is_retained
        });
        self.assigned = assigned;
    }

    fn unassign(&mut self, address: Option<SocketAddr>) {
        match address {
            None => self.owner_endpoints -= 1,
            Some(address) => {
                if let Ok(index) = self.delegate_index(address) {
                    self.delegates[index].endpoints -= 1;
                }
            }
        }
    }

    fn delegate_index(&self, address: SocketAddr) -> Result<usize, usize> {
        self.delegates
            .binary_search_by_key(&address, |delegate| delegate.member.address)
    }

    /// Returns the delegate that calls an endpoint, assigning one if needed; `None` for the owner
    /// itself.
    pub fn assign(&mut self, key: EndpointKey, zone: &str, now_ms: u64) -> Option<SocketAddr> {
        let index = match self
            .assigned
            .binary_search_by_key(&key, |(other, _)| *other)
        {
            Ok(index) => return self.assigned[index].1,
            Err(index) => index,
        };
        if self.owner_endpoints < self.owner_capacity {
            self.owner_endpoints += 1;
            self.assigned.insert(index, (key, None));
            return None;
        }
        let delegate = self.delegates.iter_mut().filter(|candidate| {
            candidate.endpoints < candidate.capacity && now_ms >= candidate.excluded_until_ms
        });
        // Fills one delegate before the next, so that more calls share a message.
        let best = delegate.max_by_key(|delegate| {
            let is_same_zone = delegate.member.zone == zone;
            (is_same_zone, delegate.capacity, delegate.endpoints)
        })?;
        best.endpoints += 1;
        let address = best.member.address;
        self.assigned.insert(index, (key, Some(address)));
        Some(address)
    }

    /// Returns the number of endpoints called by delegates, and the number of delegates in use.
    #[must_use]
    pub fn delegated_counts(&self) -> (usize, usize) {
        let active = self
            .delegates
            .iter()
            .filter(|delegate| delegate.endpoints > 0);
        let endpoints = self
            .delegates
            .iter()
            .map(|delegate| delegate.endpoints)
            .sum();
        (endpoints, active.count())
    }
}
