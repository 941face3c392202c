//! A job whose only executor with its label crashes three times.

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
        thread,
        time::{Duration, Instant},
    },
};

const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(case: &Case) -> Verdict {
    let store = Store::default();
    let fleet = Fleet::new(store.clone(), case.record.clone(), 2_000);
    let store_server = Server::start(0, store.handler()).expect("a store");
    let cloud = Cloud::new(fleet.clone());
    let cloud_server = Server::start(0, cloud.handler()).expect("a cloud");
    store.put("keyed.op", "config", &nodes::config(3, "lane", 3));
    for index in 0..9 {
        let kind = if index == 8 { "b" } else { "a" };
        fleet.add(&format!("m-{index}"), "lane", &[kind, &format!("r1-{}", index / 4)], false);
    }
    let (platform, machines) = (store_server.address, cloud_server.address);
    let nodes: Vec<Node> = (0..3)
        .map(|index| Node::start(&format!("frontend-{index}"), &case.folder, platform, machines, 2.0))
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        return Verdict::NotRun("the nodes aren't ready".into());
    }
    thread::sleep(Duration::from_millis(2_000));
    let body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\
                \"long_running\":true,\"requires\":\"b\"}]}";
    if !nodes::submit(&case.record, &nodes, JOB, body) {
        return Verdict::NotRun("the job isn't accepted".into());
    }
    let task = format!("{JOB}.0.0.0");
    for _ in 0..3 {
        let until = Instant::now() + Duration::from_secs(12);
        while fleet.machine_of(&task).is_none() {
            if Instant::now() > until {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(3_000));
        if case.has_trouble && fleet.machine_of(&task).is_some() {
            fleet.crash(8, "down");
            thread::sleep(Duration::from_millis(1_500));
            fleet.start(8);
        }
    }
    thread::sleep(Duration::from_millis(12_000));
    let mut states = Vec::new();
    for node in &nodes {
        states.push(nodes::state(&case.record, node, JOB).unwrap_or_default());
    }
    let runs = fleet.machine_of(&task).is_some();
    let world = fleet.lock();
    let starts = world.starts.iter().filter(|start| start.task == task).count();
    let what = format!("shown as {states:?}; {starts} starts, no end `failed`; runs now: {runs}");
    case.record.line(&what);
    if states.iter().any(|state| state == "failed" || state == "cancelled" || state == "gone") {
        Verdict::Broken(what)
    } else if !runs {
        Verdict::Broken(format!("the task doesn't run: {what}"))
    } else {
        Verdict::Held
    }
}
