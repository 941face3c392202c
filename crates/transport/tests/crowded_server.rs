//! A server without room for all of its clients.

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    lynxwheel_transport::{
        Body, BodyError, Client, ClientRequest, RequestBody, Server, ServerLimits, Shutdown,
        collect_body, error_response,
    },
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::Semaphore,
        task::yield_now,
        time::timeout,
    },
};

const MAX_BODY_BYTES: usize = 100_000;

/// Size of a response that the buffers of a connection do not hold, in bytes.
const LARGE_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;

/// Limit of what must not hang.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Semaphores by which a test observes and ends the requests to `/wait`.
struct Gate {
    started: Semaphore,
    ended: Semaphore,
}

struct TestServer {
    address: SocketAddr,
    gate: Arc<Gate>,
}

impl TestServer {
    async fn start(max_connections: usize) -> Self {
        let limits = ServerLimits {
            max_connections,
            body_memory_bytes: 2 * MAX_BODY_BYTES,
            ..ServerLimits::default()
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind_with_limits("test", any_port, limits)
            .await
            .expect("bind");
        let address = server.local_addr().expect("address");
        let gate = Arc::new(Gate {
            started: Semaphore::new(0),
            ended: Semaphore::new(0),
        });
        tokio::spawn(server.serve_with(Shutdown::new(), Arc::clone(&gate), respond));
        Self { address, gate }
    }

    /// Sends `text` on a new connection.
    async fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connect");
        stream.write_all(text.as_bytes()).await.expect("send");
        stream
    }

    /// Sends a request and waits for its status.
    async fn call(&self, request: &ClientRequest) -> StatusCode {
        let client = Client::new(self.address, 1);
        let response = client.call(request, TIMEOUT).await;
        response.expect("a response").status
    }

    /// Sends all but the last byte of a body of the maximum size.
    async fn send_unfinished_body(&self) -> TcpStream {
        let body = " ".repeat(MAX_BODY_BYTES - 1);
        let head = format!("POST / HTTP/1.1\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
        self.send(&format!("{head}{body}")).await
    }
}

async fn respond(gate: Arc<Gate>, request: Request<RequestBody>) -> Response<Body> {
    if request.uri().path() == "/large" {
        gate.started.add_permits(1);
        return error_response(StatusCode::OK, &" ".repeat(LARGE_RESPONSE_BYTES));
    }
    if request.uri().path() == "/stream" {
        gate.started.add_permits(1);
        return Response::new(EndlessBody.boxed_unsync());
    }
    let must_wait = request.uri().path() == "/wait";
    let body = match collect_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if must_wait {
        gate.started.add_permits(1);
        gate.ended.acquire().await.expect("open").forget();
    }
    error_response(StatusCode::OK, &body.len().to_string())
}

/// Body of a large declared size of which nothing arrives.
struct EndlessBody;

impl HttpBody for EndlessBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(LARGE_RESPONSE_BYTES as u64)
    }
}

/// Reads until the connection is closed.
async fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset ends the text, too.
    drop(
        timeout(TIMEOUT, stream.read_to_end(&mut text))
            .await
            .expect("an end"),
    );
    String::from_utf8(text).expect("text")
}

/// Guards against idle connections that take all slots.
#[tokio::test]
async fn idle_connection_gives_way() {
    let server = TestServer::start(2).await;
    let first = server.send("").await;
    let _second = server.send("").await;
    assert_eq!(
        server
            .call(&ClientRequest::new(http::Method::GET, "/"))
            .await,
        StatusCode::OK
    );
    assert_eq!(read_all(first).await, "");
}

/// Guards against requests that are cut off to make room, and against new connections that wait
/// without an answer.
#[tokio::test]
async fn running_request_is_answered_and_another_connection_refused() {
    let server = TestServer::start(1).await;
    let mut running = server.send("GET /wait HTTP/1.1\r\n\r\n").await;
    let started = timeout(TIMEOUT, server.gate.started.acquire()).await;
    started.expect("a request").expect("open").forget();
    let refused = read_all(server.send("").await).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    server.gate.ended.add_permits(1);
    let mut head = [0; 15];
    let read = timeout(TIMEOUT, running.read_exact(&mut head)).await;
    read.expect("an answer").expect("read");
    assert_eq!(&head, b"HTTP/1.1 200 OK");
}

/// Guards against stalled bodies that take all the memory, and refusals without a time to return.
#[tokio::test]
async fn oldest_unfinished_body_is_refused() {
    let server = TestServer::start(10).await;
    let mut stalled = Vec::new();
    for _ in 0..4 {
        stalled.push(server.send_unfinished_body().await);
    }
    let body = vec![b' '; MAX_BODY_BYTES];
    let request = ClientRequest::new(http::Method::POST, "/").with_body(body);
    assert_eq!(server.call(&request).await, StatusCode::OK);
    let refusal = read_all(stalled.remove(0)).await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
}

/// Guards against responses that clients don't read and that add up to more than the memory.
#[tokio::test]
async fn unread_response_keeps_its_memory() {
    let server = TestServer::start(10).await;
    let unread = server.send("GET /large HTTP/1.1\r\n\r\n").await;
    let started = timeout(TIMEOUT, server.gate.started.acquire()).await;
    started.expect("a request").expect("open").forget();
    let request = ClientRequest::new(http::Method::GET, "/");
    assert_eq!(server.call(&request).await, StatusCode::SERVICE_UNAVAILABLE);
    drop(unread);
    while server.call(&request).await != StatusCode::OK {
        yield_now().await;
    }
}

/// Guards against large responses that pass through and are taken for memory in use.
#[tokio::test]
async fn declared_size_of_a_streamed_response_takes_no_memory() {
    let server = TestServer::start(10).await;
    let _streaming = server.send("GET /stream HTTP/1.1\r\n\r\n").await;
    let started = timeout(TIMEOUT, server.gate.started.acquire()).await;
    started.expect("a request").expect("open").forget();
    let request = ClientRequest::new(http::Method::GET, "/");
    assert_eq!(server.call(&request).await, StatusCode::OK);
}

/// Guards against memory and slots that are lost when clients leave in the middle of a body.
#[tokio::test]
async fn room_of_clients_that_left_is_free_again() {
    let server = TestServer::start(3).await;
    for _ in 0..20 {
        drop(server.send_unfinished_body().await);
    }
    let body = vec![b' '; MAX_BODY_BYTES];
    let request = ClientRequest::new(http::Method::POST, "/").with_body(body);
    assert_eq!(server.call(&request).await, StatusCode::OK);
    assert_eq!(server.call(&request).await, StatusCode::OK);
}

/// Guards against refusals that are lost because the connection is closed while the caller sends.
#[tokio::test(flavor = "multi_thread")]
async fn caller_of_a_body_that_is_too_large_gets_the_refusal() {
    let server = TestServer::start(10).await;
    let body = vec![b' '; MAX_BODY_BYTES + 1];
    let request = ClientRequest::new(http::Method::POST, "/").with_body(body);
    for _ in 0..100 {
        assert_eq!(server.call(&request).await, StatusCode::PAYLOAD_TOO_LARGE);
    }
}

/// Guards against bodies that are too large, arrive slowly and keep their connections for good.
#[tokio::test]
async fn unfinished_body_that_is_too_large_gives_way() {
    let server = TestServer::start(1).await;
    let head = format!(
        "POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let mut unfinished = server.send(&head).await;
    for _ in 0..10 {
        unfinished.write_all(b" ").await.expect("send");
        yield_now().await;
    }
    let request = ClientRequest::new(http::Method::GET, "/");
    assert_eq!(server.call(&request).await, StatusCode::OK);
}
