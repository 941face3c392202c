//! Planning: proposing claims and starts when it is this node's turn.

use {
    crate::node::Node,
    log::info,
    lynxwheel_decisions::{plan_claims, plan_placements, rendezvous_rank},
    lynxwheel_protocol::RecordBody,
    std::time::Duration,
    tokio::task::JoinSet,
};

/// Starts proposed in one round at most.
const MAX_STARTS: usize = 256;

/// Plans for as long as it is polled.
pub(crate) async fn plan(node: Node) {
    let mut offsets = node.published().offsets();
    let tick = Duration::from_millis(node.settings().tick_ms);
    loop {
        if node.is_current() {
            let mut proposals = JoinSet::new();
            propose_claims(&node, &mut proposals);
            propose_starts(&node, &mut proposals);
            proposals.join_all().await;
        }
        // Either news or the tick starts the next round.
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

fn is_first(node: &Node, subject: &str) -> bool {
    rendezvous_rank(subject, &node.settings().identity.node, &node.live_nodes()) == 0
}

fn propose_claims(node: &Node, proposals: &mut JoinSet<bool>) {
    let state = node.state();
    for plan in plan_claims(&state) {
        let Some(vm) = state.vms().get(plan.vm.as_str()) else {
            continue;
        };
        if !is_first(node, vm.pool.as_str()) {
            continue;
        }
        info!(event = "placement", decision = "claim", vm = plan.vm.as_str(),
            reason = plan.reason.as_str(), offset = state.offset(); "");
        let holder = node.settings().identity.node.clone();
        let body = RecordBody::Claim {
            vm: plan.vm,
            purpose: plan.purpose,
            holder,
        };
        let proposer = node.proposer().clone();
        proposals.spawn(async move { proposer.is_accepted(body).await });
    }
}

fn propose_starts(node: &Node, proposals: &mut JoinSet<bool>) {
    let state = node.state();
    for placement in plan_placements(&state, MAX_STARTS) {
        let Some(job) = state.jobs().get(placement.job.as_str()) else {
            continue;
        };
        if !is_first(node, job.spec.pool.as_str()) {
            continue;
        }
        info!(event = "placement", decision = "start", job = placement.job.as_str(),
            vm = placement.vm.as_str(), reason = placement.reason.as_str(),
            offset = state.offset(); "");
        let body = RecordBody::Start {
            job: placement.job,
            attempt: placement.attempt,
            vm: placement.vm,
            reserved: placement.reserved,
            holder: node.settings().identity.node.clone(),
        };
        let proposer = node.proposer().clone();
        proposals.spawn(async move { proposer.is_accepted(body).await });
    }
}
