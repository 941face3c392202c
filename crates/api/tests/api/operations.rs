//! Lookup of operations, in particular of writes with an unknown outcome.

use {
    crate::common::{
        PROPOSE_TIMEOUT_MS, TestNode, json, platform, pool, put, set_faults, start_node, wait_until,
    },
    lynxwheel_api::AccessControl,
    lynxwheel_protocol::{Kind, OperationId, OperationOutcome},
    lynxwheel_standin::Faults,
    serde_json::{Value, json as document},
};

/// Delay of appends in milliseconds, longer than the timeout of proposals.
const APPEND_DELAY_MS: u64 = 4 * PROPOSE_TIMEOUT_MS;

/// Returns faults by which every append, retries included, fails and takes effect later.
fn late_appends() -> Faults {
    Faults {
        late_appends: u32::MAX,
        late_ms: APPEND_DELAY_MS,
        ..Faults::default()
    }
}

async fn look_up(node: &TestNode, operation: &Value) -> Value {
    let operation = operation.as_str().expect("operation");
    json(&node.get(&format!("/v1/operations/{operation}")).await)
}

/// Guards against reporting a write as failed when the log returns an error and applies it later.
/// Any node reports the operation as not seen, and later as accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_outcome_is_resolved_on_another_node() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    set_faults(&platform, late_appends());
    let response = one.put("/v1/pool/notices", &pool(3, 2)).await;
    let problem = json(&response);
    assert_eq!(
        (response.status.as_u16(), &problem["reason"]),
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

/// Guards against a late write with an outdated expected revision being applied or reported without
/// a reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_write_with_outdated_revision_is_rejected() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    two.declare(Kind::Pool, "notices", &pool(9, 2)).await;
    set_faults(&platform, late_appends());
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

/// Guards against a replaced node reporting an earlier write as not seen, which would be repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_before_the_start_of_a_node_is_too_old() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let incarnation = one.node.incarnation();
    let first = json(&one.get(&format!("/v1/operations/{incarnation}-1")).await);
    assert_eq!(first["outcome"], "too_old", "{first}");
    let older = json(&one.get("/v1/operations/1-7").await);
    assert_eq!(older["outcome"], "too_old", "{older}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operations_are_listed_most_recent_first() {
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
