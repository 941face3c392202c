//! VM orders with slow, missing or negative responses.

mod common;

use {
    common::{Fleet, POOL, pool, queue, standby_vm, step, vms_with},
    lynxwheel_engine::{
        Batch, Effect, Engine, EngineSettings, Event, FleetConfig, JobSpec, StepSpec, VmEntry,
        VmOutcome, WaveOrder,
    },
};

/// Returns the list of the idle VMs.
fn idle_vms() -> Vec<VmEntry> {
    let vms = (1..=4).map(|number| VmEntry {
        pool: POOL.into(),
        endpoint: format!("i-{number}").into(),
        ..standby_vm(&format!("vm-{number}"))
    });
    vms.collect()
}

/// Returns a fleet with idle VMs, some of which may be switched off.
fn idle_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for number in 1..=4 {
        fleet.list_endpoint(&format!("i-{number}"), 16_000);
    }
    fleet.advance(300);
    fleet.engine.allow_vm_orders(true);
    fleet.list_vms(idle_vms());
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
    fleet.answer_vm_order(vm, outcome);
    fleet.settle();
}

/// Returns the number of runs on a VM's endpoint after submitting more work than the others can
/// run.
fn runs_beside_work(fleet: &mut Fleet, vm: &str) -> usize {
    submit_long_tasks(fleet, 1, 60);
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

/// Guards against starting work on a VM that was missing from a list while an order without an
/// answer may still take effect.
#[test]
fn vm_missing_from_a_list_keeps_the_order_that_may_take_effect() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    let others = idle_vms().into_iter().filter(|entry| entry.name != vm);
    fleet.list_vms(others.collect());
    fleet.list_vms(idle_vms());
    fleet.advance(1_600);
    assert_eq!(moves_of(&fleet, &vm), 2, "the order is repeated");
    answer(&mut fleet, &vm, VmOutcome::Refused);
    assert_eq!(runs_beside_work(&mut fleet, &vm), 0);
}

/// Guards against repeating an order from long ago on a VM that is listed again, and against a VM
/// that stays cordoned without an order.
#[test]
fn vm_missing_from_lists_for_long_gets_work_again() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    for _ in 0..32 {
        let others = idle_vms().into_iter().filter(|entry| entry.name != vm);
        fleet.list_vms(others.collect());
        fleet.advance(1_000);
    }
    assert_eq!(moves_of(&fleet, &vm), 1);
    assert!(runs_beside_work(&mut fleet, &vm) > 0);
    fleet.list_vms(idle_vms());
    fleet.advance(2_000);
    assert_eq!(moves_of(&fleet, &vm), 1);
}

/// Guards against a VM that is never used again, as its order can't succeed any more.
#[test]
fn vm_whose_order_is_refused_for_long_gets_work_again() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    for _ in 0..22 {
        fleet.advance(1_600);
        answer(&mut fleet, &vm, VmOutcome::Refused);
    }
    assert!(runs_beside_work(&mut fleet, &vm) > 0);
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

/// Returns a fleet with one VM that is switched off, and work for it.
fn fleet_with_standby_vm() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.engine.allow_vm_orders(true);
    fleet.list_vms(vec![standby_vm("vm-1")]);
    submit_long_tasks(&mut fleet, 1, 16);
    fleet.advance(100);
    assert_eq!(fleet.moves(), [("vm-1", POOL)]);
    fleet
}

fn submit_long_tasks(fleet: &mut Fleet, number: u64, count: u16) {
    let spec = JobSpec {
        steps: vec![StepSpec {
            estimated_ms: 5_000,
            ..step(count)
        }],
        ..JobSpec::default()
    };
    fleet.submit_spec(number, spec);
}

/// Starts an endpoint on the VM.
fn start_endpoint(fleet: &mut Fleet, id: &str, pool: &str) {
    fleet.list_endpoint_on("vm-1", id, pool, 16_000);
    fleet.settle();
}

fn has_ended(fleet: &Fleet, id: &str) -> bool {
    let endpoints = fleet.engine.endpoints();
    let key = endpoints.find(id).expect("a listed endpoint");
    endpoints.get(key).has_ended
}

/// Delivers a list that still shows the VM switched off.
fn list_as_standby(fleet: &mut Fleet, requested_ms: u64) {
    fleet.handle(Event::VmsListed {
        vms: vec![standby_vm("vm-1")],
        requested_ms,
    });
}

/// Guards against ordering a move again because of a list that was requested before it.
#[test]
fn list_requested_before_a_move_does_not_repeat_it() {
    let mut fleet = fleet_with_standby_vm();
    let requested_ms = fleet.now.steady_ms;
    fleet.advance(100);
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    list_as_standby(&mut fleet, requested_ms);
    fleet.advance(3_000);
    assert_eq!(moves_of(&fleet, "vm-1"), 1);
}

/// Guards against taking a move for completed because of a list from an earlier stay in the pool.
#[test]
fn list_requested_before_a_move_does_not_complete_it() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    let requested_ms = fleet.now.steady_ms - 2_000;
    fleet.handle(Event::VmsListed {
        vms: vec![standby_vm(&vm)],
        requested_ms,
    });
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    fleet.advance(1_600);
    assert_eq!(moves_of(&fleet, &vm), 2, "the order is repeated");
}

/// Guards against ending a living endpoint, whose tasks would start a second time.
#[test]
fn repeated_move_does_not_end_the_endpoint_that_the_first_one_brought() {
    let mut fleet = fleet_with_standby_vm();
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    start_endpoint(&mut fleet, "i-1", POOL);
    assert_eq!(fleet.endpoints[0].running.len(), 16);
    let now_ms = fleet.now.steady_ms;
    list_as_standby(&mut fleet, now_ms);
    submit_long_tasks(&mut fleet, 2, 16);
    fleet.advance(200);
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    fleet.advance(500);
    assert!(!has_ended(&fleet, "i-1"));
    assert_eq!(fleet.endpoints[0].running.len(), 16);
}

/// Guards against giving up an endpoint that was idle when its VM was ordered into its pool again.
#[test]
fn repeated_move_does_not_end_an_idle_endpoint_in_the_pool() {
    let mut fleet = fleet_with_standby_vm();
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    fleet.list_endpoint_on("vm-1", "i-1", POOL, 16_000);
    fleet.endpoints[0].is_unresponsive = true;
    let now_ms = fleet.now.steady_ms;
    list_as_standby(&mut fleet, now_ms);
    fleet.advance(200);
    assert_eq!(moves_of(&fleet, "vm-1"), 2);
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    fleet.endpoints[0].is_unresponsive = false;
    fleet.advance(1_000);
    assert_eq!(fleet.endpoints[0].running.len(), 16);
}

/// Guards against a move that ends work on a VM which a list shows in the standby pool.
#[test]
fn standby_vm_with_an_active_endpoint_is_not_ordered() {
    let mut fleet = fleet_with_standby_vm();
    answer(&mut fleet, "vm-1", VmOutcome::Done);
    start_endpoint(&mut fleet, "i-1", POOL);
    let now_ms = fleet.now.steady_ms;
    list_as_standby(&mut fleet, now_ms);
    submit_long_tasks(&mut fleet, 2, 16);
    fleet.advance(1_000);
    assert_eq!(moves_of(&fleet, "vm-1"), 1);
}

/// Guards against work on a restarted endpoint whose VM an unanswered move may still take away.
#[test]
fn endpoint_restarted_before_an_unanswered_move_gets_no_work() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    answer(&mut fleet, &vm, VmOutcome::Unknown);
    let index = usize::from(vm.as_bytes()[3] - b'1');
    fleet.entries[index].vm = Some(vm.as_str().into());
    fleet.crash(index);
    fleet.restart(index);
    submit_long_tasks(&mut fleet, 1, 60);
    fleet.advance(200);
    assert_eq!(fleet.endpoints[index].started.len(), 0);
}

/// Guards against a former owner that goes on ordering VMs beside its successor.
#[test]
fn fenced_order_makes_the_owner_step_down() {
    let mut fleet = idle_fleet();
    let vm = first_moved(&fleet);
    fleet.answer_vm_order(&vm, VmOutcome::Fenced);
    let effects = fleet.engine.take_immediate_effects();
    let mut effects = effects.iter();
    assert!(effects.any(|effect| matches!(effect, Effect::StepDown)));
    fleet.advance(6_000);
    assert_eq!(moves_of(&fleet, &vm), 1);
}

/// Guards against taking the answer to an order for that of a later one.
#[test]
fn answer_to_an_earlier_call_settles_no_later_order() {
    let mut fleet = fleet_with_standby_vm();
    fleet.list_vms(Vec::new());
    fleet.list_vms(vec![standby_vm("vm-1")]);
    fleet.advance(100);
    assert_eq!(moves_of(&fleet, "vm-1"), 2);
    fleet.answer_vm_call("vm-1", 1, VmOutcome::Refused);
    fleet.advance(3_000);
    assert_eq!(moves_of(&fleet, "vm-1"), 2, "the second call has no answer");
}

/// Returns a fleet whose order for its VM was decided and is being stored.
fn fleet_with_unstored_order() -> (Fleet, Batch) {
    let mut fleet = Fleet::new();
    fleet.engine.allow_vm_orders(true);
    fleet.list_vms(vec![standby_vm("vm-1")]);
    submit_long_tasks(&mut fleet, 1, 16);
    fleet.handle(Event::Tick);
    let batch = fleet.engine.take_batch(fleet.now);
    (fleet, batch)
}

fn has_move(effects: &[Effect]) -> bool {
    let mut effects = effects.iter();
    effects.any(|effect| matches!(effect, Effect::MoveVm { .. }))
}

/// Guards against an order that is sent after another node may have become the owner, because the
/// answer of the store came late.
#[test]
fn order_stored_after_the_ownership_is_not_sent() {
    let (mut fleet, batch) = fleet_with_unstored_order();
    fleet.engine.allow_vm_orders(false);
    let released = fleet.engine.committed(batch, fleet.now);
    assert!(!has_move(&released), "{released:?}");
}

/// Guards against a VM that gets no further order after one was withheld.
#[test]
fn withheld_order_is_decided_again_by_a_confirmed_owner() {
    let (mut fleet, batch) = fleet_with_unstored_order();
    fleet.engine.allow_vm_orders(false);
    drop(fleet.engine.committed(batch, fleet.now));
    fleet.engine.allow_vm_orders(true);
    fleet.advance(3_000);
    assert_eq!(fleet.moves(), [("vm-1", POOL)]);
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

/// Guards against work on a VM that a call without an answer may still end, because lists omit it
/// repeatedly.
#[test]
fn vm_missing_from_every_other_list_stays_cordoned() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint_on("vm-1", "i-0", POOL, 16_000);
    fleet.list_vms(vms_with("vm-1", "i-0"));
    fleet.engine.allow_vm_orders(true);
    fleet.advance(500);
    fleet.handle(Event::WaveOrdered(WaveOrder {
        wave: 1,
        vms: vec!["vm-1".into()],
        duration_s: 2.0,
        max_count: 1,
    }));
    fleet.advance(500);
    fleet.answer_vm_order("vm-1", VmOutcome::Unknown);
    for vms in [Vec::new(), vms_with("vm-1", "i-0"), Vec::new(), Vec::new()] {
        fleet.list_vms(vms);
    }
    let key = fleet.engine.endpoints().find("i-0").expect("an endpoint");
    assert!(fleet.engine.endpoints().get(key).is_cordoned);
}
