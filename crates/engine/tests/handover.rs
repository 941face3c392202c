//! Hand-over of VMs from pools with late work to pools with on-time work.

mod common;

use {
    common::{Fleet, POOL, listed, pool, queue, standby_vm, step},
    lynxwheel_engine::{
        CapacityPlan, EndKind, EndpointEntry, Event, FleetConfig, JobSpec, Now, PoolCapacity,
        Queue, ReleaseCandidate, StepSpec, VmEntry, VmOutcome, VmState, choose_vacating,
    },
};

/// Processor of each VM, in thousandths of a core.
const CPU_MILLIS: u64 = 16_000;

/// Another pool with its own queue.
const OTHER: &str = "crews";

/// Further pools.
const THIRD: &str = "depots";
const FOURTH: &str = "escorts";

/// Returns a plan of a pool with VMs and one without, both with a need in VMs.
fn plan(vms: u64, needed: u64, needed_other: u64) -> CapacityPlan {
    let capacity = |name: &str, vms, needed| PoolCapacity {
        pool: name.into(),
        supply_cpu_millis: vms * CPU_MILLIS,
        needed_cpu_millis: needed * CPU_MILLIS,
        ..PoolCapacity::default()
    };
    let pools = vec![capacity("a", vms, needed), capacity("b", 0, needed_other)];
    CapacityPlan::new(pools, Now::default())
}

/// Returns candidates in the first pool, each with the time until its runs have ended.
fn candidates(vacating: &[u64], others: &[u64]) -> Vec<ReleaseCandidate> {
    let known = vacating.iter().map(|&busy_ms| (busy_ms, true));
    let known = known.chain(others.iter().map(|&busy_ms| (busy_ms, false)));
    known
        .zip(0..)
        .map(|((busy_ms, is_vacating), endpoint)| ReleaseCandidate {
            endpoint,
            pool_index: 0,
            cpu_millis: CPU_MILLIS,
            is_vacating,
            busy_ms,
        })
        .collect()
}

macro_rules! choices {
    ($($(#[$doc:meta])* $name:ident: $plan:expr, $releasable:expr, $candidates:expr => $chosen:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(choose_vacating(&$plan, &[$releasable, 0], $candidates), $chosen);
        })*
    };
}

choices! {
    /// Guards against a pool that keeps all VMs for late work, which is no need.
    surplus_is_released_by_the_end_of_runs:
        plan(4, 1, 2), 4, candidates(&[], &[900, 100, 500, 300]) => [1, 3];

    /// Guards against slots that are refilled because another VM seems empty earlier.
    vacating_vms_stay_chosen: plan(3, 1, 2), 3, candidates(&[900], &[100, 500, 300]) => [0, 1];

    /// Guards against VMs that never take work again.
    vms_are_kept_once_nothing_is_missing: plan(3, 1, 0), 3, candidates(&[900], &[100]) => [];

    /// Guards against a pool that loses the VMs that its long-running tasks need.
    members_that_the_pool_needs_are_kept: plan(4, 1, 3), 1, candidates(&[], &[100, 200, 300]) => [0];

    /// Guards against vacating VMs that are missing for the minimum of their pool.
    vacating_vms_fill_up_the_minimum: plan(4, 1, 3), -1, candidates(&[100, 200], &[]) => [0];

    /// Guards against moves back and forth between two pools that are equally short of capacity.
    small_surplus_is_kept: plan(2, 2, 1), 2, candidates(&[], &[100, 200]) => [];

    /// Guards against a long queue that starves others once no pool's need can be met.
    short_capacity_is_shared: plan(4, 4, 4), 4, candidates(&[], &[100, 200, 300, 400]) => [0];
}

/// Guards against a pool that hands VMs over although its own need has grown since.
#[test]
fn vacating_vms_take_work_again_once_their_pool_needs_them() {
    let capacity = |name: &str, vms, needed| PoolCapacity {
        pool: name.into(),
        supply_cpu_millis: vms * CPU_MILLIS,
        needed_cpu_millis: needed * CPU_MILLIS,
        ..PoolCapacity::default()
    };
    let pools = vec![
        capacity("a", 1, 3),
        capacity("b", 0, 2),
        capacity("c", 9, 0),
    ];
    let plan = CapacityPlan::new(pools, Now::default());
    let chosen = choose_vacating(&plan, &[0, 0, 0], candidates(&[100, 200], &[]));
    assert_eq!(chosen, []);
}

/// Returns the list of the VMs of the pool that has them.
fn fleet_vms(vms: usize) -> impl Iterator<Item = VmEntry> {
    (0..vms).map(|number| VmEntry {
        pool: POOL.into(),
        state: VmState::Up,
        endpoint: format!("i-{number}").into(),
        ..standby_vm(&format!("vm-{number}"))
    })
}

/// Returns a fleet with two pools, of which one has VMs with an endpoint each.
fn fleet_with_vms(vms: usize) -> Fleet {
    let mut fleet = Fleet::new();
    let other_queue = Queue {
        host: "crews.example".into(),
        path_prefix: "/crews/".into(),
        pool: OTHER.into(),
        ..queue()
    };
    let config = FleetConfig {
        version: 2,
        queues: vec![queue(), other_queue],
        pools: vec![
            pool(OTHER, false),
            pool(THIRD, false),
            pool(FOURTH, false),
            pool(POOL, false),
            pool("spare", true),
        ],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    for number in 0..vms {
        let (vm, endpoint) = (format!("vm-{number}"), format!("i-{number}"));
        fleet.list_endpoint_on(&vm, &endpoint, POOL, CPU_MILLIS);
    }
    fleet.list_vms(fleet_vms(vms).collect());
    fleet.advance(200);
    fleet.engine.allow_vm_orders(true);
    fleet
}

fn submit(fleet: &mut Fleet, number: u64, pool: &str, tasks: u16) {
    let queue = if pool == POOL {
        queue()
    } else {
        Queue {
            host: "crews.example".into(),
            path_prefix: "/crews/".into(),
            pool: pool.into(),
            ..queue()
        }
    };
    let spec = JobSpec {
        steps: vec![StepSpec {
            estimated_ms: 500,
            ..step(tasks)
        }],
        ..JobSpec::default()
    };
    fleet.submit_to(queue, number, spec);
}

/// Guards against a pool with a late backlog that refills each freed slot, so that no VM becomes
/// idle while on-time work of another pool waits for VMs.
#[test]
fn pool_with_a_late_backlog_hands_vms_over() {
    let mut fleet = fleet_with_vms(6);
    submit(&mut fleet, 1, POOL, 400);
    fleet.advance(4_000);
    submit(&mut fleet, 2, OTHER, 32);
    for _ in 0..3 {
        fleet.advance(100);
        fleet.end_all_done();
    }
    fleet.advance(100);
    let moved = fleet.moves().into_iter().filter(|(_, pool)| *pool == OTHER);
    assert!(moved.count() >= 2, "{:?}", fleet.moves());
}

/// Guards against VMs without work after the need for them has gone.
#[test]
fn vacating_vms_take_work_again_once_nothing_is_missing() {
    let mut fleet = fleet_in_handover();
    fleet.engine.allow_vm_orders(false);
    fleet.advance(100);
    assert_eq!(vacating(&fleet), [0; 0]);
}

/// Returns the indexes of the vacating endpoints.
fn vacating(fleet: &Fleet) -> Vec<usize> {
    let endpoints = fleet.engine.endpoints().iter();
    let ids = endpoints
        .filter(|(_, endpoint)| endpoint.is_vacating)
        .map(|(_, endpoint)| endpoint.id.as_str());
    let index = |id: &str| fleet.endpoints.iter().position(|known| known.id == id);
    ids.filter_map(index).collect()
}

/// Returns a fleet in which a pool with a late backlog hands VMs over.
fn fleet_in_handover() -> Fleet {
    let mut fleet = fleet_with_vms(6);
    submit(&mut fleet, 1, POOL, 400);
    fleet.advance(4_000);
    submit(&mut fleet, 2, OTHER, 32);
    fleet.advance(100);
    assert!(!vacating(&fleet).is_empty());
    fleet
}

/// Ends the runs on some endpoints.
fn end_runs_on(fleet: &mut Fleet, endpoints: &[usize]) {
    for &index in endpoints {
        for (task, run) in fleet.endpoints[index].running.clone() {
            fleet.endpoints[index].end(&task, run, EndKind::Done);
        }
    }
}

/// Guards against endpoints that get no work for ever because no pool on standby is left.
#[test]
fn vacating_vms_take_work_again_without_a_standby_pool() {
    let mut fleet = fleet_in_handover();
    let config = FleetConfig {
        version: 3,
        queues: vec![queue()],
        pools: vec![pool(OTHER, false), pool(POOL, false)],
        ..FleetConfig::default()
    };
    fleet.handle(Event::ConfigChanged(config.into()));
    fleet.advance(200);
    assert_eq!(vacating(&fleet), [0; 0]);
}

/// Guards against an empty VM without work while a refused order delays the next one.
#[test]
fn vm_with_a_refused_order_takes_work_until_the_next_one() {
    let mut fleet = fleet_in_handover();
    let leaving = vacating(&fleet);
    end_runs_on(&mut fleet, &leaving);
    fleet.advance(200);
    let moved = fleet.moves()[0].0.to_owned();
    fleet.answer_vm_order(&moved, VmOutcome::Refused);
    fleet.advance(200);
    let refused: usize = moved["vm-".len()..].parse().expect("a number");
    assert!(!vacating(&fleet).contains(&refused));
}

/// Guards against a pool that loses its last VMs because others shut down after the choice.
#[test]
fn vacating_vms_stay_if_the_others_shut_down() {
    let mut fleet = fleet_in_handover();
    let leaving = vacating(&fleet);
    for index in (0..6).filter(|index| !leaving.contains(index)) {
        let entry = EndpointEntry {
            born_ms: None,
            is_draining: true,
            ..fleet.entries[index].clone()
        };
        fleet.handle(listed(entry, false));
    }
    assert_eq!(leaving.len(), 2);
    fleet.end_all_done();
    fleet.advance(200);
    assert_eq!(fleet.moves(), []);
}

/// Guards against a pool that takes VMs as a replacement for those that it hands over, so that the
/// empty ones wait behind its own apparent shortage.
#[test]
fn runs_on_vacating_vms_are_no_shortage_of_their_pool() {
    let mut fleet = fleet_with_vms(12);
    submit(&mut fleet, 1, POOL, 400);
    fleet.advance(4_000);
    for (number, pool) in [(2, OTHER), (3, THIRD), (4, FOURTH)] {
        submit(&mut fleet, number, pool, 32);
    }
    fleet.advance(100);
    let leaving = vacating(&fleet);
    assert!(leaving.len() > 3, "{leaving:?}");
    end_runs_on(&mut fleet, &leaving[..1]);
    fleet.advance(200);
    let pools: Vec<&str> = fleet.moves().into_iter().map(|(_, pool)| pool).collect();
    assert_eq!(pools.len(), 1, "{pools:?}");
    assert_ne!(pools, [POOL]);
}

/// Guards against two moves for one change of hands: an idle VM that is switched off while one from
/// standby takes its place in another pool.
#[test]
fn idle_vm_is_handed_over_before_one_from_standby_is_ordered() {
    let mut fleet = fleet_with_vms(6);
    let standby = (6..12).map(|number| standby_vm(&format!("vm-{number}")));
    let entries = fleet_vms(6).chain(standby);
    fleet.list_vms(entries.collect());
    submit(&mut fleet, 1, OTHER, 32);
    fleet.advance(100);
    let moved: Vec<String> = fleet
        .moves()
        .into_iter()
        .filter(|(_, pool)| *pool == OTHER)
        .map(|(vm, _)| vm.to_owned())
        .collect();
    assert_eq!(moved, ["vm-0", "vm-1"]);
}
