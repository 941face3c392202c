//! Generators of inputs, and the loop that tests them.

use {
    proptest::{
        collection::vec,
        prelude::{Just, Strategy, any},
        prop_oneof,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::fs,
};

/// Number of inputs in one test.
const CASES: u32 = 4_096;

/// Maximum size of a random input, in bytes.
const MAX_BYTES: usize = 2_048;

/// Maximum number of changes to a valid value.
const MAX_CHANGES: usize = 6;

/// Maximum peak memory of the test process, in KiB.
const MAX_MEMORY_KIB: u64 = 512 * 1024;

/// Depth of nested values that a decoder must reject or decode.
const NESTING_DEPTH: usize = 200_000;

/// Messagepack prefixes of 4 GiB of bytes or text, or of as many array items or map entries.
const OVERSIZED_PREFIXES: [[u8; 5]; 4] = [
    [0xc6, 0xff, 0xff, 0xff, 0xff],
    [0xdb, 0xff, 0xff, 0xff, 0xff],
    [0xdd, 0xff, 0xff, 0xff, 0xff],
    [0xdf, 0xff, 0xff, 0xff, 0xff],
];

/// A change to a valid value.
#[derive(Clone, Debug)]
enum Change {
    Set(usize, u8),
    Truncate(usize),
    Repeat(usize, usize),
    InsertPrefix(usize, usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let length = bytes.len();
        if length == 0 {
            return;
        }
        match *self {
            Self::Set(at, byte) => bytes[at % length] = byte,
            Self::Truncate(at) => bytes.truncate(at % length),
            Self::Repeat(at, count) => {
                let part = bytes[at % length..].iter().take(count % 64).copied();
                let part: Vec<u8> = part.collect();
                bytes.splice(at % length..at % length, part);
            }
            Self::InsertPrefix(at, prefix) => {
                let start = OVERSIZED_PREFIXES[prefix % OVERSIZED_PREFIXES.len()];
                bytes.splice(at % length..at % length, start);
            }
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Change::Set(at, byte)),
        any::<usize>().prop_map(Change::Truncate),
        (any::<usize>(), any::<usize>()).prop_map(|(at, count)| Change::Repeat(at, count)),
        (any::<usize>(), any::<usize>()).prop_map(|(at, prefix)| Change::InsertPrefix(at, prefix)),
    ]
}

/// Generates random bytes, changed valid values and oversized prefixes.
pub fn inputs(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let changed =
        (0..valid.len(), vec(change(), 1..=MAX_CHANGES)).prop_map(move |(index, changes)| {
            let mut bytes = valid[index].clone();
            for change in &changes {
                change.apply(&mut bytes);
            }
            bytes
        });
    prop_oneof![
        10 => changed,
        10 => vec(any::<u8>(), 0..MAX_BYTES),
        1 => (0..OVERSIZED_PREFIXES.len()).prop_map(|prefix| OVERSIZED_PREFIXES[prefix].to_vec()),
    ]
}

/// Returns deeply nested arrays, maps and blocks.
pub fn nested() -> Vec<Vec<u8>> {
    [0x91, 0x81, b'[', b'{', b'(']
        .into_iter()
        .map(|byte| vec![byte; NESTING_DEPTH])
        .collect()
}

/// Decodes every input; `decode` must return `true` without a panic or excessive memory use.
pub fn check_all<T: std::fmt::Debug>(
    seed: u8,
    inputs: &impl Strategy<Value = T>,
    decode: impl Fn(T) -> bool,
) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let outcome = TestRunner::new_with_rng(config, rng).run(inputs, |input| {
        assert!(decode(input));
        Ok(())
    });
    outcome.expect("no panic");
    assert!(peak_memory_kib() < MAX_MEMORY_KIB, "memory limit exceeded");
}

/// Generates texts like [`inputs`], with invalid UTF-8 replaced.
pub fn texts(valid: &[&str]) -> impl Strategy<Value = String> + use<> {
    let valid: Vec<Vec<u8>> = valid.iter().map(|text| text.as_bytes().to_vec()).collect();
    prop_oneof![
        inputs(valid).prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        Just(String::new()),
    ]
}

fn peak_memory_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).expect("KiB")
}
