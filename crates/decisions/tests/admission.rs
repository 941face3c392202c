//! Admission to the queue, rate limits of teams and the retry budget.

use {
    lynxwheel_decisions::{
        Admission, AdmissionView, MAX_RETRY_BUDGET, TokenBucket, admit, budget_after_request,
        budget_after_retry,
    },
    lynxwheel_protocol::Class,
};

/// A queue of 100 requests, 10 slots of 20 ms each, and a request with one second left.
fn view(class: Class, waiting: usize, ahead: usize) -> AdmissionView {
    AdmissionView {
        class,
        waiting,
        ahead,
        max_waiting: 100,
        slots: 10,
        mean_service_us: 20_000,
        remaining_ms: 1_000,
    }
}

macro_rules! admissions {
    ($($name:ident: $view:expr => $admission:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(admit(&$view), $admission);
        })*
    };
}

admissions! {
    batch_waits_below_its_share: view(Class::Batch, 49, 49) => Admission::Wait;
    batch_is_refused_at_its_share: view(Class::Batch, 50, 50) =>
        Admission::QueueFull { retry_after_ms: 102 };
    normal_waits_below_its_share: view(Class::Normal, 79, 79) => Admission::Wait;
    normal_is_refused_at_its_share: view(Class::Normal, 80, 80) =>
        Admission::QueueFull { retry_after_ms: 162 };
    urgent_waits_below_the_capacity: view(Class::Urgent, 99, 0) => Admission::Wait;
    full_queue_refuses_urgent: view(Class::Urgent, 100, 0) =>
        Admission::QueueFull { retry_after_ms: 100 };
    wait_beyond_the_deadline_is_refused: AdmissionView { remaining_ms: 50, ..view(Class::Normal, 40, 40) } =>
        Admission::TooLate { retry_after_ms: 100 };
    unknown_service_time_is_admitted: AdmissionView { mean_service_us: 0, remaining_ms: 1, ..view(Class::Normal, 40, 40) } =>
        Admission::Wait;
}

/// A team may send the requests of one second in a burst, and then one for each refilled token.
#[test]
fn bucket_limits_the_rate_and_returns_the_wait() {
    let mut bucket = TokenBucket::full(5, 1_000);
    assert!((0..5).all(|_| bucket.take(5, 1_000).is_ok()));
    assert_eq!(bucket.take(5, 1_000), Err(200));
    assert_eq!(bucket.take(5, 1_150), Err(50));
    assert_eq!(bucket.take(5, 1_200), Ok(()));
    assert!((0..5).all(|_| bucket.take(5, 60_000).is_ok()));
    assert!(
        bucket.take(5, 60_000).is_err(),
        "a long pause saves no more than the rate"
    );
}

/// When every request is refused, retries stay at a tenth of the requests after the first burst.
#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut budget = MAX_RETRY_BUDGET;
    let mut retries = 0;
    for _ in 0..10_000 {
        budget = budget_after_request(budget);
        while let Some(left) = budget_after_retry(budget) {
            budget = left;
            retries += 1;
        }
    }
    assert!((1_000..=1_050).contains(&retries), "{retries} retries");
}
