//! Checks random histories for as long as asked: `fold_soak [FIRST_SEED] [SEEDS]`.
//!
//! A seed that fails is printed with its smallest history; it is kept as a case of
//! `tests/properties.rs`.

#[path = "../tests/fold_model/mod.rs"]
mod fold_model;

use {
    fold_model::{check, histories},
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    std::{env, process::ExitCode, time::SystemTime},
};

/// Histories for each seed.
const CASES: u32 = 128;

/// Steps of one history at most.
const MAX_STEPS: usize = 120;

/// Seeds when their number is not given.
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
