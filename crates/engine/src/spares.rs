//! VMs that may leave their pool for a needier one, while pools are planned.

use std::cmp::Reverse;

/// Places of free VMs, in order: those of standby pools, and those whose endpoint runs nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spares {
    pub(crate) standby: Vec<usize>,
    pub(crate) idle: Vec<usize>,
}

impl Spares {
    /// Takes the VM that suits best: from standby first, then an idle one that may leave its pool.
    ///
    /// One that may not leave now cannot later in the same planning either, as pools only give VMs
    /// away meanwhile; so it is looked at once.
    pub(crate) fn take(
        &mut self,
        is_of_use: impl Fn(usize) -> bool,
        suits: Option<&dyn Fn(usize) -> u64>,
        may_leave: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if let Some(at) = best(&self.standby, &is_of_use, suits) {
            return Some(self.standby.remove(at));
        }
        while let Some(at) = best(&self.idle, &is_of_use, suits) {
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
    is_of_use: impl Fn(usize) -> bool,
    suits: Option<&dyn Fn(usize) -> u64>,
) -> Option<usize> {
    let mut useful = (0..vms.len()).filter(|&at| is_of_use(vms[at]));
    match suits {
        Some(suits) => useful.min_by_key(|&at| Reverse(suits(vms[at]))),
        None => useful.next(),
    }
}
