//! VM orders with slow, missing or negative responses.

mod common;

use {
    common::{Fleet, POOL, pool, queue, standby_vm, step},
    lynxwheel_engine::{
        Effect, Engine, EngineSettings, Event, FleetConfig, JobSpec, StepSpec, VmEntry, VmOutcome,
    },
};

/// Returns a fleet with idle VMs, some of which may be switched off.
fn idle_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for number in 1..=4 {
        fleet.list_endpoint(&format!("i-{number}"), 16_000);
    }
    fleet.advance(300);
    fleet.engine.allow_vm_orders(true);
    let vms = (1..=4).map(|number| VmEntry {
        pool: POOL.into(),
        endpoint: format!("i-{number}").into(),
        ..standby_vm(&format!("vm-{number}"))
    });
    fleet.list_vms(vms.collect());
    fleet.advance(1_500);
    fleet
}

/// Returns the first VM that was ordered to move.
fn first_moved(fleet: &Fleet) -> String {
    let moves = fleet.moves();
    moves.first().expect("a move").0.into()
}

fn moves_of(fleet: &Fleet, vm: &str) -> usize {
    let moves = fleet.moves();
    moves.iter().filter(|(moved, _)| *moved == vm).count()
}

fn answer(fleet: &mut Fleet, vm: &str, outcome: VmOutcome) {
    fleet.handle(Event::VmOrderAnswered {
        vm: vm.into(),
        outcome,
    });
    fleet.settle();
}

/// Returns the number of runs on a VM's endpoint after submitting more work than the others can
/// run.
fn runs_beside_work(fleet: &mut Fleet, vm: &str) -> usize {
    let spec = JobSpec {
        steps: vec![StepSpec {
            estimated_ms: 5_000,
            ..step(60)
        }],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.advance(200);
    let id = vm.replace("vm", "i");
    let endpoint = fleet.endpoints.iter().find(|endpoint| endpoint.id == id);
    endpoint.expect("an endpoint").running.len()
}

/// Guards against starting work on a VM while an unanswered order may still take effect and end it.
#[test]
fn vm_with_an_order_that_may_take_effect_gets_no_work() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    fleet.advance(1_600);
    assert_eq!(moves_of(&fleet, &vm), 2, "the order is repeated");
    answer(&mut fleet, &vm, VmOutcome::Refused);
    assert_eq!(runs_beside_work(&mut fleet, &vm), 0);
}

#[test]
fn vm_whose_first_order_was_refused_gets_work_again() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Refused);
    assert!(runs_beside_work(&mut fleet, &vm) > 0);
}

/// Guards against a second call for a VM while one is in flight, whose response would be taken for
/// that of a later order.
#[test]
fn order_is_not_retried_while_a_call_is_in_flight() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    fleet.advance(6_000);
    assert_eq!(moves_of(&fleet, &vm), 1);
}

/// Returns how many VMs are ordered into a pool within a time at a given rate limit.
fn fetched_within(ms: u64, vm_orders_per_s: u64) -> usize {
    let mut fleet = Fleet::new();
    let settings = EngineSettings {
        vm_orders_per_s,
        ..EngineSettings::default()
    };
    fleet.engine = Engine::new(settings);
    let config = FleetConfig {
        version: 1,
        queues: vec![queue()],
        pools: vec![pool(POOL, false), pool("spare", true)],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    fleet.engine.allow_vm_orders(true);
    let vms = (0..300).map(|number| standby_vm(&format!("vm-{number:03}")));
    fleet.list_vms(vms.collect());
    let spec = JobSpec {
        steps: vec![StepSpec {
            estimated_ms: 5_000,
            ..step(4_000)
        }],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.advance(ms);
    fleet
        .orders
        .iter()
        .filter(|order| matches!(order, Effect::MoveVm { .. }))
        .count()
}

/// Guards against exceeding the rate limit of the VM service, which refuses further orders.
#[test]
fn orders_respect_the_rate_limit_of_the_service() {
    assert!((30..=42).contains(&fetched_within(1_000, 32)));
    assert!(fetched_within(1_000, 1_000) >= 249);
}
