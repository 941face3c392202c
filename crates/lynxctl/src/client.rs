//! Client of the resource API.

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

/// Time limit for one call; longer than a node waits for its log.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without an event or bookmark after which a watch counts as broken.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for polling the outcome of a write.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the outcome of a write is polled.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of resources in a page of a list.
const PAGE_SIZE: usize = 1_000;

/// Maximum attempts of a list whose continuation expires.
const MAX_LIST_ATTEMPTS: usize = 5;

/// Maximum size of one event of a watch, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Client of the resource API that fails over between several servers.
#[derive(Debug)]
pub struct ApiClient {
    servers: Vec<Client>,
    /// Index of the server that responded last, which is tried first.
    preferred: AtomicUsize,
    token: Option<String>,
    has_seen_stale_node: AtomicBool,
}

impl ApiClient {
    /// Creates a client of `servers`, which are tried in order.
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

    /// Returns whether any response came from a node that may be behind the log.
    #[must_use]
    pub fn has_seen_stale_node(&self) -> bool {
        self.has_seen_stale_node.load(Ordering::Relaxed)
    }

    /// Returns a resource, or `None` when it is not declared.
    ///
    /// # Errors
    ///
    /// Fails when no server responds or the server refuses the request.
    pub async fn get(&self, reference: &ResourceRef) -> Result<Option<ResourceView>, CtlError> {
        let (peer, response) = self
            .call(&self.request(Method::GET, path(reference)))
            .await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(&format!("get {reference}"), peer, &response).map(Some)
    }

    /// Returns the explanation of a resource's state.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does, or when the resource is not declared.
    pub async fn explain(&self, reference: &ResourceRef) -> Result<ExplanationView, CtlError> {
        let path = format!("{}/explanation", path(reference));
        let (peer, response) = self.call(&self.request(Method::GET, path)).await?;
        decode(&format!("explain {reference}"), peer, &response)
    }

    /// Returns all resources of a kind.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn list(&self, kind: Kind) -> Result<ResourceList, CtlError> {
        for _ in 0..MAX_LIST_ATTEMPTS {
            if let Some(list) = self.try_list(kind).await? {
                return Ok(list);
            }
        }
        let detail = "the fleet changes faster than its pages can be read";
        Err(CtlError::Refused {
            action: format!("list {kind}"),
            problem: Box::new(Problem::new(ProblemReason::TooOld, detail)),
        })
    }

    /// Reads all pages of a list; returns `None` when the continuation has expired.
    async fn try_list(&self, kind: Kind) -> Result<Option<ResourceList>, CtlError> {
        let mut combined: Option<ResourceList> = None;
        let mut cursor = String::new();
        loop {
            let path = format!("/v1/{kind}?limit={PAGE_SIZE}{cursor}");
            let (peer, response) = self.call(&self.request(Method::GET, path)).await?;
            if response.status == StatusCode::GONE {
                return Ok(None);
            }
            let mut page: ResourceList = decode(&format!("list {kind}"), peer, &response)?;
            let next = page.continue_at.take();
            match &mut combined {
                Some(combined) => combined.items.append(&mut page.items),
                None => combined = Some(page),
            }
            match next {
                Some(next) => cursor = format!("&continue={next}"),
                None => return Ok(combined),
            }
        }
    }

    /// Declares a resource whose current revision is `revision`; 0 when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does, when the resource has another revision or when the
    /// outcome remains unknown.
    pub async fn put(
        &self,
        resource: &Resource,
        revision: u64,
        dry_run: bool,
    ) -> Result<WriteResponse, CtlError> {
        let reference = resource.reference();
        let query = if dry_run { "?dry_run=true" } else { "" };
        let body = serde_json::to_vec(resource).map_err(|error| CtlError::InvalidSetup {
            reason: error.to_string(),
        })?;
        let request = self
            .request(Method::PUT, format!("{}{query}", path(&reference)))
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

    /// Returns the outcome of a write.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn operation(&self, id: OperationId) -> Result<OperationView, CtlError> {
        let path = format!("/v1/operations/{id}");
        let (peer, response) = self.call(&self.request(Method::GET, path)).await?;
        decode(&format!("look up {id}"), peer, &response)
    }

    /// Returns the latest writes of all nodes, the most recent first.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn operations(&self) -> Result<OperationList, CtlError> {
        let request = self.request(Method::GET, "/v1/operations".into());
        let (peer, response) = self.call(&request).await?;
        decode("list operations", peer, &response)
    }

    /// Opens a watch of one resource.
    ///
    /// # Errors
    ///
    /// Fails as [`ApiClient::get`] does.
    pub async fn watch(&self, reference: &ResourceRef) -> Result<WatchStream, CtlError> {
        let path = format!("/v1/{}?watch=true&name={}", reference.kind, reference.name);
        let mut last_error = None;
        for index in self.server_order() {
            let server = &self.servers[index];
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
            match server.send(request, Instant::now() + CALL_TIMEOUT).await {
                Ok(response) if response.status() == StatusCode::OK => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(WatchStream {
                        body: response.into_body(),
                        buffer: Vec::new(),
                    });
                }
                Ok(response) => return Err(read_refusal(server.peer(), response).await),
                Err(error) => last_error = Some(error),
            }
        }
        Err(unreachable(last_error))
    }

    /// Sends a write, and polls its outcome when the server does not know it yet.
    async fn write(
        &self,
        action: &str,
        reference: &ResourceRef,
        request: &ClientRequest,
    ) -> Result<WriteResponse, CtlError> {
        let (peer, response) = self.call(request).await?;
        let refusal = match decode::<WriteResponse>(action, peer, &response) {
            Err(error) => error,
            result => return result,
        };
        let Some(id) = refusal.operation() else {
            return Err(refusal);
        };
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        while Instant::now() < deadline {
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
                        action: action.into(),
                        problem: Box::new(Problem::new(ProblemReason::Rejected, reason)),
                    });
                }
                Ok(OperationOutcome::NotSeen | OperationOutcome::TooOld) | Err(_) => {}
            }
            sleep(OUTCOME_POLL_INTERVAL).await;
        }
        Err(refusal)
    }

    fn request(&self, method: Method, path: String) -> ClientRequest {
        let request = ClientRequest::new(method, path);
        match &self.token {
            Some(token) => request.with_header("authorization", format!("Bearer {token}")),
            None => request,
        }
    }

    /// Sends a request to the first reachable server.
    ///
    /// A write that may have been sent is not retried at another server: both could apply it, and
    /// the second response would hide the first.
    async fn call(
        &self,
        request: &ClientRequest,
    ) -> Result<(SocketAddr, ClientResponse), CtlError> {
        let mut last_error = None;
        for index in self.server_order() {
            let server = &self.servers[index];
            match server.call(request, CALL_TIMEOUT).await {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    if response.header(CURRENT_HEADER) == Some("false") {
                        self.has_seen_stale_node.store(true, Ordering::Relaxed);
                    }
                    return Ok((server.peer(), response));
                }
                Err(source) if source.may_have_run && request.method != Method::GET => {
                    return Err(CtlError::NoResponse { source });
                }
                Err(error) => last_error = Some(error),
            }
        }
        Err(unreachable(last_error))
    }

    /// Returns the indices of the servers, the preferred one first.
    fn server_order(&self) -> impl Iterator<Item = usize> {
        let count = self.servers.len();
        let first = self.preferred.load(Ordering::Relaxed);
        (0..count).map(move |offset| (first + offset) % count)
    }
}

/// An open watch, as a stream of JSON lines.
pub struct WatchStream {
    body: Body,
    buffer: Vec<u8>,
}

impl WatchStream {
    /// Returns the next event, or `None` when the stream has ended and the watch must be reopened.
    pub async fn next(&mut self) -> Option<WatchEvent> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return None;
            }
            let frame = timeout(WATCH_IDLE_TIMEOUT, self.body.frame())
                .await
                .ok()??;
            self.buffer
                .extend_from_slice(&frame.ok()?.into_data().ok()?);
        }
    }
}

fn path(reference: &ResourceRef) -> String {
    format!("/v1/{}/{}", reference.kind, reference.name)
}

/// Returns the error for a request that no server took, with the last connection error.
fn unreachable(last_error: Option<TransportError>) -> CtlError {
    match last_error {
        Some(source) => CtlError::Unreachable { source },
        None => CtlError::InvalidSetup {
            reason: "no server given".into(),
        },
    }
}

/// Reads the problem in the response to a watch.
async fn read_refusal(peer: SocketAddr, response: http::Response<Body>) -> CtlError {
    match response.into_body().collect().await {
        Ok(collected) => decode_refusal("watch", peer, &collected.to_bytes()),
        Err(error) => CtlError::InvalidResponse {
            peer,
            reason: error.to_string(),
        },
    }
}

/// Decodes the problem in a response.
fn decode_refusal(action: &str, peer: SocketAddr, body: &[u8]) -> CtlError {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => CtlError::Refused {
            action: action.into(),
            problem: Box::new(problem),
        },
        Err(error) => CtlError::InvalidResponse {
            peer,
            reason: error.to_string(),
        },
    }
}

fn decode<T: DeserializeOwned>(
    action: &str,
    peer: SocketAddr,
    response: &ClientResponse,
) -> Result<T, CtlError> {
    if response.status != StatusCode::OK {
        return Err(decode_refusal(action, peer, &response.body));
    }
    serde_json::from_slice(&response.body).map_err(|error| CtlError::InvalidResponse {
        peer,
        reason: error.to_string(),
    })
}
