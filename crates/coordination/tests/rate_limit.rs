//! The bound on appends.

use lynxwheel_coordination::{RateLimiter, RateShare};

/// Appends of one node in a second at most.
const RATE: u64 = 40;

/// Returns when `count` appends go out that are all ready at `start_us`.
fn times(rate_limiter: &mut RateLimiter, start_us: u64, count: u32) -> Vec<u64> {
    let mut now_us = start_us;
    (0..count)
        .map(|_| {
            now_us += rate_limiter.reserve(now_us, RATE);
            now_us
        })
        .collect()
}

/// Nothing can be declared for minutes after an outage. Nine nodes appended as fast as they could
/// and the log service refused most of it. No second may see more than the rate and the burst.
#[test]
fn no_second_exceeds_the_rate() {
    let mut rate_limiter = RateLimiter::default();
    let times = times(&mut rate_limiter, 60_000_000, 400);
    for (row, start_us) in times.iter().enumerate() {
        let within = times[row..]
            .iter()
            .take_while(|time_us| **time_us < start_us + 1_000_000)
            .count();
        assert!(within as u64 <= RATE + 8, "{within} in a second");
    }
}

/// A single append after a pause must not wait.
#[test]
fn rare_appends_do_not_wait() {
    let mut rate_limiter = RateLimiter::default();
    for second in 1..100 {
        assert_eq!(rate_limiter.reserve(second * 1_000_000, RATE), 0);
    }
}

/// An operator's declarations take minutes although nobody else writes, since the node kept to a
/// ninth of the rate. It must use what the others leave, and go back once they write.
#[test]
fn unused_rate_is_used() {
    let mut share = RateShare::new(360, 9);
    share.allowed_per_s(1_000, 500);
    assert_eq!(share.allowed_per_s(2_000, 500), 360);
    assert_eq!(share.allowed_per_s(3_000, 600), 160);
    assert_eq!(share.allowed_per_s(4_000, 1_000), 40);
}
