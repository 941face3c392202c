//! The engine: what one owner knows of the fleet, and what follows from each event.
//!
//! An event changes the state in memory and adds effects to the forming batch. The caller cuts a
//! batch, stores its records, and reports the commit; only then are the batch's effects released.
//! So nothing is ordered, acknowledged or answered that a later owner would not know of. What is
//! safe without being stored, such as renewing a lease, is released at once.

use {
    crate::{
        advice::StepAdvice,
        arrivals::Arrivals,
        config::{FleetConfig, Queue},
        endpoint_table::EndpointTable,
        event::{CallerAnswer, Effect, EndpointKey, Event, Now, ReplyToken},
        free_capacity::FreeCapacity,
        job::{JobId, JobState, Resources, TaskRef},
        job_table::JobTable,
        log_event::LogEvent,
        open_steps::OpenSteps,
        order_rate::OrderRateLimiter,
        quota::{AccountNumber, QuotaTracker},
        state::Job,
        stored::{Record, progress_deletion, spec_deletion},
        vm_cooldowns::VmCooldown,
        vms::Vm,
        waves::Wave,
    },
    compact_str::CompactString,
    std::sync::Arc,
};

/// Time after which an endpoint is asked again when its order got no answer, in milliseconds.
pub const ORDER_RETRY_MS: u64 = 200;

/// Time for which an ended life of an endpoint is remembered, in milliseconds: its entry is gone and
/// the last late answers have come long before.
const INCARNATION_RETENTION_MS: u64 = 30_000;

/// Time between two looks for lives to forget, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Length of the leases granted to endpoints, in milliseconds.
    pub lease_ms: u64,
    /// Time that an ended job is remembered, in milliseconds.
    pub retention_ms: u64,
    /// Time that maintenance takes, in milliseconds.
    pub maintenance_ms: u64,
    /// Time in which orders for one VM may not come from two owners, in milliseconds.
    pub vm_lease_ms: u64,
    /// Orders for VMs that the platform takes, a second.
    pub vm_orders_per_s: u64,
}

impl Default for EngineSettings {
    /// The figures of the platform's examples.
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            retention_ms: 150_000,
            maintenance_ms: 2_000,
            vm_lease_ms: 3_000,
            vm_orders_per_s: 64,
        }
    }
}

/// A job that has ended and of which only the state is kept.
#[derive(Clone, Debug)]
pub(crate) struct EndedJob {
    pub(crate) id: JobId,
    pub(crate) state: JobState,
    pub(crate) account: CompactString,
    pub(crate) at_ms: u64,
}

/// State of the fleet in the hands of its owner.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    /// Epoch of this owner.
    pub(crate) epoch: u64,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) jobs: JobTable,
    /// Jobs that may have to be stored; some may be named twice.
    pub(crate) unstored_jobs: Vec<JobId>,
    /// Jobs that have occurrences to come, sorted by id.
    pub(crate) scheduled_jobs: Vec<JobId>,
    pub(crate) open_steps: OpenSteps,
    pub(crate) quotas: QuotaTracker,
    /// Accounts that flood, sorted, with the share of each in thousandths of a core.
    pub(crate) excess_demand: Vec<(AccountNumber, f64)>,
    /// Jobs that have ended, sorted by id.
    pub(crate) ended_jobs: Vec<EndedJob>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) free_capacity: FreeCapacity,
    /// Endpoints at which nothing starts until a time on the steady clock, sorted by that time.
    pub(crate) cooling_endpoints: Vec<(u64, EndpointKey)>,
    /// Endpoints of which ends were taken into account that are not in a batch yet.
    pub(crate) unstored_ends: Vec<EndpointKey>,
    /// Runs whose order may have to be repeated, sorted.
    pub(crate) unanswered_runs: Vec<(TaskRef, u32)>,
    /// VMs sorted by name.
    pub(crate) vms: Vec<Vm>,
    pub(crate) vm_order_rate: OrderRateLimiter,
    /// VMs for which an earlier owner ordered something lately, sorted by name.
    pub(crate) vm_cooldowns: Vec<VmCooldown>,
    /// Waves sorted by number.
    pub(crate) waves: Vec<Wave>,
    pub(crate) pending_effects: Vec<Effect>,
    pub(crate) immediate_effects: Vec<Effect>,
    pub(crate) deletions: Vec<Record>,
    /// What is known of steps whose endpoints another service chooses, sorted by step.
    pub(crate) advice: Vec<StepAdvice>,
    /// Work handed in lately.
    pub(crate) arrivals: Arrivals,
    pub(crate) log_events: Vec<LogEvent>,
    /// When the pools were noted last, on the steady clock.
    pub(crate) pools_logged_ms: u64,
    /// Entries of endpoints that were seen being written.
    pub(crate) fresh_entries: u64,
    /// When lives were forgotten last, on the steady clock.
    incarnations_pruned_ms: u64,
    pub(crate) is_schedule_due: bool,
    pub(crate) may_order_vms: bool,
    /// Whether nothing can be stored at the moment.
    is_store_unavailable: bool,
}

impl Engine {
    /// Creates an engine that knows of nothing.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            config: Arc::default(),
            jobs: JobTable::default(),
            unstored_jobs: Vec::new(),
            scheduled_jobs: Vec::new(),
            open_steps: OpenSteps::default(),
            quotas: QuotaTracker::default(),
            excess_demand: Vec::new(),
            ended_jobs: Vec::new(),
            endpoints: EndpointTable::default(),
            free_capacity: FreeCapacity::default(),
            cooling_endpoints: Vec::new(),
            unstored_ends: Vec::new(),
            unanswered_runs: Vec::new(),
            vms: Vec::new(),
            vm_order_rate: OrderRateLimiter::new(settings.vm_orders_per_s),
            vm_cooldowns: Vec::new(),
            waves: Vec::new(),
            pending_effects: Vec::new(),
            immediate_effects: Vec::new(),
            deletions: Vec::new(),
            advice: Vec::new(),
            arrivals: Arrivals::default(),
            log_events: Vec::new(),
            pools_logged_ms: 0,
            fresh_entries: 0,
            incarnations_pruned_ms: 0,
            is_schedule_due: false,
            may_order_vms: false,
            is_store_unavailable: false,
        }
    }

    /// Sets the owner's epoch, under which its orders for VMs are stored.
    #[must_use]
    pub fn with_epoch(self, epoch: u64) -> Self {
        Self { epoch, ..self }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Now) {
        match event {
            Event::Submit {
                job,
                queue,
                spec,
                account,
                origin,
                token,
            } => {
                let mut job = Job::new(job, queue, *spec, now.wall_ms).with_account(account);
                job.origin = origin;
                self.submit(job, token, now);
            }
            Event::Cancel {
                job,
                account,
                token,
            } => self.cancel(job, &account, token, now),
            Event::ConfigChanged(config) => self.set_config(config),
            Event::Registered { entry, is_fresh } => self.register_endpoint(&entry, is_fresh, now),
            Event::Deregistered(id) => self.deregister_endpoint(&id, now),
            Event::VmsListed(vms) => self.update_vms(vms, now),
            Event::WaveOrdered(order) => self.wave_ordered(order, now),
            Event::Started {
                endpoint,
                task,
                run,
                outcome,
            } => self.start_answered(endpoint, &task, run, &outcome, now),
            Event::Stopped {
                endpoint,
                task,
                run,
                outcome,
            } => self.stop_answered(endpoint, &task, run, &outcome, now),
            Event::Renewed { endpoint, outcome } => self.renewal_answered(endpoint, outcome, now),
            Event::Advised { step, answer } => self.advice_received(&step, answer, now),
            Event::Paced {
                endpoint,
                task,
                run,
                percent,
                is_done,
            } => self.pace_answered(endpoint, &task, run, percent, is_done),
            Event::VmOrderAnswered { vm, outcome } => self.vm_answered(&vm, outcome, now),
            Event::Tick => self.tick(now),
        }
    }

    /// Allows orders for VMs, or forbids them while another owner might give some.
    pub fn allow_vm_orders(&mut self, is_allowed: bool) {
        self.may_order_vms = is_allowed;
    }

    /// Records whether the store is unavailable, and refuses the jobs of which nothing was sent to it.
    ///
    /// Kept until their callers' deadline, they would end as "not known", after which a caller may not
    /// hand its job in again. One that is refused at once comes back when the store does.
    pub fn set_store_unavailable(&mut self, is_unavailable: bool) {
        self.is_store_unavailable = is_unavailable;
        if !is_unavailable {
            return;
        }
        let unsent: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|job| job.is_unsent())
            .map(|job| job.id)
            .collect();
        for id in unsent {
            if let Ok(index) = self.search(id) {
                let job = self.jobs.remove(index);
                self.quotas.remove_job(job.account_number);
                self.refuse(&job.waiting_callers);
            }
        }
    }

    fn refuse(&mut self, tokens: &[ReplyToken]) {
        for &token in tokens {
            self.reply_immediately(token, CallerAnswer::Refused);
        }
    }

    fn reply_immediately(&mut self, token: ReplyToken, answer: CallerAnswer) {
        self.immediate_effects.push(Effect::Reply { token, answer });
    }

    fn submit(&mut self, mut job: Job, token: ReplyToken, now: Now) {
        let id = job.id;
        if !self.can_access(id, &job.account) {
            return self.reply_immediately(token, CallerAnswer::OtherAccount);
        }
        match self.search(id) {
            Ok(index) => {
                let known = &mut self.jobs[index];
                if known.visible_state.is_some() {
                    self.reply_immediately(token, CallerAnswer::Accepted);
                } else {
                    known.waiting_callers.push(token);
                }
            }
            Err(_) if self.find_ended_job(id).is_some() => {
                self.reply_immediately(token, CallerAnswer::Accepted);
            }
            Err(_) if self.is_store_unavailable => self.refuse(&[token]),
            Err(_) if !self.may_ever_run(&job) => {
                self.reply_immediately(token, CallerAnswer::OverQuota);
            }
            Err(_) => {
                let account = self.quotas.number(&job.account);
                self.arrivals
                    .record(&job.queue.pool, account, &job.spec, now);
                job.waiting_callers.push(token);
                job.begin_due_occurrences(now.wall_ms);
                self.add_job(Box::new(job));
                self.is_schedule_due = true;
            }
        }
    }

    /// Adds a job, and notes if it has occurrences to come.
    pub(crate) fn add_job(&mut self, mut job: Box<Job>) {
        job.account_number = self.quotas.number(&job.account);
        self.quotas.add_job(job.account_number);
        if job.has_future_occurrences()
            && let Err(index) = self.scheduled_jobs.binary_search(&job.id)
        {
            self.scheduled_jobs.insert(index, job.id);
        }
        self.jobs.add(job);
    }

    /// Tells whether every task and gang of a job fits into its account's quota.
    fn may_ever_run(&self, job: &Job) -> bool {
        let account = self.config.accounts.named(&job.account);
        account.is_none_or(|account| {
            job.spec.steps.iter().all(|step| {
                let together = if step.gang { u64::from(step.count) } else { 1 };
                account.may_ever_run(&step.resources.scaled(together))
            })
        })
    }

    /// Tells whether a caller of an account may ask for a job, hand it in again or cancel it; a job
    /// that is not known is open to everybody.
    #[must_use]
    pub fn can_access(&self, id: JobId, account: &str) -> bool {
        let holder = match self.search(id) {
            Ok(index) => Some(&self.jobs[index].account),
            Err(_) => self.find_ended_job(id).map(|job| &job.account),
        };
        holder.is_none_or(|holder| holder.is_empty() || holder == account)
    }

    fn cancel(&mut self, id: JobId, account: &str, token: ReplyToken, now: Now) {
        if !self.can_access(id, account) {
            self.reply_immediately(token, CallerAnswer::OtherAccount);
        } else if let Ok(index) = self.search(id) {
            if !self.jobs[index].state.is_final() {
                self.end_job(index, JobState::Cancelled, now);
            }
            // The answer waits for the batch, as the end may not be stored yet.
            self.pending_effects.push(Effect::Reply {
                token,
                answer: CallerAnswer::Cancelled,
            });
        } else if self.find_ended_job(id).is_some() {
            self.reply_immediately(token, CallerAnswer::Cancelled);
        } else {
            self.reply_immediately(token, CallerAnswer::Unknown);
        }
    }

    /// Ends a job and stops what still runs of it.
    pub(crate) fn end_job(&mut self, index: usize, state: JobState, now: Now) {
        let job = &mut self.jobs[index];
        job.state = state;
        job.is_dirty = true;
        job.ended_ms = now.steady_ms;
        self.log_events.push(LogEvent::JobEnded {
            job: job.id,
            state,
            after_ms: now.wall_ms.saturating_sub(job.accepted_ms),
        });
        let running: Vec<(TaskRef, u32)> = job
            .tasks()
            .flat_map(|(name, task)| task.attempts.iter().map(move |attempt| (name, attempt.run)))
            .collect();
        for (task, run) in running {
            self.stop_run(&task, run, now);
        }
    }

    /// Returns what an account has running, as far as that is known; unknown outcomes count.
    #[must_use]
    pub fn running_resources(&self, account: &str) -> Resources {
        self.quotas.running_resources(account)
    }

    /// Returns the version of the configuration in force here.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    fn set_config(&mut self, config: Arc<FleetConfig>) {
        if config.version < self.config.version {
            return;
        }
        for index in 0..self.jobs.len() {
            let known = &self.jobs[index].queue;
            let queue = config
                .queues
                .iter()
                .find(|queue| queue.has_same_route(known));
            if let Some(queue) = queue
                && *queue != *known
            {
                let job = &mut self.jobs[index];
                job.queue = queue.clone();
                // Written again with the next change, so that a later owner starts from it.
                job.is_spec_stored = false;
                job.is_dirty = true;
            }
        }
        self.quotas.configure(&config.accounts);
        self.config = config;
        self.is_schedule_due = true;
    }

    pub(crate) fn search(&self, id: JobId) -> Result<usize, usize> {
        self.jobs.search(id)
    }

    fn find_ended_job(&self, id: JobId) -> Option<&EndedJob> {
        let index = self.ended_jobs.binary_search_by_key(&id, |job| job.id);
        index.ok().map(|index| &self.ended_jobs[index])
    }

    /// Returns what may be told of a job; nothing when no such job is stored.
    #[must_use]
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        match self.search(id) {
            Ok(index) => self.jobs[index].visible_state,
            Err(_) => self.find_ended_job(id).map(|job| job.state),
        }
    }

    /// Tells whether a job was handed in that is not stored yet.
    #[must_use]
    pub fn is_unstored(&self, id: JobId) -> bool {
        self.search(id)
            .is_ok_and(|index| self.jobs[index].visible_state.is_none())
    }

    /// Counts the jobs of a queue of which no task has started.
    #[must_use]
    pub fn queued_job_count(&self, queue: &Queue) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.state == JobState::Queued && job.queue.has_same_route(queue))
            .count()
    }

    /// Returns the text that endpoints get with each task of a job in progress.
    #[must_use]
    pub fn payload(&self, job: JobId) -> Option<&CompactString> {
        self.jobs.get(job).map(|job| &job.spec.payload)
    }

    /// Returns the jobs in progress.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter()
    }

    /// Returns the endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Takes the effects that wait for nothing.
    pub fn take_immediate_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.immediate_effects)
    }

    /// Takes the notes on what was found out, for the log.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Keeps only the state of a job that has ended.
    pub(crate) fn drop_job_details(&mut self, index: usize) {
        let job = self.jobs.remove(index);
        self.quotas.remove_job(job.account_number);
        self.deletions.push(spec_deletion(job.id));
        if let Err(index) = self
            .ended_jobs
            .binary_search_by_key(&job.id, |ended| ended.id)
        {
            let ended = EndedJob {
                id: job.id,
                state: job.state,
                account: job.account,
                at_ms: job.ended_ms,
            };
            self.ended_jobs.insert(index, ended);
        }
    }

    fn tick(&mut self, now: Now) {
        self.begin_occurrences(now);
        self.expire_leases(now);
        self.retry_orders(now);
        self.renew_leases(now);
        self.remove_expired_jobs(now);
        if now.steady_ms >= self.incarnations_pruned_ms + PRUNE_INTERVAL_MS {
            self.incarnations_pruned_ms = now.steady_ms;
            let before_ms = now.steady_ms.saturating_sub(INCARNATION_RETENTION_MS);
            self.endpoints.remove_ended(before_ms);
        }
        self.remove_advice();
        self.vm_order_rate.refill(now);
        self.plan_waves(now);
        self.refresh_open_steps();
        self.find_excess_demand();
        self.plan_pools(now);
        // Rests and delays end without an event of their own.
        self.is_schedule_due = true;
    }

    fn begin_occurrences(&mut self, now: Now) {
        for at in (0..self.scheduled_jobs.len()).rev() {
            let Ok(index) = self.search(self.scheduled_jobs[at]) else {
                self.scheduled_jobs.remove(at);
                continue;
            };
            let known = &self.jobs[index];
            if known.state.is_final() || !known.has_future_occurrences() {
                self.scheduled_jobs.remove(at);
            } else if known.is_next_occurrence_due(now.wall_ms) {
                self.jobs[index].begin_due_occurrences(now.wall_ms);
            }
        }
    }

    fn remove_expired_jobs(&mut self, now: Now) {
        let retention_ms = self.settings.retention_ms;
        let deletions = &mut self.deletions;
        self.ended_jobs.retain(|job| {
            let is_kept = now.steady_ms < job.at_ms + retention_ms;
            if !is_kept {
                deletions.push(progress_deletion(job.id));
            }
            is_kept
        });
    }
}
