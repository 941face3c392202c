//! Planning and review of claims, and forecasts of waves.

mod common;

use {
    common::{Fleet, vm_name},
    lynxwheel_decisions::{
        Outlook, ReleaseReason, ReviewStep, Tuning, forecast, plan_claims, review_claims,
    },
    lynxwheel_protocol::{JobOutcome, NodeName, RecordBody, Resource, VmPhase, VmSpec, WaveGoal},
    lynxwheel_state::Verdict,
};

macro_rules! claims {
    ($($(#[$doc:meta])* $name:ident: $fleet:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let fleet: Fleet = $fleet;
            assert_eq!(planned(&fleet), $expected.map(vm_name).to_vec());
        })*
    };
}

macro_rules! reviews {
    ($($(#[$doc:meta])* $name:ident: $fleet:expr, $nodes:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let fleet: Fleet = $fleet;
            let nodes: Vec<NodeName> = $nodes.iter().map(|node: &&str| (*node).into()).collect();
            let steps: Vec<ReviewStep> =
                review_claims(&fleet.state, &nodes).into_iter().map(|review| review.step).collect();
            assert_eq!(steps, $expected);
        })*
    };
}

fn planned(fleet: &Fleet) -> Vec<String> {
    let tuning = Tuning::new(fleet.state.weights());
    let plans = plan_claims(&fleet.state, &tuning, fleet.now_ms);
    let mut names: Vec<String> = plans.iter().map(|plan| plan.vm.as_str().into()).collect();
    names.sort();
    names
}

fn running(vms: usize, zones: usize, floor: u32) -> Fleet {
    Fleet::new(vms, zones, floor)
        .with_weights(10, 2, 1)
        .with_wave(WaveGoal::Run)
}

fn proven() -> Fleet {
    let mut fleet = running(24, 1, 16);
    for vm in 0..4 {
        fleet.maintain(vm, 1, true);
    }
    fleet
}

fn busy() -> Fleet {
    let mut fleet = running(1, 1, 0);
    fleet.job("long", 1, |_| {});
    fleet.start("long", 0);
    fleet
}

fn failing_early() -> Fleet {
    let mut fleet = running(24, 2, 16);
    fleet.maintain(0, 2, false);
    fleet.maintain(2, 2, false);
    fleet
}

fn failing_rack() -> Fleet {
    let mut fleet = running(24, 2, 16);
    for vm in [1, 3, 5, 7] {
        fleet.maintain(vm, 2, true);
    }
    fleet.maintain(0, 2, false);
    fleet.maintain(2, 2, false);
    fleet
}

fn drained_then_failed() -> Fleet {
    let mut fleet = running(4, 1, 3);
    fleet.claim(0);
    fleet.report(1, 1, 1, VmPhase::Failed);
    fleet
}

fn drained_then(goal: WaveGoal) -> Fleet {
    let mut fleet = running(4, 1, 3);
    fleet.claim(0);
    fleet.wave(goal, 0);
    fleet
}

fn halted() -> Fleet {
    let mut fleet = running(24, 2, 16);
    fleet.claim(4);
    fleet.maintain(0, 2, false);
    fleet.maintain(2, 2, false);
    fleet
}

claims! {
    /// A harmful action must not reach a pool's whole budget before its failures are observed.
    wave_starts_with_its_first_step: running(24, 1, 16) => [0, 1, 2];
    /// Four maintained VMs raise the limit from three to seven.
    ramp_grows_with_maintained_vms: proven() => [4, 5, 6, 7, 8, 9, 10];
    /// The pool's floor bounds the claims below the ramp limit.
    budget_bounds_the_step: running(24, 1, 23) => [0];
    exhausted_budget_allows_no_claim: running(4, 1, 4) => [];
    /// Claims in two zones would affect two failure domains of the pool concurrently.
    one_zone_at_a_time: running(24, 2, 16) => [0, 2, 4];
    paused_wave_claims_nothing: Fleet::new(4, 1, 2).with_wave(WaveGoal::Pause) => [];
    /// A claim on a VM with a job that cannot be moved would charge the budget until the job ends.
    busy_vm_is_not_claimed: busy() => [];
    /// Failures before any VM was maintained successfully halt the wave.
    early_failures_halt_the_wave: failing_early() => [];
    /// Failures in one rack, after successes in others, exclude only that rack.
    failing_rack_is_excluded: failing_rack() => [9, 11, 13, 15, 17];
}

reviews! {
    valid_claim_is_kept: drained_then(WaveGoal::Run), ["node-1"] => vec![];
    /// A VM failed after another one was claimed, and the pool is below its floor: the claimed VM
    /// is still live and must be released.
    drain_is_undone_when_the_pool_loses_a_vm: drained_then_failed(), ["node-1"]
        => vec![ReviewStep::Release(ReleaseReason::PoolBelowFloor)];
    drain_is_undone_by_pause: drained_then(WaveGoal::Pause), ["node-1"]
        => vec![ReviewStep::Release(ReleaseReason::WavePaused)];
    drain_is_undone_by_abort: drained_then(WaveGoal::Abort), ["node-1"]
        => vec![ReviewStep::Release(ReleaseReason::WaveAborted)];
    drain_is_undone_by_halt: halted(), ["node-1"]
        => vec![ReviewStep::Release(ReleaseReason::WaveHalted)];
    /// Without a takeover, the VM would stay out of service after its holder crashed.
    claim_of_a_crashed_holder_is_taken_over: drained_then(WaveGoal::Run), ["node-2"]
        => vec![ReviewStep::TakeOver];
}

/// A move that is withdrawn while the VM drains must be released.
#[test]
fn withdrawn_move_is_released() {
    let mut fleet = Fleet::new(4, 1, 2);
    let spec = lynxwheel_protocol::PoolSpec {
        name: "target".into(),
        ..fleet.state.pools().get("pool").unwrap().spec.clone()
    };
    fleet.put(Resource::Pool(spec));
    for (pool, expected) in [
        ("target", vec![]),
        ("pool", vec![ReleaseReason::MoveNotWanted]),
    ] {
        fleet.put(Resource::Vm(VmSpec {
            name: "vm-00".into(),
            pool: pool.into(),
        }));
        for plan in plan_claims(
            &fleet.state,
            &Tuning::new(fleet.state.weights()),
            fleet.now_ms,
        ) {
            let (vm, purpose) = (plan.vm, plan.purpose);
            let holder = "node-1".into();
            fleet.accept(RecordBody::Claim {
                vm,
                purpose,
                holder,
            });
        }
        let steps: Vec<ReviewStep> = review_claims(&fleet.state, &["node-1".into()])
            .into_iter()
            .map(|review| review.step)
            .collect();
        let expected: Vec<ReviewStep> = expected.into_iter().map(ReviewStep::Release).collect();
        assert_eq!(steps, expected, "{pool}");
    }
}

/// The fold must reject an action whose wave was paused between the claim and the recheck.
#[test]
fn action_is_refused_after_a_pause() {
    let mut fleet = running(4, 1, 3);
    let fence = fleet.claim(0);
    fleet.wave(WaveGoal::Pause, 0);
    let verdict = fleet.apply(RecordBody::Begin {
        vm: "vm-00".into(),
        fence,
        not_after_ms: u64::MAX,
    });
    assert!(matches!(verdict, Verdict::Rejected(_)), "{verdict:?}");
}

/// The fold must reject an action on a VM until the attempt on it has ended.
#[test]
fn action_waits_for_the_attempt() {
    let mut fleet = busy();
    let fence = fleet.claim(0);
    let begin = RecordBody::Begin {
        vm: "vm-00".into(),
        fence,
        not_after_ms: u64::MAX,
    };
    let early = fleet.apply(begin.clone());
    assert!(matches!(early, Verdict::Rejected(_)), "{early:?}");
    fleet.end("long", JobOutcome::Succeeded);
    assert_eq!(fleet.apply(begin), Verdict::Accepted);
}

#[test]
fn late_forecast_counts_missing_vms() {
    let mut fleet = running(8, 1, 7);
    let action_ms = 300_000;
    fleet.wave(WaveGoal::Run, fleet.now_ms + 2 * action_ms);
    let wave = fleet.state.waves().first().unwrap();
    let late = forecast(&fleet.state, wave, fleet.now_ms);
    let expected = Outlook::Late {
        finish_ms: fleet.now_ms + 8 * action_ms,
        missing_vms: 3,
    };
    assert_eq!(late.outlook, expected);
}

#[test]
fn forecast_reports_exhausted_budget() {
    let fleet = running(8, 1, 8);
    let wave = fleet.state.waves().first().unwrap();
    let outlook = forecast(&fleet.state, wave, fleet.now_ms).outlook;
    let expected = Outlook::NoBudget {
        blocked_pools: 1,
        missing_vms: 1,
    };
    assert_eq!(outlook, expected);
}
