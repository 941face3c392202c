//! Proposals before the node has joined.

use {
    lynxwheel_coordination::{Node, NodeIdentity, NodeSettings, ProposeError},
    lynxwheel_protocol::RecordBody,
    lynxwheel_standin::PlatformServer,
    lynxwheel_state::Verdict,
    lynxwheel_transport::Shutdown,
    std::{net::SocketAddr, time::Duration},
};

/// Guards against a proposal that enters the log before the node's join and is rejected
/// permanently because the fold does not know its writer.
#[tokio::test(flavor = "multi_thread")]
async fn proposal_before_the_join_is_deferred() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::start(any_port, &[], 100)
        .await
        .expect("start the platform");
    platform.with_platform(|platform| platform.faults.log_slow_ms = 100);
    let settings = NodeSettings::new(NodeIdentity::new("node-1", "zone-1"), platform.address());
    let shutdown = Shutdown::new();
    let (node, threads) = Node::start(settings, &shutdown);
    let mut is_deferred = false;
    let verdict = loop {
        match node
            .proposer()
            .propose(RecordBody::Report {
                reports: Vec::new(),
            })
            .await
        {
            Ok(decision) => break decision.verdict,
            Err(ProposeError::NotAppended { retry_after_ms }) => {
                assert!(retry_after_ms > 0);
                is_deferred = true;
            }
            Err(ProposeError::OutcomeUnknown { id }) => panic!("unknown outcome of {id:?}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(
        is_deferred,
        "no proposal was deferred, so the test proves nothing"
    );
    assert_eq!(verdict, Verdict::Accepted);
    shutdown.begin();
    tokio::task::spawn_blocking(move || threads.join())
        .await
        .expect("no panic");
}
