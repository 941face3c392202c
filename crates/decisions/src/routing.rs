//! Choice of an endpoint for a request, and shares of an endpoint's slots.

use {
    crate::rendezvous::rendezvous_rank,
    lynxwheel_protocol::{NodeName, VmName, ZoneName},
};

/// What a node knows of an endpoint when it chooses.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'a> {
    /// VM.
    pub vm: &'a VmName,
    /// Zone.
    pub zone: &'a ZoneName,
    /// Requests of this node in progress on it.
    pub in_progress: u32,
    /// Requests of the other nodes in progress on it, as they last told.
    pub peers_in_progress: u32,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Slots that are this node's own; over all nodes they add up to `slots`.
    pub slot_share: u32,
}

/// What matters of a request for the choice.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Zone of the choosing node.
    pub zone: &'a ZoneName,
    /// Spreads equal choices.
    pub seed: u64,
}

/// Why an endpoint was chosen or none was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// Least loaded in the own zone.
    LeastLoadedOwnZone,
    /// Least loaded in another zone, since the own one has no free slot.
    LeastLoadedOtherZone,
    /// The service has no available endpoint.
    NoEndpoint,
    /// Every slot is taken.
    NoFreeSlot,
}

impl RouteReason {
    /// Returns the name used in logs and answers.
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
    /// Requests that the choosing node may have in progress on it, this one included.
    pub limit: u32,
    /// Reason.
    pub reason: RouteReason,
}

/// A way to choose an endpoint.
pub type RoutePolicy = fn(&RouteRequest<'_>, &[EndpointView<'_>]) -> RouteChoice;

/// Chooses the endpoint with the fewest requests of all nodes in progress, in the own zone first.
///
/// The peers' counts are as old as their last message, so nodes that choose at the same time may
/// exceed an endpoint's slots together.
#[must_use]
pub fn least_loaded(request: &RouteRequest<'_>, endpoints: &[EndpointView<'_>]) -> RouteChoice {
    choose(request, endpoints, |endpoint| {
        endpoint.slots.saturating_sub(endpoint.peers_in_progress)
    })
}

/// Chooses among the endpoints on which a slot of this node's own share is free, in the own zone
/// first, then the one with the fewest requests of all nodes.
///
/// Shares of one set of nodes add up to the slots, so the nodes never exceed them together.
#[must_use]
pub fn least_loaded_in_share(
    request: &RouteRequest<'_>,
    endpoints: &[EndpointView<'_>],
) -> RouteChoice {
    choose(request, endpoints, |endpoint| endpoint.slot_share)
}

/// Returns how many of an endpoint's slots belong to each of `nodes`, in their order.
///
/// Slots are dealt in turn over the nodes in the endpoint's rendezvous order. When a node is lost
/// only its slots change hands, and each other node gains at most one while nodes are no fewer
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
            let is_early = u32::try_from(rank).is_ok_and(|rank| rank < slots % count);
            slots / count + u32::from(is_early)
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
