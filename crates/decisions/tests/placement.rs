//! Starts, stops for urgent work, final answers and quarantines.

mod common;

use {
    common::{Fleet, resources, vm_name},
    lynxwheel_decisions::{
        GiveUpReason, PlacementPlan, PlacementReason, Tuning, plan_give_ups, plan_placements,
        plan_quarantines,
    },
    lynxwheel_protocol::{Class, JobOutcome, RecordBody, WaveGoal},
};

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $fleet:expr => $vm:expr, $reason:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let fleet: Fleet = $fleet;
            let plan = plan(&fleet);
            let start = plan.starts.iter().find(|start| start.job.as_str() == "new");
            let chosen = start.map(|start| (start.vm.as_str().to_string(), start.reason));
            assert_eq!(chosen, Some((vm_name($vm), $reason)));
        })*
    };
}

fn plan(fleet: &Fleet) -> PlacementPlan {
    let tuning = Tuning::new(fleet.state.weights());
    plan_placements(&fleet.state, &tuning, fleet.now_ms, 100)
}

fn packed() -> Fleet {
    let mut fleet = Fleet::new(3, 3, 1);
    fleet.job("old", 4, |_| {});
    fleet.start("old", 1);
    fleet.job("new", 4, |job| job.class = Class::Batch);
    fleet
}

fn spread() -> Fleet {
    let mut fleet = Fleet::new(3, 3, 1);
    fleet.job("old", 4, |_| {});
    fleet.start("old", 0);
    fleet.job("new", 4, |_| {});
    fleet
}

fn in_wave() -> Fleet {
    let mut fleet = Fleet::new(3, 1, 2)
        .with_weights(10, 2, 1)
        .with_wave(WaveGoal::Run);
    fleet.maintain(2, 1, true);
    fleet.job("new", 4, |_| {});
    fleet
}

fn failed_once() -> Fleet {
    let mut fleet = Fleet::new(2, 1, 1);
    fleet.job("new", 4, |_| {});
    fleet.start("new", 0);
    fleet.end("new", JobOutcome::Failed);
    fleet
}

fn blocked_by_giant() -> Fleet {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.job("giant", 17, |_| {});
    fleet.job("new", 16, |_| {});
    fleet
}

fn full(checkpoint: bool) -> Fleet {
    let mut fleet = Fleet::new(2, 1, 1);
    for vm in 0..2 {
        let name = format!("old-{vm}");
        fleet.job(&name, 16, |job| {
            job.checkpoint = checkpoint;
            job.class = Class::Batch;
        });
        fleet.start(&name, vm);
    }
    fleet.job("outage-notice", 2, |job| job.class = Class::Urgent);
    fleet
}

starts! {
    batch_work_is_packed: packed() => 1, PlacementReason::Packed;
    work_that_people_wait_for_is_spread: spread() => 1, PlacementReason::Spread;
    /// A job is moved twice by one wave: it landed on a VM that the wave takes later.
    wave_moves_a_job_once: in_wave() => 2, PlacementReason::Spread;
    /// A job uses up its attempts on a worker that fails everything and so always has room.
    job_does_not_go_back_to_where_it_failed: failed_once() => 1, PlacementReason::Spread;
    /// Everything behind a job that fits nowhere waits for ever.
    giant_blocks_nobody: blocked_by_giant() => 0, PlacementReason::Spread;
}

/// Outage notices wait for billing to end on a full pool. Billing that can go on elsewhere is
/// stopped, once, and no more of it than is needed.
#[test]
fn urgent_work_stops_lower_work_once() {
    let mut fleet = full(true);
    let stops = plan(&fleet).stops;
    assert_eq!(stops.len(), 1, "{stops:?}");
    fleet.accept(RecordBody::Stop {
        job: stops[0].job.clone(),
        attempt: stops[0].attempt,
    });
    assert!(plan(&fleet).stops.is_empty());
}

/// A billing run that keeps no progress would be lost by a stop and run twice.
#[test]
fn run_that_keeps_no_progress_is_not_stopped() {
    assert!(plan(&full(false)).stops.is_empty());
}

/// Two urgent jobs count on the same room, and one of them starts late.
#[test]
fn room_that_is_made_counts_once() {
    let mut fleet = full(true);
    fleet.job("second", 15, |job| job.class = Class::Urgent);
    assert_eq!(plan(&fleet).stops.len(), 2);
}

#[test]
fn job_larger_than_any_vm_gets_its_answer() {
    let mut fleet = blocked_by_giant();
    fleet.now_ms += 60_000;
    let plans = plan_give_ups(&fleet.state, fleet.now_ms);
    let answers: Vec<_> = plans
        .iter()
        .map(|plan| (plan.job.as_str(), plan.reason))
        .collect();
    assert_eq!(answers, [("giant", GiveUpReason::LargerThanAnyVm)]);
}

#[test]
fn job_larger_than_the_quota_gets_its_answer() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.job("greedy", 1, |job| job.demand = resources(2_000, 1));
    fleet.now_ms += 60_000;
    let plans = plan_give_ups(&fleet.state, fleet.now_ms);
    assert_eq!(plans[0].reason, GiveUpReason::LargerThanQuota);
}

/// Jobs fail one after the other on a worker that is broken. It is to blame, and it alone.
#[test]
fn worker_that_fails_everything_is_quarantined() {
    let mut fleet = Fleet::new(4, 1, 2);
    for name in ["a", "b", "c"] {
        fleet.job(name, 1, |_| {});
        fleet.start(name, 3);
        fleet.end(name, JobOutcome::Failed);
    }
    let plans = plan_quarantines(&fleet.state);
    let vms: Vec<&str> = plans.iter().map(|plan| plan.vm.as_str()).collect();
    assert_eq!(vms, ["vm-03"]);
}

/// A job that fails everywhere must not take workers with it.
#[test]
fn bad_job_takes_no_worker_with_it() {
    let mut fleet = Fleet::new(2, 1, 1);
    fleet.job("bad", 1, |job| job.max_attempts = 9);
    for vm in [0, 1, 0, 1, 0, 1] {
        fleet.start("bad", vm);
        fleet.end("bad", JobOutcome::Failed);
    }
    assert!(plan_quarantines(&fleet.state).is_empty());
}

/// Jobs beside one that takes more than it declared fail for want of memory. Its reservation
/// must grow with what it is seen to use.
#[test]
fn observed_use_is_reserved() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.job("hungry", 1, |_| {});
    fleet.start("hungry", 0);
    fleet.accept(RecordBody::Usage {
        job: "hungry".into(),
        attempt: 1,
        used: resources(10, 10),
    });
    fleet.job("new", 8, |_| {});
    assert!(plan(&fleet).starts.is_empty());
}
