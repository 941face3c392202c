//! What callers and endpoints have seen, and what it breaks.

use {
    crate::{
        accounts::{AccountPlace, highest_quota},
        lock,
    },
    compact_str::CompactString,
    lynxwheel_engine::{JobId, JobSpec, JobState, TaskRef},
    lynxwheel_platform_standin::{Observation, ObservedEnd},
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// Time after the answer to a cancel in which orders may still be carried out late, in
/// milliseconds: the longest that an endpoint holds one back, and a take-over.
const CANCEL_MS: u128 = 8_000;

/// What callers know of a job's hand-in.
#[derive(Clone, Copy, Debug, Default)]
struct HandIn {
    is_accepted: bool,
    is_unclear: bool,
}

#[derive(Clone, Debug, Default)]
struct TaskBook {
    /// Runs under way: life of the endpoint and run.
    live: Vec<(CompactString, u32)>,
    /// Runs that ended as done and whose ends can still be taken note of: life of the endpoint,
    /// run, and starts since.
    done: Vec<(CompactString, u32, u32)>,
    has_been_done: bool,
    is_done_noted: bool,
    failed: u32,
    failed_noted: u32,
    starts_after_last_failure: u32,
}

#[derive(Clone, Debug)]
struct JobBook {
    id: JobId,
    account: AccountPlace,
    spec: JobSpec,
    pool: CompactString,
    max_attempts: u32,
    hand_in: HandIn,
    is_started: bool,
    is_cancel_sent: bool,
    cancelled_at: Option<Instant>,
    tasks: Vec<(TaskRef, TaskBook)>,
}

impl JobBook {
    fn task(&mut self, task: &TaskRef) -> Option<&mut TaskBook> {
        let place = self.tasks.binary_search_by_key(task, |known| known.0);
        place.ok().map(|place| &mut self.tasks[place].1)
    }

    fn is_step_done(&self, step: u16) -> bool {
        let mut tasks = self.tasks.iter().filter(|(task, _)| task.step == step);
        tasks.all(|(_, book)| book.has_been_done)
    }

    fn cpu_millis(&self, task: &TaskRef) -> u64 {
        let step = self.spec.steps.get(usize::from(task.step));
        step.map_or(0, |step| step.resources.cpu_millis)
    }
}

#[derive(Debug, Default)]
struct Book {
    jobs: Vec<JobBook>,
    /// Room in use by life of an endpoint.
    rooms: Vec<(CompactString, u64)>,
    /// Highest fencing token and its holder, by VM.
    orders: Vec<(CompactString, u64, CompactString)>,
    broken: Vec<String>,
    are_quotas_lifted: bool,
    starts: usize,
    /// Last start, and the longest time without one since it was asked for.
    last_start: Option<Instant>,
    longest_gap: Duration,
}

impl Book {
    fn job(&mut self, id: JobId) -> Option<&mut JobBook> {
        let place = self.jobs.binary_search_by_key(&id, |job| job.id);
        place.ok().map(|place| &mut self.jobs[place])
    }

    /// Returns what an account has running, in thousandths of a core.
    fn running_cpu_millis(&self, account: AccountPlace) -> u64 {
        let jobs = self.jobs.iter().filter(|job| job.account == account);
        let tasks =
            jobs.flat_map(|job| job.tasks.iter().map(move |(task, book)| (job, task, book)));
        tasks
            .map(|(job, task, book)| {
                let runs = u64::try_from(book.live.len()).unwrap_or_default();
                runs * job.cpu_millis(task)
            })
            .sum()
    }

    fn breaks(&mut self, text: String) {
        self.broken.push(text);
    }

    fn note_start(&mut self, now: Instant) {
        if let Some(last) = self.last_start.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
    }

    fn take_room(&mut self, life: &CompactString, change: i64) -> u64 {
        let place = self.rooms.iter().position(|(known, _)| known == life);
        let place = place.unwrap_or_else(|| {
            self.rooms.push((life.clone(), 0));
            self.rooms.len() - 1
        });
        let room = &mut self.rooms[place].1;
        *room = room.saturating_add_signed(change);
        *room
    }
}

/// A job that was accepted and not cancelled.
#[derive(Clone, Debug)]
pub struct Owed {
    /// Job.
    pub job: JobId,
    /// Account that handed it in.
    pub account: AccountPlace,
    /// Pool.
    pub pool: CompactString,
    /// Whether its tasks run until they are stopped.
    pub is_lasting: bool,
}

/// Everything seen so far, and the promises that were broken.
#[derive(Debug)]
pub struct Ledger {
    book: Mutex<Book>,
    begun: Instant,
    /// Room of every endpoint, in thousandths of a core.
    cpu_millis: u64,
    /// VMs of a wave that may be down at once.
    max_down: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(cpu_millis: u64, max_down: usize) -> Self {
        Self {
            book: Mutex::default(),
            begun: Instant::now(),
            cpu_millis,
            max_down,
        }
    }

    /// Returns the promises that were broken, with the seconds since the start.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        lock(&self.book).broken.clone()
    }

    /// Returns how many runs have begun.
    #[must_use]
    pub fn starts(&self) -> usize {
        lock(&self.book).starts
    }

    /// Returns the longest time without a start since the last call.
    #[must_use]
    pub fn take_longest_gap(&self) -> Duration {
        std::mem::take(&mut lock(&self.book).longest_gap)
    }

    /// Takes no account to have a quota from now on.
    pub fn lift_quotas(&self) {
        lock(&self.book).are_quotas_lifted = true;
    }

    /// Notes a broken promise.
    pub fn breaks(&self, text: &str) {
        let text = self.stamped(text);
        lock(&self.book).breaks(text);
    }

    fn stamped(&self, text: &str) -> String {
        format!("{:8.3} s  {text}", self.begun.elapsed().as_secs_f64())
    }

    /// Notes a job before it is handed in.
    pub fn hand_in(
        &self,
        id: JobId,
        account: AccountPlace,
        spec: &JobSpec,
        pool: &str,
        max_attempts: u32,
    ) {
        let mut book = lock(&self.book);
        let mut tasks = Vec::new();
        for (step, spec) in (0..).zip(&spec.steps) {
            for index in 0..spec.count {
                let task = TaskRef {
                    job: id,
                    occurrence: 0,
                    step,
                    index,
                };
                tasks.push((task, TaskBook::default()));
            }
        }
        let job = JobBook {
            id,
            account,
            spec: spec.clone(),
            pool: pool.into(),
            max_attempts,
            hand_in: HandIn::default(),
            is_started: false,
            is_cancel_sent: false,
            cancelled_at: None,
            tasks,
        };
        if let Err(place) = book.jobs.binary_search_by_key(&id, |job| job.id) {
            book.jobs.insert(place, job);
        }
    }

    /// Notes that a job was accepted.
    pub fn accepted(&self, id: JobId) {
        if let Some(job) = lock(&self.book).job(id) {
            job.hand_in.is_accepted = true;
        }
    }

    /// Notes that a hand-in got no clear answer.
    pub fn unclear(&self, id: JobId) {
        if let Some(job) = lock(&self.book).job(id) {
            job.hand_in.is_unclear = true;
        }
    }

    /// Notes that a cancel is being sent.
    pub fn cancel_sent(&self, id: JobId) {
        if let Some(job) = lock(&self.book).job(id) {
            job.is_cancel_sent = true;
        }
    }

    /// Notes that a cancel was acknowledged.
    pub fn cancelled(&self, id: JobId) {
        if let Some(job) = lock(&self.book).job(id) {
            job.cancelled_at.get_or_insert_with(Instant::now);
        }
    }

    /// Takes in what a caller was told of a job; nothing when there is no such job.
    pub fn shown(&self, id: JobId, state: Option<JobState>) {
        let mut book = lock(&self.book);
        let Some(job) = book.job(id) else {
            return;
        };
        let is_whole = job.tasks.iter().all(|(_, task)| task.has_been_done);
        let max_attempts = job.max_attempts;
        let may_fail = job
            .tasks
            .iter()
            .any(|(_, task)| task.failed >= max_attempts);
        let mistake = match state {
            None if job.hand_in.is_accepted => Some("an accepted job is not known"),
            Some(JobState::Completed) if !is_whole => Some("shown as completed too early"),
            Some(JobState::Failed) if !may_fail => Some("shown as failed without cause"),
            Some(JobState::Cancelled) if !job.is_cancel_sent => {
                Some("shown as cancelled by nobody")
            }
            _ => None,
        };
        if let Some(mistake) = mistake {
            let text = self.stamped(&format!("{id}: {mistake}"));
            book.breaks(text);
        }
    }

    /// Returns the accepted jobs that nobody cancelled.
    #[must_use]
    pub fn owed(&self) -> Vec<Owed> {
        let book = lock(&self.book);
        let owed = book
            .jobs
            .iter()
            .filter(|job| job.hand_in.is_accepted && !job.is_cancel_sent);
        owed.map(|job| {
            let is_lasting = job.spec.steps.iter().any(|step| step.long_running);
            Owed {
                job: job.id,
                account: job.account,
                pool: job.pool.clone(),
                is_lasting,
            }
        })
        .collect()
    }

    /// Counts the tasks of a job that run right now, and all of them.
    #[must_use]
    pub fn at_work(&self, id: JobId) -> (usize, usize) {
        let mut book = lock(&self.book);
        book.job(id).map_or((0, 0), |job| {
            let live = job.tasks.iter().filter(|(_, task)| !task.live.is_empty());
            (live.count(), job.tasks.len())
        })
    }

    /// Checks what can only be said at the end.
    pub fn close(&self) {
        let mut book = lock(&self.book);
        let refused: Vec<JobId> = book
            .jobs
            .iter()
            .filter(|job| !job.hand_in.is_accepted && !job.hand_in.is_unclear && job.is_started)
            .map(|job| job.id)
            .collect();
        for id in refused {
            let text = self.stamped(&format!("{id}: every hand-in was refused, and it ran"));
            book.breaks(text);
        }
    }

    /// Takes in what a stand-in has seen.
    pub fn see(&self, seen: Observation) {
        let mut book = lock(&self.book);
        let mistakes = match seen {
            Observation::Started {
                incarnation,
                pool,
                task,
                run,
                payload,
            } => self.started(&mut book, &incarnation, &pool, task, run, &payload),
            Observation::Ended {
                incarnation,
                task,
                run,
                end,
            } => {
                ended(&mut book, &incarnation, &task, run, end);
                Vec::new()
            }
            Observation::Acknowledged { task, run, end } => noted(&mut book, &task, run, end),
            Observation::EndsExpired { incarnation } => {
                forget_unnoted(&mut book, &incarnation);
                Vec::new()
            }
            Observation::VmOrder {
                vm,
                holder,
                fencing_token,
            } => ordered(&mut book, vm, holder, fencing_token),
            Observation::MaintenanceStarted {
                vm,
                wave,
                others_down,
            } if others_down >= self.max_down => {
                vec![format!(
                    "{vm}: maintenance of wave {wave} beside {others_down} others"
                )]
            }
            Observation::MaintenanceStarted { .. } => Vec::new(),
        };
        for mistake in mistakes {
            let text = self.stamped(&mistake);
            book.breaks(text);
        }
    }

    fn started(
        &self,
        book: &mut Book,
        life: &CompactString,
        pool: &CompactString,
        task: TaskRef,
        run: u32,
        payload: &CompactString,
    ) -> Vec<String> {
        book.starts += 1;
        book.note_start(Instant::now());
        let name = format!("{task} run {run} on {life}");
        let Some(job) = book.job(task.job) else {
            return vec![format!("{name}: nobody asked for it")];
        };
        job.is_started = true;
        let mut mistakes = Vec::new();
        if job.spec.payload != *payload {
            mistakes.push(format!("{name}: another text than its job's"));
        }
        if job.pool != *pool {
            mistakes.push(format!("{name}: in pool {pool}"));
        }
        let is_late = |at: Instant| at.elapsed().as_millis() > CANCEL_MS;
        if job.cancelled_at.is_some_and(is_late) {
            mistakes.push(format!("{name}: its job was cancelled long ago"));
        }
        let step = job.spec.steps.get(usize::from(task.step));
        let after = step.map(|step| step.depends_on.clone()).unwrap_or_default();
        if !after.iter().all(|&before| job.is_step_done(before)) {
            mistakes.push(format!("{name}: an earlier step is not done"));
        }
        let max_attempts = job.max_attempts;
        let lasts = step.is_some_and(|step| step.long_running);
        let cpu_millis = job.cpu_millis(&task);
        let Some(known) = job.task(&task) else {
            return vec![format!("{name}: its job has no such task")];
        };
        if let Some((other, other_run)) = known.live.first() {
            mistakes.push(format!("{name}: run {other_run} is under way on {other}"));
        }
        if known.is_done_noted {
            mistakes.push(format!("{name}: it was done, and that was taken note of"));
        }
        for (_, _, starts) in &mut known.done {
            *starts += 1;
        }
        if !lasts && known.failed_noted >= max_attempts {
            mistakes.push(format!("{name}: it had failed as often as allowed"));
        } else if !lasts && known.failed >= max_attempts {
            known.starts_after_last_failure += 1;
        }
        known.live.push((life.clone(), run));
        let account = job.account;
        let running = book.running_cpu_millis(account);
        let quota = highest_quota(account).filter(|_| !book.are_quotas_lifted);
        if quota.is_some_and(|most| running > most) {
            mistakes.push(format!("{name}: its account has {running} running"));
        }
        let used = book.take_room(life, i64::try_from(cpu_millis).unwrap_or_default());
        if used > self.cpu_millis {
            mistakes.push(format!("{name}: {used} of {} is in use", self.cpu_millis));
        }
        mistakes
    }
}

fn ended(book: &mut Book, life: &CompactString, task: &TaskRef, run: u32, end: ObservedEnd) {
    let Some(job) = book.job(task.job) else {
        return;
    };
    let cpu_millis = job.cpu_millis(task);
    if let Some(known) = job.task(task) {
        known
            .live
            .retain(|(at, known_run)| at != life || *known_run != run);
        match end {
            ObservedEnd::Done => {
                known.done.push((life.clone(), run, 0));
                known.has_been_done = true;
            }
            ObservedEnd::Failed => known.failed += 1,
            ObservedEnd::Stopped | ObservedEnd::Lapsed | ObservedEnd::Lost => {}
        }
    }
    book.take_room(life, -i64::try_from(cpu_millis).unwrap_or_default());
}

fn forget_unnoted(book: &mut Book, life: &CompactString) {
    for (_, known) in book.jobs.iter_mut().flat_map(|job| &mut job.tasks) {
        known.done.retain(|(at, ..)| at != life);
    }
}

fn noted(book: &mut Book, task: &TaskRef, run: u32, end: ObservedEnd) -> Vec<String> {
    let Some(job) = book.job(task.job) else {
        return Vec::new();
    };
    let max_attempts = job.max_attempts;
    let Some(known) = job.task(task) else {
        return Vec::new();
    };
    let mut mistakes = Vec::new();
    if let Some((_, _, starts)) = known.done.iter().find(|(_, done, _)| *done == run) {
        known.is_done_noted = true;
        if *starts > 0 {
            mistakes.push(format!("{task}: it ran again after run {run} was done"));
        }
    }
    if end == ObservedEnd::Failed {
        known.failed_noted += 1;
        if known.failed_noted >= max_attempts && known.starts_after_last_failure > 0 {
            mistakes.push(format!("{task}: it ran again after its last failure"));
        }
    }
    mistakes
}

fn ordered(book: &mut Book, vm: CompactString, holder: CompactString, fence: u64) -> Vec<String> {
    let Some(place) = book.orders.iter().position(|(known, ..)| *known == vm) else {
        book.orders.push((vm, fence, holder));
        return Vec::new();
    };
    let (_, highest, known_holder) = &mut book.orders[place];
    if fence < *highest {
        return vec![format!(
            "{vm}: an order under {fence} after one under {highest}"
        )];
    }
    if fence == *highest && *known_holder != holder {
        return vec![format!(
            "{vm}: {holder} and {known_holder} both under {fence}"
        )];
    }
    *highest = fence;
    *known_holder = holder;
    Vec::new()
}
