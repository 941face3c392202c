//! Comparison of indexed placement with an exhaustive search.

mod common;

use {
    common::{Fleet, POOL, job_id, step},
    lynxwheel_engine::{
        EndKind, Endpoint, EndpointKey, EndpointTable, Engine, Job, JobSpec, JobState, Phase,
        Resources, StepSpec, TaskRef,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const ENDPOINTS: u64 = 9;

const ROUNDS: usize = 60;

/// A step with waiting tasks and its rank in the start order.
struct Candidate {
    /// Urgency (long-running, expiring, on time, late, too late), priority, whether the job has not
    /// started, slack, first task.
    rank: (u8, u32, bool, i64, TaskRef),
    spec: StepSpec,
    waiting: Vec<u16>,
}

/// Free resources of an endpoint and its tasks during placement.
struct Slot<'a> {
    endpoint: &'a Endpoint,
    free: Resources,
    placed: Vec<TaskRef>,
}

/// Returns the starts that an exhaustive search chooses.
fn expected(engine: &Engine, now_ms: u64) -> Vec<(TaskRef, EndpointKey)> {
    let mut slots: Vec<Slot> = engine
        .endpoints()
        .iter()
        .filter(|(_, endpoint)| endpoint.accepts_starts(now_ms) && endpoint.pool == POOL)
        .map(|(_, endpoint)| Slot {
            endpoint,
            free: endpoint.free(),
            placed: endpoint
                .placed_runs
                .iter()
                .map(|placed| placed.task)
                .collect(),
        })
        .collect();
    let mut candidates: Vec<Candidate> = engine
        .jobs()
        .filter(|job| !job.state.is_final())
        .flat_map(|job| candidates(job, engine.capacity_plan().is_short(), now_ms))
        .collect();
    candidates.sort_by_key(|candidate| candidate.rank);
    let mut starts = Vec::new();
    for Candidate {
        rank,
        spec,
        waiting,
    } in candidates
    {
        for index in waiting {
            let task = TaskRef { index, ..rank.4 };
            let job = engine.jobs().find(|job| job.id == task.job);
            let avoid = job
                .and_then(|job| job.task(&task))
                .and_then(|task| task.avoided_endpoint);
            let Some(slot) = best(&mut slots, &task, &spec, avoid) else {
                break;
            };
            slot.free = slot.free.saturating_sub(&spec.reserved_resources());
            slot.placed.push(task);
            starts.push((task, slot.endpoint.key));
        }
    }
    starts
}

fn candidates(job: &Job, is_short: bool, now_ms: u64) -> Vec<Candidate> {
    let mut found = Vec::new();
    for occurrence in &job.occurrences {
        let steps = occurrence.steps.iter().zip(&job.spec.steps).zip(0_u16..);
        for ((run, spec), number) in steps {
            let waiting: Vec<u16> = run
                .tasks
                .iter()
                .zip(0_u16..)
                .filter(|(task, _)| task.is_waiting() && now_ms >= task.not_before_ms)
                .map(|(_, index)| index)
                .collect();
            if waiting.is_empty() || !occurrence.is_open(spec) {
                continue;
            }
            let remaining_ms: u64 = occurrence
                .steps
                .iter()
                .zip(&job.spec.steps)
                .filter(|(run, _)| !run.is_done())
                .map(|(_, spec)| spec.estimated_ms)
                .sum();
            let first = TaskRef {
                job: job.id,
                occurrence: occurrence.number,
                step: number,
                index: 0,
            };
            let (urgency, slack_ms) = urgency(job, spec, remaining_ms, is_short, now_ms);
            found.push(Candidate {
                rank: (
                    urgency,
                    job.queue.priority,
                    !is_started(job),
                    slack_ms,
                    first,
                ),
                spec: spec.clone(),
                waiting,
            });
        }
    }
    found
}

fn is_started(job: &Job) -> bool {
    job.state == JobState::Running
}

/// Returns the urgency and slack of a step, with an objective of 1.6 critical paths and 600 ms.
fn urgency(
    job: &Job,
    spec: &StepSpec,
    remaining_ms: u64,
    is_short: bool,
    now_ms: u64,
) -> (u8, i64) {
    let objective_ms = job.spec.critical_path_ms() * 8 / 5 + job.queue.target_latency_ms;
    let passed_ms = now_ms - job.accepted_ms;
    let signed = |ms: u64| i64::try_from(ms).expect("a short time");
    let slack_ms = signed(objective_ms) - signed(passed_ms) - signed(remaining_ms);
    // A job that has not started needs some slack beyond its critical path.
    let reserve_ms = if is_started(job) {
        0
    } else {
        signed(remaining_ms / 8) + 100
    };
    let completion_ms = passed_ms + remaining_ms;
    let urgency = if spec.long_running {
        0
    } else if slack_ms >= reserve_ms {
        2
    } else if completion_ms >= 3 * objective_ms {
        4
    } else if completion_ms >= 2 * objective_ms && !is_short {
        1
    } else {
        3
    };
    (urgency, slack_ms)
}

fn best<'a, 'b>(
    slots: &'a mut [Slot<'b>],
    task: &TaskRef,
    spec: &StepSpec,
    avoid: Option<EndpointKey>,
) -> Option<&'a mut Slot<'b>> {
    slots
        .iter_mut()
        .filter(|slot| slot.free.can_fit(&spec.reserved_resources()))
        .filter(|slot| {
            spec.required_label.is_empty() || slot.endpoint.has_label(&spec.required_label)
        })
        .filter(|slot| {
            let siblings = slot.placed.iter().filter(|placed| placed.is_sibling(task));
            spec.max_per_endpoint == 0 || siblings.count() < usize::from(spec.max_per_endpoint)
        })
        .min_by_key(|slot| {
            let is_suspect = slot.endpoint.failed_runs > 0 || avoid == Some(slot.endpoint.key);
            let is_remote = !spec.data_rack.is_empty() && !slot.endpoint.has_label(&spec.data_rack);
            (is_suspect, is_remote, slot.free.cpu_millis)
        })
}

fn drawn_step(random: &mut ChaCha8Rng) -> StepSpec {
    let mut spec = step(random.random_range(1..7));
    spec.resources.cpu_millis = random.random_range(1..5) * 500;
    spec.resources.memory_mb = random.random_range(1..20) * 1_000;
    match random.random_range(0..6) {
        0 => spec.required_label = "even".into(),
        1 => spec.data_rack = format!("rack-i-{}", random.random_range(0..ENDPOINTS)).into(),
        2 => spec.max_per_endpoint = random.random_range(1..3),
        3 => spec.long_running = true,
        _ => {}
    }
    spec
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..ENDPOINTS {
        fleet.list_endpoint(&format!("i-{number}"), 4_000);
        if number % 2 == 0 {
            let entry = fleet.entries.last_mut().expect("an entry");
            entry.labels.push("even".into());
            let entry = entry.clone();
            fleet.handle(common::listed(entry, true));
        }
    }
    fleet.advance(200);
    fleet
}

/// Returns the decided starts that were not sent yet.
fn placed(engine: &Engine) -> Vec<(TaskRef, EndpointKey)> {
    let mut placed: Vec<(TaskRef, EndpointKey)> = engine
        .jobs()
        .flat_map(Job::tasks)
        .flat_map(|(name, task)| task.attempts.iter().map(move |attempt| (name, attempt)))
        .filter(|(_, attempt)| attempt.phase == Phase::Placed)
        .map(|(name, attempt)| (name, attempt.endpoint))
        .collect();
    placed.sort_unstable();
    placed
}

fn compare_placement(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = fleet();
    let mut jobs = 0;
    for _ in 0..ROUNDS {
        for _ in 0..random.random_range(0..4) {
            jobs += 1;
            let spec = JobSpec {
                steps: vec![drawn_step(&mut random)],
                ..JobSpec::default()
            };
            fleet.submit_spec(jobs, spec);
        }
        for endpoint in &mut fleet.endpoints {
            for (task, run) in endpoint.running.clone() {
                match random.random_range(0..12) {
                    0 => endpoint.end(&task, run, EndKind::Failed),
                    1..4 => endpoint.end(&task, run, EndKind::Done),
                    _ => {}
                }
            }
        }
        if random.random_range(0..12) == 0 {
            let index = random.random_range(0..fleet.endpoints.len());
            fleet.endpoints[index].is_unresponsive ^= true;
        }
        if jobs > 0 && random.random_range(0..6) == 0 {
            let job = job_id(random.random_range(1..=jobs));
            fleet.handle(lynxwheel_engine::Event::Cancel {
                job,
                account: "".into(),
                token: 0,
            });
        }
        let mut expected = expected(&fleet.engine, fleet.now.steady_ms);
        expected.sort_unstable();
        let batch = fleet.engine.take_batch(fleet.now);
        assert_eq!(placed(&fleet.engine), expected);
        fleet.put_in_flight(batch);
        let ms = random.random_range(1..6) * 100;
        fleet.advance(ms);
    }
    let endpoints: &EndpointTable = fleet.engine.endpoints();
    assert!(endpoints.iter().count() >= 9);
}

macro_rules! histories {
    ($($name:ident: $seeds:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                compare_placement(seed);
            }
        })*
    };
}

histories! {
    indexed_placement_matches_an_exhaustive_search: 0..24;
}
