//! Admission of requests to the queue, rate limits of teams, and the retry budget.

use lynxwheel_protocol::Class;

/// Part of the queue that requests of class normal may fill, in percent.
const NORMAL_PERCENT: usize = 80;

/// Part of the queue that requests of class batch may fill, in percent.
const BATCH_PERCENT: usize = 50;

/// Lower bound of the time after which a refused request may be retried, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Retry budget that one retry consumes.
const RETRY_COST: u32 = 100;

/// Retry budget that one request adds; it limits retries to a tenth of the requests.
const RETRY_GAIN: u32 = 10;

/// Upper bound of the retry budget; it limits a burst to 50 retries.
pub const MAX_RETRY_BUDGET: u32 = 50 * RETRY_COST;

/// State of the queue for a request that finds no free slot.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Class of the request.
    pub class: Class,
    /// Requests in the queue.
    pub waiting: usize,
    /// Requests in the queue that are served before this one.
    pub ahead: usize,
    /// Capacity of the queue.
    pub max_waiting: usize,
    /// Slots that serve the queue.
    pub slots: u32,
    /// Mean time for which a request occupies a slot, in microseconds; 0 if unknown.
    pub mean_service_us: u64,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// Outcome of the admission of a request to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may wait.
    Wait,
    /// The part of the queue open to the request's class is full.
    QueueFull {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No slot is expected to be free before the request's deadline.
    TooLate {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a request may wait for a slot.
///
/// Requests of class normal and batch may fill only a part of the queue, so that urgent ones are
/// still admitted when the others overload the service.
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

/// Token bucket that limits the request rate of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenBucket {
    /// Tokens in thousandths of a request.
    pub tokens_milli: u64,
    /// Time of the last update, in milliseconds of a monotonic clock.
    pub updated_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket, which holds the tokens of one second.
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
    /// Returns the time until the next token in milliseconds if there is none.
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

/// Returns the retry budget after another request.
#[must_use]
pub fn budget_after_request(budget: u32) -> u32 {
    (budget + RETRY_GAIN).min(MAX_RETRY_BUDGET)
}

/// Returns the retry budget after a retry, or `None` if it does not suffice.
#[must_use]
pub fn budget_after_retry(budget: u32) -> Option<u32> {
    budget.checked_sub(RETRY_COST)
}
