//! Lower bounds of the roll-out time of a wave.

use crate::{
    inputs::{Inputs, VmInput},
    profile::Profile,
    simulation::{Simulation, pool_budget},
};

/// Time after which an action counts as failed and is repeated, in milliseconds.
const ACTION_TIMEOUT_MS: u64 = 600_000;

/// Returns a lower bound of the roll-out time under any policy, in milliseconds.
///
/// The budget allows claims in one availability zone of a pool at a time, so the bounds of the
/// zones add up. Within a zone, the budget limits how many actions run in parallel.
#[must_use]
pub fn roll_out_bound_ms(profile: &Profile, inputs: &Inputs) -> u64 {
    (0..profile.pools)
        .map(|pool| pool_bound_ms(profile, inputs, pool))
        .max()
        .unwrap_or(0)
}

/// Returns a lower bound of the roll-out time from the running jobs that cannot be checkpointed,
/// in milliseconds.
///
/// A drain waits until these jobs end, and all policies start from the same placement. Jobs on VMs
/// with a fault are excluded because the fault may end them early.
#[must_use]
pub fn drain_bound_ms(simulation: &Simulation<'_>) -> u64 {
    let machines = simulation.ground_truth.machines.iter().enumerate();
    machines
        .filter(|(vm, _)| simulation.inputs.faults.iter().all(|fault| fault.vm != *vm))
        .flat_map(|(vm, machine)| machine.tasks.iter().map(move |task| (vm, task)))
        .filter(|(_, task)| !simulation.inputs.jobs[task.job].can_checkpoint)
        .filter(|(_, task)| simulation.inputs.jobs[task.job].cancel_ms.is_none())
        .map(|(vm, task)| task.end_ms - simulation.now_ms + simulation.inputs.vms[vm].reboot_ms)
        .max()
        .unwrap_or(0)
}

fn pool_bound_ms(profile: &Profile, inputs: &Inputs, pool: usize) -> u64 {
    let members: Vec<&VmInput> = inputs.vms.iter().filter(|vm| vm.pool == pool).collect();
    let size = u32::try_from(members.len()).unwrap_or(u32::MAX);
    let slots = (size - pool_budget().min_available.vm_count(size)) as usize;
    (0..profile.zones)
        .map(|zone| {
            let times_ms = members
                .iter()
                .filter(|vm| vm.zone == zone)
                .map(|vm| min_claim_ms(inputs, vm));
            makespan_bound_ms(times_ms.collect(), slots)
        })
        .sum()
}

/// Returns the minimum duration of the claim of a VM, in milliseconds.
fn min_claim_ms(inputs: &Inputs, vm: &VmInput) -> u64 {
    if vm.rack == inputs.faulty_rack {
        ACTION_TIMEOUT_MS + vm.reboot_ms
    } else {
        vm.reboot_ms
    }
}

/// Returns a lower bound of the makespan of actions that take `times_ms` on `slots` parallel slots.
///
/// The bound is the maximum of the mean load of a slot, the longest time, and the sum of the two
/// shortest of the `slots + 1` longest times, since two of these share a slot.
fn makespan_bound_ms(mut times_ms: Vec<u64>, slots: usize) -> u64 {
    if slots == 0 {
        return 0;
    }
    times_ms.sort_unstable_by(|left, right| right.cmp(left));
    let mean_load_ms = times_ms.iter().sum::<u64>() / slots as u64;
    let longest_ms = times_ms.first().copied().unwrap_or(0);
    let shared_ms = times_ms
        .get(slots)
        .map_or(0, |shorter_ms| times_ms[slots - 1] + shorter_ms);
    mean_load_ms.max(longest_ms).max(shared_ms)
}
