//! Admission of submitted jobs under overload.
//!
//! A job that would be completed too late to have any value is refused at once. Otherwise it would
//! take capacity from jobs that can still be on time, and its caller would wait in vain.

use {
    crate::{
        capacity_plan::PoolCapacity,
        job::JobId,
        timing::{LATE_FACTOR, start_reserve_ms},
    },
    std::hash::{DefaultHasher, Hasher},
};

/// Age from which a plan no longer describes the fleet, in milliseconds. Plans are made about ten
/// times a second, so an older one is that of an owner that was suspended or is overloaded.
const MAX_PLAN_AGE_MS: u64 = 1_000;

/// Wait up to which every job is accepted, in milliseconds. Less waiting work is usual variation.
pub(crate) const MIN_WAIT_MS: u64 = 500;

/// Minimum time after which a refused job may be submitted again, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum of that time, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Maximum of that time before it is spread over half of its own value, in milliseconds.
const MAX_UNSPREAD_MS: u64 = MAX_RETRY_AFTER_MS * 2 / 3;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The account has excess demand and has reached its fair share.
    AccountOverShare,
    /// The account has too much waiting work for its quota, although its pool has the capacity.
    AccountAtQuota,
    /// The pool has too much waiting work.
    PoolOverloaded,
}

/// What the decision about a submitted job depends on. Work is in thousandths of a core times
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Job.
    pub job: JobId,
    /// Pool of its queue in the capacity plan; `None` if the plan does not contain it.
    pub pool: Option<&'a PoolCapacity>,
    /// Age of the plan, in milliseconds; `None` for an empty plan.
    pub plan_age_ms: Option<u64>,
    /// On-time work ahead of the job, as far as it can start while the job can be on time.
    pub on_time_ahead_cpu_ms: u64,
    /// On-time and late work ahead of the job once it is late, as far as it can start while the job
    /// has a value. Work that is too late is never ahead.
    pub valuable_ahead_cpu_ms: u64,
    /// Minimum time in which the quota of the job's account allows its own on-time work ahead of the
    /// job to be done, in milliseconds.
    pub on_time_quota_wait_ms: u64,
    /// The same for its on-time and late work.
    pub valuable_quota_wait_ms: u64,
    /// How long the on-time work of its pool has been more than the pool can start, in milliseconds.
    pub overload_ms: u64,
    /// Critical path of the job, in milliseconds.
    pub critical_path_ms: u64,
    /// Time within which the job is on time, in milliseconds.
    pub objective_ms: u64,
    /// Whether its account is above its fair share.
    pub is_over_share: bool,
}

/// Refusal of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overload {
    /// Predicted wait before the job would start, in milliseconds.
    pub wait_ms: u64,
    /// Time after which the job may be submitted again, in milliseconds.
    pub retry_after_ms: u64,
    /// Reason.
    pub reason: RefusalReason,
}

/// Decision about a submitted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The job is accepted.
    Admit,
    /// The job is refused.
    Refuse(Overload),
}

/// Returns how long a job may wait and still be worth something, in milliseconds.
pub(crate) fn max_wait_ms(critical_path_ms: u64, objective_ms: u64) -> u64 {
    objective_ms
        .saturating_mul(LATE_FACTOR)
        .saturating_sub(critical_path_ms)
}

/// Returns how long a job may wait and still start as one that can be on time, in milliseconds.
pub(crate) fn slack_ms(critical_path_ms: u64, objective_ms: u64) -> u64 {
    objective_ms.saturating_sub(critical_path_ms + start_reserve_ms(critical_path_ms))
}

/// Predicted waits of a job, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Waits {
    /// Wait behind on-time work.
    on_time_ms: u64,
    /// Wait behind on-time and late work.
    valuable_ms: u64,
}

impl AdmissionRequest<'_> {
    /// Decides whether to accept the job. A job is only refused on the evidence of a recent plan in
    /// which its pool has capacity.
    #[must_use]
    pub fn decide(&self) -> Admission {
        let Some(pool_waits) = self.pool_waits() else {
            return Admission::Admit;
        };
        let waits = self.with_quota_waits(pool_waits);
        if !self.is_worthless_after(&waits) {
            return Admission::Admit;
        }
        Admission::Refuse(Overload {
            wait_ms: waits.valuable_ms,
            retry_after_ms: self.retry_after_ms(waits.on_time_ms),
            reason: if self.is_over_share {
                RefusalReason::AccountOverShare
            } else if self.is_worthless_after(&pool_waits) {
                RefusalReason::PoolOverloaded
            } else {
                RefusalReason::AccountAtQuota
            },
        })
    }

    /// Returns the waits of the job as far as its quota lengthens them.
    fn with_quota_waits(&self, waits: Waits) -> Waits {
        Waits {
            on_time_ms: waits.on_time_ms.max(self.on_time_quota_wait_ms),
            valuable_ms: waits.valuable_ms.max(self.valuable_quota_wait_ms),
        }
    }

    /// Returns the waits of the job for the capacity of its pool; `None` if no recent plan gives
    /// the pool capacity.
    fn pool_waits(&self) -> Option<Waits> {
        let is_recent = self.plan_age_ms.is_some_and(|age| age < MAX_PLAN_AGE_MS);
        let pool = self.pool.filter(|_| is_recent)?;
        if pool.expected_cpu_millis() == 0 {
            return None;
        }
        Some(Waits {
            on_time_ms: pool.wait_ms(self.on_time_ahead_cpu_ms)?,
            valuable_ms: pool.wait_ms(self.valuable_ahead_cpu_ms)?,
        })
    }

    /// Returns whether the job can neither be on time nor be completed while it has a value.
    ///
    /// On-time work that is still to be submitted starts before the job once it is late. An overload
    /// is expected to last as long again as it has lasted: most peaks are over soon, so that jobs
    /// would be refused that can be served, but late work of a flood never starts.
    fn is_worthless_after(&self, waits: &Waits) -> bool {
        let slack_ms = slack_ms(self.critical_path_ms, self.objective_ms);
        let max_wait_ms = max_wait_ms(self.critical_path_ms, self.objective_ms);
        waits.valuable_ms >= MIN_WAIT_MS
            && waits.on_time_ms > slack_ms
            && waits.valuable_ms.saturating_add(self.overload_ms) > max_wait_ms
    }

    /// Returns the time until a similar job could be completed on time, in milliseconds. It differs
    /// between jobs so that their callers do not return together.
    fn retry_after_ms(&self, on_time_wait_ms: u64) -> u64 {
        let slack_ms = slack_ms(self.critical_path_ms, self.objective_ms);
        let until_on_time_ms = on_time_wait_ms.saturating_sub(slack_ms);
        let unspread_ms = until_on_time_ms.clamp(MIN_RETRY_AFTER_MS, MAX_UNSPREAD_MS);
        let mut hasher = DefaultHasher::new();
        hasher.write(self.job.as_str().as_bytes());
        unspread_ms + hasher.finish() % (unspread_ms / 2 + 1)
    }
}
