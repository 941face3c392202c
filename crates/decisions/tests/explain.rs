//! Explanations of the current state of VMs, jobs, waves and pools.

mod common;

use {
    common::Fleet,
    lynxwheel_decisions::explain,
    lynxwheel_protocol::{JobOutcome, Kind, ResourceRef, VmPhase, WaveGoal},
};

macro_rules! explanations {
    ($($name:ident: $fleet:expr, $kind:ident $of:literal => $expected:literal;)*) => {
        $(#[test] fn $name() {
            let fleet: Fleet = $fleet;
            let reference = ResourceRef::new(Kind::$kind, $of);
            let text = explain(&fleet.state, &reference, fleet.now_ms).to_string();
            assert_eq!(text, $expected);
        })*
    };
}

fn idle() -> Fleet {
    Fleet::new(4, 2, 2)
}

fn claimed(floor: u32) -> Fleet {
    let mut fleet = Fleet::new(4, 2, floor)
        .with_weights(10, 2, 1)
        .with_wave(WaveGoal::Run);
    fleet.claim(0);
    fleet
}

fn failed() -> Fleet {
    let mut fleet = idle();
    fleet.report(1, 2, 1, VmPhase::Failed);
    fleet
}

fn with_job(cores: u32) -> Fleet {
    let mut fleet = idle();
    fleet.job("job", cores, |_| {});
    fleet
}

fn cancelled() -> Fleet {
    let mut fleet = idle();
    fleet.job("job", 1, |job| job.cancelled = true);
    fleet
}

fn running() -> Fleet {
    let mut fleet = with_job(1);
    fleet.start("job", 3);
    fleet
}

fn out_of_attempts() -> Fleet {
    let mut fleet = idle();
    fleet.job("job", 1, |job| job.max_attempts = 1);
    fleet.start("job", 0);
    fleet.end("job", JobOutcome::Failed);
    fleet
}

fn maintained() -> Fleet {
    let mut fleet = Fleet::new(4, 2, 2).with_wave(WaveGoal::Run);
    fleet.maintain(0, 2, true);
    fleet
}

explanations! {
    vm_in_service: idle(), Vm "vm-00" => "in service";
    vm_that_was_maintained: maintained(), Vm "vm-00" => "in service";
    job_out_of_attempts: out_of_attempts(), Job "job" => "GivenUp: failed 1 times";
    vm_that_failed: failed(), Vm "vm-01" => "not in service: Failed";
    vm_under_claim: claimed(2), Vm "vm-00"
        => "out of service for maintenance by wave wave, Draining by node-1, 0 jobs on it";
    vm_beyond_the_ramp_limit: claimed(2), Vm "vm-02"
        => "waits: the wave has as many VMs out as it may for now";
    job_that_starts_next: with_job(1), Job "job" => "starts next";
    job_that_can_never_run: with_job(17), Job "job"
        => "can never run: no VM of its pool is as large as its demand";
    job_that_runs: running(), Job "job" => "runs on VM vm-03";
    job_that_was_cancelled: cancelled(), Job "job" => "Cancelled: cancelled by the operator";
    pool_with_a_claim: claimed(3), Pool "pool" => "3 of 4 VMs available, 3 must stay";
    running_wave: claimed(3), Wave "wave" => "4 VMs left, until 2200004";
    unknown_name: idle(), Vm "nobody" => "nothing is decided about it";
}
