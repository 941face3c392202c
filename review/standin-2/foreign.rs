//! The registry has the entry of an executor of another installation, for a service that isn't named
//! here.

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
        collections::BTreeSet,
        thread,
        time::{Duration, Instant},
    },
};

/// The other installation's fence number.
const FOREIGN_FENCE: u64 = 100_000;
const JOBS: usize = 6;
/// Tasks of each job.
const TASKS: usize = 6;
/// Time after the end of the traffic at which jobs are asked for, in milliseconds.
const FINISH_MS: u64 = 14_000;

fn job_id(index: usize) -> String {
    format!("5c0e{:04x}7a21d94b", 0x2000 + index)
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::default();
    let fleet = Fleet::new(store.clone(), case.record.clone(), 2_000);
    let cloud = Cloud::new(fleet.clone());
    let store_server = Server::start(0, store.handler()).expect("a store");
    let cloud_server = Server::start(0, cloud.handler()).expect("a cloud");
    store.put("keyed.op", "config", &nodes::config(3, "lane", 3));
    for index in 0..9 {
        fleet.add(&format!("m-{index}"), "lane", &["a", &format!("r1-{}", index / 4)], true);
    }
    let (platform, machines) = (store_server.address, cloud_server.address);
    let nodes: Vec<Node> = (0..3)
        .map(|index| Node::start(&format!("frontend-{index}"), &case.folder, platform, machines, 2.0))
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        return Verdict::NotRun("the nodes aren't ready".into());
    }
    thread::sleep(Duration::from_millis(2_000));
    let chain = "{\"spec\":\"work=2000\",\"steps\":[\
                 {\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":2000},\
                 {\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":2000,\"depends_on\":[0]},\
                 {\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":2000,\"depends_on\":[1]}]}";
    for index in 0..JOBS {
        if !nodes::submit(&case.record, &nodes, &job_id(index), chain) {
            return Verdict::NotRun("a job isn't accepted".into());
        }
    }
    thread::sleep(Duration::from_millis(1_000));
    if case.has_trouble {
        case.record.line("another writer's entry comes, for the service `harbour`");
        fleet.add_foreign("x-1", "harbour", FOREIGN_FENCE);
    }
    // A job's turn has come whenever a step of it has ended and the next one hasn't begun.
    let ended = Instant::now();
    let mut idle_since: Vec<Option<Instant>> = vec![None; JOBS];
    let mut longest_idle = vec![Duration::ZERO; JOBS];
    while ended.elapsed() < Duration::from_millis(FINISH_MS) {
        thread::sleep(Duration::from_millis(50));
        for index in 0..JOBS {
            let id = job_id(index);
            let is_idle = !fleet.is_job_running(&id) && fleet.done_tasks(&id) < TASKS;
            let since = is_idle.then(|| idle_since[index].unwrap_or_else(Instant::now));
            idle_since[index] = since;
            let idle = since.map_or(Duration::ZERO, |since| since.elapsed());
            longest_idle[index] = longest_idle[index].max(idle);
        }
    }
    let mut states = Vec::new();
    for index in 0..JOBS {
        let state = nodes::state(&case.record, &nodes[index % nodes.len()], &job_id(index));
        states.push(state.unwrap_or_else(|| "no answer".into()));
    }
    let body = "{\"spec\":\"work=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\
                \"estimated_ms\":1000}]}";
    let later = (JOBS..JOBS + 6).filter(|&index| {
        let node = &nodes[index % nodes.len()];
        let answer = nodes::ask(&case.record, node, "POST", &job_id(index), body);
        answer.is_some_and(|(status, _)| status == 200)
    });
    let later = later.count();
    let epochs: BTreeSet<u64> = fleet.lock().starts.iter().map(|start| start.fence).collect();
    let idle: Vec<u128> = longest_idle.iter().map(Duration::as_millis).collect();
    let what = format!(
        "jobs are {states:?}; with nothing running for {idle:?} ms at most; {later} of 6 later jobs \
         accepted; starts under {} owners; calls to the other installation's executor: {}",
        epochs.len(),
        fleet.lock().foreign_calls.len()
    );
    case.record.line(&what);
    let is_lost = |index: usize| {
        let is_answered = ["queued", "running", "completed"].contains(&states[index].as_str());
        !is_answered || idle[index] >= 3_000
    };
    if (0..JOBS).any(is_lost) { Verdict::Broken(what) } else { Verdict::Held }
}
