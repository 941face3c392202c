//! Network traffic of membership and log reads per node, by the number of nodes.
//!
//! Starts a platform without VMs and the nodes as processes on loopback, and measures them idle.
//! Prints one JSON object for each number of nodes:
//!
//! ```text
//! cargo bench --bench membership -- --nodes 2,3,5,9 --seconds 20
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use {
    clap::Parser,
    common::{TestNode, TestPlatform, WAIT_TIMEOUT, free_ports, start_node_polling},
    lynxwheel_protocol::{EndpointLoad, PeerHello, encode_message},
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// Interval at which VMs are polled, in milliseconds; longer than the measurement.
const POLL_INTERVAL_MS: u64 = 3_600_000;

/// Time for the nodes to join and write their first snapshot, in seconds.
const WARM_UP_S: u64 = 15;

/// Command-line arguments.
#[derive(Debug, Parser)]
struct Args {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_value = "2,3,5,9")]
    nodes: Vec<usize>,
    /// Time to measure, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u32,
    /// Ignored; cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() {
    let args = Args::parse();
    println!("{}", message_sizes());
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for count in &args.nodes {
        runtime.block_on(measure(*count, args.seconds));
    }
}

/// Returns the encoded sizes of the periodic hello, without loads and with those of 50 endpoints.
fn message_sizes() -> serde_json::Value {
    let mut hello = PeerHello {
        node: "node-1".into(),
        zone: "zone-1".into(),
        incarnation: u64::MAX / 2,
        digest: u64::MAX / 2,
        ..PeerHello::default()
    };
    let bare = encode_message(&hello).expect("small").len();
    hello.loads = (0..50)
        .map(|number| EndpointLoad {
            vm: format!("vm-{number}").as_str().into(),
            incarnation: 1,
            in_progress: 3,
        })
        .collect();
    let loaded = encode_message(&hello).expect("small").len();
    json!({ "hello_bytes": bare, "hello_bytes_with_50_loads": loaded })
}

async fn measure(count: usize, seconds: u32) {
    let platform = TestPlatform::start(0);
    let ports = free_ports(count * 3);
    let address = platform.client.peer();
    let nodes: Vec<TestNode> = (0..count)
        .map(|number| start_node_polling(address, &ports, number, "membership", POLL_INTERVAL_MS))
        .collect();
    for node in &nodes {
        node.wait_until_ready().await;
    }
    sleep(Duration::from_secs(WARM_UP_S)).await;
    let before = connection_bytes(&nodes).await;
    sleep(Duration::from_secs(seconds.into())).await;
    let after = connection_bytes(&nodes).await;
    let per_s: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(from, to)| (to - from) / f64::from(seconds))
        .collect();
    let highest = per_s.iter().copied().fold(0.0, f64::max);
    let mean = per_s.iter().sum::<f64>() / f64::from(u32::try_from(count).expect("few"));
    let report = json!({
        "nodes": count,
        "bytes_per_s_mean": mean.round(),
        "bytes_per_s_highest": highest.round(),
    });
    println!("{report}");
}

/// Returns the bytes that crossed each node's connections, from its metrics.
async fn connection_bytes(nodes: &[TestNode]) -> Vec<f64> {
    let mut all = Vec::new();
    for node in nodes {
        let response = node
            .operators
            .get("/metrics", WAIT_TIMEOUT)
            .await
            .expect("metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let bytes = text
            .lines()
            .filter(|line| line.starts_with("lynxwheel_bytes_total"))
            .filter_map(|line| line.rsplit(' ').next())
            .map(|number| number.parse::<f64>().expect("a number"))
            .sum();
        all.push(bytes);
    }
    all
}
