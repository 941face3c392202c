//! What the checker reports about refusals and about accounts beside a flood.

use {
    http::{HeaderMap, StatusCode},
    lynxwheel_engine::{JobId, JobSpec, StepSpec, TaskRef},
    lynxwheel_platform_standin::{LONGEST_RUN_MS, Observation},
    lynxwheel_soak::{Checker, RefusalCounts, plan_owner_kills},
    lynxwheel_transport::ClientResponse,
    std::{thread::sleep, time::Duration},
};

/// Account that floods; the job belongs to another one.
const FLOODING: usize = 0;

/// Target latency of the stand-in's queues, in milliseconds.
const TARGET_LATENCY_MS: u64 = 600;

/// Returns a checker that knows one submitted job, which is being submitted.
fn checker_with_job() -> (Checker, JobId) {
    let checker = Checker::new(6_000, 2);
    let id: JobId = "00000000000000aa".parse().expect("an id");
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    checker.record_submission(id, 1, &spec, "alpha", 2);
    checker.begin_attempt(id);
    (checker, id)
}

fn refusal(retry_after: Option<&str>, body: &'static str) -> ClientResponse {
    let mut headers = HeaderMap::new();
    if let Some(value) = retry_after {
        headers.insert("Retry-After", value.parse().expect("a header value"));
    }
    ClientResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        headers,
        body: body.into(),
    }
}

fn start_of(job: JobId) -> Observation {
    Observation::Started {
        incarnation: "vm0-1".into(),
        pool: "alpha".into(),
        task: TaskRef {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        payload: "".into(),
    }
}

// Each case has a refusal and the number of violations.
macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident: $retry_after:expr, $body:expr => $count:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let (checker, id) = checker_with_job();
            checker.check_refusal(id, &refusal($retry_after, $body));
            assert_eq!(checker.violations().len(), $count, "{:?}", checker.violations());
        })*
    };
}

refusals! {
    /// Guards against correct refusals that are reported.
    complete_refusal_passes: Some("3"), "not accepted; it never runs" => 0;

    /// Guards against refusals that don't tell when to come back.
    missing_retry_after_is_reported: None, "not accepted; it never runs" => 1;

    /// Guards against refusals that invite callers to return at once.
    zero_retry_after_is_reported: Some("0"), "not accepted; it never runs" => 1;

    /// Guards against fractions and signs, which callers can't parse.
    fractional_retry_after_is_reported: Some("1.5"), "not accepted; it never runs" => 1;
    signed_retry_after_is_reported: Some("+2"), "not accepted; it never runs" => 1;

    /// Guards against refusals that leave open whether the job runs.
    missing_statement_is_reported: Some("1"), "busy" => 1;
}

/// Guards against a refused job that runs before it is submitted again.
#[test]
fn start_of_a_refused_job_is_reported() {
    let (checker, id) = checker_with_job();
    checker.check_refusal(id, &refusal(Some("1"), "it never runs"));
    checker.observe(start_of(id));
    assert_eq!(checker.violations().len(), 1, "{:?}", checker.violations());
}

/// Guards against a report about a refused job that is accepted later, and against its count as a
/// refused one.
#[test]
fn job_accepted_after_a_refusal_may_run() {
    let (checker, id) = checker_with_job();
    checker.check_refusal(id, &refusal(Some("1"), "it never runs"));
    checker.begin_attempt(id);
    checker.observe(start_of(id));
    checker.record_acceptance(id);
    assert_eq!(checker.violations(), Vec::<String>::new());
    let expected = RefusalCounts {
        unavailable: 1,
        accepted_later: 1,
        ..RefusalCounts::default()
    };
    assert_eq!(checker.refusals(), expected);
}

/// Guards against a flood in which other accounts get nothing, unnoticed.
#[test]
fn accounts_without_ended_jobs_in_a_flood_are_reported() {
    let checker = Checker::new(6_000, 2);
    checker.begin_flood(FLOODING);
    checker.end_flood();
    assert_eq!(checker.violations().len(), 2, "{:?}", checker.violations());
}

/// Guards against jobs of other accounts that wait behind a flood, unnoticed.
#[test]
fn job_that_waits_behind_a_flood_is_reported() {
    let (checker, id) = checker_with_job();
    checker.begin_flood(FLOODING);
    checker.record_acceptance(id);
    sleep(Duration::from_millis(
        LONGEST_RUN_MS + TARGET_LATENCY_MS + 1,
    ));
    checker.end_flood();
    let violations = checker.violations();
    assert!(
        violations.iter().any(|text| text.contains("waited")),
        "{violations:?}"
    );
}

/// Guards against kills of owners that differ between plays of a seed.
#[test]
fn owner_kills_depend_on_the_seed_only() {
    assert_eq!(plan_owner_kills(7, 30_000), plan_owner_kills(7, 30_000));
    assert_ne!(plan_owner_kills(7, 30_000), plan_owner_kills(8, 30_000));
}
