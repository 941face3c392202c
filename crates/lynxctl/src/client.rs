//! The resource API as the operators' command sees it.

use {
    crate::error::CtlError,
    http::{Method, Request, StatusCode},
    http_body_util::BodyExt,
    lynxwheel_protocol::{
        CURRENT_HEADER, ExplanationView, Kind, OperationId, OperationList, OperationOutcome,
        OperationView, Problem, ProblemReason, Resource, ResourceList, ResourceRef, ResourceView,
        WatchEvent, WriteResponse,
    },
    lynxwheel_transport::{
        Body, Client, ClientRequest, ClientResponse, TransportError, empty_body,
    },
    serde::de::DeserializeOwned,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Time that one call may take; longer than a node waits for its log.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Time without any line, bookmarks included, after which a watch is taken for dead.
const WATCH_SILENCE: Duration = Duration::from_secs(20);

/// Time for which the outcome of a write is asked for again and again.
const LOOK_UP_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two such questions.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(250);

/// Resources asked for with one page.
const PAGE: usize = 1_000;

/// Times that a list is begun anew when its pages cannot be joined.
const LIST_ATTEMPTS: usize = 5;

/// Bytes of one line of a watch at most.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Client of the resource API at several servers.
#[derive(Debug)]
pub struct ApiClient {
    servers: Vec<Client>,
    /// The server that answered last; pages and watches go on there.
    preferred: AtomicUsize,
    token: Option<String>,
    has_seen_stale_node: AtomicBool,
}

impl ApiClient {
    /// Creates a client of these servers, which are tried in turn.
    #[must_use]
    pub fn new(servers: &[SocketAddr]) -> Self {
        Self {
            servers: servers
                .iter()
                .map(|server| Client::new(*server, 4))
                .collect(),
            preferred: AtomicUsize::new(0),
            token: None,
            has_seen_stale_node: AtomicBool::new(false),
        }
    }

    /// Sets the access token.
    #[must_use]
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Tells whether a node that answered did not know that it is current.
    #[must_use]
    pub fn has_seen_stale_node(&self) -> bool {
        self.has_seen_stale_node.load(Ordering::Relaxed)
    }

    /// Returns a resource, or nothing when it is not declared.
    ///
    /// # Errors
    ///
    /// Fails when no server answers or the server refuses.
    pub async fn get(&self, reference: &ResourceRef) -> Result<Option<ResourceView>, CtlError> {
        let (peer, answer) = self
            .call(&self.request(Method::GET, path(reference)))
            .await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(&format!("get {reference}"), peer, &answer).map(Some)
    }

    /// Returns why a resource stands where it does.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does, or when the resource is not declared.
    pub async fn explain(&self, reference: &ResourceRef) -> Result<ExplanationView, CtlError> {
        let path = format!("{}/explanation", path(reference));
        let (peer, answer) = self.call(&self.request(Method::GET, path)).await?;
        decode(&format!("explain {reference}"), peer, &answer)
    }

    /// Returns every resource of a kind.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn list(&self, kind: Kind) -> Result<ResourceList, CtlError> {
        for _ in 0..LIST_ATTEMPTS {
            if let Some(list) = self.pages(kind).await? {
                return Ok(list);
            }
        }
        let detail = "the fleet changes faster than its pages can be read";
        Err(CtlError::Refused {
            what: format!("list {kind}"),
            problem: Box::new(Problem::new(ProblemReason::TooOld, detail)),
        })
    }

    /// Joins the pages of a list; nothing when they cannot be joined any more.
    async fn pages(&self, kind: Kind) -> Result<Option<ResourceList>, CtlError> {
        let mut whole: Option<ResourceList> = None;
        let mut place = String::new();
        loop {
            let path = format!("/v1/{kind}?limit={PAGE}{place}");
            let (peer, answer) = self.call(&self.request(Method::GET, path)).await?;
            if answer.status == StatusCode::GONE {
                return Ok(None);
            }
            let mut page: ResourceList = decode(&format!("list {kind}"), peer, &answer)?;
            let next = page.continue_at.take();
            match &mut whole {
                Some(whole) => whole.items.append(&mut page.items),
                None => whole = Some(page),
            }
            match next {
                Some(next) => place = format!("&continue={next}"),
                None => return Ok(whole),
            }
        }
    }

    /// Declares a resource that is at `revision`; 0 when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does, or when the outcome stays unknown.
    pub async fn put(
        &self,
        resource: &Resource,
        revision: u64,
        dry_run: bool,
    ) -> Result<WriteResponse, CtlError> {
        let reference = resource.reference();
        let trial = if dry_run { "?dry_run=true" } else { "" };
        let body = serde_json::to_vec(resource).map_err(|error| CtlError::InvalidSetup {
            reason: error.to_string(),
        })?;
        let request = self
            .request(Method::PUT, format!("{}{trial}", path(&reference)))
            .with_header("if-match", revision.to_string())
            .with_body(body);
        self.write(&format!("declare {reference}"), &reference, &request)
            .await
    }

    /// Withdraws a resource.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::put`] does.
    pub async fn delete(&self, reference: &ResourceRef) -> Result<WriteResponse, CtlError> {
        let request = self.request(Method::DELETE, path(reference));
        self.write(&format!("withdraw {reference}"), reference, &request)
            .await
    }

    /// Asks what became of a write.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn operation(&self, id: OperationId) -> Result<OperationView, CtlError> {
        let path = format!("/v1/operations/{id}");
        let (peer, answer) = self.call(&self.request(Method::GET, path)).await?;
        decode(&format!("look up {id}"), peer, &answer)
    }

    /// Returns the latest writes of all nodes, the last one first.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn operations(&self) -> Result<OperationList, CtlError> {
        let request = self.request(Method::GET, "/v1/operations".into());
        let (peer, answer) = self.call(&request).await?;
        decode("list operations", peer, &answer)
    }

    /// Opens a watch of one resource.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn watch(&self, reference: &ResourceRef) -> Result<WatchStream, CtlError> {
        let path = format!("/v1/{}?watch=true&name={}", reference.kind, reference.name);
        let mut last = None;
        for row in self.order() {
            let server = &self.servers[row];
            let mut request = Request::builder()
                .method(Method::GET)
                .uri(&path)
                .header(http::header::HOST, server.peer().to_string());
            if let Some(token) = &self.token {
                request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
            }
            let request = request
                .body(empty_body())
                .map_err(|error| CtlError::InvalidSetup {
                    reason: error.to_string(),
                })?;
            match server.send(request, Instant::now() + CALL_LIMIT).await {
                Ok(response) if response.status() == StatusCode::OK => {
                    self.preferred.store(row, Ordering::Relaxed);
                    return Ok(WatchStream {
                        body: response.into_body(),
                        bytes: Vec::new(),
                    });
                }
                Ok(response) => return Err(refusal_of(server.peer(), response).await),
                Err(error) => last = Some(error),
            }
        }
        Err(unreachable(last))
    }

    /// Sends a write; when the server does not know its outcome yet, asks until it is known.
    async fn write(
        &self,
        what: &str,
        reference: &ResourceRef,
        request: &ClientRequest,
    ) -> Result<WriteResponse, CtlError> {
        let (peer, answer) = self.call(request).await?;
        let refused = match decode::<WriteResponse>(what, peer, &answer) {
            Err(error) => error,
            written => return written,
        };
        let Some(id) = refused.operation() else {
            return Err(refused);
        };
        let until = Instant::now() + LOOK_UP_LIMIT;
        while Instant::now() < until {
            match self.operation(id).await.map(|view| view.outcome) {
                Ok(OperationOutcome::Accepted { offset }) => {
                    return Ok(WriteResponse {
                        reference: reference.clone(),
                        revision: offset,
                        dry_run: false,
                        operation: Some(id),
                    });
                }
                Ok(OperationOutcome::Rejected { reason, .. }) => {
                    return Err(CtlError::Refused {
                        what: what.into(),
                        problem: Box::new(Problem::new(ProblemReason::Rejected, reason)),
                    });
                }
                Ok(OperationOutcome::NotSeen | OperationOutcome::TooOld) | Err(_) => {}
            }
            sleep(LOOK_UP_PAUSE).await;
        }
        Err(refused)
    }

    fn request(&self, method: Method, path: String) -> ClientRequest {
        let request = ClientRequest::new(method, path);
        match &self.token {
            Some(token) => request.with_header("authorization", format!("Bearer {token}")),
            None => request,
        }
    }

    /// Sends a request to the first server that takes it.
    ///
    /// A write that may have been sent is not sent to another server: both could apply it, and
    /// the second answer would hide the first.
    async fn call(
        &self,
        request: &ClientRequest,
    ) -> Result<(SocketAddr, ClientResponse), CtlError> {
        let mut last = None;
        for row in self.order() {
            let server = &self.servers[row];
            match server.call(request, CALL_LIMIT).await {
                Ok(answer) => {
                    self.preferred.store(row, Ordering::Relaxed);
                    if answer.header(CURRENT_HEADER) == Some("false") {
                        self.has_seen_stale_node.store(true, Ordering::Relaxed);
                    }
                    return Ok((server.peer(), answer));
                }
                Err(source) if source.may_have_run && request.method != Method::GET => {
                    return Err(CtlError::NoResponse { source });
                }
                Err(error) => last = Some(error),
            }
        }
        Err(unreachable(last))
    }

    /// Returns the servers' rows, the preferred one first.
    fn order(&self) -> impl Iterator<Item = usize> {
        let count = self.servers.len();
        let first = self.preferred.load(Ordering::Relaxed);
        (0..count).map(move |step| (first + step) % count)
    }
}

/// Open watch, read line by line.
pub struct WatchStream {
    body: Body,
    bytes: Vec<u8>,
}

impl WatchStream {
    /// Returns the next event; nothing when the stream is over and must be opened anew.
    pub async fn next(&mut self) -> Option<WatchEvent> {
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            if self.bytes.len() > MAX_LINE_BYTES {
                return None;
            }
            let frame = timeout(WATCH_SILENCE, self.body.frame()).await.ok()??;
            self.bytes.extend_from_slice(&frame.ok()?.into_data().ok()?);
        }
    }
}

fn path(reference: &ResourceRef) -> String {
    format!("/v1/{}/{}", reference.kind, reference.name)
}

fn unreachable(last: Option<TransportError>) -> CtlError {
    match last {
        Some(source) => CtlError::Unreachable { source },
        None => CtlError::InvalidSetup {
            reason: "no server given".into(),
        },
    }
}

async fn refusal_of(peer: SocketAddr, response: http::Response<Body>) -> CtlError {
    match response.into_body().collect().await {
        Ok(collected) => refusal("watch", peer, &collected.to_bytes()),
        Err(error) => CtlError::InvalidResponse {
            peer,
            reason: error.to_string(),
        },
    }
}

fn refusal(what: &str, peer: SocketAddr, body: &[u8]) -> CtlError {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => CtlError::Refused {
            what: what.into(),
            problem: Box::new(problem),
        },
        Err(error) => CtlError::InvalidResponse {
            peer,
            reason: error.to_string(),
        },
    }
}

fn decode<T: DeserializeOwned>(
    what: &str,
    peer: SocketAddr,
    answer: &ClientResponse,
) -> Result<T, CtlError> {
    if answer.status != StatusCode::OK {
        return Err(refusal(what, peer, &answer.body));
    }
    serde_json::from_slice(&answer.body).map_err(|error| CtlError::InvalidResponse {
        peer,
        reason: error.to_string(),
    })
}
