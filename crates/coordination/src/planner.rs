//! Planning: proposing claims, starts and final answers when it is this node's turn.

use {
    crate::{cpu_share::CpuShare, node::Node, observer::confirm_pool},
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

/// Starts proposed in one round at most.
const MAX_STARTS: usize = 256;

/// Time between rounds without news, in milliseconds: drains end and patience runs out by time.
const QUIET_ROUND_MS: u64 = 1_000;

/// Share of a core that planning may take.
const CPU_SHARE: CpuShare = CpuShare::new(15);

/// Plans for as long as it is polled.
pub(crate) async fn plan(node: Node) {
    let mut offsets = node.published_state().subscribe();
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let quiet = Duration::from_millis(QUIET_ROUND_MS);
    let mut planned_offset = None;
    let mut planned_at = Instant::now();
    loop {
        let offset = Some(node.state().offset());
        let is_quiet = planned_at.elapsed() >= quiet;
        if (is_quiet || offset != planned_offset) && node.is_current() {
            planned_offset = offset;
            let began = Instant::now();
            let mut round = Round::new(&node);
            round.take_over();
            round.propose_claims();
            round.propose_placements();
            if is_quiet {
                // Final answers and quarantines are never urgent.
                round.propose_verdicts();
                planned_at = Instant::now();
            }
            let cost = began.elapsed();
            round.proposals.join_all().await;
            tokio::time::sleep(CPU_SHARE.pause_after(cost)).await;
        }
        // Either news or the tick starts the next round.
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// One round of planning on one state.
struct Round<'a> {
    node: &'a Node,
    nodes: Vec<NodeName>,
    state: Arc<FleetState>,
    now_ms: u64,
    proposals: JoinSet<bool>,
}

impl<'a> Round<'a> {
    fn new(node: &'a Node) -> Self {
        Self {
            node,
            nodes: node.live_nodes(),
            state: node.state(),
            now_ms: node.clock().now_ms(),
            proposals: JoinSet::new(),
        }
    }

    /// Tells whether this node speaks first for `subject`.
    fn is_first(&self, subject: &str) -> bool {
        rendezvous_rank(subject, &self.node.settings().identity.node, &self.nodes) == 0
    }

    fn is_first_for_job(&self, name: &str) -> bool {
        let job = self.state.jobs().get(name);
        job.is_some_and(|job| self.is_first(job.spec.pool.as_str()))
    }

    fn is_first_for_vm(&self, name: &str) -> bool {
        let vm = self.state.vms().get(name);
        vm.is_some_and(|vm| self.is_first(vm.pool.as_str()))
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

    /// Takes over the claims of holders that are gone, which would stay charged for ever.
    fn take_over(&mut self) {
        for review in review_claims(&self.state, &self.nodes) {
            if review.step != ReviewStep::TakeOver || !self.is_first_for_vm(review.vm.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "take_over", vm = review.vm.as_str(),
                reason = "holder_gone", fence = review.fence, offset = self.state.offset(); "");
            self.propose(RecordBody::TakeOver {
                vm: review.vm,
                fence: review.fence,
                holder: self.holder(),
            });
        }
    }

    fn propose_claims(&mut self) {
        for plan in plan_claims(&self.state, &self.tuning(), self.now_ms) {
            if !self.is_first_for_vm(plan.vm.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "claim", vm = plan.vm.as_str(),
                reason = plan.reason.as_str(), wait_ms = plan.drain.wait_ms,
                job_moves = plan.drain.job_moves, offset = self.state.offset(); "");
            let body = RecordBody::Claim {
                vm: plan.vm,
                purpose: plan.purpose,
                holder: self.holder(),
            };
            self.propose_confirmed(plan.pool, body);
        }
    }

    /// Proposes a claim once the VMs of its pool have shown that they are there.
    fn propose_confirmed(&mut self, pool: PoolName, body: RecordBody) {
        let node = self.node.clone();
        self.proposals.spawn(async move {
            confirm_pool(&node, &pool).await && node.proposer().propose_and_confirm(body).await
        });
    }

    fn propose_placements(&mut self) {
        let plan = plan_placements(&self.state, &self.tuning(), self.now_ms, MAX_STARTS);
        for stop in plan.stops {
            if !self.is_first_for_job(stop.job.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "stop", job = stop.job.as_str(),
                reason = "room_for_urgent", offset = self.state.offset(); "");
            self.propose(RecordBody::Stop {
                job: stop.job,
                attempt: stop.attempt,
            });
        }
        for start in plan.starts {
            if !self.is_first_for_job(start.job.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "start", job = start.job.as_str(),
                vm = start.vm.as_str(), reason = start.reason.as_str(),
                offset = self.state.offset(); "");
            self.propose(RecordBody::Start {
                job: start.job,
                attempt: start.attempt,
                vm: start.vm,
                reserved: start.reserved,
                holder: self.holder(),
            });
        }
    }

    fn propose_verdicts(&mut self) {
        for plan in plan_give_ups(&self.state, self.now_ms) {
            if !self.is_first_for_job(plan.job.as_str()) {
                continue;
            }
            let reason = plan.reason.to_string();
            info!(event = "placement", decision = "give_up", job = plan.job.as_str(),
                reason = reason.as_str(), offset = self.state.offset(); "");
            self.propose(RecordBody::GiveUp {
                job: plan.job,
                reason: reason.into(),
            });
        }
        for plan in plan_quarantines(&self.state) {
            if !self.is_first_for_vm(plan.vm.as_str()) {
                continue;
            }
            info!(event = "placement", decision = "quarantine", vm = plan.vm.as_str(),
                reason = "fails_what_runs_elsewhere", offset = self.state.offset(); "");
            self.propose(RecordBody::Quarantine {
                vm: plan.vm,
                until_ms: plan.until_ms,
            });
        }
    }
}
