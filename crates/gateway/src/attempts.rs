//! Attempts of keyed requests on this node and the responses stored for duplicates.

use {
    crate::refusal::Refusal,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode},
    lynxwheel_protocol::RequestKey,
    lynxwheel_transport::{Body, full_body},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// Maximum size of a stored response; larger ones are forwarded but not stored.
pub(crate) const MAX_STORED_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum size of all stored responses; the oldest are evicted first.
const MAX_STORED_BYTES: usize = 8 * 1024 * 1024;

/// Estimated memory of an entry in addition to its body and headers.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Time for which a response is stored.
const RETENTION: Duration = Duration::from_mins(10);

/// A header of a stored response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Header name.
    pub name: String,
    /// Raw header value.
    pub value: Vec<u8>,
}

/// A complete response of an endpoint, kept for duplicates of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<StoredHeader>,
    /// Response body.
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Creates a stored response from a fully buffered one.
    #[must_use]
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Self {
        let headers = headers
            .iter()
            .map(|(name, value)| StoredHeader {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec(),
            })
            .collect();
        Self {
            status: status.as_u16(),
            headers,
            body: body.to_vec(),
        }
    }

    /// Builds the HTTP response for a duplicate request.
    #[must_use]
    pub fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(full_body(self.body.clone()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        for header in &self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        response
    }

    fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        ENTRY_OVERHEAD_BYTES + headers + self.body.len()
    }
}

/// Progress of the first attempt of a key on this node.
#[derive(Clone, Debug)]
pub(crate) enum Progress {
    /// Still running.
    Running,
    /// Ended with a response that is stored.
    Answered(Arc<StoredResponse>),
    /// Ended with a response too large to store, with this status code.
    TooLarge(u16),
    /// Ended with a refusal, which waiting duplicates receive too.
    Refused(Refusal),
}

/// Result of looking up the key of an arriving request.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// No other attempt of the key is known on this node.
    First,
    /// Another attempt of the key came first.
    Duplicate {
        /// Digest of the first attempt's request.
        request_digest: u64,
        /// Progress of the first attempt.
        progress: watch::Receiver<Progress>,
    },
}

/// Running attempts and stored responses by key; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    table: Arc<Mutex<AttemptTable>>,
}

#[derive(Debug, Default)]
struct AttemptTable {
    entries: Vec<AttemptEntry>,
    finished: VecDeque<FinishedAttempt>,
    stored_bytes: usize,
}

#[derive(Debug)]
struct AttemptEntry {
    key: RequestKey,
    request_digest: u64,
    progress: watch::Sender<Progress>,
}

/// A finished attempt in the order of eviction.
#[derive(Debug)]
struct FinishedAttempt {
    key: RequestKey,
    finished_at: Instant,
    size_bytes: usize,
}

impl Attempts {
    /// Registers an attempt; only the first one of a key may run.
    pub(crate) fn begin(&self, key: RequestKey, request_digest: u64) -> Attempt {
        let mut table = self.table();
        table.evict(Instant::now());
        match table.find(key) {
            Ok(index) => table.entries[index].duplicate(),
            Err(index) => {
                let entry = AttemptEntry {
                    key,
                    request_digest,
                    progress: watch::Sender::new(Progress::Running),
                };
                table.entries.insert(index, entry);
                Attempt::First
            }
        }
    }

    /// Returns the attempt of a key without registering one.
    pub(crate) fn find(&self, key: RequestKey) -> Option<Attempt> {
        let mut table = self.table();
        table.evict(Instant::now());
        let index = table.find(key).ok()?;
        Some(table.entries[index].duplicate())
    }

    /// Finishes the first attempt of a key and stores its result.
    pub(crate) fn finish(&self, key: RequestKey, progress: Progress) {
        let size_bytes = match &progress {
            Progress::Answered(response) => response.size_bytes(),
            _ => ENTRY_OVERHEAD_BYTES,
        };
        let mut table = self.table();
        let Ok(index) = table.find(key) else {
            return;
        };
        table.entries[index].progress.send_replace(progress);
        table.stored_bytes += size_bytes;
        table.finished.push_back(FinishedAttempt {
            key,
            finished_at: Instant::now(),
            size_bytes,
        });
        table.evict(Instant::now());
    }

    /// Sends a refusal to waiting duplicates without finishing the attempt.
    pub(crate) fn notify_refused(&self, key: RequestKey, refusal: &Refusal) {
        let table = self.table();
        if let Ok(index) = table.find(key) {
            let progress = Progress::Refused(refusal.clone());
            table.entries[index].progress.send_replace(progress);
        }
    }

    /// Removes a key, so that it may be used again.
    pub(crate) fn remove(&self, key: RequestKey) {
        let mut table = self.table();
        if let Ok(index) = table.find(key) {
            table.entries.remove(index);
        }
    }

    fn table(&self) -> MutexGuard<'_, AttemptTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AttemptEntry {
    fn duplicate(&self) -> Attempt {
        Attempt::Duplicate {
            request_digest: self.request_digest,
            progress: self.progress.subscribe(),
        }
    }
}

impl AttemptTable {
    fn find(&self, key: RequestKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }

    fn evict(&mut self, now: Instant) {
        while let Some(oldest) = self.finished.front() {
            let must_evict =
                self.stored_bytes > MAX_STORED_BYTES || now > oldest.finished_at + RETENTION;
            if !must_evict {
                return;
            }
            let Some(FinishedAttempt {
                key, size_bytes, ..
            }) = self.finished.pop_front()
            else {
                return;
            };
            self.stored_bytes -= size_bytes;
            if let Ok(index) = self.find(key) {
                self.entries.remove(index);
            }
        }
    }
}

/// Waits until an attempt has ended, but no longer than `deadline`.
///
/// Returns `None` if the key was removed in the meantime.
pub(crate) async fn wait_until_ended(
    mut progress: watch::Receiver<Progress>,
    deadline: Instant,
) -> Option<Progress> {
    let ended = progress.wait_for(|progress| !matches!(progress, Progress::Running));
    match tokio::time::timeout_at(deadline, ended).await {
        Ok(Ok(progress)) => Some(progress.clone()),
        Ok(Err(_)) => None,
        Err(_) => Some(Progress::Running),
    }
}
