//! At-most-once execution of keyed requests under failures of callers, nodes and the log.

mod common;

use {
    common::{Fleet, FleetOptions, assert_response_of, renewal, wait_until},
    http::StatusCode,
    lynxwheel_coordination::Clock,
    lynxwheel_gateway::{
        DID_NOT_RUN_HEADER, ISSUED_HEADER, KeyAge, check_key_age, uuid_v7_timestamp_ms,
    },
    lynxwheel_transport::ClientResponse,
    std::time::Duration,
};

fn reason(answer: &ClientResponse) -> String {
    let value: serde_json::Value = serde_json::from_slice(&answer.body).expect("a refusal");
    value["reason"].as_str().unwrap_or_default().to_owned()
}

/// A duplicate on another node must receive the stored response of the first attempt instead of
/// running the request again.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_on_another_node_gets_the_first_response() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-1", "size=2000");
    let first = fleet.nodes[0].call(&request).await.expect("an answer");
    let second = fleet.nodes[1].call(&request).await.expect("an answer");
    assert_response_of(&first, "lotion-1");
    assert_eq!(first.body, second.body);
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(fleet.runs("lotion-1").len(), 1);
}

/// Two concurrent attempts on different nodes must run the request once and receive the same
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_duplicate_waits_for_the_first_attempt() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-2", "ms=400");
    let (first, second) =
        tokio::join!(fleet.nodes[0].call(&request), fleet.nodes[1].call(&request));
    assert_response_of(&first.expect("an answer"), "lotion-2");
    assert_response_of(&second.expect("an answer"), "lotion-2");
    assert_eq!(fleet.runs("lotion-2").len(), 1);
}

/// An attempt must not be abandoned when its caller disconnects; a duplicate receives its
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_continues_after_the_caller_disconnects() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-3", "ms=600");
    let disconnected = fleet.nodes[0]
        .callers
        .call(&request, Duration::from_millis(200))
        .await;
    assert!(disconnected.is_err(), "the caller must have disconnected");
    let second = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_response_of(&second, "lotion-3");
    assert_eq!(fleet.runs("lotion-3").len(), 1);
}

/// The log reports an error for an append but applies it later. The caller was told that its
/// request did not run, so the late intent must not block a retry.
#[tokio::test(flavor = "multi_thread")]
async fn late_intent_does_not_block_the_key() {
    let fleet = Fleet::start(FleetOptions {
        propose_timeout_ms: 300,
        ..FleetOptions::default()
    })
    .await;
    fleet.platform.with_platform(|platform| {
        platform.faults.late_appends = 1_000;
        platform.faults.late_ms = 1_200;
    });
    let request = renewal("lotion-4", "");
    let first = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(first.header(DID_NOT_RUN_HEADER), Some("true"));
    fleet
        .platform
        .with_platform(|platform| platform.faults.late_appends = 0);
    let state = || fleet.nodes[1].node.state();
    wait_until("the late intent is in the log", || state().key_count() > 0).await;
    let mut last = None;
    for _ in 0..100 {
        let answer = fleet.nodes[1].call(&request).await.expect("an answer");
        let is_ok = answer.status == StatusCode::OK;
        last = Some(answer);
        if is_ok {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_response_of(&last.expect("an answer"), "lotion-4");
    assert_eq!(fleet.runs("lotion-4").len(), 1);
}

/// A node is killed after it dispatched a request, and restarted. Duplicates must be refused with
/// an unknown outcome and must not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_killed_node_is_not_run_again() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-5", "ms=3000");
    let callers = fleet.nodes[0].callers.clone();
    let call = {
        let request = request.clone();
        tokio::spawn(async move { callers.call(&request, common::TIMEOUT).await })
    };
    wait_until("the renewal runs", || fleet.runs("lotion-5").len() == 1).await;
    fleet.nodes[0].kill();
    // The runtime drops its tasks in any order, so the handler may still respond that the outcome
    // is unknown.
    if let Ok(answer) = call.await.expect("no panic") {
        assert_eq!(reason(&answer), "outcome_unknown");
        assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    }
    fleet.restart(0).await;
    for node in &fleet.nodes {
        let answer = node.call(&request).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(reason(&answer), "outcome_unknown");
        assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    }
    assert_eq!(fleet.runs("lotion-5").len(), 1);
}

/// A response truncated by the endpoint must not be forwarded as complete, and the request, which
/// may have run, must not be retried.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_neither_forwarded_nor_retried() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-6", "break=1&size=100000");
    for node in &fleet.nodes {
        let answer = node.call(&request).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    }
    assert_eq!(fleet.runs("lotion-6").len(), 1);
}

/// A key older than the retention of keys must be refused without the claim that its request did
/// not run, as an earlier attempt may no longer be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn expired_key_is_refused() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let retention_ms = fleet.nodes[0].node.state().key_keep_ms();
    let issued_ms = Clock::system().now_ms() - retention_ms;
    let request = renewal("lotion-7", "").with_header(ISSUED_HEADER, issued_ms.to_string());
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_eq!(reason(&answer), "key_too_old");
    assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    assert_eq!(fleet.runs("lotion-7").len(), 0);
}

macro_rules! key_ages {
    ($($name:ident: $issued_ms:expr => $age:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(check_key_age($issued_ms, 1_000_000, 100_000), $age);
        })*
    };
}

key_ages! {
    key_without_time_is_valid: None => KeyAge::Valid;
    fresh_key_is_valid: Some(1_000_000) => KeyAge::Valid;
    key_within_the_skew_is_expired: Some(905_000) => KeyAge::Expired;
    key_before_the_skew_is_valid: Some(911_000) => KeyAge::Valid;
    key_in_the_future_is_refused: Some(1_020_000) => KeyAge::InFuture;
}

/// A version 7 UUID contains a timestamp in its first 48 bits; other versions are ignored.
#[test]
fn uuid_v7_contains_its_timestamp() {
    let timestamp_ms = uuid_v7_timestamp_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    assert_eq!(timestamp_ms, Some(1_645_557_742_000));
    assert_eq!(
        uuid_v7_timestamp_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"),
        None
    );
    assert_eq!(uuid_v7_timestamp_ms("lotion"), None);
}
