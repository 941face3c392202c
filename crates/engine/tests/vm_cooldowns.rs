//! Cooldowns of VMs after a change of owner.

mod common;

use {
    common::{Fleet, POOL, standby_vm, step},
    lynxwheel_engine::{JobSpec, StepSpec, VmEntry, VmOutcome},
};

/// Epoch of the previous owner; the engines of the tests use the default.
const EPOCH: u64 = 0;

/// Returns the number of orders that move a VM into the pool.
fn moves(fleet: &Fleet) -> usize {
    let moves = fleet.moves();
    moves.iter().filter(|(_, pool)| *pool == POOL).count()
}

/// Returns a fleet whose owner was lost after ordering a VM into the pool, with work that requires
/// the VM again.
fn after_loss(is_answered: bool) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 16_000);
    fleet.advance(200);
    fleet.engine.allow_vm_orders(true);
    fleet.list_vms(vec![standby_vm("vm-1")]);
    let spec = JobSpec {
        steps: vec![StepSpec {
            estimated_ms: 5_000,
            ..step(60)
        }],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.advance(200);
    assert_eq!(moves(&fleet), 1);
    if is_answered {
        fleet.answer_vm_order("vm-1", VmOutcome::Done);
        fleet.settle();
    }
    fleet.orders.clear();
    fleet.take_over();
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    fleet
}

/// Lists the VM again, and returns whether it is ordered within a time.
fn is_ordered_within(fleet: &mut Fleet, ms: u64) -> bool {
    fleet.list_vms(vec![standby_vm("vm-1")]);
    fleet.advance(ms);
    moves(fleet) > 0
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $is_answered:expr, $prepare:expr, $within_ms:expr => $is_ordered:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut fleet = after_loss($is_answered);
            let prepare: fn(&mut Fleet) = $prepare;
            prepare(&mut fleet);
            assert_eq!(is_ordered_within(&mut fleet, $within_ms), $is_ordered);
        })*
    };
}

cases! {
    /// Guards against orders of two live owners for the same VM following each other closely.
    vm_of_a_possibly_live_owner_is_in_cooldown: true, |_| {}, 2_500 => false;

    cooldown_of_a_possibly_live_owner_ends: true, |_| {}, 3_400 => true;

    /// Guards against a cooldown of all VMs after a restart of all nodes.
    vm_of_an_ended_owner_is_available_immediately:
        true, |fleet| fleet.engine.end_vm_cooldowns(EPOCH, fleet.now.steady_ms + 1_200), 200 => true;

    /// Guards against an order of the ended owner taking effect after one of its successor.
    vm_with_an_order_in_flight_is_in_cooldown:
        false, |fleet| fleet.engine.end_vm_cooldowns(EPOCH, fleet.now.steady_ms + 1_200), 1_000 => false;

    cooldown_of_an_order_in_flight_ends:
        false, |fleet| fleet.engine.end_vm_cooldowns(EPOCH, fleet.now.steady_ms + 1_200), 1_500 => true;

    /// Guards against releasing VMs of an owner that is not known to have ended.
    vm_of_another_epoch_is_in_cooldown: true, |fleet| fleet.engine.end_vm_cooldowns(EPOCH + 1, 0), 2_500 => false;
}

/// Returns the number of tasks on an endpoint whose VM the previous owner had ordered away.
fn tasks_on_ordered_vm(answers: &[VmOutcome], ms: u64) -> usize {
    let mut fleet = Fleet::new();
    let mut vms = Vec::new();
    for number in 1..=4 {
        let (vm, endpoint) = (format!("vm-{number}"), format!("i-{number}"));
        fleet.list_endpoint_on(&vm, &endpoint, POOL, 16_000);
        vms.push(VmEntry {
            pool: POOL.into(),
            endpoint: endpoint.into(),
            ..standby_vm(&vm)
        });
    }
    fleet.advance(200);
    fleet.engine.allow_vm_orders(true);
    fleet.list_vms(vms);
    fleet.advance(1_500);
    let ordered = fleet.moves()[0].0.to_string();
    for &answer in answers {
        fleet.answer_vm_order(&ordered, answer);
        fleet.settle();
        if answer == VmOutcome::Unknown {
            // The order is repeated.
            fleet.advance(1_600);
        }
    }
    fleet.take_over();
    fleet.submit(1, 64);
    fleet.advance(ms);
    let id = ordered.replace("vm", "i");
    let endpoint = fleet.endpoints.iter().find(|known| known.id == id);
    endpoint.expect("a listed endpoint").running.len()
}

macro_rules! work {
    ($($(#[$doc:meta])* $name:ident: $answers:expr, $within_ms:expr => $tasks:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(tasks_on_ordered_vm(&$answers, $within_ms), $tasks);
        })*
    };
}

work! {
    /// Guards against work on a VM that an order of the previous owner may still take away.
    vm_with_an_inherited_order_in_flight_gets_no_work: [], 2_500 => 0;

    vm_with_an_inherited_order_gets_work_after_its_cooldown: [], 3_500 => 16;

    vm_without_an_inherited_order_gets_work_immediately: [VmOutcome::Refused], 500 => 16;

    /// Guards against work on a VM that an earlier call of the previous owner may still take away,
    /// as its retry was refused.
    vm_with_an_inherited_order_whose_retry_was_refused_gets_no_work:
        [VmOutcome::Unknown, VmOutcome::Refused], 2_500 => 0;

    /// Guards against work on a VM whose earlier order may be what keeps it busy.
    vm_with_an_inherited_order_whose_retry_found_it_busy_gets_no_work:
        [VmOutcome::Unknown, VmOutcome::Busy], 2_500 => 0;
}
