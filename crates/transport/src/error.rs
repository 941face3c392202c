//! Errors of HTTP requests, with the step that failed and the peer.

use std::{error, fmt, net::SocketAddr};

/// Step of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Waiting for a connection of the pool.
    Acquire,
    /// Opening a connection.
    Connect,
    /// Checking whether the request may still be sent. Says nothing about the peer.
    Check,
    /// Sending the request and waiting for the head of the response.
    Exchange,
    /// Reading the body of the response.
    ReadBody,
    /// Encoding the request or decoding the response.
    Decode,
}

impl Step {
    /// Returns the name of the step in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Acquire => "acquire",
            Self::Connect => "connect",
            Self::Check => "check",
            Self::Exchange => "exchange",
            Self::ReadBody => "read_body",
            Self::Decode => "decode",
        }
    }
}

/// Error of a request to a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransportError {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Description of the error.
    pub reason: String,
    /// Whether the peer may have processed the request; `false` only when it certainly has not.
    pub may_have_run: bool,
    /// Whether the connection was refused: the VM is up and nothing listens on the port.
    pub is_refused: bool,
    /// Whether the peer closed the connection instead of responding, rather than that it was reset
    /// or did not respond in time.
    pub is_closed: bool,
}

impl TransportError {
    /// Creates an error for a request that was not sent.
    #[must_use]
    pub fn unsent(step: Step, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            may_have_run: false,
            is_refused: false,
            is_closed: false,
        }
    }

    /// Creates an error for a request that was sent and may have been processed.
    #[must_use]
    pub fn sent(step: Step, peer: SocketAddr, reason: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            reason: reason.into(),
            may_have_run: true,
            is_refused: false,
            is_closed: false,
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
