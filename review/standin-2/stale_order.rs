//! The owner is cut off while its order of an upkeep is under way, and another node takes over.

use {
    crate::{
        Case, Verdict,
        cloud::Cloud,
        fleet::Fleet,
        http::Server,
        link::Link,
        nodes::{self, Node},
        store::Store,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// How long the machine is cut off, in milliseconds.
const CUT_MS: u64 = 8_000;

pub fn run(case: &Case) -> Verdict {
    let store = Store::default();
    let fleet = Fleet::new(store.clone(), case.record.clone(), 2_000);
    let cloud = Cloud::new(fleet.clone());
    let store_server = Server::start(0, store.handler()).expect("a store");
    let cloud_server = Server::start(0, cloud.handler()).expect("a cloud");
    store.put("keyed.op", "config", &nodes::config(3, "lane", 3));
    for index in 0..9 {
        fleet.add(&format!("m-{index}"), "lane", &["a", &format!("r1-{}", index / 4)], false);
    }
    let is_cut = Arc::new(AtomicBool::new(false));
    let was_cut = Arc::new(AtomicBool::new(false));
    let (record, executors) = (case.record.clone(), fleet.clone());
    let (cut, seen, has_trouble) = (Arc::clone(&is_cut), Arc::clone(&was_cut), case.has_trouble);
    let sees_order = move |bytes: &[u8]| {
        let is_order = bytes.windows(15).any(|part| part == b"/machine-upkeep");
        if is_order && has_trouble && !seen.swap(true, Ordering::SeqCst) {
            record.line("frontend-0 is cut off from the store, the machines' service and the executors");
            cut.store(true, Ordering::SeqCst);
            let mut world = executors.lock();
            for machine in &mut world.machines {
                machine.unreached_by = machine.fence;
            }
        }
    };
    let store_link = Link::open(store_server.address, Arc::clone(&is_cut), Arc::new(|_| ()));
    let cloud_link = Link::open(cloud_server.address, Arc::clone(&is_cut), Arc::new(sees_order));
    let first = Node::start("frontend-0", &case.folder, store_link.address, cloud_link.address, 2.0);
    if !first.wait_ready() {
        return Verdict::NotRun("the first node isn't ready".into());
    }
    thread::sleep(Duration::from_millis(2_500));
    let mut nodes = vec![first];
    for index in 1..3 {
        let (platform, machines) = (store_server.address, cloud_server.address);
        nodes.push(Node::start(&format!("frontend-{index}"), &case.folder, platform, machines, 2.0));
    }
    if !nodes.iter().all(Node::wait_ready) {
        return Verdict::NotRun("the nodes aren't ready".into());
    }
    thread::sleep(Duration::from_millis(1_000));
    let wave = "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\",\"m-2\",\"m-3\"],\"duration_s\":24,\
                \"max_count\":2}";
    case.record.line(&format!("the operator writes op/wave/1: {wave}"));
    store.put("keyed.op", "wave/1", wave);
    let until = Instant::now() + Duration::from_secs(10);
    while case.has_trouble && !was_cut.load(Ordering::SeqCst) {
        if Instant::now() > until {
            return Verdict::NotRun("the first node gives no order".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    if case.has_trouble {
        thread::sleep(Duration::from_millis(CUT_MS));
        case.record.line("the cut has healed");
        is_cut.store(false, Ordering::SeqCst);
        for machine in &mut fleet.lock().machines {
            machine.unreached_by = 0;
        }
    }
    let until = Instant::now() + Duration::from_secs(40);
    let is_completed = || {
        let status = store.newest("keyed.status", "wave/1");
        status.is_some_and(|status| status.contains("completed"))
    };
    while !is_completed() && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_millis(3_000));
    case.record.line(&format!("the wave is said to be completed: {}", is_completed()));
    let stale = cloud.stale_orders();
    match stale.first() {
        None => Verdict::Held,
        Some((higher, lower)) => Verdict::Broken(format!("{lower:?} after {higher:?}")),
    }
}
