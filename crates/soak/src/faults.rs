//! The faults of one run, drawn from its seed.

use {
    crate::proxy::LinkFault,
    lynxwheel_platform_standin::{EndpointFault, StoreFault},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Time before the first fault, in milliseconds.
const FIRST_MS: u64 = 300;

/// Pause between the beginnings of two faults, in milliseconds; they last longer, and overlap.
const PAUSES_MS: std::ops::Range<u64> = 100..900;

/// How long a fault lasts, in milliseconds: from less than a heartbeat to beyond the time after
/// which a successor takes over.
const LENGTHS_MS: std::ops::Range<u64> = 150..3_500;

/// Which link is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkId {
    /// Between a node and the store.
    Store(usize),
    /// Between callers and a node.
    Callers(usize),
    /// Between all nodes and an endpoint.
    Endpoint(usize),
}

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A node is killed, and started again at the end.
    KillNode(usize),
    /// Every node is killed; all are started again at the end.
    KillAll,
    /// A node stands still.
    PauseNode(usize),
    /// A node is told to stop, and started again when it has.
    StopNode(usize),
    /// A node is told that its settings have changed.
    ReloadSettings(usize),
    /// The store misbehaves.
    Store(StoreFault),
    /// The store drops the history of what operators and endpoints write.
    TrimTopics,
    /// A link is disturbed.
    Link(LinkId, LinkFault),
    /// An endpoint misbehaves.
    Endpoint(usize, EndpointFault),
    /// An endpoint's life ends; another begins at the end.
    EndIncarnation(usize),
    /// An endpoint says that it leaves, and does so at the end.
    Drain(usize),
    /// A new configuration.
    ChangeConfig,
    /// Maintenance is ordered for half of the VMs.
    OrderMaintenance,
}

/// A fault with its times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedFault {
    /// When it begins, in milliseconds since the traffic's start.
    pub start_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults of a run.
#[must_use]
pub fn plan_faults(seed: u64, length_ms: u64, nodes: usize, endpoints: usize) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start_ms = FIRST_MS;
    while start_ms < length_ms {
        planned.push(PlannedFault {
            start_ms,
            duration_ms: random.random_range(LENGTHS_MS),
            fault: draw_fault(&mut random, nodes, endpoints),
        });
        start_ms += random.random_range(PAUSES_MS);
    }
    planned
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
