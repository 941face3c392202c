//! HTTP server with limits and graceful shutdown.

use {
    crate::{
        body::{Body, BodyError, full_body, read_body},
        counted::CountedStream,
        stall::StallGuard,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header},
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

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Response to a request head that does not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Response to a request head with ambiguous framing.
const AMBIGUOUS_FRAMING_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits and timeouts of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; others wait in the backlog.
    pub max_connections: usize,
    /// Timeout for reading a request head, in milliseconds.
    pub header_read_timeout_ms: u64,
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Timeout for a write of the response that makes no progress, in milliseconds.
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

/// Shutdown signal; clones share it.
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
    /// Creates a signal that has not been sent.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Sends the signal.
    pub fn begin(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal has been sent.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        // `self` keeps the sender alive, so the wait ends only with the signal.
        drop(receiver.wait_for(|begun| *begun).await);
    }
}

/// HTTP server that listens on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    limits: ServerLimits,
}

impl Server {
    /// Binds to `address`; port 0 selects a free port.
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

    /// Sets limits and timeouts.
    #[must_use]
    pub fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the local address of the listener.
    ///
    /// # Errors
    ///
    /// Fails when the socket has no local address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves like [`serve`](Self::serve) and passes a clone of `state` to each handler call.
    pub async fn serve_with<S, H, F>(self, shutdown: Shutdown, state: S, handler: H)
    where
        S: Clone + Send + 'static,
        H: Clone + Fn(S, Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        self.serve(shutdown, move |request| handler(state.clone(), request))
            .await;
    }

    /// Serves until `shutdown` is signalled and all requests in flight are answered.
    pub async fn serve<H, F>(self, shutdown: Shutdown, handler: H)
    where
        H: Clone + Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.max_connections));
        let open_connections = watch::Sender::new(());
        loop {
            let accepted = tokio::select! {
                biased;
                () = shutdown.wait() => break,
                accepted = accept(&self.listener, &permits) => accepted,
            };
            let Ok((stream, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let guard = open_connections.subscribe();
            let connection =
                serve_connection(stream, self.limits, shutdown.clone(), handler.clone());
            tokio::spawn(async move {
                connection.await;
                drop((guard, permit));
            });
        }
        drop(self.listener);
        open_connections.closed().await;
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
    // Boxed so that the connection is `Unpin`: it is polled by reference and split at its end.
    let handler = Box::new(handler);
    let service = service_fn(move |request| {
        let response = handler(request);
        Box::pin(async move { Ok::<_, Infallible>(response.await) })
    });
    let stream = CountedStream::new(stream, "server");
    let stream = StallGuard::new(stream, Duration::from_millis(limits.write_stall_timeout_ms));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are not reported: they affect only the caller of this connection, who sees them too.
    let result = tokio::select! {
        result = poll_fn(|context| connection.poll_without_shutdown(context)) => result,
        () = shutdown.wait() => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    let is_timeout = result.as_ref().is_err_and(hyper::Error::is_timeout);
    let parts = connection.into_parts();
    // Respond only if part of a head was read: on an idle connection the caller would take the
    // response for the one to its next request.
    let is_head_timeout = is_timeout && !parts.read_buf.is_empty();
    let stream = parts.io.into_inner();
    let response = if stream.is_ambiguous() {
        Some(AMBIGUOUS_FRAMING_RESPONSE)
    } else {
        is_head_timeout.then_some(HEAD_TIMEOUT_RESPONSE)
    };
    close(stream, response).await;
}

/// Sends `response`, if any, and closes the connection.
async fn close(mut stream: StallGuard<CountedStream>, response: Option<&[u8]>) {
    let closing = async {
        if let Some(response) = response {
            stream.write_all(response).await?;
        }
        stream.shutdown().await
    };
    // The caller may have closed the connection already.
    drop(closing.await);
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns the response to send when the body is too large or incomplete.
pub async fn collect_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Response<Body>> {
    read_body(body, limit_bytes).await.map_err(|error| {
        let status = match error {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Broken { .. } | BodyError::Stalled => StatusCode::BAD_REQUEST,
        };
        error_response(status, &error.to_string())
    })
}

/// Returns a response with a JSON body.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => response_of_type(status, "application/json", bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with an encoded message.
#[must_use]
pub fn message_response<T: Serialize>(message: &T) -> Response<Body> {
    match encode_message(message) {
        Ok(bytes) => response_of_type(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with a reason in plain text.
#[must_use]
pub fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    response_of_type(status, "text/plain", reason.as_bytes().to_vec())
}

fn response_of_type(
    status: StatusCode,
    content_type: &'static str,
    bytes: Vec<u8>,
) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    response
}
