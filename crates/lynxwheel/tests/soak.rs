//! A short soak of the program: nodes as processes, faults from outside, promises checked.

use {
    lynxwheel_soak::{SoakPlan, run_soak},
    std::path::Path,
    tokio::runtime::Runtime,
};

/// Plays a seed with three nodes and returns the promises that were broken.
fn broken(seed: u64, length_ms: u64) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxwheel"));
    let plan = SoakPlan::new(program, seed, length_ms, 3);
    let runtime = Runtime::new().expect("a runtime");
    let verdict = runtime.block_on(run_soak(&plan)).expect("a run");
    verdict.broken
}

macro_rules! seeds {
    ($($(#[$story:meta])* $name:ident: $seed:literal, $length_ms:literal;)*) => {
        $($(#[$story])* #[test] fn $name() {
            assert_eq!(broken($seed, $length_ms), Vec::<String>::new());
        })*
    };
}

seeds! {
    /// Nodes are killed, paused and stopped, links are cut and endpoints misbehave, one over the
    /// other. Callers and endpoints see no broken promise, and every accepted job comes to its end.
    overlapping_faults_break_no_promise: 1, 4_000;
}
