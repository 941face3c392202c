//! Failures of an exchange, with the step and the peer at which they arose.

use std::{error, fmt, net::SocketAddr};

/// Step of an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Waiting for a free connection.
    Acquire,
    /// Opening a connection.
    Connect,
    /// Sending the request and waiting for the head of the answer.
    Exchange,
    /// Reading the body of the answer.
    ReadBody,
    /// Encoding or decoding.
    Decode,
}

impl Step {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Acquire => "acquire",
            Self::Connect => "connect",
            Self::Exchange => "exchange",
            Self::ReadBody => "read_body",
            Self::Decode => "decode",
        }
    }
}

/// Failure of an exchange with a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransportError {
    /// Step that failed.
    pub step: Step,
    /// Peer.
    pub peer: SocketAddr,
    /// What went wrong.
    pub reason: String,
    /// Whether the peer may have acted on the request; `false` only when that is proven.
    pub may_have_run: bool,
    /// Whether the peer's VM answered that nothing listens at the address.
    pub is_refused: bool,
}

impl TransportError {
    /// Describes a failure before anything was sent.
    #[must_use]
    pub fn unsent(step: Step, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            may_have_run: false,
            is_refused: false,
        }
    }

    /// Describes a failure after which the peer may have acted.
    #[must_use]
    pub fn sent(step: Step, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            may_have_run: true,
            is_refused: false,
        }
    }
}

impl fmt::Display for TransportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} with {}: {}",
            self.step.as_str(),
            self.peer,
            self.reason
        )
    }
}

impl error::Error for TransportError {}
