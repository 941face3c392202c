//! Downloads of large responses over slow links.

use {
    lynxwheel_transport::Client,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

/// Number of chunks in a response.
const CHUNK_COUNT: usize = 10;

/// Delay before each chunk; the whole response takes longer than [`STALL`].
const CHUNK_DELAY: Duration = Duration::from_millis(250);

/// Time that the client waits for the next chunk.
const STALL: Duration = Duration::from_secs(2);

const CHUNK: &[u8] = &[b'x'; 100];

/// Sends a response in delayed chunks and stalls after `sent` of them.
async fn serve_slowly(delay: Duration, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _read = stream.read(&mut head).await.expect("a head");
        let length = CHUNK_COUNT * CHUNK.len();
        let response_head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream
            .write_all(response_head.as_bytes())
            .await
            .expect("send");
        for _ in 0..sent {
            sleep(delay).await;
            stream.write_all(CHUNK).await.expect("send");
        }
        sleep(Duration::from_hours(1)).await;
    });
    address
}

/// Guards against aborting a transfer that makes progress: a new owner could then never load its
/// state over a slow link.
#[tokio::test]
async fn slow_download_with_progress_completes() {
    let address = serve_slowly(CHUNK_DELAY, CHUNK_COUNT).await;
    let client = Client::new(address, 1);
    let response = client.download("/", STALL).await;
    assert_eq!(
        response.expect("a response").body.len(),
        CHUNK_COUNT * CHUNK.len()
    );
}

#[tokio::test]
async fn stalled_download_times_out() {
    let address = serve_slowly(CHUNK_DELAY, CHUNK_COUNT / 2).await;
    let client = Client::new(address, 1);
    let response = client.download("/", STALL).await;
    assert!(response.expect_err("no response").may_have_run);
}
