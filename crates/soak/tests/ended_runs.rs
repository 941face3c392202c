//! What the checker reports about tasks that start again after they were done.

use {
    lynxwheel_engine::{JobId, JobSpec, StepSpec, TaskRef},
    lynxwheel_platform_standin::{Observation, ObservedEnd},
    lynxwheel_soak::{Checker, Fault, plan_restarts},
};

/// Job of the task.
const JOB: &str = "00000000000000aa";

fn task() -> TaskRef {
    format!("{JOB}.0.0.0").parse().expect("a task")
}

/// Returns a checker that knows one accepted job with one task.
fn checker_with_job() -> Checker {
    let checker = Checker::new(6_000, 2);
    let id: JobId = JOB.parse().expect("an id");
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    checker.record_submission(id, 1, &spec, "alpha", 2);
    checker.record_acceptance(id);
    checker
}

fn started(incarnation: &str, run: u32) -> Observation {
    Observation::Started {
        incarnation: incarnation.into(),
        pool: "alpha".into(),
        task: task(),
        run,
        payload: "".into(),
    }
}

fn done(incarnation: &str, run: u32, number: u64) -> Observation {
    Observation::Ended {
        incarnation: incarnation.into(),
        task: task(),
        run,
        end: ObservedEnd::Done,
        number: Some(number),
    }
}

fn acknowledged(run: u32, acknowledged: u64) -> Observation {
    Observation::Acknowledged {
        task: task(),
        run,
        end: ObservedEnd::Done,
        acknowledged,
        is_listed: true,
    }
}

fn acknowledged_unread(run: u32, acknowledged: u64) -> Observation {
    Observation::Acknowledged {
        task: task(),
        run,
        end: ObservedEnd::Done,
        acknowledged,
        is_listed: false,
    }
}

fn stop_ordered(incarnation: &str, run: u32) -> Observation {
    Observation::StopOrdered {
        incarnation: incarnation.into(),
        task: task(),
        run,
    }
}

fn ends_expired(incarnation: &str) -> Observation {
    Observation::EndsExpired {
        incarnation: incarnation.into(),
    }
}

// Each case has observations and the violations, without the task and the time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: [$($observation:expr),*] => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let checker = checker_with_job();
            $(checker.observe($observation);)*
            let prefix = format!(" s  {} ", task());
            let violations = checker.violations();
            let texts: Vec<&str> = violations
                .iter()
                .map(|text| text.split_once(&prefix).expect("the task").1)
                .collect();
            let expected: &[&str] = &$expected;
            assert_eq!(texts, expected);
        })*
    };
}

cases! {
    /// Guards against a start after an acknowledged end that passes when an endpoint has restarted.
    start_on_the_next_incarnation_is_reported: [
        started("vm0-life1", 1), done("vm0-life1", 1, 3), acknowledged(1, 8),
        ends_expired("vm0-life1"), started("vm0-life2", 2)
    ] => ["run 2 on vm0-life2: started after its completion was acknowledged: run 1 on vm0-life1 \
           was done (end 3, acknowledged up to 8); run 2 was not told to stop"];

    /// Guards against an acknowledgement that passes because it comes after the start.
    acknowledgement_after_a_start_is_reported: [
        started("vm0-life2", 1), done("vm0-life2", 1, 1), started("vm0-life2", 2),
        started("vm1-life1", 3), acknowledged(1, 10)
    ] => [
        "run 3 on vm1-life1: run 2 is still in progress on vm0-life2; run 3 was not told to stop",
        "run 2 on vm0-life2: started again after run 1 on vm0-life2 was done (end 1, acknowledged \
         up to 10); run 2 was not told to stop",
        "run 3 on vm1-life1: started again after run 1 on vm0-life2 was done (end 1, acknowledged \
         up to 10); run 3 was not told to stop"
    ];

    /// Guards against a stop that is left out, or taken from another incarnation.
    stop_of_the_later_run_is_told: [
        started("vm0-life1", 1), done("vm0-life1", 1, 3), started("vm0-life2", 2),
        acknowledged(1, 3), stop_ordered("vm0-life2", 2)
    ] => ["run 2 on vm0-life2: started again after run 1 on vm0-life1 was done (end 3, \
           acknowledged up to 3); run 2 was told to stop"];
    stop_on_another_incarnation_does_not_count: [
        started("vm0-life1", 1), done("vm0-life1", 1, 3), started("vm0-life2", 2),
        acknowledged(1, 3), stop_ordered("vm0-life1", 2)
    ] => ["run 2 on vm0-life2: started again after run 1 on vm0-life1 was done (end 3, \
           acknowledged up to 3); run 2 was not told to stop"];

    /// Guards against an end that is discarded unread, whether or not its task starts again.
    end_that_no_report_listed_is_reported: [
        started("vm0-life2", 1), done("vm0-life2", 1, 1), acknowledged_unread(1, 10)
    ] => ["run 1: its end as Done is acknowledged up to 10 before a report has listed it"];

    /// Guards against a report about an end that no owner could learn of.
    start_after_an_end_that_was_lost_passes: [
        started("vm0-life1", 1), done("vm0-life1", 1, 3), ends_expired("vm0-life1"),
        started("vm0-life2", 2), done("vm0-life2", 2, 1), acknowledged(2, 1)
    ] => [];
}

/// Guards against restarts that differ between plays of a seed.
#[test]
fn restarts_depend_on_the_seed_only() {
    let planned = plan_restarts(7, 30_000, 9);
    assert_eq!(planned, plan_restarts(7, 30_000, 9));
    assert_ne!(planned, plan_restarts(8, 30_000, 9));
    let is_restart = |fault| matches!(fault, Fault::EndIncarnation(0..9));
    assert!(planned.iter().all(|planned| is_restart(planned.fault)));
}
