//! Quotas of client accounts.

mod common;

use {
    common::{Fleet, account, job_id, step},
    lynxwheel_engine::{
        CallerResponse, ClientAccount, ClientAccounts, EndKind, Event, JobState, KeyDigest,
        LogEvent, QuotaTracker, Resources, StepSpec,
    },
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body; })*
    };
}

/// Returns a fleet of 32 cores with these accounts.
fn fleet_with(accounts: &[ClientAccount]) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.configure_accounts(accounts);
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    fleet.advance(300);
    fleet
}

fn all(fleet: &Fleet) -> usize {
    fleet.running_cores(|_| true)
}

fn response(fleet: &Fleet, token: u64) -> Option<CallerResponse> {
    let reply = fleet.replies.iter().find(|(known, _)| *known == token);
    reply.map(|(_, response)| *response)
}

/// Returns a fleet in which an account with a quota of three cores has submitted eight tasks.
fn fleet_at_quota() -> Fleet {
    let mut fleet = fleet_with(&[account("maps", 3)]);
    fleet.submit_as("maps", 1, step(8));
    fleet.settle();
    fleet
}

cases! {
    /// Guards against starting a step beyond its account's quota.
    a_step_above_the_quota_runs_in_parts: {
        let mut fleet = fleet_at_quota();
        for expected in [3, 3, 2] {
            assert_eq!(all(&fleet), expected);
            fleet.end_all_done();
            fleet.settle();
        }
        assert_eq!(fleet.job_state(1), Some(JobState::Completed));
    };

    /// Guards against runs with an unknown end not counting as running.
    runs_on_a_silent_endpoint_count: {
        let mut fleet = fleet_at_quota();
        for endpoint in &mut fleet.endpoints {
            endpoint.is_unresponsive = true;
        }
        fleet.list_endpoint("i-3", 16_000);
        fleet.advance(3_000);
        assert_eq!(all(&fleet), 3);
    };

    /// Guards against a new owner that ignores runs started by the previous one.
    a_new_owner_counts_the_runs_of_the_previous_one: {
        let mut fleet = fleet_at_quota();
        for endpoint in &mut fleet.endpoints {
            endpoint.is_unresponsive = true;
        }
        fleet.take_over();
        fleet.list_endpoint("i-3", 16_000);
        fleet.advance(2_000);
        assert_eq!(all(&fleet), 3);
        assert_eq!(fleet.engine.running_resources("maps").cpu_millis, 3_000);
    };

    /// Guards against a new owner that starts tasks before it knows the quotas.
    nothing_starts_before_a_configuration_is_known: {
        let mut fleet = Fleet::new();
        fleet.engine = lynxwheel_engine::Engine::new(lynxwheel_engine::EngineSettings::default());
        fleet.list_endpoint("i-1", 16_000);
        fleet.submit_as("maps", 1, step(2));
        fleet.advance(500);
        assert_eq!(all(&fleet), 0);
        fleet.configure_accounts(&[account("maps", 1)]);
        fleet.advance(500);
        assert_eq!(all(&fleet), 1);
    };

    /// Guards against a reduced quota stopping runs, and against starts beyond it.
    a_reduced_quota_stops_nothing_and_starts_nothing: {
        let mut fleet = fleet_at_quota();
        fleet.configure_accounts(&[account("maps", 1)]);
        fleet.advance(1_000);
        assert_eq!(all(&fleet), 3);
        fleet.end_all_done();
        fleet.advance(100);
        assert_eq!(all(&fleet), 1);
    };

    /// Guards against sending orders that were decided before the quota was reduced.
    unstored_decisions_are_reverted_when_the_quota_is_reduced: {
        let mut fleet = fleet_with(&[account("maps", 6)]);
        fleet.submit_as("maps", 1, step(6));
        let batch = fleet.engine.take_batch(fleet.now);
        fleet.put_in_flight(batch);
        fleet.configure_accounts(&[account("maps", 2)]);
        fleet.settle();
        assert_eq!(all(&fleet), 2);
    };

    /// Guards against retrying an order beyond a quota that was reduced in the meantime.
    unanswered_orders_are_not_retried_above_the_quota: {
        let mut fleet = fleet_with(&[account("maps", 3)]);
        fleet.submit_as("maps", 1, step(2));
        fleet.settle();
        for endpoint in &mut fleet.endpoints {
            endpoint.is_unresponsive = true;
        }
        fleet.submit_as("maps", 2, step(1));
        fleet.settle();
        fleet.configure_accounts(&[account("maps", 2)]);
        for endpoint in &mut fleet.endpoints {
            endpoint.is_unresponsive = false;
        }
        fleet.advance(1_500);
        assert_eq!(all(&fleet), 2);
        fleet.end_all_done();
        fleet.advance(1_500);
        assert_eq!(all(&fleet), 1);
    };

    /// Guards against placing tasks beyond the quota and reverting them with each batch.
    no_more_is_placed_than_the_quota_allows: {
        let mut fleet = fleet_with(&[account("maps", 3)]);
        fleet.submit_as("maps", 1, step(8));
        let batch = fleet.engine.take_batch(fleet.now);
        assert_eq!(fleet.engine.running_resources("maps").cpu_millis, 3_000);
        fleet.put_in_flight(batch);
        fleet.submit_as("maps", 2, StepSpec { gang: true, ..step(2) });
        drop(fleet.engine.take_batch(fleet.now));
        assert_eq!(fleet.engine.running_resources("maps").cpu_millis, 3_000);
    };

    /// Guards against accepting a job that can never run within the quota.
    jobs_above_the_quota_are_refused: {
        let mut fleet = fleet_with(&[account("maps", 3)]);
        let wide = |gang| StepSpec { gang, ..step(4) };
        fleet.submit_as("maps", 1, wide(true));
        fleet.submit_as("maps", 2, wide(false));
        let large = Resources { cpu_millis: 3_001, memory_mb: 1, gpus: 0 };
        fleet.submit_as("maps", 3, StepSpec { resources: large, ..step(1) });
        fleet.settle();
        assert_eq!(response(&fleet, 1), Some(CallerResponse::OverQuota));
        assert_eq!(response(&fleet, 2), Some(CallerResponse::Accepted));
        assert_eq!(response(&fleet, 3), Some(CallerResponse::OverQuota));
        assert_eq!(fleet.job_state(1), None);
    };

    /// Guards against starting a gang that fits into the quota only in part.
    a_gang_waits_until_all_of_it_fits: {
        let mut fleet = fleet_with(&[account("maps", 5)]);
        fleet.submit_as("maps", 1, step(3));
        fleet.settle();
        fleet.submit_as("maps", 2, StepSpec { gang: true, ..step(4) });
        fleet.settle();
        assert_eq!(all(&fleet), 3);
        fleet.end_all_done();
        fleet.settle();
        assert_eq!(all(&fleet), 4);
    };

    /// Guards against filler tasks bypassing the quota, as they reserve no processor of an
    /// endpoint.
    filler_and_long_running_tasks_count: {
        let mut fleet = fleet_with(&[account("maps", 3)]);
        fleet.submit_as("maps", 1, StepSpec { filler: true, long_running: true, ..step(5) });
        fleet.settle();
        assert_eq!(all(&fleet), 3);
    };

    /// Guards against counting a run as ended while it is being stopped.
    runs_that_are_being_stopped_count: {
        let mut fleet = fleet_at_quota();
        for endpoint in &mut fleet.endpoints {
            endpoint.is_unresponsive = true;
        }
        fleet.handle(Event::Cancel { job: job_id(1), account: "maps".into(), token: 9 });
        fleet.list_endpoint("i-3", 16_000);
        fleet.submit_as("maps", 2, step(2));
        fleet.advance(1_000);
        assert_eq!(all(&fleet), 3);
        assert_eq!(fleet.job_state(1), Some(JobState::Cancelled));
    };

    /// Guards against a wait for the quota that does not appear in the log.
    waiting_for_a_quota_is_logged_with_its_values: {
        let mut fleet = fleet_at_quota();
        fleet.advance(900);
        let log_events = fleet.engine.take_log_events();
        let waits: Vec<_> = log_events.iter().filter_map(|event| match event {
            LogEvent::QuotaReached(wait) => Some(wait),
            _ => None,
        }).collect();
        assert_eq!(waits.len(), 1, "not with every decision");
        assert_eq!(waits[0].account, "maps");
        assert_eq!(waits[0].running.cpu_millis, 3_000);
        assert_eq!(waits[0].quota.cpu_millis, 3_000);
    };

    /// Guards against an account at its quota delaying the work of others.
    others_run_beside_an_account_at_its_quota: {
        let mut fleet = fleet_with(&[account("maps", 3), account("post", 0)]);
        fleet.submit_as("maps", 1, step(40));
        fleet.submit_as("post", 2, step(9));
        fleet.settle();
        assert_eq!(fleet.running_cores(|job| job == job_id(1)), 3);
        assert_eq!(fleet.running_cores(|job| job == job_id(2)), 9);
    };

    /// Guards against reading, cancelling or resubmitting a job of another account.
    a_job_is_inaccessible_to_other_accounts: {
        let mut fleet = fleet_at_quota();
        let cancel = |account: &str, token| Event::Cancel {
            job: job_id(1),
            account: account.into(),
            token,
        };
        for take_over in [false, true] {
            if take_over {
                fleet.take_over();
            }
            assert!(fleet.engine.can_access(job_id(1), "maps"));
            assert!(!fleet.engine.can_access(job_id(1), "post"));
            assert!(!fleet.engine.can_access(job_id(1), ""));
            fleet.replies.clear();
            fleet.handle(cancel("post", 7));
            fleet.submit_as("post", 1, step(1));
            fleet.settle();
            assert_eq!(response(&fleet, 7), Some(CallerResponse::OtherAccount));
            assert_eq!(response(&fleet, 1), Some(CallerResponse::OtherAccount));
        }
        fleet.handle(cancel("maps", 8));
        fleet.settle();
        assert_eq!(response(&fleet, 8), Some(CallerResponse::Cancelled));
        // Also if only the final state of the job is kept.
        fleet.end_all(EndKind::Stopped);
        fleet.advance(2_000);
        fleet.take_over();
        assert!(!fleet.engine.can_access(job_id(1), "post"));
        assert_eq!(fleet.job_state(1), Some(JobState::Cancelled));
    };

    /// Guards against usage data growing with every account that was ever configured.
    unused_accounts_are_removed: {
        let mut tracker = QuotaTracker::default();
        for round in 0..100 {
            let name = format!("account-{round}");
            tracker.configure(&ClientAccounts::new(vec![account(&name, 4)]));
            assert_eq!(tracker.numbers().len(), 1);
        }
        let busy = tracker.number("account-99");
        tracker.add_job(busy);
        tracker.configure(&ClientAccounts::default());
        assert_eq!(tracker.numbers(), [busy]);
        tracker.remove_job(busy);
        assert_eq!(tracker.numbers(), []);
    };

    /// Guards against nodes that assign a shared key to different accounts.
    a_key_of_two_accounts_identifies_the_first_by_name: {
        let key = KeyDigest::new(b"shared");
        let holding = |name| ClientAccount { keys: vec![key], ..account(name, 0) };
        for accounts in [["post", "maps"], ["maps", "post"]] {
            let accounts = ClientAccounts::new(accounts.map(holding).to_vec());
            assert_eq!(accounts.holder_of(&key).expect("a holder").name, "maps");
            let shared = accounts.shared_keys();
            assert_eq!(shared.len(), 1);
            assert_eq!((shared[0].holder.as_str(), shared[0].ignored_account.as_str()), ("maps", "post"));
        }
    };

    /// Guards against logging keys.
    a_key_is_printed_as_its_fingerprint: {
        let key = KeyDigest::new(b"pqk8bdk9eevyxq2yyaza");
        assert_eq!(format!("{key:?}"), format!("KeyDigest({key})"));
        assert_eq!(key.to_string().len(), 8);
    };
}

#[test]
fn unlimited_dimensions_are_not_limits() {
    let mut tracker = QuotaTracker::default();
    tracker.configure(&ClientAccounts::new(vec![account("maps", 2)]));
    let number = tracker.number("maps");
    let resources = |cpu_millis, memory_mb| Resources {
        cpu_millis,
        memory_mb,
        gpus: 1,
    };
    assert_eq!(tracker.startable_runs(number, &resources(500, 1 << 40)), 4);
    tracker.charge(number, &resources(1_800, 7));
    assert_eq!(tracker.startable_runs(number, &resources(500, 7)), 0);
    assert_eq!(tracker.startable_runs(number, &resources(0, 7)), u64::MAX);
    assert!(!tracker.is_exceeded(number));
    assert_eq!(
        tracker.startable_runs(tracker.clone().number(""), &resources(500, 7)),
        u64::MAX
    );
}
