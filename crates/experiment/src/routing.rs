//! Requests over endpoints with few slots, shared by nodes that do not see each other's requests.

use {
    crate::{
        measures::{Measures, percentile},
        policies::IN_USE,
        profile::Profile,
    },
    lynxwheel_decisions::{EndpointView, RouteRequest, least_loaded},
    lynxwheel_protocol::{VmName, ZoneName},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::{Duration, Instant},
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

/// Time after which a refused request is sent again, in milliseconds.
const RETRY_MS: u64 = 10;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RoutePolicy {
    /// The decision in use, on a node's own requests and what its peers told it.
    InUse,
    /// Any endpoint.
    Random,
    /// The one with the fewest of the node's own requests.
    LocalLeastLoaded,
}

impl RoutePolicy {
    const ALL: [Self; 3] = [Self::InUse, Self::Random, Self::LocalLeastLoaded];

    fn as_str(self) -> &'static str {
        match self {
            Self::InUse => IN_USE,
            Self::Random => "random",
            Self::LocalLeastLoaded => "local-least-loaded",
        }
    }
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

    /// Returns the requests of other nodes on an endpoint that `node` knows of.
    fn peers(&self, endpoint: usize, node: usize, policy: RoutePolicy) -> u32 {
        if policy != RoutePolicy::InUse {
            return 0;
        }
        let peers = self.exchanged[endpoint].iter().enumerate();
        peers
            .filter(|(peer, _)| *peer != node)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Runs every policy on the inputs of one seed.
#[must_use]
pub fn run(profile: &Profile, seed: u64) -> Vec<Measures> {
    let policies = RoutePolicy::ALL.into_iter();
    policies
        .map(|policy| run_policy(profile, seed, policy))
        .collect()
}

fn run_policy(profile: &Profile, seed: u64, policy: RoutePolicy) -> Measures {
    let mut inputs = ChaCha8Rng::seed_from_u64(seed);
    let mut choices = ChaCha8Rng::seed_from_u64(!seed);
    let names: Vec<VmName> = (0..ENDPOINTS)
        .map(|index| format!("vm-{index}").into())
        .collect();
    let zones: Vec<ZoneName> = (0..profile.zones.min(3))
        .map(|index| format!("zone-{index}").into())
        .collect();
    let mut endpoints = Endpoints::new();
    let mut refusals = 0;
    let mut decisions = Duration::ZERO;
    let mut times_ms = Vec::with_capacity(REQUESTS);
    let mut now_ms = 0;
    for _ in 0..REQUESTS {
        now_ms += inputs.random_range(0..=2 * GAP_MS);
        let node = inputs.random_range(0..NODES);
        let serves_ms = service_ms(&mut inputs);
        let mut sent_ms = now_ms;
        loop {
            endpoints.advance(now_ms);
            let views: Vec<EndpointView<'_>> = (0..ENDPOINTS)
                .map(|index| EndpointView {
                    vm: &names[index],
                    zone: &zones[index % zones.len()],
                    in_progress: endpoints.own(index, node),
                    peers_in_progress: endpoints.peers(index, node, policy),
                    slots: SLOTS,
                    share: 0,
                })
                .collect();
            let request = RouteRequest {
                zone: &zones[node % zones.len()],
                seed: choices.random(),
            };
            let began = Instant::now();
            let chosen = choose(policy, &request, &views, &mut choices);
            decisions += began.elapsed();
            let is_free = |endpoint: &usize| endpoints.all(*endpoint) < SLOTS;
            if let Some(endpoint) = chosen.filter(is_free) {
                let busy = Busy {
                    endpoint,
                    node,
                    ends_ms: sent_ms + serves_ms,
                };
                endpoints.busy.push(busy);
                break;
            }
            let has_room = (0..ENDPOINTS).any(|endpoint| is_free(&endpoint));
            refusals += u64::from(has_room);
            sent_ms += RETRY_MS;
            if sent_ms > now_ms + 100 * RETRY_MS {
                break;
            }
        }
        times_ms.push(sent_ms - now_ms + serves_ms);
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

fn choose(
    policy: RoutePolicy,
    request: &RouteRequest<'_>,
    views: &[EndpointView<'_>],
    choices: &mut ChaCha8Rng,
) -> Option<usize> {
    if policy == RoutePolicy::Random {
        return Some(choices.random_range(0..views.len()));
    }
    least_loaded(request, views).endpoint
}

/// Draws the time that an endpoint takes, in milliseconds: mostly short, now and then long.
fn service_ms(inputs: &mut ChaCha8Rng) -> u64 {
    if inputs.random_range(0..20) == 0 {
        inputs.random_range(400..1_200)
    } else {
        inputs.random_range(40..130)
    }
}
