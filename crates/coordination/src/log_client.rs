//! Client for the platform's log service.

use {
    lynxwheel_protocol::{
        AppendRequest, AppendResponse, ReadResponse, decode_message, encode_message,
    },
    lynxwheel_transport::{Client, ClientRequest, TransportError},
    std::{error, fmt, net::SocketAddr, time::Duration},
};

/// Timeout of an append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Time by which a read's timeout exceeds its long-poll wait, in milliseconds.
const READ_TIMEOUT_MARGIN_MS: u64 = 5_000;

/// Status codes that guarantee that the request was not applied.
const NOT_APPLIED_STATUSES: [u16; 3] = [400, 429, 503];

/// Maximum number of connections to the log service.
const MAX_CONNECTIONS: usize = 4;

/// Error of a call to the log service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogError {
    /// The request failed in transport.
    Transport(TransportError),
    /// The service rejected the request, or its response was invalid.
    Refused {
        /// Address of the service.
        peer: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Reason given by the service.
        reason: String,
    },
}

impl LogError {
    /// Returns whether the request may have been applied.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Transport(error) => error.may_have_run,
            Self::Refused { status, .. } => !NOT_APPLIED_STATUSES.contains(status),
        }
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(error) => error.fmt(formatter),
            Self::Refused {
                peer,
                status,
                reason,
            } => {
                write!(formatter, "log service {peer} answered {status}: {reason}")
            }
        }
    }
}

impl error::Error for LogError {}

impl From<TransportError> for LogError {
    fn from(error: TransportError) -> Self {
        Self::Transport(error)
    }
}

/// Client for one stream of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    path: String,
}

impl LogClient {
    /// Creates a client for `stream` at the platform's address.
    #[must_use]
    pub fn new(platform: SocketAddr, stream: &str) -> Self {
        Self {
            client: Client::new(platform, MAX_CONNECTIONS),
            path: format!("/streams/{stream}"),
        }
    }

    /// Appends entries atomically and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Returns an error when the service is unreachable or rejects the request; see
    /// [`LogError::may_have_run`].
    pub async fn append(&self, entries: Vec<Vec<u8>>) -> Result<u64, LogError> {
        let peer = self.client.peer();
        let bytes =
            encode_message(&AppendRequest { entries }).map_err(|error| LogError::Refused {
                peer,
                status: 400,
                reason: error.to_string(),
            })?;
        let request = ClientRequest::new(http::Method::POST, &self.path).with_body(bytes);
        let response: AppendResponse = self.call(&request, APPEND_TIMEOUT_MS).await?;
        Ok(response.first_offset)
    }

    /// Reads up to `max_entries` entries from an offset, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error when the service is unreachable or rejects the request.
    pub async fn read(
        &self,
        from: u64,
        max_entries: usize,
        wait_ms: u64,
    ) -> Result<ReadResponse, LogError> {
        let path = format!(
            "{}?from={from}&max={max_entries}&wait_ms={wait_ms}",
            self.path
        );
        let request = ClientRequest::new(http::Method::GET, path);
        self.call(&request, wait_ms + READ_TIMEOUT_MARGIN_MS).await
    }

    async fn call<A: serde::de::DeserializeOwned>(
        &self,
        request: &ClientRequest,
        timeout_ms: u64,
    ) -> Result<A, LogError> {
        let peer = self.client.peer();
        let response = self
            .client
            .call(request, Duration::from_millis(timeout_ms))
            .await?;
        let status = response.status.as_u16();
        if status != 200 {
            let reason = String::from_utf8_lossy(&response.body).into_owned();
            return Err(LogError::Refused {
                peer,
                status,
                reason,
            });
        }
        decode_message(&response.body).map_err(|error| LogError::Refused {
            peer,
            status,
            reason: error.to_string(),
        })
    }
}
