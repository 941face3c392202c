//! Streams of changes.

use {
    crate::common::{LIMIT, TestNode, json, platform, pool, start_node, vm},
    http::{Method, Request},
    http_body_util::BodyExt,
    lynxwheel_api::AccessControl,
    lynxwheel_protocol::{Kind, RecordBody, Resource, VmSpec, WatchEndReason, WatchEvent},
    lynxwheel_transport::{Body, empty_body},
    serde_json::Value,
    std::time::Duration,
    tokio::time::{Instant, timeout},
};

/// An open watch, read line by line.
struct Watcher {
    body: Body,
    bytes: Vec<u8>,
}

impl Watcher {
    async fn open(node: &TestNode, query: &str) -> Self {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("/v1/vm?watch=true{query}"))
            .header("host", "test")
            .body(empty_body())
            .expect("request");
        let response = node
            .client
            .send(request, Instant::now() + LIMIT)
            .await
            .expect("answer");
        assert_eq!(response.status(), 200);
        Self {
            body: response.into_body(),
            bytes: Vec::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<WatchEvent> {
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return Some(serde_json::from_slice(&line).expect("an event"));
            }
            let frame = timeout(LIMIT, self.body.frame())
                .await
                .expect("a frame in time")?;
            let data = frame
                .expect("an unbroken stream")
                .into_data()
                .expect("data");
            self.bytes.extend_from_slice(&data);
        }
    }

    /// Returns the next event that is no bookmark.
    async fn next_change(&mut self) -> Option<WatchEvent> {
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            match self.next().await {
                Some(WatchEvent::Bookmark { .. }) => {}
                other => return other,
            }
        }
        panic!("bookmarks only")
    }

    async fn next_name(&mut self) -> String {
        match self.next_change().await {
            Some(WatchEvent::Changed { view }) => view.resource.name().into(),
            Some(WatchEvent::Deleted { reference, .. }) => format!("-{}", reference.name),
            other => panic!("{other:?}"),
        }
    }
}

async fn one_node() -> (lynxwheel_standin::PlatformServer, TestNode) {
    let platform = platform(0).await;
    let node = start_node(&platform, "node-1", AccessControl::default()).await;
    node.declare(Kind::Pool, "notices", &pool(4, 0)).await;
    (platform, node)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_revision_everything_is_told_first() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let mut watcher = Watcher::open(&node, "").await;
    assert_eq!(watcher.next_name().await, "a");
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(watcher.next_name().await, "b");
}

/// A watcher lists, loses its connection and comes back with the list's revision. What was
/// declared and withdrawn in between must be told, or its copy differs for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_since_a_list_are_told() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let revision = json(&node.get("/v1/vm").await)["revision"].clone();
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(node.delete("/v1/vm/a").await.status, 200);
    let mut watcher = Watcher::open(&node, &format!("&from={revision}")).await;
    let mut told = [watcher.next_name().await, watcher.next_name().await];
    told.sort();
    assert_eq!(told, ["-a", "b"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_resource_can_be_watched() {
    let (_platform, node) = one_node().await;
    let mut watcher = Watcher::open(&node, "&name=b").await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(watcher.next_name().await, "b");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revision_that_the_node_has_not_reached_is_refused() {
    let (_platform, node) = one_node().await;
    let answer = node.get("/v1/vm?watch=true&from=1000000").await;
    assert_eq!(
        (answer.status.as_u16(), &json(&answer)["reason"]),
        (503, &"behind".into())
    );
    assert!(answer.header("retry-after").is_some());
}

/// A watcher comes from another node with a revision at which this node compared no states. A VM
/// that was declared before it and withdrawn after it shows in no comparison here, so the watcher
/// would keep it for good; it is told to list again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revision_between_two_comparisons_is_refused() {
    let (_platform, node) = one_node().await;
    let before = json(&node.get("/v1/vm").await)["revision"]
        .as_u64()
        .expect("revision");
    let declared: Vec<_> = (0..200).map(declaration).collect();
    let proposals = declared.into_iter().map(|body| {
        let proposer = node.node.proposer().clone();
        tokio::spawn(async move { proposer.propose_and_confirm(body).await })
    });
    for proposal in proposals.collect::<Vec<_>>() {
        assert!(proposal.await.expect("a decision"));
    }
    let after = json(&node.get("/v1/vm").await)["revision"]
        .as_u64()
        .expect("revision");
    let mut refused = 0;
    for revision in before + 1..after {
        let answer = node
            .get(&format!("/v1/vm?limit=1&continue={revision}:a"))
            .await;
        refused += u32::from(answer.status == 410);
    }
    assert!(refused > 100, "{refused}");
}

fn declaration(number: u32) -> RecordBody {
    RecordBody::Put {
        resource: Box::new(Resource::Vm(VmSpec {
            name: format!("vm-{number:05}").into(),
            pool: "notices".into(),
        })),
        if_revision: None,
    }
}

/// Declares many VMs, more than the log of changes keeps.
async fn declare_many(node: &TestNode, count: u32) {
    for first in (0..count).step_by(512) {
        let mut proposals = tokio::task::JoinSet::new();
        for number in first..(first + 512).min(count) {
            let proposer = node.node.proposer().clone();
            proposals.spawn(async move { proposer.propose_and_confirm(declaration(number)).await });
        }
        assert!(
            proposals
                .join_all()
                .await
                .into_iter()
                .all(|accepted| accepted)
        );
    }
}

/// A watcher comes back with a revision from long ago. The changes since are no longer kept; a
/// stream that began later would miss some in silence, so it is told to list again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revision_too_old_is_refused() {
    let (_platform, node) = one_node().await;
    let revision = json(&node.get("/v1/vm").await)["revision"].clone();
    declare_many(&node, 17_000).await;
    // Listing notes every change that is folded by then.
    node.get("/v1/vm?limit=1").await;
    let answer = node
        .get(&format!("/v1/vm?watch=true&from={revision}"))
        .await;
    assert_eq!(
        (answer.status.as_u16(), &json(&answer)["reason"]),
        (410, &"too_old".into())
    );
}

/// A dashboard is open when the node is to be replaced. A stop that waited for its answer to end
/// would never come; the stream is ended instead, with the revision from which to go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_watch_does_not_hold_up_a_stop() {
    let (_platform, mut node) = one_node().await;
    let mut watcher = Watcher::open(&node, "").await;
    assert!(matches!(
        watcher.next().await,
        Some(WatchEvent::Bookmark { .. })
    ));
    node.stop.begin();
    let end = watcher.next_change().await;
    assert!(
        matches!(
            end,
            Some(WatchEvent::Ended {
                reason: WatchEndReason::Stopping,
                ..
            })
        ),
        "{end:?}"
    );
    assert_eq!(watcher.next().await, None);
    timeout(LIMIT, &mut node.server)
        .await
        .expect("the server ends")
        .expect("the server's end");
}

/// A watcher stops reading but keeps its connection. Lines for it must not pile up, and its place
/// must be given to others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watcher_that_does_not_read_is_ended() {
    let (_platform, mut node) = one_node().await;
    declare_many(&node, 17_000).await;
    let watcher = Watcher::open(&node, "").await;
    // The node is stopped while the watcher's socket is full.
    tokio::time::sleep(Duration::from_millis(500)).await;
    node.stop.begin();
    timeout(LIMIT, &mut node.server)
        .await
        .expect("the server ends")
        .expect("the server's end");
    drop(watcher);
}

/// Between two pages another operator withdraws a VM already told of and declares one that sorts
/// before the place reached. The pages cannot show it, but all of them carry the first page's
/// revision, and a watch from there does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pages_and_a_watch_from_their_revision_miss_nothing() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(4, 0)).await;
    for name in ["b", "c", "d", "e"] {
        node.declare(Kind::Vm, name, &vm("notices")).await;
    }
    let first = json(&node.get("/v1/vm?limit=2").await);
    assert_eq!(node.delete("/v1/vm/b").await.status, 200);
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let place = first["continue"].as_str().expect("another page");
    let second = json(&node.get(&format!("/v1/vm?limit=2&continue={place}")).await);
    assert_eq!(names(&first), ["b", "c"]);
    assert_eq!(names(&second), ["d", "e"]);
    assert_eq!(second["continue"], Value::Null);
    assert_eq!(first["revision"], second["revision"]);
    let mut watcher = Watcher::open(&node, &format!("&from={}", second["revision"])).await;
    let mut told = [watcher.next_name().await, watcher.next_name().await];
    told.sort();
    assert_eq!(told, ["-b", "a"]);
}

fn names(page: &Value) -> Vec<&str> {
    let items = page["items"].as_array().expect("items");
    items
        .iter()
        .filter_map(|item| item["spec"]["name"].as_str())
        .collect()
}
