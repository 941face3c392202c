//! Rate limits of teams and the retry budget.

use {
    crate::refusal::{Refusal, RefusalReason},
    lynxwheel_decisions::{
        MAX_RETRY_BUDGET, TokenBucket, budget_after_request, budget_after_retry,
    },
    lynxwheel_protocol::ServiceName,
    std::sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// Maximum number of token buckets, as callers choose the names of teams.
const MAX_TEAMS: usize = 4_096;

/// Time in which an empty bucket refills, in milliseconds.
const REFILL_MS: u64 = 1_000;

/// Token buckets of teams; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRateLimits {
    buckets: Arc<Mutex<Vec<TeamBucket>>>,
}

#[derive(Debug)]
struct TeamBucket {
    service: ServiceName,
    team: String,
    bucket: TokenBucket,
}

impl TeamRateLimits {
    /// Takes a token for a request of a team; a `rate_per_s` of 0 means no limit.
    pub(crate) fn take(
        &self,
        service: &ServiceName,
        team: &str,
        rate_per_s: u32,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        if rate_per_s == 0 {
            return Ok(());
        }
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.len() >= MAX_TEAMS {
            // A full bucket equals a new one and needs no entry.
            buckets.retain(|entry| now_ms < entry.bucket.updated_ms + REFILL_MS);
        }
        let found = buckets.binary_search_by(|entry| {
            (entry.service.as_str(), entry.team.as_str()).cmp(&(service.as_str(), team))
        });
        let index = match found {
            Ok(index) => index,
            Err(_) if buckets.len() >= MAX_TEAMS => {
                return Err(rate_refusal("too many teams at once", REFILL_MS));
            }
            Err(index) => {
                let bucket = TokenBucket::full(rate_per_s, now_ms);
                let entry = TeamBucket {
                    service: service.clone(),
                    team: team.to_owned(),
                    bucket,
                };
                buckets.insert(index, entry);
                index
            }
        };
        let taken = buckets[index].bucket.take(rate_per_s, now_ms);
        taken.map_err(|retry_after_ms| rate_refusal("the team is above its rate", retry_after_ms))
    }
}

fn rate_refusal(detail: &str, retry_after_ms: u64) -> Refusal {
    Refusal::not_run(RefusalReason::RateExceeded, detail).with_retry_after_ms(retry_after_ms)
}

/// Budget that bounds the retries of all requests together; clones share it.
///
/// Prevents retry storms, in which retries overload endpoints that already refuse requests.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    budget: Arc<AtomicU32>,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            budget: Arc::new(AtomicU32::new(MAX_RETRY_BUDGET)),
        }
    }

    /// Adds the share of a request to the budget.
    pub(crate) fn record_request(&self) {
        let next = |budget| Some(budget_after_request(budget));
        // The closure always returns `Some`, so the update cannot fail.
        let _ = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }

    /// Takes a retry from the budget if it suffices.
    pub(crate) fn take(&self) -> bool {
        self.budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, budget_after_retry)
            .is_ok()
    }
}
