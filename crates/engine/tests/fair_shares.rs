//! Fair shares between accounts with excess demand and others.

mod common;

use {
    common::{Fleet, account, job_id, step},
    lynxwheel_engine::{AccountDemand, ClientAccount, LogEvent, fair_level},
};

/// Cores of the fleet.
const CORES: usize = 32;

fn demand(weight: f64, held: f64, wanted: f64) -> AccountDemand {
    AccountDemand {
        weight,
        held,
        wanted,
    }
}

fn weighted(name: &str, weight: f64) -> ClientAccount {
    ClientAccount {
        weight,
        ..account(name, 0)
    }
}

/// Returns an empty fleet of two accounts.
fn fleet_of_two() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.configure_accounts(&[weighted("hot", 1.0), weighted("usual", 1.0)]);
    fleet.list_endpoint("i-1", 16_000);
    fleet.list_endpoint("i-2", 16_000);
    fleet.advance(300);
    fleet
}

/// Returns a full fleet of two accounts, the first of which has excess demand.
fn fleet_with_excess_demand() -> Fleet {
    let mut fleet = fleet_of_two();
    for number in 1..=10 {
        fleet.submit_as("hot", number, step(8));
    }
    fleet.settle();
    fleet
}

macro_rules! levels {
    ($($name:ident: $demands:expr, $free:expr => $level:expr;)*) => {
        $(#[test] fn $name() {
            let level = fair_level(&$demands, $free);
            let expected: f64 = $level;
            assert_eq!(level.to_bits(), expected.to_bits(), "{level}");
        })*
    };
}

levels! {
    all_demand_is_met: [demand(1.0, 5.0, 5.0), demand(2.0, 3.0, 3.0)], 0.0 => f64::INFINITY;
    free_capacity_meets_all_demand: [demand(1.0, 5.0, 7.0), demand(2.0, 3.0, 4.0)], 3.0 => f64::INFINITY;
    equal_accounts_get_equal_shares: [demand(1.0, 9.0, 20.0), demand(1.0, 1.0, 20.0)], 0.0 => 5.0;
    unused_share_goes_to_the_others:
        [demand(1.0, 2.0, 2.0), demand(1.0, 8.0, 30.0), demand(1.0, 2.0, 30.0)], 0.0 => 5.0;
    shares_follow_weights: [demand(3.0, 6.0, 100.0), demand(1.0, 6.0, 100.0)], 4.0 => 4.0;
    an_account_without_weight_gets_nothing: [demand(0.0, 4.0, 9.0), demand(1.0, 4.0, 9.0)], 0.0 => 4.0;
}

/// Guards against usual variation being treated as excess demand.
#[test]
fn excess_demand_begins_at_twice_the_share() {
    assert!(!demand(1.0, 4.0, 7.9).has_excess_demand(4.0));
    assert!(demand(1.0, 4.0, 8.0).has_excess_demand(4.0));
    assert!(!demand(1.0, 4.0, 8.0).has_excess_demand(f64::INFINITY));
}

/// Guards against the account that submitted first keeping all capacity that becomes free.
#[test]
fn freed_capacity_goes_to_the_account_below_its_share() {
    let mut fleet = fleet_with_excess_demand();
    assert_eq!(fleet.running_cores(|_| true), CORES);
    fleet.advance(100);
    fleet.submit_as("usual", 90, step(8));
    fleet.settle();
    fleet.advance(100);
    assert_eq!(fleet.running_cores(|job| job == job_id(90)), 0);
    fleet.end_all_done();
    fleet.settle();
    assert_eq!(fleet.running_cores(|job| job == job_id(90)), 8);
}

/// Guards against delaying an account whose demand rises only slightly.
#[test]
fn moderate_demand_starts_in_the_usual_order() {
    let mut fleet = fleet_of_two();
    for number in 1..=3 {
        fleet.submit_as("hot", number, step(8));
    }
    fleet.submit_as("usual", 90, step(16));
    fleet.settle();
    assert_eq!(fleet.running_cores(|job| job == job_id(90)), CORES - 24);
}

/// Guards against capacity being kept idle for accounts that do not use it.
#[test]
fn idle_capacity_goes_to_the_account_with_excess_demand() {
    let mut fleet = fleet_with_excess_demand();
    fleet.end_all_done();
    fleet.settle();
    assert_eq!(fleet.running_cores(|_| true), CORES);
}

/// Guards against a wait for other accounts that does not appear in the log.
#[test]
fn waiting_for_other_accounts_is_logged() {
    let mut fleet = fleet_with_excess_demand();
    fleet.engine.take_log_events();
    fleet.submit_as("usual", 90, step(14));
    fleet.end_all_done();
    fleet.settle();
    fleet.advance(1_500);
    let log_events = fleet.engine.take_log_events();
    let waits = log_events.iter().filter_map(|event| match event {
        LogEvent::ShareReached(wait) => Some(wait),
        _ => None,
    });
    let mut accounts: Vec<_> = waits.map(|wait| wait.account.as_str()).collect();
    accounts.dedup();
    assert_eq!(accounts, ["hot"]);
}
