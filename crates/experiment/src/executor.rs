//! Execution of claims and stops, identical for every policy, and counting of budget breaches.

use {
    crate::simulation::{NODE_NAME, Simulation, parse_index},
    lynxwheel_decisions::{ReleaseReason, ReviewStep, remaining_ms, review_claims},
    lynxwheel_protocol::{ClaimPurpose, RecordBody, VmName, VmPhase},
    lynxwheel_state::{Claim, ClaimStage},
};

/// Time after which an action counts as failed, in milliseconds.
const ACTION_TIMEOUT_MS: u64 = 600_000;

/// Time for releasing a drain once its pool is below its floor, in milliseconds.
const MAX_UNDO_MS: u64 = 10_000;

/// Remaining time up to which a job is not moved for a drain, in milliseconds.
const MAX_UNMOVED_REMAINING_MS: u64 = 15_000;

/// Budget breaches according to the ground truth.
#[derive(Clone, Debug, Default)]
pub struct BudgetBreaches {
    /// Planned steps that left a pool below its floor, and drains that were not released in time.
    pub count: u64,
    below_floor_since_ms: Vec<Option<u64>>,
}

impl BudgetBreaches {
    /// Counts a breach if the pool of `vm` is below its floor after an accepted step on `vm`.
    ///
    /// The check uses the ground truth, whatever the fleet state has recorded.
    pub fn check_step(&mut self, simulation: &Simulation<'_>, vm: &VmName) {
        let Some(vm) = simulation.state.vms().get(vm.as_str()) else {
            return;
        };
        let Some(pool) = simulation.state.pools().get(vm.pool.as_str()) else {
            return;
        };
        self.count += u64::from(simulation.actual_available_vms(vm.pool.as_str()) < pool.floor());
    }

    /// Counts a breach for each pool that stays below its floor while it has a draining VM.
    pub fn check_drains(&mut self, simulation: &Simulation<'_>) {
        self.below_floor_since_ms
            .resize(simulation.state.pools().len(), None);
        for (index, pool) in simulation.state.pools().iter().enumerate() {
            let name = pool.spec.name.as_str();
            if pool.claimed_zones.is_empty()
                || !has_draining_vm(simulation, name)
                || simulation.actual_available_vms(name) >= pool.floor()
            {
                self.below_floor_since_ms[index] = None;
                continue;
            }
            let since_ms = *self.below_floor_since_ms[index].get_or_insert(simulation.now_ms);
            if simulation.now_ms >= since_ms + MAX_UNDO_MS {
                self.count += 1;
                self.below_floor_since_ms[index] = Some(simulation.now_ms);
            }
        }
    }
}

fn has_draining_vm(simulation: &Simulation<'_>, pool: &str) -> bool {
    simulation.state.vms().iter().any(|vm| {
        let is_draining = |claim: &Claim| claim.stage == ClaimStage::Draining;
        vm.pool.as_str() == pool
            && vm.claim.as_ref().is_some_and(is_draining)
            && simulation.ground_truth.machines[parse_index(vm.name.as_str())].is_up
    })
}

/// Takes the next step of every claim and stops the jobs that are to be stopped.
///
/// Baselines ignore halts of the wave, so a halt does not release their claims.
pub fn advance_claims(
    simulation: &mut Simulation<'_>,
    breaches: &mut BudgetBreaches,
    obeys_halts: bool,
) {
    release_claims(simulation, obeys_halts);
    let claims: Vec<(VmName, Claim)> = simulation
        .state
        .vms()
        .iter()
        .filter_map(|vm| Some((vm.name.clone(), vm.claim.clone()?)))
        .collect();
    for (vm, claim) in claims {
        match claim.stage {
            ClaimStage::Draining => advance_drain(simulation, &vm, &claim, breaches),
            ClaimStage::Acting => finish_action(simulation, &vm, &claim),
        }
    }
    for job in std::mem::take(&mut simulation.stopping_jobs) {
        stop_job(simulation, job);
    }
}

fn release_claims(simulation: &mut Simulation<'_>, obeys_halts: bool) {
    for review in review_claims(&simulation.state, &[NODE_NAME.into()]) {
        let ReviewStep::Release(reason) = review.step else {
            continue;
        };
        if obeys_halts || reason != ReleaseReason::WaveHalted {
            simulation.submit(RecordBody::Release {
                vm: review.vm,
                fence: review.fence,
            });
        }
    }
}

fn advance_drain(
    simulation: &mut Simulation<'_>,
    name: &VmName,
    claim: &Claim,
    breaches: &mut BudgetBreaches,
) {
    let clock_ms = simulation.clock_ms();
    let Some(vm) = simulation.state.vms().get(name.as_str()) else {
        return;
    };
    let movable_jobs: Vec<usize> = vm
        .attempts
        .iter()
        .filter_map(|job| simulation.state.jobs().get(job.as_str()))
        .filter(|job| job.spec.checkpoint && remaining_ms(job, clock_ms) > MAX_UNMOVED_REMAINING_MS)
        .map(|job| parse_index(job.spec.name.as_str()))
        .collect();
    if !vm.attempts.is_empty() {
        for job in movable_jobs {
            let now_ms = simulation.now_ms;
            simulation
                .ground_truth
                .checkpoint(parse_index(name.as_str()), job, now_ms);
        }
        return;
    }
    begin_action(simulation, name, claim, breaches);
}

fn begin_action(
    simulation: &mut Simulation<'_>,
    name: &VmName,
    claim: &Claim,
    breaches: &mut BudgetBreaches,
) {
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
        breaches.check_step(simulation, name);
        simulation.reboot(parse_index(name.as_str()));
    }
}

fn finish_action(simulation: &mut Simulation<'_>, name: &VmName, claim: &Claim) {
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

fn stop_job(simulation: &mut Simulation<'_>, job: usize) {
    let name = crate::simulation::job_name(job);
    let job_state = simulation.state.jobs().get(name.as_str());
    let vm = job_state
        .and_then(|job| job.attempt.as_ref())
        .map(|attempt| parse_index(attempt.vm.as_str()));
    if let Some(vm) = vm {
        let now_ms = simulation.now_ms;
        simulation.ground_truth.checkpoint(vm, job, now_ms);
    }
}
