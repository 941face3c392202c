//! The bound on appends.

use lynxwheel_coordination::Pace;

/// Appends in a second of all nodes at most.
const RATE: u32 = 360;

/// Nodes.
const NODES: u32 = 9;

/// Returns when `count` appends go out that are all ready at `start_us`.
fn times(pace: &mut Pace, start_us: u64, count: u32) -> Vec<u64> {
    let mut now_us = start_us;
    (0..count)
        .map(|_| {
            now_us += pace.take(now_us, NODES);
            now_us
        })
        .collect()
}

/// Nothing can be declared for minutes after an outage. Nine nodes appended as fast as they could
/// and the log service refused most of it. No second may see more than the rate and the burst.
#[test]
fn no_second_exceeds_the_rate() {
    let mut pace = Pace::new(RATE);
    let times = times(&mut pace, 60_000_000, 400);
    for (row, start_us) in times.iter().enumerate() {
        let within = times[row..]
            .iter()
            .take_while(|time_us| **time_us < start_us + 1_000_000)
            .count();
        assert!(
            within <= (RATE / NODES) as usize + 8,
            "{within} in a second"
        );
    }
}

/// A single append after a pause must not wait.
#[test]
fn rare_appends_do_not_wait() {
    let mut pace = Pace::new(RATE);
    for second in 1..100 {
        assert_eq!(pace.take(second * 1_000_000, 1), 0);
    }
}
