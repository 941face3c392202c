//! Admission to a queue, rates of teams and the budget of retries.

use {
    lynxwheel_decisions::{
        Admission, AdmissionView, MAX_RETRY_BUDGET, TokenBucket, admit, budget_after_request,
        budget_after_retry,
    },
    lynxwheel_protocol::Class,
};

/// A queue of 100 with 10 slots of 20 ms each and a request with a second left.
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
    batch_waits_in_its_half: view(Class::Batch, 49, 49) => Admission::Wait;
    batch_finds_its_half_full: view(Class::Batch, 50, 50) =>
        Admission::QueueFull { retry_after_ms: 102 };
    normal_work_goes_beyond: view(Class::Normal, 79, 79) => Admission::Wait;
    normal_work_finds_its_part_full: view(Class::Normal, 80, 80) =>
        Admission::QueueFull { retry_after_ms: 162 };
    urgent_work_finds_a_place: view(Class::Urgent, 99, 0) => Admission::Wait;
    nothing_finds_a_place_in_a_full_queue: view(Class::Urgent, 100, 0) =>
        Admission::QueueFull { retry_after_ms: 100 };
    turn_after_the_deadline: AdmissionView { remaining_ms: 50, ..view(Class::Normal, 40, 40) } =>
        Admission::TooLate { retry_after_ms: 100 };
    unknown_service_time_refuses_nobody: AdmissionView { mean_service_us: 0, remaining_ms: 1, ..view(Class::Normal, 40, 40) } =>
        Admission::Wait;
}

/// A team may send its rate at once and then one request for each part of a second.
#[test]
fn bucket_gives_the_rate_and_tells_when_to_come_back() {
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

/// Every endpoint refuses every request. Retries must not grow with the refusals: after the burst
/// they stay at a tenth of the requests.
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
