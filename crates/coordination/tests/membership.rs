//! Who is taken to be live, and what peers tell each other.

mod common;

use {
    common::{Fleet, wait_until},
    lynxwheel_coordination::LocalEndpoints,
    lynxwheel_protocol::EndpointLoad,
};

/// Waves stand still for minutes. A node was killed and the others went on waiting for it to
/// speak first for the pools that it ranks first for. The others must drop it after its silence.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_dropped() {
    let fleet = Fleet::start(3).await;
    let first = fleet.run(0).await;
    let second = fleet.run(1).await;
    let third = fleet.run(2).await;
    wait_until("all hear each other", || {
        [&first, &second, &third]
            .iter()
            .all(|run| run.node.peers().live_peers(fleet.clock.now_ms()).len() == 2)
    })
    .await;
    third.shutdown.begin();
    wait_until("the killed node is dropped", || {
        first.node.live_nodes().len() == 2 && second.node.live_nodes().len() == 2
    })
    .await;
    assert_eq!(first.node.live_nodes(), second.node.live_nodes());
}

/// New work is planned for a node that is about to go. A stopping node was live to its peers
/// until its silence was noticed. It must be dropped as soon as it says that it stops.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_is_dropped_while_it_answers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    let second = fleet.run(1).await;
    wait_until("they hear each other", || {
        !first
            .node
            .peers()
            .live_peers(fleet.clock.now_ms())
            .is_empty()
    })
    .await;
    second.node.peers().announce_stop();
    wait_until("the stopping node is dropped", || {
        first.node.live_nodes().len() == 1
    })
    .await;
}

/// A leaving endpoint gets new requests from the other nodes until they probe it themselves. Its
/// sign of leaving was seen by one node only. That node must tell the others.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_is_told_to_peers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.run(0).await;
    let second = fleet.run(1).await;
    let leaving = EndpointLoad {
        vm: "vm-1".into(),
        incarnation: 3,
        in_progress: 2,
    };
    let told = vec![leaving.clone()];
    let local = LocalEndpoints::new(Vec::new, move || told.clone());
    second.node.peers().set_local_endpoints(local);
    second.node.peers().announce();
    wait_until("the other node knows", || {
        let views = first.node.peers().live_peers(fleet.clock.now_ms());
        views
            .iter()
            .any(|view| view.hello.leaving == [leaving.clone()])
    })
    .await;
}
