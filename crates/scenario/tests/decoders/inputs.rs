//! Inputs and the loop over them.

use {
    proptest::{
        collection::vec,
        prelude::{Just, Strategy, any},
        prop_oneof,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::fs,
};

/// Inputs of one test.
const CASES: u32 = 4_096;

/// Bytes of a random input at most.
const MAX_BYTES: usize = 2_048;

/// Changes to a valid value at most.
const MAX_CHANGES: usize = 6;

/// Memory that the whole process may have used at its highest, in KiB.
const MAX_MEMORY_KIB: u64 = 512 * 1024;

/// Depth of nested arrays that a decoder must refuse or bear.
const DEPTH: usize = 200_000;

/// Starts of messagepack values that promise 4 GiB of bytes, text, rows or entries.
const GREEDY: [[u8; 5]; 4] = [
    [0xc6, 0xff, 0xff, 0xff, 0xff],
    [0xdb, 0xff, 0xff, 0xff, 0xff],
    [0xdd, 0xff, 0xff, 0xff, 0xff],
    [0xdf, 0xff, 0xff, 0xff, 0xff],
];

/// One change to a valid value.
#[derive(Clone, Debug)]
enum Change {
    Set(usize, u8),
    Cut(usize),
    Double(usize, usize),
    Greedy(usize, usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let length = bytes.len();
        if length == 0 {
            return;
        }
        match *self {
            Self::Set(at, byte) => bytes[at % length] = byte,
            Self::Cut(at) => bytes.truncate(at % length),
            Self::Double(at, count) => {
                let part = bytes[at % length..].iter().take(count % 64).copied();
                let part: Vec<u8> = part.collect();
                bytes.splice(at % length..at % length, part);
            }
            Self::Greedy(at, kind) => {
                let start = GREEDY[kind % GREEDY.len()];
                bytes.splice(at % length..at % length, start);
            }
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Change::Set(at, byte)),
        any::<usize>().prop_map(Change::Cut),
        (any::<usize>(), any::<usize>()).prop_map(|(at, count)| Change::Double(at, count)),
        (any::<usize>(), any::<usize>()).prop_map(|(at, kind)| Change::Greedy(at, kind)),
    ]
}

/// Random bytes, valid values with changes, and deep nesting.
pub fn inputs(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let changed =
        (0..valid.len(), vec(change(), 1..=MAX_CHANGES)).prop_map(move |(row, changes)| {
            let mut bytes = valid[row].clone();
            for change in &changes {
                change.apply(&mut bytes);
            }
            bytes
        });
    prop_oneof![
        10 => changed,
        10 => vec(any::<u8>(), 0..MAX_BYTES),
        1 => (0..GREEDY.len()).prop_map(|kind| GREEDY[kind].to_vec()),
    ]
}

/// Arrays, maps and blocks in each other.
pub fn nested() -> Vec<Vec<u8>> {
    [0x91, 0x81, b'[', b'{', b'(']
        .into_iter()
        .map(|byte| vec![byte; DEPTH])
        .collect()
}

/// Decodes every input; `decode` must neither panic nor take memory without bound.
pub fn run<T: std::fmt::Debug>(
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
    assert!(highest_memory_kib() < MAX_MEMORY_KIB, "too much memory");
}

/// Returns the text of bytes, with what is no UTF-8 replaced.
pub fn texts(valid: &[&str]) -> impl Strategy<Value = String> + use<> {
    let valid: Vec<Vec<u8>> = valid.iter().map(|text| text.as_bytes().to_vec()).collect();
    prop_oneof![
        inputs(valid).prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        Just(String::new()),
    ]
}

fn highest_memory_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).expect("KiB")
}
