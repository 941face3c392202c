//! Executes the claims that this node holds.

use {
    crate::{cpu_share::CpuShare, node::Node, observer::verify_pool},
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

/// Timeout of a request to the platform or an endpoint, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Time after which the platform must no longer start a requested action, in milliseconds.
const ACTION_WINDOW_MS: u64 = 10_000;

/// Maximum number of connections to the platform for actions.
const MAX_CONNECTIONS: usize = 8;

/// CPU share for finding the claims to execute.
const CPU_SHARE: CpuShare = CpuShare::new(5);

/// Executes claims for as long as it is polled.
pub(crate) async fn execute_claims(node: Node) {
    let platform = Client::new(node.settings().platform, MAX_CONNECTIONS);
    let tick = Duration::from_millis(node.settings().poll_interval_ms);
    let mut offsets = node.published_state().subscribe();
    loop {
        if node.has_diverged() {
            // A drain based on a diverged state would not be charged to the pool's budget.
            tokio::time::sleep(tick).await;
            continue;
        }
        let started_at = Instant::now();
        let state = node.state();
        let reviews = review_claims(&state, &node.live_nodes());
        let mut executions = JoinSet::new();
        for vm in state.vms().iter() {
            let Some(claim) = &vm.claim else {
                continue;
            };
            if claim.holder == node.settings().identity.node {
                let release = release_reason(&reviews, &vm.name);
                let execution =
                    ClaimExecution::new(&node, &platform, vm, claim).with_release(release);
                executions.spawn(execution.run());
            }
        }
        let pause = CPU_SHARE.pause_after(started_at.elapsed());
        executions.join_all().await;
        tokio::time::sleep(pause).await;
        drop(tokio::time::timeout(tick, offsets.changed()).await);
    }
}

/// Returns the reason to release the claim on a VM, if there is one.
fn release_reason(reviews: &[ClaimReview], vm: &VmName) -> Option<ReleaseReason> {
    let review = reviews.iter().find(|review| review.vm == *vm)?;
    match review.step {
        ReviewStep::Release(reason) => Some(reason),
        ReviewStep::TakeOver => None,
    }
}

/// Load in the response of an endpoint's health check.
#[derive(Clone, Debug, Deserialize)]
struct Load {
    in_progress: u32,
}

/// Execution of the next step of a claim.
struct ClaimExecution {
    node: Node,
    platform: Client,
    vm: VmState,
    claim: Claim,
    release: Option<ReleaseReason>,
}

impl ClaimExecution {
    fn new(node: &Node, platform: &Client, vm: &VmState, claim: &Claim) -> Self {
        Self {
            node: node.clone(),
            platform: platform.clone(),
            vm: vm.clone(),
            claim: claim.clone(),
            release: None,
        }
    }

    /// Sets a reason to release the claim instead of executing its next step.
    fn with_release(mut self, release: Option<ReleaseReason>) -> Self {
        self.release = release;
        self
    }

    async fn run(self) {
        if let Some(reason) = self.release {
            self.release(reason.as_str()).await;
            return;
        }
        match (&self.claim.purpose, self.claim.stage) {
            (ClaimPurpose::Move(_), _) => {
                if self.request_drain().await && self.is_drained().await {
                    self.hand_over().await;
                }
            }
            (ClaimPurpose::Maintain(_), ClaimStage::Draining) => {
                if self.request_drain().await && self.is_drained().await {
                    self.begin().await;
                }
            }
            (ClaimPurpose::Maintain(_), ClaimStage::Acting) => self.continue_action().await,
        }
    }

    async fn request_drain(&self) -> bool {
        self.request_action(
            VmAction::Drain,
            self.node.clock().now_ms() + ACTION_WINDOW_MS,
        )
        .await
    }

    /// Returns whether no request or attempt is running on the VM.
    async fn is_drained(&self) -> bool {
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
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        match self
            .node
            .endpoint_clients()
            .get(address)
            .get("/healthz", timeout)
            .await
        {
            Ok(answer) => {
                serde_json::from_slice::<Load>(&answer.body).is_ok_and(|load| load.in_progress == 0)
            }
            Err(_) => false,
        }
    }

    /// Begins the action, or releases the claim if the budget no longer allows it.
    async fn begin(&self) {
        if self.try_begin().await == Some(false) {
            self.release("budget_lost").await;
        }
    }

    /// Begins the action again if it was not started within its time window.
    async fn restart_action(&self) {
        if self.try_begin().await == Some(true) {
            self.log_step("begun_again");
        }
    }

    /// Proposes to begin the action and requests it if accepted.
    ///
    /// Returns whether the proposal was accepted, or `None` if that is unknown.
    async fn try_begin(&self) -> Option<bool> {
        if !verify_pool(&self.node, &self.vm.pool).await {
            // The change has been reported; the fold rejects the proposal if it exceeds the budget.
            self.log_step("pool_changed");
        }
        let not_after_ms = self.node.clock().now_ms() + ACTION_WINDOW_MS;
        let body = RecordBody::Begin {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
            not_after_ms,
        };
        let outcome = self.node.proposer().propose(body).await.ok()?;
        let is_accepted = outcome.verdict.is_accepted();
        if is_accepted {
            self.request_action(VmAction::Reboot, not_after_ms).await;
        }
        Some(is_accepted)
    }

    /// Advances an action that has begun.
    async fn continue_action(&self) {
        let now_ms = self.node.clock().now_ms();
        let timeout_ms = self.node.settings().action_timeout_ms;
        match next_action_step(&self.vm, &self.claim, now_ms, timeout_ms) {
            ActionStep::Complete => self.propose_done(true).await,
            ActionStep::Send => {
                self.request_action(VmAction::Reboot, self.claim.not_after_ms)
                    .await;
            }
            ActionStep::Recheck => self.restart_action().await,
            ActionStep::Wait => {}
            ActionStep::GiveUp => self.propose_done(false).await,
        }
    }

    async fn propose_done(&self, succeeded: bool) {
        self.log_step(if succeeded { "done" } else { "action_overdue" });
        let body = RecordBody::Done {
            vm: self.vm.name.clone(),
            fence: self.claim.fence,
            succeeded,
        };
        self.node.proposer().propose_and_confirm(body).await;
    }

    /// Hands the VM over to its new pool.
    ///
    /// The drain is undone first. If the node crashes between the two steps, it leaves a claimed
    /// VM that another node takes over, rather than an available VM that rejects all work.
    async fn hand_over(&self) {
        if !self.request_undrain().await {
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

    /// Releases the claim; the drain is undone first, as in [`Self::hand_over`].
    async fn release(&self, reason: &str) {
        if !self.request_undrain().await {
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

    async fn request_undrain(&self) -> bool {
        self.request_action(
            VmAction::Undrain,
            self.node.clock().now_ms() + ACTION_WINDOW_MS,
        )
        .await
    }

    async fn request_action(&self, action: VmAction, not_after_ms: u64) -> bool {
        let request = ActionRequest {
            action,
            fence: self.claim.fence,
            not_after_ms,
            vm_incarnation: self.claim.incarnation,
        };
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let path = action_path(&self.vm.name);
        match self
            .platform
            .post_message::<_, bool>(&path, &request, timeout)
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
            fence = self.claim.fence, reason = reason, offset = self.node.state().offset();
            "step of a claim");
    }
}

fn action_path(vm: &VmName) -> String {
    format!("/vms/{vm}/actions")
}
