//! Properties of the fold, checked on random histories of records.

mod fold_model;

use {
    fold_model::{check, histories},
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of histories for each seed.
const CASES: u32 = 128;

/// Maximum number of steps in a history.
const MAX_STEPS: usize = 120;

macro_rules! seeds {
    ($($(#[$doc:meta])* $name:ident: $seed:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut seed = [0; 32];
            seed[..8].copy_from_slice(&u64::to_le_bytes($seed));
            let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
            let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
            let mut runner = TestRunner::new_with_rng(config, rng);
            runner.run(&histories(MAX_STEPS), |history| check(&history)).expect("holds");
        })*
    };
}

seeds! {
    histories_of_seed_1: 1;
    histories_of_seed_2: 2;
    histories_of_seed_3: 3;
}
