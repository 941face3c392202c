//! Checks the properties of the fold on random histories: `fold_soak [FIRST_SEED] [SEEDS]`.
//!
//! Prints the first seed that fails with its minimal history, to be added to
//! `tests/properties.rs`.

#[path = "../tests/fold_model/mod.rs"]
mod fold_model;

use {
    fold_model::{check, histories},
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    std::{env, process::ExitCode, time::SystemTime},
};

/// Number of histories for each seed.
const CASES: u32 = 128;

/// Maximum number of steps in a history.
const MAX_STEPS: usize = 120;

/// Default number of seeds.
const SEEDS: u64 = 100;

fn main() -> ExitCode {
    let arguments: Vec<u64> = env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let first = arguments.first().copied().unwrap_or_else(random_seed);
    let count = arguments.get(1).copied().unwrap_or(SEEDS);
    for seed in first..first.saturating_add(count) {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let config = Config {
            cases: CASES,
            failure_persistence: None,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(config, rng);
        if let Err(error) = runner.run(&histories(MAX_STEPS), |history| check(&history)) {
            println!("seed {seed} fails: {error}");
            return ExitCode::FAILURE;
        }
    }
    println!("seeds {first} to {} hold", first + count - 1);
    ExitCode::SUCCESS
}

fn random_seed() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
