//! Malformed, oversized and slow requests, and request smuggling.

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

/// Sends `head` and `body`, and returns all bytes received until the connection is closed.
async fn exchange(fleet: &Fleet, head: &str, body: &str) -> String {
    let address = fleet.nodes[0].callers.peer();
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let text = format!("{head}{body}");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut response = Vec::new();
    let read = timeout(common::TIMEOUT, stream.read_to_end(&mut response));
    // The connection may be reset after the response.
    drop(read.await.expect("the connection must be closed"));
    String::from_utf8_lossy(&response).into_owned()
}

fn smuggled_request() -> &'static str {
    "0\r\n\r\nPOST /renewals/renew HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n"
}

macro_rules! refused_requests {
    ($($(#[$doc:meta])* $name:ident: $head:expr, $body:expr => $status:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            let fleet = Fleet::start(FleetOptions { nodes: 1, ..FleetOptions::default() }).await;
            let response = exchange(&fleet, &$head, &$body).await;
            let status = format!("HTTP/1.1 {}", $status);
            assert!(response.starts_with(&status), "{response}");
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
            assert_eq!(fleet.platform.runs().len(), 0, "nothing may have run");
        })*
    };
}

refused_requests! {
    /// A proxy that uses the length and a node that uses the chunks would disagree about the end of
    /// the request.
    content_length_and_chunked: format!("{HEAD}content-length: 99\r\ntransfer-encoding: chunked\r\n\r\n"),
        smuggled_request() => 400;
    chunked_and_content_length: format!("{HEAD}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"),
        smuggled_request() => 400;
    /// Empty lines before a request are skipped, so they must not hide its framing.
    ambiguous_after_empty_lines: format!("\r\n\r\n{HEAD}content-length: 99\r\ntransfer-encoding: chunked\r\n\r\n"),
        smuggled_request() => 400;
    two_content_lengths: format!("{HEAD}content-length: 5\r\ncontent-length: 99\r\n\r\n"), "hello" => 400;
    two_content_lengths_in_one_header: format!("{HEAD}content-length: 5, 99\r\n\r\n"), "hello" => 400;
    content_length_with_sign: format!("{HEAD}content-length: +5\r\n\r\n"), "hello" => 400;
    chunked_is_not_last_coding: format!("{HEAD}transfer-encoding: chunked, gzip\r\n\r\n"), "0\r\n\r\n" => 400;
    /// A folded line is part of the value for some parsers and a separate header for others.
    folded_header: format!("{HEAD}x-note: one\r\n two: three\r\n\r\n"), "" => 400;
    control_character_in_value: format!("{HEAD}x-note: a\u{1}b\r\n\r\n"), "" => 400;
    space_before_colon: format!("{HEAD}content-length : 5\r\n\r\n"), "hello" => 400;
    two_host_headers: format!("{HEAD}host: other\r\n\r\n"), "" => 400;
    unknown_class: format!("{HEAD}lynxwheel-class: best\r\n\r\n"), "" => 400;
    not_an_http_request: "hello\r\n\r\n", "" => 400;
    oversized_head: format!("{HEAD}x-note: {}\r\n\r\n", "a".repeat(20_000)), "" => 431;
    oversized_body: format!("{HEAD}content-length: 300000000\r\n\r\n"), "" => 413;
    oversized_body_with_key: format!("{HEAD}idempotency-key: k\r\ncontent-length: 1100000\r\n\r\n"),
        "a".repeat(1_100_000) => 413;
    /// A slowloris caller, which sends its head too slowly, must not hold its connection.
    slow_head: HEAD, "x-note: " => 408;
    /// A caller that stalls within its body must not hold its connection beyond its deadline.
    slow_body: format!("{HEAD}lynxwheel-deadline-ms: 300\r\ncontent-length: 9\r\n\r\n"), "hello" => 408;
}

/// A request smuggled behind a chunked body on a reused connection must get no response: the HTTP
/// library closes the connection after the first one.
#[tokio::test(flavor = "multi_thread")]
async fn smuggled_request_gets_no_response() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        ..FleetOptions::default()
    })
    .await;
    let first = format!("{HEAD}content-length: 0\r\n\r\n");
    let second = format!("{HEAD}transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n");
    let response = exchange(&fleet, &format!("{first}{second}"), smuggled_request()).await;
    assert_eq!(response.matches("HTTP/1.1").count(), 2, "{response}");
    assert_eq!(fleet.platform.runs().len(), 2);
}

/// A caller that does not read its response must not hold a slot beyond the stall timeout.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_caller_frees_its_slot() {
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
        "the response must not fit the buffers"
    );
    common::wait_until("the slot is free", || gateway.endpoint_loads().is_empty()).await;
    drop(stream);
}
