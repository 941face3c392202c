//! Tests the load generator against stand-in endpoints.

use {
    clap::{Args, FromArgMatches},
    lynxwheel_load::{LoadArgs, LoadReport, run},
    lynxwheel_standin::{PlatformServer, VmTemplate},
    std::net::SocketAddr,
};

async fn run_load(extra: &[&str]) -> LoadReport {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port, &[VmTemplate::numbered(0)], 100)
        .await
        .expect("platform");
    let endpoint = platform.with_platform(|platform| platform.machines[0].address.clone());
    // Endpoints accept any path, so one can act as a node.
    let mut arguments = vec![
        "load",
        "--node",
        &endpoint,
        "--rate",
        "200",
        "--seconds",
        "1",
    ];
    arguments.extend(extra);
    let command = LoadArgs::augment_args(clap::Command::new("load"));
    let matches = command.get_matches_from(arguments);
    run(&LoadArgs::from_arg_matches(&matches).expect("arguments")).await
}

/// Complete responses count as answered.
#[tokio::test(flavor = "multi_thread")]
async fn complete_responses_are_counted() {
    let report = run_load(&["--answer-bytes", "20000", "--max-requests", "100"]).await;
    assert_eq!(report.nodes.answered, 100);
    assert!(report.is_correct() && report.nodes.latency.p50_us > 0);
}

/// Response bodies that end early count as truncated and make the report incorrect.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_responses_are_counted() {
    let report = run_load(&[
        "--answer-bytes",
        "100000",
        "--query",
        "break=1",
        "--max-requests",
        "20",
    ])
    .await;
    assert_eq!((report.nodes.truncated, report.nodes.answered), (20, 0));
    assert!(!report.is_correct());
}
