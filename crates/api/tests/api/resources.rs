//! Declaring, showing, listing and withdrawing resources.

use {
    crate::common::{
        TestNode, json, platform, pool, put, set_faults, shown, start_node, vm, wait_until,
    },
    http::Method,
    insta::assert_snapshot,
    lynxwheel_api::AccessControl,
    lynxwheel_protocol::{CURRENT_HEADER, Kind},
    lynxwheel_transport::ClientRequest,
    serde_json::json as document,
};

macro_rules! refused {
    ($($(#[$doc:meta])* $name:ident: $request:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            let platform = platform(0).await;
            let node = start_node(&platform, "node-1", AccessControl::default()).await;
            node.declare(Kind::Pool, "notices", &pool(3, 2)).await;
            node.declare(Kind::Vm, "vm-0", &vm("notices")).await;
            let before = node.get("/v1/pool").await;
            let answer = node.call(&$request).await;
            assert_snapshot!(stringify!($name), shown(&answer));
            let after = node.get("/v1/pool").await;
            assert_eq!(json(&before)["items"][0]["revision"], json(&after)["items"][0]["revision"]);
        })*
    };
}

refused! {
    /// An operator's file has four mistakes. Told one at a time, mending it takes four rounds
    /// in the middle of an outage.
    every_bad_field_at_once: put("/v1/service/map", &document!({ "kind": "service", "spec": {
        "slots_per_endpoint": 0, "deadline_ms": "soon", "dead_line": 1, "pool": "a b" } }));
    /// A misspelt group member would be lost in silence and the default taken instead.
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
    /// A trial that is misspelt must not become a write.
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

/// An operator withdraws a pool that three things still need. Told of one at a time, each try
/// fails anew; told of all, one look is enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawal_names_all_dependants() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(2, 1)).await;
    node.declare(Kind::Vm, "vm-0", &vm("notices")).await;
    node.declare(Kind::Vm, "vm-1", &vm("notices")).await;
    let service = document!({ "kind": "service", "spec": { "pool": "notices" } });
    node.declare(Kind::Service, "map", &service).await;
    assert_snapshot!(shown(&node.delete("/v1/pool/notices").await));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_resource_is_gone() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(2, 1)).await;
    let answer = node.delete("/v1/pool/notices").await;
    assert_eq!(answer.status, 200, "{}", shown(&answer));
    assert_eq!(node.get("/v1/pool/notices").await.status, 404);
}

/// Two operators read a pool at one revision and both raise its size. Without the revision the
/// second would silently undo the first; with it, the second is told which revision won.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn loser_of_a_race_is_told_the_revision_that_won() {
    let platform = platform(0).await;
    let one = start_node(&platform, "node-1", AccessControl::default()).await;
    let two = start_node(&platform, "node-2", AccessControl::default()).await;
    let seen = one.declare(Kind::Pool, "notices", &pool(3, 2)).await;
    let change =
        |size| put("/v1/pool/notices", &pool(size, 2)).with_header("if-match", seen.to_string());
    let (change_one, change_two) = (change(4), change(5));
    let (first, second) = tokio::join!(one.call(&change_one), two.call(&change_two));
    let (won, lost) = if first.status == 200 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((won.status.as_u16(), lost.status.as_u16()), (200, 412));
    assert_eq!(json(&won)["revision"], json(&lost)["revision"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dry_run_changes_nothing() {
    let (_platform, node) = one_node().await;
    let revision = node.declare(Kind::Pool, "notices", &pool(3, 2)).await;
    let trial = node.put("/v1/pool/notices?dry_run=true", &pool(9, 2)).await;
    assert_eq!(json(&trial)["dry_run"], true);
    let trial = node.delete("/v1/pool/notices?dry_run=true").await;
    assert_eq!(json(&trial)["revision"], revision);
    let refused = node.put("/v1/vm/vm-0?dry_run=true", &vm("maps")).await;
    assert_eq!(refused.status, 422);
    let view = json(&node.get("/v1/pool/notices").await);
    assert_eq!(
        (&view["spec"]["size"], &view["revision"]),
        (&document!(3), &document!(revision))
    );
}

/// The platform's log is down when an operator declares a pool. Nothing was sent, so the answer
/// must say that nothing was applied and when to come back, at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_while_the_log_is_down_is_refused_with_when_to_come_back() {
    let (platform, node) = one_node().await;
    let faults = lynxwheel_standin::Faults {
        log_down: true,
        ..Default::default()
    };
    set_faults(&platform, faults);
    let answer = node.put("/v1/pool/notices", &pool(3, 2)).await;
    assert_eq!(
        (answer.status.as_u16(), &json(&answer)["reason"]),
        (503, &document!("log_unavailable"))
    );
    assert!(answer.header("retry-after").is_some());
}

/// A node that is cut from the log goes on answering from the state it has. An operator who
/// takes that for the present acts on what is long past, so every answer says whether it is.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_say_whether_the_node_is_current() {
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
    let answer = node.get("/v1/pool").await;
    assert_eq!(answer.header(CURRENT_HEADER), Some("false"));
    assert_eq!(json(&answer)["current"], false);
}
