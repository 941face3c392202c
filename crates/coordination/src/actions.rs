//! Carrying out the claims that this node holds.

use {
    crate::{cpu_share::CpuShare, node::Node, observer::confirm_pool},
    log::{info, warn},
    lynxwheel_decisions::{
        ActionStep, ClaimReview, ReleaseReason, ReviewStep, next_action_step, review_claims,
    },
    lynxwheel_protocol::{ActionRequest, ClaimPurpose, RecordBody, VmAction, VmName, VmPhase},
    lynxwheel_state::{Claim, ClaimStage, VmState},
    lynxwheel_transport::Client,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

/// Time that a call to the platform may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Time between the recheck and the latest start of the action, in milliseconds.
const ACTION_WINDOW_MS: u64 = 10_000;

/// Connections to the platform for actions.
const CONNECTIONS: usize = 8;

/// Share of a core that looking for claims may take.
const CPU_SHARE: CpuShare = CpuShare::new(5);

/// Carries claims out for as long as it is polled.
pub(crate) async fn act(node: Node) {
    let platform = Client::new(node.settings().platform, CONNECTIONS);
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let mut offsets = node.published_state().subscribe();
    loop {
        if node.has_diverged() {
            // A drain by a state that nobody else has would take a VM out of service uncharged.
            tokio::time::sleep(tick).await;
            continue;
        }
        let began = Instant::now();
        let state = node.state();
        let reviews = review_claims(&state, &node.live_nodes());
        let mut steps = JoinSet::new();
        for vm in state.vms().iter() {
            let Some(claim) = &vm.claim else {
                continue;
            };
            if claim.holder == node.settings().identity.node {
                let release = release_reason(&reviews, &vm.name);
                let step = ClaimStep::new(&node, &platform, vm, claim).with_release(release);
                steps.spawn(step.take());
            }
        }
        let rest = CPU_SHARE.pause_after(began.elapsed());
        steps.join_all().await;
        tokio::time::sleep(rest).await;
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// Returns why the claim on a VM is to be given back; reviews are few.
fn release_reason(reviews: &[ClaimReview], vm: &VmName) -> Option<ReleaseReason> {
    let review = reviews.iter().find(|review| review.vm == *vm)?;
    match review.step {
        ReviewStep::Release(reason) => Some(reason),
        ReviewStep::TakeOver => None,
    }
}

/// Endpoint's own word on its load.
#[derive(Clone, Debug, Deserialize)]
struct Load {
    in_progress: u32,
}

/// Next step of one claim.
struct ClaimStep {
    node: Node,
    platform: Client,
    vm: VmState,
    claim: Claim,
    release: Option<ReleaseReason>,
}

impl ClaimStep {
    fn new(node: &Node, platform: &Client, vm: &VmState, claim: &Claim) -> Self {
        Self {
            node: node.clone(),
            platform: platform.clone(),
            vm: vm.clone(),
            claim: claim.clone(),
            release: None,
        }
    }

    /// Gives the claim back for `release` in place of its next step.
    fn with_release(mut self, release: Option<ReleaseReason>) -> Self {
        self.release = release;
        self
    }

    async fn take(self) {
        if let Some(reason) = self.release {
            self.release(reason.as_str()).await;
            return;
        }
        match (&self.claim.purpose, self.claim.stage) {
            (ClaimPurpose::Move(_), _) => {
                if self.drain().await && self.is_idle().await {
                    self.hand_over().await;
                }
            }
            (ClaimPurpose::Maintain(_), ClaimStage::Draining) => {
                if self.drain().await && self.is_idle().await {
                    self.begin().await;
                }
            }
            (ClaimPurpose::Maintain(_), ClaimStage::Acting) => self.finish().await,
        }
    }

    async fn drain(&self) -> bool {
        self.call(
            VmAction::Drain,
            self.node.clock().now_ms() + ACTION_WINDOW_MS,
        )
        .await
    }

    /// Tells whether nothing runs on the VM any more.
    async fn is_idle(&self) -> bool {
        if self.vm.phase == VmPhase::Failed {
            return true;
        }
        let state = self.node.state();
        let vm = state.vms().get(self.vm.name.as_str());
        let has_attempt = vm.is_some_and(|vm| !vm.attempts.is_empty());
        if has_attempt {
            return false;
        }
        let Ok(address) = self.vm.address.parse::<SocketAddr>() else {
            return true;
        };
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        match self
            .node
            .endpoint_clients()
            .get(address)
            .get("/healthz", limit)
            .await
        {
            Ok(answer) => {
                serde_json::from_slice::<Load>(&answer.body).is_ok_and(|load| load.in_progress == 0)
            }
            Err(_) => false,
        }
    }

    /// Rechecks the budget in the log, then acts at once; without room the claim is given back.
    async fn begin(&self) {
        if self.try_begin().await == Some(false) {
            self.release("budget_lost").await;
        }
    }

    /// Opens a new window for an action that was not started in the last one.
    async fn begin_again(&self) {
        if self.try_begin().await == Some(true) {
            self.log_step("begun_again");
        }
    }

    /// Returns whether the recheck was accepted, if that is known.
    async fn try_begin(&self) -> Option<bool> {
        if !confirm_pool(&self.node, &self.vm.pool).await {
            // The fold knows of the loss by now and says whether the budget still has room.
            self.log_step("pool_changed");
        }
        let not_after_ms = self.node.clock().now_ms() + ACTION_WINDOW_MS;
        let body = RecordBody::Begin {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
            not_after_ms,
        };
        let decision = self.node.proposer().propose(body).await.ok()?;
        let is_accepted = decision.verdict.is_accepted();
        if is_accepted {
            self.call(VmAction::Reboot, not_after_ms).await;
        }
        Some(is_accepted)
    }

    /// Sees an action that has begun through to its end.
    async fn finish(&self) {
        let now_ms = self.node.clock().now_ms();
        let timeout_ms = self.node.settings().action_timeout_ms;
        match next_action_step(&self.vm, &self.claim, now_ms, timeout_ms) {
            ActionStep::Complete => self.done(true).await,
            ActionStep::Send => {
                self.call(VmAction::Reboot, self.claim.not_after_ms).await;
            }
            ActionStep::Recheck => self.begin_again().await,
            ActionStep::Wait => {}
            ActionStep::GiveUp => self.done(false).await,
        }
    }

    async fn done(&self, succeeded: bool) {
        self.log_step(if succeeded { "done" } else { "action_overdue" });
        let body = RecordBody::Done {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
            succeeded,
        };
        self.node.proposer().propose_and_confirm(body).await;
    }

    /// Gives the VM to its new pool.
    ///
    /// The drain is undone first: nothing is sent to a claimed VM, and a node that dies between
    /// the two steps leaves a claim that another one takes over, not a VM that counts as
    /// available and takes no work.
    async fn hand_over(&self) {
        if !self.undrain().await {
            return;
        }
        let body = RecordBody::HandOver {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
        };
        if self.node.proposer().propose_and_confirm(body).await {
            self.log_step("handed_over");
        }
    }

    /// Gives the claim back; the drain is undone first for the same reason as at a hand-over.
    async fn release(&self, reason: &str) {
        if !self.undrain().await {
            return;
        }
        let body = RecordBody::Release {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
        };
        if self.node.proposer().propose_and_confirm(body).await {
            self.log_step(reason);
        }
    }

    async fn undrain(&self) -> bool {
        self.call(
            VmAction::Undrain,
            self.node.clock().now_ms() + ACTION_WINDOW_MS,
        )
        .await
    }

    async fn call(&self, action: VmAction, not_after_ms: u64) -> bool {
        let request = ActionRequest {
            action,
            fence: self.claim.fence,
            not_after_ms,
            vm_incarnation: self.claim.incarnation,
        };
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let path = action_path(&self.vm.name);
        match self
            .platform
            .exchange::<_, bool>(&path, &request, limit)
            .await
        {
            Ok(_) => true,
            Err(error) => {
                warn!(event = "action_failed", vm = self.vm.name.as_str(),
                    fence = self.claim.fence; "{error}");
                false
            }
        }
    }

    fn log_step(&self, reason: &str) {
        info!(event = "placement", decision = "claim_step", vm = self.vm.name.as_str(),
            fence = self.claim.fence, reason = reason, offset = self.node.state().offset(); "");
    }
}

fn action_path(vm: &VmName) -> String {
    format!("/vms/{vm}/actions")
}
