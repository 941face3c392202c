//! Malformed, oversized, slow and smuggling-shaped requests.

mod common;

use {
    common::{Fleet, FleetOptions},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

const HEAD: &str = "POST /renewals/renew HTTP/1.1\r\nhost: node\r\n";

/// Sends `head`, then `body`, and returns everything up to the end of the connection.
async fn exchange(fleet: &Fleet, head: &str, body: &str) -> String {
    let address = fleet.nodes[0].callers.peer();
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let text = format!("{head}{body}");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    let read = timeout(common::LIMIT, stream.read_to_end(&mut answer));
    // A reset after the answer is an end like any other.
    drop(read.await.expect("the connection must be closed"));
    String::from_utf8_lossy(&answer).into_owned()
}

fn smuggled() -> &'static str {
    "0\r\n\r\nPOST /renewals/renew HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n"
}

macro_rules! refused {
    ($($(#[$doc:meta])* $name:ident: $head:expr, $body:expr => $status:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            let fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
            let answer = exchange(&fleet, &$head, &$body).await;
            let status = format!("HTTP/1.1 {}", $status);
            assert!(answer.starts_with(&status), "{answer}");
            assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
            assert_eq!(fleet.platform.runs().len(), 0, "nothing may have run");
        })*
    };
}

refused! {
    /// A proxy in front reads the length and the node reads the chunks: the rest would be taken
    /// for the next caller's request.
    length_and_chunks: format!("{HEAD}content-length: 99\r\ntransfer-encoding: chunked\r\n\r\n"),
        smuggled() => 400;
    chunks_and_length: format!("{HEAD}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"),
        smuggled() => 400;
    two_lengths: format!("{HEAD}content-length: 5\r\ncontent-length: 99\r\n\r\n"), "hello" => 400;
    two_lengths_in_one: format!("{HEAD}content-length: 5, 99\r\n\r\n"), "hello" => 400;
    length_with_sign: format!("{HEAD}content-length: +5\r\n\r\n"), "hello" => 400;
    coding_that_is_not_last: format!("{HEAD}transfer-encoding: chunked, gzip\r\n\r\n"), "0\r\n\r\n" => 400;
    /// A folded line is part of the value for one reader and a header of its own for another.
    folded_header: format!("{HEAD}x-note: one\r\n two: three\r\n\r\n"), "" => 400;
    control_character_in_value: format!("{HEAD}x-note: a\u{1}b\r\n\r\n"), "" => 400;
    space_before_colon: format!("{HEAD}content-length : 5\r\n\r\n"), "hello" => 400;
    two_hosts: format!("{HEAD}host: other\r\n\r\n"), "" => 400;
    unknown_class: format!("{HEAD}lynxwheel-class: best\r\n\r\n"), "" => 400;
    no_request: "hello\r\n\r\n", "" => 400;
    oversized_head: format!("{HEAD}x-note: {}\r\n\r\n", "a".repeat(20_000)), "" => 431;
    oversized_body: format!("{HEAD}content-length: 300000000\r\n\r\n"), "" => 413;
    oversized_body_with_key: format!("{HEAD}idempotency-key: k\r\ncontent-length: 1100000\r\n\r\n"),
        "a".repeat(1_100_000) => 413;
    /// A slow-loris caller sends its head byte by byte to hold connections; it gets 5 s.
    slow_head: HEAD, "x-note: " => 408;
    /// A caller sends a part of its body and stalls; it gets its own deadline.
    slow_body: format!("{HEAD}lynxwheel-deadline-ms: 300\r\ncontent-length: 9\r\n\r\n"), "hello" => 408;
}

/// On a connection in use the length beside the chunks cannot be seen any more. What was hidden
/// behind the body must get no answer: the HTTP library ends the connection with the first one.
#[tokio::test(flavor = "multi_thread")]
async fn request_hidden_behind_chunks_gets_no_answer() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        ..FleetOptions::default()
    })
    .await;
    let first = format!("{HEAD}content-length: 0\r\n\r\n");
    let second = format!("{HEAD}transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n");
    let answer = exchange(&fleet, &format!("{first}{second}"), smuggled()).await;
    assert_eq!(answer.matches("HTTP/1.1").count(), 2, "{answer}");
    assert_eq!(fleet.platform.runs().len(), 2);
}

/// A caller asks for a large answer and takes nothing of it. Its slot must be free again after the
/// stall limit, or a handful of such callers would keep everybody else out.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_reads_nothing_frees_its_slot() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        ..FleetOptions::default()
    })
    .await;
    let address = fleet.nodes[0].callers.peer();
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = "GET /renewals/work?size=50000000 HTTP/1.1\r\nhost: node\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    let gateway = fleet.nodes[0].gateway.clone();
    common::wait_until("the slot is taken", || !gateway.endpoint_loads().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(
        !gateway.endpoint_loads().is_empty(),
        "the answer must not fit the buffers"
    );
    common::wait_until("the slot is free", || gateway.endpoint_loads().is_empty()).await;
    drop(stream);
}
