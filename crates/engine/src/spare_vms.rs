//! VMs that may leave their pool for a needier one, while pools are planned.

use std::cmp::Reverse;

/// Places of free VMs, in order: those of standby pools, and those whose endpoint runs nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpareVms {
    pub(crate) standby: Vec<usize>,
    pub(crate) idle: Vec<usize>,
}

impl SpareVms {
    /// Takes the VM that suits best: from standby first, then an idle one that may leave its pool.
    ///
    /// One that may not leave now cannot later in the same planning either, as pools only give VMs
    /// away meanwhile; so it is looked at once.
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

/// Returns the place in the list of the VM that suits best, the first of those that suit alike.
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
