//! Bodies of requests and answers.

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

/// Break of a body before its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The source broke off.
    Broken {
        /// What was seen.
        reason: String,
    },
    /// Nothing came for too long.
    Stalled,
    /// More came than is allowed.
    TooLarge,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken { reason } => write!(formatter, "the body broke off: {reason}"),
            Self::Stalled => write!(formatter, "the body stalled"),
            Self::TooLarge => write!(formatter, "the body is too large"),
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

/// Body of any source; an error breaks the connection, so that a part is never taken as whole.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body without content.
#[must_use]
pub fn empty_body() -> Body {
    Empty::new().map_err(never).boxed_unsync()
}

/// Returns a body that is in memory as a whole.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

fn never(error: Infallible) -> BodyError {
    match error {}
}

/// A body as far as it was read.
#[derive(Debug)]
pub enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// More than was to be read: what was read and the rest, as one body.
    Exceeded(Body),
}

/// Reads a body into memory, but not more than about `limit_bytes` of it.
///
/// # Errors
///
/// Fails when the body breaks off before.
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
    let joined = Joined {
        first: Some(read.freeze()),
        rest: body,
    };
    Ok(BufferedBody::Exceeded(joined.boxed_unsync()))
}

/// Bytes that were read ahead, then the rest of their body.
#[derive(Debug)]
struct Joined {
    first: Option<Bytes>,
    rest: Body,
}

impl HttpBody for Joined {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}
