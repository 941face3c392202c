//! Cost of folding, publishing, encoding and decoding the state at several fleet sizes.

mod full_size;

use {
    divan::{Bencher, black_box, counter::ItemsCount},
    full_size::{fleet, maintenance},
    lynxwheel_protocol::{Record, decode_record, encode_record},
    lynxwheel_state::{FleetState, decode_snapshot, encode_snapshot},
};

/// Fleet sizes to measure, in quarters of the full size.
const FLEET_QUARTERS: [u64; 4] = [1, 2, 4, 8];

/// Number of records in one iteration.
const RECORDS: u64 = 8_000;

fn main() {
    divan::main();
}

fn apply_all(state: &mut FleetState, records: &[Record]) {
    for record in records {
        let offset = state.offset() + 1;
        black_box(state.apply(offset, record));
    }
}

/// Folds decoded records.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 20)]
fn fold(bencher: Bencher, quarters: u64) {
    let state = fleet(quarters);
    let records = maintenance(&state, RECORDS);
    let mut check = state.clone();
    let accepted = records
        .iter()
        .filter(|record| check.apply(check.offset() + 1, record).is_accepted())
        .count();
    assert_eq!(accepted, records.len());
    bencher
        .counter(ItemsCount::new(records.len()))
        .with_inputs(|| state.clone())
        .bench_local_values(|mut state| {
            apply_all(&mut state, &records);
            state
        });
}

/// Decodes and folds records.
#[divan::bench(sample_count = 20)]
fn decode_and_fold(bencher: Bencher) {
    let state = fleet(4);
    let encoded: Vec<Vec<u8>> = maintenance(&state, RECORDS)
        .iter()
        .map(|record| encode_record(record).expect("small"))
        .collect();
    bencher
        .counter(ItemsCount::new(encoded.len()))
        .with_inputs(|| state.clone())
        .bench_local_values(|mut state| {
            for bytes in &encoded {
                let offset = state.offset() + 1;
                let record = decode_record(bytes).expect("own bytes");
                black_box(state.apply(offset, &record));
            }
            state
        });
}

/// Folds records in batches and publishes a copy of the state after each batch.
#[divan::bench(args = [1, 16, 256], sample_count = 20)]
fn fold_and_publish(bencher: Bencher, batch: usize) {
    let state = fleet(4);
    let records = maintenance(&state, RECORDS / 8);
    bencher
        .counter(ItemsCount::new(records.len()))
        .with_inputs(|| state.clone())
        .bench_local_values(|mut state| {
            let mut published = state.clone();
            for batch in records.chunks(batch) {
                apply_all(&mut state, batch);
                published = state.clone();
            }
            (state, published)
        });
}

/// Encodes the state.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 10)]
fn save_state(bencher: Bencher, quarters: u64) {
    let state = fleet(quarters);
    bencher.bench_local(|| encode_snapshot(black_box(&state)));
}

/// Decodes the state.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 10)]
fn restore_state(bencher: Bencher, quarters: u64) {
    let bytes = encode_snapshot(&fleet(quarters)).expect("a state");
    bencher.bench_local(|| decode_snapshot(black_box(&bytes)));
}
