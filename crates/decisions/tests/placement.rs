//! Placement, preemption, giving up of jobs, and quarantine of VMs.

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

fn with_oversized_job() -> Fleet {
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
    normal_work_is_spread: spread() => 1, PlacementReason::Spread;
    /// Placing a job on a VM that the wave claims later would move the job twice.
    wave_moves_a_job_once: in_wave() => 2, PlacementReason::Spread;
    /// A VM that fails all jobs has the most free capacity and would use up the job's attempts.
    job_is_not_retried_on_the_same_vm: failed_once() => 1, PlacementReason::Spread;
    /// A job that fits on no VM must not block the jobs after it.
    oversized_job_blocks_no_others: with_oversized_job() => 0, PlacementReason::Spread;
}

/// An urgent job stops no more attempts than it needs, and none again while they are stopping.
#[test]
fn urgent_job_preempts_once() {
    let mut fleet = full(true);
    let stops = plan(&fleet).stops;
    assert_eq!(stops.len(), 1, "{stops:?}");
    fleet.accept(RecordBody::Stop {
        job: stops[0].job.clone(),
        attempt: stops[0].attempt,
    });
    assert!(plan(&fleet).stops.is_empty());
}

/// Stopping an attempt that cannot be checkpointed would lose its progress.
#[test]
fn attempt_without_checkpoint_is_not_preempted() {
    assert!(plan(&full(false)).stops.is_empty());
}

/// Two urgent jobs must not rely on the resources freed by the same stop.
#[test]
fn freed_resources_are_reserved_once() {
    let mut fleet = full(true);
    fleet.job("second", 15, |job| job.class = Class::Urgent);
    assert_eq!(plan(&fleet).stops.len(), 2);
}

#[test]
fn job_larger_than_any_vm_is_given_up() {
    let mut fleet = with_oversized_job();
    fleet.now_ms += 60_000;
    let plans = plan_give_ups(&fleet.state, fleet.now_ms);
    let answers: Vec<_> = plans
        .iter()
        .map(|plan| (plan.job.as_str(), plan.reason))
        .collect();
    assert_eq!(answers, [("giant", GiveUpReason::LargerThanAnyVm)]);
}

#[test]
fn job_larger_than_the_quota_is_given_up() {
    let mut fleet = Fleet::new(1, 1, 0);
    fleet.job("greedy", 1, |job| job.demand = resources(2_000, 1));
    fleet.now_ms += 60_000;
    let plans = plan_give_ups(&fleet.state, fleet.now_ms);
    assert_eq!(plans[0].reason, GiveUpReason::LargerThanQuota);
}

/// A VM on which several jobs failed that failed nowhere else is quarantined, and no other VM.
#[test]
fn vm_that_fails_all_jobs_is_quarantined() {
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

/// A job that fails on every VM must not cause a quarantine.
#[test]
fn faulty_job_causes_no_quarantine() {
    let mut fleet = Fleet::new(2, 1, 1);
    fleet.job("bad", 1, |job| job.max_attempts = 9);
    for vm in [0, 1, 0, 1, 0, 1] {
        fleet.start("bad", vm);
        fleet.end("bad", JobOutcome::Failed);
    }
    assert!(plan_quarantines(&fleet.state).is_empty());
}

/// The reservation of an attempt grows with its observed usage, so that the jobs placed beside it
/// have enough memory.
#[test]
fn observed_usage_is_reserved() {
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
