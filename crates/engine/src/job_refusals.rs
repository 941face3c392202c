//! Refusal of jobs that the fleet cannot complete in time.

use crate::{
    admission::{
        Admission, AdmissionRequest, MIN_WAIT_MS, Overload, RefusalReason, max_wait_ms, slack_ms,
    },
    engine::Engine,
    event::{CallerResponse, Now, ReplyToken},
    free_capacity::PoolNumber,
    log_event::{JobRefusal, LogEvent},
    overload_time::OverloadTimes,
    quota::AccountNumber,
    state::Job,
    timing::{Urgency, objective_ms},
    waiting_work::{Limit, WaitingWork, is_plain, job_work},
};

/// Time for which a new owner refuses nothing after its first plan with capacity, in milliseconds.
/// Endpoints accept starts only once they have reported, so the first plans show a part of the
/// fleet together with all waiting work.
const SETTLING_MS: u64 = 1_000;

/// Maximum number of refusals per second with a log line of their own.
const MAX_LINES_PER_S: u32 = 20;

const MILLIS_PER_S: u64 = 1_000;

/// What refusals depend on, beside the capacity plan.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusalState {
    /// Waiting work at the last tick, and that of jobs accepted since then.
    waiting_work: WaitingWork,
    overload_times: OverloadTimes,
    /// When a plan first had capacity, on the monotonic clock.
    first_capacity_ms: Option<u64>,
    log_limit: LogLimit,
}

/// Limit of the log lines about refusals.
#[derive(Clone, Debug, Default)]
struct LogLimit {
    /// When the current second began, on the monotonic clock.
    began_ms: u64,
    lines: u32,
    /// Number of refusals without a line since the last one.
    omitted: u64,
}

/// Times within which work ahead of a job has to start to delay it.
#[derive(Clone, Copy, Debug)]
struct AheadTimes {
    /// How long the job may wait and still start as one that can be on time, in milliseconds.
    slack_ms: u64,
    /// How long it may wait and still have a value, in milliseconds.
    max_wait_ms: u64,
}

/// Waiting work of a pool as seen from a submitted job, in thousandths of a core times
/// milliseconds.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct WorkAhead {
    /// On-time work ahead of the job.
    on_time_cpu_ms: u64,
    /// On-time and late work ahead of the job once it is late.
    valuable_cpu_ms: u64,
    /// Minimum time for the on-time work of the job's own account, in milliseconds.
    on_time_quota_wait_ms: u64,
    /// Minimum time for its on-time and late work, in milliseconds.
    valuable_quota_wait_ms: u64,
    /// Work that is too late, none of which is ahead of the job.
    too_late_cpu_ms: u64,
}

impl LogLimit {
    /// Returns the number of refusals omitted before this one, or `None` to omit this one, too.
    fn next(&mut self, now: Now) -> Option<u64> {
        if now.steady_ms >= self.began_ms + MILLIS_PER_S {
            self.began_ms = now.steady_ms;
            self.lines = 0;
        }
        if self.lines == MAX_LINES_PER_S {
            self.omitted += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

impl Engine {
    /// Updates the waiting work and the time of the first plan with capacity.
    pub(crate) fn refresh_refusal_state(&mut self, now: Now) {
        self.refusals.waiting_work =
            WaitingWork::new(&self.open_steps, self.capacity_plan.is_short(), now);
        let waits_ms = self.short_pool_waits_ms();
        self.refusals.overload_times.update(&waits_ms, now);
        let mut pools = self.capacity_plan.pools().iter();
        let has_endpoints = pools.any(|pool| !pool.is_standby && pool.supply_cpu_millis > 0);
        if self.refusals.first_capacity_ms.is_none() && has_endpoints {
            self.refusals.first_capacity_ms = Some(now.steady_ms);
        }
    }

    /// Returns how long a new job of each pool that the fleet cannot give what it needs would wait
    /// behind on-time work, in milliseconds. Work that only waits for the quota of its account does
    /// not count.
    ///
    /// In a fleet with capacity to spare, VMs are on their way, so that the backlog of a peak is no
    /// overload.
    fn short_pool_waits_ms(&self) -> Vec<(PoolNumber, u64)> {
        let pools = self.capacity_plan.pools().iter();
        let short = pools.filter(|pool| pool.target_cpu_millis < pool.needed_cpu_millis);
        let waits_ms = short.filter_map(|pool| {
            let number = self.free_capacity.find_pool(&pool.pool)?;
            let works = self.refusals.waiting_work.of_pool(number).iter();
            let cpu_ms = works.map(|work| {
                let quota = Limit::of_quota(&self.quotas.quota(work.account));
                quota.cpu_ms_within(&work.on_time, MIN_WAIT_MS)
            });
            let wait_ms = pool.wait_ms(cpu_ms.fold(0, u64::saturating_add))?;
            Some((number, wait_ms))
        });
        waits_ms.collect()
    }

    /// Counts the work of an accepted job until the next tick.
    pub(crate) fn add_accepted_work(&mut self, job: &Job, account: AccountNumber) {
        if !job.occurrences.is_empty() && !job.queue.advised {
            let pool = self.free_capacity.pool_number(&job.queue.pool);
            let work = job_work(&job.spec);
            let waiting_work = &mut self.refusals.waiting_work;
            waiting_work.add(pool, account, Urgency::OnTime, &work);
        }
    }

    /// Refuses a job that would be completed too late to have any value, and returns whether it is
    /// refused.
    pub(crate) fn refuse_overload(&mut self, job: &Job, token: ReplyToken, now: Now) -> bool {
        let Some((overload, refusal)) = self.find_overload(job, now) else {
            return false;
        };
        let event = match self.refusals.log_limit.next(now) {
            Some(omitted) => LogEvent::JobRefused(JobRefusal { omitted, ..refusal }),
            None => LogEvent::JobRefusalOmitted(overload.reason),
        };
        self.log_events.push(event);
        let response = CallerResponse::Overloaded {
            retry_after_ms: overload.retry_after_ms,
            is_over_share: overload.reason != RefusalReason::PoolOverloaded,
        };
        self.reply_immediately(token, response);
        true
    }

    /// Returns why a job is to be refused, if it is. Nothing is added for its account or pool, as a
    /// refused job leaves no state.
    fn find_overload(&self, job: &Job, now: Now) -> Option<(Overload, JobRefusal)> {
        if !may_be_refused(job) || !self.has_settled(now) {
            return None;
        }
        let account = self.quotas.find(&job.account);
        let is_over_share = account.is_some_and(|number| self.has_reached_share(number));
        let critical_path_ms = job.spec.critical_path_ms();
        let objective_ms = objective_ms(job);
        let times = AheadTimes {
            slack_ms: slack_ms(critical_path_ms, objective_ms),
            max_wait_ms: max_wait_ms(critical_path_ms, objective_ms),
        };
        let ahead = self.work_ahead(job, account, is_over_share, &times);
        let request = AdmissionRequest {
            job: job.id,
            pool: self.capacity_plan.pool(&job.queue.pool),
            plan_age_ms: self.capacity_plan.age_ms(now),
            on_time_ahead_cpu_ms: ahead.on_time_cpu_ms,
            valuable_ahead_cpu_ms: ahead.valuable_cpu_ms,
            on_time_quota_wait_ms: ahead.on_time_quota_wait_ms,
            valuable_quota_wait_ms: ahead.valuable_quota_wait_ms,
            overload_ms: self.overload_ms(job),
            critical_path_ms,
            objective_ms,
            is_over_share,
        };
        let Admission::Refuse(overload) = request.decide() else {
            return None;
        };
        let refusal = JobRefusal {
            job: job.id,
            account: job.account.clone(),
            pool: job.queue.pool.clone(),
            reason: overload.reason,
            wait_ms: overload.wait_ms,
            on_time_ahead_cpu_ms: ahead.on_time_cpu_ms,
            valuable_ahead_cpu_ms: ahead.valuable_cpu_ms,
            too_late_cpu_ms: ahead.too_late_cpu_ms,
            capacity_cpu_millis: request.pool?.expected_cpu_millis(),
            plan_age_ms: request.plan_age_ms?,
            retry_after_ms: overload.retry_after_ms,
            omitted: 0,
        };
        Some((overload, refusal))
    }

    /// Returns how long the pool of a job has been overloaded, in milliseconds.
    fn overload_ms(&self, job: &Job) -> u64 {
        let pool = self.free_capacity.find_pool(&job.queue.pool);
        pool.map_or(0, |pool| self.refusals.overload_times.of_pool(pool))
    }

    fn has_settled(&self, now: Now) -> bool {
        let first_ms = self.refusals.first_capacity_ms;
        first_ms.is_some_and(|ms| now.steady_ms >= ms + SETTLING_MS)
    }

    /// Returns the waiting work that starts before a job.
    fn work_ahead(
        &self,
        job: &Job,
        account: Option<AccountNumber>,
        is_over_share: bool,
        times: &AheadTimes,
    ) -> WorkAhead {
        let mut ahead = WorkAhead::default();
        let Some(pool) = self.free_capacity.find_pool(&job.queue.pool) else {
            return ahead;
        };
        for work in self.refusals.waiting_work.of_pool(pool) {
            let (on_time, valuable) = (work.on_time, work.valuable());
            let (on_time_cpu_ms, valuable_cpu_ms) = if Some(work.account) == account {
                let quota = Limit::of_quota(&self.quotas.quota(work.account));
                ahead.on_time_quota_wait_ms = quota.min_time_ms(&on_time);
                ahead.valuable_quota_wait_ms = quota.min_time_ms(&valuable);
                (on_time.cpu_millis, valuable.cpu_millis)
            } else {
                let limit = self.limit_ahead(work.account, is_over_share);
                (
                    limit.cpu_ms_within(&on_time, times.slack_ms),
                    limit.cpu_ms_within(&valuable, times.max_wait_ms),
                )
            };
            ahead.on_time_cpu_ms = ahead.on_time_cpu_ms.saturating_add(on_time_cpu_ms);
            ahead.valuable_cpu_ms = ahead.valuable_cpu_ms.saturating_add(valuable_cpu_ms);
            let too_late_cpu_ms = work.too_late.cpu_millis;
            ahead.too_late_cpu_ms = ahead.too_late_cpu_ms.saturating_add(too_late_cpu_ms);
        }
        ahead
    }

    /// Returns what another account can have in use ahead of a job: what its quota allows and,
    /// ahead of an account within its share, what the other one lacks to its own share if it wants
    /// more.
    ///
    /// Refusals keep the demand of a flooding account close to the limit of excess demand. With
    /// that limit, the other accounts would be refused whenever it is just below.
    fn limit_ahead(&self, account: AccountNumber, is_over_share: bool) -> Limit {
        let quota = Limit::of_quota(&self.quotas.quota(account));
        match self.share_left_cpu_millis(account) {
            Some(cpu_millis) if !is_over_share => quota.with_cpu_millis(cpu_millis),
            _ => quota,
        }
    }
}

/// Returns whether a job may be refused: its queue declares an objective, and its completion can be
/// predicted from the waiting work of its pool.
fn may_be_refused(job: &Job) -> bool {
    job.queue.has_objective()
        && !job.queue.advised
        && job.spec.repeat_count == 0
        && job.spec.steps.iter().all(is_plain)
}
