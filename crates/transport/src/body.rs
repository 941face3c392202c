//! Bodies of requests and responses.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        convert::Infallible,
        error, fmt,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Error that ends a body before it is complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection failed.
    Broken {
        /// Error of the HTTP library.
        reason: String,
    },
    /// No data arrived within the timeout.
    Stalled,
    /// The body exceeds its size limit.
    TooLarge,
    /// The memory for requests is used up.
    NoRoom,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken { reason } => write!(formatter, "the body broke off: {reason}"),
            Self::Stalled => write!(formatter, "the body stalled"),
            Self::TooLarge => write!(formatter, "the body is too large"),
            Self::NoRoom => write!(formatter, "the memory for requests is used up"),
        }
    }
}

impl error::Error for BodyError {}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        Self::Broken {
            reason: error.to_string(),
        }
    }
}

/// Boxed body; an error closes the connection, so that a truncated body never looks complete.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns an empty body.
#[must_use]
pub fn empty_body() -> Body {
    Empty::new().map_err(match_infallible).boxed_unsync()
}

/// Returns a body that holds `bytes`.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(match_infallible)
        .boxed_unsync()
}

fn match_infallible(error: Infallible) -> BodyError {
    match error {}
}

/// Reads a body of at most `limit_bytes` into one buffer.
///
/// Copies the data, because the frames of the HTTP library refer to its read buffer, with the
/// framing around them, and take more memory than the data of small chunks.
///
/// # Errors
///
/// Fails when the body is incomplete or exceeds the limit.
pub(crate) async fn read_body<B>(mut body: B, limit_bytes: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    BodyError: From<B::Error>,
{
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            if read.len() + data.len() > limit_bytes {
                return Err(BodyError::TooLarge);
            }
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Result of reading a body into memory up to a limit.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// A body beyond the limit: the bytes already read, followed by the rest.
    Exceeded(Body),
}

/// Reads a body into memory until it ends or more than `limit_bytes` were read.
///
/// # Errors
///
/// Fails when the body ends with an error before that.
pub async fn buffer_body(mut body: Body, limit_bytes: usize) -> Result<BufferedBody, BodyError> {
    let mut read = BytesMut::new();
    while read.len() <= limit_bytes {
        let Some(frame) = body.frame().await else {
            return Ok(BufferedBody::Complete(read.freeze()));
        };
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    let prefixed = PrefixedBody::new(read.freeze(), body);
    Ok(BufferedBody::Exceeded(prefixed.boxed_unsync()))
}

/// Bytes already read from a body, followed by the rest of it.
#[derive(Debug)]
pub(crate) struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Body,
}

impl PrefixedBody {
    pub(crate) fn new(prefix: Bytes, rest: Body) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
        }
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix_bytes);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix_bytes);
        }
        hint
    }
}
