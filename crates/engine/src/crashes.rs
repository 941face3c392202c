//! Tasks under which endpoints crash: how many crashes are charged, how such tasks are isolated, and
//! when their jobs are given up.

use {
    crate::{
        endpoints::PlacedRun,
        engine::Engine,
        event::{EndpointKey, Now},
        job::{JobState, StepSpec, TaskRef},
        log_event::LogEvent,
        state::{LostRun, Phase, Task},
    },
    compact_str::CompactString,
    std::collections::VecDeque,
};

/// Crashes after which a task starts only on an empty endpoint, so that it shows whether it is at
/// fault.
const ISOLATED_AFTER_CRASHES: u32 = 2;

/// Likely crashes after which a job is given up if no other job's task is charged with the last one,
/// nor with most of them.
const MAX_CRASHES: u32 = 3;

/// Likely crashes after which a job is given up whichever jobs share them.
const MAX_SHARED_CRASHES: u32 = 4;

/// Crashes, including unlikely ones, after which a job is given up.
const MAX_ALL_CRASHES: u32 = 5;

/// Time between two starts on an endpoint after which the earlier run is unlikely to have crashed it,
/// in milliseconds.
const LATER_START_MS: u64 = 200;

/// Time for which a run is known to have been active after which a crash is no immediate effect of its
/// start, in milliseconds.
const IMMEDIATE_MS: u64 = 200;

/// Time for which a crash shows that endpoints of its pool crash through other causes than a task, in
/// milliseconds.
const RECENT_CRASH_MS: u64 = 60_000;

/// Maximum number of lost runs of a task; earlier ones are forgotten.
const MAX_LOST_RUNS: usize = 4;

/// Time for which a task waits for an empty endpoint after a crash, or a long-running one for an
/// endpoint without other suspects, in milliseconds. In a pool without one it starts beside others
/// then.
pub(crate) const ISOLATION_WAIT_MS: u64 = 1_000;

/// Further time for which a task after two crashes does not start beside other suspects, in
/// milliseconds. Those at fault are given up meanwhile.
const SEPARATION_WAIT_MS: u64 = 4_000;

/// Time for which a run remains alone on its endpoint, in milliseconds. Tasks that crash their
/// endpoints do so soon after their start, and the endpoint is barred for others meanwhile.
pub(crate) const ISOLATION_MS: u64 = 5_000;

/// Time for which an inherited run has been active after which it is unlikely to have crashed its
/// endpoint by its start, in milliseconds. It began before the previous owner was lost.
pub(crate) const INHERITED_MS: u64 = 2_000;

/// One in this many endpoints of a pool, and at least one, may be barred for others by a run that is
/// alone on it.
const MIN_ENDPOINTS_PER_ISOLATED: usize = 4;

/// Duration of a run that clears the crashes of its task, in milliseconds. A long-running task
/// would otherwise be given up for unrelated crashes in the course of its life.
const CLEARED_AFTER_MS: u64 = 60_000;

/// How far a task is suspected of crashing its endpoints.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Suspicion {
    /// No crash is charged to it.
    None,
    /// It avoids endpoints with other suspects. If it is long-running, it waits for one without them
    /// for a while; otherwise it prefers empty ones.
    Suspect,
    /// It starts alone on its endpoint, unless none is empty for a while; then beside tasks that are not
    /// suspect, and beside any after a longer while.
    Isolated,
}

impl Suspicion {
    pub(crate) fn of(task: &Task) -> Self {
        if task.crashes >= ISOLATED_AFTER_CRASHES {
            Self::Isolated
        } else if task.crashes > 0 {
            Self::Suspect
        } else {
            Self::None
        }
    }

    /// Returns whether a task takes an empty endpoint if there is one. Long-running tasks would keep
    /// its VM from being moved.
    pub(crate) fn prefers_empty_endpoint(self, spec: &StepSpec) -> bool {
        self == Self::Isolated || (self == Self::Suspect && !spec.long_running)
    }
}

/// A task to which the crash of an endpoint is charged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChargedTask {
    task: TaskRef,
    /// Whether only tasks of one job are charged.
    is_one_job: bool,
    /// Whether its start is unlikely to have caused the crash, as the run had lasted or another one had
    /// started there well after it.
    is_unlikely: bool,
    /// Whether the crash seems to be an immediate effect of its start.
    is_immediate: bool,
    /// For how long its run is known to have been active, in milliseconds; `None` if the run was
    /// removed before.
    active_ms: Option<u64>,
}

impl ChargedTask {
    pub(crate) fn task(&self) -> TaskRef {
        self.task
    }
}

/// A run whose start was sent.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    task: TaskRef,
    /// When its start was decided, on the monotonic clock; 0 for an inherited run.
    decided_at_ms: u64,
    /// For how long it is known to have been active, in milliseconds.
    active_ms: u64,
    /// Whether the endpoint has shown that it started.
    has_started: bool,
    /// Whether it is inherited and has been active for a while.
    has_outlasted_takeover: bool,
    /// Whether it has lasted long enough to show that its start crashes no endpoint.
    has_lasted: bool,
}

/// A run that may have crashed its endpoint.
#[derive(Clone, Copy, Debug)]
struct SuspectedRun {
    run: ActiveRun,
    /// Whether another run was started there well after it.
    is_followed: bool,
}

impl SuspectedRun {
    /// Returns whether the crash seems to be an immediate effect of its start. An endpoint that has not
    /// confirmed the start may have been down before.
    fn is_immediate(&self) -> bool {
        !self.is_followed && self.run.has_started && self.run.active_ms < IMMEDIATE_MS
    }

    /// Returns whether its start is unlikely to have caused the crash.
    fn is_unlikely(&self) -> bool {
        self.run.has_lasted || self.run.has_outlasted_takeover || self.is_followed
    }
}

/// Returns the runs that may have crashed their endpoint. One that has lasted is not at fault if the
/// endpoint crashes soon after another start.
fn suspected_runs(active: &[ActiveRun]) -> Vec<SuspectedRun> {
    let has_young_run = active.iter().any(|run| !run.has_lasted);
    let suspected = || {
        let runs = active.iter();
        runs.filter(|run| !(run.has_lasted && has_young_run))
    };
    let latest_ms = suspected().map(|run| run.decided_at_ms).max();
    let latest_ms = latest_ms.unwrap_or_default();
    suspected()
        .map(|&run| SuspectedRun {
            run,
            is_followed: run.decided_at_ms + LATER_START_MS <= latest_ms,
        })
        .collect()
}

fn is_given_up(task: &Task, is_one_job: bool) -> bool {
    let likely = task.crashes.saturating_sub(task.unlikely_crashes);
    let has_many = task.crashes >= MAX_ALL_CRASHES
        || likely >= MAX_SHARED_CRASHES
        || (likely >= MAX_CRASHES && is_one_job && 2 * task.unshared_crashes > likely);
    // Where endpoints crash without the task, too, only crashes right after its starts are evidence.
    has_many && (task.other_crashes == 0 || task.immediate_crashes >= MAX_CRASHES)
}

/// Recent ends of endpoints that were not expected, with active runs or without, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCrashes {
    crashes: VecDeque<RecentCrash>,
    /// Number of the last one.
    last: u64,
}

#[derive(Clone, Debug)]
struct RecentCrash {
    number: u64,
    endpoint: EndpointKey,
    pool: CompactString,
    at_ms: u64,
}

impl RecentCrashes {
    pub(crate) fn record(&mut self, endpoint: EndpointKey, pool: &CompactString, now: Now) {
        let is_old = |crash: &RecentCrash| crash.at_ms + RECENT_CRASH_MS < now.steady_ms;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
        self.last += 1;
        self.crashes.push_back(RecentCrash {
            number: self.last,
            endpoint,
            pool: pool.clone(),
            at_ms: now.steady_ms,
        });
    }

    /// Returns the number of recent crashes of other endpoints in a pool after the one with a number.
    fn count_others(&self, endpoint: EndpointKey, pool: &str, after: u64) -> u32 {
        let crashes = self.crashes.iter();
        let counted = crashes.filter(|crash| {
            crash.number > after && crash.endpoint != endpoint && crash.pool == pool
        });
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }
}

impl Task {
    /// Adds a crash of an endpoint, and the others in its pool since the last one.
    fn record_crash(&mut self, recent: &RecentCrashes, key: EndpointKey, pool: &str) {
        let others = recent.count_others(key, pool, self.counted_crash);
        self.other_crashes = self.other_crashes.saturating_add(others);
        self.counted_crash = recent.last;
        self.crashes += 1;
    }
}

impl Engine {
    /// Returns the tasks to charge if an incarnation has ended now; none if its end was announced.
    ///
    /// A late order of a previous owner is charged like a crash, since nothing tells them apart.
    pub(crate) fn tasks_to_charge(&self, key: EndpointKey) -> Vec<ChargedTask> {
        let endpoint = self.endpoints.get(key);
        if endpoint.is_draining {
            return Vec::new();
        }
        let active = self.active_runs(key);
        let lost = endpoint.lost_tasks.iter().filter_map(|&task| {
            let known = self.jobs.get(task.job)?.task(&task)?;
            let mut lost_runs = known.lost_runs.iter();
            let lost = lost_runs.find(|lost| lost.endpoint == key)?;
            let is_active = active.iter().any(|run| run.task == task);
            (!is_active).then_some(ChargedTask {
                task,
                is_one_job: false,
                is_unlikely: lost.is_unlikely,
                is_immediate: lost.is_immediate,
                active_ms: None,
            })
        });
        let suspected = suspected_runs(&active).into_iter();
        let suspected = suspected.map(|suspected| ChargedTask {
            task: suspected.run.task,
            is_one_job: false,
            is_unlikely: suspected.is_unlikely(),
            is_immediate: suspected.is_immediate(),
            active_ms: Some(suspected.run.active_ms),
        });
        let mut charged: Vec<ChargedTask> = suspected.chain(lost).collect();
        let is_one_job = charged
            .iter()
            .all(|other| other.task.job == charged[0].task.job);
        for known in &mut charged {
            known.is_one_job = is_one_job;
        }
        charged
    }

    /// Returns the runs on an endpoint whose starts were sent.
    fn active_runs(&self, key: EndpointKey) -> Vec<ActiveRun> {
        let placed_runs = self.endpoints.get(key).placed_runs.iter();
        let active = placed_runs.filter_map(|placed| {
            let task = self.jobs.get(placed.task.job)?.task(&placed.task)?;
            let mut attempts = task.attempts.iter();
            let attempt = attempts.find(|attempt| attempt.run == placed.run)?;
            (attempt.phase != Phase::Placed).then(|| ActiveRun {
                task: placed.task,
                decided_at_ms: attempt.decided_at_ms,
                active_ms: attempt.active_ms,
                has_started: attempt.active_since_clock_ms.is_some(),
                has_outlasted_takeover: attempt.is_inherited() && attempt.active_ms >= INHERITED_MS,
                has_lasted: attempt.active_ms >= ISOLATION_MS,
            })
        });
        active.collect()
    }

    /// Returns whether an incarnation that is replaced now has neither announced its end nor was ordered
    /// to end.
    pub(crate) fn ends_unexpectedly(&self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.was_registered
            && !endpoint.has_ended
            && !endpoint.is_draining
            && !endpoint.is_cordoned
    }

    /// Charges a crash of an endpoint to a task, and gives its job up if there were too many.
    pub(crate) fn charge_crash(&mut self, key: EndpointKey, charged: ChargedTask, now: Now) {
        let ChargedTask {
            task,
            is_one_job,
            is_unlikely,
            is_immediate,
            active_ms,
        } = charged;
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let endpoint = self.endpoints.get(key);
        let job = &mut self.jobs[index];
        if job.state.is_final() {
            return;
        }
        let Some(known) = job.task_mut(&task).filter(|known| !known.is_done) else {
            return;
        };
        known.record_crash(&self.recent_crashes, key, &endpoint.pool);
        known.immediate_crashes += u32::from(is_immediate);
        known.unlikely_crashes += u32::from(is_unlikely);
        known.unshared_crashes += u32::from(is_one_job && !is_unlikely);
        known.isolate_until_ms = now.steady_ms + ISOLATION_WAIT_MS;
        let crashes = known.crashes;
        let other_crashes = known.other_crashes;
        let is_given_up = is_given_up(known, is_one_job);
        job.is_dirty = true;
        job.crash_history.is_needed = true;
        self.log_events.push(LogEvent::CrashCharged {
            task,
            endpoint: endpoint.id.clone(),
            crashes,
            other_crashes,
            is_one_job,
            is_unlikely,
            is_immediate,
            active_ms,
        });
        if is_given_up {
            self.log_events.push(LogEvent::JobGivenUp { task, crashes });
            self.end_job(index, JobState::Failed, now);
        }
    }

    /// Records the tasks on an endpoint whose leases have expired. Whether it has crashed is known
    /// only when it or its next incarnation responds.
    pub(crate) fn record_lost_tasks(&mut self, key: EndpointKey) {
        for suspected in suspected_runs(&self.active_runs(key)) {
            let SuspectedRun { run, is_followed } = suspected;
            let task = run.task;
            // When it was lost is unknown, so that it has outlasted a takeover says little.
            let is_unlikely = run.has_lasted || is_followed;
            let is_immediate = suspected.is_immediate();
            let Ok(index) = self.search(task.job) else {
                continue;
            };
            let job = &mut self.jobs[index];
            if let Some(known) = job.task_mut(&task).filter(|known| !known.is_done)
                && known.lost_runs.iter().all(|lost| lost.endpoint != key)
            {
                if known.lost_runs.len() == MAX_LOST_RUNS {
                    known.lost_runs.remove(0);
                }
                known.lost_runs.push(LostRun {
                    endpoint: key,
                    is_unlikely,
                    is_immediate,
                });
                job.is_dirty = true;
                job.crash_history.is_needed = true;
                self.endpoints.get_mut(key).add_lost_task(task);
            }
        }
    }

    /// Forgets the tasks that an endpoint may have crashed under, as its fate is known.
    pub(crate) fn forget_lost_tasks(&mut self, key: EndpointKey) {
        if self.endpoints.get(key).lost_tasks.is_empty() {
            return;
        }
        for task in std::mem::take(&mut self.endpoints.get_mut(key).lost_tasks) {
            let Ok(index) = self.search(task.job) else {
                continue;
            };
            let job = &mut self.jobs[index];
            if let Some(known) = job.task_mut(&task) {
                known.lost_runs.retain(|lost| lost.endpoint != key);
                job.is_dirty = true;
            }
        }
    }

    /// Forgets the crashes of a task that has shown that it is not at fault.
    pub(crate) fn clear_crashes(&mut self, task: &TaskRef) {
        let Ok(index) = self.search(task.job) else {
            return;
        };
        let job = &mut self.jobs[index];
        if let Some(known) = job.task_mut(task) {
            known.crashes = 0;
            known.unlikely_crashes = 0;
            known.unshared_crashes = 0;
            known.immediate_crashes = 0;
            known.other_crashes = 0;
            known.counted_crash = 0;
            known.lost_runs.clear();
            job.is_dirty = true;
        }
    }

    /// Ends the isolation of a run that has lasted long enough, and later the suspicion.
    pub(crate) fn suspect_is_running(&mut self, key: EndpointKey, task: &TaskRef, run: u32) {
        let attempt = self.attempt(task, run);
        let running_ms = attempt.map_or(0, |attempt| attempt.active_ms);
        let endpoint = self.endpoints.get_mut(key);
        if running_ms >= CLEARED_AFTER_MS {
            endpoint.set_suspicion(task, run, Suspicion::None);
            self.clear_crashes(task);
        } else if running_ms >= ISOLATION_MS && endpoint.isolated_runs > 0 {
            endpoint.set_suspicion(task, run, Suspicion::Suspect);
        }
    }

    /// Returns whether a suspect on an endpoint may have started just now.
    pub(crate) fn has_starting_suspect(&self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        let is_starting = |placed: &PlacedRun| {
            let attempt = self.attempt(&placed.task, placed.run);
            attempt.is_some_and(|attempt| attempt.active_ms < IMMEDIATE_MS)
        };
        let mut placed_runs = endpoint.placed_runs.iter();
        endpoint.suspect_runs > 0
            && placed_runs.any(|placed| placed.is_suspect() && is_starting(placed))
    }

    pub(crate) fn suspicion(&self, task: &TaskRef) -> Suspicion {
        let known = self.jobs.get(task.job).and_then(|job| job.task(task));
        known.map_or(Suspicion::None, Suspicion::of)
    }

    /// Returns whether a task may bar a further endpoint of its pool by running alone on it.
    pub(crate) fn may_isolate(&self, task: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(task.job) else {
            return false;
        };
        let pool = &job.queue.pool;
        let members = self.endpoints.iter().map(|(_, endpoint)| endpoint);
        let members = members.filter(|endpoint| endpoint.is_registered && endpoint.pool == *pool);
        let (count, barred) = members.fold((0, 0), |(count, barred), endpoint| {
            let is_barred = endpoint.isolated_runs > 0;
            (count + 1, barred + usize::from(is_barred))
        });
        barred < (count / MIN_ENDPOINTS_PER_ISOLATED).max(1)
    }

    /// Returns whether a task waits rather than starting beside another suspect.
    ///
    /// A finite task after one crash does not, as it has little to lose.
    pub(crate) fn avoids_sharing(&self, task: &TaskRef, spec: &StepSpec, now: Now) -> bool {
        let Some(known) = self.jobs.get(task.job).and_then(|job| job.task(task)) else {
            return false;
        };
        let wait_ms = match Suspicion::of(known) {
            Suspicion::None => return false,
            Suspicion::Suspect if !spec.long_running => return false,
            Suspicion::Suspect => 0,
            Suspicion::Isolated => SEPARATION_WAIT_MS,
        };
        now.steady_ms < known.isolate_until_ms + wait_ms
    }

    /// Returns whether a suspect would start on an endpoint so soon after another that a crash could
    /// not be charged to one of them. Two tasks after one crash each have little to lose.
    pub(crate) fn follows_suspect_too_soon(
        &self,
        task: &TaskRef,
        key: EndpointKey,
        now: Now,
    ) -> bool {
        let suspicion = self.suspicion(task);
        let is_recent = |placed: &PlacedRun| {
            let attempt = self.attempt(&placed.task, placed.run);
            attempt.is_some_and(|known| now.steady_ms < known.decided_at_ms + LATER_START_MS)
        };
        let placed_runs = &self.endpoints.get(key).placed_runs;
        suspicion >= Suspicion::Suspect
            && placed_runs
                .iter()
                .filter(|placed| placed.is_suspect() && is_recent(placed))
                .any(|placed| suspicion.max(self.suspicion(&placed.task)) == Suspicion::Isolated)
    }

    /// Returns whether a task waits for an empty endpoint rather than starting beside others.
    pub(crate) fn waits_for_empty_endpoint(&self, task: &TaskRef, now: Now) -> bool {
        let known = self.jobs.get(task.job).and_then(|job| job.task(task));
        known.is_some_and(|known| now.steady_ms < known.isolate_until_ms)
    }
}
