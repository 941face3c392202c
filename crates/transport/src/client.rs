//! HTTP client with a bounded connection pool per address.

use {
    crate::{
        body::{Body, BodyError, full_body, read_body},
        counted::CountedStream,
        error::{Step, TransportError},
        send_guard::{SendCondition, SendGuard, checked_body},
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
        fmt, io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, timeout_at},
    },
};

/// Maximum idle time of a reused connection; peers commonly close idle connections after 5 s.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Identifies a connection among all that this process has opened. The process at its other end stays
/// the same, while an address or an id may come to name another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// Returns an id that no other connection has.
    fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed))
    }
}

/// Body of a request that depends on the connection on which it is sent.
#[derive(Clone)]
pub struct BodyChoice {
    /// Connection that is used if it is idle.
    preferred: ConnectionId,
    choose: Arc<dyn Fn(ConnectionId) -> Bytes + Send + Sync>,
}

impl BodyChoice {
    /// Creates a choice that is made once the connection is open.
    #[must_use]
    pub fn new(
        preferred: ConnectionId,
        choose: impl Fn(ConnectionId) -> Bytes + Send + Sync + 'static,
    ) -> Self {
        Self {
            preferred,
            choose: Arc::new(choose),
        }
    }
}

impl fmt::Debug for BodyChoice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BodyChoice")
            .field("preferred", &self.preferred)
            .finish_non_exhaustive()
    }
}

/// Request whose body is in memory.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Choice of another body by the connection on which it is sent.
    pub body_choice: Option<BodyChoice>,
    /// Condition under which it may be sent; a request with one is sent by a single call.
    pub guard: Option<SendGuard>,
}

impl ClientRequest {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            body_choice: None,
            guard: None,
        }
    }

    /// Sets the condition under which the request may be sent, which also records when it was.
    /// Requests without a body are not recorded.
    #[must_use]
    pub fn with_guard(mut self, guard: SendGuard) -> Self {
        self.guard = Some(guard);
        self
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

    /// Sets a choice of the body by the connection on which the request is sent.
    #[must_use]
    pub fn with_body_choice(mut self, choice: BodyChoice) -> Self {
        self.body_choice = Some(choice);
        self
    }

    fn body_on(&self, connection: ConnectionId) -> Bytes {
        match &self.body_choice {
            Some(choice) => (choice.choose)(connection),
            None => self.body.clone(),
        }
    }
}

/// Response whose body is in memory.
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
    /// Returns the value of a header if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// HTTP client for one address; clones share its connections.
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

/// Open connection.
#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    sender: SendRequest<Body>,
}

/// Open connection without a request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn new(connection: Connection) -> Self {
        Self {
            connection,
            idle_since: Instant::now(),
        }
    }

    fn is_usable(&self, max_idle: Duration) -> bool {
        self.idle_since.elapsed() < max_idle && self.connection.sender.is_ready()
    }
}

impl Client {
    /// Creates a client that opens at most `max_connections` connections to `peer`.
    #[must_use]
    pub fn new(peer: SocketAddr, max_connections: usize) -> Self {
        Self::with_max_idle(peer, max_connections, MAX_IDLE)
    }

    /// Creates a client that does not reuse connections idle for `max_idle` or longer.
    ///
    /// A peer may close an idle connection just as a request is sent on it. Whether the request was
    /// processed is then unknown, and a request that is not idempotent fails with "outcome unknown"
    /// without need. Peers close connections only after some idle seconds, so a recently used one
    /// is safe.
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

    /// Returns the address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock(&self.inner.idle).clear();
    }

    /// Sends a request and returns the response with a streaming body.
    ///
    /// The connection returns to the pool when the body has been read to its end. It is closed if
    /// the body is dropped earlier, so that the rest is never read as another response.
    ///
    /// # Errors
    ///
    /// Fails when no connection is available before `deadline` or the request fails; `may_have_run`
    /// is `false` only when nothing was sent.
    pub async fn send(
        &self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Body>, TransportError> {
        let prepare = |request, _| request;
        self.send_guarded(request, None, prepare, deadline, &SendGuard::default())
            .await
    }

    /// Sends a request, on the preferred connection if it is idle, after it was prepared for the
    /// connection.
    async fn send_guarded(
        &self,
        request: Request<Body>,
        preferred: Option<ConnectionId>,
        prepare: impl Fn(Request<Body>, ConnectionId) -> Request<Body>,
        deadline: Instant,
        guard: &SendGuard,
    ) -> Result<Response<Body>, TransportError> {
        let peer = self.inner.peer;
        let permit = timeout_at(deadline, Arc::clone(&self.inner.permits).acquire_owned())
            .await
            .map_err(|_| TransportError::unsent(Step::Acquire, peer, "no free connection in time"))?
            .map_err(|_| TransportError::unsent(Step::Acquire, peer, "client closed"))?;
        let mut request = request;
        loop {
            let (mut connection, is_reused) = match self.pop_idle(preferred) {
                Some(connection) => (connection, true),
                None => (self.connect(deadline).await?, false),
            };
            // Both may have been ready only after the deadline, if the process was suspended.
            if !guard.allows(deadline) {
                return Err(withheld(peer));
            }
            let prepared = prepare(request, connection.id);
            let sending = connection.sender.try_send_request(prepared);
            match timeout_at(deadline, sending).await {
                Err(_) => return Err(TransportError::sent(Step::Exchange, peer, "timeout")),
                Ok(Ok(response)) => return Ok(self.attach_to_body(response, connection, permit)),
                Ok(Err(_)) if guard.record().is_withheld => return Err(withheld(peer)),
                Ok(Err(mut failed)) => {
                    let reason = failed.error().to_string();
                    let is_closed = failed.error().is_incomplete_message();
                    match failed.take_message() {
                        Some(unsent) if is_reused => request = unsent,
                        Some(_) => {
                            return Err(TransportError::unsent(Step::Exchange, peer, reason));
                        }
                        None => {
                            return Err(TransportError {
                                is_closed,
                                ..TransportError::sent(Step::Exchange, peer, reason)
                            });
                        }
                    }
                }
            }
        }
    }

    /// Sends a request and reads the complete response, at most [`MAX_MESSAGE_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails as [`Client::send`] does, or when the body is incomplete or too large.
    pub async fn call(
        &self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<ClientResponse, TransportError> {
        let deadline = Instant::now() + timeout;
        let peer = self.inner.peer;
        let guard = request.guard.clone().unwrap_or_default();
        let built = self.build_request(request)?;
        let preferred = request.body_choice.as_ref().map(|choice| choice.preferred);
        let prepare = |built: Request<Body>, connection| {
            let body = full_body(request.body_on(connection));
            built.map(|_| checked_body(body, guard.clone(), connection, deadline))
        };
        let response = self
            .send_guarded(built, preferred, prepare, deadline, &guard)
            .await?;
        let (parts, body) = response.into_parts();
        let body = timeout_at(deadline, read_body(body, MAX_MESSAGE_BYTES))
            .await
            .map_err(|_| TransportError::sent(Step::ReadBody, peer, "timeout"))?
            .map_err(|error| TransportError::sent(Step::ReadBody, peer, error.to_string()))?;
        Ok(ClientResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Returns whether the peer accepts a connection within a timeout.
    pub async fn can_connect(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let Ok(connection) = self.connect(deadline).await else {
            return false;
        };
        lock(&self.inner.idle).push(IdleConnection::new(connection));
        true
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does.
    pub async fn get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<ClientResponse, TransportError> {
        self.call(&ClientRequest::new(Method::GET, path), timeout)
            .await
    }

    /// Downloads a large response, with a timeout for each read instead of the whole transfer.
    ///
    /// On a slow link a total timeout would abort a transfer that makes progress, and the retry
    /// would load the link again.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does, or when no data arrives for `stall`.
    pub async fn download(
        &self,
        path: &str,
        stall: Duration,
    ) -> Result<ClientResponse, TransportError> {
        let peer = self.inner.peer;
        let request = self.build_request(&ClientRequest::new(Method::GET, path))?;
        let response = self.send(request, Instant::now() + stall).await?;
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_MESSAGE_BYTES);
        let mut bytes = BytesMut::new();
        let read_error = |reason: String| TransportError::sent(Step::ReadBody, peer, reason);
        while let Some(frame) = timeout_at(Instant::now() + stall, body.frame())
            .await
            .map_err(|_| read_error("timeout".into()))?
        {
            let frame = frame.map_err(|error| read_error(error.to_string()))?;
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

    /// Posts a message and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::call`] does, when the status is not 200, or when the response cannot be
    /// decoded.
    pub async fn post_message<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, TransportError> {
        let bytes = encode_message(message);
        self.post(path, bytes, timeout, SendCondition::default())
            .await
    }

    /// Posts a message that is encoded without field names, and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post_message`] does.
    pub async fn post_compact_message<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, TransportError> {
        self.post_compact_message_while(path, message, timeout, SendCondition::default())
            .await
    }

    /// Posts a message like [`Client::post_compact_message`] if a condition still holds when it is
    /// sent.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post_message`] does, or when the condition does not hold.
    pub async fn post_compact_message_while<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        timeout: Duration,
        condition: SendCondition,
    ) -> Result<A, TransportError> {
        let bytes = encode_compact_message(message);
        self.post(path, bytes, timeout, condition).await
    }

    async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        message: Result<Vec<u8>, CodecError>,
        timeout: Duration,
        condition: SendCondition,
    ) -> Result<A, TransportError> {
        let peer = self.inner.peer;
        let bytes = message
            .map_err(|error| TransportError::unsent(Step::Decode, peer, error.to_string()))?;
        let request = ClientRequest::new(Method::POST, path)
            .with_body(bytes)
            .with_guard(SendGuard::new(condition));
        let response = self.call(&request, timeout).await?;
        decode_response(peer, &response)
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post_message`] does.
    pub async fn get_message<A: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<A, TransportError> {
        let response = self.get(path, timeout).await?;
        decode_response(self.inner.peer, &response)
    }

    fn build_request(&self, request: &ClientRequest) -> Result<Request<Body>, TransportError> {
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

    /// Takes the preferred connection if it is idle, or else the one that was used last.
    fn pop_idle(&self, preferred: Option<ConnectionId>) -> Option<Connection> {
        let mut idle = lock(&self.inner.idle);
        idle.retain(|known| known.is_usable(self.inner.max_idle));
        let is_preferred = |known: &IdleConnection| Some(known.connection.id) == preferred;
        match idle.iter().position(is_preferred) {
            Some(index) => Some(idle.remove(index).connection),
            None => idle.pop().map(|known| known.connection),
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, TransportError> {
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
            // `sender` reports connection errors to its caller.
            drop(connection.await);
        });
        let id = ConnectionId::next();
        Ok(Connection { id, sender })
    }

    fn attach_to_body(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        permit: OwnedSemaphorePermit,
    ) -> Response<Body> {
        response.map(|incoming| {
            let connection = PooledConnection {
                inner: Arc::clone(&self.inner),
                connection,
                _permit: permit,
            };
            let mut body = PooledBody {
                incoming,
                connection: Some(connection),
            };
            if body.incoming.is_end_stream() {
                body.release();
            }
            body.boxed_unsync()
        })
    }
}

fn withheld(peer: SocketAddr) -> TransportError {
    TransportError::unsent(Step::Check, peer, "the request may no longer be sent")
}

fn decode_response<A: DeserializeOwned>(
    peer: SocketAddr,
    response: &ClientResponse,
) -> Result<A, TransportError> {
    if response.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&response.body);
        let reason = format!("status {}: {text}", response.status.as_u16());
        return Err(TransportError::sent(Step::Exchange, peer, reason));
    }
    decode_message(&response.body)
        .map_err(|error| TransportError::sent(Step::Decode, peer, error.to_string()))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connection in use, with its permit of the pool.
#[derive(Debug)]
struct PooledConnection {
    inner: Arc<Inner>,
    connection: Connection,
    _permit: OwnedSemaphorePermit,
}

/// Body that returns its connection to the pool at its end and closes it if dropped earlier.
#[derive(Debug)]
struct PooledBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
}

impl PooledBody {
    fn release(&mut self) {
        if let Some(PooledConnection {
            inner,
            connection,
            _permit,
        }) = self.connection.take()
            && !connection.sender.is_closed()
        {
            lock(&inner.idle).push(IdleConnection::new(connection));
        }
    }
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.release(),
            Poll::Ready(Some(Err(_))) => drop(self.connection.take()),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.release(),
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

/// Clients by address, created on first use.
#[derive(Debug)]
pub struct ClientPool {
    clients: Mutex<Vec<Client>>,
    max_connections: usize,
}

impl ClientPool {
    /// Creates an empty pool whose clients open at most `max_connections` connections each.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            clients: Mutex::new(Vec::new()),
            max_connections,
        }
    }

    /// Returns the client for an address, creating it if needed.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Client {
        let mut clients = lock(&self.clients);
        match clients.binary_search_by_key(&peer, Client::peer) {
            Ok(index) => clients[index].clone(),
            Err(index) => {
                let client = Client::new(peer, self.max_connections);
                clients.insert(index, client.clone());
                client
            }
        }
    }

    /// Closes connections that were idle for too long to be reused, and removes clients that are
    /// left without connections and are not used elsewhere.
    pub fn prune(&self) {
        lock(&self.clients).retain(|client| {
            let mut idle = lock(&client.inner.idle);
            idle.retain(|connection| connection.idle_since.elapsed() < client.inner.max_idle);
            let is_shared = Arc::strong_count(&client.inner) > 1;
            is_shared || !idle.is_empty()
        });
    }

    /// Removes the clients of addresses for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.clients).retain(|client| keep(client.peer()));
    }
}
