//! Liveness of peers and the hellos between them.

mod common;

use {
    common::{Fleet, wait_until},
    lynxwheel_coordination::LocalEndpoints,
    lynxwheel_protocol::EndpointLoad,
};

/// Guards against planning that stalls because a killed node still counts as live and keeps the
/// first rank for its pools.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_dropped() {
    let fleet = Fleet::start(3).await;
    let first = fleet.start_node(0).await;
    let second = fleet.start_node(1).await;
    let third = fleet.start_node(2).await;
    wait_until("all nodes know each other", || {
        [&first, &second, &third]
            .iter()
            .all(|running| running.node.peers().live_peers(fleet.clock.now_ms()).len() == 2)
    })
    .await;
    third.shutdown.begin();
    wait_until("the killed node is dropped", || {
        first.node.live_nodes().len() == 2 && second.node.live_nodes().len() == 2
    })
    .await;
    assert_eq!(first.node.live_nodes(), second.node.live_nodes());
}

/// Guards against a stopping node that counts as live until its peers notice its silence.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_is_dropped_while_it_answers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    let second = fleet.start_node(1).await;
    wait_until("the nodes know each other", || {
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

/// Guards against nodes that route requests to a leaving endpoint until they have probed it
/// themselves, although another node has seen it leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_is_announced_to_peers() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_node(0).await;
    let second = fleet.start_node(1).await;
    let leaving = EndpointLoad {
        vm: "vm-1".into(),
        incarnation: 3,
        in_progress: 2,
    };
    let announced = vec![leaving.clone()];
    let local = LocalEndpoints::new(Vec::new, move || announced.clone());
    second.node.peers().set_local_endpoints(local);
    second.node.peers().announce();
    wait_until("the other node knows the leaving endpoint", || {
        let views = first.node.peers().live_peers(fleet.clock.now_ms());
        views
            .iter()
            .any(|view| view.hello.leaving == [leaving.clone()])
    })
    .await;
}
