//! Random simulations of owners, endpoints and the store, checked after each step.
//!
//! Endpoints become unresponsive or restart, the store becomes unavailable, owners are replaced,
//! runs end in all ways, and quotas change. In all cases no task has two active runs, no done task
//! starts again, neither endpoint capacity nor account quotas are exceeded, and accepted jobs stay
//! known.

mod common;

use {
    common::{Fleet, account, job_id, listed, queue, step},
    lynxwheel_engine::{CallerResponse, EndKind, JobId, JobSpec, StepSpec, TaskRef},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const ENDPOINTS: usize = 4;

const STEPS: usize = 250;

/// Capacity of each endpoint, in runs of one core.
const CORES: u64 = 4;

/// Client accounts, where the first means none. Jobs are assigned in turn.
const ACCOUNTS: [&str; 3] = ["", "maps", "post"];

/// Range of account quotas, in cores.
const QUOTAS: std::ops::Range<u64> = 1..9;

struct History {
    fleet: Fleet,
    /// Quota of each account in cores; 0 means unlimited.
    quotas: [u64; 3],
    /// Active runs at the last check.
    running: Vec<(TaskRef, u32)>,
    random: ChaCha8Rng,
    jobs: u64,
    incarnations: usize,
    done: Vec<TaskRef>,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new();
        for number in 0..ENDPOINTS {
            fleet.list_endpoint(&format!("i-{number}"), CORES * 1_000);
        }
        fleet.configure_accounts(&[account("maps", 3), account("post", 6)]);
        Self {
            fleet,
            quotas: [0, 3, 6],
            running: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            jobs: 0,
            incarnations: ENDPOINTS,
            done: Vec::new(),
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.apply_random_event();
            let pause_ms = self.random.random_range(1..8) * 100;
            self.fleet.advance(pause_ms);
            self.check();
        }
        self.recover();
    }

    fn apply_random_event(&mut self) {
        let endpoint = self.random.random_range(0..ENDPOINTS);
        match self.random.random_range(0..20) {
            0..6 => self.submit(),
            6..14 => self.end_runs(endpoint),
            14 => self.fleet.endpoints[endpoint].is_unresponsive ^= true,
            15 => self.crash(endpoint),
            16 => self.fleet.is_store_down ^= true,
            17 => self.take_over(),
            18 => self.cancel(),
            _ => self.change_quotas(),
        }
    }

    fn change_quotas(&mut self) {
        for index in 1..ACCOUNTS.len() {
            self.quotas[index] = self.random.random_range(QUOTAS);
        }
        let accounts: Vec<_> = (1..ACCOUNTS.len())
            .map(|index| account(ACCOUNTS[index], self.quotas[index]))
            .collect();
        self.fleet.configure_accounts(&accounts);
    }

    fn check_quotas(&mut self) {
        let endpoints = self.fleet.endpoints.iter();
        let running: Vec<(TaskRef, u32)> = endpoints.flat_map(|one| one.running.clone()).collect();
        for (task, run) in &running {
            let index = account_of(task.job);
            let count = self.fleet.running_cores(|job| account_of(job) == index);
            let quota = usize::try_from(self.quotas[index]).expect("few cores");
            assert!(
                quota == 0 || count <= quota || self.running.contains(&(*task, *run)),
                "{task} {run} starts above a quota of {quota}: {count} run"
            );
        }
        self.running = running;
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let first = step(self.random.random_range(1..5));
        let second = StepSpec {
            depends_on: vec![0],
            max_per_endpoint: 1,
            ..step(self.random.random_range(1..4))
        };
        let spec = JobSpec {
            steps: vec![first, second],
            ..JobSpec::default()
        };
        let name = ACCOUNTS[account_of(job_id(self.jobs))];
        self.fleet.submit_for(name, queue(), self.jobs, spec);
        self.fleet.settle();
    }

    fn end_runs(&mut self, endpoint: usize) {
        for (task, run) in self.fleet.endpoints[endpoint].running.clone() {
            let kind = match self.random.random_range(0..12) {
                0 => EndKind::Failed,
                1 => EndKind::Lapsed,
                2..4 => continue,
                _ => EndKind::Done,
            };
            self.fleet.endpoints[endpoint].end(&task, run, kind);
            if kind == EndKind::Done {
                self.done.push(task);
            }
        }
    }

    /// Replaces an incarnation by a new one at the same address.
    fn crash(&mut self, endpoint: usize) {
        self.incarnations += 1;
        let id = format!("i-{}", self.incarnations);
        let fake = &mut self.fleet.endpoints[endpoint];
        // Completions that were not reported are lost with the incarnation.
        let lost: Vec<TaskRef> = fake.ended.iter().map(|ended| ended.task).collect();
        self.done.retain(|task| !lost.contains(task));
        fake.id.clone_from(&id);
        fake.running.clear();
        fake.ended.clear();
        fake.started.clear();
        fake.lease_until_ms = 0;
        fake.ends = 0;
        fake.is_unresponsive = false;
        self.fleet.entries[endpoint].id = id.into();
        let entry = self.fleet.entries[endpoint].clone();
        self.fleet.handle(listed(entry, true));
    }

    fn take_over(&mut self) {
        // Changes that the previous owner could not store are lost with it.
        self.fleet.is_store_down = false;
        self.fleet.take_over();
        self.fleet.settle();
    }

    fn cancel(&mut self) {
        if self.jobs > 0 && self.random.next_u32().is_multiple_of(4) {
            let job = job_id(self.random.random_range(1..=self.jobs));
            self.fleet.handle(lynxwheel_engine::Event::Cancel {
                job,
                account: ACCOUNTS[account_of(job)].into(),
                token: 0,
            });
            self.fleet.settle();
        }
    }

    fn check(&mut self) {
        self.check_quotas();
        for endpoint in &mut self.fleet.endpoints {
            for task in endpoint.exempt.drain(..) {
                self.done.retain(|done| *done != task);
            }
        }
        let fleet = &self.fleet;
        let mut running: Vec<TaskRef> = fleet
            .endpoints
            .iter()
            .flat_map(|endpoint| endpoint.running.iter().map(|(task, _)| *task))
            .collect();
        let count = running.len();
        running.sort_unstable();
        running.dedup();
        assert_eq!(running.len(), count, "a task runs twice");
        for endpoint in &fleet.endpoints {
            let used = u64::try_from(endpoint.running.len()).expect("few runs");
            assert!(used <= CORES, "{} is overdrawn: {used}", endpoint.id);
        }
        for task in &running {
            assert!(!self.done.contains(task), "{task} runs after it was done");
        }
        for (token, response) in &fleet.replies {
            if *token > 0 && *response == CallerResponse::Accepted {
                assert!(
                    fleet.job_state(*token).is_some(),
                    "job {token} is forgotten"
                );
            }
        }
    }

    /// Ends all faults, after which every job must end.
    fn recover(&mut self) {
        self.fleet.is_store_down = false;
        for endpoint in &mut self.fleet.endpoints {
            endpoint.is_unresponsive = false;
        }
        for _ in 0..400 {
            self.fleet.advance(500);
            for endpoint in 0..ENDPOINTS {
                for (task, run) in self.fleet.endpoints[endpoint].running.clone() {
                    self.fleet.endpoints[endpoint].end(&task, run, EndKind::Done);
                }
            }
        }
        for job in 1..=self.jobs {
            let state = self.fleet.job_state(job);
            assert!(
                state.is_none_or(lynxwheel_engine::JobState::is_final),
                "job {job}: {state:?}"
            );
        }
    }
}

/// Returns the index of a job's account.
fn account_of(job: JobId) -> usize {
    let number = u64::from_str_radix(job.as_str(), 16).expect("hexadecimal digits");
    usize::try_from(number).expect("few jobs") % ACCOUNTS.len()
}

macro_rules! histories {
    ($($name:ident: $seeds:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                History::new(seed).run();
            }
        })*
    };
}

histories! {
    first_seeds: 0..12;
    further_seeds: 1_000..1_012;
    orders_to_an_ended_incarnation: [5_149];
}
