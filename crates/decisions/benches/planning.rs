//! Cost of a planning round at several fleet sizes.

#[path = "../../state/benches/full_size/mod.rs"]
mod full_size;

use {
    divan::{Bencher, black_box},
    full_size::{fleet, maintenance},
    lynxwheel_decisions::{
        Tuning, plan_claims, plan_give_ups, plan_placements, plan_quarantines, review_claims,
    },
    lynxwheel_protocol::{NodeName, Record, RecordBody, WriterId},
    lynxwheel_state::FleetState,
};

/// Fleet sizes to measure, in quarters of the full size.
const FLEET_QUARTERS: [u64; 4] = [1, 2, 4, 8];

/// Maximum number of starts planned in one round.
const MAX_STARTS: usize = 256;

fn main() {
    divan::main();
}

/// Builds a fleet on which a wave has maintained VMs and no more jobs fit.
fn full_fleet(quarters: u64) -> FleetState {
    let mut state = fleet(quarters);
    for record in maintenance(&state, 100 * quarters) {
        state.apply(state.offset() + 1, &record);
    }
    let tuning = Tuning::new(state.weights());
    loop {
        let plan = plan_placements(&state, &tuning, state.time_ms(), MAX_STARTS);
        let mut has_started = false;
        for start in plan.starts {
            let offset = state.offset() + 1;
            let record = Record {
                id: WriterId {
                    incarnation: 1,
                    sequence: offset,
                },
                time_ms: state.time_ms(),
                body: RecordBody::Start {
                    job: start.job,
                    attempt: start.attempt,
                    vm: start.vm,
                    reserved: start.reserved,
                    holder: "node-1".into(),
                },
            };
            has_started |= state.apply(offset, &record).is_accepted();
        }
        if !has_started {
            return state;
        }
    }
}

/// Runs all planning functions once.
fn round(state: &FleetState, nodes: &[NodeName]) {
    let now_ms = state.time_ms();
    let tuning = Tuning::new(state.weights());
    black_box(review_claims(state, nodes));
    black_box(plan_claims(state, &tuning, now_ms));
    black_box(plan_placements(state, &tuning, now_ms, MAX_STARTS));
    black_box(plan_give_ups(state, now_ms));
    black_box(plan_quarantines(state));
}

/// A round on a fleet whose jobs are all pending.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 20)]
fn round_with_all_waiting(bencher: Bencher, quarters: u64) {
    let state = fleet(quarters);
    let nodes = ["node-1".into()];
    bencher.bench_local(|| round(&state, &nodes));
}

/// A round on a fleet on which no more jobs fit.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 20)]
fn round_on_full_fleet(bencher: Bencher, quarters: u64) {
    let state = full_fleet(quarters);
    let nodes = ["node-1".into()];
    bencher.bench_local(|| round(&state, &nodes));
}

/// Planning of claims only, on a fleet on which no more jobs fit.
#[divan::bench(args = FLEET_QUARTERS, sample_count = 20)]
fn claims_on_full_fleet(bencher: Bencher, quarters: u64) {
    let state = full_fleet(quarters);
    let tuning = Tuning::new(state.weights());
    bencher.bench_local(|| black_box(plan_claims(&state, &tuning, state.time_ms())));
}
