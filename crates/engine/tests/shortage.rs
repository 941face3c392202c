//! Distribution of VMs between pools when there are too few.

mod common;

use {
    common::{Fleet, POOL, pool, queue, standby_vm, step},
    lynxwheel_engine::{Event, FleetConfig, JobSpec, Queue, StepSpec},
};

/// Another pool with its own queue.
const OTHER: &str = "crews";

fn other_queue() -> Queue {
    Queue {
        host: "crews.example".into(),
        path_prefix: "/crews/".into(),
        pool: OTHER.into(),
        ..queue()
    }
}

/// Returns a fleet with two pools without endpoints.
fn two_pools() -> Fleet {
    let mut fleet = Fleet::new();
    let config = FleetConfig {
        version: 2,
        queues: vec![queue(), other_queue()],
        pools: vec![pool(OTHER, false), pool(POOL, false), pool("spare", true)],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    fleet.engine.allow_vm_orders(true);
    fleet
}

fn submit(fleet: &mut Fleet, number: u64, queue: Queue, tasks: u16) {
    submit_step(fleet, number, queue, step(tasks));
}

fn submit_step(fleet: &mut Fleet, number: u64, queue: Queue, step: StepSpec) {
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    fleet.submit_to(queue, number, spec);
}

/// Returns the pools into which VMs were ordered, in order.
fn ordered(fleet: &Fleet) -> Vec<&str> {
    fleet.moves().into_iter().map(|(_, pool)| pool).collect()
}

/// Guards against a pool with late work taking the VMs that others need to be on time.
#[test]
fn late_work_takes_no_vm_from_work_that_can_be_on_time() {
    let mut fleet = two_pools();
    submit(&mut fleet, 1, queue(), 60);
    fleet.advance(4_000);
    submit(&mut fleet, 2, other_queue(), 8);
    fleet.list_vms(vec![standby_vm("vm-1")]);
    fleet.advance(100);
    assert_eq!(ordered(&fleet), [OTHER]);
}

#[test]
fn late_work_gets_the_remaining_vms() {
    let mut fleet = two_pools();
    submit(&mut fleet, 1, queue(), 60);
    fleet.advance(4_000);
    submit(&mut fleet, 2, other_queue(), 8);
    fleet.list_vms(vec![standby_vm("vm-1"), standby_vm("vm-2")]);
    fleet.advance(100);
    assert_eq!(ordered(&fleet), [OTHER, POOL]);
}

/// Guards against treating long-running tasks as late.
#[test]
fn long_running_work_is_never_late() {
    let mut fleet = two_pools();
    let long_running = StepSpec {
        long_running: true,
        ..step(60)
    };
    submit_step(&mut fleet, 1, queue(), long_running);
    fleet.advance(4_000);
    submit(&mut fleet, 2, other_queue(), 8);
    fleet.list_vms(vec![standby_vm("vm-1")]);
    fleet.advance(100);
    assert_eq!(ordered(&fleet), [POOL]);
}
