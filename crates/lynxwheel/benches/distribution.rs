//! Latency until a change of the declarations is visible at every node.
//!
//! Starts a platform and nodes as processes on loopback, declares changes at the nodes in turn, one
//! after another and in bursts, and polls every node until it shows them. Prints one JSON object
//! for each condition:
//!
//! ```text
//! cargo bench --bench distribution -- --nodes 9 --changes 40
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use {
    clap::Parser,
    common::{TestNode, TestPlatform, free_ports, start_node},
    http::Method,
    lynxwheel_protocol::{Resource, Resources, TeamSpec},
    lynxwheel_transport::{Client, ClientRequest},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Target latency of a change, in milliseconds.
const TARGET_MS: f64 = 4_000.0;

/// Time limit for a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(50);

/// Duration of the log service's outage.
const OUTAGE: Duration = Duration::from_secs(5);

/// Appends per second that the log service accepts after its outage.
const APPENDS_PER_S: u32 = 300;

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Command-line arguments.
#[derive(Debug, Parser)]
struct Args {
    /// Number of nodes.
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Changes for each condition.
    #[arg(long, default_value_t = 40)]
    changes: u32,
    /// Ignored; cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Processes of the fleet, and the ports, which restarted nodes use again.
struct Fleet {
    platform: TestPlatform,
    ports: Vec<u16>,
    nodes: Vec<TestNode>,
    next_team: u32,
}

fn main() {
    let args = Args::parse();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure(&args));
}

async fn measure(args: &Args) {
    let platform = TestPlatform::start(0);
    let ports = free_ports(args.nodes * 3);
    let address = platform.client.peer();
    let nodes = (0..args.nodes)
        .map(|number| start_node(address, &ports, number, "distribution"))
        .collect();
    let mut fleet = Fleet {
        platform,
        ports,
        nodes,
        next_team: 0,
    };
    for node in &fleet.nodes {
        node.wait_until_ready().await;
    }
    fleet.run("healthy", args.changes, PAUSE).await;
    fleet.run("burst", args.changes, Duration::ZERO).await;
    for slow_ms in [200, 1_000] {
        fleet.set_faults(&json!({ "log_slow_ms": slow_ms })).await;
        let condition = format!("platform slow by {slow_ms} ms");
        fleet.run(&condition, args.changes, PAUSE).await;
    }
    fleet.set_faults(&json!({})).await;
    fleet.run_outage(args.changes).await;
    fleet.run_frozen(args.changes).await;
    fleet.run_restarting(args.changes).await;
}

impl Fleet {
    async fn set_faults(&self, faults: &Value) {
        let body = serde_json::to_vec(faults).expect("encode");
        let request = ClientRequest::new(Method::PUT, "/faults").with_body(body);
        let response = self.platform.client.call(&request, CALL_TIMEOUT).await;
        assert!(
            response.is_ok_and(|response| response.status == 200),
            "faults"
        );
    }

    /// Measures changes while all nodes run.
    async fn run(&mut self, condition: &str, changes: u32, pause: Duration) {
        let operators = self.operators();
        let times = self
            .measure_changes(&operators, &operators, changes, pause)
            .await;
        report(condition, changes, operators.len(), times);
    }

    /// Measures the time from the end of an outage until all changes that were requested during it
    /// are visible, while the log service limits appends.
    async fn run_outage(&mut self, changes: u32) {
        self.set_faults(&json!({ "log_down": true })).await;
        let operators = self.operators();
        let mut accepted = JoinSet::new();
        for change in 0..changes {
            let name = format!("team-{}", self.next_team);
            self.next_team += 1;
            let declarer = operators[change as usize % operators.len()].clone();
            accepted.spawn(async move {
                declare(&declarer, &name).await;
                name
            });
        }
        sleep(OUTAGE).await;
        self.set_faults(&json!({ "appends_per_s": APPENDS_PER_S }))
            .await;
        let recovered = Instant::now();
        let mut times = Vec::new();
        while let Some(name) = accepted.join_next().await {
            let name = name.expect("declared");
            let mut waits = JoinSet::new();
            for node in &operators {
                waits.spawn(wait_for(node.clone(), name.clone(), recovered));
            }
            times.extend(waits.join_all().await);
        }
        self.set_faults(&json!({})).await;
        report(
            "after an outage, from its end",
            changes,
            operators.len(),
            times,
        );
    }

    /// Measures changes while the last node is frozen, and the time until it has caught up after it
    /// resumes.
    async fn run_frozen(&mut self, changes: u32) {
        let all = self.operators();
        let (frozen, others) = all.split_last().expect("nodes");
        let last = self.nodes.len() - 1;
        self.nodes[last].process.signal("STOP");
        let times = self.measure_changes(others, others, changes, PAUSE).await;
        report("one frozen, the others", changes, others.len(), times);
        let name = format!("team-{}", self.next_team - 1);
        self.nodes[last].process.signal("CONT");
        let time = wait_for(frozen.clone(), name, Instant::now()).await;
        report("one frozen, after its thaw", 1, 1, vec![time]);
    }

    /// Measures changes while the last node is killed and restarted, and the times until it is
    /// ready and until it has caught up.
    async fn run_restarting(&mut self, changes: u32) {
        let all = self.operators();
        let (_, others) = all.split_last().expect("nodes");
        let last = self.nodes.len() - 1;
        drop(self.nodes.pop());
        let times = self.measure_changes(others, others, changes, PAUSE).await;
        report("one restarting, the others", changes, others.len(), times);
        let name = format!("team-{}", self.next_team - 1);
        let started = Instant::now();
        let address = self.platform.client.peer();
        let node = start_node(address, &self.ports, last, "distribution");
        node.wait_until_ready().await;
        let ready_ms = started.elapsed().as_secs_f64() * 1_000.0;
        let time = wait_for(node.operators.clone(), name, Instant::now()).await;
        self.nodes.push(node);
        report("one restarting, from ready on", 1, 1, vec![time]);
        println!(
            "{}",
            json!({ "condition": "restart until ready", "ms": ready_ms })
        );
    }

    fn operators(&self) -> Vec<Client> {
        self.nodes
            .iter()
            .map(|node| node.operators.clone())
            .collect()
    }

    /// Declares changes at the nodes in turn; returns the times from the acceptance of each change
    /// until each node shows it, in milliseconds.
    async fn measure_changes(
        &mut self,
        declarers: &[Client],
        observers: &[Client],
        changes: u32,
        pause: Duration,
    ) -> Vec<f64> {
        let mut waiting = JoinSet::new();
        for change in 0..changes {
            let name = format!("team-{}", self.next_team);
            self.next_team += 1;
            let declarer = declarers[change as usize % declarers.len()].clone();
            let observers = observers.to_vec();
            waiting.spawn(async move {
                let accepted = declare(&declarer, &name).await;
                let mut waits = JoinSet::new();
                for node in observers {
                    waits.spawn(wait_for(node, name.clone(), accepted));
                }
                waits.join_all().await
            });
            sleep(pause).await;
        }
        waiting.join_all().await.into_iter().flatten().collect()
    }
}

/// Declares a team, retrying until it is accepted, and returns the time of acceptance.
async fn declare(operators: &Client, name: &str) -> Instant {
    let resource = Resource::Team(TeamSpec {
        name: name.into(),
        quota: Resources::default(),
    });
    let body = serde_json::to_vec(&resource).expect("encode");
    let request = ClientRequest::new(Method::PUT, format!("/v1/team/{name}")).with_body(body);
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let response = operators.call(&request, CHANGE_TIMEOUT).await;
        if response.is_ok_and(|response| response.status == 200) {
            return Instant::now();
        }
        assert!(Instant::now() < deadline, "{name} was not accepted");
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls a node until it shows the team; returns the time since `accepted`, in milliseconds.
async fn wait_for(operators: Client, name: String, accepted: Instant) -> f64 {
    let path = format!("/v1/team/{name}");
    loop {
        let response = operators.get(&path, CALL_TIMEOUT).await;
        let elapsed = accepted.elapsed();
        let is_there = response.is_ok_and(|response| response.status == 200);
        if is_there || elapsed > CHANGE_TIMEOUT {
            return elapsed.as_secs_f64() * 1_000.0;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints the percentiles of the times as JSON.
fn report(condition: &str, changes: u32, nodes: usize, mut times_ms: Vec<f64>) {
    times_ms.sort_by(f64::total_cmp);
    let at = |permille: usize| {
        let index = (times_ms.len() * permille).div_ceil(1_000).max(1) - 1;
        (times_ms[index] * 10.0).round() / 10.0
    };
    let late = times_ms
        .iter()
        .filter(|time_ms| **time_ms > TARGET_MS)
        .count();
    let line = json!({
        "condition": condition,
        "changes": changes,
        "nodes": nodes,
        "p50_ms": at(500),
        "p99_ms": at(990),
        "max_ms": at(1_000),
        "above_goal": late,
    });
    println!("{line}");
}
