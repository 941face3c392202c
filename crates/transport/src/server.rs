//! HTTP server with limits and graceful shutdown.

use {
    crate::{
        body::{Body, full_body},
        counted::CountedStream,
        stall::StallGuard,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    lynxwheel_protocol::encode_message,
    serde::Serialize,
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        io,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answer to a head that does not come in time.
const LATE_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Answer to a head that can be framed in two ways.
const AMBIGUOUS_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at once; further ones wait in the backlog.
    pub max_connections: usize,
    /// Time within which the head of a request must arrive, in milliseconds.
    pub header_read_timeout_ms: u64,
    /// Bytes of a request's head at most.
    pub max_header_bytes: usize,
    /// Time for which a caller may take nothing of its answer, in milliseconds.
    pub write_stall_timeout_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_read_timeout_ms: 5_000,
            max_header_bytes: 16 * 1024,
            write_stall_timeout_ms: 10_000,
        }
    }
}

/// Signal that stops servers gracefully; copies share it.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: Arc<watch::Sender<bool>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// Creates a signal that is not yet given.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Gives the signal.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Tells whether the signal was given.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as `self`, so waiting ends only with the signal.
        drop(receiver.wait_for(|begun| *begun).await);
    }
}

/// HTTP server on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: ServerLimits,
}

impl Server {
    /// Listens on `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            limits: ServerLimits::default(),
        })
    }

    /// Sets the bounds.
    #[must_use]
    pub fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the address listened on.
    ///
    /// # Errors
    ///
    /// Fails when the socket has none.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves like [`serve`](Self::serve), and gives each request a copy of `state`.
    pub async fn serve_with<S, H, F>(self, shutdown: Shutdown, state: S, handler: H)
    where
        S: Clone + Send + 'static,
        H: Clone + Fn(S, Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        self.serve(shutdown, move |request| handler(state.clone(), request))
            .await;
    }

    /// Serves until the signal is given, then until every request in progress is answered.
    pub async fn serve<H, F>(self, shutdown: Shutdown, handler: H)
    where
        H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let open = watch::Sender::new(());
        loop {
            let accepted = tokio::select! {
                biased;
                () = shutdown.wait() => break,
                accepted = accept(&self.listener, &permits) => accepted,
            };
            let Ok((stream, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let guard = open.subscribe();
            let connection =
                serve_connection(stream, self.limits, shutdown.clone(), handler.clone());
            tokio::spawn(async move {
                connection.await;
                drop((guard, permit));
            });
        }
        drop(self.listener);
        open.closed().await;
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    shutdown: Shutdown,
    handler: H,
) where
    H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Boxed, so that the connection can be polled without a pin and taken apart at its end.
    let handler = Box::new(handler);
    let service = service_fn(move |request| {
        let answer = handler(request);
        Box::pin(async move { Ok::<_, Infallible>(answer.await) })
    });
    let stream = CountedStream::new(stream, "server");
    let stream = StallGuard::new(stream, Duration::from_millis(limits.write_stall_timeout_ms));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    // A broken connection concerns only its own caller, who sees it too.
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        () = shutdown.wait() => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let is_late = ended.as_ref().is_err_and(hyper::Error::is_timeout);
    let parts = connection.into_parts();
    // Only a request that has begun is answered: on an idle connection the bytes would be taken
    // for the answer to the caller's next request.
    let is_late_head = is_late && !parts.read_buf.is_empty();
    let stream = parts.io.into_inner();
    let answer = if stream.is_ambiguous() {
        Some(AMBIGUOUS_HEAD_ANSWER)
    } else {
        is_late_head.then_some(LATE_HEAD_ANSWER)
    };
    close(stream, answer).await;
}

/// Closes a connection, after a last answer if there is one.
async fn close(mut stream: StallGuard<CountedStream>, answer: Option<&[u8]>) {
    let closing = async {
        if let Some(answer) = answer {
            stream.write_all(answer).await?;
        }
        stream.shutdown().await
    };
    // The caller may be gone already.
    drop(closing.await);
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns the answer to give when the body is too large or breaks off.
pub async fn collect_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Err(_) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "the body broke off",
        )),
    }
}

/// Answers with JSON.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => answer(status, "application/json", bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Answers with an encoded message.
#[must_use]
pub fn message_response<T: Serialize>(message: &T) -> Response<Body> {
    match encode_message(message) {
        Ok(bytes) => answer(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Answers with a reason in plain text.
#[must_use]
pub fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    answer(status, "text/plain", reason.as_bytes().to_vec())
}

fn answer(status: StatusCode, content_type: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    response
}
