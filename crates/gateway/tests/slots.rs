//! Slots, queues, limits and endpoints that leave.

mod common;

use {
    common::{Fleet, FleetOptions, SERVICE, TestNode, assert_own, renewal, wait_until},
    http::{Method, StatusCode},
    lynxwheel_decisions::slot_shares,
    lynxwheel_gateway::{CLASS_HEADER, DEADLINE_HEADER, DID_NOT_RUN_HEADER, TEAM_HEADER},
    lynxwheel_protocol::{NodeName, VmName},
    lynxwheel_transport::{ClientRequest, ClientResponse},
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

fn refresh(id: &str, query: &str) -> ClientRequest {
    ClientRequest::new(Method::GET, format!("/{SERVICE}/map?{query}"))
        .with_header("x-request-id", id)
}

async fn ask(node: &TestNode, id: &str, query: &str) -> ClientResponse {
    node.call(&refresh(id, query)).await.expect("an answer")
}

fn not_started(answer: &ClientResponse) -> bool {
    answer.header(DID_NOT_RUN_HEADER) == Some("true")
}

/// Four nodes are asked for far more at once than the endpoints have slots for. An endpoint never
/// gets more than its slots, because every slot belongs to one node, and every request is answered
/// after a wait.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_together_stay_within_the_slots() {
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
            assert_own(&ask(&fleet.nodes[caller % 4], &id, "ms=30").await, &id);
        });
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no refusal");
    }
    let most = fleet
        .platform
        .runs()
        .iter()
        .map(|run| run.in_progress)
        .max();
    assert!(most <= Some(8), "{most:?} requests at once");
    assert_eq!(fleet.platform.runs().len(), 120);
}

/// A pool has fewer slots than there are nodes, and the balancer sends a caller to a node without
/// any. The node passes the request on, the key included, and the caller gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_a_slot_passes_the_request_on() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 3,
        vms: 1,
        slots: 1,
        ..FleetOptions::default()
    })
    .await;
    for (row, node) in fleet.nodes.iter().enumerate() {
        let id = format!("map-{row}");
        assert_own(&ask(node, &id, "size=20000").await, &id);
        let key = format!("lotion-{row}");
        let answer = node.call(&renewal(&key, "")).await.expect("an answer");
        assert_own(&answer, &key);
        assert_eq!(fleet.runs(&key).len(), 1);
    }
}

/// A node died and its callers moved over to one neighbour, which gets more than its slots can
/// serve while another node idles. The neighbour passes requests on, so that all slots are used,
/// and still no more than all.
#[tokio::test(flavor = "multi_thread")]
async fn overloaded_node_passes_requests_on_to_an_idle_one() {
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
            assert_own(&ask(&fleet.nodes[0], &id, "ms=300").await, &id);
        });
        // One after the other, so that each finds the queue that the ones before made.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("no refusal");
    }
    let runs = fleet.platform.runs();
    let most = runs.iter().map(|run| run.in_progress).max();
    assert!(most > Some(4) && most <= Some(8), "{most:?} at once");
}

/// Batch work fills every slot and waits in the queue when an outage notice comes. The notice is
/// served next, before batch work that came earlier.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_is_served_before_batch_work() {
    let fleet = Arc::new(Fleet::start(FleetOptions::one_slot()).await);
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let fleet = Arc::clone(&fleet);
        let id = format!("billing-{caller}");
        let request = refresh(&id, "ms=100").with_header(CLASS_HEADER, "batch");
        callers.spawn(async move { fleet.nodes[0].call(&request).await.expect("an answer") });
    }
    wait_until("batch work runs", || !fleet.platform.runs().is_empty()).await;
    let notice = refresh("notice", "").with_header(CLASS_HEADER, "urgent");
    assert_own(
        &fleet.nodes[0].call(&notice).await.expect("an answer"),
        "notice",
    );
    while callers.join_next().await.is_some() {}
    let runs = fleet.platform.runs();
    let place = runs.iter().position(|run| run.request_id == "notice");
    assert!(place < Some(4), "the notice ran at place {place:?}");
}

/// A request's deadline is shorter than the queue in front of it. It is refused at once with the
/// time after which to come back, and it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_cannot_be_served_in_time_is_refused_at_once() {
    let fleet = Arc::new(Fleet::start(FleetOptions::one_slot()).await);
    assert_own(&ask(&fleet.nodes[0], "first", "ms=500").await, "first");
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let fleet = Arc::clone(&fleet);
        callers
            .spawn(async move { ask(&fleet.nodes[0], &format!("map-{caller}"), "ms=500").await });
    }
    wait_until("a second request runs", || fleet.platform.runs().len() == 2).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let request = refresh("late", "").with_header(DEADLINE_HEADER, "300");
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(not_started(&answer) && answer.header("retry-after").is_some());
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

/// One team sends far above its rate. It alone is refused, at once and without a run.
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
        let request = refresh(&format!("flood-{number}"), "").with_header(TEAM_HEADER, "flood");
        let answer = fleet.nodes[0].call(&request).await.expect("an answer");
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            assert!(not_started(&answer) && answer.header("retry-after").is_some());
            refused += 1;
        }
    }
    assert!(refused > 0, "the team was never refused");
    assert_eq!(fleet.platform.runs().len(), 30 - refused);
    let request = refresh("dispatch", "").with_header(TEAM_HEADER, "crews");
    assert_own(
        &fleet.nodes[0].call(&request).await.expect("an answer"),
        "dispatch",
    );
}

/// An endpoint leaves while the VM list is minutes behind and the log is down. Its first refusal
/// takes it out of this node's choice, and a peer in the same zone that is told takes it out too,
/// so neither sends anything more to it for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_nothing_more_on_any_node() {
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
        assert_own(&ask(first, &id, "").await, &id);
        if !first.gateway.ejected_endpoints().is_empty() {
            break;
        }
    }
    assert_eq!(first.gateway.ejected_endpoints()[0].vm.as_str(), "vm-0");
    let second = &fleet.nodes[3].node;
    let is_told = || {
        let peers = second.peers().live_peers(second.clock().now_ms());
        peers.iter().any(|peer| !peer.hello.leaving.is_empty())
    };
    wait_until("the peer is told", is_told).await;
    // The peer's table is made anew within this time.
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..50 {
        let id = format!("more-{number}");
        assert_own(&ask(&fleet.nodes[3], &id, "").await, &id);
    }
    let evidence = fleet.nodes[3].gateway.ejected_endpoints();
    assert!(evidence.is_empty(), "the peer asked it: {evidence:?}");
}

/// The only endpoint refuses to start while it restarts, with the log down. Requests are refused at
/// once and without a run, and served again soon after it is back, without a word from the log.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_is_back_is_used_again() {
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
        let answer = ask(&fleet.nodes[0], &format!("map-{number}"), "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(not_started(&answer));
    }
    set_leaving(false);
    let until = tokio::time::Instant::now() + common::LIMIT;
    while ask(&fleet.nodes[0], "back", "").await.status != StatusCode::OK {
        assert!(tokio::time::Instant::now() < until, "it stayed out");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The first success ends all doubt.
    assert_own(&ask(&fleet.nodes[0], "next", "").await, "next");
}

/// A caller sends a body that is too large to keep. It passes through whole, with its length seen
/// by the endpoint, and the slot is free again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_through_both_ways() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let body = vec![b'x'; 3_000_000];
    let request = ClientRequest::new(Method::PUT, format!("/{SERVICE}/file?size=2000000"))
        .with_header("x-request-id", "file")
        .with_body(body);
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_own(&answer, "file");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("bytes=3000000"), "{}", &text[..60]);
    assert!(answer.body.len() > 2_000_000);
    let gateway = &fleet.nodes[0].gateway;
    wait_until("the slot is free", || gateway.endpoint_loads().is_empty()).await;
}

/// An endpoint breaks off a large answer. The caller must see a broken connection, never a part
/// that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_breaks_the_callers_connection() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = refresh("map", "break=1&size=100000");
    let answer = fleet.nodes[0].call(&request).await;
    assert!(answer.is_err(), "a part passed for the whole: {answer:?}");
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
