//! Bodies of requests and answers.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    std::{convert::Infallible, error, fmt},
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
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken { reason } => write!(formatter, "the body broke off: {reason}"),
            Self::Stalled => write!(formatter, "the body stalled"),
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
