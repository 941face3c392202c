//! HTTP server with limits and graceful shutdown.

use {
    crate::{
        body::{Body, full_body},
        connections::{Connections, Slot},
        counted::CountedStream,
        request_body::{RequestBody, no_room_response},
        sent_body::track_response,
        stall::StallGuard,
    },
    http::{Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    lynxwheel_protocol::encode_message,
    serde::Serialize,
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        io::{self, Write},
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
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

/// Response to a connection for which there is no room.
const NO_ROOM_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Limits and timeouts of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Beyond it, the connection that has made no progress for
    /// the longest time is closed, or the new one if all run requests.
    pub max_connections: usize,
    /// Memory for the bodies of all requests and responses, in bytes. Beyond it, the oldest
    /// incomplete bodies are refused, or the new one if the others are complete.
    pub body_memory_bytes: usize,
    /// Receive buffer of a connection in the kernel, in bytes; `None` for the system's default.
    pub receive_buffer_bytes: Option<u32>,
    /// Timeout for reading a body that makes no progress, in milliseconds.
    pub body_stall_timeout_ms: u64,
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
            body_memory_bytes: 256 * 1024 * 1024,
            receive_buffer_bytes: None,
            body_stall_timeout_ms: 10_000,
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
    name: &'static str,
    listener: TcpListener,
    limits: ServerLimits,
}

impl Server {
    /// Binds to `address` with the default limits; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::bind_with_limits("server", address, ServerLimits::default()).await
    }

    /// Binds to `address`; `name` stands for the listener in logs and metrics.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    #[expect(clippy::unused_async, reason = "requires a runtime")]
    pub async fn bind_with_limits(
        name: &'static str,
        address: SocketAddr,
        limits: ServerLimits,
    ) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = limits.receive_buffer_bytes {
            // Connections inherit it. Bytes that are not read yet count as memory of the process.
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.bind(address)?;
        Ok(Self {
            name,
            listener: socket.listen(BACKLOG)?,
            limits,
        })
    }

    /// Sets limits and timeouts, except for the receive buffer, which is set by binding.
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
        H: Clone + Fn(S, Request<RequestBody>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        self.serve(shutdown, move |request| handler(state.clone(), request))
            .await;
    }

    /// Serves until `shutdown` is signalled and all requests in flight are answered.
    pub async fn serve<H, F>(self, shutdown: Shutdown, handler: H)
    where
        H: Clone + Fn(Request<RequestBody>) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let limits = self.limits;
        let connections =
            Connections::new(self.name, limits.max_connections, limits.body_memory_bytes);
        let open_connections = watch::Sender::new(());
        loop {
            let accepted = tokio::select! {
                biased;
                () = shutdown.wait() => break,
                accepted = accept(&self.listener, &connections) => accepted,
            };
            let (stream, slot) = match accepted {
                Ok((stream, Some(slot))) => (stream, slot),
                Ok((stream, None)) => {
                    refuse(stream);
                    continue;
                }
                Err(_) => {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let guard = open_connections.subscribe();
            let connection =
                serve_connection(stream, slot, limits, shutdown.clone(), handler.clone());
            tokio::spawn(async move {
                connection.await;
                drop(guard);
            });
        }
        drop(self.listener);
        open_connections.closed().await;
    }
}

/// Accepts a connection; there is no slot if all others run requests.
async fn accept(
    listener: &TcpListener,
    connections: &Connections,
) -> io::Result<(TcpStream, Option<Slot>)> {
    let (stream, _) = listener.accept().await?;
    // Without it, only the timing differs; a caller that has left must not delay the next one.
    drop(stream.set_nodelay(true));
    Ok((stream, connections.open().await))
}

/// Refuses a connection whose request was not read.
fn refuse(stream: TcpStream) {
    // The response fits the empty send buffer. The write fails if the caller has left already.
    if let Ok(mut stream) = stream.into_std() {
        drop(stream.write(NO_ROOM_RESPONSE));
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    slot: Slot,
    limits: ServerLimits,
    shutdown: Shutdown,
    handler: H,
) where
    H: Clone + Fn(Request<RequestBody>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Boxed so that the connection is `Unpin`: it is polled by reference and split at its end.
    let handler = Box::new(handler);
    let request_slot = slot.clone();
    let stall_timeout = Duration::from_millis(limits.body_stall_timeout_ms);
    let service = service_fn(move |request: Request<Incoming>| {
        let slot = request_slot.clone();
        let request = request.map(|body| RequestBody::new(body, slot.clone(), stall_timeout));
        let response = slot.begin_request().map(|()| handler(request));
        Box::pin(async move {
            let response = match response {
                Ok(response) => response.await,
                Err(_) => no_room_response(),
            };
            Ok::<_, Infallible>(track_response(response, slot))
        })
    });
    let stream = CountedStream::new(stream, "server");
    let stream = StallGuard::new(stream, Duration::from_millis(limits.write_stall_timeout_ms));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_read_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut close_request = CloseRequest::new(&slot);
    // Errors are not reported: they affect only the caller of this connection, who sees them too.
    let result = tokio::select! {
        result = poll_fn(|context| {
            close_request.poll_after(context, |context| connection.poll_without_shutdown(context))
        }) => result,
        () = shutdown.wait() => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| {
                close_request.poll_after(context, |context| connection.poll_without_shutdown(context))
            })
            .await
        }
    };
    let Some(result) = result else {
        return;
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

/// Request to close a connection, which is granted once no request would be cut off.
struct CloseRequest<'a> {
    slot: &'a Slot,
    requested: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_requested: bool,
}

impl<'a> CloseRequest<'a> {
    fn new(slot: &'a Slot) -> Self {
        Self {
            slot,
            requested: Box::pin(slot.close_requested()),
            is_requested: false,
        }
    }

    /// Polls a connection, and returns `None` if it is to be dropped.
    fn poll_after<T>(
        &mut self,
        context: &mut Context<'_>,
        poll_connection: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<Option<T>> {
        let Self {
            requested,
            is_requested,
            ..
        } = self;
        *is_requested = *is_requested || requested.as_mut().poll(context).is_ready();
        match poll_connection(context) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending if *is_requested && self.slot.must_close() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
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
