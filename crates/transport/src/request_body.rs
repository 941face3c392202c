//! Bodies of requests, with a timeout and bounded memory.

use {
    crate::{
        body::{Body, BodyError, BufferedBody, PrefixedBody},
        connection_table::Phase,
        connections::{NoRoom, Reservation, Slot},
        server::error_response,
    },
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint},
    std::{
        future::{Future, pending},
        ops::Deref,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
};

/// First size of the buffer of a body, in bytes; it doubles as data arrives.
const MIN_BUFFER_BYTES: usize = 4 * 1_024;

/// Value of the `Retry-After` header when the memory for requests is used up, in whole seconds.
const RETRY_AFTER_S: u64 = 1;

/// Body of a request.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    guard: Option<Guard>,
}

/// Limits of a body that a server has received.
#[derive(Debug)]
struct Guard {
    slot: Slot,
    stall_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl From<Incoming> for RequestBody {
    /// Creates a body without a timeout and without bounded memory.
    fn from(incoming: Incoming) -> Self {
        Self {
            incoming,
            guard: None,
        }
    }
}

impl RequestBody {
    /// Creates a body that fails when no data arrives within `stall_timeout`.
    pub(crate) fn new(incoming: Incoming, slot: Slot, stall_timeout: Duration) -> Self {
        Self {
            incoming,
            guard: Some(Guard {
                slot,
                stall_timeout,
                timer: None,
            }),
        }
    }

    /// Reads the body into memory until it ends or more than `limit_bytes` were read.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete, stalls, or no memory is left for it.
    pub async fn buffer(
        mut self,
        limit_bytes: usize,
    ) -> Result<(BufferedBody, HeldMemory), BodyError> {
        let mut buffer = Buffer::new(&self);
        let is_complete = self.read_into(Some(&mut buffer), limit_bytes).await;
        let is_complete = is_complete.inspect_err(|error| self.record_refused(error))?;
        let Buffer { bytes, held } = buffer;
        let body = if is_complete {
            BufferedBody::Complete(bytes.into())
        } else {
            let rest = self.boxed_unsync();
            BufferedBody::Exceeded(PrefixedBody::new(bytes.into(), rest).boxed_unsync())
        };
        Ok((body, held))
    }

    /// Reads the complete body of at most `limit_bytes`.
    async fn collect_up_to(mut self, limit_bytes: usize) -> Result<CollectedBody, BodyError> {
        let read = async {
            if self.incoming.size_hint().lower() > limit_bytes as u64 {
                // If the connection were closed while the caller still sends, the refusal would be
                // lost.
                self.read_into(None, limit_bytes).await?;
                return Err(BodyError::TooLarge);
            }
            let mut buffer = Buffer::new(&self);
            if self.read_into(Some(&mut buffer), limit_bytes).await? {
                Ok(buffer)
            } else {
                Err(BodyError::TooLarge)
            }
        };
        let Buffer { bytes, held } = read.await.inspect_err(|error| self.record_refused(error))?;
        Ok(CollectedBody {
            bytes: bytes.into(),
            held,
        })
    }

    /// Reads until the body ends, and returns `false` if it exceeds `limit_bytes`. Without a buffer,
    /// the data is dropped.
    ///
    /// Copies the data, because the frames of the HTTP library refer to its read buffer, with the
    /// framing around them, and take more memory than the data of small chunks.
    async fn read_into(
        &mut self,
        buffer: Option<&mut Buffer>,
        limit_bytes: usize,
    ) -> Result<bool, BodyError> {
        let slot = self.guard.as_ref().map(|guard| guard.slot.clone());
        let close_requested = async {
            match &slot {
                Some(slot) => slot.close_requested().await,
                None => pending().await,
            }
        };
        if let Some(slot) = &slot {
            slot.set_phase(Phase::Reading)?;
        }
        let is_complete = tokio::select! {
            biased;
            () = close_requested => return Err(BodyError::NoRoom),
            is_complete = self.read_frames(buffer, limit_bytes) => is_complete?,
        };
        if let Some(slot) = &slot {
            slot.set_phase(Phase::Handling)?;
        }
        Ok(is_complete)
    }

    async fn read_frames(
        &mut self,
        mut buffer: Option<&mut Buffer>,
        limit_bytes: usize,
    ) -> Result<bool, BodyError> {
        let declared_bytes = self.incoming.size_hint().exact();
        let declared_bytes = declared_bytes.and_then(|bytes| usize::try_from(bytes).ok());
        let mut read_bytes = 0;
        while read_bytes <= limit_bytes {
            let Some(frame) = self.frame().await else {
                return Ok(true);
            };
            if let Ok(data) = frame?.into_data() {
                read_bytes += data.len();
                if let Some(buffer) = &mut buffer {
                    buffer.append(&data, declared_bytes).await?;
                }
            }
        }
        Ok(false)
    }

    fn record_refused(&self, error: &BodyError) {
        let reason = match error {
            BodyError::Broken { .. } => return,
            BodyError::Stalled => "stalled",
            BodyError::TooLarge => "too_large",
            BodyError::NoRoom => "no_room",
        };
        if let Some(guard) = &self.guard {
            guard.slot.connections().record_refused_body(reason);
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Self { incoming, guard } = &mut *self;
        let polled = Pin::new(incoming).poll_frame(context);
        let Some(guard) = guard else {
            return polled.map_err(BodyError::from);
        };
        let stall_timeout = guard.stall_timeout;
        if polled.is_ready() {
            guard.timer = None;
            return polled.map_err(BodyError::from);
        }
        let timer = guard
            .timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::Stalled))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Memory held for a request until it is dropped.
#[derive(Debug, Default)]
pub struct HeldMemory {
    reservation: Option<Reservation>,
}

impl HeldMemory {
    /// Extends the memory to `bytes` if it is less, for what a body is decoded to.
    ///
    /// # Errors
    ///
    /// Returns the response to send if no memory is left. The request must not run then.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Response<Body>> {
        let grown = self.try_grow(bytes).await;
        grown.map_err(|error| body_error_response(&error))
    }

    async fn try_grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        if let Some(reservation) = &mut self.reservation {
            reservation.grow(bytes).await?;
        }
        Ok(())
    }
}

/// Complete body in memory.
#[derive(Debug)]
pub struct CollectedBody {
    bytes: Bytes,
    held: HeldMemory,
}

impl CollectedBody {
    /// Returns the memory held for the body.
    #[must_use]
    pub fn into_held(self) -> HeldMemory {
        self.held
    }
}

impl Deref for CollectedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Buffer of a body, whose memory is reserved before it is allocated.
struct Buffer {
    bytes: Vec<u8>,
    held: HeldMemory,
}

impl Buffer {
    fn new(body: &RequestBody) -> Self {
        let guard = body.guard.as_ref();
        Self {
            bytes: Vec::new(),
            held: HeldMemory {
                reservation: guard.map(|guard| guard.slot.empty_reservation()),
            },
        }
    }

    async fn append(
        &mut self,
        data: &[u8],
        declared_bytes: Option<usize>,
    ) -> Result<(), BodyError> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            let doubled_bytes = (self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES);
            let capacity_bytes = doubled_bytes
                .min(declared_bytes.unwrap_or(usize::MAX))
                .max(needed_bytes);
            self.held.try_grow(capacity_bytes).await?;
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns the response to send when the body is too large, incomplete or late, or when no memory
/// is left for it. The request must not run then.
pub async fn collect_body(
    body: RequestBody,
    limit_bytes: usize,
) -> Result<CollectedBody, Response<Body>> {
    let collected = body.collect_up_to(limit_bytes).await;
    collected.map_err(|error| body_error_response(&error))
}

/// Returns the response to a request whose body could not be read. The connection is closed, as the
/// rest of the body may follow.
fn body_error_response(error: &BodyError) -> Response<Body> {
    let status = match error {
        BodyError::Broken { .. } => StatusCode::BAD_REQUEST,
        BodyError::Stalled => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::NoRoom => return no_room_response(),
    };
    let mut response = error_response(status, &error.to_string());
    close_after(&mut response);
    response
}

/// Returns the response to a request that is refused because no memory is left for it.
pub(crate) fn no_room_response() -> Response<Body> {
    let reason = format!("{}: the request was not run", BodyError::NoRoom);
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, &reason);
    let retry_after = HeaderValue::from(RETRY_AFTER_S);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, retry_after);
    close_after(&mut response);
    response
}

fn close_after(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}
