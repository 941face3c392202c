//! Start order of waiting tasks while capacity is short.

mod common;

use {
    common::{Fleet, step},
    lynxwheel_engine::{JobSpec, StepSpec},
};

/// Guards against jobs that each start as their slack runs out: under a backlog nearly all of them
/// were late with a later step, after they had taken the capacity of others for the first.
#[test]
fn tasks_of_started_jobs_come_before_jobs_with_less_slack() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(300);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(4)
    };
    fleet.submit_spec(
        1,
        JobSpec {
            steps: vec![step(4), second],
            ..JobSpec::default()
        },
    );
    fleet.settle();
    fleet.submit(2, 4);
    fleet.end_all_done();
    fleet.advance(100);
    assert_eq!(fleet.starts("0000000000000001.0.1.0"), 1);
    assert_eq!(fleet.starts("0000000000000002.0.0.0"), 0);
}
