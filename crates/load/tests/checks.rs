//! The load tool against stand-in endpoints.

use {
    clap::{Args, FromArgMatches},
    lynxwheel_load::{LoadArgs, LoadReport, run},
    lynxwheel_standin::{PlatformServer, VmTemplate},
    std::net::SocketAddr,
};

async fn load(extra: &[&str]) -> LoadReport {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port, &[VmTemplate::numbered(0)], 100)
        .await
        .expect("platform");
    let endpoint = platform.with_platform(|platform| platform.machines[0].address.clone());
    // An endpoint takes any path, so it can stand for a node.
    let mut words = vec![
        "load",
        "--node",
        &endpoint,
        "--rate",
        "200",
        "--seconds",
        "1",
    ];
    words.extend(extra);
    let command = LoadArgs::augment_args(clap::Command::new("load"));
    let matches = command.get_matches_from(words);
    run(&LoadArgs::from_arg_matches(&matches).expect("arguments")).await
}

/// Whole answers count as answered, on both sides.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_are_counted() {
    let report = load(&["--answer-bytes", "20000", "--max-requests", "100"]).await;
    assert_eq!(report.nodes.answered, 100);
    assert!(report.is_correct() && report.nodes.latency.p50_us > 0);
}

/// An endpoint breaks its answers off. The tool must call them cut and fail.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_called_cut() {
    let report = load(&[
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
