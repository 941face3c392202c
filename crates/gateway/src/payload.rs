//! Request bodies, buffered or streamed to an endpoint.

use {
    crate::refusal::{Refusal, RefusalReason},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Incoming},
    lynxwheel_transport::{Body, BodyError, BufferedBody, buffer_body, full_body, limited_body},
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// Maximum size of a body that is buffered for retries.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Maximum size of a body with an idempotency key, which is buffered for its digest.
pub(crate) const MAX_KEYED_BYTES: usize = 1024 * 1024;

/// Maximum size of a body.
const MAX_BYTES: u64 = 256 * 1024 * 1024;

/// Maximum time between two parts of a body.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of a request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// Fully buffered; can be sent repeatedly.
    Buffered(Bytes),
    /// Too large to buffer; can be sent once.
    Streamed(Option<Body>),
}

impl Payload {
    /// Reads a body and buffers it if it has at most `max_buffered_bytes`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is truncated, too large or late.
    pub(crate) async fn read(
        incoming: Incoming,
        max_buffered_bytes: usize,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if incoming.size_hint().lower() > MAX_BYTES {
            return Err(body_refusal(&BodyError::TooLarge));
        }
        let body = incoming.map_err(BodyError::from).boxed_unsync();
        let body = limited_body(body, STALL_TIMEOUT, MAX_BYTES);
        let gathered = timeout_at(deadline, buffer_body(body, max_buffered_bytes))
            .await
            .map_err(|_| body_refusal(&BodyError::Stalled))?
            .map_err(|error| body_refusal(&error))?;
        Ok(match gathered {
            BufferedBody::Complete(bytes) => Self::Buffered(bytes),
            BufferedBody::Exceeded(body) => Self::Streamed(Some(body)),
        })
    }

    /// Returns the body to send, or `None` if a streamed body was already sent.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Returns whether the body can be sent.
    pub(crate) fn can_send(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(body) => body.is_some(),
        }
    }
}

fn body_refusal(error: &BodyError) -> Refusal {
    let reason = match error {
        BodyError::Broken { .. } => RefusalReason::BadRequest,
        BodyError::Stalled => RefusalReason::SlowBody,
        BodyError::TooLarge => RefusalReason::BodyTooLarge,
    };
    Refusal::not_run(reason, error.to_string())
}
