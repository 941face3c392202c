//! Cost of lists and of change detection by the number of jobs.

use {
    divan::Bencher,
    lynxwheel_api::resource_view,
    lynxwheel_protocol::{Kind, Record, RecordBody, Resource, ResourceRef, WriterId, parse_spec},
    lynxwheel_state::FleetState,
    serde_json::{Value, json},
};

/// Numbers of jobs; the last one is the design capacity.
const JOB_COUNTS: [u32; 3] = [5_000, 10_000, 20_000];

/// Number of resources on a page.
const PAGE_SIZE: usize = 1_000;

fn main() {
    divan::main();
}

fn apply(state: &mut FleetState, body: RecordBody) {
    let offset = state.offset() + 1;
    let id = WriterId {
        incarnation: 1,
        sequence: offset,
    };
    let record = Record {
        id,
        time_ms: offset,
        body,
    };
    assert!(state.apply(offset, &record).is_accepted(), "{record:?}");
}

fn put(state: &mut FleetState, kind: Kind, name: &str, spec: &Value) {
    let resource: Resource = parse_spec(kind, name, spec).expect("a declaration");
    let body = RecordBody::Put {
        resource: Box::new(resource),
        if_revision: None,
    };
    apply(state, body);
}

fn job(state: &mut FleetState, number: u32, run_time_ms: u32) {
    let spec = json!({ "pool": "pool", "team": "team", "run_time_ms": run_time_ms });
    put(state, Kind::Job, &format!("job-{number:06}"), &spec);
}

fn fleet(jobs: u32) -> FleetState {
    let mut state = FleetState::new();
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    apply(&mut state, join);
    let pool = json!({ "size": 1, "budget": { "min_available": { "count": 0 } } });
    put(&mut state, Kind::Pool, "pool", &pool);
    put(&mut state, Kind::Team, "team", &json!({}));
    for number in 0..jobs {
        job(&mut state, number, 1);
    }
    state
}

#[divan::bench(args = JOB_COUNTS)]
fn page_of_1000(bencher: Bencher, jobs: u32) {
    let state = fleet(jobs);
    bencher.bench(|| {
        let names = state.names(Kind::Job);
        let page = names.iter().take(PAGE_SIZE);
        let views =
            page.filter_map(|name| resource_view(&state, &ResourceRef::new(Kind::Job, name)));
        serde_json::to_vec(&views.collect::<Vec<_>>()).map(|bytes| bytes.len())
    });
}

#[divan::bench(args = JOB_COUNTS)]
fn changes_after_one_write(bencher: Bencher, jobs: u32) {
    let earlier = fleet(jobs);
    let mut now = earlier.clone();
    job(&mut now, jobs / 2, 2);
    bencher.bench(|| Kind::ALL.map(|kind| now.changed_since(&earlier, kind).changed.len()));
}
