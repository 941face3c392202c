//! Cost of a round of planning at several sizes.

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

/// Quarters of the full size that are measured.
const QUARTERS: [u64; 4] = [1, 2, 4, 8];

/// Starts planned in one round.
const MAX_STARTS: usize = 256;

fn main() {
    divan::main();
}

/// Places jobs until no more fit, and lets a wave maintain a few VMs.
fn busy_fleet(quarters: u64) -> FleetState {
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

/// Plans everything that one round plans.
fn round(state: &FleetState, nodes: &[NodeName]) {
    let now_ms = state.time_ms();
    let tuning = Tuning::new(state.weights());
    black_box(review_claims(state, nodes));
    black_box(plan_claims(state, &tuning, now_ms));
    black_box(plan_placements(state, &tuning, now_ms, MAX_STARTS));
    black_box(plan_give_ups(state, now_ms));
    black_box(plan_quarantines(state));
}

/// A round on a fleet whose jobs all wait.
#[divan::bench(args = QUARTERS, sample_count = 20)]
fn round_with_all_waiting(bencher: Bencher, quarters: u64) {
    let state = fleet(quarters);
    let nodes = ["node-1".into()];
    bencher.bench_local(|| round(&state, &nodes));
}

/// A round on a fleet on which no more jobs fit.
#[divan::bench(args = QUARTERS, sample_count = 20)]
fn round_on_full_fleet(bencher: Bencher, quarters: u64) {
    let state = busy_fleet(quarters);
    let nodes = ["node-1".into()];
    bencher.bench_local(|| round(&state, &nodes));
}

/// Claims alone on a fleet on which no more jobs fit.
#[divan::bench(args = QUARTERS, sample_count = 20)]
fn claims_on_full_fleet(bencher: Bencher, quarters: u64) {
    let state = busy_fleet(quarters);
    let tuning = Tuning::new(state.weights());
    bencher.bench_local(|| black_box(plan_claims(&state, &tuning, state.time_ms())));
}
