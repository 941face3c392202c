//! Body of a caller's request on its way to an endpoint.

use {
    crate::refusal::{Refusal, RefusalReason},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Incoming},
    lynxwheel_transport::{Body, BodyError, BufferedBody, buffer_body, full_body, limited_body},
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// Bytes of a body that is kept for a retry at most.
pub(crate) const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Bytes of a body with an idempotency key at most; it is read as a whole for its digest.
pub(crate) const MAX_KEYED_BYTES: usize = 1024 * 1024;

/// Bytes of a body at most.
const MAX_BYTES: u64 = 256 * 1024 * 1024;

/// Time within which the next part of a body must come.
pub(crate) const STALL: Duration = Duration::from_secs(10);

/// Body of a request: kept in memory, or passed on as it comes.
#[derive(Debug)]
pub(crate) enum Payload {
    /// In memory as a whole; can be sent again.
    Kept(Bytes),
    /// Too large to keep; can be sent once.
    Streamed(Option<Body>),
}

impl Payload {
    /// Reads a body up to `kept_bytes`.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a body that breaks off, is too large or is late.
    pub(crate) async fn read(
        incoming: Incoming,
        kept_bytes: usize,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        if incoming.is_end_stream() {
            return Ok(Self::Kept(Bytes::new()));
        }
        if incoming.size_hint().lower() > MAX_BYTES {
            return Err(refusal_of(&BodyError::TooLarge));
        }
        let body = incoming.map_err(BodyError::from).boxed_unsync();
        let body = limited_body(body, STALL, MAX_BYTES);
        let gathered = timeout_at(deadline, buffer_body(body, kept_bytes))
            .await
            .map_err(|_| refusal_of(&BodyError::Stalled))?
            .map_err(|error| refusal_of(&error))?;
        Ok(match gathered {
            BufferedBody::Complete(bytes) => Self::Kept(bytes),
            BufferedBody::Exceeded(body) => Self::Streamed(Some(body)),
        })
    }

    /// Returns the body to send, or `None` when it is used up.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Tells whether the body can be sent.
    pub(crate) fn is_at_hand(&self) -> bool {
        match self {
            Self::Kept(_) => true,
            Self::Streamed(body) => body.is_some(),
        }
    }
}

fn refusal_of(error: &BodyError) -> Refusal {
    let reason = match error {
        BodyError::Broken { .. } => RefusalReason::BadRequest,
        BodyError::Stalled => RefusalReason::SlowBody,
        BodyError::TooLarge => RefusalReason::BodyTooLarge,
    };
    Refusal::not_run(reason, error.to_string())
}
