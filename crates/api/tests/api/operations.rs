//! Writes whose outcome was unknown when they were answered.

use {
    crate::common::{
        PROPOSE_TIMEOUT_MS, TestNode, json, platform, pool, put, set_faults, start_node, wait_until,
    },
    lynxwheel_api::AccessControl,
    lynxwheel_protocol::{Kind, OperationId, OperationOutcome},
    lynxwheel_standin::Faults,
    serde_json::{Value, json as document},
};

/// Later than the node waits, in milliseconds.
const LATE_MS: u64 = 4 * PROPOSE_TIMEOUT_MS;

/// Every append is answered with an error and takes effect only later, those sent again too.
fn late() -> Faults {
    Faults {
        late_appends: u32::MAX,
        late_ms: LATE_MS,
        ..Faults::default()
    }
}

async fn look_up(node: &TestNode, operation: &Value) -> Value {
    let operation = operation.as_str().expect("operation");
    json(&node.get(&format!("/v1/operations/{operation}")).await)
}

/// The log takes an operator's declaration, answers with an error and applies it seconds later.
/// The node must not say that it failed: the operator would declare something else meanwhile.
/// Asked by its operation, any node says not seen yet, and later that it was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_outcome_is_found_out_on_another_node() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    set_faults(&platform, late());
    let answer = one.put("/v1/pool/notices", &pool(3, 2)).await;
    let problem = json(&answer);
    assert_eq!(
        (answer.status.as_u16(), &problem["reason"]),
        (504, &document!("outcome_unknown"))
    );
    let early = look_up(&two, &problem["operation"]).await;
    assert_eq!(
        (&early["outcome"], &early["current"]),
        (&document!("not_seen"), &document!(true))
    );
    wait_until("the write arrives", || {
        two.node.state().pools().get("notices").is_some()
    })
    .await;
    let late = look_up(&two, &problem["operation"]).await;
    let view = json(&two.get("/v1/pool/notices").await);
    assert_eq!(
        (&late["outcome"], &late["offset"]),
        (&document!("accepted"), &view["revision"])
    );
}

/// A late write expects a revision that is past when it arrives. It then loses, and its operation
/// says so with the reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_write_that_lost_is_told_as_rejected() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    two.declare(Kind::Pool, "notices", &pool(9, 2)).await;
    set_faults(&platform, late());
    let request = put("/v1/pool/notices", &pool(3, 2)).with_header("if-none-match", "*");
    let operation = json(&one.call(&request).await)["operation"].clone();
    let id: OperationId = operation
        .as_str()
        .expect("operation")
        .parse()
        .expect("operation");
    wait_until("the write arrives", || {
        two.node.operation(id) != OperationOutcome::NotSeen
    })
    .await;
    let late = look_up(&two, &operation).await;
    let reason = late["reason"].as_str().unwrap_or_default();
    assert_eq!(late["outcome"], "rejected");
    assert!(
        reason.starts_with("pool/notices is at revision "),
        "{reason}"
    );
}

/// A node that was replaced remembers no verdicts from before. For a write that its state has
/// passed it must not say "not seen", or the operator writes it a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_before_a_nodes_memory_is_too_old_to_know() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let incarnation = one.node.incarnation();
    let first = json(&one.get(&format!("/v1/operations/{incarnation}-1")).await);
    assert_eq!(first["outcome"], "too_old", "{first}");
    let older = json(&one.get("/v1/operations/1-7").await);
    assert_eq!(older["outcome"], "too_old", "{older}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn latest_operations_come_first() {
    let platform = platform(0).await;
    let node = start_node(&platform, "node-1", AccessControl::default()).await;
    node.declare(Kind::Pool, "notices", &pool(3, 2)).await;
    node.declare(Kind::Pool, "billing", &pool(3, 2)).await;
    let list = json(&node.get("/v1/operations").await);
    let names: Vec<&Value> = (0..2)
        .map(|row| &list["items"][row]["reference"]["name"])
        .collect();
    assert_eq!(names, [&document!("billing"), &document!("notices")]);
}
