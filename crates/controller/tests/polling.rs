//! How often a follower reads the store.

use {
    lynxwheel_controller::{
        DOUBT_MS, MIN_POLL_WAIT_MS, OWNER_TIMEOUT_MS, OwnerContact, max_poll_wait_ms,
        retry_delay_ms,
    },
    lynxwheel_platform::{Bounds, PlatformSettings},
};

/// Time after the end of its wait in which a poll without a response is given up, in milliseconds.
const POLL_TIMEOUT_SLACK_MS: u64 = 900;

/// Returns bounds with times for a configuration and for undisturbed nodes, in milliseconds.
fn bounds(config_apply_ms: u64, contact_ms: u64) -> Bounds {
    let text = format!(
        "node_name=n\nip=10.1.0.9\nzone=z\nlisten_addrs.front=10.1.0.9:1\n\
         listen_addrs.ready=10.1.0.9:2\ninternal_ports=3,4\nplatform.address=10.1.0.7:5\n\
         bounds.config_apply_ms={config_apply_ms}\nbounds.contact_ms={contact_ms}\n"
    );
    PlatformSettings::parse("settings", &text)
        .expect("valid settings")
        .bounds
}

fn contact(responded_ms: u64, doubted_ms: u64) -> OwnerContact {
    OwnerContact {
        responded_ms,
        doubted_ms,
    }
}

macro_rules! cases {
    ($(#[doc = $doc:literal] $name:ident: $body:expr;)*) => {
        $(#[doc = $doc] #[test] fn $name() { $body; })*
    };
}

cases! {
    /// Guards against a configuration that reaches a node too late because a response was lost.
    lost_response_is_noticed_in_time: for apply_ms in (2_000..12_000).step_by(250) {
        for contact_ms in [2_000, 4_000, 9_000] {
            let noticed_ms = max_poll_wait_ms(&bounds(apply_ms, contact_ms)) + POLL_TIMEOUT_SLACK_MS;
            assert!(noticed_ms + 250 < apply_ms.min(contact_ms), "{apply_ms} {contact_ms}");
        }
    };

    /// Guards against nodes that poll a platform less often than its short times allow.
    short_times_keep_the_shortest_polls: for apply_ms in [0, 500, 2_000] {
        assert_eq!(max_poll_wait_ms(&bounds(apply_ms, 6_000)), MIN_POLL_WAIT_MS);
        assert_eq!(max_poll_wait_ms(&bounds(6_000, apply_ms)), MIN_POLL_WAIT_MS);
    };

    /// Guards against a fleet whose calls at rest do not fall where the platform allows it.
    long_times_allow_long_polls: {
        assert_eq!(max_poll_wait_ms(&bounds(5_000, 6_000)), 3_700);
        assert_eq!(max_poll_wait_ms(&bounds(60_000, 60_000)), 5_000);
    };

    /// Guards against a node that pauses between reads while the owner may have been replaced.
    failed_request_raises_doubt_until_the_owner_responds: {
        assert!(!contact(0, 0).is_in_doubt(10_000));
        assert!(contact(9_000, 9_500).is_in_doubt(9_500 + OWNER_TIMEOUT_MS));
        assert!(!contact(9_600, 9_500).is_in_doubt(9_700));
    };

    /// Guards against a node without callers that reads every renewal for ever after one failure.
    doubt_ends_without_requests: {
        assert!(contact(0, 9_500).is_in_doubt(9_499 + DOUBT_MS));
        assert!(!contact(0, 9_500).is_in_doubt(9_500 + DOUBT_MS));
    };

    /// Guards against a store that gets more calls from the nodes that it rejects than from others.
    failures_in_a_row_are_repeated_less_often: {
        let delays = [1, 2, 3, 4, 5, 40].map(|failures| retry_delay_ms(100, failures, 3_700));
        assert_eq!(delays, [100, 200, 400, 800, 1_600, 1_600]);
    };

    /// Guards against slower recovery from a short outage where configurations are due soon.
    short_times_keep_the_delay: {
        let delays = [1, 2, 9].map(|failures| retry_delay_ms(100, failures, MIN_POLL_WAIT_MS));
        assert_eq!(delays, [100, 100, 100]);
    };
}
