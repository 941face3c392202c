//! Declaration, retrieval, listing and withdrawal of resources.

use {
    crate::common::{
        TestNode, format_response, json, platform, pool, put, set_faults, start_node, vm,
        wait_until,
    },
    http::Method,
    insta::assert_snapshot,
    lynxwheel_api::AccessControl,
    lynxwheel_protocol::{CURRENT_HEADER, Kind},
    lynxwheel_transport::ClientRequest,
    serde_json::json as document,
};

macro_rules! rejected {
    ($($(#[$doc:meta])* $name:ident: $request:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            let platform = platform(0).await;
            let node = start_node(&platform, "node-1", AccessControl::default()).await;
            node.declare(Kind::Pool, "notices", &pool(3, 2)).await;
            node.declare(Kind::Vm, "vm-0", &vm("notices")).await;
            let before = node.get("/v1/pool").await;
            let response = node.call(&$request).await;
            assert_snapshot!(stringify!($name), format_response(&response));
            let after = node.get("/v1/pool").await;
            assert_eq!(json(&before)["items"][0]["revision"], json(&after)["items"][0]["revision"]);
        })*
    };
}

rejected! {
    /// Guards against reporting only the first of several errors.
    every_bad_field_at_once: put("/v1/service/map", &document!({ "kind": "service", "spec": {
        "slots_per_endpoint": 0, "deadline_ms": "soon", "dead_line": 1, "pool": "a b" } }));
    /// Guards against ignoring a misspelt member of a group and using its default.
    unknown_member_of_group: put("/v1/pool/notices", &document!({ "kind": "pool", "spec": {
        "size": 3, "budget": { "min_available": { "percent": 101 }, "zones": 2 } } }));
    all_missing_references: put("/v1/wave/kernel", &document!({ "kind": "wave", "spec": {
        "pools": ["billing", "maps", "notices"], "due_before_ms": 1 } }));
    path_of_another_kind: put("/v1/team/notices", &pool(3, 2));
    no_json: ClientRequest::new(Method::PUT, "/v1/pool/notices").with_body("{\"kind\": \"pool\"");
    too_large: ClientRequest::new(Method::PUT, "/v1/pool/notices").with_body(vec![b' '; 64 * 1024]);
    bad_if_match: put("/v1/pool/notices", &pool(3, 3)).with_header("if-match", "\"latest\"");
    both_preconditions: put("/v1/pool/notices", &pool(3, 3))
        .with_header("if-match", "1").with_header("if-none-match", "*");
    /// Guards against applying a write whose dry run parameter is misspelt.
    misspelt_dry_run: put("/v1/pool/notices?dryrun=true", &pool(3, 3));
    exists_already: put("/v1/pool/notices", &pool(3, 3)).with_header("if-none-match", "*");
    method_not_allowed: ClientRequest::new(Method::POST, "/v1/pool/notices");
    unknown_kind: ClientRequest::new(Method::GET, "/v1/pols");
    unknown_resource: ClientRequest::new(Method::GET, "/v1/pool/maps");
    bad_limit: ClientRequest::new(Method::GET, "/v1/pool?limit=0&from=3");
    bad_operation: ClientRequest::new(Method::GET, "/v1/operations/seven");
}

async fn one_node() -> (lynxwheel_standin::PlatformServer, TestNode) {
    let platform = platform(0).await;
    let node = start_node(&platform, "node-1", AccessControl::default()).await;
    (platform, node)
}

/// Guards against naming only the first of several dependents.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawal_names_all_dependents() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(2, 1)).await;
    node.declare(Kind::Vm, "vm-0", &vm("notices")).await;
    node.declare(Kind::Vm, "vm-1", &vm("notices")).await;
    let service = document!({ "kind": "service", "spec": { "pool": "notices" } });
    node.declare(Kind::Service, "map", &service).await;
    assert_snapshot!(format_response(&node.delete("/v1/pool/notices").await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_resource_is_not_found() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(2, 1)).await;
    let response = node.delete("/v1/pool/notices").await;
    assert_eq!(response.status, 200, "{}", format_response(&response));
    assert_eq!(node.get("/v1/pool/notices").await.status, 404);
}

/// Guards against lost updates: of two writes that expect the same revision, one is rejected with
/// the revision of the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_write_is_rejected_with_the_new_revision() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    let base = one.declare(Kind::Pool, "notices", &pool(3, 2)).await;
    let change =
        |size| put("/v1/pool/notices", &pool(size, 2)).with_header("if-match", base.to_string());
    let (change_one, change_two) = (change(4), change(5));
    let (first, second) = tokio::join!(one.call(&change_one), two.call(&change_two));
    let (accepted, rejected) = if first.status == 200 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!(
        (accepted.status.as_u16(), rejected.status.as_u16()),
        (200, 412)
    );
    assert_eq!(json(&accepted)["revision"], json(&rejected)["revision"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dry_run_changes_nothing() {
    let (_platform, node) = one_node().await;
    let revision = node.declare(Kind::Pool, "notices", &pool(3, 2)).await;
    let dry_run = node.put("/v1/pool/notices?dry_run=true", &pool(9, 2)).await;
    assert_eq!(json(&dry_run)["dry_run"], true);
    let dry_run = node.delete("/v1/pool/notices?dry_run=true").await;
    assert_eq!(json(&dry_run)["revision"], revision);
    let rejected = node.put("/v1/vm/vm-0?dry_run=true", &vm("maps")).await;
    assert_eq!(rejected.status, 422);
    let view = json(&node.get("/v1/pool/notices").await);
    assert_eq!(
        (&view["spec"]["size"], &view["revision"]),
        (&document!(3), &document!(revision))
    );
}

/// Guards against an unknown outcome or a wait when the log is unavailable and nothing was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_during_log_outage_is_rejected_with_retry_after() {
    let (platform, node) = one_node().await;
    let faults = lynxwheel_standin::Faults {
        log_down: true,
        ..Default::default()
    };
    set_faults(&platform, faults);
    let response = node.put("/v1/pool/notices", &pool(3, 2)).await;
    assert_eq!(
        (response.status.as_u16(), &json(&response)["reason"]),
        (503, &document!("log_unavailable"))
    );
    assert!(response.header("retry-after").is_some());
}

/// Guards against outdated responses of a node without access to the log looking current.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_tell_whether_the_node_is_current() {
    let (platform, node) = one_node().await;
    assert_eq!(
        node.get("/v1/pool").await.header(CURRENT_HEADER),
        Some("true")
    );
    let faults = lynxwheel_standin::Faults {
        log_down: true,
        ..Default::default()
    };
    set_faults(&platform, faults);
    wait_until("the node knows that it is behind", || {
        !node.node.is_current()
    })
    .await;
    let response = node.get("/v1/pool").await;
    assert_eq!(response.header(CURRENT_HEADER), Some("false"));
    assert_eq!(json(&response)["current"], false);
}
