//! Gangs whose tasks save progress, and a wave of upkeep of some of the machines on which they run.

use {
    crate::{
        Case, Verdict,
        cloud::Cloud,
        fleet::Fleet,
        http::Server,
        nodes::{self, Node},
        store::Store,
    },
    std::{
        collections::BTreeMap,
        thread,
        time::{Duration, Instant},
    },
};

const JOBS: usize = 6;
const SAVE_MS: u64 = 500;

fn job_id(index: usize) -> String {
    format!("5c0e{:04x}7a21d94b", 0x1000 + index)
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::default();
    let fleet = Fleet::new(store.clone(), case.record.clone(), SAVE_MS);
    let store_server = Server::start(0, store.handler()).expect("a store");
    let cloud = Cloud::new(fleet.clone());
    let cloud_server = Server::start(0, cloud.handler()).expect("a cloud");
    store.put("keyed.op", "config", &nodes::config(3, "lane", 3));
    for index in 0..9 {
        fleet.add(&format!("m-{index}"), "lane", &["a", &format!("r1-{}", index / 4)], false);
    }
    let (platform, machines) = (store_server.address, cloud_server.address);
    let nodes: Vec<Node> = (0..3)
        .map(|index| Node::start(&format!("frontend-{index}"), &case.folder, platform, machines, 0.5))
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        return Verdict::NotRun("the nodes aren't ready".into());
    }
    thread::sleep(Duration::from_millis(2_000));
    for index in 0..JOBS {
        let spec = "work=20000 gang=3 saves";
        let body = format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":3,\"cpu\":4000,\"mem_mb\":1024,\
             \"estimated_ms\":20000,\"gang\":true,\"anti_affinity\":1,\"saves_progress\":true}}]}}"
        );
        if !nodes::submit(&case.record, &nodes, &job_id(index), &body) {
            return Verdict::NotRun("a job isn't accepted".into());
        }
    }
    thread::sleep(Duration::from_millis(2_000));
    if case.has_trouble {
        let wave = "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-2\",\"m-3\"],\"duration_s\":24,\
                    \"max_count\":2}";
        case.record.line(&format!("the operator writes op/wave/1: {wave}"));
        store.put("keyed.op", "wave/1", wave);
    }
    let until = Instant::now() + Duration::from_secs(75);
    let mut open: Vec<usize> = (0..JOBS).collect();
    while !open.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
        open.retain(|&index| {
            let state = nodes::state(&case.record, &nodes[index % nodes.len()], &job_id(index));
            state.as_deref() != Some("completed")
        });
    }
    let world = fleet.lock();
    let mut gangs: BTreeMap<(&str, u64), Vec<&str>> = BTreeMap::new();
    for start in &world.starts {
        let step = start.task.rsplit_once('.').map_or("", |(step, _)| step);
        gangs.entry((step, start.run)).or_default().push(&start.checkpoint);
    }
    let mut differing = Vec::new();
    for ((step, run), checkpoints) in &gangs {
        case.record.line(&format!("gang {step} run {run} was told to start with {checkpoints:?}"));
        if checkpoints.iter().any(|known| *known != checkpoints[0]) {
            differing.push(format!("{step} run {run} with {checkpoints:?}"));
        }
    }
    if !open.is_empty() {
        case.record.line(&format!("jobs not completed: {open:?}"));
    }
    if differing.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "{} of {} gang runs were started with different checkpoints: {}",
            differing.len(),
            gangs.len(),
            differing.join("; ")
        ))
    }
}
