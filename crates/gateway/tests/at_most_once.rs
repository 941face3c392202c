//! Non-idempotent requests through failures of callers, nodes and the log.

mod common;

use {
    common::{Fleet, FleetOptions, assert_own, renewal, wait_until},
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

/// A caller's connection breaks after its renewal was charged, and the balancer sends the second
/// attempt to another node. It must get the first one's answer, and the renewal must be charged
/// once, because the intent is in the log and the first node keeps the answer.
#[tokio::test(flavor = "multi_thread")]
async fn second_attempt_on_another_node_gets_the_first_answer() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-1", "size=2000");
    let first = fleet.nodes[0].call(&request).await.expect("an answer");
    let second = fleet.nodes[1].call(&request).await.expect("an answer");
    assert_own(&first, "lotion-1");
    assert_eq!(first.body, second.body);
    assert_eq!(second.status, StatusCode::OK);
    assert_eq!(fleet.runs("lotion-1").len(), 1);
}

/// An impatient caller sends its renewal to two nodes at once. Both attempts get the one answer,
/// the second by waiting for the first, and the renewal is charged once.
#[tokio::test(flavor = "multi_thread")]
async fn second_attempt_waits_for_the_first() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-2", "ms=400");
    let (first, second) =
        tokio::join!(fleet.nodes[0].call(&request), fleet.nodes[1].call(&request));
    assert_own(&first.expect("an answer"), "lotion-2");
    assert_own(&second.expect("an answer"), "lotion-2");
    assert_eq!(fleet.runs("lotion-2").len(), 1);
}

/// A caller hangs up while its renewal runs and asks the same node again. The first attempt goes
/// on without its caller, and the second one gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_goes_on_without_its_caller() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-3", "ms=600");
    let hung_up = fleet.nodes[0]
        .callers
        .call(&request, Duration::from_millis(200))
        .await;
    assert!(hung_up.is_err(), "the caller must have hung up");
    let second = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_own(&second, "lotion-3");
    assert_eq!(fleet.runs("lotion-3").len(), 1);
}

/// The log service answers an append with an error and applies it later. The caller was told "did
/// not run", so its next attempt must run; if the late intent held the key for good, the renewal
/// would never be charged.
#[tokio::test(flavor = "multi_thread")]
async fn late_intent_does_not_burn_the_key() {
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
        let is_over = answer.status == StatusCode::OK;
        last = Some(answer);
        if is_over {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_own(&last.expect("an answer"), "lotion-4");
    assert_eq!(fleet.runs("lotion-4").len(), 1);
}

/// A node dies after it sent a renewal to an endpoint, and is started again. Nobody can tell
/// whether it was charged, so every further attempt is told so at once, and it is not run again.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_of_a_dead_node_is_not_run_again() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-5", "ms=3000");
    let callers = fleet.nodes[0].callers.clone();
    let call = {
        let request = request.clone();
        tokio::spawn(async move { callers.call(&request, common::LIMIT).await })
    };
    wait_until("the renewal runs", || fleet.runs("lotion-5").len() == 1).await;
    fleet.nodes[0].kill();
    // The runtime drops its tasks in any order, so the handler may still tell what it knows: that
    // the outcome is unknown. Process tests kill whole processes.
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

/// An endpoint breaks off its answer to a renewal. A part must never pass for the whole answer,
/// and the renewal, which may have been charged, is not run again.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_is_neither_passed_on_nor_run_again() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let request = renewal("lotion-6", "break=1&size=100000");
    for node in &fleet.nodes {
        let answer = node.call(&request).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    }
    assert_eq!(fleet.runs("lotion-6").len(), 1);
}

/// A caller comes back with a key after the time for which keys are kept. An earlier attempt may
/// have been charged and forgotten, so the request is refused without a claim that it never ran.
#[tokio::test(flavor = "multi_thread")]
async fn key_older_than_kept_is_refused() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let keep_ms = fleet.nodes[0].node.state().key_keep_ms();
    let issued_ms = Clock::system().now_ms() - keep_ms;
    let request = renewal("lotion-7", "").with_header(ISSUED_HEADER, issued_ms.to_string());
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    assert_eq!(reason(&answer), "key_too_old");
    assert_eq!(answer.header(DID_NOT_RUN_HEADER), None);
    assert_eq!(fleet.runs("lotion-7").len(), 0);
}

macro_rules! ages {
    ($($name:ident: $issued_ms:expr => $age:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(check_key_age($issued_ms, 1_000_000, 100_000), $age);
        })*
    };
}

ages! {
    key_without_time_counts_as_kept: None => KeyAge::Valid;
    fresh_key_is_kept: Some(1_000_000) => KeyAge::Valid;
    key_within_the_margin_is_too_old: Some(905_000) => KeyAge::Expired;
    key_before_the_margin_is_kept: Some(911_000) => KeyAge::Valid;
    key_far_ahead_is_refused: Some(1_020_000) => KeyAge::InFuture;
}

/// The time of a version 7 UUID is in its first 48 bits; other versions tell none.
#[test]
fn uuid_tells_its_time() {
    let time = uuid_v7_timestamp_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    assert_eq!(time, Some(1_645_557_742_000));
    assert_eq!(
        uuid_v7_timestamp_ms("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"),
        None
    );
    assert_eq!(uuid_v7_timestamp_ms("lotion"), None);
}
