//! Orders that endpoints refuse although nothing is wrong with the order.

mod common;

use {
    common::{Fleet, job_id, listed, step, vms_with},
    lynxwheel_engine::{
        CallOutcome, Effect, EndKind, EndpointKey, Event, JobSpec, LogEvent, Refusal, RefusedOrder,
        RunOrder, StepSpec, TaskRef, WaveOrder,
    },
};

/// Longest time from the end of the refusals until a run that nobody wants is gone, in
/// milliseconds.
const STOPPED_WITHIN_MS: u64 = 600;

/// Longest time from a cancellation until its runs are gone, in milliseconds, as the platform
/// allows.
const CANCELLED_WITHIN_MS: u64 = 3_200;

fn refuse_stops(call: &Effect) -> Option<Refusal> {
    matches!(call, Effect::Stop { .. }).then_some(Refusal::Unhealthy)
}

fn cancel(fleet: &mut Fleet, number: u64) {
    fleet.handle(Event::Cancel {
        job: job_id(number),
        account: "".into(),
        token: 1_000 + number,
    });
    fleet.settle();
}

fn stops(fleet: &Fleet) -> usize {
    let orders = fleet.orders.iter();
    orders
        .filter(|order| matches!(order, Effect::Stop { .. }))
        .count()
}

fn set_refusals(fleet: &mut Fleet, refuses: Option<fn(&Effect) -> Option<Refusal>>) {
    for endpoint in &mut fleet.endpoints {
        endpoint.refuses = refuses;
    }
}

/// Submits a step to a fleet of two endpoints with four cores each, and starts what fits.
fn fleet_with(step: StepSpec) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.list_endpoint("i-2", 4_000);
    fleet.advance(200);
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    fleet.submit_spec(1, spec);
    fleet.settle();
    fleet
}

fn is_running(fleet: &Fleet, (task, run): (TaskRef, u32)) -> bool {
    let mut running = fleet.endpoints.iter().flat_map(|known| &known.running);
    running.any(|known| *known == (task, run))
}

/// Returns the first active run and the index of its endpoint.
fn first_run(fleet: &Fleet) -> (usize, (TaskRef, u32)) {
    let mut runs = fleet.endpoints.iter().zip(0..);
    runs.find_map(|(endpoint, index)| endpoint.running.first().map(|run| (index, *run)))
        .expect("an active run")
}

/// Makes the owner decide to stop the first run while its endpoint refuses stops, then lets the
/// endpoint recover. Returns whether the run went on meanwhile and is gone soon afterwards.
fn stops_after_refusals(step: StepSpec, decide: impl FnOnce(&mut Fleet, usize)) -> (bool, bool) {
    let mut fleet = fleet_with(step);
    let (index, run) = first_run(&fleet);
    set_refusals(&mut fleet, Some(refuse_stops));
    decide(&mut fleet, index);
    fleet.advance(1_000);
    let was_running = is_running(&fleet, run);
    assert!(stops(&fleet) > 0, "a stop was sent");
    set_refusals(&mut fleet, None);
    fleet.advance(STOPPED_WITHIN_MS);
    (was_running, !is_running(&fleet, run))
}

fn long_running(count: u16) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

fn drain(fleet: &mut Fleet, index: usize) {
    let mut entry = fleet.entries[index].clone();
    entry.is_draining = true;
    fleet.handle(listed(entry, true));
    fleet.settle();
}

/// Fails a run of a task once it is active.
fn fail(fleet: &mut Fleet, task: TaskRef) {
    for _ in 0..100 {
        for endpoint in &mut fleet.endpoints {
            let active = endpoint.running.iter().find(|(known, _)| *known == task);
            if let Some((_, run)) = active.copied() {
                endpoint.end(&task, run, EndKind::Failed);
                return fleet.advance(100);
            }
        }
        fleet.advance(100);
    }
    panic!("{task} is not active");
}

/// Orders maintenance of the VM of an endpoint.
fn order_maintenance(fleet: &mut Fleet, index: usize) {
    let id = fleet.endpoints[index].id.clone();
    fleet.list_vms(vms_with("vm-1", &id));
    fleet.engine.allow_vm_orders(true);
    fleet.handle(Event::WaveOrdered(WaveOrder {
        wave: 1,
        vms: vec!["vm-1".into()],
        duration_s: 2.0,
        max_count: 1,
    }));
    fleet.advance(2_000);
}

macro_rules! senders {
    ($($name:ident: $step:expr, $decide:expr;)*) => {
        $(/// Guards against a run that goes on after a refused stop.
        #[test] fn $name() {
            assert_eq!(stops_after_refusals($step, $decide), (true, true));
        })*
    };
}

senders! {
    refused_stop_of_a_cancelled_job: step(1), |fleet, _| cancel(fleet, 1);
    refused_stop_of_a_gang_without_one_member: StepSpec { gang: true, ..step(2) }, |fleet, index| {
        let (task, run) = fleet.endpoints[index].running[1];
        fleet.endpoints[index].end(&task, run, EndKind::Failed);
        fleet.advance(100);
    };
    refused_stop_of_a_gang_that_is_done: StepSpec { gang: true, ..step(2) }, |fleet, index| {
        let (task, run) = fleet.endpoints[index].running[1];
        fleet.endpoints[index].end(&task, run, EndKind::Done);
        fleet.advance(100);
    };
    refused_stop_of_a_failed_job: step(3), |fleet, index| {
        let (task, _) = fleet.endpoints[index].running[2];
        for _ in 0..2 {
            fail(fleet, task);
        }
    };
    refused_stop_before_maintenance: long_running(1), order_maintenance;
    refused_stop_on_a_draining_endpoint: long_running(1), drain;
    refused_stop_of_a_stuck_run: step(1), |fleet, index| {
        fleet.endpoints[index].percent = Some(30);
        fleet.advance(4_000);
    };
    refused_stop_decided_by_the_previous_owner: step(1), |fleet, _| {
        cancel(fleet, 1);
        fleet.take_over();
        fleet.settle();
    };
}

/// Returns a fleet with a run that its endpoint still lists after it has executed the stop, and refuses
/// other stops.
fn fleet_with_listed_run() -> (Fleet, (TaskRef, u32)) {
    let mut fleet = fleet_with(step(1));
    let (index, (task, run)) = first_run(&fleet);
    set_refusals(&mut fleet, Some(refuse_stops));
    cancel(&mut fleet, 1);
    let id = fleet.endpoints[index].id.clone();
    fleet.handle(Event::Stopped {
        endpoint: fleet.engine.endpoints().find(&id).expect("an endpoint"),
        task,
        run,
        outcome: CallOutcome::Done(fleet.clock_ms()),
    });
    (fleet, (task, run))
}

/// Guards against a run that is taken for stopped although its endpoint still lists it.
#[test]
fn run_listed_after_its_stop_is_stopped_again() {
    let (mut fleet, active) = fleet_with_listed_run();
    set_refusals(&mut fleet, None);
    fleet.advance(CANCELLED_WITHIN_MS);
    assert!(!is_running(&fleet, active));
}

/// Guards against stops that are repeated while an endpoint is carrying them out.
#[test]
fn executed_stop_is_not_repeated_while_its_run_ends() {
    let (mut fleet, active) = fleet_with_listed_run();
    fleet.advance(900);
    assert!(is_running(&fleet, active));
    assert_eq!(stops(&fleet), 1);
}

/// Guards against a run that nobody stops because its start was confirmed after the owner had given
/// it up, on an endpoint that is not called otherwise.
#[test]
fn run_confirmed_after_it_was_given_up_is_stopped() {
    let mut fleet = fleet_with(step(1));
    let (index, (task, run)) = first_run(&fleet);
    cancel(&mut fleet, 1);
    fleet.advance(2_000);
    fleet.endpoints[index].running.push((task, run));
    let id = fleet.endpoints[index].id.clone();
    let endpoint = fleet.engine.endpoints().find(&id).expect("an endpoint");
    fleet.handle(Event::Started {
        endpoint,
        task,
        run,
        outcome: CallOutcome::Done(fleet.clock_ms()),
    });
    fleet.settle();
    fleet.advance(STOPPED_WITHIN_MS);
    assert_eq!(fleet.endpoints[index].running, []);
}

/// Guards against a refused order and its next try, and a run that goes on meanwhile, that no log
/// line tells of.
#[test]
fn refused_stop_and_listed_run_are_logged() {
    let mut fleet = fleet_with(step(1));
    let (index, (task, run)) = first_run(&fleet);
    set_refusals(&mut fleet, Some(refuse_stops));
    drop(fleet.engine.take_log_events());
    cancel(&mut fleet, 1);
    fleet.advance(2_500);
    let endpoint = fleet.endpoints[index].id.as_str();
    let refused = LogEvent::OrderRefused(RefusedOrder {
        order: RunOrder::Stop,
        task,
        run,
        endpoint: endpoint.into(),
        refusal: Refusal::Unhealthy,
        retry_ms: Some(200),
    });
    let events = fleet.engine.take_log_events();
    let refusals = events.iter().filter(|event| **event == refused).count();
    assert_eq!(refusals, stops(&fleet));
    let listed_since = events.iter().filter_map(|event| match event {
        LogEvent::UnwantedRunListed(unwanted) => unwanted.since_ms,
        _ => None,
    });
    // Reports arrive every 300 ms.
    assert_eq!(listed_since.collect::<Vec<u64>>(), [1_200, 2_400]);
}

/// Guards against room that is given to others while a start without an answer may still take
/// effect, as its stop was refused.
#[test]
fn room_of_an_unanswered_start_is_kept_after_a_refused_stop() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(200);
    fleet.endpoints[0].is_unresponsive = true;
    fleet.submit(1, 4);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = false;
    set_refusals(&mut fleet, Some(refuse_stops));
    cancel(&mut fleet, 1);
    fleet.submit(2, 4);
    fleet.advance(1_000);
    assert!(stops(&fleet) > 0, "a stop was sent");
    assert_eq!(fleet.endpoints[0].running, []);
    set_refusals(&mut fleet, None);
    fleet.advance(CANCELLED_WITHIN_MS);
    assert_eq!(fleet.endpoints[0].running.len(), 4);
}

/// Guards against room that is given to others because a stop was refused before the answer of the
/// start was lost.
#[test]
fn room_is_kept_when_a_start_gets_no_answer_after_its_stop_was_refused() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(200);
    fleet.submit(1, 1);
    fleet.settle_without_cleaning();
    set_refusals(&mut fleet, Some(refuse_stops));
    cancel(&mut fleet, 1);
    assert_eq!(stops(&fleet), 1);
    let (endpoint, task, run) = placed_run(&fleet).expect("a placed run");
    fleet.handle(Event::Started {
        endpoint,
        task,
        run,
        outcome: CallOutcome::Unknown,
    });
    fleet.advance(2_000);
    assert_eq!(placed_run(&fleet), Some((endpoint, task, run)));
    set_refusals(&mut fleet, None);
    fleet.advance(CANCELLED_WITHIN_MS);
    assert_eq!(placed_run(&fleet), None);
}

/// Returns the first run for which room is reserved, with its endpoint.
fn placed_run(fleet: &Fleet) -> Option<(EndpointKey, TaskRef, u32)> {
    let mut endpoints = fleet.engine.endpoints().iter();
    endpoints.find_map(|(key, endpoint)| {
        let placed = endpoint.placed_runs.first()?;
        Some((key, placed.task, placed.run))
    })
}

/// Guards against calling an endpoint for ever that has vanished with a run which nobody knows.
#[test]
fn vanished_endpoint_with_an_unknown_run_is_not_called_for_ever() {
    let mut fleet = fleet_with(step(1));
    let (index, (task, run)) = first_run(&fleet);
    cancel(&mut fleet, 1);
    fleet.advance(2_000);
    let id = fleet.endpoints[index].id.clone();
    let endpoint = fleet.engine.endpoints().find(&id).expect("an endpoint");
    fleet.crash(index);
    fleet.handle(Event::Started {
        endpoint,
        task,
        run,
        outcome: CallOutcome::Done(fleet.clock_ms()),
    });
    fleet.settle();
    fleet.handle(Event::Deregistered(id.as_str().into()));
    fleet.advance(30_000);
    let renewals = fleet.engine.endpoints().get(endpoint).renewals;
    fleet.advance(10_000);
    assert_eq!(fleet.engine.endpoints().get(endpoint).renewals, renewals);
}

/// Guards against a start that is repeated although its stop is decided, while that cannot be
/// stored.
#[test]
fn start_is_not_repeated_once_its_stop_is_decided() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 4_000);
    fleet.advance(200);
    fleet.endpoints[0].is_unresponsive = true;
    fleet.submit(1, 1);
    fleet.settle();
    fleet.endpoints[0].is_unresponsive = false;
    fleet.is_store_down = true;
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: "".into(),
        token: 1_001,
    });
    fleet.orders.clear();
    fleet.advance(2_000);
    let is_start = |order: &Effect| matches!(order, Effect::Start(_));
    assert!(!fleet.orders.iter().any(is_start));
}
