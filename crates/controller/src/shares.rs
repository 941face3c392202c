//! Which node calls which endpoint for the owner.
//!
//! One small node can decide for a large fleet, but not call all of it. An owner calls as many endpoints
//! as its processor and its link carry beside its decisions; the others are shared out among the nodes
//! that were heard of lately, the largest first and where there is one in the endpoint's own zone.

use {crate::members::Member, lynxwheel_engine::EndpointKey, std::net::SocketAddr};

/// Endpoints that a node calls, for each whole core.
const ENDPOINTS_PER_CORE: u32 = 400;

/// Endpoints that an owner calls by itself, for each whole core: it has decisions to make beside.
const OWN_ENDPOINTS_PER_CORE: u32 = 240;

/// Endpoints that a node calls, for each megabit a second of its link: a busy one takes some 25 kbit/s
/// of it, which leaves three quarters to what else the node does.
const ENDPOINTS_PER_MBPS: u32 = 10;

/// Endpoints that an owner calls by itself, for each megabit a second of its link: what it stores, and what
/// it tells other nodes, takes the greater part.
const OWN_ENDPOINTS_PER_MBPS: u32 = 2;

/// Thousandths of a core in a whole one.
const WHOLE_CORE_MILLIS: u32 = 1_000;

/// Time for which a node that failed to call for the owner is not asked to again, in milliseconds.
const LOST_MS: u64 = 3_000;

/// A node that may call endpoints for the owner.
#[derive(Clone, Debug)]
struct Delegate {
    member: Member,
    capacity: usize,
    endpoints: usize,
    lost_until_ms: u64,
}

/// Returns how many endpoints a node can call.
fn capacity(cpu_millis: u32, link_mbps: u32, (per_core, per_mbps): (u32, u32)) -> usize {
    let by_processor = cpu_millis.saturating_mul(per_core) / WHOLE_CORE_MILLIS;
    let by_link = link_mbps.saturating_mul(per_mbps);
    usize::try_from(by_processor.min(by_link)).unwrap_or(usize::MAX)
}

/// Endpoints shared out among nodes.
#[derive(Clone, Debug)]
pub struct Shares {
    own_capacity: usize,
    own_endpoints: usize,
    /// Sorted by address.
    delegates: Vec<Delegate>,
    /// Endpoints with the node that calls them, or none for the owner itself; sorted by key.
    rows: Vec<(EndpointKey, Option<SocketAddr>)>,
}

impl Shares {
    /// Creates the shares of an owner that calls every endpoint by itself.
    #[must_use]
    pub fn new(cpu_millis: u32, link_mbps: u32) -> Self {
        Self {
            own_capacity: capacity(
                cpu_millis,
                link_mbps,
                (OWN_ENDPOINTS_PER_CORE, OWN_ENDPOINTS_PER_MBPS),
            ),
            own_endpoints: 0,
            delegates: Vec::new(),
            rows: Vec::new(),
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
                    (ENDPOINTS_PER_CORE, ENDPOINTS_PER_MBPS),
                ),
                member: member.clone(),
                endpoints: 0,
                lost_until_ms: 0,
            })
            .collect();
        delegates.sort_unstable_by_key(|delegate| delegate.member.address);
        for delegate in &mut delegates {
            if let Ok(index) = self.delegate_index(delegate.member.address) {
                delegate.lost_until_ms = self.delegates[index].lost_until_ms;
            }
        }
        self.delegates = delegates;
        let mut kept = Vec::with_capacity(self.rows.len());
        for (key, address) in std::mem::take(&mut self.rows) {
            let Some(address) = address else {
                kept.push((key, None));
                continue;
            };
            // A node that has turned slow gives up what goes beyond what it carries now.
            if let Ok(index) = self.delegate_index(address)
                && self.delegates[index].endpoints < self.delegates[index].capacity
            {
                self.delegates[index].endpoints += 1;
                kept.push((key, Some(address)));
            }
        }
        self.rows = kept;
    }

    /// Takes in that a node did not call for the owner; what it called is shared out again.
    pub fn mark_lost(&mut self, address: SocketAddr, now_ms: u64) {
        if let Ok(index) = self.delegate_index(address) {
            self.delegates[index].lost_until_ms = now_ms + LOST_MS;
            self.delegates[index].endpoints = 0;
        }
        self.rows.retain(|(_, known)| *known != Some(address));
    }

    /// Forgets endpoints that are not called any more.
    pub fn retain(&mut self, is_called: impl Fn(EndpointKey) -> bool) {
        let mut rows = std::mem::take(&mut self.rows);
        rows.retain(|(key, address)| {
            let is_kept = is_called(*key);
            if !is_kept {
                self.give_back(*address);
            }
            is_kept
        });
        self.rows = rows;
    }

    fn give_back(&mut self, address: Option<SocketAddr>) {
        match address {
            None => self.own_endpoints -= 1,
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
    pub fn node_for(&mut self, key: EndpointKey, zone: &str, now_ms: u64) -> Option<SocketAddr> {
        let index = match self.rows.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(index) => return self.rows[index].1,
            Err(index) => index,
        };
        if self.own_endpoints < self.own_capacity {
            self.own_endpoints += 1;
            self.rows.insert(index, (key, None));
            return None;
        }
        let delegate = self.delegates.iter_mut().filter(|candidate| {
            candidate.endpoints < candidate.capacity && now_ms >= candidate.lost_until_ms
        });
        // Few nodes with many endpoints each: what goes to one node goes there in one message.
        let best = delegate.max_by_key(|delegate| {
            let is_near = delegate.member.zone == zone;
            (is_near, delegate.capacity, delegate.endpoints)
        })?;
        best.endpoints += 1;
        let address = best.member.address;
        self.rows.insert(index, (key, Some(address)));
        Some(address)
    }

    /// Returns how many endpoints other nodes call, and how many nodes do.
    #[must_use]
    pub fn delegated_counts(&self) -> (usize, usize) {
        let busy = self
            .delegates
            .iter()
            .filter(|delegate| delegate.endpoints > 0);
        let endpoints = self
            .delegates
            .iter()
            .map(|delegate| delegate.endpoints)
            .sum();
        (endpoints, busy.count())
    }
}
