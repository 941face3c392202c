//! Choice of an endpoint for a request, and division of an endpoint's slots among the nodes.

use {
    crate::rendezvous::rendezvous_rank,
    lynxwheel_protocol::{NodeName, VmName, ZoneName},
};

/// What the choosing node knows about an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'a> {
    /// VM of the endpoint.
    pub vm: &'a VmName,
    /// Availability zone of the endpoint.
    pub zone: &'a ZoneName,
    /// Requests of this node in progress on the endpoint.
    pub in_progress: u32,
    /// Requests of the other nodes in progress on the endpoint, as last reported by them.
    pub peers_in_progress: u32,
    /// Requests that the endpoint serves concurrently.
    pub slots: u32,
    /// Slots assigned to this node; the shares of all nodes add up to `slots`.
    pub slot_share: u32,
}

/// Properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Zone of the choosing node.
    pub zone: &'a ZoneName,
    /// Position at which the search starts; it spreads requests over equally loaded endpoints.
    pub seed: u64,
}

/// Why an endpoint was chosen, or none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// The endpoint is the least loaded one in the node's zone.
    LeastLoadedOwnZone,
    /// The endpoint is the least loaded one in another zone; the node's zone has no free slot.
    LeastLoadedOtherZone,
    /// The service has no available endpoint.
    NoEndpoint,
    /// No endpoint has a free slot.
    NoFreeSlot,
}

impl RouteReason {
    /// Returns the name used in logs and responses.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastLoadedOwnZone => "least_loaded_own_zone",
            Self::LeastLoadedOtherZone => "least_loaded_other_zone",
            Self::NoEndpoint => "no_endpoint",
            Self::NoFreeSlot => "no_free_slot",
        }
    }
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteChoice {
    /// Index of the chosen endpoint.
    pub endpoint: Option<usize>,
    /// Requests that the node may have in progress on the endpoint, including this one.
    pub limit: u32,
    /// Why the endpoint was chosen, or none.
    pub reason: RouteReason,
}

/// Function that chooses an endpoint for a request.
pub type RoutePolicy = fn(&RouteRequest<'_>, &[EndpointView<'_>]) -> RouteChoice;

/// Chooses the endpoint with the fewest requests of all nodes in progress, preferring the node's
/// zone.
///
/// The counts of the other nodes may be stale, so nodes that choose concurrently may together
/// exceed an endpoint's slots.
#[must_use]
pub fn least_loaded(request: &RouteRequest<'_>, endpoints: &[EndpointView<'_>]) -> RouteChoice {
    choose(request, endpoints, |endpoint| {
        endpoint.slots.saturating_sub(endpoint.peers_in_progress)
    })
}

/// Chooses the least loaded endpoint as [`least_loaded`] does, but only among endpoints on which
/// this node's share has a free slot.
///
/// The shares of all nodes add up to the slots, so the nodes never exceed them together.
#[must_use]
pub fn least_loaded_in_share(
    request: &RouteRequest<'_>,
    endpoints: &[EndpointView<'_>],
) -> RouteChoice {
    choose(request, endpoints, |endpoint| endpoint.slot_share)
}

/// Returns how many of an endpoint's slots are assigned to each of `nodes`, in the same order.
///
/// Slots are assigned round-robin in the endpoint's rendezvous order. When a node leaves, only its
/// slots are reassigned, and each other node gains at most one as long as there are no fewer nodes
/// than slots.
#[must_use]
pub fn slot_shares(vm: &VmName, nodes: &[NodeName], slots: u32) -> Vec<u32> {
    let Ok(count) = u32::try_from(nodes.len()) else {
        return Vec::new();
    };
    nodes
        .iter()
        .map(|node| {
            let rank = rendezvous_rank(vm.as_str(), node, nodes);
            let has_extra_slot = u32::try_from(rank).is_ok_and(|rank| rank < slots % count);
            slots / count + u32::from(has_extra_slot)
        })
        .collect()
}

fn choose(
    request: &RouteRequest<'_>,
    endpoints: &[EndpointView<'_>],
    limit: impl Fn(&EndpointView<'_>) -> u32,
) -> RouteChoice {
    if endpoints.is_empty() {
        return RouteChoice {
            endpoint: None,
            limit: 0,
            reason: RouteReason::NoEndpoint,
        };
    }
    let count = endpoints.len();
    let start = usize::try_from(request.seed % count as u64).unwrap_or(0);
    let best = (0..count)
        .map(|step| (start + step) % count)
        .filter(|index| endpoints[*index].in_progress < limit(&endpoints[*index]))
        .min_by_key(|index| {
            let endpoint = &endpoints[*index];
            let in_progress = endpoint.in_progress + endpoint.peers_in_progress;
            (endpoint.zone != request.zone, in_progress)
        });
    let reason = match best {
        None => RouteReason::NoFreeSlot,
        Some(index) if endpoints[index].zone == request.zone => RouteReason::LeastLoadedOwnZone,
        Some(_) => RouteReason::LeastLoadedOtherZone,
    };
    RouteChoice {
        endpoint: best,
        limit: best.map_or(0, |index| limit(&endpoints[index])),
        reason,
    }
}
