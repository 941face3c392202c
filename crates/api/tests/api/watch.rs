//! Watch streams.

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

/// Open watch that is read line by line.
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
            .expect("a response");
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

    /// Returns the next event other than a bookmark.
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
async fn watch_without_revision_starts_with_all_resources() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let mut watcher = Watcher::open(&node, "").await;
    assert_eq!(watcher.next_name().await, "a");
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(watcher.next_name().await, "b");
}

/// Guards against missing changes between a list and a watch from its revision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_sends_changes_since_a_list() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let revision = json(&node.get("/v1/vm").await)["revision"].clone();
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(node.delete("/v1/vm/a").await.status, 200);
    let mut watcher = Watcher::open(&node, &format!("&from={revision}")).await;
    let mut names = [watcher.next_name().await, watcher.next_name().await];
    names.sort();
    assert_eq!(names, ["-a", "b"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_can_be_limited_to_one_resource() {
    let (_platform, node) = one_node().await;
    let mut watcher = Watcher::open(&node, "&name=b").await;
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    node.declare(Kind::Vm, "b", &vm("notices")).await;
    assert_eq!(watcher.next_name().await, "b");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn future_revision_is_rejected() {
    let (_platform, node) = one_node().await;
    let response = node.get("/v1/vm?watch=true&from=1000000").await;
    assert_eq!(
        (response.status.as_u16(), &json(&response)["reason"]),
        (503, &"behind".into())
    );
    assert!(response.header("retry-after").is_some());
}

/// Guards against a watch from a revision at which this node compared no states, which can miss the
/// withdrawal of a VM that was declared and withdrawn between two comparisons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revision_between_comparisons_is_rejected() {
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
    let mut rejected = 0;
    for revision in before + 1..after {
        let response = node
            .get(&format!("/v1/vm?limit=1&continue={revision}:a"))
            .await;
        rejected += u32::from(response.status == 410);
    }
    assert!(rejected > 100, "{rejected}");
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

/// Declares `count` VMs.
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

/// Guards against a watch that silently misses changes which are no longer retained.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_revision_is_rejected() {
    let (_platform, node) = one_node().await;
    let revision = json(&node.get("/v1/vm").await)["revision"].clone();
    declare_many(&node, 17_000).await;
    // Listing adds all folded changes to the change log.
    node.get("/v1/vm?limit=1").await;
    let response = node
        .get(&format!("/v1/vm?watch=true&from={revision}"))
        .await;
    assert_eq!(
        (response.status.as_u16(), &json(&response)["reason"]),
        (410, &"too_old".into())
    );
}

/// Guards against a shutdown that waits for open watches, which end with the revision to resume
/// from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_watch_does_not_delay_shutdown() {
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

/// Guards against a watcher that stops reading and keeps its queue and slot indefinitely.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_watcher_is_disconnected() {
    let (_platform, mut node) = one_node().await;
    declare_many(&node, 17_000).await;
    let watcher = Watcher::open(&node, "").await;
    // Shut down the node while the watcher's socket buffer is full.
    tokio::time::sleep(Duration::from_millis(500)).await;
    node.stop.begin();
    timeout(LIMIT, &mut node.server)
        .await
        .expect("the server ends")
        .expect("the server's end");
    drop(watcher);
}

/// Guards against missing changes made between two pages: all pages carry the revision of the
/// first, and a watch from there reports the changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_from_paginated_list_misses_nothing() {
    let (_platform, node) = one_node().await;
    node.declare(Kind::Pool, "notices", &pool(4, 0)).await;
    for name in ["b", "c", "d", "e"] {
        node.declare(Kind::Vm, name, &vm("notices")).await;
    }
    let first = json(&node.get("/v1/vm?limit=2").await);
    assert_eq!(node.delete("/v1/vm/b").await.status, 200);
    node.declare(Kind::Vm, "a", &vm("notices")).await;
    let token = first["continue"].as_str().expect("another page");
    let second = json(&node.get(&format!("/v1/vm?limit=2&continue={token}")).await);
    assert_eq!(listed_names(&first), ["b", "c"]);
    assert_eq!(listed_names(&second), ["d", "e"]);
    assert_eq!(second["continue"], Value::Null);
    assert_eq!(first["revision"], second["revision"]);
    let mut watcher = Watcher::open(&node, &format!("&from={}", second["revision"])).await;
    let mut names = [watcher.next_name().await, watcher.next_name().await];
    names.sort();
    assert_eq!(names, ["-b", "a"]);
}

fn listed_names(page: &Value) -> Vec<&str> {
    let items = page["items"].as_array().expect("items");
    items
        .iter()
        .filter_map(|item| item["spec"]["name"].as_str())
        .collect()
}
