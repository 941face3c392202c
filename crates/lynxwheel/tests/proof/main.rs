//! Fault tests of real processes under load, whose responses and log are checked for violated
//! guarantees.

#[path = "../common/mod.rs"]
mod common;

mod balancer;
mod checker;
mod fleet;
mod load;

use {
    checker::{AttemptOutcome, AttemptRecord},
    fleet::Fleet,
    http::Method,
    load::{Load, send_attempt},
    lynxwheel_standin::Faults,
    lynxwheel_transport::ClientRequest,
    std::time::Duration,
};

/// Responses to wait for between two faults.
const RESPONSES: u64 = 100;

/// Time after which nodes that cannot reach each other consider their peers failed, with a margin.
const PEER_FAILURE_DELAY: Duration = Duration::from_secs(7);

/// Guards against non-idempotent requests that run twice, or that run although the response says
/// otherwise, when nodes are killed and callers retry at other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn killed_nodes_cause_no_duplicate_runs() {
    let mut fleet = Fleet::start(3, "killed_nodes").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_for_responses(RESPONSES).await;
    for number in [1, 2] {
        fleet.kill(number);
        load.wait_for_responses(RESPONSES).await;
        fleet.restart(number).await;
        load.wait_for_responses(RESPONSES).await;
    }
    fleet.assert_guarantees(&load.stop().await).await;
}

/// Guards against non-idempotent requests that run twice when callers retry the requests of a
/// frozen node elsewhere and the node then resumes.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_causes_no_duplicate_runs() {
    let fleet = Fleet::start(3, "frozen_node").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_for_responses(RESPONSES).await;
    for _ in 0..2 {
        fleet.nodes[1].process.signal("STOP");
        load.wait_for_responses(RESPONSES / 2).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.nodes[1].process.signal("CONT");
        load.wait_for_responses(RESPONSES).await;
    }
    fleet.assert_guarantees(&load.stop().await).await;
}

/// Guards against idempotent requests that fail, and non-idempotent ones that run, while the log is
/// unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_fails_no_idempotent_request() {
    let fleet = Fleet::start(2, "log_outage").await;
    let node = &fleet.nodes[0].callers;
    fleet
        .set_faults(&Faults {
            log_down: true,
            ..Faults::default()
        })
        .await;
    let mut records = Vec::new();
    for number in 0..100 {
        let id = format!("read-{number}");
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=2");
        let record = send_attempt(node, request, &id, 0).await;
        assert_eq!(record.outcome, AttemptOutcome::Answered, "{id}");
        records.push(record);
    }
    for number in 0..5 {
        let id = format!("charge-{number}");
        let record = send_attempt(node, charge(&id), &id, 0).await;
        assert_ne!(
            record.outcome,
            AttemptOutcome::Answered,
            "{id} ran without the log"
        );
        records.push(record);
    }
    fleet.set_faults(&Faults::default()).await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_for_responses(RESPONSES).await;
    records.extend(load.stop().await);
    fleet.assert_guarantees(&records).await;
}

/// Guards against requests that fail and declarations that are lost when all nodes are replaced one
/// after another behind a load balancer.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_fails_no_request() {
    let mut fleet = Fleet::start(3, "rolling_replacement").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_for_responses(RESPONSES).await;
    for number in 0..3 {
        fleet.stop(number).await;
        load.wait_for_responses(RESPONSES).await;
        fleet.restart(number).await;
        load.wait_for_responses(RESPONSES).await;
    }
    let records = load.stop().await;
    let failed: Vec<&AttemptRecord> = records
        .iter()
        .filter(|record| matches!(record.outcome, AttemptOutcome::Unknown(_)))
        .collect();
    let runs = fleet.runs_of(&failed).await;
    assert!(
        failed.is_empty(),
        "failed by a graceful shutdown: {failed:#?}, which ran as {runs:#?}"
    );
    fleet.assert_guarantees(&records).await;
    let pool = fleet.nodes[2].get("pool/maps").await;
    assert_eq!(pool["spec"]["size"], fleet::VMS, "{pool}");
}

/// Guards against a node without access to the log that runs non-idempotent requests, and against
/// duplicate runs when delayed appends arrive after the partition.
#[tokio::test(flavor = "multi_thread")]
async fn platform_partition_causes_no_duplicate_runs() {
    let fleet = Fleet::start(3, "zone_cut").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_for_responses(RESPONSES).await;
    fleet.proxies[1].interrupt();
    load.wait_for_responses(RESPONSES).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let id = "charge-in-the-cut";
    let record = send_attempt(&fleet.nodes[1].callers, charge(id), id, 0).await;
    assert_ne!(
        record.outcome,
        AttemptOutcome::Answered,
        "a charge without the log"
    );
    fleet.proxies[1].resume();
    load.wait_for_responses(RESPONSES).await;
    let mut records = load.stop().await;
    records.push(record);
    fleet.assert_guarantees(&records).await;
}

/// Guards against records that take effect twice when responses of the log service are lost,
/// appends are delayed and the node retries them.
#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_appends_cause_no_duplicate_runs() {
    let fleet = Fleet::start(2, "lost_appends").await;
    let load = Load::start(&fleet.callers(), 6);
    for _ in 0..3 {
        load.wait_for_responses(RESPONSES / 2).await;
        fleet
            .set_faults(&Faults {
                lose_answers: 5,
                late_appends: 5,
                late_ms: 700,
                ..Faults::default()
            })
            .await;
    }
    load.wait_for_responses(RESPONSES).await;
    fleet.assert_guarantees(&load.stop().await).await;
}

/// Guards against a late response that reaches the next caller on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_reaches_no_other_caller() {
    let fleet = Fleet::start(1, "late_answer").await;
    let node = &fleet.nodes[0].callers;
    let mut records = Vec::new();
    for number in 0..20 {
        let late = ClientRequest::new(Method::POST, "/maps/charge?ms=150")
            .with_header("lynxwheel-deadline-ms", "50");
        let id = format!("late-{number}");
        let record = send_attempt(node, late, &id, 0).await;
        assert_ne!(record.outcome, AttemptOutcome::Answered, "{id}");
        records.push(record);
        let id = format!("next-{number}");
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=1");
        let record = send_attempt(node, request, &id, 0).await;
        assert_eq!(record.outcome, AttemptOutcome::Answered, "{id}");
        records.push(record);
    }
    fleet.assert_guarantees(&records).await;
}

/// Guards against an incomplete response of an endpoint that looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_never_complete() {
    let fleet = Fleet::start(1, "broken_answer").await;
    let node = &fleet.nodes[0].callers;
    let mut records = Vec::new();
    for number in 0..10 {
        let id = format!("broken-{number}");
        let request = ClientRequest::new(Method::POST, "/maps/charge?break=1");
        let record = send_attempt(node, request, &id, 0).await;
        assert!(
            matches!(record.outcome, AttemptOutcome::Unknown(_)),
            "{record:?}"
        );
        records.push(record);
    }
    fleet.assert_guarantees(&records).await;
}

/// Guards against a wave that stalls, restarts a VM twice or violates the budget when nodes with
/// claims are killed.
#[tokio::test(flavor = "multi_thread")]
async fn wave_completes_after_its_holder_is_killed() {
    let mut fleet = Fleet::start(3, "wave_holder").await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_for_responses(RESPONSES).await;
    fleet.start_wave("kernel").await;
    for number in 0..3 {
        fleet.wait_done("kernel", 1 + number).await;
        let number = usize::try_from(number).expect("small");
        fleet.kill(number);
        load.wait_for_responses(RESPONSES / 2).await;
        fleet.restart(number).await;
    }
    fleet.nodes[0].wait_ready("wave/kernel").await;
    fleet.assert_guarantees(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

/// Guards against VMs that are restarted twice when a frozen node resumes after other nodes have
/// taken over its claims.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_causes_no_duplicate_restarts() {
    let fleet = Fleet::start(3, "frozen_holder").await;
    let load = Load::start(&fleet.callers(), 4);
    fleet.start_wave("kernel").await;
    let holder = fleet.wait_holder().await;
    fleet.nodes[holder].process.signal("STOP");
    let other = &fleet.nodes[(holder + 1) % fleet.nodes.len()];
    other.wait_ready("wave/kernel").await;
    fleet.nodes[holder].process.signal("CONT");
    load.wait_for_responses(RESPONSES).await;
    fleet.assert_guarantees(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

/// Guards against violated budgets and duplicate restarts when nodes cannot reach each other and
/// each takes over the others' claims.
#[tokio::test(flavor = "multi_thread")]
async fn peer_partition_violates_no_budget() {
    let fleet = Fleet::start(3, "peers_cut").await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_for_responses(RESPONSES).await;
    for proxy in &fleet.peer_proxies {
        proxy.interrupt();
    }
    tokio::time::sleep(PEER_FAILURE_DELAY).await;
    fleet.start_wave("kernel").await;
    load.wait_for_responses(RESPONSES).await;
    fleet.nodes[2].wait_ready("wave/kernel").await;
    for proxy in &fleet.peer_proxies {
        proxy.resume();
    }
    load.wait_for_responses(RESPONSES).await;
    fleet.assert_guarantees(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

/// Returns a non-idempotent request with an idempotency key.
fn charge(key: &str) -> ClientRequest {
    ClientRequest::new(Method::POST, "/maps/charge?ms=5").with_header("idempotency-key", key)
}
