//! Waves of maintenance, moves, and what they may cut off.

mod common;

use {
    common::{Fleet, POOL, listed, step},
    lynxwheel_engine::{
        Effect, EndKind, Event, JobSpec, Resources, StepSpec, VmEntry, VmOutcome, VmState,
        WaveOrder,
    },
};

fn vm(name: &str, endpoint: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        pool: POOL.into(),
        state: VmState::Up,
        zone: "zone-1".into(),
        labels: Vec::new(),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mb: 64_000,
            gpus: 0,
        },
        endpoint: endpoint.into(),
    }
}

fn wave(vms: &[&str], max_count: usize) -> Event {
    wave_in(vms, max_count, 20.0)
}

fn wave_in(vms: &[&str], max_count: usize, duration_s: f64) -> Event {
    Event::WaveOrdered(WaveOrder {
        wave: 1,
        vms: vms.iter().map(|name| (*name).into()).collect(),
        duration_s,
        max_count,
    })
}

fn maintained(fleet: &Fleet) -> Vec<String> {
    let names = fleet.orders.iter().filter_map(|order| match order {
        Effect::MaintainVm { vm, .. } => Some(vm.to_string()),
        _ => None,
    });
    let mut names: Vec<String> = names.collect();
    names.dedup();
    names
}

/// Hands in a job whose tasks last, of which one may be unavailable.
fn submit_long_running(fleet: &mut Fleet, count: u16, max_per_endpoint: u16) {
    let spec = StepSpec {
        long_running: true,
        max_per_endpoint,
        max_unavailable: 1,
        ..step(count)
    };
    let steps = vec![spec];
    fleet.submit_spec(
        1,
        JobSpec {
            steps,
            ..JobSpec::default()
        },
    );
}

/// Returns a fleet of three VMs with an endpoint each.
fn three_vms() -> (Fleet, Vec<VmEntry>) {
    let mut fleet = Fleet::new();
    let mut vms = Vec::new();
    for number in 1..=3 {
        let endpoint = format!("i-{number}");
        fleet.list_endpoint(&endpoint, 16_000);
        vms.push(vm(&format!("vm-{number}"), &endpoint));
    }
    fleet.handle(Event::VmsListed(vms.clone()));
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    (fleet, vms)
}

/// Two VMs of a wave are down where one is allowed. The list of VMs was asked for before the first
/// maintenance began and came after; it shows the VM as up, and the next one was ordered.
#[test]
fn outdated_vm_list_does_not_end_a_maintenance() {
    let (mut fleet, vms) = three_vms();
    fleet.handle(wave(&["vm-1", "vm-2"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet).len(), 1);
    let first = maintained(&fleet).remove(0);
    fleet.handle(Event::VmOrderAnswered {
        vm: first.as_str().into(),
        outcome: VmOutcome::Done,
    });
    fleet.handle(Event::VmsListed(vms));
    fleet.advance(1_000);
    assert_eq!(maintained(&fleet), [first]);
}

/// A long-running task is cut off though its budget is spent. One of its siblings sits on an
/// endpoint that has fallen silent; what it told last, at work, was taken for how it stands.
#[test]
fn unresponsive_sibling_counts_as_unavailable() {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 3, 1);
    fleet.settle();
    fleet.advance(1_500);
    fleet.endpoints[0].is_silent = true;
    fleet.advance(1_500);
    fleet.handle(wave(&["vm-2", "vm-3"], 2));
    fleet.advance(1_000);
    let stops = fleet
        .orders
        .iter()
        .filter(|order| matches!(order, Effect::Stop { .. }))
        .count();
    assert_eq!(stops, 0, "{:?}", fleet.orders.last());
}

/// A wave ends late. Its owner is lost in the middle, and the successor, which reads the order
/// anew, takes the wave for one that has just begun and leaves busy VMs alone.
#[test]
fn wave_keeps_its_start_time_after_a_takeover() {
    let (mut fleet, vms) = three_vms();
    fleet.submit(1, 40);
    fleet.settle();
    fleet.handle(wave_in(&["vm-1", "vm-2", "vm-3"], 1, 60.0));
    fleet.advance(34_000);
    assert_eq!(maintained(&fleet).len(), 0, "there is time");
    fleet.take_over();
    fleet.handle(wave_in(&["vm-1", "vm-2", "vm-3"], 1, 60.0));
    fleet.handle(Event::VmsListed(vms));
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    fleet.advance(5_000);
    assert_eq!(
        maintained(&fleet).len(),
        1,
        "time is short: a busy VM is emptied"
    );
}

/// Two owners order the same VM within seconds, and the platform sees them take turns. A
/// successor waits with VMs that its predecessor ordered lately, and only with these.
#[test]
fn successor_waits_only_for_recently_ordered_vms() {
    let (mut fleet, vms) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    fleet.take_over();
    fleet.orders.clear();
    fleet.handle(wave(&["vm-1", "vm-2"], 2));
    fleet.handle(Event::VmsListed(vms));
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    fleet.advance(500);
    assert_eq!(maintained(&fleet), ["vm-2"]);
    fleet.advance(3_000);
    assert!(maintained(&fleet).contains(&"vm-1".to_string()));
}

/// Two long-running tasks of a step are away where one may be. The owner could not reach the store
/// and had decided to stop one of them; the order went out as a repeat of one that had not been
/// sent. The successor knew nothing of it and stopped another.
#[test]
fn stop_that_is_not_stored_is_not_repeated() {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 2, 0);
    fleet.settle();
    fleet.advance(1_500);
    fleet.is_store_down = true;
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(2_000);
    let is_stop = |order: &&Effect| matches!(order, Effect::Stop { .. });
    assert_eq!(fleet.orders.iter().filter(is_stop).count(), 0);
    fleet.is_store_down = false;
    fleet.advance(500);
    assert_ne!(fleet.orders.iter().filter(is_stop).count(), 0);
}

/// A customer is charged twice. The answer to a maintenance was slow, the order was repeated, and
/// the VM had come back with a new life that ran tasks when the repeat was answered as done. The
/// new life was taken for the one that had ended, and its tasks were started elsewhere.
#[test]
fn late_answer_to_an_order_does_not_end_the_next_incarnation() {
    let (mut fleet, _) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    fleet.list_endpoint("i-4", 16_000);
    let entry = {
        let mut entry = fleet.entries[3].clone();
        entry.vm = Some("vm-1".into());
        entry
    };
    fleet.handle(listed(entry, true));
    fleet.submit(1, 40);
    fleet.settle();
    assert_ne!(fleet.endpoints[3].started.len(), 0);
    fleet.handle(Event::VmOrderAnswered {
        vm: "vm-1".into(),
        outcome: VmOutcome::Done,
    });
    // Room elsewhere, so that lost tasks would start again.
    for (task, run) in fleet.endpoints[1].running.clone() {
        fleet.endpoints[1].end(&task, run, EndKind::Done);
    }
    fleet.settle();
    fleet.advance(500);
    for index in 0..40 {
        let task = format!("{}.0.0.{index}", common::job_id(1));
        assert_eq!(fleet.starts(&task), 1, "{task}");
    }
}

/// Two long-running tasks of a step are away where one may be. The first was to be stopped for a
/// wave while the store was down; before the decision could be stored the endpoint of the second
/// crashed, and the order went out all the same when the store came back.
#[test]
fn stop_is_reverted_when_a_sibling_is_lost_before_it_is_stored() {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 2, 1);
    fleet.settle();
    fleet.advance(1_500);
    fleet.is_store_down = true;
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(300);
    fleet.endpoints[1].is_silent = true;
    fleet.advance(2_000);
    fleet.is_store_down = false;
    fleet.advance(500);
    let is_stop = |order: &&Effect| matches!(order, Effect::Stop { .. });
    assert_eq!(fleet.orders.iter().filter(is_stop).count(), 0);
}

/// A long-running task is away for good, and its VM takes no work. All tasks of its step ran on the
/// only VM with their label. One was stopped for maintenance and could go on nowhere else; with it
/// away the budget allowed no other to be stopped.
#[test]
fn drain_without_progress_is_aborted() {
    let (mut fleet, _) = three_vms();
    let step = StepSpec {
        long_running: true,
        max_unavailable: 1,
        required_label: "rack-i-2".into(),
        ..step(3)
    };
    fleet.submit_spec(
        1,
        JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
    );
    fleet.settle();
    fleet.advance(1_500);
    fleet.handle(wave_in(&["vm-2"], 1, 60.0));
    fleet.advance(1_000);
    assert_eq!(fleet.endpoints[1].running.len(), 2, "one is away");
    fleet.advance(4_500);
    assert_eq!(fleet.endpoints[1].running.len(), 3, "and back in time");
}
