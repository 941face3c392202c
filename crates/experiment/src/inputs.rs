//! Seeded inputs: the fleet, its jobs and the faults, identical for every policy.

use {
    crate::profile::Profile,
    lynxwheel_protocol::{Class, Resources},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Availability zones of one region; the VMs of a pool share a region.
const ZONES_PER_REGION: usize = 3;

const VMS_PER_RACK: usize = 4;

/// Accelerators of each VM that has any.
const ACCELERATORS_PER_VM: u32 = 4;

/// Properties of a simulated VM.
#[derive(Clone, Debug)]
pub struct VmInput {
    /// Index of its pool.
    pub pool: usize,
    /// Index of its availability zone.
    pub zone: usize,
    /// Index of its rack.
    pub rack: usize,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Duration of its reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Whether every task on it fails.
    pub fails_all_tasks: bool,
}

/// A job with its declared and its actual properties.
#[derive(Clone, Debug)]
pub struct JobInput {
    /// Time of its declaration, in milliseconds.
    pub arrival_ms: u64,
    /// Index of its pool.
    pub pool: usize,
    /// Index of its team.
    pub team: usize,
    /// Scheduling class.
    pub class: Class,
    /// Declared demand.
    pub declared_demand: Resources,
    /// Declared run time, in milliseconds.
    pub declared_run_ms: u64,
    /// Resources that it actually uses.
    pub actual_usage: Resources,
    /// Actual run time, in milliseconds.
    pub actual_run_ms: u64,
    /// Whether it can be checkpointed.
    pub can_checkpoint: bool,
    /// Whether every attempt fails, on any VM.
    pub always_fails: bool,
    /// Whether its declared demand exceeds the capacity of every VM of its pool.
    pub is_unplaceable: bool,
    /// Time of its cancellation, in milliseconds.
    pub cancel_ms: Option<u64>,
}

/// A period in which a VM is down.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Index of the VM.
    pub vm: usize,
    /// Time of the failure, in milliseconds.
    pub start_ms: u64,
    /// Time at which the VM is up again with a new incarnation, in milliseconds.
    pub end_ms: u64,
}

/// Parameters from which the jobs and faults of an experiment are drawn.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Time before the start of the wave, in milliseconds.
    pub warm_up_ms: u64,
    /// Time after the warm-up in which jobs still arrive, in milliseconds.
    pub arrivals_ms: u64,
    /// Mean utilization of the cores, in percent.
    pub load_percent: u64,
    /// Share of VMs that fail every task, in percent.
    pub faulty_vm_percent: u64,
    /// Urgent jobs of a burst; every pool gets a burst every 20 minutes.
    pub urgent_burst_jobs: usize,
}

/// Inputs drawn from one seed.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// VMs, grouped by pool.
    pub vms: Vec<VmInput>,
    /// Jobs in order of arrival.
    pub jobs: Vec<JobInput>,
    /// Faults in order of start.
    pub faults: Vec<Fault>,
    /// Rack whose VMs stay down for a long time after their first reboot.
    pub faulty_rack: usize,
    /// Duration of that first reboot, in milliseconds.
    pub faulty_rack_down_ms: u64,
}

impl Inputs {
    /// Draws the inputs from `seed`.
    #[must_use]
    pub fn new(profile: &Profile, workload: &Workload, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = draw_vms(profile, workload, &mut rng);
        let faults = draw_faults(workload, &vms, &mut rng);
        let mut jobs = Vec::new();
        for pool in 0..profile.pools {
            draw_jobs(profile, workload, &vms, pool, &mut rng, &mut jobs);
            draw_urgent_jobs(profile, workload, &vms, pool, &mut rng, &mut jobs);
        }
        draw_cancellations(profile, workload, &mut rng, &mut jobs);
        jobs.sort_by_key(|job| job.arrival_ms);
        Self {
            faulty_rack: vms[rng.random_range(0..vms.len())].rack,
            faulty_rack_down_ms: minutes(rng.random_range(20..40)),
            vms,
            jobs,
            faults,
        }
    }
}

fn minutes(count: u64) -> u64 {
    count * 60_000
}

fn draw_vms(profile: &Profile, workload: &Workload, rng: &mut ChaCha8Rng) -> Vec<VmInput> {
    let mut vms: Vec<VmInput> = Vec::new();
    let mut zone_vm_counts = vec![0; profile.zones];
    for pool in 0..profile.pools {
        let count = rng.random_range(profile.min_pool_vms..=profile.max_pool_vms);
        for member in 0..count {
            let index = vms.len();
            let has_accelerators = profile.accelerator_interval > 0
                && index.is_multiple_of(profile.accelerator_interval);
            let region = pool % (profile.zones / ZONES_PER_REGION);
            let zone = region * ZONES_PER_REGION + (pool + member) % ZONES_PER_REGION;
            let rack = zone_vm_counts[zone] / VMS_PER_RACK * profile.zones + zone;
            zone_vm_counts[zone] += 1;
            vms.push(VmInput {
                pool,
                zone,
                rack,
                capacity: Resources {
                    accelerators: if has_accelerators {
                        ACCELERATORS_PER_VM
                    } else {
                        0
                    },
                    ..profile.capacity
                },
                reboot_ms: draw_skewed(rng, minutes(4), 2),
                fails_all_tasks: rng.random_range(0..100) < workload.faulty_vm_percent,
            });
        }
    }
    vms
}

/// Draws a value between `middle / factor` and `middle * factor`, skewed towards the lower bound.
fn draw_skewed(rng: &mut ChaCha8Rng, middle: u64, factor: u64) -> u64 {
    let scaled = rng.random_range(0..=1_000_u64);
    let low = middle / factor;
    let high = middle * factor;
    // The square approximates a log-uniform distribution in integer arithmetic.
    low + (high - low) * scaled * scaled / 1_000_000
}

fn draw_faults(workload: &Workload, vms: &[VmInput], rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let arrivals_end_ms = workload.warm_up_ms + workload.arrivals_ms;
    let mut faults = Vec::new();
    // Independent failures of single VMs.
    for vm in 0..vms.len() {
        if rng.random_range(0..100) < 2 {
            let start_ms = rng.random_range(workload.warm_up_ms..arrivals_end_ms);
            let end_ms = start_ms + minutes(rng.random_range(5..30));
            faults.push(Fault {
                vm,
                start_ms,
                end_ms,
            });
        }
    }
    // A failure of a whole rack during the wave.
    let rack = vms[rng.random_range(0..vms.len())].rack;
    let start_ms = workload.warm_up_ms + minutes(rng.random_range(5..60));
    let end_ms = start_ms + minutes(rng.random_range(10..30));
    for vm in (0..vms.len()).filter(|vm| vms[*vm].rack == rack) {
        faults.push(Fault {
            vm,
            start_ms,
            end_ms,
        });
    }
    faults.sort_by_key(|fault| fault.start_ms);
    faults
}

fn draw_jobs(
    profile: &Profile,
    workload: &Workload,
    vms: &[VmInput],
    pool: usize,
    rng: &mut ChaCha8Rng,
    jobs: &mut Vec<JobInput>,
) {
    let members = vms.iter().filter(|vm| vm.pool == pool).count() as u64;
    let cores = members * u64::from(profile.capacity.cores_milli);
    let arrivals_end_ms = workload.warm_up_ms + workload.arrivals_ms;
    // Millicores times milliseconds that give the requested utilization.
    let mut remaining_work =
        u128::from(cores * workload.load_percent / 100) * u128::from(arrivals_end_ms);
    loop {
        let arrival_ms = rng.random_range(0..arrivals_end_ms);
        let mut job = draw_job(profile, pool, arrival_ms, rng);
        if jobs.len().is_multiple_of(3) && arrival_ms < workload.warm_up_ms {
            job.arrival_ms = 0;
        }
        let work = u128::from(job.actual_usage.cores_milli) * u128::from(job.actual_run_ms);
        if work > remaining_work {
            return;
        }
        remaining_work -= work;
        jobs.push(job);
    }
}

fn draw_job(profile: &Profile, pool: usize, arrival_ms: u64, rng: &mut ChaCha8Rng) -> JobInput {
    let draw_share = |rng: &mut ChaCha8Rng, whole: u32| whole / 16 * rng.random_range(1..=4);
    let actual_usage = Resources {
        cores_milli: draw_share(rng, profile.capacity.cores_milli),
        memory_mib: draw_share(rng, profile.capacity.memory_mib),
        accelerators: 0,
    };
    // Half of the declarations are exact; the others are wrong by a factor of up to four.
    let misestimate = |rng: &mut ChaCha8Rng, actual: u64| match rng.random_range(0..4) {
        0 => actual * 100 / rng.random_range(100..400),
        1 => actual * rng.random_range(100..400) / 100,
        _ => actual,
    };
    let actual_run_ms = if rng.random_range(0..10) == 0 {
        minutes(rng.random_range(40..150))
    } else {
        minutes(rng.random_range(3..40))
    };
    let mut declared_demand = Resources {
        cores_milli: to_nonzero_u32(misestimate(rng, u64::from(actual_usage.cores_milli)))
            .min(profile.capacity.cores_milli),
        memory_mib: to_nonzero_u32(misestimate(rng, u64::from(actual_usage.memory_mib)))
            .min(profile.capacity.memory_mib),
        accelerators: 0,
    };
    let is_unplaceable = rng.random_range(0..100) == 0;
    if is_unplaceable {
        declared_demand.memory_mib = profile.capacity.memory_mib * 2;
    }
    JobInput {
        arrival_ms,
        pool,
        team: pool % profile.teams,
        class: if rng.random_bool(0.5) {
            Class::Batch
        } else {
            Class::Normal
        },
        declared_demand,
        declared_run_ms: misestimate(rng, actual_run_ms),
        actual_usage,
        actual_run_ms,
        can_checkpoint: rng.random_bool(0.5),
        always_fails: rng.random_range(0..100) < 2,
        is_unplaceable,
        cancel_ms: None,
    }
}

fn to_nonzero_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX).max(1)
}

fn draw_urgent_jobs(
    profile: &Profile,
    workload: &Workload,
    vms: &[VmInput],
    pool: usize,
    rng: &mut ChaCha8Rng,
    jobs: &mut Vec<JobInput>,
) {
    let members = vms.iter().filter(|vm| vm.pool == pool).count();
    let burst = workload.urgent_burst_jobs.min(members);
    let arrivals_end_ms = workload.warm_up_ms + workload.arrivals_ms;
    let mut arrival_ms = minutes(rng.random_range(10..20));
    while arrival_ms < arrivals_end_ms {
        for _ in 0..burst {
            let mut job = draw_job(profile, pool, arrival_ms, rng);
            job.class = Class::Urgent;
            job.actual_run_ms = minutes(2);
            job.declared_run_ms = minutes(2);
            job.declared_demand = Resources {
                cores_milli: profile.capacity.cores_milli / 8,
                memory_mib: profile.capacity.memory_mib / 8,
                accelerators: 0,
            };
            job.actual_usage = job.declared_demand;
            job.always_fails = false;
            job.is_unplaceable = false;
            jobs.push(job);
        }
        arrival_ms += minutes(20);
    }
}

/// Cancels a fifth of one team's jobs at the same time, like an operator error.
fn draw_cancellations(
    profile: &Profile,
    workload: &Workload,
    rng: &mut ChaCha8Rng,
    jobs: &mut [JobInput],
) {
    let team = rng.random_range(0..profile.teams);
    let cancel_ms = workload.warm_up_ms + minutes(rng.random_range(10..60));
    for job in jobs.iter_mut().filter(|job| job.team == team) {
        if job.arrival_ms < cancel_ms && rng.random_range(0..5) == 0 {
            job.cancel_ms = Some(cancel_ms);
        }
    }
}
