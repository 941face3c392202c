//! The state of one owner and its reaction to events.
//!
//! An event changes the state in memory and adds effects to the pending batch. The caller takes a
//! batch, stores its records and reports the commit, which releases the effects of the batch.
//! Nothing is therefore ordered, acknowledged or answered that a later owner would not know of.
//! Effects that need no stored state, such as lease renewals, are released immediately.

use {
    crate::{
        advice::StepAdvice,
        arrivals::Arrivals,
        capacity_plan::CapacityPlan,
        config::{FleetConfig, Queue},
        crashes::RecentCrashes,
        early_cancels::EarlyCancel,
        endpoint_table::EndpointTable,
        event::{CallerResponse, Effect, EndpointKey, Event, Now, ReplyToken},
        free_capacity::FreeCapacity,
        job::{JobId, JobState, Resources, TaskRef},
        job_refusals::RefusalState,
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

/// Time after which an unanswered order is retried, in milliseconds.
pub const ORDER_RETRY_MS: u64 = 200;

/// Time for which an ended incarnation is kept, in milliseconds. By then its registry entry is gone
/// and no late responses are expected.
const INCARNATION_RETENTION_MS: u64 = 30_000;

/// Interval between removals of ended incarnations, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Duration of the leases granted to endpoints, in milliseconds.
    pub lease_ms: u64,
    /// Longest lease that an endpoint accepts, in milliseconds.
    pub max_lease_ms: u64,
    /// Time for which an ended job is kept, in milliseconds.
    pub retention_ms: u64,
    /// Duration of maintenance, in milliseconds.
    pub maintenance_ms: u64,
    /// Time that must pass between orders of two owners for the same VM, in milliseconds.
    pub vm_lease_ms: u64,
    /// Maximum rate of VM orders that the platform accepts, per second.
    pub vm_orders_per_s: u64,
}

impl Default for EngineSettings {
    /// Returns the values of the platform's examples.
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            max_lease_ms: 6_000,
            retention_ms: 150_000,
            maintenance_ms: 2_000,
            vm_lease_ms: 3_000,
            vm_orders_per_s: 64,
        }
    }
}

/// An ended job, reduced to its state.
#[derive(Clone, Debug)]
pub(crate) struct EndedJob {
    pub(crate) id: JobId,
    pub(crate) state: JobState,
    pub(crate) account: CompactString,
    pub(crate) at_ms: u64,
}

/// State of the fleet as held by its owner.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent permissions and pending work"
)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    /// Epoch of the owner.
    pub(crate) epoch: u64,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) jobs: JobTable,
    /// Jobs that may have to be stored; may contain duplicates.
    pub(crate) unstored_jobs: Vec<JobId>,
    /// Jobs with future occurrences, sorted by id.
    pub(crate) scheduled_jobs: Vec<JobId>,
    pub(crate) open_steps: OpenSteps,
    pub(crate) quotas: QuotaTracker,
    /// Accounts with excess demand, sorted, each with its fair share in thousandths of a core.
    pub(crate) excess_demand: Vec<(AccountNumber, f64)>,
    /// Accounts whose demand exceeds their fair share, in the same form. Those with excess demand
    /// are among them.
    pub(crate) exceeded_shares: Vec<(AccountNumber, f64)>,
    /// Sorted by id.
    pub(crate) ended_jobs: Vec<EndedJob>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) recent_crashes: RecentCrashes,
    pub(crate) free_capacity: FreeCapacity,
    /// Endpoints in cooldown with its end on the monotonic clock, sorted by that time.
    pub(crate) cooling_endpoints: Vec<(u64, EndpointKey)>,
    /// Endpoints with processed run ends that are not in a batch yet.
    pub(crate) unstored_ends: Vec<EndpointKey>,
    /// Runs with an order that may have to be retried, sorted.
    pub(crate) unanswered_runs: Vec<(TaskRef, u32)>,
    /// Sorted by name.
    pub(crate) vms: Vec<Vm>,
    /// VMs that are missing from the latest list and have an order with an unknown outcome.
    pub(crate) unlisted_vms: Vec<Vm>,
    /// Number of the last call with a VM order.
    pub(crate) last_vm_call: u64,
    pub(crate) vm_order_rate: OrderRateLimiter,
    /// VMs that a previous owner ordered recently, sorted by name.
    pub(crate) vm_cooldowns: Vec<VmCooldown>,
    /// Sorted by number.
    pub(crate) waves: Vec<Wave>,
    pub(crate) pending_effects: Vec<Effect>,
    pub(crate) immediate_effects: Vec<Effect>,
    /// Jobs that were cancelled before they were submitted, sorted by id.
    pub(crate) early_cancels: Vec<EarlyCancel>,
    /// Records to store, and deletions, that belong to no job in progress.
    pub(crate) other_records: Vec<Record>,
    /// Tickets of the steps whose endpoints are chosen by the advice service, sorted by step.
    pub(crate) advice: Vec<StepAdvice>,
    /// Recently submitted work.
    pub(crate) arrivals: Arrivals,
    /// Plan of the last tick.
    pub(crate) capacity_plan: CapacityPlan,
    pub(crate) refusals: RefusalState,
    /// Number of endpoints that were last chosen to vacate.
    pub(crate) vacating_count: usize,
    pub(crate) log_events: Vec<LogEvent>,
    /// When the state of all pools was last logged, on the monotonic clock.
    pub(crate) pools_logged_ms: u64,
    /// Number of registry entries that were seen being written.
    pub(crate) fresh_entries: u64,
    /// When ended incarnations were last removed, on the monotonic clock.
    incarnations_pruned_ms: u64,
    pub(crate) is_schedule_due: bool,
    pub(crate) may_order_vms: bool,
    /// Whether leases of endpoints may be extended.
    pub(crate) may_extend_leases: bool,
    is_store_unavailable: bool,
}

impl Engine {
    /// Creates an empty engine.
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
            exceeded_shares: Vec::new(),
            ended_jobs: Vec::new(),
            endpoints: EndpointTable::default(),
            recent_crashes: RecentCrashes::default(),
            free_capacity: FreeCapacity::default(),
            cooling_endpoints: Vec::new(),
            unstored_ends: Vec::new(),
            unanswered_runs: Vec::new(),
            vms: Vec::new(),
            unlisted_vms: Vec::new(),
            last_vm_call: 0,
            vm_order_rate: OrderRateLimiter::new(settings.vm_orders_per_s),
            vm_cooldowns: Vec::new(),
            waves: Vec::new(),
            pending_effects: Vec::new(),
            immediate_effects: Vec::new(),
            early_cancels: Vec::new(),
            other_records: Vec::new(),
            advice: Vec::new(),
            arrivals: Arrivals::default(),
            capacity_plan: CapacityPlan::default(),
            refusals: RefusalState::default(),
            vacating_count: 0,
            log_events: Vec::new(),
            pools_logged_ms: 0,
            fresh_entries: 0,
            incarnations_pruned_ms: 0,
            is_schedule_due: false,
            may_order_vms: false,
            may_extend_leases: true,
            is_store_unavailable: false,
        }
    }

    /// Sets the epoch of the owner, which is stored with its VM orders.
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
            Event::VmsListed { vms, requested_ms } => self.update_vms(vms, requested_ms, now),
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
            Event::TicketsReceived { step, tickets } => self.tickets_received(&step, tickets, now),
            Event::Paced {
                endpoint,
                task,
                run,
                percent,
                is_done,
            } => self.pace_answered(endpoint, &task, run, percent, is_done),
            Event::VmOrderAnswered { vm, call, outcome } => {
                self.vm_answered(&vm, call, outcome, now);
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Allows or forbids VM orders; they are forbidden while a previous owner may still send some.
    pub fn allow_vm_orders(&mut self, is_allowed: bool) {
        self.may_order_vms = is_allowed;
    }

    /// Records whether the store is unavailable, and refuses the jobs that were never sent to it.
    ///
    /// Without the refusal their callers would time out with an unknown outcome and could not
    /// submit the job again.
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
                self.refuse_unsent(index);
            }
        }
    }

    /// Refuses a job that was never sent to the store. One that was cancelled remains, as its
    /// caller is told so once the store is available, and its submission may be repeated.
    fn refuse_unsent(&mut self, index: usize) {
        let job = self.jobs.get_mut_untracked(index);
        let callers = std::mem::take(&mut job.waiting_callers);
        if !job.state.is_final() {
            let job = self.jobs.remove(index);
            self.quotas.remove_job(job.account_number);
        }
        self.refuse(&callers);
    }

    fn refuse(&mut self, tokens: &[ReplyToken]) {
        for &token in tokens {
            self.reply_immediately(token, CallerResponse::Refused);
        }
    }

    pub(crate) fn reply_immediately(&mut self, token: ReplyToken, response: CallerResponse) {
        self.immediate_effects
            .push(Effect::Reply { token, response });
    }

    fn submit(&mut self, mut job: Job, token: ReplyToken, now: Now) {
        let id = job.id;
        if !self.can_access(id, &job.account) {
            return self.reply_immediately(token, CallerResponse::OtherAccount);
        }
        match self.search(id) {
            Ok(index) => {
                let known = &mut self.jobs[index];
                if known.visible_state.is_some() {
                    self.reply_immediately(token, CallerResponse::Accepted);
                } else {
                    known.waiting_callers.push(token);
                }
            }
            Err(_) if self.find_ended_job(id).is_some() => {
                self.reply_immediately(token, CallerResponse::Accepted);
            }
            Err(_) if self.is_store_unavailable => self.refuse(&[token]),
            Err(_) if self.is_cancelled_early(id, &job.account) => {
                self.submit_cancelled(job, token, now);
            }
            Err(_) if !self.fits_quota(&job) => {
                self.reply_immediately(token, CallerResponse::OverQuota);
            }
            Err(_) if self.refuse_overload(&job, token, now) => {}
            Err(_) => {
                let account = self.quotas.number(&job.account);
                self.arrivals
                    .record(&job.queue.pool, account, &job.spec, now);
                job.waiting_callers.push(token);
                job.begin_due_occurrences(now.wall_ms);
                self.add_accepted_work(&job, account);
                self.add_job(Box::new(job));
                self.is_schedule_due = true;
            }
        }
    }

    /// Adds a job, and schedules its future occurrences.
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

    /// Returns whether every task and gang of a job fits into the quota of its account.
    fn fits_quota(&self, job: &Job) -> bool {
        let account = self.config.accounts.named(&job.account);
        account.is_none_or(|account| {
            job.spec.steps.iter().all(|step| {
                let parallel_tasks = if step.gang { u64::from(step.count) } else { 1 };
                account.fits_quota(&step.resources.scaled(parallel_tasks))
            })
        })
    }

    /// Returns whether an account may query, resubmit or cancel a job. Unknown jobs are accessible
    /// to every account.
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
            self.reply_immediately(token, CallerResponse::OtherAccount);
        } else if let Ok(index) = self.search(id) {
            if !self.jobs[index].state.is_final() {
                self.end_job(index, JobState::Cancelled, now);
            }
            // The end may not be stored yet, so the reply waits for the batch.
            self.pending_effects.push(Effect::Reply {
                token,
                response: CallerResponse::Cancelled,
            });
        } else if self.find_ended_job(id).is_some() {
            self.reply_immediately(token, CallerResponse::Cancelled);
        } else {
            self.cancel_early(id, account, token, now);
        }
    }

    /// Ends a job and stops its active runs.
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

    /// Returns the capacity plan of the last tick.
    #[must_use]
    pub fn capacity_plan(&self) -> &CapacityPlan {
        &self.capacity_plan
    }

    /// Returns the resources that an account uses, including runs with an unknown outcome.
    #[must_use]
    pub fn running_resources(&self, account: &str) -> Resources {
        self.quotas.running_resources(account)
    }

    /// Returns the version of the active configuration.
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
                && self.jobs[index].has_spec()
            {
                let job = &mut self.jobs[index];
                job.queue = queue.clone();
                // The spec is stored again with the next change, so that a later owner has the new
                // queue.
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

    /// Returns the state visible to callers, or `None` if no such job is stored.
    #[must_use]
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        match self.search(id) {
            Ok(index) => self.jobs[index].visible_state,
            Err(_) => self.find_ended_job(id).map(|job| job.state),
        }
    }

    /// Returns whether a job was submitted but is not stored yet.
    #[must_use]
    pub fn is_unstored(&self, id: JobId) -> bool {
        self.search(id)
            .is_ok_and(|index| self.jobs[index].visible_state.is_none())
    }

    /// Returns the number of jobs in a queue of which no task has started.
    #[must_use]
    pub fn queued_job_count(&self, queue: &Queue) -> usize {
        self.jobs
            .iter()
            .filter(|job| job.state == JobState::Queued && job.queue.has_same_route(queue))
            .count()
    }

    /// Returns the payload of a job in progress.
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

    /// Takes the effects that need no commit.
    pub fn take_immediate_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.immediate_effects)
    }

    /// Takes the events for the log.
    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Removes an ended job, keeping only its state.
    pub(crate) fn drop_job_details(&mut self, index: usize) {
        let job = self.jobs.remove(index);
        self.quotas.remove_job(job.account_number);
        self.other_records.push(spec_deletion(job.id));
        self.forget_early_cancel(job.id);
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
        self.stop_late_starts(now);
        self.renew_leases(now);
        self.remove_expired_jobs(now);
        self.remove_expired_early_cancels(now);
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
        self.refresh_refusal_state(now);
        // Cooldowns and delays end without an event.
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
        let records = &mut self.other_records;
        self.ended_jobs.retain(|job| {
            let is_kept = now.steady_ms < job.at_ms + retention_ms;
            if !is_kept {
                records.push(progress_deletion(job.id));
            }
            is_kept
        });
    }
}
