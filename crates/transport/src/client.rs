//! HTTP client with a bounded pool of connections to one address.

use {
    crate::{
        body::{Body, BodyError, full_body},
        counted::CountedStream,
        error::{Step, TransportError},
    },
    bytes::{Bytes, BytesMut},
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::{
        body::{Body as HttpBody, Frame, Incoming, SizeHint},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    lynxwheel_protocol::{
        CodecError, MAX_MESSAGE_BYTES, decode_message, encode_compact_message, encode_message,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, timeout_at},
    },
};

/// Time for which an idle connection is used again; peers commonly close theirs after 5 s.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Request with a body in memory.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers by name and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl ClientRequest {
    /// Creates a request without body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// Whole answer.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Returns the value of a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Connections to one address; copies share them.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    peer: SocketAddr,
    max_idle: Duration,
    idle: Mutex<Vec<IdleConnection>>,
    permits: Arc<Semaphore>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    since: Instant,
}

impl Client {
    /// Creates a client that opens at most `max_connections` to `peer`.
    #[must_use]
    pub fn new(peer: SocketAddr, max_connections: usize) -> Self {
        Self::with_max_idle(peer, max_connections, MAX_IDLE)
    }

    /// Creates a client that uses no connection again that was idle for `max_idle`.
    ///
    /// A peer may close an idle connection at the moment in which a request is sent on it. Nobody
    /// can tell then whether the request ran, and the caller of one that is not idempotent would
    /// be told "outcome unknown" for nothing. Peers that close idle connections wait for some
    /// seconds, so one that was used a moment ago is safe.
    #[must_use]
    pub fn with_max_idle(peer: SocketAddr, max_connections: usize, max_idle: Duration) -> Self {
        Self {
            inner: Arc::new(Inner {
                peer,
                max_idle,
                idle: Mutex::new(Vec::new()),
                permits: Arc::new(Semaphore::new(max_connections)),
            }),
        }
    }

    /// Returns the address.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        lock(&self.inner.idle).clear();
    }

    /// Sends a request and returns the answer with its body still to come.
    ///
    /// The connection is reused only after the body was read to its end. An answer that is given
    /// up on takes its connection with it, so that a late rest is never read as another answer.
    ///
    /// # Errors
    ///
    /// Fails when no connection is free or can be opened before `deadline`, or when the exchange
    /// breaks; `may_have_run` is `false` only when nothing was sent.
    pub async fn send(
        &self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Body>, TransportError> {
        let peer = self.inner.peer;
        let permit = timeout_at(deadline, Arc::clone(&self.inner.permits).acquire_owned())
            .await
            .map_err(|_| TransportError::unsent(Step::Acquire, peer, "no free connection in time"))?
            .map_err(|_| TransportError::unsent(Step::Acquire, peer, "client closed"))?;
        let mut request = request;
        loop {
            let (mut sender, is_reused) = match self.take_idle() {
                Some(sender) => (sender, true),
                None => (self.connect(deadline).await?, false),
            };
            let attempt = timeout_at(deadline, sender.try_send_request(request)).await;
            match attempt {
                Err(_) => return Err(TransportError::sent(Step::Exchange, peer, "timeout")),
                Ok(Ok(response)) => return Ok(self.guard(response, sender, permit)),
                Ok(Err(mut refused)) => {
                    let reason = refused.error().to_string();
                    match refused.take_message() {
                        Some(unsent) if is_reused => request = unsent,
                        Some(_) => {
                            return Err(TransportError::unsent(Step::Exchange, peer, reason));
                        }
                        None => return Err(TransportError::sent(Step::Exchange, peer, reason)),
                    }
                }
            }
        }
    }

    /// Sends a request and reads the whole answer, at most [`MAX_MESSAGE_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails as [`Client::send`] does, or when the body breaks off or is too large.
    pub async fn call(
        &self,
        request: &ClientRequest,
        limit: Duration,
    ) -> Result<ClientResponse, TransportError> {
        let deadline = Instant::now() + limit;
        let peer = self.inner.peer;
        let response = self.send(self.build(request)?, deadline).await?;
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, MAX_MESSAGE_BYTES).collect())
            .await
            .map_err(|_| TransportError::sent(Step::ReadBody, peer, "timeout"))?
            .map_err(|error| TransportError::sent(Step::ReadBody, peer, error.to_string()))?;
        Ok(ClientResponse {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        })
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does.
    pub async fn get(&self, path: &str, limit: Duration) -> Result<ClientResponse, TransportError> {
        self.call(&ClientRequest::new(Method::GET, path), limit)
            .await
    }

    /// Gets a large answer, which may take as long as it goes on coming.
    ///
    /// A limit on the whole time gives up what a narrow link would bring in the end, and what is tried
    /// again fills that link once more.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does, when nothing comes for `stall`.
    pub async fn download(
        &self,
        path: &str,
        stall: Duration,
    ) -> Result<ClientResponse, TransportError> {
        let peer = self.inner.peer;
        let request = self.build(&ClientRequest::new(Method::GET, path))?;
        let response = self.send(request, Instant::now() + stall).await?;
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_MESSAGE_BYTES);
        let mut bytes = BytesMut::new();
        let broken = |reason: String| TransportError::sent(Step::ReadBody, peer, reason);
        while let Some(frame) = timeout_at(Instant::now() + stall, body.frame())
            .await
            .map_err(|_| broken("timeout".into()))?
        {
            let frame = frame.map_err(|error| broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(ClientResponse {
            status: parts.status,
            headers: parts.headers,
            body: bytes.freeze(),
        })
    }

    /// Posts a message and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does, when the status is not 200, or when the answer is no
    /// message of the type.
    pub async fn post_message<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, TransportError> {
        self.post(path, encode_message(message), limit).await
    }

    /// Posts a message without its field names, and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post_message`] does.
    pub async fn post_compact_message<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, TransportError> {
        let bytes = encode_compact_message(message);
        self.post(path, bytes, limit).await
    }

    async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        message: Result<Vec<u8>, CodecError>,
        limit: Duration,
    ) -> Result<A, TransportError> {
        let peer = self.inner.peer;
        let bytes = message
            .map_err(|error| TransportError::unsent(Step::Decode, peer, error.to_string()))?;
        let request = ClientRequest::new(Method::POST, path).with_body(bytes);
        let answer = self.call(&request, limit).await?;
        decode_answer(peer, &answer)
    }

    /// Gets a path and decodes the answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post_message`] does.
    pub async fn get_message<A: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<A, TransportError> {
        let answer = self.get(path, limit).await?;
        decode_answer(self.inner.peer, &answer)
    }

    fn build(&self, request: &ClientRequest) -> Result<Request<Body>, TransportError> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(http::header::HOST, self.inner.peer.to_string());
        for (name, value) in &request.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(full_body(request.body.clone()))
            .map_err(|error| {
                TransportError::unsent(Step::Decode, self.inner.peer, error.to_string())
            })
    }

    fn take_idle(&self) -> Option<SendRequest<Body>> {
        let mut idle = lock(&self.inner.idle);
        while let Some(connection) = idle.pop() {
            let is_fresh = connection.since.elapsed() < self.inner.max_idle;
            if is_fresh && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn connect(&self, deadline: Instant) -> Result<SendRequest<Body>, TransportError> {
        let peer = self.inner.peer;
        let unsent = |reason: String| TransportError::unsent(Step::Connect, peer, reason);
        let stream = timeout_at(deadline, TcpStream::connect(peer))
            .await
            .map_err(|_| unsent("timeout".into()))?
            .map_err(|error| TransportError {
                is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
                ..unsent(error.to_string())
            })?;
        stream
            .set_nodelay(true)
            .map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(CountedStream::new(stream, "client")))
                .await
                .map_err(|error| unsent(error.to_string()))?;
        tokio::spawn(async move {
            // The sender's side learns of a broken connection through its own calls.
            drop(connection.await);
        });
        Ok(sender)
    }

    fn guard(
        &self,
        response: Response<Incoming>,
        sender: SendRequest<Body>,
        permit: OwnedSemaphorePermit,
    ) -> Response<Body> {
        response.map(|incoming| {
            let lease = Lease {
                inner: Arc::clone(&self.inner),
                sender,
                _permit: permit,
            };
            let mut body = GuardedBody {
                incoming,
                lease: Some(lease),
            };
            if body.incoming.is_end_stream() {
                body.give_back();
            }
            body.boxed_unsync()
        })
    }
}

fn decode_answer<A: DeserializeOwned>(
    peer: SocketAddr,
    answer: &ClientResponse,
) -> Result<A, TransportError> {
    if answer.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&answer.body);
        let reason = format!("status {}: {text}", answer.status.as_u16());
        return Err(TransportError::sent(Step::Exchange, peer, reason));
    }
    decode_message(&answer.body)
        .map_err(|error| TransportError::sent(Step::Decode, peer, error.to_string()))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection in use, with its place in the pool's bound.
#[derive(Debug)]
struct Lease {
    inner: Arc<Inner>,
    sender: SendRequest<Body>,
    _permit: OwnedSemaphorePermit,
}

/// Body that gives its connection back at its end and closes it when dropped before.
#[derive(Debug)]
struct GuardedBody {
    incoming: Incoming,
    lease: Option<Lease>,
}

impl GuardedBody {
    fn give_back(&mut self) {
        if let Some(Lease {
            inner,
            sender,
            _permit,
        }) = self.lease.take()
            && !sender.is_closed()
        {
            let since = Instant::now();
            lock(&inner.idle).push(IdleConnection { sender, since });
        }
    }
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.give_back(),
            Poll::Ready(Some(Err(_))) => drop(self.lease.take()),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.give_back(),
            _ => {}
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Clients by address, made when first needed.
#[derive(Debug)]
pub struct ClientPool {
    rows: Mutex<Vec<Client>>,
    max_connections: usize,
}

impl ClientPool {
    /// Creates an empty set whose clients open at most `max_connections` each.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            rows: Mutex::new(Vec::new()),
            max_connections,
        }
    }

    /// Returns the client for an address.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Client {
        let mut rows = lock(&self.rows);
        match rows.binary_search_by_key(&peer, Client::peer) {
            Ok(row) => rows[row].clone(),
            Err(row) => {
                let client = Client::new(peer, self.max_connections);
                rows.insert(row, client.clone());
                client
            }
        }
    }

    /// Closes connections that were idle for too long to be used again, and forgets the clients that
    /// are left without any.
    pub fn prune(&self) {
        lock(&self.rows).retain(|client| {
            let mut idle = lock(&client.inner.idle);
            idle.retain(|connection| connection.since.elapsed() < client.inner.max_idle);
            let is_shared = Arc::strong_count(&client.inner) > 1;
            is_shared || !idle.is_empty()
        });
    }

    /// Forgets the clients of addresses that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.rows).retain(|client| keep(client.peer()));
    }
}
