//! Routing of requests to endpoints with few slots by nodes with delayed knowledge of each other.

use {
    crate::{
        measures::{Measures, percentile},
        policies::IN_USE,
        profile::Profile,
    },
    lynxwheel_decisions::{
        EndpointView, RouteRequest, least_loaded, least_loaded_in_share, slot_shares,
    },
    lynxwheel_protocol::{NodeName, VmName, ZoneName},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Number of nodes that route requests.
const NODES: usize = 9;

/// Number of endpoints of the service.
const ENDPOINTS: usize = 10;

/// Maximum concurrent requests of an endpoint.
const SLOTS_PER_ENDPOINT: u32 = 8;

/// Number of requests in a run.
const REQUESTS: usize = 20_000;

/// Mean time between arrivals, in milliseconds.
const MEAN_ARRIVAL_GAP_MS: u64 = 2;

/// Interval at which nodes exchange their request counts, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 50;

/// Delay before the next attempt of a request that found no free slot, in milliseconds.
const RETRY_DELAY_MS: u64 = 2;

/// Policy that selects an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RoutingPolicy {
    /// The decision in use: the least loaded endpoint within the node's share of the slots.
    InUse,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests of the node and its peers, as last exchanged.
    LocalLeastLoaded,
}

impl RoutingPolicy {
    const ALL: [Self; 3] = [Self::InUse, Self::Random, Self::LocalLeastLoaded];

    fn as_str(self) -> &'static str {
        match self {
            Self::InUse => IN_USE,
            Self::Random => "random",
            Self::LocalLeastLoaded => "local-least-loaded",
        }
    }
}

/// A request that is waiting to be sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitingRequest {
    next_ms: u64,
    sequence: usize,
    arrived_ms: u64,
    node: usize,
    service_ms: u64,
}

/// A request in progress on an endpoint.
#[derive(Clone, Copy, Debug)]
struct ActiveRequest {
    endpoint: usize,
    node: usize,
    end_ms: u64,
}

/// Actual load of the endpoints, and the loads as last exchanged between the nodes.
struct EndpointLoads {
    active: Vec<ActiveRequest>,
    exchanged_counts: Vec<[u32; NODES]>,
    exchanged_ms: u64,
}

impl EndpointLoads {
    fn new() -> Self {
        Self {
            active: Vec::new(),
            exchanged_counts: vec![[0; NODES]; ENDPOINTS],
            exchanged_ms: 0,
        }
    }

    fn advance(&mut self, now_ms: u64) {
        self.active.retain(|request| request.end_ms > now_ms);
        if now_ms < self.exchanged_ms + EXCHANGE_INTERVAL_MS {
            return;
        }
        self.exchanged_ms = now_ms;
        self.exchanged_counts = vec![[0; NODES]; ENDPOINTS];
        for request in &self.active {
            self.exchanged_counts[request.endpoint][request.node] += 1;
        }
    }

    fn own_count(&self, endpoint: usize, node: usize) -> u32 {
        let active = self.active.iter();
        let count = active
            .filter(|request| request.endpoint == endpoint && request.node == node)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn total_count(&self, endpoint: usize) -> u32 {
        let active = self.active.iter();
        let count = active
            .filter(|request| request.endpoint == endpoint)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the requests of the peers of `node` on an endpoint, as last exchanged.
    fn peer_count(&self, endpoint: usize, node: usize) -> u32 {
        let counts = self.exchanged_counts[endpoint].iter().enumerate();
        counts
            .filter(|(peer, _)| *peer != node)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Names and slot shares, which are constant during a run.
struct Layout {
    vms: Vec<VmName>,
    zones: Vec<ZoneName>,
    shares: Vec<Vec<u32>>,
}

impl Layout {
    fn new(profile: &Profile) -> Self {
        let nodes: Vec<NodeName> = (0..NODES)
            .map(|node| format!("node-{node}").into())
            .collect();
        let vms: Vec<VmName> = (0..ENDPOINTS)
            .map(|index| format!("vm-{index}").into())
            .collect();
        let shares = vms
            .iter()
            .map(|vm| slot_shares(vm, &nodes, SLOTS_PER_ENDPOINT))
            .collect();
        Self {
            vms,
            zones: (0..profile.zones.min(3))
                .map(|index| format!("zone-{index}").into())
                .collect(),
            shares,
        }
    }

    fn views(&self, endpoints: &EndpointLoads, node: usize) -> Vec<EndpointView<'_>> {
        let view = |index: usize| EndpointView {
            vm: &self.vms[index],
            zone: &self.zones[index % self.zones.len()],
            in_progress: endpoints.own_count(index, node),
            peers_in_progress: endpoints.peer_count(index, node),
            slots: SLOTS_PER_ENDPOINT,
            slot_share: self.shares[index][node],
        };
        (0..ENDPOINTS).map(view).collect()
    }
}

/// Runs every policy on the inputs of one seed.
#[must_use]
pub fn run(profile: &Profile, seed: u64) -> Vec<Measures> {
    let policies = RoutingPolicy::ALL.into_iter();
    policies
        .map(|policy| run_policy(profile, seed, policy))
        .collect()
}

fn run_policy(profile: &Profile, seed: u64, policy: RoutingPolicy) -> Measures {
    let layout = Layout::new(profile);
    let mut choice_rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut waiting = draw_arrivals(seed);
    let mut endpoints = EndpointLoads::new();
    let mut refusals = 0;
    let mut decision_time = Duration::ZERO;
    let mut request_times_ms = Vec::with_capacity(REQUESTS);
    while let Some(Reverse(mut request)) = waiting.pop() {
        endpoints.advance(request.next_ms);
        let views = layout.views(&endpoints, request.node);
        let route = RouteRequest {
            zone: &layout.zones[request.node % layout.zones.len()],
            seed: choice_rng.random(),
        };
        let start = Instant::now();
        let selected = select_endpoint(policy, &route, &views, &mut choice_rng);
        decision_time += start.elapsed();
        let is_full = |endpoint: &usize| endpoints.total_count(*endpoint) >= SLOTS_PER_ENDPOINT;
        refusals += u64::from(selected.as_ref().is_some_and(is_full));
        if let Some(endpoint) = selected.filter(|endpoint| !is_full(endpoint)) {
            let end_ms = request.next_ms + request.service_ms;
            endpoints.active.push(ActiveRequest {
                endpoint,
                node: request.node,
                end_ms,
            });
            request_times_ms.push(end_ms - request.arrived_ms);
        } else {
            request.next_ms += RETRY_DELAY_MS;
            waiting.push(Reverse(request));
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a request")]
    let request_p99_ms = percentile(&mut request_times_ms, 99) as f64;
    Measures {
        profile: profile.name.as_str(),
        policy: policy.as_str(),
        overload_refusals: Some(refusals),
        request_p99_ms: Some(request_p99_ms),
        decision_cpu_ms: decision_time.as_secs_f64() * 1_000.0,
        ..Measures::default()
    }
}

/// Draws the requests from a seed.
fn draw_arrivals(seed: u64) -> BinaryHeap<Reverse<WaitingRequest>> {
    let mut input_rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now_ms = 0;
    let mut waiting = BinaryHeap::with_capacity(REQUESTS);
    for sequence in 0..REQUESTS {
        now_ms += input_rng.random_range(0..=2 * MEAN_ARRIVAL_GAP_MS);
        waiting.push(Reverse(WaitingRequest {
            next_ms: now_ms,
            sequence,
            arrived_ms: now_ms,
            node: input_rng.random_range(0..NODES),
            service_ms: draw_service_ms(&mut input_rng),
        }));
    }
    waiting
}

fn select_endpoint(
    policy: RoutingPolicy,
    request: &RouteRequest<'_>,
    views: &[EndpointView<'_>],
    choice_rng: &mut ChaCha8Rng,
) -> Option<usize> {
    match policy {
        RoutingPolicy::InUse => least_loaded_in_share(request, views).endpoint,
        RoutingPolicy::Random => Some(choice_rng.random_range(0..views.len())),
        RoutingPolicy::LocalLeastLoaded => least_loaded(request, views).endpoint,
    }
}

/// Draws the service time of a request, in milliseconds, with an occasional long one.
fn draw_service_ms(input_rng: &mut ChaCha8Rng) -> u64 {
    if input_rng.random_range(0..20) == 0 {
        input_rng.random_range(400..1_200)
    } else {
        input_rng.random_range(40..130)
    }
}
