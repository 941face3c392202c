//! Accounts that submit more than all endpoints can do, and accounts that submit little beside
//! them.

use {
    crate::{
        accounts::{ACCOUNT_COUNT, AccountIndex},
        callers::{Callers, draw_simple_job},
        checker::Checker,
    },
    lynxwheel_engine::JobSpec,
    lynxwheel_platform_standin::MEAN_RUN_MS,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{ops::Range, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// CPU that a flooding account asks for, as a multiple of what all endpoints have.
const FLOOD_FACTOR: u64 = 3;

/// Number of tasks of a job in a flood, and the CPU of each in thousandths of a core: below the
/// lowest quota, and large so that a flood takes few requests.
const FLOOD_TASKS: u16 = 8;
const FLOOD_CPU_MILLIS: Range<u64> = 1_000..2_000;

/// Number of tasks of a job outside a flood, and the CPU of each in thousandths of a core.
const MODEST_TASKS: u16 = 2;
const MODEST_CPU_MILLIS: Range<u64> = 200..400;

/// Time between two jobs outside a flood, in milliseconds: with the amounts above, an account asks
/// for less than half of its share and its quota.
const MODEST_INTERVAL_MS: u64 = 500;

/// All accounts flood for this part of the time for which one does.
const ALL_FLOOD_DIVISOR: u64 = 4;

/// Payload of the jobs, which are finite.
const PAYLOAD: &str = "batch";

/// Random streams: of the choice of the flooding account, and of the first account's jobs.
const CHOICE_STREAM: u64 = 3;
const JOBS_STREAM: u64 = 4;

/// Traffic of an account at a fixed rate.
#[derive(Clone, Debug)]
pub struct SteadyTraffic {
    pub account: AccountIndex,
    pub interval: Duration,
    pub task_count: u16,
    pub cpu_millis: Range<u64>,
    pub start: Instant,
    pub end: Instant,
    /// Random stream of the jobs.
    pub stream: u64,
}

impl SteadyTraffic {
    /// Returns the next job, with a generator for its submission.
    pub fn draw_job(&self, random: &mut ChaCha8Rng) -> (JobSpec, ChaCha8Rng) {
        let cpu_millis = random.random_range(self.cpu_millis.clone());
        let spec = draw_simple_job(random, PAYLOAD, self.task_count, cpu_millis, MEAN_RUN_MS);
        (spec, ChaCha8Rng::seed_from_u64(random.random()))
    }
}

/// Phases of a run under overload: one account floods, then all accounts do.
#[derive(Clone, Copy, Debug)]
pub struct FloodPlan {
    seed: u64,
    one_ms: u64,
    /// CPU of all endpoints, in thousandths of a core.
    total_cpu_millis: u64,
}

impl FloodPlan {
    /// Plans a run in which one account floods for `one_ms`.
    pub fn new(seed: u64, one_ms: u64, total_cpu_millis: u64) -> Self {
        Self {
            seed,
            one_ms,
            total_cpu_millis,
        }
    }

    /// Returns the time for which all accounts flood, in milliseconds.
    pub fn all_ms(&self) -> u64 {
        self.one_ms / ALL_FLOOD_DIVISOR
    }

    /// Returns how long endpoints with `cpu_millis` need for all planned jobs, in milliseconds.
    pub fn work_ms(&self, cpu_millis: u64) -> u64 {
        let accounts = u64::try_from(ACCOUNT_COUNT).unwrap_or(u64::MAX);
        let flooded_ms = self.one_ms + accounts * self.all_ms();
        FLOOD_FACTOR * flooded_ms * self.total_cpu_millis / cpu_millis
    }

    /// Starts the callers of both phases, and the check of the accounts that don't flood in the
    /// first one.
    pub fn start(&self, callers: &Callers, checker: &Arc<Checker>, tasks: &mut JoinSet<()>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(CHOICE_STREAM);
        let flooding = random.random_range(0..ACCOUNT_COUNT);
        let start = Instant::now();
        let middle = start + Duration::from_millis(self.one_ms);
        let end = middle + Duration::from_millis(self.all_ms());
        for account in 0..ACCOUNT_COUNT {
            let first = if account == flooding {
                self.flood(account, start, middle)
            } else {
                modest(account, start, middle)
            };
            let traffic = [first, self.flood(account, middle, end)];
            let callers = callers.with_own_connections().heeding_retry_after();
            for (stream, traffic) in (JOBS_STREAM..).step_by(ACCOUNT_COUNT).zip(traffic) {
                let stream = stream + u64::try_from(account).unwrap_or_default();
                let traffic = SteadyTraffic { stream, ..traffic };
                tasks.spawn(callers.clone().run_steadily(self.seed, traffic));
            }
        }
        let checker = Arc::clone(checker);
        tasks.spawn(async move {
            checker.begin_flood(flooding);
            sleep_until(middle).await;
            checker.end_flood();
        });
    }

    fn flood(&self, account: AccountIndex, start: Instant, end: Instant) -> SteadyTraffic {
        let mean_cpu_millis = u64::midpoint(FLOOD_CPU_MILLIS.start, FLOOD_CPU_MILLIS.end);
        let cpu_us = u64::from(FLOOD_TASKS) * mean_cpu_millis * MEAN_RUN_MS * 1_000;
        SteadyTraffic {
            account,
            interval: Duration::from_micros(cpu_us / (FLOOD_FACTOR * self.total_cpu_millis)),
            task_count: FLOOD_TASKS,
            cpu_millis: FLOOD_CPU_MILLIS,
            start,
            end,
            stream: JOBS_STREAM,
        }
    }
}

fn modest(account: AccountIndex, start: Instant, end: Instant) -> SteadyTraffic {
    SteadyTraffic {
        account,
        interval: Duration::from_millis(MODEST_INTERVAL_MS),
        task_count: MODEST_TASKS,
        cpu_millis: MODEST_CPU_MILLIS,
        start,
        end,
        stream: JOBS_STREAM,
    }
}
