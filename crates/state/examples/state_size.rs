//! Prints the size of a state in memory and as a snapshot: `state_size QUARTERS [KEYS]`.
//!
//! Each process measures one size, since memory freed by an earlier state would be reused.

#[path = "../benches/full_size/mod.rs"]
mod full_size;

use {
    lynxwheel_state::{decode_snapshot, encode_snapshot},
    std::{env, fs, time::Instant},
};

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let quarters = argument(1).unwrap_or(4);
    let keys = argument(2).unwrap_or(0);
    let empty_bytes = resident_bytes();
    let mut built = full_size::fleet(quarters);
    full_size::add_keys(&mut built, keys);
    println!(
        "built_bytes {}",
        resident_bytes().saturating_sub(empty_bytes)
    );
    let started = Instant::now();
    let bytes = encode_snapshot(&built).expect("a state");
    println!("save_ms {:.1}", started.elapsed().as_secs_f64() * 1_000.0);
    drop(built);
    let before_bytes = resident_bytes();
    let started = Instant::now();
    let state = decode_snapshot(&bytes).expect("own bytes");
    println!(
        "restore_ms {:.1}",
        started.elapsed().as_secs_f64() * 1_000.0
    );
    // Memory freed by the first state is reused, so the growth is at most that of two states.
    let records = full_size::maintenance(&state, 1).len();
    println!(
        "quarters {quarters} keys {keys} records {records} snapshot_bytes {}",
        bytes.len()
    );
    println!(
        "grown_bytes {}",
        resident_bytes().saturating_sub(before_bytes)
    );
    println!("resident_bytes {}", resident_bytes());
}

fn argument(position: usize) -> Option<u64> {
    env::args().nth(position)?.parse().ok()
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}
