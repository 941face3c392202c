//! Connections that are used again.

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

/// Time that a call may take.
const LIMIT: Duration = Duration::from_mins(1);

/// Longer than any test.
const FOR_EVER: Duration = Duration::from_hours(1);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers each head on a connection that stays open.
async fn answer_all(mut stream: TcpStream) {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        head.extend_from_slice(&buffer[..count]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            stream.write_all(ANSWER).await.expect("send the answer");
        }
    }
}

/// Calls a server twice and returns how many connections it took.
async fn connections_of_two_calls(max_idle: Duration) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let peer = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_all(stream));
        }
    });
    let client = Client::with_max_idle(peer, 1, max_idle);
    for _ in 0..2 {
        let answer = client.get("/", LIMIT).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    accepted.load(Ordering::Relaxed)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $max_idle:expr => $connections:expr;)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            assert_eq!(connections_of_two_calls($max_idle).await, $connections);
        })*
    };
}

cases! {
    /// A renewal is answered with "outcome unknown" though nothing ran. Its endpoint had closed the
    /// idle connection at the moment in which the renewal was sent on it. A connection that was
    /// idle for longer than its bound must not be used again.
    idle_for_too_long: Duration::ZERO => 2;
    used_a_moment_ago: FOR_EVER => 1;
}
