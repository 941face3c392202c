//! Maintenance waves.

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

/// Submits a job with long-running tasks, one of which may be unavailable.
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

/// Returns a fleet of three VMs with one endpoint each.
fn three_vms() -> (Fleet, Vec<VmEntry>) {
    let mut fleet = Fleet::new();
    let mut vms = Vec::new();
    for number in 1..=3 {
        let endpoint = format!("i-{number}");
        fleet.list_endpoint(&endpoint, 16_000);
        vms.push(vm(&format!("vm-{number}"), &endpoint));
    }
    fleet.list_vms(vms.clone());
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    (fleet, vms)
}

/// Guards against a VM list from before a maintenance ending it, so that one VM too many is down.
#[test]
fn outdated_vm_list_does_not_end_a_maintenance() {
    let (mut fleet, vms) = three_vms();
    fleet.handle(wave(&["vm-1", "vm-2"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet).len(), 1);
    let first = maintained(&fleet).remove(0);
    fleet.answer_vm_order(&first, VmOutcome::Done);
    fleet.list_vms(vms);
    fleet.advance(1_000);
    assert_eq!(maintained(&fleet), [first]);
}

/// Guards against counting a sibling on an unresponsive endpoint as available.
#[test]
fn unresponsive_sibling_counts_as_unavailable() {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 3, 1);
    fleet.settle();
    fleet.advance(1_500);
    fleet.endpoints[0].is_unresponsive = true;
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

/// Guards against a takeover restarting the time of a wave.
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
    fleet.list_vms(vms);
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    fleet.advance(5_000);
    assert_eq!(
        maintained(&fleet).len(),
        1,
        "time is short: a busy VM is emptied"
    );
}

/// Guards against a successor reporting a completed wave as running again.
#[test]
fn completed_wave_is_reported_as_completed_by_a_successor() {
    let (mut fleet, vms) = three_vms();
    fleet.handle(wave(&["vm-unknown"], 1));
    fleet.advance(200);
    assert_eq!(reported(&fleet), [false, true]);
    fleet.orders.clear();
    fleet.take_over();
    fleet.handle(wave(&["vm-unknown"], 1));
    fleet.list_vms(vms);
    fleet.engine.allow_vm_orders(true);
    fleet.advance(200);
    assert_eq!(reported(&fleet), [true]);
}

/// Returns whether each reported status of the wave is completed.
fn reported(fleet: &Fleet) -> Vec<bool> {
    let statuses = fleet.orders.iter().filter_map(|order| match order {
        Effect::PublishWave { is_completed, .. } => Some(*is_completed),
        _ => None,
    });
    statuses.collect()
}

/// Guards against two owners ordering the same VM within seconds, and against delaying other VMs.
#[test]
fn successor_waits_only_for_recently_ordered_vms() {
    let (mut fleet, vms) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    fleet.take_over();
    fleet.orders.clear();
    fleet.handle(wave(&["vm-1", "vm-2"], 2));
    fleet.list_vms(vms);
    fleet.settle();
    fleet.engine.allow_vm_orders(true);
    fleet.advance(500);
    assert_eq!(maintained(&fleet), ["vm-2"]);
    fleet.advance(3_000);
    assert!(maintained(&fleet).contains(&"vm-1".to_string()));
}

/// Guards against sending a stop as a retry before it is stored: a successor would not know of it
/// and would interrupt another task beyond the budget.
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

/// Guards against a late response to a retried order ending the next incarnation on the VM, whose
/// tasks would be started a second time.
#[test]
fn late_answer_to_an_order_does_not_end_the_next_incarnation() {
    let (mut fleet, _) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    // Work starts while it is unknown on which VM the endpoint is.
    fleet.list_endpoint("i-4", 16_000);
    fleet.submit(1, 40);
    fleet.settle();
    assert_ne!(fleet.endpoints[3].started.len(), 0);
    let entry = {
        let mut entry = fleet.entries[3].clone();
        entry.vm = Some("vm-1".into());
        entry
    };
    fleet.handle(listed(entry, true));
    fleet.settle();
    fleet.answer_vm_order("vm-1", VmOutcome::Done);
    // Free capacity elsewhere allows lost tasks to start again.
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

/// Guards against work on a restarted endpoint whose VM an unanswered maintenance may still end, and
/// against a VM that gets no work after it.
#[test]
fn endpoint_restarted_before_an_unanswered_maintenance_gets_work_after_it() {
    let (mut fleet, _) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    fleet.entries[0].vm = Some("vm-1".into());
    fleet.crash(0);
    fleet.restart(0);
    fleet.submit(1, 48);
    fleet.settle();
    assert_eq!(fleet.endpoints[0].started.len(), 0);
    fleet.answer_vm_order("vm-1", VmOutcome::Done);
    fleet.advance(500);
    assert_eq!(fleet.endpoints[0].running.len(), 16);
}

/// Replaces the owner, and lets its successor order the maintenance of the first VM.
fn order_again(fleet: &mut Fleet, vms: &[VmEntry]) {
    fleet.take_over();
    fleet.orders.clear();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.list_vms(vms.to_vec());
    fleet.engine.allow_vm_orders(true);
    fleet.advance(3_500);
    assert_eq!(maintained(fleet), ["vm-1"]);
}

/// Returns a fleet of which a previous owner had the first VM maintained without an answer.
fn three_vms_after_maintenance() -> (Fleet, Vec<VmEntry>) {
    let (mut fleet, mut vms) = three_vms();
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    assert_eq!(maintained(&fleet), ["vm-1"]);
    fleet.entries[0].vm = Some("vm-1".into());
    fleet.crash(0);
    fleet.restart(0);
    vms[0].endpoint.clone_from(&fleet.entries[0].id);
    order_again(&mut fleet, &vms);
    (fleet, vms)
}

/// Guards against giving up the endpoint of a VM whose maintenance a previous owner began, as the
/// order of its successor is reported as done, too.
#[test]
fn maintenance_executed_for_a_previous_owner_ends_no_later_incarnation() {
    let (mut fleet, _) = three_vms_after_maintenance();
    fleet.answer_vm_order("vm-1", VmOutcome::Done);
    fleet.submit(1, 48);
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running.len(), 16);
}

/// Guards against forgetting that a previous owner may have begun the maintenance because an order of
/// its successor was refused.
#[test]
fn refused_order_does_not_settle_that_of_a_previous_owner() {
    let (mut fleet, vms) = three_vms_after_maintenance();
    fleet.answer_vm_order("vm-1", VmOutcome::Refused);
    fleet.advance(100);
    order_again(&mut fleet, &vms);
    fleet.answer_vm_order("vm-1", VmOutcome::Done);
    fleet.submit(1, 48);
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].running.len(), 16);
}

/// Guards against sending a stop after a sibling was lost while the decision waited to be stored.
#[test]
fn stop_is_reverted_when_a_sibling_is_lost_before_it_is_stored() {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 2, 1);
    fleet.settle();
    fleet.advance(1_500);
    fleet.is_store_down = true;
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(300);
    fleet.endpoints[1].is_unresponsive = true;
    fleet.advance(2_000);
    fleet.is_store_down = false;
    fleet.advance(500);
    let is_stop = |order: &&Effect| matches!(order, Effect::Stop { .. });
    assert_eq!(fleet.orders.iter().filter(is_stop).count(), 0);
}

/// Returns a fleet in which a stop for maintenance is stored and not sent.
fn fleet_with_stored_stop() -> Fleet {
    let (mut fleet, _) = three_vms();
    submit_long_running(&mut fleet, 2, 1);
    fleet.settle();
    fleet.advance(1_500);
    fleet.is_store_down = true;
    fleet.handle(wave(&["vm-1"], 1));
    fleet.advance(100);
    fleet.settle_without_cleaning();
    fleet
}

fn take_over_with_store(fleet: &mut Fleet) {
    fleet.take_over();
    fleet.is_store_down = false;
    fleet.orders.clear();
    fleet.advance(3_000);
}

/// Returns the positions of the stops among the orders.
fn stops(fleet: &Fleet) -> Vec<usize> {
    let is_stop = |order: &Effect| matches!(order, Effect::Stop { .. });
    let orders = fleet.orders.iter().enumerate();
    orders
        .filter(|(_, order)| is_stop(order))
        .map(|(at, _)| at)
        .collect()
}

/// Guards against a successor that never sends a stop of its predecessor.
#[test]
fn inherited_stop_is_sent_within_the_budget() {
    let mut fleet = fleet_with_stored_stop();
    take_over_with_store(&mut fleet);
    assert_eq!(stops(&fleet).len(), 1);
}

/// Guards against a successor sending a stop after a sibling was lost.
#[test]
fn inherited_stop_waits_while_a_sibling_is_unavailable() {
    let mut fleet = fleet_with_stored_stop();
    fleet.endpoints[1].is_unresponsive = true;
    take_over_with_store(&mut fleet);
    assert_eq!(stops(&fleet), Vec::<usize>::new());
}

/// Guards against a successor sending a stop together with that of a sibling whose endpoint drains.
#[test]
fn inherited_stop_waits_for_a_sibling_that_leaves_a_draining_endpoint() {
    let mut fleet = fleet_with_stored_stop();
    fleet.entries[1].is_draining = true;
    let entry = fleet.entries[1].clone();
    fleet.handle(listed(entry, true));
    fleet.settle_without_cleaning();
    take_over_with_store(&mut fleet);
    let is_start = |order: &Effect| matches!(order, Effect::Start(_));
    let first_start = fleet.orders.iter().position(is_start);
    let stops = stops(&fleet);
    assert_eq!(stops.len(), 2);
    assert!(
        first_start.is_some_and(|at| stops[0] < at && at < stops[1]),
        "{:?}",
        fleet.orders
    );
}

/// Guards against a VM that stays cordoned because its long-running tasks can run nowhere else.
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
    assert_eq!(
        fleet.endpoints[1].running.len(),
        2,
        "one task is unavailable"
    );
    fleet.advance(4_500);
    assert_eq!(
        fleet.endpoints[1].running.len(),
        3,
        "the task runs again in time"
    );
}

/// Answers the first maintenance of a wave of two VMs, one at a time, and again each retry; returns
/// the VMs of which the maintenance was ordered.
fn ordered_after(outcomes: &[VmOutcome]) -> Vec<String> {
    let (mut fleet, _) = three_vms();
    fleet.handle(wave(&["vm-1", "vm-2"], 1));
    fleet.advance(100);
    let first = maintained(&fleet);
    assert_eq!(first.len(), 1);
    for &outcome in outcomes {
        fleet.answer_vm_order(&first[0], outcome);
        fleet.advance(1_600);
    }
    maintained(&fleet)
}

macro_rules! refused_maintenance {
    ($($(#[$doc:meta])* $name:ident: $outcomes:expr => $vms:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(ordered_after(&$outcomes).len(), $vms);
        })*
    };
}

refused_maintenance! {
    /// Guards against a wave that waits for a VM whose maintenance was refused.
    refused_maintenance_frees_its_place: [VmOutcome::Refused] => 2;

    /// Guards against a wave that waits for a VM that is busy otherwise.
    maintenance_of_a_busy_vm_frees_its_place: [VmOutcome::Busy] => 2;

    /// Guards against one VM too many in maintenance, as a refused retry counts for an earlier call
    /// that may still take effect.
    refused_retry_keeps_the_place_of_the_first_call:
        [VmOutcome::Unknown, VmOutcome::Refused, VmOutcome::Refused] => 1;

    /// Guards against one VM too many in maintenance, as a VM that is busy with it counts as free.
    retry_at_a_busy_vm_keeps_the_place_of_the_first_call:
        [VmOutcome::Unknown, VmOutcome::Busy, VmOutcome::Busy] => 1;
}
