//! Large answers over narrow links.

use {
    lynxwheel_transport::Client,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

/// Pieces of an answer.
const PIECES: usize = 10;

/// Time between two pieces; all of them take longer than the client waits for one.
const BETWEEN: Duration = Duration::from_millis(250);

const STALL: Duration = Duration::from_secs(2);

const PIECE: &[u8] = &[b'x'; 100];

/// Sends one answer in pieces with a time between them, and stops after `sent` of them.
async fn serve_slowly(between: Duration, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _read = stream.read(&mut head).await.expect("a head");
        let length = PIECES * PIECE.len();
        let begin = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(begin.as_bytes()).await.expect("send");
        for _ in 0..sent {
            sleep(between).await;
            stream.write_all(PIECE).await.expect("send");
        }
        sleep(Duration::from_hours(1)).await;
    });
    address
}

/// A new owner never begins. What is stored takes longer to come over its link than a call may take, so
/// it gives up, and the next owner does the same.
#[tokio::test]
async fn answer_that_goes_on_coming_is_waited_for() {
    let address = serve_slowly(BETWEEN, PIECES).await;
    let client = Client::new(address, 1);
    let answer = client.download("/", STALL).await;
    assert_eq!(answer.expect("an answer").body.len(), PIECES * PIECE.len());
}

#[tokio::test]
async fn answer_that_stops_coming_is_given_up() {
    let address = serve_slowly(BETWEEN, PIECES / 2).await;
    let client = Client::new(address, 1);
    let answer = client.download("/", STALL).await;
    assert!(answer.expect_err("no answer").may_have_run);
}
