//! Plans claims and placements and proposes those for which this node ranks first.

use {
    crate::{cpu_share::CpuShare, node::Node, observer::verify_pool},
    log::info,
    lynxwheel_decisions::{
        ReviewStep, Tuning, plan_claims, plan_give_ups, plan_placements, plan_quarantines,
        rendezvous_rank, review_claims,
    },
    lynxwheel_protocol::{NodeName, PoolName, RecordBody},
    lynxwheel_state::FleetState,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

/// Maximum number of starts proposed in one round.
const MAX_STARTS: usize = 256;

/// Longest interval between two rounds, in milliseconds; some plans depend on time alone.
const MAX_ROUND_INTERVAL_MS: u64 = 1_000;

/// CPU share for planning.
const CPU_SHARE: CpuShare = CpuShare::new(15);

/// Plans for as long as it is polled.
pub(crate) async fn plan(node: Node) {
    let mut offsets = node.published_state().subscribe();
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let max_interval = Duration::from_millis(MAX_ROUND_INTERVAL_MS);
    let mut planned_offset = None;
    let mut last_full_round = Instant::now();
    loop {
        let offset = Some(node.state().offset());
        let is_interval_over = last_full_round.elapsed() >= max_interval;
        if (is_interval_over || offset != planned_offset) && node.is_current() {
            planned_offset = offset;
            let started_at = Instant::now();
            let mut round = PlanningRound::new(&node);
            round.propose_takeovers();
            round.propose_claims();
            round.propose_placements();
            if is_interval_over {
                // Giving up jobs and quarantining VMs are never urgent.
                round.propose_give_ups_and_quarantines();
                last_full_round = Instant::now();
            }
            let elapsed = started_at.elapsed();
            round.proposals.join_all().await;
            tokio::time::sleep(CPU_SHARE.pause_after(elapsed)).await;
        }
        // The next round starts on a new offset or after a tick.
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// A planning round on one version of the state.
struct PlanningRound<'a> {
    node: &'a Node,
    nodes: Vec<NodeName>,
    state: Arc<FleetState>,
    now_ms: u64,
    proposals: JoinSet<bool>,
}

impl<'a> PlanningRound<'a> {
    fn new(node: &'a Node) -> Self {
        Self {
            node,
            nodes: node.live_nodes(),
            state: node.state(),
            now_ms: node.clock().now_ms(),
            proposals: JoinSet::new(),
        }
    }

    /// Returns whether this node ranks first for `subject`.
    fn has_first_rank(&self, subject: &str) -> bool {
        rendezvous_rank(subject, &self.node.settings().identity.node, &self.nodes) == 0
    }

    fn has_first_rank_for_job(&self, name: &str) -> bool {
        let job = self.state.jobs().get(name);
        job.is_some_and(|job| self.has_first_rank(job.spec.pool.as_str()))
    }

    fn has_first_rank_for_vm(&self, name: &str) -> bool {
        let vm = self.state.vms().get(name);
        vm.is_some_and(|vm| self.has_first_rank(vm.pool.as_str()))
    }

    fn tuning(&self) -> Tuning {
        Tuning::new(self.state.weights())
    }

    fn holder(&self) -> NodeName {
        self.node.settings().identity.node.clone()
    }

    fn propose(&mut self, body: RecordBody) {
        let proposer = self.node.proposer().clone();
        self.proposals
            .spawn(async move { proposer.propose_and_confirm(body).await });
    }

    /// Takes over claims whose holder is gone; otherwise they would stay charged to the budget.
    fn propose_takeovers(&mut self) {
        for review in review_claims(&self.state, &self.nodes) {
            if review.step != ReviewStep::TakeOver
                || !self.has_first_rank_for_vm(review.vm.as_str())
            {
                continue;
            }
            info!(event = "placement", decision = "take_over", vm = review.vm.as_str(),
                reason = "holder_gone", fence = review.fence, offset = self.state.offset();
                "proposing to take over a claim");
            self.propose(RecordBody::TakeOver {
                vm: review.vm,
                fence: review.fence,
                holder: self.holder(),
            });
        }
    }

    fn propose_claims(&mut self) {
        for plan in plan_claims(&self.state, &self.tuning(), self.now_ms) {
            if !self.has_first_rank_for_vm(plan.vm.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "claim", vm = plan.vm.as_str(),
                reason = plan.reason.as_str(), wait_ms = plan.drain.wait_ms,
                job_moves = plan.drain.job_moves, offset = self.state.offset(); "proposing a claim");
            let body = RecordBody::Claim {
                vm: plan.vm,
                purpose: plan.purpose,
                holder: self.holder(),
            };
            self.propose_after_probe(plan.pool, body);
        }
    }

    /// Proposes a claim after a successful probe of its pool's available VMs.
    fn propose_after_probe(&mut self, pool: PoolName, body: RecordBody) {
        let node = self.node.clone();
        self.proposals.spawn(async move {
            verify_pool(&node, &pool).await && node.proposer().propose_and_confirm(body).await
        });
    }

    fn propose_placements(&mut self) {
        let plan = plan_placements(&self.state, &self.tuning(), self.now_ms, MAX_STARTS);
        for stop in plan.stops {
            if !self.has_first_rank_for_job(stop.job.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "stop", job = stop.job.as_str(),
                reason = "room_for_urgent", offset = self.state.offset();
                "proposing to stop an attempt");
            self.propose(RecordBody::Stop {
                job: stop.job,
                attempt: stop.attempt,
            });
        }
        for start in plan.starts {
            if !self.has_first_rank_for_job(start.job.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "start", job = start.job.as_str(),
                vm = start.vm.as_str(), reason = start.reason.as_str(),
                offset = self.state.offset(); "proposing to start an attempt");
            self.propose(RecordBody::Start {
                job: start.job,
                attempt: start.attempt,
                vm: start.vm,
                reserved: start.reserved,
                holder: self.holder(),
            });
        }
    }

    fn propose_give_ups_and_quarantines(&mut self) {
        for plan in plan_give_ups(&self.state, self.now_ms) {
            if !self.has_first_rank_for_job(plan.job.as_str()) {
                continue;
            }
            let reason = plan.reason.to_string();
            info!(event = "placement", decision = "give_up", job = plan.job.as_str(),
                reason = reason.as_str(), offset = self.state.offset();
                "proposing to give up a job");
            self.propose(RecordBody::GiveUp {
                job: plan.job,
                reason: reason.into(),
            });
        }
        for plan in plan_quarantines(&self.state) {
            if !self.has_first_rank_for_vm(plan.vm.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "quarantine", vm = plan.vm.as_str(),
                reason = "fails_what_runs_elsewhere", offset = self.state.offset();
                "proposing to quarantine a VM");
            self.propose(RecordBody::Quarantine {
                vm: plan.vm,
                until_ms: plan.until_ms,
            });
        }
    }
}
