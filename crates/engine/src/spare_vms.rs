//! VMs that may move to another pool during a planning round.

use std::cmp::Reverse;

/// Sorted indexes of available VMs: those in standby pools, and idle ones in other pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpareVms {
    pub(crate) standby: Vec<usize>,
    pub(crate) idle: Vec<usize>,
}

impl SpareVms {
    /// Takes the most suitable VM; among equals an idle one that may leave its pool, then one on
    /// standby.
    ///
    /// An idle VM that its pool can spare is switched off soon, so that one from standby would take
    /// two moves instead of one. Pools only lose VMs during a planning round, so a VM that may not
    /// leave now is discarded.
    pub(crate) fn take(
        &mut self,
        fits: impl Fn(usize) -> bool,
        score: Option<&dyn Fn(usize) -> u64>,
        may_leave: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let on_standby = best(&self.standby, &fits, score);
        let score_of = |vm: usize| score.map_or(0, |score| score(vm));
        while let Some(at) = best(&self.idle, &fits, score) {
            let vm = self.idle[at];
            if on_standby.is_some_and(|at| score_of(self.standby[at]) > score_of(vm)) {
                break;
            }
            self.idle.remove(at);
            if may_leave(vm) {
                return Some(vm);
            }
        }
        on_standby.map(|at| self.standby.remove(at))
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
