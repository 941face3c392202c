//! A short soak of the program: nodes as processes, faults from outside, promises checked.

use {
    lynxwheel_soak::{SoakPlan, count_nodes_with_latest_keys, run_soak},
    std::path::Path,
    tokio::runtime::Runtime,
};

/// Plays a seed with three nodes and returns the promises that were broken.
fn broken(seed: u64, length_ms: u64, are_nodes_small: bool) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
    let plan = SoakPlan::new(program, seed, length_ms, 3).with_small_nodes(are_nodes_small);
    let runtime = Runtime::new().expect("a runtime");
    let report = runtime.block_on(run_soak(&plan)).expect("a run");
    report.violations
}

macro_rules! seeds {
    ($($(#[$story:meta])* $name:ident: $seed:literal, $length_ms:literal, $are_nodes_small:literal;)*) => {
        $($(#[$story])* #[test] fn $name() {
            let broken = broken($seed, $length_ms, $are_nodes_small);
            assert_eq!(broken, Vec::<String>::new());
        })*
    };
}

seeds! {
    /// Nodes are killed, paused and stopped, links are cut and endpoints misbehave, one over the
    /// other. Callers and endpoints see no broken promise, and every accepted job comes to its end.
    overlapping_faults_break_no_promise: 1, 4_000, false;

    /// The owner is too small to call every endpoint, and the nodes that do it for it are killed, paused
    /// and cut off, too. No task runs twice, no end is lost.
    faults_of_nodes_that_call_for_the_owner_break_no_promise: 2, 4_000, true;
}

/// Guards against nodes that the store turns away and that go on serving keys which were taken away, or
/// refuse new ones.
#[test]
fn nodes_cut_off_the_store_learn_keys_from_others() {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
    let plan = SoakPlan::new(program, 3, 0, 3);
    let runtime = Runtime::new().expect("a runtime");
    let current = runtime
        .block_on(count_nodes_with_latest_keys(&plan))
        .expect("a run");
    assert_eq!(current, plan.nodes);
}
