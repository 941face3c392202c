//! Carries claims and stops out, the same for every policy, and judges them by the truth.

use {
    crate::simulation::{NODE_NAME, Simulation, parse_index},
    lynxwheel_decisions::{ReleaseReason, ReviewStep, remaining_ms, review_claims},
    lynxwheel_protocol::{ClaimPurpose, RecordBody, VmName, VmPhase},
    lynxwheel_state::{Claim, ClaimStage},
};

/// Time after which an action has failed, in milliseconds.
const ACTION_TIMEOUT_MS: u64 = 600_000;

/// Time within which a drain must be undone once its pool is below its floor, in milliseconds.
const UNDO_MS: u64 = 10_000;

/// A job that ends within this time is not moved for a drain, in milliseconds.
const NEARLY_DONE_MS: u64 = 15_000;

/// Budget breaches found by the truth.
#[derive(Clone, Debug, Default)]
pub struct Breaches {
    /// Planned steps that left a pool below its floor, and drains not undone in time.
    pub count: u64,
    below_since: Vec<Option<u64>>,
}

impl Breaches {
    /// Judges a planned step that was just accepted on a VM.
    ///
    /// The step is a breach when its pool is below its floor without the VM, whatever the fold
    /// knew of it.
    pub fn judge(&mut self, simulation: &Simulation<'_>, vm: &VmName) {
        let Some(vm) = simulation.state.vms().get(vm.as_str()) else {
            return;
        };
        let Some(pool) = simulation.state.pools().get(vm.pool.as_str()) else {
            return;
        };
        self.count += u64::from(simulation.actual_available_vms(vm.pool.as_str()) < pool.floor());
    }

    /// Counts pools that stay below their floor while a drain of them is held.
    pub fn judge_drains(&mut self, simulation: &Simulation<'_>) {
        self.below_since
            .resize(simulation.state.pools().len(), None);
        for (row, pool) in simulation.state.pools().iter().enumerate() {
            let name = pool.spec.name.as_str();
            if pool.claimed_zones.is_empty()
                || !holds_drain(simulation, name)
                || simulation.actual_available_vms(name) >= pool.floor()
            {
                self.below_since[row] = None;
                continue;
            }
            let since_ms = *self.below_since[row].get_or_insert(simulation.now_ms);
            if simulation.now_ms >= since_ms + UNDO_MS {
                self.count += 1;
                self.below_since[row] = Some(simulation.now_ms);
            }
        }
    }
}

fn holds_drain(simulation: &Simulation<'_>, pool: &str) -> bool {
    simulation.state.vms().iter().any(|vm| {
        let is_draining = |claim: &Claim| claim.stage == ClaimStage::Draining;
        vm.pool.as_str() == pool
            && vm.claim.as_ref().is_some_and(is_draining)
            && simulation.ground_truth.machines[parse_index(vm.name.as_str())].is_up
    })
}

/// Takes the next step of every claim and stops what was asked to stop.
///
/// Baselines do not halt, so a halt must not undo their drains.
pub fn run_claims(simulation: &mut Simulation<'_>, breaches: &mut Breaches, heeds_halts: bool) {
    release(simulation, heeds_halts);
    let claims: Vec<(VmName, Claim)> = simulation
        .state
        .vms()
        .iter()
        .filter_map(|vm| Some((vm.name.clone(), vm.claim.clone()?)))
        .collect();
    for (vm, claim) in claims {
        match claim.stage {
            ClaimStage::Draining => drain(simulation, &vm, &claim, breaches),
            ClaimStage::Acting => finish(simulation, &vm, &claim),
        }
    }
    for job in std::mem::take(&mut simulation.stopping_jobs) {
        stop(simulation, job);
    }
}

fn release(simulation: &mut Simulation<'_>, heeds_halts: bool) {
    for review in review_claims(&simulation.state, &[NODE_NAME.into()]) {
        let ReviewStep::Release(reason) = review.step else {
            continue;
        };
        if heeds_halts || reason != ReleaseReason::WaveHalted {
            simulation.submit(RecordBody::Release {
                vm: review.vm,
                fence: review.fence,
            });
        }
    }
}

fn drain(simulation: &mut Simulation<'_>, name: &VmName, claim: &Claim, breaches: &mut Breaches) {
    let clock_ms = simulation.clock_ms();
    let Some(vm) = simulation.state.vms().get(name.as_str()) else {
        return;
    };
    let moved: Vec<usize> = vm
        .attempts
        .iter()
        .filter_map(|job| simulation.state.jobs().get(job.as_str()))
        .filter(|job| job.spec.checkpoint && remaining_ms(job, clock_ms) > NEARLY_DONE_MS)
        .map(|job| parse_index(job.spec.name.as_str()))
        .collect();
    if !vm.attempts.is_empty() {
        for job in moved {
            let now_ms = simulation.now_ms;
            simulation
                .ground_truth
                .checkpoint(parse_index(name.as_str()), job, now_ms);
        }
        return;
    }
    act(simulation, name, claim, breaches);
}

fn act(simulation: &mut Simulation<'_>, name: &VmName, claim: &Claim, breaches: &mut Breaches) {
    let vm = name.clone();
    let fence = claim.fence;
    if let ClaimPurpose::Move(_) = claim.purpose {
        let verdict = simulation.submit(RecordBody::HandOver { vm, fence });
        simulation.vm_moves += u64::from(verdict.is_accepted());
        return;
    }
    simulation.probe_pool(name.as_str());
    let not_after_ms = simulation.clock_ms() + ACTION_TIMEOUT_MS;
    let verdict = simulation.submit(RecordBody::Begin {
        vm,
        fence,
        not_after_ms,
    });
    if verdict.is_accepted() {
        breaches.judge(simulation, name);
        simulation.reboot(parse_index(name.as_str()));
    }
}

fn finish(simulation: &mut Simulation<'_>, name: &VmName, claim: &Claim) {
    let Some(vm) = simulation.state.vms().get(name.as_str()) else {
        return;
    };
    let is_back = vm.phase == VmPhase::Live && vm.incarnation > claim.incarnation;
    let is_overdue = simulation.clock_ms() > claim.since_ms + ACTION_TIMEOUT_MS;
    if is_back || is_overdue {
        simulation.submit(RecordBody::Done {
            vm: name.clone(),
            fence: claim.fence,
            succeeded: is_back,
        });
    }
}

fn stop(simulation: &mut Simulation<'_>, job: usize) {
    let name = crate::simulation::job_name(job);
    let attempt = simulation.state.jobs().get(name.as_str());
    let vm = attempt
        .and_then(|job| job.attempt.as_ref())
        .map(|attempt| parse_index(attempt.vm.as_str()));
    if let Some(vm) = vm {
        let now_ms = simulation.now_ms;
        simulation.ground_truth.checkpoint(vm, job, now_ms);
    }
}
