//! Next step of an action under way on a VM.

use {
    lynxwheel_protocol::VmPhase,
    lynxwheel_state::{Claim, VmState},
};

/// What the holder of an acting claim does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ActionStep {
    /// The VM has a new life: the claim is done.
    Complete,
    /// The VM may not have been told; the platform carries an action out once for each fence.
    Send,
    /// The VM was not told in time: the budget is rechecked before a new window opens.
    Recheck,
    /// The VM is on its way.
    Wait,
    /// The VM did not come back: the claim is done without success.
    GiveUp,
}

/// Decides the next step of a claim whose action has begun.
///
/// A holder that dies right after the recheck leaves a VM that was never told. Its successor sees
/// the VM alive in the life that it was claimed in, and tells it; a successor that waited for the
/// VM to come back would wait until the action is overdue, and the wave with it.
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
