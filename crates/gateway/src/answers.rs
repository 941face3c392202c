//! Answers of non-idempotent requests, kept for second attempts.

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

/// Bytes of one kept answer at most; larger ones are passed on but not kept.
pub(crate) const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Bytes of all kept answers at most; the oldest go first.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Bytes that a kept answer takes besides its body and headers.
const ROW_BYTES: usize = 256;

/// Time for which an answer is kept.
const KEEP: Duration = Duration::from_mins(10);

/// One header of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Whole answer of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<StoredHeader>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Keeps an answer that is in memory as a whole.
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

    /// Builds the answer for a second attempt.
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
        ROW_BYTES + headers + self.body.len()
    }
}

/// How far the first attempt of a key has come on this node.
#[derive(Clone, Debug)]
pub(crate) enum Progress {
    /// Under way.
    Running,
    /// Ended with an answer that is kept.
    Answered(Arc<StoredResponse>),
    /// Ended with an answer too large to keep.
    TooLarge(u16),
    /// Ended with a refusal, which second attempts that waited get too.
    Refused(Refusal),
}

/// What the table says of a key when an attempt arrives.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The first attempt on this node.
    First,
    /// Another attempt came first.
    Second {
        /// Digest of the first attempt's request.
        request_digest: u64,
        /// How far it has come.
        progress: watch::Receiver<Progress>,
    },
}

/// Attempts under way and answers kept, by key; copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    rows: Vec<Row>,
    ended: VecDeque<Ended>,
    kept_bytes: usize,
}

#[derive(Debug)]
struct Row {
    key: RequestKey,
    request_digest: u64,
    progress: watch::Sender<Progress>,
}

/// A kept answer's place in the order in which answers are dropped.
#[derive(Debug)]
struct Ended {
    key: RequestKey,
    at: Instant,
    size_bytes: usize,
}

impl Answers {
    /// Notes an attempt; the first one of a key runs.
    pub(crate) fn begin(&self, key: RequestKey, request_digest: u64) -> Attempt {
        let mut table = self.table();
        table.drop_old(Instant::now());
        match table.find(key) {
            Ok(row) => table.rows[row].attempt(),
            Err(row) => {
                let new = Row {
                    key,
                    request_digest,
                    progress: watch::Sender::new(Progress::Running),
                };
                table.rows.insert(row, new);
                Attempt::First
            }
        }
    }

    /// Looks an attempt up without beginning one.
    pub(crate) fn find(&self, key: RequestKey) -> Option<Attempt> {
        let mut table = self.table();
        table.drop_old(Instant::now());
        let row = table.find(key).ok()?;
        Some(table.rows[row].attempt())
    }

    /// Ends the first attempt of a key and keeps its answer.
    pub(crate) fn end(&self, key: RequestKey, progress: Progress) {
        let size_bytes = match &progress {
            Progress::Answered(answer) => answer.size_bytes(),
            _ => ROW_BYTES,
        };
        let mut table = self.table();
        let Ok(row) = table.find(key) else {
            return;
        };
        table.rows[row].progress.send_replace(progress);
        table.kept_bytes += size_bytes;
        table.ended.push_back(Ended {
            key,
            at: Instant::now(),
            size_bytes,
        });
        table.drop_old(Instant::now());
    }

    /// Tells those who wait how the first attempt ended without ending it.
    pub(crate) fn tell(&self, key: RequestKey, refusal: &Refusal) {
        let table = self.table();
        if let Ok(row) = table.find(key) {
            let progress = Progress::Refused(refusal.clone());
            table.rows[row].progress.send_replace(progress);
        }
    }

    /// Forgets a key, so that it may be used again.
    pub(crate) fn forget(&self, key: RequestKey) {
        let mut table = self.table();
        if let Ok(row) = table.find(key) {
            table.rows.remove(row);
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Row {
    fn attempt(&self) -> Attempt {
        Attempt::Second {
            request_digest: self.request_digest,
            progress: self.progress.subscribe(),
        }
    }
}

impl Table {
    fn find(&self, key: RequestKey) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |row| row.key)
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some(oldest) = self.ended.front() {
            let is_due = self.kept_bytes > MAX_KEPT_BYTES || now > oldest.at + KEEP;
            if !is_due {
                return;
            }
            let Some(Ended {
                key, size_bytes, ..
            }) = self.ended.pop_front()
            else {
                return;
            };
            self.kept_bytes -= size_bytes;
            if let Ok(row) = self.find(key) {
                self.rows.remove(row);
            }
        }
    }
}

/// Waits until an attempt has ended, but no longer than `deadline`.
///
/// Returns `None` when the key was forgotten meanwhile.
pub(crate) async fn wait_ended(
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
