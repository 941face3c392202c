//! Reuse of idle connections.

use {
    http::StatusCode,
    lynxwheel_transport::Client,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Idle time longer than any test.
const LONG_IDLE: Duration = Duration::from_hours(1);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Responds to each request on a connection and keeps it open.
async fn respond_to_all(mut stream: TcpStream) {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        head.extend_from_slice(&buffer[..count]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            stream.write_all(RESPONSE).await.expect("send the response");
        }
    }
}

/// Sends two requests and returns the number of connections used.
async fn connections_for_two_requests(max_idle: Duration) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let peer = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(respond_to_all(stream));
        }
    });
    let client = Client::with_max_idle(peer, 1, max_idle);
    for _ in 0..2 {
        let response = client.get("/", TIMEOUT).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
    accepted.load(Ordering::Relaxed)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $max_idle:expr => $connections:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            assert_eq!(connections_for_two_requests($max_idle).await, $connections);
        })*
    };
}

cases! {
    /// Guards against sending a request on a connection that the peer is closing as idle, which
    /// makes the outcome of the request unknown.
    expired_idle_connection_is_not_reused: Duration::ZERO => 2;
    recently_used_connection_is_reused: LONG_IDLE => 1;
}
