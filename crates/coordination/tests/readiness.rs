//! Which nodes a balancer gets.

use lynxwheel_coordination::Readiness;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $readiness:expr => $is_ready:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!($readiness.is_ready(), $is_ready);
        })*
    };
}

const CURRENT: Readiness = Readiness {
    is_current: true,
    has_been_current: true,
    configured_peers: 8,
    live_peers: 8,
    log_reading_peers: 8,
};

const BEHIND: Readiness = Readiness {
    is_current: false,
    ..CURRENT
};

cases! {
    current: CURRENT => true;
    /// Crews get no maps while the platform's log is down, though nothing that a map needs is
    /// missing. Every node had turned its readiness off, and the balancer had nobody left.
    log_down_for_everybody: Readiness { log_reading_peers: 0, ..BEHIND } => true;
    log_down_for_a_single_node: Readiness {
        configured_peers: 0,
        live_peers: 0,
        log_reading_peers: 0,
        ..BEHIND
    } => true;
    /// A node is cut from the log and the others read it. It misses declarations and leaving
    /// endpoints, and the balancer has other nodes.
    cut_from_the_log_alone: Readiness { log_reading_peers: 5, ..BEHIND } => false;
    cut_from_everything: Readiness { live_peers: 0, log_reading_peers: 0, ..BEHIND } => false;
    /// A node that starts during the outage knows nothing to serve by.
    started_in_the_outage: Readiness {
        has_been_current: false,
        log_reading_peers: 0,
        ..BEHIND
    } => false;
}
