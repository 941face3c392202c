//! Placement: which waiting task starts next, and on which endpoint.

use {
    crate::{
        endpoints::{Endpoint, Endpoints, Placed},
        engine::Engine,
        event::{Effect, EndpointKey, Now},
        job::{Room, StepSpec, TaskRef},
        state::{Attempt, Job},
    },
    compact_str::CompactString,
};

/// Multiple of its objective after which a job earns nothing more by being early.
const LATE_FACTOR: f64 = 3.0;

/// Rank of what waits for a start; the lowest starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Urgency {
    /// Long-running: every second away is lost.
    Lasting,
    /// Can still be on time.
    OnTime,
    /// Can still be of some use.
    Late,
    /// Too late to be of more use sooner.
    TooLate,
}

/// A step with tasks that wait.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    urgency: Urgency,
    priority: u32,
    /// Time that may pass until it has to start, in milliseconds; negative when it is over.
    slack_ms: i64,
    job: usize,
    occurrence: usize,
    step: usize,
}

/// An endpoint with the room that is left while a step is placed.
#[derive(Clone, Debug)]
struct Slot {
    key: EndpointKey,
    free: Room,
    siblings: u16,
}

/// Endpoints of a pool that take starts.
#[derive(Debug)]
struct Members {
    pool: CompactString,
    keys: Vec<EndpointKey>,
}

impl Engine {
    /// Starts what can start, the most urgent first.
    pub(crate) fn schedule(&mut self, now: Now) {
        let members = self.members(now);
        let mut candidates = self.candidates(now);
        candidates.sort_unstable_by_key(|candidate| {
            let Candidate {
                urgency,
                priority,
                slack_ms,
                ..
            } = *candidate;
            (urgency, priority, slack_ms)
        });
        for candidate in candidates {
            let pool = &self.jobs[candidate.job].queue.pool;
            let place = members.binary_search_by(|known| known.pool.cmp(pool));
            if let Ok(place) = place {
                self.place_step(&candidate, &members[place].keys, now);
            }
        }
    }

    fn members(&self, now: Now) -> Vec<Members> {
        let mut members: Vec<Members> = Vec::new();
        for (key, endpoint) in self.endpoints.iter() {
            if !endpoint.takes_starts(now.steady_ms) {
                continue;
            }
            match members.binary_search_by(|known| known.pool.cmp(&endpoint.pool)) {
                Ok(place) => members[place].keys.push(key),
                Err(place) => members.insert(
                    place,
                    Members {
                        pool: endpoint.pool.clone(),
                        keys: vec![key],
                    },
                ),
            }
        }
        members
    }

    fn candidates(&self, now: Now) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (place, job) in self.jobs.iter().enumerate() {
            if job.state.is_final() {
                continue;
            }
            for (at, occurrence) in job.occurrences.iter().enumerate() {
                for (number, (step, spec)) in
                    occurrence.steps.iter().zip(&job.spec.steps).enumerate()
                {
                    let is_waiting = step
                        .tasks
                        .iter()
                        .any(|task| task.is_waiting() && now.steady_ms >= task.not_before_ms);
                    if is_waiting && occurrence.is_open(spec) {
                        candidates.push(candidate(job, (place, at, number), now));
                    }
                }
            }
        }
        candidates
    }

    fn place_step(&mut self, candidate: &Candidate, members: &[EndpointKey], now: Now) {
        let job = &self.jobs[candidate.job];
        let spec = job.spec.steps[candidate.step].clone();
        let name = TaskRef {
            job: job.id,
            occurrence: job.occurrences[candidate.occurrence].number,
            step: u16::try_from(candidate.step).unwrap_or(u16::MAX),
            index: 0,
        };
        let waiting = waiting(job, candidate, now);
        let is_advised = job.queue.advised;
        let mut slots = slots(&self.endpoints, members, &name, &spec);
        if is_advised {
            let with_room: Vec<EndpointKey> = slots.iter().map(|slot| slot.key).collect();
            let usable = self.advised_members(&name, &with_room, now);
            slots.retain(|slot| usable.contains(&slot.key));
        }
        let job = &self.jobs[candidate.job];
        let chosen = if spec.gang {
            let step = &job.occurrences[candidate.occurrence].steps[candidate.step];
            let is_whole = step
                .tasks
                .iter()
                .all(|task| task.attempts.is_empty() && !task.is_done);
            if !is_whole {
                return;
            }
            choose_gang(&self.endpoints, &mut slots, job, &name, &spec)
        } else {
            choose_each(&self.endpoints, &mut slots, job, &name, &spec, &waiting)
        };
        let gang_run = spec
            .gang
            .then(|| {
                chosen
                    .iter()
                    .filter_map(|(task, _)| job.task(task))
                    .map(|t| t.run)
                    .max()
            })
            .flatten();
        for (task, key) in chosen {
            let job = &mut self.jobs[candidate.job];
            let Some(known) = job.task_mut(&task) else {
                continue;
            };
            known.run = gang_run.unwrap_or(known.run) + 1;
            let run = known.run;
            known.attempts.push(Attempt::new(run, key, now.steady_ms));
            job.is_dirty = true;
            let order = crate::attempts::start_order(job, key, &task, run, 0);
            self.forming.push(Effect::Start(Box::new(order)));
            self.endpoints
                .get_mut(key)
                .place(Placed::new(task, run, &spec));
        }
    }
}

fn candidate(job: &Job, (place, at, number): (usize, usize, usize), now: Now) -> Candidate {
    let spec = &job.spec.steps[number];
    let timing = Timing::new(job, at, now);
    let slack_ms = timing.slack_ms();
    let urgency = if spec.long_running {
        Urgency::Lasting
    } else if slack_ms >= 0 {
        Urgency::OnTime
    } else if lossy(timing.passed_ms + timing.left_ms) < LATE_FACTOR * lossy(timing.objective_ms) {
        Urgency::Late
    } else {
        Urgency::TooLate
    };
    Candidate {
        urgency,
        priority: job.queue.priority,
        slack_ms,
        job: place,
        occurrence: at,
        step: number,
    }
}

/// How an occurrence stands against the time in which its job is on time.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Timing {
    /// Time within which it is on time, in milliseconds.
    objective_ms: u64,
    /// How long it has been there, in milliseconds.
    passed_ms: u64,
    /// Longest chain of estimated work that is not done, in milliseconds.
    left_ms: u64,
}

impl Timing {
    pub(crate) fn new(job: &Job, occurrence: usize, now: Now) -> Self {
        let begun_ms = match job.spec.repeat_count {
            0 => job.accepted_ms,
            _ => job.spec.due_ms(job.occurrences[occurrence].number),
        };
        Self {
            objective_ms: objective_ms(job),
            passed_ms: now.wall_ms.saturating_sub(begun_ms),
            left_ms: remaining_chain_ms(job, occurrence),
        }
    }

    /// Returns how long the occurrence may wait and still be on time, in milliseconds; negative when
    /// it cannot be on time any more.
    pub(crate) fn slack_ms(&self) -> i64 {
        signed(self.objective_ms) - signed(self.passed_ms) - signed(self.left_ms)
    }
}

/// Returns the time within which a job is on time, in milliseconds.
fn objective_ms(job: &Job) -> u64 {
    let stretched = job.queue.stretch.max(1.0) * lossy(job.spec.chain_ms());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "milliseconds of a job, far below the bounds, and never negative"
    )]
    let stretched_ms = stretched as u64;
    stretched_ms + job.queue.target_latency_ms
}

/// Returns the longest chain of estimated work that is not done, in milliseconds.
fn remaining_chain_ms(job: &Job, occurrence: usize) -> u64 {
    let steps = &job.occurrences[occurrence].steps;
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (step, spec) in steps.iter().zip(&job.spec.steps) {
        let start = spec
            .after
            .iter()
            .filter_map(|&before| ends.get(usize::from(before)))
            .max();
        let own_ms = if step.is_done() { 0 } else { spec.estimated_ms };
        ends.push(start.copied().unwrap_or_default() + own_ms);
    }
    ends.into_iter().max().unwrap_or_default()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds of a day fit exactly"
)]
fn lossy(ms: u64) -> f64 {
    ms as f64
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

fn waiting(job: &Job, candidate: &Candidate, now: Now) -> Vec<u16> {
    let step = &job.occurrences[candidate.occurrence].steps[candidate.step];
    step.tasks
        .iter()
        .zip(0_u16..)
        .filter(|(task, _)| task.is_waiting() && now.steady_ms >= task.not_before_ms)
        .map(|(_, index)| index)
        .collect()
}

fn slots(
    endpoints: &Endpoints,
    members: &[EndpointKey],
    name: &TaskRef,
    spec: &StepSpec,
) -> Vec<Slot> {
    let needed = spec.charged();
    members
        .iter()
        .map(|&key| (key, endpoints.get(key)))
        .filter(|(_, endpoint)| {
            spec.required_label.is_empty() || endpoint.has_label(&spec.required_label)
        })
        .filter(|(_, endpoint)| endpoint.free().holds(&needed))
        .map(|(key, endpoint)| Slot {
            key,
            free: endpoint.free(),
            siblings: siblings(endpoint, name),
        })
        .collect()
}

fn siblings(endpoint: &Endpoint, name: &TaskRef) -> u16 {
    let count = endpoint
        .placed
        .iter()
        .filter(|placed| placed.task.is_sibling(name))
        .count();
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Chooses an endpoint for each task that fits.
fn choose_each(
    endpoints: &Endpoints,
    slots: &mut [Slot],
    job: &Job,
    name: &TaskRef,
    spec: &StepSpec,
    waiting: &[u16],
) -> Vec<(TaskRef, EndpointKey)> {
    let mut chosen = Vec::new();
    for &index in waiting {
        let task = TaskRef { index, ..*name };
        let avoid = job.task(&task).and_then(|task| task.avoid);
        let Some(slot) = best_slot(endpoints, slots, spec, avoid) else {
            break;
        };
        take(slot, spec);
        chosen.push((task, slot.key));
    }
    chosen
}

/// Chooses endpoints for all tasks of a gang, in one rack if they are slower otherwise, or none.
fn choose_gang(
    endpoints: &Endpoints,
    slots: &mut [Slot],
    job: &Job,
    name: &TaskRef,
    spec: &StepSpec,
) -> Vec<(TaskRef, EndpointKey)> {
    let all: Vec<u16> = (0..spec.count).collect();
    let whole = |chosen: Vec<(TaskRef, EndpointKey)>| {
        (chosen.len() == usize::from(spec.count)).then_some(chosen)
    };
    if spec.same_rack {
        for rack in racks(endpoints, slots) {
            let mut inside: Vec<Slot> = slots
                .iter()
                .filter(|slot| endpoints.get(slot.key).has_label(&rack))
                .cloned()
                .collect();
            let chosen = choose_each(endpoints, &mut inside, job, name, spec, &all);
            if let Some(chosen) = whole(chosen) {
                return chosen;
            }
        }
    }
    whole(choose_each(endpoints, slots, job, name, spec, &all)).unwrap_or_default()
}

/// Returns the labels that stand for racks: every label but the first, which is the kind.
fn racks(endpoints: &Endpoints, slots: &[Slot]) -> Vec<CompactString> {
    let mut racks: Vec<CompactString> = slots
        .iter()
        .flat_map(|slot| endpoints.get(slot.key).labels.iter().skip(1).cloned())
        .collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

fn best_slot<'a>(
    endpoints: &Endpoints,
    slots: &'a mut [Slot],
    spec: &StepSpec,
    avoid: Option<EndpointKey>,
) -> Option<&'a mut Slot> {
    let needed = spec.charged();
    slots
        .iter_mut()
        .filter(|slot| slot.free.holds(&needed))
        .filter(|slot| spec.max_per_endpoint == 0 || slot.siblings < spec.max_per_endpoint)
        .min_by_key(|slot| fit(endpoints.get(slot.key), slot, spec, avoid))
}

/// Says how badly a slot suits a task; the lowest is taken.
///
/// Tight packing comes last: it leaves whole VMs empty, which can then be moved or switched off.
fn fit(
    endpoint: &Endpoint,
    slot: &Slot,
    spec: &StepSpec,
    avoid: Option<EndpointKey>,
) -> (bool, bool, usize, u64) {
    let is_suspect = endpoint.failed_runs > 0 || avoid == Some(slot.key);
    let is_remote = !spec.data_rack.is_empty() && !endpoint.has_label(&spec.data_rack);
    let disturbed = if spec.fills {
        endpoint
            .placed
            .iter()
            .filter(|placed| placed.serves)
            .count()
    } else if spec.serves() {
        endpoint.placed.iter().filter(|placed| placed.fills).count()
    } else {
        0
    };
    (is_suspect, is_remote, disturbed, slot.free.cpu_millis)
}

fn take(slot: &mut Slot, spec: &StepSpec) {
    slot.free = slot.free.less(&spec.charged());
    slot.siblings += 1;
}
