//! Readiness of nodes for load balancers.

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
    /// Guards against all nodes becoming unready during an outage of the log, although idempotent
    /// requests do not need it.
    log_down_for_all_nodes: Readiness { log_reading_peers: 0, ..BEHIND } => true;
    log_down_without_peers: Readiness {
        configured_peers: 0,
        live_peers: 0,
        log_reading_peers: 0,
        ..BEHIND
    } => true;
    /// A node that alone cannot read the log misses declarations, while others can serve.
    isolated_from_the_log: Readiness { log_reading_peers: 5, ..BEHIND } => false;
    isolated_from_all: Readiness { live_peers: 0, log_reading_peers: 0, ..BEHIND } => false;
    /// A node that starts during an outage has no state to serve from.
    started_during_an_outage: Readiness {
        has_been_current: false,
        log_reading_peers: 0,
        ..BEHIND
    } => false;
}
