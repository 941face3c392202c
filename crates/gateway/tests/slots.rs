//! Slots, queues, rate limits, forwarding and ejection of endpoints.

mod common;

use {
    common::{Fleet, FleetOptions, SERVICE, TestNode, assert_response_of, renewal, wait_until},
    http::{Method, StatusCode},
    lynxwheel_decisions::slot_shares,
    lynxwheel_gateway::{CLASS_HEADER, DEADLINE_HEADER, DID_NOT_RUN_HEADER, TEAM_HEADER},
    lynxwheel_protocol::{NodeName, VmName},
    lynxwheel_transport::{ClientRequest, ClientResponse},
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

fn map_request(id: &str, query: &str) -> ClientRequest {
    ClientRequest::new(Method::GET, format!("/{SERVICE}/map?{query}"))
        .with_header("x-request-id", id)
}

async fn get_map(node: &TestNode, id: &str, query: &str) -> ClientResponse {
    node.call(&map_request(id, query)).await.expect("an answer")
}

fn did_not_run(answer: &ClientResponse) -> bool {
    answer.header(DID_NOT_RUN_HEADER) == Some("true")
}

/// Under excess load on all nodes an endpoint must never get more requests at once than it has
/// slots, and every request must be served eventually.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_together_respect_the_slot_limit() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 4,
        ..FleetOptions::default()
    })
    .await;
    let fleet = Arc::new(fleet);
    let mut callers = JoinSet::new();
    for caller in 0..120 {
        let fleet = Arc::clone(&fleet);
        callers.spawn(async move {
            let id = format!("map-{caller}");
            assert_response_of(&get_map(&fleet.nodes[caller % 4], &id, "ms=30").await, &id);
        });
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no refusal");
    }
    let max_in_progress = fleet
        .platform
        .runs()
        .iter()
        .map(|run| run.in_progress)
        .max();
    assert!(
        max_in_progress <= Some(8),
        "{max_in_progress:?} requests at once"
    );
    assert_eq!(fleet.platform.runs().len(), 120);
}

/// A node without slots must forward requests, including keyed ones, to a peer that has some.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_slots_forwards_the_request() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 3,
        vms: 1,
        slots: 1,
        ..FleetOptions::default()
    })
    .await;
    for (index, node) in fleet.nodes.iter().enumerate() {
        let id = format!("map-{index}");
        assert_response_of(&get_map(node, &id, "size=20000").await, &id);
        let key = format!("lotion-{index}");
        let answer = node.call(&renewal(&key, "")).await.expect("an answer");
        assert_response_of(&answer, &key);
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

/// A node with more requests than slots must forward some to an idle peer, so that all slots are
/// used, but never more than all.
#[tokio::test(flavor = "multi_thread")]
async fn overloaded_node_forwards_requests_to_an_idle_peer() {
    let fleet = Fleet::start(FleetOptions {
        vms: 1,
        ..FleetOptions::default()
    })
    .await;
    let fleet = Arc::new(fleet);
    let first = &fleet.nodes[0].node;
    let knows_peer = || !first.peers().live_peers(first.clock().now_ms()).is_empty();
    wait_until("the peer is known", knows_peer).await;
    let mut callers = JoinSet::new();
    for caller in 0..16 {
        let fleet = Arc::clone(&fleet);
        callers.spawn(async move {
            let id = format!("map-{caller}");
            assert_response_of(&get_map(&fleet.nodes[0], &id, "ms=300").await, &id);
        });
        // Staggered, so that each request finds the previous ones in the queue.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no refusal");
    }
    let runs = fleet.platform.runs();
    let max_in_progress = runs.iter().map(|run| run.in_progress).max();
    assert!(
        max_in_progress > Some(4) && max_in_progress <= Some(8),
        "{max_in_progress:?} requests at once"
    );
}

/// An urgent request must be served before batch requests that were queued earlier.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_is_served_before_batch_work() {
    let fleet = Arc::new(Fleet::start(FleetOptions::one_slot()).await);
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let fleet = Arc::clone(&fleet);
        let id = format!("billing-{caller}");
        let request = map_request(&id, "ms=100").with_header(CLASS_HEADER, "batch");
        callers.spawn(async move { fleet.nodes[0].call(&request).await.expect("an answer") });
    }
    wait_until("batch work runs", || !fleet.platform.runs().is_empty()).await;
    let notice = map_request("notice", "").with_header(CLASS_HEADER, "urgent");
    assert_response_of(
        &fleet.nodes[0].call(&notice).await.expect("an answer"),
        "notice",
    );
    while callers.join_next().await.is_some() {}
    let runs = fleet.platform.runs();
    let index = runs.iter().position(|run| run.request_id == "notice");
    assert!(index < Some(4), "the notice ran at index {index:?}");
}

/// A request whose deadline is shorter than its expected wait must be refused immediately, without
/// having run and with a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_cannot_be_served_in_time_is_refused_at_once() {
    let fleet = Arc::new(Fleet::start(FleetOptions::one_slot()).await);
    assert_response_of(&get_map(&fleet.nodes[0], "first", "ms=500").await, "first");
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let fleet = Arc::clone(&fleet);
        callers.spawn(
            async move { get_map(&fleet.nodes[0], &format!("map-{caller}"), "ms=500").await },
        );
    }
    wait_until("a second request runs", || fleet.platform.runs().len() == 2).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let request = map_request("late", "").with_header(DEADLINE_HEADER, "300");
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(did_not_run(&answer) && answer.header("retry-after").is_some());
    assert!(
        fleet
            .platform
            .runs()
            .iter()
            .all(|run| run.request_id != "late")
    );
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("before the deadline"), "{text}");
    while callers.join_next().await.is_some() {}
}

/// A team above its rate limit must be refused without affecting other teams.
#[tokio::test(flavor = "multi_thread")]
async fn team_above_its_rate_is_refused() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        team_rate_per_s: 5,
        ..FleetOptions::default()
    })
    .await;
    let mut refused = 0;
    for number in 0..30 {
        let request = map_request(&format!("flood-{number}"), "").with_header(TEAM_HEADER, "flood");
        let answer = fleet.nodes[0].call(&request).await.expect("an answer");
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            assert!(did_not_run(&answer) && answer.header("retry-after").is_some());
            refused += 1;
        }
    }
    assert!(refused > 0, "the team was never refused");
    assert_eq!(fleet.platform.runs().len(), 30 - refused);
    let request = map_request("dispatch", "").with_header(TEAM_HEADER, "crews");
    assert_response_of(
        &fleet.nodes[0].call(&request).await.expect("an answer"),
        "dispatch",
    );
}

/// While the VM list and the log are out of date, the first refusal of a leaving endpoint must eject
/// it on this node and, by the node's report, on its peers.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_requests_from_any_node() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 4,
        ..FleetOptions::default()
    })
    .await;
    fleet.platform.with_platform(|platform| {
        platform.faults.vm_list_frozen = true;
        platform.faults.log_down = true;
        let leaving = platform.machine_mut("vm-0").expect("vm-0");
        leaving.is_leaving = true;
    });
    let first = &fleet.nodes[0];
    for number in 0..200 {
        let id = format!("map-{number}");
        assert_response_of(&get_map(first, &id, "").await, &id);
        if !first.gateway.ejected_endpoints().is_empty() {
            break;
        }
    }
    assert_eq!(first.gateway.ejected_endpoints()[0].vm.as_str(), "vm-0");
    let second = &fleet.nodes[3].node;
    let has_report = || {
        let peers = second.peers().live_peers(second.clock().now_ms());
        peers.iter().any(|peer| !peer.hello.leaving.is_empty())
    };
    wait_until("the peer has the report", has_report).await;
    // The peer rebuilds its routing table within this time.
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..50 {
        let id = format!("more-{number}");
        assert_response_of(&get_map(&fleet.nodes[3], &id, "").await, &id);
    }
    let ejected = fleet.nodes[3].gateway.ejected_endpoints();
    assert!(
        ejected.is_empty(),
        "the peer sent a request to the endpoint: {ejected:?}"
    );
}

/// An ejected endpoint must be used again soon after it has recovered, even if the log is
/// unavailable; until then requests must be refused without having run.
#[tokio::test(flavor = "multi_thread")]
async fn recovered_endpoint_is_used_again() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        vms: 1,
        ..FleetOptions::default()
    })
    .await;
    let set_leaving = |is_leaving: bool| {
        fleet.platform.with_platform(|platform| {
            platform.faults.log_down = true;
            platform.machine_mut("vm-0").expect("vm-0").is_leaving = is_leaving;
        });
    };
    set_leaving(true);
    for number in 0..5 {
        let answer = get_map(&fleet.nodes[0], &format!("map-{number}"), "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(did_not_run(&answer));
    }
    set_leaving(false);
    let until = tokio::time::Instant::now() + common::TIMEOUT;
    while get_map(&fleet.nodes[0], "back", "").await.status != StatusCode::OK {
        assert!(
            tokio::time::Instant::now() < until,
            "the endpoint is still ejected"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The first success ends the ejection.
    assert_response_of(&get_map(&fleet.nodes[0], "next", "").await, "next");
}

/// Bodies too large to buffer must be streamed completely in both directions, and the slot must be
/// free afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_are_streamed_both_ways() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let body = vec![b'x'; 3_000_000];
    let request = ClientRequest::new(Method::PUT, format!("/{SERVICE}/file?size=2000000"))
        .with_header("x-request-id", "file")
        .with_body(body);
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_response_of(&answer, "file");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("bytes=3000000"), "{}", &text[..60]);
    assert!(answer.body.len() > 2_000_000);
    let gateway = &fleet.nodes[0].gateway;
    wait_until("the slot is free", || gateway.endpoint_loads().is_empty()).await;
}

/// A truncated response must close the caller's connection instead of looking complete.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_closes_the_callers_connection() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = map_request("map", "break=1&size=100000");
    let answer = fleet.nodes[0].call(&request).await;
    assert!(
        answer.is_err(),
        "a truncated response looks complete: {answer:?}"
    );
}

macro_rules! shares {
    ($($name:ident: $nodes:expr, $slots:expr;)*) => {
        $(#[test] fn $name() {
            let nodes: Vec<NodeName> =
                (0..$nodes).map(|node| format!("node-{node:02}").into()).collect();
            for vm in 0..50 {
                let vm: VmName = format!("vm-{vm}").into();
                let before = slot_shares(&vm, &nodes, $slots);
                assert_eq!(before.iter().sum::<u32>(), $slots);
                let after = slot_shares(&vm, &nodes[1..], $slots);
                assert_eq!(after.iter().sum::<u32>(), $slots);
                let is_kept = before[1..].iter().zip(&after).all(|(before, after)| before <= after);
                assert!(is_kept, "a survivor lost a slot: {before:?}, then {after:?}");
            }
        })*
    };
}

shares! {
    nine_nodes_share_eight_slots: 9, 8;
    four_nodes_share_eight_slots: 4, 8;
    two_nodes_share_one_slot: 2, 1;
    three_nodes_share_sixty_four_slots: 3, 64;
}
