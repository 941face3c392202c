//! CPU time, memory and network traffic of idle nodes, by the size of the fleet.
//!
//! Starts a platform and nodes as processes on loopback, declares a fleet and measures the nodes
//! without requests of callers. Prints one JSON object for each size:
//!
//! ```text
//! cargo bench --bench capacity -- --vms 350,700,1400 --nodes 9 --seconds 20
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use {
    clap::Parser,
    common::{TestNode, TestPlatform, WAIT_TIMEOUT, free_ports, start_node_polling},
    lynxwheel_protocol::{
        Amount, Budget, Class, JobSpec, PoolSpec, Resource, Resources, TeamSpec, VmSpec,
    },
    serde_json::json,
    std::{fs, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Number of VMs of a pool.
const VMS_PER_POOL: u32 = 5;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Resources that one job requests.
const DEMAND: Resources = Resources {
    cores_milli: 1_000,
    memory_mib: 1_024,
    accelerators: 0,
};

/// Command-line arguments.
#[derive(Debug, Parser)]
struct Args {
    /// Numbers of VMs.
    #[arg(long, value_delimiter = ',', default_value = "350,700,1400")]
    vms: Vec<u32>,
    /// Number of nodes.
    #[arg(long, default_value_t = 9)]
    nodes: usize,
    /// Jobs for each VM; the team's quota admits only one of them at a time.
    #[arg(long, default_value_t = 0)]
    jobs_per_vm: u32,
    /// Time to measure, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Interval at which VMs and jobs are polled, in milliseconds; 200 is the daemon's default.
    #[arg(long, default_value_t = 200)]
    tick_ms: u64,
    /// Ignored; cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Resource usage of one process since its start.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_s: f64,
    resident_mib: f64,
    bytes: f64,
}

fn main() {
    let args = Args::parse();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for vms in &args.vms {
        runtime.block_on(measure(&args, *vms));
    }
}

async fn measure(args: &Args, vms: u32) {
    let platform = TestPlatform::start(vms);
    let ports = free_ports(args.nodes * 3);
    let address = platform.client.peer();
    let nodes: Vec<TestNode> = (0..args.nodes)
        .map(|number| start_node_polling(address, &ports, number, "capacity", args.tick_ms))
        .collect();
    for node in &nodes {
        node.wait_until_ready().await;
    }
    let started = Instant::now();
    declare(&nodes[0], vms, args.jobs_per_vm).await;
    let declared_s = started.elapsed().as_secs_f64();
    for vm in 0..vms {
        nodes[0].wait_ready(&format!("vm/vm-{vm}")).await;
    }
    let settled_s = started.elapsed().as_secs_f64();
    sleep(Duration::from_secs(5)).await;
    let before = usages(&nodes).await;
    sleep(Duration::from_secs(args.seconds.into())).await;
    let after = usages(&nodes).await;
    let seconds = f64::from(args.seconds);
    let spans = || before.iter().zip(&after);
    let highest = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max);
    let kb_per_s: Vec<f64> = spans()
        .map(|(from, to)| (to.bytes - from.bytes) / seconds / 1_000.0)
        .collect();
    let kb_per_s_mean =
        kb_per_s.iter().sum::<f64>() / f64::from(u32::try_from(kb_per_s.len()).expect("few nodes"));
    let round = |value: f64| (value * 100.0).round() / 100.0;
    let report = json!({
        "vms": vms,
        "nodes": args.nodes,
        "jobs": vms * args.jobs_per_vm,
        "declared_s": round(declared_s),
        "settled_s": round(settled_s),
        "seconds": args.seconds,
        "cpu_percent_highest": round(highest(
            spans().map(|(from, to)| (to.cpu_s - from.cpu_s) / seconds * 100.0).collect()
        )),
        "resident_mib_highest": round(highest(after.iter().map(|to| to.resident_mib).collect())),
        "kb_per_s_mean": round(kb_per_s_mean),
        "kb_per_s_highest": round(highest(kb_per_s)),
    });
    println!("{report}");
}

async fn declare(node: &TestNode, vms: u32, jobs_per_vm: u32) {
    node.declare(&Resource::Team(TeamSpec {
        name: "waiting".into(),
        quota: DEMAND,
    }))
    .await;
    for pool in 0..vms.div_ceil(VMS_PER_POOL) {
        node.declare(&Resource::Pool(PoolSpec {
            name: format!("pool-{pool}").into(),
            size: VMS_PER_POOL,
            budget: Budget {
                min_available: Amount::Percent(60),
                zones_at_once: 1,
            },
        }))
        .await;
    }
    for vm in 0..vms {
        let pool = format!("pool-{}", vm / VMS_PER_POOL);
        let name = format!("vm-{vm}");
        node.declare(&Resource::Vm(VmSpec {
            name: name.as_str().into(),
            pool: pool.as_str().into(),
        }))
        .await;
        for job in 0..jobs_per_vm {
            node.declare(&Resource::Job(JobSpec {
                name: format!("job-{vm}-{job}").into(),
                pool: pool.as_str().into(),
                team: "waiting".into(),
                class: Class::Batch,
                demand: DEMAND,
                run_time_ms: 60_000,
                checkpoint: true,
                max_attempts: 3,
                cancelled: false,
            }))
            .await;
        }
    }
}

async fn usages(nodes: &[TestNode]) -> Vec<Usage> {
    let mut usages = Vec::new();
    for node in nodes {
        // The node has closed connections that were idle during the measurement.
        node.operators.close_idle();
        let response = node
            .operators
            .get("/metrics", WAIT_TIMEOUT)
            .await
            .expect("metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        usages.push(Usage {
            cpu_s: cpu_s(node.process.id()),
            resident_mib: resident_mib(node.process.id()),
            bytes: connection_bytes(&text),
        });
    }
    usages
}

/// Returns the CPU time of a process, in seconds.
fn cpu_s(process: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect("stat");
    let fields = stat.rsplit(')').next().expect("fields after the name");
    // User and system time are fields 14 and 15, the 12th and 13th after the name.
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .map(|field| field.parse::<f64>().expect("ticks"))
        .sum::<f64>()
        / TICKS_PER_S
}

/// Returns the resident memory of a process, in MiB.
fn resident_mib(process: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("status");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("VmRSS");
    let kib = line.split_whitespace().nth(1).expect("a number");
    kib.parse::<f64>().expect("KiB") / 1_024.0
}

/// Returns the bytes that crossed a node's connections, from its metrics.
fn connection_bytes(metrics: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| line.starts_with("lynxwheel_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next())
        .map(|number| number.parse::<f64>().expect("a number"))
        .sum()
}
