//! Random faults of a run, determined by its seed.

use {
    crate::proxy::LinkFault,
    http::StatusCode,
    lynxwheel_platform_standin::{EndpointFault, Overload, StoreFault},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Time before the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 300;

/// Time between the starts of two faults, in milliseconds; most last longer, so that they overlap.
const PAUSES_MS: std::ops::Range<u64> = 100..900;

/// Duration of a fault, in milliseconds: from less than a heartbeat to longer than the time after
/// which another node takes over.
const DURATIONS_MS: std::ops::Range<u64> = 150..3_500;

/// Delay of late appends, in milliseconds: from less than a takeover to longer than several.
const LATE_APPEND_DELAYS_MS: std::ops::Range<u64> = 200..4_000;

/// Duration of a capacity change, in milliseconds: up to well beyond the time after which starts
/// must respect it.
const CAPACITY_DURATIONS_MS: std::ops::Range<u64> = 500..8_000;

/// Time between the starts of two overloads, in milliseconds: several endpoints are overloaded at
/// the same time.
const OVERLOAD_PAUSES_MS: std::ops::Range<u64> = 50..400;

/// Share of the calls that an overloaded endpoint refuses, in percent.
const REFUSED_PERCENTS: std::ops::Range<u64> = 20..95;

/// Share of the other orders that it executes late, in percent, and their delay, in milliseconds.
const LATE_ORDER_PERCENTS: std::ops::Range<u64> = 20..80;
const LATE_ORDER_DELAYS_MS: std::ops::Range<u64> = 500..4_000;

/// Time before the first owner is killed, and between the starts of two such faults, in
/// milliseconds: the previous node has been restarted, and its successor has worked for a while.
const FIRST_OWNER_KILLS_MS: std::ops::Range<u64> = 1_000..3_000;
const OWNER_KILL_PAUSES_MS: std::ops::Range<u64> = 6_000..9_000;

/// Time between the starts of two restarts of endpoints, and the time for which an endpoint is gone,
/// in milliseconds: from less than a call to longer than a registry entry lasts.
const RESTART_PAUSES_MS: std::ops::Range<u64> = 100..700;
const RESTART_DURATIONS_MS: std::ops::Range<u64> = 10..1_200;

/// Duration of a partition, in milliseconds: around the time after which the next owner may count
/// the leases of its predecessor as over.
const PARTITION_DURATIONS_MS: std::ops::Range<u64> = 8_000..14_000;

/// Time before the first partition and between two, in milliseconds: runs are active everywhere.
const PARTITION_PAUSES_MS: std::ops::Range<u64> = 3_000..6_000;

/// Random stream of the partitions.
const PARTITIONS_STREAM: u64 = 4;

/// Random stream of the restarts of endpoints that keep their ids.
const RESTARTS_STREAM: u64 = 3;

/// Random stream of the faults that kill owners.
const OWNER_KILLS_STREAM: u64 = 2;

/// Random stream of the faults that only some runs have, so that the others of a seed stay as they
/// are.
const OPTIONAL_FAULTS_STREAM: u64 = 1;

/// Identifies a link that a proxy can disturb.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkId {
    /// Between a node and the store.
    Store(usize),
    /// Between callers and a node.
    Callers(usize),
    /// Between all nodes and an endpoint.
    Endpoint(usize),
}

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Kills a node, and restarts it at the end.
    KillNode(usize),
    /// Kills every node, and restarts them at the end.
    KillAll,
    /// Kills the node that owns the fleet, and restarts it at the end.
    KillOwner,
    /// Cuts the owner off from the store, together with the endpoints of a bit mask, which no other
    /// owner reaches meanwhile. It reaches no other endpoints.
    CutOffOwner(u32),
    /// Pauses a node.
    PauseNode(usize),
    /// Stops a node with SIGTERM, and restarts it after it has exited.
    StopNode(usize),
    /// Makes a node reload its settings by SIGHUP.
    ReloadSettings(usize),
    /// Makes the store misbehave.
    Store(StoreFault),
    /// Trims the topics of operators and endpoints to the latest record of each key.
    TrimTopics,
    /// Disturbs a link.
    Link(LinkId, LinkFault),
    /// Makes an endpoint misbehave.
    Endpoint(usize, EndpointFault),
    /// Overloads an endpoint.
    Overload(usize, Overload),
    /// Ends the incarnation of an endpoint, and starts the next one at the end.
    EndIncarnation(usize),
    /// Drains an endpoint, and restarts it with a new incarnation at the end.
    Drain(usize),
    /// Sets the CPU capacity of an endpoint in thousandths of a core, and restores it at the end.
    ChangeCapacity(usize, u64),
    /// Writes a new configuration.
    ChangeConfig,
    /// Orders maintenance of half of the VMs.
    OrderMaintenance,
}

impl Fault {
    /// Returns whether nodes may be unable to read the capacities of endpoints from the store, or
    /// to act on them.
    #[must_use]
    pub fn hides_capacities(self) -> bool {
        matches!(
            self,
            Self::PauseNode(_)
                | Self::CutOffOwner(_)
                | Self::Store(_)
                | Self::Link(LinkId::Store(_), _)
        )
    }

    /// Returns the time for which calls may still take effect after the end of the fault.
    #[must_use]
    pub fn aftermath(self) -> Duration {
        Duration::from_millis(match self {
            Self::Store(StoreFault::LateAppends(delay_ms))
            | Self::Endpoint(_, EndpointFault::DelayedOrders(delay_ms))
            | Self::Overload(_, Overload { delay_ms, .. }) => delay_ms,
            _ => 0,
        })
    }
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// Time of the start, in milliseconds since the start of the traffic.
    pub start_ms: u64,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Returns the faults of a run, in the order of their starts.
#[must_use]
pub fn plan_faults(
    seed: u64,
    traffic_ms: u64,
    nodes: usize,
    endpoints: usize,
) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_FAULT_MS;
    while start_ms < traffic_ms {
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(DURATIONS_MS),
            fault: draw_fault(&mut random, nodes, endpoints),
        });
        start_ms += random.random_range(PAUSES_MS);
    }
    planned
}

/// Returns the times at which the store executes appends late, in the order of their starts.
#[must_use]
pub fn plan_late_appends(seed: u64, traffic_ms: u64) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(OPTIONAL_FAULTS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_FAULT_MS;
    while start_ms < traffic_ms {
        let duration_ms = random.random_range(DURATIONS_MS);
        let delay_ms = random.random_range(LATE_APPEND_DELAYS_MS);
        planned.push(PlannedFault {
            start_ms,
            duration_ms,
            fault: Fault::Store(StoreFault::LateAppends(delay_ms)),
        });
        start_ms += duration_ms + random.random_range(PAUSES_MS);
    }
    planned
}

/// Returns the capacity changes of a run, in the order of their starts.
#[must_use]
pub fn plan_capacity_changes(
    seed: u64,
    traffic_ms: u64,
    endpoints: usize,
    cpu_millis: u64,
) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(OPTIONAL_FAULTS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_FAULT_MS;
    while start_ms < traffic_ms {
        let endpoint = random.random_range(0..endpoints);
        let remaining = random.random_range(0..=cpu_millis / 2);
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(CAPACITY_DURATIONS_MS),
            fault: Fault::ChangeCapacity(endpoint, remaining),
        });
        start_ms += random.random_range(PAUSES_MS);
    }
    planned
}

/// Returns the times at which owners are killed, in the order of their starts.
#[must_use]
pub fn plan_owner_kills(seed: u64, traffic_ms: u64) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(OWNER_KILLS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = random.random_range(FIRST_OWNER_KILLS_MS);
    while start_ms < traffic_ms {
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(DURATIONS_MS),
            fault: Fault::KillOwner,
        });
        start_ms += random.random_range(OWNER_KILL_PAUSES_MS);
    }
    planned
}

/// Returns the partitions of a run, one after the other: a first one, and others that start within
/// `traffic_ms`.
#[must_use]
pub fn plan_partitions(seed: u64, traffic_ms: u64, endpoints: usize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(PARTITIONS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = random.random_range(PARTITION_PAUSES_MS);
    while planned.is_empty() || start_ms < traffic_ms {
        let duration_ms = random.random_range(PARTITION_DURATIONS_MS);
        planned.push(PlannedFault {
            start_ms,
            duration_ms,
            fault: Fault::CutOffOwner(random.random_range(1..(1 << endpoints) - 1)),
        });
        start_ms += duration_ms + random.random_range(PARTITION_PAUSES_MS);
    }
    planned
}

/// Returns the restarts of endpoints that keep their ids, in the order of their starts.
#[must_use]
pub fn plan_restarts(seed: u64, traffic_ms: u64, endpoints: usize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RESTARTS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_FAULT_MS;
    while start_ms < traffic_ms {
        let endpoint = random.random_range(0..endpoints);
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(RESTART_DURATIONS_MS),
            fault: Fault::EndIncarnation(endpoint),
        });
        start_ms += random.random_range(RESTART_PAUSES_MS);
    }
    planned
}

/// Returns the overloads of endpoints, in the order of their starts.
#[must_use]
pub fn plan_overloads(seed: u64, traffic_ms: u64, endpoints: usize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(OPTIONAL_FAULTS_STREAM);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_FAULT_MS;
    while start_ms < traffic_ms {
        let endpoint = random.random_range(0..endpoints);
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(DURATIONS_MS),
            fault: Fault::Overload(endpoint, draw_overload(&mut random)),
        });
        start_ms += random.random_range(OVERLOAD_PAUSES_MS);
    }
    planned
}

fn draw_overload(random: &mut ChaCha8Rng) -> Overload {
    let has_late_orders = random.random_range(0..3) == 0;
    Overload {
        refused_percent: random.random_range(REFUSED_PERCENTS),
        status: match random.random_range(0..2) {
            0 => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::TOO_MANY_REQUESTS,
        },
        late_percent: match random.random_range(LATE_ORDER_PERCENTS) {
            percent if has_late_orders => percent,
            _ => 0,
        },
        delay_ms: match random.random_range(LATE_ORDER_DELAYS_MS) {
            delay_ms if has_late_orders => delay_ms,
            _ => 0,
        },
    }
}

fn draw_fault(random: &mut ChaCha8Rng, nodes: usize, endpoints: usize) -> Fault {
    let node = random.random_range(0..nodes);
    let endpoint = random.random_range(0..endpoints);
    match random.random_range(0..28) {
        0..4 => Fault::KillNode(node),
        4..7 => Fault::PauseNode(node),
        7 | 8 => Fault::StopNode(node),
        9 => Fault::ReloadSettings(node),
        10 => Fault::KillAll,
        11 | 12 => Fault::Store(draw_store_fault(random)),
        13 => Fault::TrimTopics,
        14 | 15 => Fault::Link(LinkId::Store(node), draw_link_fault(random)),
        16 => Fault::Link(LinkId::Callers(node), draw_link_fault(random)),
        17 | 18 => Fault::Link(LinkId::Endpoint(endpoint), draw_link_fault(random)),
        19..23 => Fault::Endpoint(endpoint, draw_endpoint_fault(random)),
        23 | 24 => Fault::EndIncarnation(endpoint),
        25 => Fault::Drain(endpoint),
        26 => Fault::ChangeConfig,
        _ => Fault::OrderMaintenance,
    }
}

fn draw_store_fault(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..4) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::Unresponsive,
        2 => StoreFault::Slow(random.random_range(50..500)),
        _ => StoreFault::LostAnswers,
    }
}

fn draw_link_fault(random: &mut ChaCha8Rng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Delayed(random.random_range(20..400)),
        1 => LinkFault::Reset,
        2 => LinkFault::DropToTarget,
        3 => LinkFault::DropFromTarget,
        _ => LinkFault::DropBoth,
    }
}

fn draw_endpoint_fault(random: &mut ChaCha8Rng) -> EndpointFault {
    match random.random_range(0..8) {
        0 => EndpointFault::Unresponsive,
        1 | 2 => EndpointFault::LostAnswers,
        3 | 4 => EndpointFault::DelayedOrders(random.random_range(500..5_000)),
        5 => EndpointFault::RefusedOrders,
        6 => EndpointFault::FailingRuns,
        _ => EndpointFault::StalledRuns,
    }
}
