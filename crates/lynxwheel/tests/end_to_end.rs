//! End-to-end tests with the platform and the nodes as separate processes.

mod common;

use {
    common::{TestNode, TestPlatform, declare_maps, start_nodes},
    http::{Method, StatusCode},
    lynxwheel_protocol::{Resource, WaveAction, WaveGoal, WaveSpec},
    lynxwheel_transport::ClientRequest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

const VMS: u32 = 6;
const FLOOR: u32 = 4;

/// Sends a request and asserts that the response belongs to it.
async fn call(node: &TestNode, id: &str) {
    let request =
        ClientRequest::new(Method::GET, "/maps/work?ms=3").with_header("x-request-id", id);
    let response = node.call(&request).await.expect("a response");
    let text = String::from_utf8_lossy(&response.body);
    assert_eq!(response.status, StatusCode::OK, "{text}");
    assert!(
        text.starts_with(&format!("request={id} ")),
        "response to another request: {text}"
    );
}

/// Guards against requests that fail because a maintenance wave reboots a VM that serves them.
/// The pool is declared at one node, the wave at another, and callers use both.
#[tokio::test(flavor = "multi_thread")]
async fn wave_under_load_fails_no_request() {
    let platform = TestPlatform::start(VMS);
    let nodes = Arc::new(start_nodes(platform.client.peer(), 2, "wave_under_load"));
    declare_maps(&nodes[0], VMS, FLOOR).await;
    for vm in 0..VMS {
        nodes[1].wait_ready(&format!("vm/vm-{vm}")).await;
    }
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for caller in 0..4 {
        let (nodes, is_stopped) = (Arc::clone(&nodes), Arc::clone(&is_stopped));
        callers.push(tokio::spawn(async move {
            let mut number = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                call(&nodes[caller % 2], &format!("caller-{caller}-{number}")).await;
                number += 1;
            }
            number
        }));
    }
    nodes[1]
        .declare(&Resource::Wave(WaveSpec {
            name: "kernel".into(),
            pools: vec!["maps".into()],
            action: WaveAction::Reboot,
            goal: WaveGoal::Run,
            due_before_ms: lynxwheel_coordination::Clock::system().now_ms(),
            deadline_ms: 0,
        }))
        .await;
    nodes[0].wait_ready("wave/kernel").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    is_stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        assert!(caller.await.expect("no failed request") > 0);
    }
    let status = &nodes[0].get("wave/kernel").await["status"];
    assert_eq!(status["done"], VMS);
}

/// Guards against a graceful shutdown that cuts off a response in progress.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_off_no_response() {
    let platform = TestPlatform::start(VMS);
    let mut nodes = start_nodes(platform.client.peer(), 2, "planned_stop");
    declare_maps(&nodes[0], VMS, FLOOR).await;
    nodes[1].wait_ready("vm/vm-0").await;
    let node = nodes.remove(1);
    let callers = node.callers.clone();
    let call = tokio::spawn(async move {
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=1500&size=100000")
            .with_header("x-request-id", "long");
        callers.call(&request, common::WAIT_TIMEOUT).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.process.signal("TERM");
    let ended = tokio::task::spawn_blocking(move || node.process.wait());
    let response = call.await.expect("no panic").expect("the whole response");
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.body.len() > 100_000);
    assert!(ended.await.expect("no panic"), "the node failed to stop");
}
