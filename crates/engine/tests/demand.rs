//! Which VMs a pool gets for the work that waits there.

mod common;

use {
    common::{Fleet, POOL, step},
    lynxwheel_engine::{Effect, Event, JobSpec, Room, StepSpec, VmEntry, VmState},
};

/// Room of every VM: 16 cores, as the pools of today have them.
const CPU_MILLIS: u64 = 16_000;

/// Returns a VM that is switched off.
fn spare(name: &str, label: &str, rack: &str, gpus: u64) -> VmEntry {
    VmEntry {
        name: name.into(),
        pool: "spare".into(),
        state: VmState::Up,
        zone: "zone-1".into(),
        labels: vec![label.into(), rack.into()],
        capacity: Room {
            cpu_millis: CPU_MILLIS,
            memory_mb: 64_000,
            gpus,
        },
        endpoint: "".into(),
    }
}

/// Hands in one step, and returns the VMs that are moved into the pool for it.
fn moved_for(step: StepSpec, spares: Vec<VmEntry>) -> Vec<String> {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", CPU_MILLIS);
    fleet.advance(200);
    fleet.engine.allow_vm_orders(true);
    fleet.handle(Event::Vms(spares));
    fleet.submit_spec(
        1,
        JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
    );
    fleet.advance(200);
    let names = fleet.orders.iter().filter_map(|order| match order {
        Effect::Move { vm, pool } if pool == POOL => Some(vm.to_string()),
        _ => None,
    });
    let mut moved: Vec<String> = names.collect();
    moved.sort_unstable();
    moved.dedup();
    moved
}

macro_rules! cases {
    ($($(#[$story:meta])* $name:ident: $step:expr, $spares:expr => $moved:expr;)*) => {
        $($(#[$story])* #[test] fn $name() {
            assert_eq!(moved_for($step, $spares), $moved);
        })*
    };
}

cases! {
    /// Work for a label waits for good. The pool has room enough on VMs without the label, so none
    /// is asked for.
    label_that_the_pool_lacks_brings_a_vm_with_it:
        StepSpec { required_label: "b".into(), ..step(2) },
        vec![spare("vm-a", "a", "r1", 0), spare("vm-b", "b", "r1", 0)] => ["vm-b"];

    /// A burst of work for a label that no VM has. The pool takes all others in for nothing and
    /// keeps them, and every other pool starves (0.13 to 0.33 of a calm day's worth where 0.37 to
    /// 0.47 is reached otherwise).
    label_that_no_vm_has_brings_none:
        StepSpec { required_label: "c".into(), ..step(60) },
        vec![spare("vm-a", "a", "r1", 0), spare("vm-b", "b", "r1", 0)] => [] as [&str; 0];

    /// Tasks with accelerators wait while VMs without any come one after the other.
    accelerators_are_looked_for:
        StepSpec { room: Room { gpus: 1, ..step(1).room }, ..step(1) },
        vec![spare("vm-a", "a", "r1", 0), spare("vm-g", "a", "r1", 4)] => ["vm-g"];

    /// Tasks take twice as long away from their data, and any VM that was off came first.
    vm_in_the_rack_of_the_data_comes_first:
        StepSpec { data_rack: "r2".into(), ..step(12) },
        vec![spare("vm-1", "a", "r1", 0), spare("vm-2", "a", "r2", 0)] => ["vm-2"];

    /// Memory is used up and the processor is not: the pool was taken to have room.
    memory_that_is_short_brings_a_vm:
        StepSpec { room: Room { memory_mb: 16_000, cpu_millis: 100, gpus: 0 }, ..step(6) },
        vec![spare("vm-1", "a", "r1", 0)] => ["vm-1"];

    /// Long-running tasks of which one may be on an endpoint ask for endpoints. Counted as work,
    /// they took every VM in while they waited.
    tasks_that_may_not_share_bring_one_vm_each:
        StepSpec { long_running: true, max_per_endpoint: 1, ..step(3) },
        (1..8).map(|number| spare(&format!("vm-{number}"), "a", "r1", 0)).collect()
            => ["vm-1", "vm-2"];
}
