//! Requests over endpoints with few slots, shared by nodes that do not see each other's requests.

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

/// Nodes that route.
const NODES: usize = 9;

/// Endpoints of the service.
const ENDPOINTS: usize = 10;

/// Requests that an endpoint serves at once.
const SLOTS: u32 = 8;

/// Requests of a run.
const REQUESTS: usize = 20_000;

/// Mean time between requests, in milliseconds: three quarters of the slots are busy.
const GAP_MS: u64 = 2;

/// Age of what a node knows of the other nodes' requests, in milliseconds.
const EXCHANGE_MS: u64 = 50;

/// Time after which a request that found no slot tries again, in milliseconds.
const RETRY_MS: u64 = 2;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Routing {
    /// The decision in use: a node takes slots of its own share only.
    InUse,
    /// Any endpoint.
    Random,
    /// The one with the fewest requests of the node and of its peers, as they last told.
    LocalLeastLoaded,
}

impl Routing {
    const ALL: [Self; 3] = [Self::InUse, Self::Random, Self::LocalLeastLoaded];

    fn as_str(self) -> &'static str {
        match self {
            Self::InUse => IN_USE,
            Self::Random => "random",
            Self::LocalLeastLoaded => "local-least-loaded",
        }
    }
}

/// A request that waits to be sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Waiting {
    next_ms: u64,
    number: usize,
    arrived_ms: u64,
    node: usize,
    serves_ms: u64,
}

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct Busy {
    endpoint: usize,
    node: usize,
    ends_ms: u64,
}

/// Endpoints as they are and as the nodes see them.
struct Endpoints {
    busy: Vec<Busy>,
    exchanged: Vec<[u32; NODES]>,
    exchanged_ms: u64,
}

impl Endpoints {
    fn new() -> Self {
        Self {
            busy: Vec::new(),
            exchanged: vec![[0; NODES]; ENDPOINTS],
            exchanged_ms: 0,
        }
    }

    fn advance(&mut self, now_ms: u64) {
        self.busy.retain(|busy| busy.ends_ms > now_ms);
        if now_ms < self.exchanged_ms + EXCHANGE_MS {
            return;
        }
        self.exchanged_ms = now_ms;
        self.exchanged = vec![[0; NODES]; ENDPOINTS];
        for busy in &self.busy {
            self.exchanged[busy.endpoint][busy.node] += 1;
        }
    }

    fn own(&self, endpoint: usize, node: usize) -> u32 {
        let busy = self.busy.iter();
        let count = busy
            .filter(|busy| busy.endpoint == endpoint && busy.node == node)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn all(&self, endpoint: usize) -> u32 {
        let busy = self.busy.iter();
        let count = busy.filter(|busy| busy.endpoint == endpoint).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns what the peers of `node` told of their requests on an endpoint.
    fn peers(&self, endpoint: usize, node: usize) -> u32 {
        let counts = self.exchanged[endpoint].iter().enumerate();
        counts
            .filter(|(peer, _)| *peer != node)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Names and shares, which stay the same for a run.
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
            .map(|vm| slot_shares(vm, &nodes, SLOTS))
            .collect();
        Self {
            vms,
            zones: (0..profile.zones.min(3))
                .map(|index| format!("zone-{index}").into())
                .collect(),
            shares,
        }
    }

    fn views(&self, endpoints: &Endpoints, node: usize) -> Vec<EndpointView<'_>> {
        let view = |index: usize| EndpointView {
            vm: &self.vms[index],
            zone: &self.zones[index % self.zones.len()],
            in_progress: endpoints.own(index, node),
            peers_in_progress: endpoints.peers(index, node),
            slots: SLOTS,
            slot_share: self.shares[index][node],
        };
        (0..ENDPOINTS).map(view).collect()
    }
}

/// Runs every policy on the inputs of one seed.
#[must_use]
pub fn run(profile: &Profile, seed: u64) -> Vec<Measures> {
    let policies = Routing::ALL.into_iter();
    policies
        .map(|policy| run_policy(profile, seed, policy))
        .collect()
}

fn run_policy(profile: &Profile, seed: u64, policy: Routing) -> Measures {
    let layout = Layout::new(profile);
    let mut choices = ChaCha8Rng::seed_from_u64(!seed);
    let mut waiting = arrivals(seed);
    let mut endpoints = Endpoints::new();
    let mut refusals = 0;
    let mut decisions = Duration::ZERO;
    let mut times_ms = Vec::with_capacity(REQUESTS);
    while let Some(Reverse(mut request)) = waiting.pop() {
        endpoints.advance(request.next_ms);
        let views = layout.views(&endpoints, request.node);
        let route = RouteRequest {
            zone: &layout.zones[request.node % layout.zones.len()],
            seed: choices.random(),
        };
        let began = Instant::now();
        let chosen = choose(policy, &route, &views, &mut choices);
        decisions += began.elapsed();
        let is_full = |endpoint: &usize| endpoints.all(*endpoint) >= SLOTS;
        refusals += u64::from(chosen.as_ref().is_some_and(is_full));
        if let Some(endpoint) = chosen.filter(|endpoint| !is_full(endpoint)) {
            let ends_ms = request.next_ms + request.serves_ms;
            endpoints.busy.push(Busy {
                endpoint,
                node: request.node,
                ends_ms,
            });
            times_ms.push(ends_ms - request.arrived_ms);
        } else {
            request.next_ms += RETRY_MS;
            waiting.push(Reverse(request));
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a request")]
    let request_p99_ms = percentile(&mut times_ms, 99) as f64;
    Measures {
        profile: profile.name.as_str(),
        policy: policy.as_str(),
        overload_refusals: Some(refusals),
        request_p99_ms: Some(request_p99_ms),
        decision_cpu_ms: decisions.as_secs_f64() * 1_000.0,
        ..Measures::default()
    }
}

/// Draws the requests of a seed.
fn arrivals(seed: u64) -> BinaryHeap<Reverse<Waiting>> {
    let mut inputs = ChaCha8Rng::seed_from_u64(seed);
    let mut now_ms = 0;
    let mut waiting = BinaryHeap::with_capacity(REQUESTS);
    for number in 0..REQUESTS {
        now_ms += inputs.random_range(0..=2 * GAP_MS);
        waiting.push(Reverse(Waiting {
            next_ms: now_ms,
            number,
            arrived_ms: now_ms,
            node: inputs.random_range(0..NODES),
            serves_ms: service_ms(&mut inputs),
        }));
    }
    waiting
}

fn choose(
    policy: Routing,
    request: &RouteRequest<'_>,
    views: &[EndpointView<'_>],
    choices: &mut ChaCha8Rng,
) -> Option<usize> {
    match policy {
        Routing::InUse => least_loaded_in_share(request, views).endpoint,
        Routing::Random => Some(choices.random_range(0..views.len())),
        Routing::LocalLeastLoaded => least_loaded(request, views).endpoint,
    }
}

/// Draws the time that an endpoint takes, in milliseconds: mostly short, now and then long.
fn service_ms(inputs: &mut ChaCha8Rng) -> u64 {
    if inputs.random_range(0..20) == 0 {
        inputs.random_range(400..1_200)
    } else {
        inputs.random_range(40..130)
    }
}
