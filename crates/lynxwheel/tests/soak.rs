//! Short soak tests: nodes as processes, injected faults and checked guarantees.

use {
    lynxwheel_soak::{SoakPlan, count_nodes_with_latest_keys, run_soak},
    std::path::Path,
    tokio::runtime::Runtime,
};

/// Runs a seed with three nodes and returns the violated guarantees.
fn run_seed(seed: u64, length_ms: u64, adjust: fn(SoakPlan) -> SoakPlan) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
    let plan = adjust(SoakPlan::new(program, seed, length_ms, 3));
    let runtime = Runtime::new().expect("a runtime");
    let report = runtime.block_on(run_soak(&plan)).expect("a run");
    report.violations
}

// Each case needs a seed of its own, which names its directory.
macro_rules! seeds {
    ($($(#[$doc:meta])* $name:ident: $seed:literal, $length_ms:literal, $adjust:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let violations = run_seed($seed, $length_ms, $adjust);
            assert_eq!(violations, Vec::<String>::new());
        })*
    };
}

seeds! {
    /// Guards against guarantees that overlapping faults of nodes, links and endpoints violate, and
    /// against accepted jobs that never end.
    overlapping_faults_violate_no_guarantee: 1, 4_000, |plan| plan;

    /// Guards against tasks that run twice and lost results when the delegates that call endpoints
    /// for the owner fail, too.
    delegate_faults_violate_no_guarantee: 2, 4_000, |plan| plan.with_small_nodes(true);

    /// Guards against acknowledged ends that the next owner does not know.
    late_appends_violate_no_guarantee: 4, 8_000, |plan| plan.with_late_appends(true);

    /// Guards against tasks that crash endpoints without end, and against starts beyond a capacity
    /// that has shrunk.
    unstable_endpoints_violate_no_guarantee: 5, 4_000, |plan| plan.with_unstable_endpoints(true);

    /// Guards against runs of cancelled jobs that go on, and rooms and quotas that are given away,
    /// when an endpoint refuses a stop.
    refused_orders_violate_no_guarantee: 7, 2_000, |plan| plan.with_refused_orders(true);

    /// Guards against refused jobs that run, refusals that don't say so or when to come back,
    /// accepted jobs that are lost in a backlog when owners are killed, and accounts that get
    /// nothing while another one floods.
    overload_violates_no_guarantee: 8, 8_000, |plan| plan.with_overload(true);

    /// Guards against nodes that read the store seldom and miss a change of the owner, of the
    /// configuration or of their access to the store.
    long_polls_violate_no_guarantee: 9, 4_000, |plan| plan.with_long_polls(true);

    /// Guards against done tasks that start again when the ends of an endpoint's incarnation are
    /// taken for those of an earlier one with its id.
    kept_ids_violate_no_guarantee: 23, 4_000, |plan| plan.with_kept_ids(true);

    /// Guards against runs that are taken for over while a former owner, cut off with their endpoints,
    /// extends their leases.
    endpoints_cut_off_with_their_owner: 11, 0, |plan| plan.with_partitions(true);

    /// Guards against crashes between two owners that are not charged to the tasks that cause them, as the
    /// endpoint is back under its id.
    crashes_under_kept_ids_are_charged: 1_108, 10_000,
        |plan| plan.with_kept_ids(true).with_unstable_endpoints(true);
}

macro_rules! isolated_nodes {
    ($($(#[$doc:meta])* $name:ident: $seed:literal, $adjust:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
            let adjust: fn(SoakPlan) -> SoakPlan = $adjust;
            let plan = adjust(SoakPlan::new(program, $seed, 0, 3));
            let runtime = Runtime::new().expect("a runtime");
            let current = runtime.block_on(count_nodes_with_latest_keys(&plan));
            assert_eq!(current.expect("a run"), plan.nodes);
        })*
    };
}

isolated_nodes! {
    /// Guards against nodes without access to the store that accept revoked keys or reject new ones.
    nodes_without_the_store_learn_keys_from_peers: 3, |plan| plan;

    /// Guards against nodes that learn of new keys only with the end of a long poll.
    seldom_polling_nodes_without_the_store_learn_keys_from_peers: 10, |plan| plan.with_long_polls(true);
}
