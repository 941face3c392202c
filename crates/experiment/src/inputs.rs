//! Inputs of one seed: the fleet, its jobs and the faults, the same for every policy.

use {
    crate::profile::Profile,
    lynxwheel_protocol::{Class, Resources},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Zones of one region; a pool keeps to a region.
const REGION_ZONES: usize = 3;

/// VMs of one rack.
const RACK_VMS: usize = 4;

/// Accelerators of a VM that has any.
const ACCELERATORS: u32 = 4;

/// A VM as it is built.
#[derive(Clone, Debug)]
pub struct VmInput {
    /// Pool.
    pub pool: usize,
    /// Zone.
    pub zone: usize,
    /// Rack.
    pub rack: usize,
    /// What it offers.
    pub capacity: Resources,
    /// Time that its reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// Whether every task on it fails.
    pub fails_tasks: bool,
}

/// A job as declared and as it is.
#[derive(Clone, Debug)]
pub struct JobInput {
    /// When it is declared, in milliseconds.
    pub at_ms: u64,
    /// Pool.
    pub pool: usize,
    /// Team.
    pub team: usize,
    /// Class.
    pub class: Class,
    /// Declared demand.
    pub declared: Resources,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// What it really uses.
    pub used: Resources,
    /// How long it really runs, in milliseconds.
    pub run_ms: u64,
    /// Whether it can be checkpointed.
    pub checkpoint: bool,
    /// Whether it fails wherever it runs.
    pub is_bad: bool,
    /// Whether no VM of its pool can ever take it.
    pub is_never_runnable: bool,
    /// When it is cancelled, in milliseconds.
    pub cancel_ms: Option<u64>,
}

/// A time in which a VM is down, in milliseconds.
#[derive(Clone, Debug)]
pub struct Outage {
    /// VM.
    pub vm: usize,
    /// Start.
    pub from_ms: u64,
    /// End, with a new life.
    pub until_ms: u64,
}

/// What one experiment is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Time before the wave, in milliseconds.
    pub warm_up_ms: u64,
    /// Time in which jobs arrive, in milliseconds.
    pub arrivals_ms: u64,
    /// Share of the cores that the jobs keep busy, in percent.
    pub load_percent: u64,
    /// Share of VMs that fail every task, in percent.
    pub bad_worker_percent: u64,
    /// Urgent jobs arrive in a burst of so many for a pool, every twenty minutes.
    pub urgent_burst: usize,
}

/// Inputs of one seed.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// VMs.
    pub vms: Vec<VmInput>,
    /// Jobs in order of declaration.
    pub jobs: Vec<JobInput>,
    /// Outages in order of start.
    pub outages: Vec<Outage>,
    /// Rack whose VMs stay down for long after a reboot: the fault that a wave brings.
    pub bad_rack: usize,
    /// How long they stay down, in milliseconds.
    pub bad_rack_down_ms: u64,
}

impl Inputs {
    /// Draws the inputs of `seed`.
    #[must_use]
    pub fn new(profile: &Profile, shape: &Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vms = draw_vms(profile, shape, &mut rng);
        let outages = draw_outages(shape, &vms, &mut rng);
        let mut jobs = Vec::new();
        for pool in 0..profile.pools {
            draw_jobs(profile, shape, &vms, pool, &mut rng, &mut jobs);
            draw_urgent(profile, shape, &vms, pool, &mut rng, &mut jobs);
        }
        draw_cancellations(profile, shape, &mut rng, &mut jobs);
        jobs.sort_by_key(|job| job.at_ms);
        Self {
            bad_rack: vms[rng.random_range(0..vms.len())].rack,
            bad_rack_down_ms: minutes(rng.random_range(20..40)),
            vms,
            jobs,
            outages,
        }
    }
}

fn minutes(count: u64) -> u64 {
    count * 60_000
}

fn draw_vms(profile: &Profile, shape: &Shape, rng: &mut ChaCha8Rng) -> Vec<VmInput> {
    let mut vms: Vec<VmInput> = Vec::new();
    let mut built = vec![0; profile.zones];
    for pool in 0..profile.pools {
        let count = rng.random_range(profile.min_pool_vms..=profile.max_pool_vms);
        for member in 0..count {
            let index = vms.len();
            let has_accelerators =
                profile.accelerated_every > 0 && index.is_multiple_of(profile.accelerated_every);
            let region = pool % (profile.zones / REGION_ZONES);
            let zone = region * REGION_ZONES + (pool + member) % REGION_ZONES;
            let rack = built[zone] / RACK_VMS * profile.zones + zone;
            built[zone] += 1;
            vms.push(VmInput {
                pool,
                zone,
                rack,
                capacity: Resources {
                    accelerators: if has_accelerators { ACCELERATORS } else { 0 },
                    ..profile.capacity
                },
                reboot_ms: spread(rng, minutes(4), 2),
                fails_tasks: rng.random_range(0..100) < shape.bad_worker_percent,
            });
        }
    }
    vms
}

/// Draws a value between `middle / factor` and `middle * factor`, evenly in its logarithm.
fn spread(rng: &mut ChaCha8Rng, middle: u64, factor: u64) -> u64 {
    let scaled = rng.random_range(0..=1_000_u64);
    let low = middle / factor;
    let high = middle * factor;
    // A square in place of the exponential keeps the arithmetic in integers.
    low + (high - low) * scaled * scaled / 1_000_000
}

fn draw_outages(shape: &Shape, vms: &[VmInput], rng: &mut ChaCha8Rng) -> Vec<Outage> {
    let end_ms = shape.warm_up_ms + shape.arrivals_ms;
    let mut outages = Vec::new();
    // One VM in a hundred a day fails alone; a wave of hours meets it once in a while.
    for vm in 0..vms.len() {
        if rng.random_range(0..100) < 2 {
            let from_ms = rng.random_range(shape.warm_up_ms..end_ms);
            let until_ms = from_ms + minutes(rng.random_range(5..30));
            outages.push(Outage {
                vm,
                from_ms,
                until_ms,
            });
        }
    }
    // A whole rack goes while the wave is under way.
    let rack = vms[rng.random_range(0..vms.len())].rack;
    let from_ms = shape.warm_up_ms + minutes(rng.random_range(5..60));
    let until_ms = from_ms + minutes(rng.random_range(10..30));
    for vm in (0..vms.len()).filter(|vm| vms[*vm].rack == rack) {
        outages.push(Outage {
            vm,
            from_ms,
            until_ms,
        });
    }
    outages.sort_by_key(|outage| outage.from_ms);
    outages
}

fn draw_jobs(
    profile: &Profile,
    shape: &Shape,
    vms: &[VmInput],
    pool: usize,
    rng: &mut ChaCha8Rng,
    jobs: &mut Vec<JobInput>,
) {
    let members = vms.iter().filter(|vm| vm.pool == pool).count() as u64;
    let cores = members * u64::from(profile.capacity.cores_milli);
    let end_ms = shape.warm_up_ms + shape.arrivals_ms;
    // Work that keeps the asked-for share of the cores busy until the end.
    let mut left = u128::from(cores * shape.load_percent / 100) * u128::from(end_ms);
    loop {
        let at_ms = rng.random_range(0..end_ms);
        let mut job = draw_job(profile, pool, at_ms, rng);
        if jobs.len().is_multiple_of(3) && at_ms < shape.warm_up_ms {
            job.at_ms = 0;
        }
        let work = u128::from(job.used.cores_milli) * u128::from(job.run_ms);
        if work > left {
            return;
        }
        left -= work;
        jobs.push(job);
    }
}

fn draw_job(profile: &Profile, pool: usize, at_ms: u64, rng: &mut ChaCha8Rng) -> JobInput {
    let part = |rng: &mut ChaCha8Rng, whole: u32| whole / 16 * rng.random_range(1..=4);
    let used = Resources {
        cores_milli: part(rng, profile.capacity.cores_milli),
        memory_mib: part(rng, profile.capacity.memory_mib),
        accelerators: 0,
    };
    // Half the declarations are right; the others are off by up to four times either way.
    let off = |rng: &mut ChaCha8Rng, true_value: u64| match rng.random_range(0..4) {
        0 => true_value * 100 / rng.random_range(100..400),
        1 => true_value * rng.random_range(100..400) / 100,
        _ => true_value,
    };
    let run_ms = if rng.random_range(0..10) == 0 {
        minutes(rng.random_range(40..150))
    } else {
        minutes(rng.random_range(3..40))
    };
    let mut declared = Resources {
        cores_milli: small(off(rng, u64::from(used.cores_milli))).min(profile.capacity.cores_milli),
        memory_mib: small(off(rng, u64::from(used.memory_mib))).min(profile.capacity.memory_mib),
        accelerators: 0,
    };
    let is_never_runnable = rng.random_range(0..100) == 0;
    if is_never_runnable {
        declared.memory_mib = profile.capacity.memory_mib * 2;
    }
    JobInput {
        at_ms,
        pool,
        team: pool % profile.teams,
        class: if rng.random_bool(0.5) {
            Class::Batch
        } else {
            Class::Normal
        },
        declared,
        declared_ms: off(rng, run_ms),
        used,
        run_ms,
        checkpoint: rng.random_bool(0.5),
        is_bad: rng.random_range(0..100) < 2,
        is_never_runnable,
        cancel_ms: None,
    }
}

fn small(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX).max(1)
}

fn draw_urgent(
    profile: &Profile,
    shape: &Shape,
    vms: &[VmInput],
    pool: usize,
    rng: &mut ChaCha8Rng,
    jobs: &mut Vec<JobInput>,
) {
    let members = vms.iter().filter(|vm| vm.pool == pool).count();
    let burst = shape.urgent_burst.min(members);
    let end_ms = shape.warm_up_ms + shape.arrivals_ms;
    let mut at_ms = minutes(rng.random_range(10..20));
    while at_ms < end_ms {
        for _ in 0..burst {
            let mut job = draw_job(profile, pool, at_ms, rng);
            job.class = Class::Urgent;
            job.run_ms = minutes(2);
            job.declared_ms = minutes(2);
            job.declared = Resources {
                cores_milli: profile.capacity.cores_milli / 8,
                memory_mib: profile.capacity.memory_mib / 8,
                accelerators: 0,
            };
            job.used = job.declared;
            job.is_bad = false;
            job.is_never_runnable = false;
            jobs.push(job);
        }
        at_ms += minutes(20);
    }
}

/// Cancels a fifth of one team's jobs at one moment, as an operator who made a mistake does.
fn draw_cancellations(
    profile: &Profile,
    shape: &Shape,
    rng: &mut ChaCha8Rng,
    jobs: &mut [JobInput],
) {
    let team = rng.random_range(0..profile.teams);
    let at_ms = shape.warm_up_ms + minutes(rng.random_range(10..60));
    for job in jobs.iter_mut().filter(|job| job.team == team) {
        if job.at_ms < at_ms && rng.random_range(0..5) == 0 {
            job.cancel_ms = Some(at_ms);
        }
    }
}
