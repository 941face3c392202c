//! Steps in which a node runs the decision functions and proposes their results.

use {
    crate::{
        command::Command,
        simulation::{ChosenEndpoint, Simulation, StepResult},
    },
    lynxwheel_decisions::{
        AdmissionView, EndpointView, ReviewStep, RouteRequest, Tuning, admit, forecast,
        least_loaded_in_share, plan_claims, plan_give_ups, plan_placements, plan_quarantines,
        review_claims, slot_shares,
    },
    lynxwheel_protocol::{NodeName, RecordBody},
    lynxwheel_state::VmState,
};

/// Maximum number of starts planned by one step.
const MAX_STARTS: usize = 16;

/// Maximum number of concurrent requests of an endpoint.
pub(crate) const SLOTS_PER_ENDPOINT: u32 = 8;

impl Simulation {
    pub(crate) fn propose_claims(&mut self, name: &str) -> StepResult {
        let now_ms = self.now_ms;
        let state = self.node(name)?.state();
        let plans = plan_claims(state, &Tuning::new(state.weights()), now_ms);
        let mut lines = Vec::new();
        for plan in plans {
            let body = RecordBody::Claim {
                vm: plan.vm.clone(),
                purpose: plan.purpose,
                holder: name.into(),
            };
            let outcome = self.propose(name, body)?;
            self.record_claim(name, plan.vm.as_str())?;
            lines.push(format!("{} ({}): {outcome}", plan.vm, plan.reason.as_str()));
        }
        Ok(lines_or_default(&lines, "nothing to claim"))
    }

    pub(crate) fn propose_starts(&mut self, name: &str) -> StepResult {
        let now_ms = self.now_ms;
        let state = self.node(name)?.state();
        let tuning = Tuning::new(state.weights());
        let plan = plan_placements(state, &tuning, now_ms, MAX_STARTS);
        let mut lines = Vec::new();
        for stop in plan.stops {
            let line = format!("stop {}", stop.job);
            let body = RecordBody::Stop {
                job: stop.job,
                attempt: stop.attempt,
            };
            lines.push(format!("{line}: {}", self.propose(name, body)?));
        }
        for start in plan.starts {
            let reason = start.reason.as_str();
            let line = format!("{} on {} ({reason})", start.job, start.vm);
            let body = RecordBody::Start {
                job: start.job,
                attempt: start.attempt,
                vm: start.vm,
                reserved: start.reserved,
                holder: name.into(),
            };
            lines.push(format!("{line}: {}", self.propose(name, body)?));
        }
        Ok(lines_or_default(&lines, "nothing to start"))
    }

    pub(crate) fn propose_verdicts(&mut self, name: &str) -> StepResult {
        let now_ms = self.now_ms;
        let state = self.node(name)?.state();
        let give_ups = plan_give_ups(state, now_ms);
        let quarantines = plan_quarantines(state);
        let mut lines = Vec::new();
        for plan in give_ups {
            let line = format!("give up {}", plan.job);
            let body = RecordBody::GiveUp {
                job: plan.job,
                reason: plan.reason.to_string().into(),
            };
            lines.push(format!("{line}: {}", self.propose(name, body)?));
        }
        for plan in quarantines {
            let line = format!("quarantine {}", plan.vm);
            let body = RecordBody::Quarantine {
                vm: plan.vm,
                until_ms: plan.until_ms,
            };
            lines.push(format!("{line}: {}", self.propose(name, body)?));
        }
        Ok(lines_or_default(&lines, "nothing to decide"))
    }

    /// Reviews the claims in progress, assuming that only the nodes in `live` are alive.
    pub(crate) fn review(&mut self, name: &str, live: &[String]) -> StepResult {
        let mut live: Vec<NodeName> = live.iter().map(|node| node.as_str().into()).collect();
        live.sort();
        let reviews = review_claims(self.node(name)?.state(), &live);
        let mut lines = Vec::new();
        for review in reviews {
            let (vm, fence) = (review.vm.clone(), review.fence);
            let (step, body) = match review.step {
                ReviewStep::Release(reason) => (reason.as_str(), RecordBody::Release { vm, fence }),
                ReviewStep::TakeOver => {
                    let holder = name.into();
                    ("take_over", RecordBody::TakeOver { vm, fence, holder })
                }
            };
            let outcome = self.propose(name, body)?;
            self.record_claim(name, review.vm.as_str())?;
            lines.push(format!("{} ({step}): {outcome}", review.vm));
        }
        Ok(lines_or_default(&lines, "nothing to review"))
    }

    pub(crate) fn show_forecast(&mut self, name: &str, wave: &str) -> StepResult {
        let now_ms = self.now_ms;
        let state = self.node(name)?.state();
        let wave = state.waves().get(wave).ok_or("no such wave")?;
        Ok(forecast(state, wave, now_ms).to_string())
    }

    pub(crate) fn route(&mut self, name: &str, pool: &str, seed: u64) -> StepResult {
        let node = self.node(name)?;
        let candidates: Vec<&VmState> = node
            .state()
            .vms()
            .iter()
            .filter(|vm| vm.pool.as_str() == pool && vm.is_available())
            .collect();
        let views: Vec<EndpointView<'_>> = candidates
            .iter()
            .map(|vm| EndpointView {
                vm: &vm.name,
                zone: &vm.zone,
                in_progress: 0,
                peers_in_progress: 0,
                slots: SLOTS_PER_ENDPOINT,
                slot_share: SLOTS_PER_ENDPOINT,
            })
            .collect();
        let request = RouteRequest {
            zone: &node.zone,
            seed,
        };
        let choice = least_loaded_in_share(&request, &views);
        let chosen = choice.endpoint.map(|index| ChosenEndpoint {
            vm: candidates[index].name.clone(),
            incarnation: candidates[index].incarnation,
        });
        let vm = chosen.as_ref().map_or("none", |chosen| chosen.vm.as_str());
        let outcome = format!("{vm} ({})", choice.reason.as_str());
        self.chosen_endpoint = chosen;
        Ok(outcome)
    }
}

fn lines_or_default(lines: &[String], nothing: &str) -> String {
    if lines.is_empty() {
        nothing.into()
    } else {
        lines.join("\n")
    }
}

/// Returns the admission decision for a request.
pub(crate) fn admission_text(command: &Command) -> String {
    let Command::Admit {
        class,
        waiting,
        ahead,
        limit,
        slots,
        mean_us,
        remaining_ms,
    } = command
    else {
        return String::new();
    };
    let view = AdmissionView {
        class: class.0,
        waiting: *waiting,
        ahead: *ahead,
        max_waiting: *limit,
        slots: *slots,
        mean_service_us: *mean_us,
        remaining_ms: *remaining_ms,
    };
    format!("{:?}", admit(&view))
}

/// Returns the share of each node in the slots of an endpoint.
pub(crate) fn shares(vm: &str, nodes: &[String], slots: u32) -> String {
    let mut names: Vec<NodeName> = nodes.iter().map(|node| node.as_str().into()).collect();
    names.sort();
    let shares = slot_shares(&vm.into(), &names, slots);
    let lines: Vec<String> = names
        .iter()
        .zip(&shares)
        .map(|(node, share)| format!("{node} {share}"))
        .collect();
    format!(
        "{}: {} in all",
        lines.join(", "),
        shares.iter().sum::<u32>()
    )
}
