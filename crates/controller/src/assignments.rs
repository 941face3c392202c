//! Which node calls which endpoint for the owner.
//!
//! One small node can decide for a large fleet, but not call all of it. An owner calls as many endpoints
//! as its processor and its link carry beside its decisions; the others are shared out among the nodes
//! that were heard of lately, the largest first and where there is one in the endpoint's own zone.

use {crate::members::Member, lynxwheel_engine::EndpointKey, std::net::SocketAddr};

/// Endpoints that a node calls, for each whole core.
const DELEGATE_ENDPOINTS_PER_CORE: u32 = 400;

/// Endpoints that an owner calls by itself, for each whole core: it has decisions to make beside.
const OWNER_ENDPOINTS_PER_CORE: u32 = 240;

/// Endpoints that a node calls, for each megabit a second of its link: a busy one takes some 25 kbit/s
/// of it, which leaves three quarters to what else the node does.
const DELEGATE_ENDPOINTS_PER_MBPS: u32 = 10;

/// Endpoints that an owner calls by itself, for each megabit a second of its link: what it stores, and what
/// it tells other nodes, takes the greater part.
const OWNER_ENDPOINTS_PER_MBPS: u32 = 2;

/// Thousandths of a core in a whole one.
const CORE_MILLIS: u32 = 1_000;

/// Time for which a node that failed to call for the owner is not asked to again, in milliseconds.
const LOST_DELEGATE_EXCLUSION_MS: u64 = 3_000;

/// A node that may call endpoints for the owner.
#[derive(Clone, Debug)]
struct Delegate {
    member: Member,
    capacity: usize,
    endpoints: usize,
    excluded_until_ms: u64,
}

/// Returns how many endpoints a node can call.
fn capacity(cpu_millis: u32, link_mbps: u32, (per_core, per_mbps): (u32, u32)) -> usize {
    let by_cpu = cpu_millis.saturating_mul(per_core) / CORE_MILLIS;
    let by_link = link_mbps.saturating_mul(per_mbps);
    usize::try_from(by_cpu.min(by_link)).unwrap_or(usize::MAX)
}

/// Endpoints shared out among nodes.
#[derive(Clone, Debug)]
pub struct EndpointAssignments {
    owner_capacity: usize,
    owner_endpoints: usize,
    /// Sorted by address.
    delegates: Vec<Delegate>,
    /// Endpoints with the node that calls them, or none for the owner itself; sorted by key.
    assigned: Vec<(EndpointKey, Option<SocketAddr>)>,
}

impl EndpointAssignments {
    /// Creates the shares of an owner that calls every endpoint by itself.
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

    /// Takes in which nodes are there; what those that are gone called is shared out again.
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
            // A node that has turned slow gives up what goes beyond what it carries now.
            if let Ok(index) = self.delegate_index(address)
                && self.delegates[index].endpoints < self.delegates[index].capacity
            {
                self.delegates[index].endpoints += 1;
                retained.push((key, Some(address)));
            }
        }
        self.assigned = retained;
    }

    /// Takes in that a node did not call for the owner; what it called is shared out again.
    pub fn mark_lost(&mut self, address: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.delegate_index(address) {
            self.delegates[index].excluded_until_ms = now_ms + LOST_DELEGATE_EXCLUSION_MS;
            self.delegates[index].endpoints = 0;
        }
        self.assigned.retain(|(_, known)| *known != Some(address));
    }

    /// Forgets endpoints that are not called any more.
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

    /// Returns the node that calls an endpoint; none for the owner itself.
    pub fn assign(&mut self, key: EndpointKey, zone: &str, now_ms: u64) -> Option<SocketAddr> {
        let index = match self
            .assigned
            .binary_search_by_key(&key, |(known, _)| *known)
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
        // Few nodes with many endpoints each: what goes to one node goes there in one message.
        let best = delegate.max_by_key(|delegate| {
            let is_same_zone = delegate.member.zone == zone;
            (is_same_zone, delegate.capacity, delegate.endpoints)
        })?;
        best.endpoints += 1;
        let address = best.member.address;
        self.assigned.insert(index, (key, Some(address)));
        Some(address)
    }

    /// Returns how many endpoints other nodes call, and how many nodes do.
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
