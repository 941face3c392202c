//! Conditions under which a request may be sent.
//!
//! A request may wait for a connection while its process is suspended, and what allowed it may have
//! ended meanwhile. A guard is asked after each wait, and again when the request is written.

use {
    crate::{
        body::{Body, BodyError},
        client::ConnectionId,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
    },
    tokio::time::Instant,
};

/// Condition under which requests may be sent.
#[derive(Clone)]
pub struct SendCondition {
    may_send: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl SendCondition {
    /// Creates a condition that holds while `may_send` returns `true`.
    #[must_use]
    pub fn new(may_send: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self {
            may_send: Arc::new(may_send),
        }
    }

    /// Returns whether the condition holds now.
    #[must_use]
    pub fn holds(&self) -> bool {
        (self.may_send)()
    }
}

impl Default for SendCondition {
    /// Returns a condition that always holds.
    fn default() -> Self {
        Self::new(|| true)
    }
}

impl fmt::Debug for SendCondition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SendCondition")
    }
}

/// When a request was sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SendRecord {
    /// Number of times that it was written to a connection; connections that the peer had closed
    /// count.
    pub tries: u32,
    /// When it was last written.
    pub sent_at: Option<Instant>,
    /// Connection to which it was last written.
    pub connection: Option<ConnectionId>,
    /// Whether it was withheld because its condition no longer held or its deadline had passed.
    pub is_withheld: bool,
}

/// Condition of one request, and the record of when it was sent.
#[derive(Clone, Debug, Default)]
pub struct SendGuard {
    condition: SendCondition,
    record: Arc<Mutex<SendRecord>>,
}

impl SendGuard {
    /// Creates the guard of one request.
    #[must_use]
    pub fn new(condition: SendCondition) -> Self {
        Self {
            condition,
            record: Arc::default(),
        }
    }

    /// Returns when the request was sent.
    #[must_use]
    pub fn record(&self) -> SendRecord {
        *self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the request may be sent now, and records if it may not.
    pub(crate) fn allows(&self, deadline: Instant) -> bool {
        let is_allowed = Instant::now() < deadline && self.condition.holds();
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.is_withheld |= !is_allowed;
        is_allowed
    }

    /// Returns whether the request may be written now, and records that it is.
    fn begin(&self, connection: ConnectionId, deadline: Instant) -> bool {
        let is_allowed = self.allows(deadline);
        if is_allowed {
            let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
            record.tries += 1;
            record.sent_at = Some(Instant::now());
            record.connection = Some(connection);
        }
        is_allowed
    }
}

/// Returns a body that is only sent if its guard allows it when the first data is taken.
///
/// The HTTP library takes the first data before it writes the head, so nothing is sent otherwise.
pub(crate) fn checked_body(
    inner: Body,
    guard: SendGuard,
    connection: ConnectionId,
    deadline: Instant,
) -> Body {
    let checked = CheckedBody {
        inner,
        guard,
        connection,
        deadline,
        is_begun: false,
    };
    checked.boxed_unsync()
}

#[derive(Debug)]
struct CheckedBody {
    inner: Body,
    guard: SendGuard,
    connection: ConnectionId,
    deadline: Instant,
    is_begun: bool,
}

impl HttpBody for CheckedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if !self.is_begun {
            if !self.guard.begin(self.connection, self.deadline) {
                let reason = "the request may no longer be sent".into();
                return Poll::Ready(Some(Err(BodyError::Broken { reason })));
            }
            self.is_begun = true;
        }
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
