//! Choice of an endpoint for a request.

use lynxwheel_protocol::{VmName, ZoneName};

/// What a node knows of an endpoint when it chooses.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'a> {
    /// VM.
    pub vm: &'a VmName,
    /// Zone.
    pub zone: &'a ZoneName,
    /// Requests known to be in progress on it.
    pub in_progress: u32,
    /// Requests that it serves at once.
    pub slots: u32,
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
    /// Reason.
    pub reason: RouteReason,
}

/// Chooses the endpoint with the fewest requests in progress, in the own zone first.
#[must_use]
pub fn least_loaded(request: &RouteRequest<'_>, endpoints: &[EndpointView<'_>]) -> RouteChoice {
    if endpoints.is_empty() {
        return RouteChoice {
            endpoint: None,
            reason: RouteReason::NoEndpoint,
        };
    }
    let count = endpoints.len();
    let start = usize::try_from(request.seed % count as u64).unwrap_or(0);
    let best = (0..count)
        .map(|step| (start + step) % count)
        .filter(|index| endpoints[*index].in_progress < endpoints[*index].slots)
        .min_by_key(|index| {
            let endpoint = &endpoints[*index];
            (endpoint.zone != request.zone, endpoint.in_progress)
        });
    let reason = match best {
        None => RouteReason::NoFreeSlot,
        Some(index) if endpoints[index].zone == request.zone => RouteReason::LeastLoadedOwnZone,
        Some(_) => RouteReason::LeastLoadedOtherZone,
    };
    RouteChoice {
        endpoint: best,
        reason,
    }
}
