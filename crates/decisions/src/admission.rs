//! Admission of requests: waiting for a slot, rates of teams, and retries.

use lynxwheel_protocol::Class;

/// Part of the queue open to ordinary work, in percent.
const NORMAL_PERCENT: usize = 80;

/// Part of the queue open to batch work, in percent.
const BATCH_PERCENT: usize = 50;

/// Shortest time after which to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Budget that one retry costs.
const RETRY_COST: u32 = 100;

/// Budget that one request adds, so that retries stay within a tenth of the requests.
const RETRY_GAIN: u32 = 10;

/// Budget at most, which bounds a burst of retries to 50.
pub const MAX_RETRY_BUDGET: u32 = 50 * RETRY_COST;

/// What a node knows when a request finds no free slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Class of the request.
    pub class: Class,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that wait and would be served before it.
    pub ahead: usize,
    /// Requests that may wait at most.
    pub max_waiting: usize,
    /// Slots that serve the queue.
    pub slots: u32,
    /// Mean time for which a request takes a slot, in microseconds; 0 when none is known.
    pub mean_service_us: u64,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Whether a request may wait for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It waits.
    Wait,
    /// The queue's part for its class is full.
    QueueFull {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Its turn would come after its deadline.
    TooLate {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a request may wait for a slot.
///
/// Ordinary and batch work may fill only a part of the queue, so that urgent work finds a place
/// in an overload of the others.
#[must_use]
pub fn admit(view: &AdmissionView) -> Admission {
    let wait_ms = expected_wait_ms(view);
    let retry_after_ms = wait_ms.max(MIN_RETRY_AFTER_MS);
    let percent = match view.class {
        Class::Urgent => 100,
        Class::Normal => NORMAL_PERCENT,
        Class::Batch => BATCH_PERCENT,
    };
    if view.waiting * 100 >= view.max_waiting * percent {
        return Admission::QueueFull { retry_after_ms };
    }
    if wait_ms > view.remaining_ms {
        return Admission::TooLate { retry_after_ms };
    }
    Admission::Wait
}

/// Returns the time until a slot is expected to be free for the request, in milliseconds.
#[must_use]
pub fn expected_wait_ms(view: &AdmissionView) -> u64 {
    let turns = view.ahead as u64 + 1;
    turns * view.mean_service_us / u64::from(view.slots.max(1)) / 1_000
}

/// Requests that a team may still send in a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenBucket {
    /// Tokens in thousandths of a request.
    pub tokens_milli: u64,
    /// When they were counted, in milliseconds of any clock that does not go back.
    pub updated_ms: u64,
}

impl TokenBucket {
    /// Fills a bucket for `rate_per_s`.
    #[must_use]
    pub fn full(rate_per_s: u32, now_ms: u64) -> Self {
        Self {
            tokens_milli: u64::from(rate_per_s) * 1_000,
            updated_ms: now_ms,
        }
    }

    /// Takes a token at `now_ms`.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token, in milliseconds.
    pub fn take(&mut self, rate_per_s: u32, now_ms: u64) -> Result<(), u64> {
        let rate = u64::from(rate_per_s.max(1));
        let gained = now_ms.saturating_sub(self.updated_ms).saturating_mul(rate);
        let tokens_milli = self.tokens_milli.saturating_add(gained).min(rate * 1_000);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.tokens_milli = tokens_milli;
        if tokens_milli < 1_000 {
            return Err((1_000 - tokens_milli).div_ceil(rate));
        }
        self.tokens_milli -= 1_000;
        Ok(())
    }
}

/// Returns the retry budget after a further request.
#[must_use]
pub fn budget_after_request(budget: u32) -> u32 {
    (budget + RETRY_GAIN).min(MAX_RETRY_BUDGET)
}

/// Returns the retry budget after a retry, or `None` when it does not suffice for one.
#[must_use]
pub fn budget_after_retry(budget: u32) -> Option<u32> {
    budget.checked_sub(RETRY_COST)
}
