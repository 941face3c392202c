//! Lower bound of a wave's roll-out time.

use crate::{
    inputs::{Inputs, VmInput},
    profile::Profile,
    simulation::{Simulation, pool_budget},
};

/// Time after which an action counts as failed and has to be repeated, in milliseconds.
const ACTION_TIMEOUT_MS: u64 = 600_000;

/// Returns the time below which no policy can come, in milliseconds.
///
/// Claims of a pool never overlap between zones when the budget allows one zone at once, so that
/// the zones of a pool add up; within a zone the actions go into the budget's slots. The docs
/// derive it.
#[must_use]
pub fn roll_out_bound_ms(profile: &Profile, inputs: &Inputs) -> u64 {
    (0..profile.pools)
        .map(|pool| pool_bound_ms(profile, inputs, pool))
        .max()
        .unwrap_or(0)
}

/// Returns how long the jobs that run now and cannot be moved put off the last VM, in
/// milliseconds.
///
/// No policy may cut them off, and all policies start from the same placement. A VM that fails by
/// itself ends its jobs, so those are left out.
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
    let slots = (size - pool_budget().min_available.rounded_up(size)) as usize;
    (0..profile.zones)
        .map(|zone| {
            let times = members
                .iter()
                .filter(|vm| vm.zone == zone)
                .map(|vm| claim_ms(inputs, vm));
            makespan_bound_ms(times.collect(), slots)
        })
        .sum()
}

/// Returns how long a VM is claimed at least.
fn claim_ms(inputs: &Inputs, vm: &VmInput) -> u64 {
    if vm.rack == inputs.faulty_rack {
        ACTION_TIMEOUT_MS + vm.reboot_ms
    } else {
        vm.reboot_ms
    }
}

/// Returns the bound for `times` in `slots`: the mean load of a slot, the longest time, and the
/// two shortest of the longest `slots + 1` times, two of which share a slot.
fn makespan_bound_ms(mut times: Vec<u64>, slots: usize) -> u64 {
    if slots == 0 {
        return 0;
    }
    times.sort_unstable_by(|left, right| right.cmp(left));
    let load_ms = times.iter().sum::<u64>() / slots as u64;
    let longest_ms = times.first().copied().unwrap_or(0);
    let shared_ms = times
        .get(slots)
        .map_or(0, |shorter_ms| times[slots - 1] + shorter_ms);
    load_ms.max(longest_ms).max(shared_ms)
}
