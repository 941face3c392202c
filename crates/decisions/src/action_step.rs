//! Next step of an action that has begun on a VM.

use {
    lynxwheel_protocol::VmPhase,
    lynxwheel_state::{Claim, VmState},
};

/// Next step of the holder of a claim whose action has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ActionStep {
    /// The VM is live in a new incarnation; the claim is done.
    Complete,
    /// Sends the action, again if need be; the platform executes it once for each fencing token.
    Send,
    /// The action's window has passed; the budget is rechecked and a new window opened.
    Recheck,
    /// The VM is not live; waits for its new incarnation.
    Wait,
    /// The VM did not restart in time; the action has failed.
    GiveUp,
}

/// Decides the next step of a claim whose action has begun.
///
/// A VM that is still live in the incarnation in which it was claimed has not received the action,
/// for example because the former holder crashed before sending it. The action is then sent again,
/// so that the wave does not stall until the timeout.
#[must_use]
pub fn next_action_step(vm: &VmState, claim: &Claim, now_ms: u64, timeout_ms: u64) -> ActionStep {
    let is_live = vm.phase == VmPhase::Live;
    if is_live && vm.incarnation > claim.incarnation {
        return ActionStep::Complete;
    }
    if now_ms > claim.since_ms.saturating_add(timeout_ms) {
        return ActionStep::GiveUp;
    }
    if !is_live {
        return ActionStep::Wait;
    }
    if now_ms <= claim.not_after_ms {
        ActionStep::Send
    } else {
        ActionStep::Recheck
    }
}
