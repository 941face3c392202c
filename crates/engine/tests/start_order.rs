//! Start order of waiting tasks while capacity is short.

mod common;

use {
    common::{Fleet, queue, step},
    lynxwheel_engine::{JobSpec, Queue, StepSpec},
};

/// Returns a fleet with one endpoint of four cores.
fn fleet_of_four_cores() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(300);
    fleet
}

/// Guards against jobs that each start as their slack runs out: under a backlog nearly all of them
/// were late with a later step, after they had taken the capacity of others for the first.
#[test]
fn tasks_of_started_jobs_come_before_jobs_with_less_slack() {
    let mut fleet = fleet_of_four_cores();
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

/// Guards against starting jobs that will be late with the slightest delay instead of ones that can
/// still be on time.
#[test]
fn job_with_next_to_no_slack_comes_after_one_with_some() {
    let mut fleet = fleet_of_four_cores();
    fleet.submit(1, 4);
    fleet.settle();
    fleet.submit(2, 4);
    // The objective of 2,200 ms leaves a slack of 200 ms by now.
    fleet.advance(1_000);
    fleet.submit_to(
        Queue {
            target_latency_ms: 400,
            ..queue()
        },
        3,
        JobSpec {
            steps: vec![step(4)],
            ..JobSpec::default()
        },
    );
    fleet.end_all_done();
    fleet.advance(100);
    assert_eq!(fleet.starts("0000000000000003.0.0.0"), 1);
    assert_eq!(fleet.starts("0000000000000002.0.0.0"), 0);
}

/// Guards against late jobs that newer ones overtake until they have lost all value, although the
/// fleet has capacity for both.
#[test]
fn expiring_job_comes_first_while_the_fleet_is_not_short() {
    let mut fleet = fleet_of_four_cores();
    fleet.submit(1, 4);
    fleet.settle();
    fleet.submit(2, 4);
    fleet.advance(4_000);
    fleet.submit(3, 1);
    fleet.end_all_done();
    fleet.advance(100);
    assert!(!fleet.engine.capacity_plan().is_short());
    assert_eq!(fleet.starts("0000000000000002.0.0.0"), 1);
    assert_eq!(fleet.starts("0000000000000003.0.0.0"), 0);
}

/// Guards against a large job of a lower priority that keeps urgent ones waiting once it has
/// started.
#[test]
fn job_of_a_higher_priority_comes_before_started_jobs() {
    let mut fleet = fleet_of_four_cores();
    let batch_queue = Queue {
        host: "batch.example".into(),
        priority: 1,
        ..queue()
    };
    let spec = JobSpec {
        steps: vec![step(40)],
        ..JobSpec::default()
    };
    fleet.submit_to(batch_queue, 1, spec);
    fleet.settle();
    fleet.submit(2, 1);
    fleet.end_all_done();
    fleet.advance(100);
    assert_eq!(fleet.starts("0000000000000002.0.0.0"), 1);
}

/// Guards against jobs of queues without an objective that come before those that can be on time.
#[test]
fn job_without_an_objective_never_expires() {
    let mut fleet = fleet_of_four_cores();
    fleet.submit(1, 4);
    fleet.settle();
    let queue = Queue {
        stretch: 0.0,
        target_latency_ms: 0,
        ..queue()
    };
    let spec = JobSpec {
        steps: vec![step(4)],
        ..JobSpec::default()
    };
    fleet.submit_to(queue, 2, spec);
    fleet.advance(1_400);
    fleet.submit(3, 1);
    fleet.end_all_done();
    fleet.advance(100);
    assert_eq!(fleet.starts("0000000000000003.0.0.0"), 1);
}
