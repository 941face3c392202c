//! Owners that are cut off from the store together with some of their endpoints, and their successors,
//! which reach only the others.

mod common;

use {
    common::{Fleet, step},
    lynxwheel_engine::{Effect, JobSpec, MAX_PROOF_AGE_MS, StepSpec},
};

/// Duration of the partition, in milliseconds: several leases.
const PARTITION_MS: u64 = 30_000;

/// Longest time from the takeover until the task runs elsewhere, in milliseconds: the age of the proof,
/// the lease, and the allowance for slow clocks.
const MOVED_WITHIN_MS: u64 = 8_000;

/// Index of the endpoint on the side of the former owner, and of the one on the other side.
const CUT_OFF: usize = 0;
const REACHABLE: usize = 1;

/// Time without work after which a task starts, in milliseconds.
const IDLE_MS: u64 = 150_000;

/// What precedes a partition.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    /// Time from the partition until the takeover, in milliseconds.
    takeover_ms: u64,
    /// Time without work before the task starts, in milliseconds.
    idle_ms: u64,
    slow_clock_percent: u64,
    long_running: bool,
}

/// An owner that is cut off, and its successor.
struct Partition {
    former: Fleet,
    successor: Fleet,
    /// Time since the partition, in milliseconds.
    since_ms: u64,
}

/// Lets an owner act for 100 ms.
fn advance_owner(fleet: &mut Fleet, is_proven: bool) {
    fleet.engine.allow_lease_extensions(is_proven);
    fleet.advance(100);
}

impl Partition {
    /// Cuts off an owner whose endpoint has just started a task, and has it succeeded after a time.
    fn new(scenario: Scenario) -> Self {
        let mut former = Fleet::new();
        former.slow_clock_percent = scenario.slow_clock_percent;
        former.list_endpoint("i-1", 1_000);
        former.list_endpoint("i-2", 1_000);
        former.endpoints[REACHABLE].is_unresponsive = true;
        former.advance(1_000 + scenario.idle_ms);
        let step = StepSpec {
            long_running: scenario.long_running,
            ..step(1)
        };
        former.submit_spec(
            1,
            JobSpec {
                steps: vec![step],
                ..JobSpec::default()
            },
        );
        former.settle();
        assert_eq!(former.endpoints[CUT_OFF].running.len(), 1);
        former.is_store_down = true;
        let mut partition = Self {
            successor: Fleet::new(),
            former,
            since_ms: 0,
        };
        while partition.since_ms < scenario.takeover_ms {
            partition.advance_former();
        }
        let successor = &mut partition.successor;
        successor.stored.clone_from(&partition.former.stored);
        successor.now = partition.former.now;
        successor.slow_clock_percent = scenario.slow_clock_percent;
        for entry in partition.former.entries.clone() {
            successor.list_endpoint(&entry.id, entry.capacity.cpu_millis);
        }
        successor.endpoints[CUT_OFF].is_unresponsive = true;
        successor.take_over();
        partition
    }

    /// Lets the former owner act for 100 ms; its last stored renewal was sent just before the partition.
    fn advance_former(&mut self) {
        advance_owner(&mut self.former, self.since_ms <= MAX_PROOF_AGE_MS);
        self.since_ms += 100;
    }

    fn advance(&mut self) {
        self.advance_former();
        advance_owner(&mut self.successor, true);
    }

    fn is_running_twice(&self) -> bool {
        let first = &self.former.endpoints[CUT_OFF].running;
        let second = &self.successor.endpoints[REACHABLE].running;
        !first.is_empty() && !second.is_empty()
    }
}

/// Returns when the task runs on the side of the successor, in milliseconds since the takeover.
fn moved_ms(scenario: Scenario) -> Option<u64> {
    let mut partition = Partition::new(scenario);
    let mut moved_ms = None;
    while partition.since_ms < PARTITION_MS {
        partition.advance();
        assert!(
            !partition.is_running_twice(),
            "two runs at once {} ms after the partition",
            partition.since_ms
        );
        if moved_ms.is_none() && !partition.successor.endpoints[REACHABLE].running.is_empty() {
            moved_ms = Some(partition.since_ms - scenario.takeover_ms);
        }
    }
    moved_ms
}

macro_rules! partitions {
    ($($(#[$doc:meta])* $name:ident: $scenario:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let moved_ms = moved_ms($scenario);
            assert!(moved_ms.is_some_and(|ms| ms <= MOVED_WITHIN_MS), "{moved_ms:?}");
        })*
    };
}

partitions! {
    /// Guards against a task that runs twice because its owner extends leases that the successor counts
    /// as expired.
    task_cut_off_with_its_owner_runs_once:
        Scenario { takeover_ms: 1_300, ..Scenario::default() };

    /// Guards against the same after the earliest takeover.
    task_cut_off_with_its_owner_runs_once_after_an_early_takeover:
        Scenario { takeover_ms: 400, ..Scenario::default() };

    /// Guards against the same for a task that lasts.
    long_running_task_cut_off_with_its_owner_runs_once:
        Scenario { takeover_ms: 1_300, long_running: true, ..Scenario::default() };

    /// Guards against the same where endpoints measure leases on a slow clock.
    task_cut_off_with_its_owner_runs_once_on_a_slow_clock:
        Scenario { takeover_ms: 400, slow_clock_percent: 2, ..Scenario::default() };

    /// Guards against a lease that is too long because the slow clock was last read long before.
    task_on_an_idle_endpoint_cut_off_with_its_owner_runs_once: Scenario {
        takeover_ms: 400,
        idle_ms: IDLE_MS,
        slow_clock_percent: 2,
        ..Scenario::default()
    };
}

/// Guards against work that ends because the store is unavailable for a few seconds.
#[test]
fn leases_outlast_a_store_that_is_unavailable_for_six_seconds() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 1_000);
    fleet.advance(1_000);
    fleet.submit(1, 1);
    fleet.advance(1_000);
    fleet.is_store_down = true;
    for since_ms in (0..6_000).step_by(100) {
        advance_owner(&mut fleet, since_ms <= MAX_PROOF_AGE_MS);
    }
    fleet.is_store_down = false;
    for _ in 0..100 {
        advance_owner(&mut fleet, true);
    }
    assert_eq!(fleet.endpoints[0].running.len(), 1);
    assert_eq!(fleet.endpoints[0].started.len(), 1);
}

/// Returns whether a start without an answer is repeated.
fn repeats_start(is_allowed: bool) -> bool {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 1_000);
    fleet.advance(1_000);
    fleet.endpoints[0].loses_answers = true;
    fleet.submit(1, 1);
    fleet.settle();
    fleet.engine.allow_lease_extensions(is_allowed);
    fleet.orders.clear();
    fleet.advance(700);
    let mut orders = fleet.orders.iter();
    orders.any(|order| matches!(order, Effect::Start(_)))
}

macro_rules! repeated_starts {
    ($($(#[$doc:meta])* $name:ident: $is_allowed:expr => $is_repeated:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(repeats_start($is_allowed), $is_repeated);
        })*
    };
}

repeated_starts! {
    start_is_repeated_with_a_proof: true => true;

    /// Guards against an owner without a recent proof that repeats a start, which its successor may have
    /// given up.
    start_is_not_repeated_without_a_proof: false => false;
}

/// Guards against a start that stays placed for ever because its owner may not grant a lease.
#[test]
fn start_without_a_lease_is_placed_again() {
    let mut fleet = Fleet::new();
    fleet.list_endpoint("i-1", 1_000);
    fleet.engine.allow_lease_extensions(false);
    fleet.advance(1_000);
    fleet.submit(1, 1);
    fleet.advance(1_000);
    assert_eq!(fleet.endpoints[0].started, []);
    fleet.engine.allow_lease_extensions(true);
    fleet.advance(2_000);
    assert_eq!(fleet.endpoints[0].started.len(), 1);
}
