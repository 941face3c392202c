//! VMs that may move to another pool during a planning round.

use std::cmp::Reverse;

/// Sorted indexes of available VMs: those in standby pools, and idle ones in other pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpareVms {
    pub(crate) standby: Vec<usize>,
    pub(crate) idle: Vec<usize>,
}

impl SpareVms {
    /// Takes the most suitable VM: first one on standby, then an idle one that may leave its pool.
    ///
    /// Pools only lose VMs during a planning round, so a VM that may not leave now is discarded.
    pub(crate) fn take(
        &mut self,
        fits: impl Fn(usize) -> bool,
        score: Option<&dyn Fn(usize) -> u64>,
        may_leave: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if let Some(at) = best(&self.standby, &fits, score) {
            return Some(self.standby.remove(at));
        }
        while let Some(at) = best(&self.idle, &fits, score) {
            let vm = self.idle.remove(at);
            if may_leave(vm) {
                return Some(vm);
            }
        }
        None
    }
}

/// Returns the position of the most suitable VM in the list, the first one among equals.
fn best(
    vms: &[usize],
    fits: impl Fn(usize) -> bool,
    score: Option<&dyn Fn(usize) -> u64>,
) -> Option<usize> {
    let mut suitable = (0..vms.len()).filter(|&at| fits(vms[at]));
    match score {
        Some(score) => suitable.min_by_key(|&at| Reverse(score(vms[at]))),
        None => suitable.next(),
    }
}
