//! Rates of teams and the budget of retries.

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

/// Teams whose rate is kept at once; names are the callers' own, so their number must be bounded.
const MAX_TEAMS: usize = 4_096;

/// Time in which an empty bucket is full again, in milliseconds.
const REFILL_MS: u64 = 1_000;

/// Rates of teams; copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRates {
    rows: Arc<Mutex<Vec<TeamRate>>>,
}

#[derive(Debug)]
struct TeamRate {
    service: ServiceName,
    team: String,
    bucket: TokenBucket,
}

impl TeamRates {
    /// Counts a request of a team; `rate_per_s` 0 means no limit.
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
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() >= MAX_TEAMS {
            // A bucket is full again after a second, and then needs no row.
            rows.retain(|row| now_ms < row.bucket.updated_ms + REFILL_MS);
        }
        let found = rows.binary_search_by(|row| {
            (row.service.as_str(), row.team.as_str()).cmp(&(service.as_str(), team))
        });
        let row = match found {
            Ok(row) => row,
            Err(_) if rows.len() >= MAX_TEAMS => {
                return Err(refusal("too many teams at once", REFILL_MS));
            }
            Err(row) => {
                let bucket = TokenBucket::full(rate_per_s, now_ms);
                let new = TeamRate {
                    service: service.clone(),
                    team: team.to_owned(),
                    bucket,
                };
                rows.insert(row, new);
                row
            }
        };
        let taken = rows[row].bucket.take(rate_per_s, now_ms);
        taken.map_err(|retry_after_ms| refusal("the team is above its rate", retry_after_ms))
    }
}

fn refusal(detail: &str, retry_after_ms: u64) -> Refusal {
    Refusal::not_run(RefusalReason::RateExceeded, detail).with_retry_after_ms(retry_after_ms)
}

/// Budget that bounds the retries of all requests together; copies share it.
///
/// Without it an overload feeds itself: endpoints refuse, every refusal becomes up to three
/// requests, and the endpoints refuse more.
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

    /// Counts a request.
    pub(crate) fn note_request(&self) {
        let next = |budget| Some(budget_after_request(budget));
        // The closure always returns a budget, so the update cannot fail.
        let _ = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }

    /// Takes a retry when the budget suffices.
    pub(crate) fn take(&self) -> bool {
        self.budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, budget_after_retry)
            .is_ok()
    }
}
