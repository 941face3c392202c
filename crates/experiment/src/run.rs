//! Run of one policy over the inputs of one seed.

use {
    crate::{
        bound::{drain_bound_ms, roll_out_bound_ms},
        executor::{BudgetBreaches, advance_claims},
        inputs::{Inputs, Workload},
        measures::{Measures, percentile},
        policies::{PlacementPolicy, WavePolicy},
        profile::Profile,
        simulation::{Simulation, parse_index, pool_budget},
    },
    lynxwheel_decisions::{
        PlacementPlan, Tuning, cordoned_vms, plan_give_ups, plan_placements, plan_quarantines,
    },
    lynxwheel_protocol::{Class, RecordBody},
    lynxwheel_state::{FleetState, JobPhase, JobState},
    std::time::{Duration, Instant},
};

/// One hour, in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

/// Maximum starts planned in one round.
const MAX_STARTS_PER_ROUND: usize = 256;

/// Policy under test in a run.
#[derive(Clone, Copy, Debug)]
pub enum RunPolicy {
    /// Claims VMs for a wave by this policy; placements are those in use.
    Wave(WavePolicy),
    /// Places jobs by this policy, without a wave.
    Placement(PlacementPolicy),
}

/// A run in progress.
#[derive(Debug)]
pub struct Run<'a> {
    simulation: Simulation<'a>,
    profile: &'a Profile,
    workload: &'a Workload,
    policy: RunPolicy,
    breaches: BudgetBreaches,
    buffer_vm_ms: f64,
    decision_time: Duration,
    completed_ms: Option<u64>,
    drain_bound_ms: u64,
}

impl<'a> Run<'a> {
    /// Creates a run at its start.
    #[must_use]
    pub fn new(
        profile: &'a Profile,
        workload: &'a Workload,
        inputs: &'a Inputs,
        policy: RunPolicy,
    ) -> Self {
        Self {
            simulation: Simulation::new(profile, inputs, pool_budget()),
            profile,
            workload,
            policy,
            breaches: BudgetBreaches::default(),
            buffer_vm_ms: 0.0,
            decision_time: Duration::ZERO,
            completed_ms: None,
            drain_bound_ms: 0,
        }
    }

    /// Runs until the wave is complete or the time of arrivals is over, and returns the measures.
    #[must_use]
    pub fn run(mut self) -> Measures {
        let end_ms = self.workload.warm_up_ms + self.workload.arrivals_ms;
        let mut has_started_wave = false;
        while self.simulation.now_ms < end_ms && self.completed_ms.is_none() {
            self.simulation.now_ms += self.profile.step_ms;
            self.simulation.advance();
            if let RunPolicy::Wave(policy) = self.policy
                && self.simulation.now_ms >= self.workload.warm_up_ms
            {
                if !has_started_wave {
                    self.drain_bound_ms = drain_bound_ms(&self.simulation);
                    self.simulation.start_wave(self.profile);
                    has_started_wave = true;
                }
                self.claim_vms(policy);
                self.measure_wave(policy);
            }
            let obeys_halts = matches!(self.policy, RunPolicy::Wave(WavePolicy::InUse));
            advance_claims(&mut self.simulation, &mut self.breaches, obeys_halts);
            self.place_jobs();
        }
        self.into_measures()
    }

    fn claim_vms(&mut self, policy: WavePolicy) {
        let clock_ms = self.simulation.clock_ms();
        let start = Instant::now();
        let claims = policy.plan_wave_claims(&self.simulation.state, clock_ms);
        self.decision_time += start.elapsed();
        for (vm, purpose) in claims {
            self.simulation.probe_pool(vm.as_str());
            let verdict = self.simulation.submit(RecordBody::Claim {
                vm: vm.clone(),
                purpose,
                holder: crate::simulation::NODE_NAME.into(),
            });
            if verdict.is_accepted() {
                self.breaches.check_step(&self.simulation, &vm);
            }
        }
    }

    fn place_jobs(&mut self) {
        let clock_ms = self.simulation.clock_ms();
        let start = Instant::now();
        let plan = match self.policy {
            RunPolicy::Placement(policy) => policy.plan(&self.simulation.state, clock_ms),
            RunPolicy::Wave(policy) => {
                let tuning = policy.tuning(&self.simulation.state);
                plan_placements(
                    &self.simulation.state,
                    &tuning,
                    clock_ms,
                    MAX_STARTS_PER_ROUND,
                )
            }
        };
        let give_ups = plan_give_ups(&self.simulation.state, clock_ms);
        let quarantines = plan_quarantines(&self.simulation.state);
        self.decision_time += start.elapsed();
        self.apply_plan(plan);
        for plan in give_ups {
            self.simulation.submit(RecordBody::GiveUp {
                job: plan.job,
                reason: plan.reason.to_string().into(),
            });
        }
        for plan in quarantines {
            self.simulation.submit(RecordBody::Quarantine {
                vm: plan.vm,
                until_ms: plan.until_ms,
            });
        }
    }

    fn apply_plan(&mut self, plan: PlacementPlan) {
        for stop in plan.stops {
            let job = parse_index(stop.job.as_str());
            let verdict = self.simulation.submit(RecordBody::Stop {
                job: stop.job,
                attempt: stop.attempt,
            });
            if verdict.is_accepted() {
                self.simulation.stopping_jobs.push(job);
            }
        }
        for start in plan.starts {
            let job = parse_index(start.job.as_str());
            let vm = parse_index(start.vm.as_str());
            let verdict = self.simulation.submit(RecordBody::Start {
                job: start.job,
                attempt: start.attempt,
                vm: start.vm,
                reserved: start.reserved,
                holder: crate::simulation::NODE_NAME.into(),
            });
            if verdict.is_accepted() && self.simulation.ground_truth.machines[vm].is_up {
                let now_ms = self.simulation.now_ms;
                let inputs = self.simulation.inputs;
                self.simulation
                    .ground_truth
                    .start_attempt(inputs, vm, job, start.attempt, now_ms);
            }
        }
    }

    fn measure_wave(&mut self, policy: WavePolicy) {
        self.breaches.check_drains(&self.simulation);
        let state = &self.simulation.state;
        let claimed = state.vms().iter().filter(|vm| vm.claim.is_some()).count();
        let tuning = policy.tuning(state);
        let cordoned_capacity = cordoned_capacity(state, &tuning, self.simulation.clock_ms());
        #[expect(clippy::cast_precision_loss, reason = "counts and steps are small")]
        let step_vm_ms = (claimed as f64 + cordoned_capacity) * self.profile.step_ms as f64;
        self.buffer_vm_ms += step_vm_ms;
        let is_done = state.waves().first().is_some_and(|wave| {
            let mut vms = state.vms().iter();
            vms.all(|vm| vm.maintained_ms >= wave.spec.due_before_ms && vm.claim.is_none())
        });
        if is_done {
            self.completed_ms = Some(self.simulation.now_ms);
        }
    }

    fn into_measures(self) -> Measures {
        let jobs = self.simulation.state.jobs();
        let lost_jobs = jobs.iter().filter(|job| self.is_lost_job(job)).count();
        let completed_jobs = jobs
            .iter()
            .filter(|job| job.phase == JobPhase::Succeeded)
            .count();
        let mut urgent_delays_ms = self.start_delays_ms(|class| class == Class::Urgent);
        let other_delays_ms = self.start_delays_ms(|class| class != Class::Urgent);
        let mut measures = Measures {
            profile: self.profile.name.as_str(),
            job_moves: Some(self.simulation.job_moves),
            lost_jobs: Some(lost_jobs as u64),
            duplicate_starts: Some(self.simulation.ground_truth.duplicate_starts),
            completed_jobs: Some(completed_jobs as u64),
            urgent_start_p99_s: Some(seconds(percentile(&mut urgent_delays_ms, 99))),
            start_mean_s: Some(seconds(
                other_delays_ms.iter().sum::<u64>() / other_delays_ms.len().max(1) as u64,
            )),
            decision_cpu_ms: self.decision_time.as_secs_f64() * 1_000.0,
            ..Measures::default()
        };
        if let RunPolicy::Wave(_) = self.policy {
            let end_ms = self.completed_ms.unwrap_or(self.simulation.now_ms);
            measures.roll_out_s = Some((end_ms - self.workload.warm_up_ms) / 1_000);
            let bound_ms = roll_out_bound_ms(self.profile, self.simulation.inputs);
            measures.roll_out_bound_s = Some(bound_ms.max(self.drain_bound_ms) / 1_000);
            measures.is_complete = Some(self.completed_ms.is_some());
            measures.budget_breaches = Some(self.breaches.count);
            measures.buffer_vm_hours = Some(self.buffer_vm_ms / HOUR_MS);
            measures.vm_moves = Some(self.simulation.vm_moves);
        }
        measures
    }

    fn is_lost_job(&self, job: &JobState) -> bool {
        let input = &self.simulation.inputs.jobs[parse_index(job.spec.name.as_str())];
        job.phase == JobPhase::GivenUp && !input.always_fails && !input.is_unplaceable
    }

    /// Returns the time to the first start, or until now without one, of each job whose class passes
    /// `filter`; cancelled and unplaceable jobs are left out.
    fn start_delays_ms(&self, filter: impl Fn(Class) -> bool) -> Vec<u64> {
        let jobs = self
            .simulation
            .inputs
            .jobs
            .iter()
            .zip(&self.simulation.ground_truth.jobs);
        jobs.filter(|(input, _)| filter(input.class) && input.arrival_ms < self.simulation.now_ms)
            .filter(|(input, _)| !input.is_unplaceable && input.cancel_ms.is_none())
            .map(|(input, progress)| {
                let start_ms = progress.first_start_ms.unwrap_or(self.simulation.now_ms);
                start_ms.saturating_sub(input.arrival_ms)
            })
            .collect()
    }
}

/// Returns the capacity that cordons withhold from pending jobs, in VMs.
///
/// A cordoned VM counts with its share of free cores if a pending job of its pool would fit on it.
fn cordoned_capacity(state: &FleetState, tuning: &Tuning, now_ms: u64) -> f64 {
    let cordoned = cordoned_vms(state, tuning, now_ms);
    if cordoned.is_empty() {
        return 0.0;
    }
    let pending: Vec<&JobState> = state
        .jobs()
        .iter()
        .filter(|job| job.phase == JobPhase::Pending)
        .collect();
    cordoned
        .iter()
        .filter_map(|name| state.vms().get(name.as_str()))
        .filter(|vm| {
            let free = vm.free();
            pending.iter().any(|job| {
                job.spec.pool == vm.pool && lynxwheel_decisions::estimate_demand(job).fits(&free)
            })
        })
        .map(|vm| f64::from(vm.free().cores_milli) / f64::from(vm.capacity.cores_milli))
        .sum()
}

fn seconds(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64()
}
