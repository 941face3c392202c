//! Request bodies, buffered or streamed to an endpoint.

use {
    crate::refusal::{Refusal, RefusalReason},
    bytes::Bytes,
    hyper::body::Body as HttpBody,
    lynxwheel_transport::{
        Body, BodyError, BufferedBody, HeldMemory, RequestBody, full_body, limited_body,
    },
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

/// Time after which a request that was refused for want of memory may be sent again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Body of a request.
#[derive(Debug)]
enum Content {
    /// Fully buffered; can be sent repeatedly.
    Buffered(Bytes),
    /// Too large to buffer; can be sent once.
    Streamed(Option<Body>),
}

/// Body of a request, with the memory that is held for it.
#[derive(Debug)]
pub(crate) struct Payload {
    content: Content,
    held: HeldMemory,
}

impl Payload {
    /// Reads a body and buffers it if it has at most `max_buffered_bytes`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is truncated, too large or late, or if no memory is left for
    /// it.
    pub(crate) async fn read(
        incoming: RequestBody,
        max_buffered_bytes: usize,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        if incoming.is_end_stream() {
            return Ok(Self::with_bytes(Bytes::new(), HeldMemory::default()));
        }
        if incoming.size_hint().lower() > MAX_BYTES {
            return Err(body_refusal(&BodyError::TooLarge));
        }
        let (body, held) = timeout_at(deadline, incoming.buffer(max_buffered_bytes))
            .await
            .map_err(|_| body_refusal(&BodyError::Stalled))?
            .map_err(|error| body_refusal(&error))?;
        Ok(match body {
            BufferedBody::Complete(bytes) => Self::with_bytes(bytes, held),
            BufferedBody::Exceeded(body) => Self {
                content: Content::Streamed(Some(limited_body(body, STALL_TIMEOUT, MAX_BYTES))),
                held,
            },
        })
    }

    /// Creates a payload from a buffered body and the memory held for it.
    pub(crate) fn with_bytes(bytes: Bytes, held: HeldMemory) -> Self {
        Self {
            content: Content::Buffered(bytes),
            held,
        }
    }

    /// Returns the body and the memory held for it if it is fully buffered.
    pub(crate) fn into_buffered(self) -> Option<(Bytes, HeldMemory)> {
        match self.content {
            Content::Buffered(bytes) => Some((bytes, self.held)),
            Content::Streamed(_) => None,
        }
    }

    /// Returns the body to send, or `None` if a streamed body was already sent.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match &mut self.content {
            Content::Buffered(bytes) => Some(full_body(bytes.clone())),
            Content::Streamed(body) => body.take(),
        }
    }

    /// Returns whether the body can be sent.
    pub(crate) fn can_send(&self) -> bool {
        match &self.content {
            Content::Buffered(_) => true,
            Content::Streamed(body) => body.is_some(),
        }
    }
}

fn body_refusal(error: &BodyError) -> Refusal {
    let reason = match error {
        BodyError::Broken { .. } => RefusalReason::BadRequest,
        BodyError::Stalled => RefusalReason::SlowBody,
        BodyError::TooLarge => RefusalReason::BodyTooLarge,
        BodyError::NoRoom => RefusalReason::NoMemory,
    };
    let refusal = Refusal::not_run(reason, error.to_string());
    match error {
        BodyError::NoRoom => refusal.with_retry_after_ms(RETRY_AFTER_MS),
        _ => refusal,
    }
}
