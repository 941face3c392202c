//! Renewals that a delegate no longer executes.

use {lynxwheel_controller::NewestRenewals, std::net::SocketAddr};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

// Each case has the endpoints and numbers of renewals, and whether each of them is executed.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: [$(($port:expr, $number:expr) => $is_executed:expr),*];)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut newest = NewestRenewals::default();
            $(assert_eq!(newest.record(address($port), $number), $is_executed);)*
        })*
    };
}

cases! {
    /// Guards against a delayed renewal that acknowledges what a newer one has listed.
    overtaken_renewal_is_not_executed: [(1, 7) => true, (1, 9) => true, (1, 8) => false];

    /// Guards against an endpoint that is no longer renewed.
    later_renewals_are_executed: [(1, 7) => true, (1, 8) => true, (1, 9) => true];

    /// Guards against renewals of one endpoint that count for another.
    endpoints_are_told_apart: [(1, 9) => true, (2, 8) => true, (1, 8) => false, (2, 9) => true];
}
