//! Rate limit on appends.

use lynxwheel_coordination::{RateLimiter, RateShare};

/// Maximum number of appends a second.
const MAX_APPENDS_PER_S: u64 = 40;

/// Returns the times at which `count` appends that are ready at `start_us` are sent.
fn append_times(rate_limiter: &mut RateLimiter, start_us: u64, count: u32) -> Vec<u64> {
    let mut now_us = start_us;
    (0..count)
        .map(|_| {
            now_us += rate_limiter.reserve(now_us, MAX_APPENDS_PER_S);
            now_us
        })
        .collect()
}

/// Guards against appends above the rate limit after an outage, most of which the log service
/// would reject.
#[test]
fn no_second_exceeds_the_rate() {
    let mut rate_limiter = RateLimiter::default();
    let append_times = append_times(&mut rate_limiter, 60_000_000, 400);
    for (index, start_us) in append_times.iter().enumerate() {
        let appends = append_times[index..]
            .iter()
            .take_while(|time_us| **time_us < start_us + 1_000_000)
            .count();
        assert!(
            appends as u64 <= MAX_APPENDS_PER_S + 8,
            "{appends} in a second"
        );
    }
}

/// A single append after a pause must not be delayed.
#[test]
fn rare_appends_are_not_delayed() {
    let mut rate_limiter = RateLimiter::default();
    for second in 1..100 {
        assert_eq!(
            rate_limiter.reserve(second * 1_000_000, MAX_APPENDS_PER_S),
            0
        );
    }
}

/// Guards against a node that keeps to its fair share while the other nodes leave the rate unused.
#[test]
fn unused_rate_is_used() {
    let mut share = RateShare::new(360, 9);
    share.allowed_per_s(1_000, 500);
    assert_eq!(share.allowed_per_s(2_000, 500), 360);
    assert_eq!(share.allowed_per_s(3_000, 600), 160);
    assert_eq!(share.allowed_per_s(4_000, 1_000), 40);
}
