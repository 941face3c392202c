//! Client of the platform's log service.

use {
    lynxwheel_protocol::{
        AppendRequest, AppendResponse, ReadResponse, decode_message, encode_message,
    },
    lynxwheel_transport::{Client, ClientRequest, TransportError},
    std::{error, fmt, net::SocketAddr, time::Duration},
};

/// Time that an append may take, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2_000;

/// Time by which a long poll may exceed its wait, in milliseconds.
const READ_SLACK_MS: u64 = 5_000;

/// Statuses by which the service says that it did nothing.
const NOT_DONE_STATUSES: [u16; 3] = [400, 429, 503];

/// Connections to the log service.
const CONNECTIONS: usize = 4;

/// Failure of a call to the log service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogError {
    /// The exchange failed.
    Transport(TransportError),
    /// The service refused.
    Refused {
        /// Address of the service.
        peer: SocketAddr,
        /// Status.
        status: u16,
        /// What it said.
        reason: String,
    },
}

impl LogError {
    /// Tells whether the call may have taken effect.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Transport(error) => error.may_have_run,
            Self::Refused { status, .. } => !NOT_DONE_STATUSES.contains(status),
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

/// Client of one stream.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    path: String,
}

impl LogClient {
    /// Creates a client of `stream` at the platform's address.
    #[must_use]
    pub fn new(platform: SocketAddr, stream: &str) -> Self {
        Self {
            client: Client::new(platform, CONNECTIONS),
            path: format!("/streams/{stream}"),
        }
    }

    /// Appends entries, all or none, and returns the first offset.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses; see [`LogError::may_have_run`].
    pub async fn append(&self, entries: Vec<Vec<u8>>) -> Result<u64, LogError> {
        let peer = self.client.peer();
        let bytes =
            encode_message(&AppendRequest { entries }).map_err(|error| LogError::Refused {
                peer,
                status: 400,
                reason: error.to_string(),
            })?;
        let request = ClientRequest::new(http::Method::POST, &self.path).with_body(bytes);
        let answer: AppendResponse = self.call(&request, APPEND_TIMEOUT_MS).await?;
        Ok(answer.first_offset)
    }

    /// Reads up to `max` entries from an offset, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached or refuses.
    pub async fn read(
        &self,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> Result<ReadResponse, LogError> {
        let path = format!("{}?from={from}&max={max}&wait_ms={wait_ms}", self.path);
        let request = ClientRequest::new(http::Method::GET, path);
        self.call(&request, wait_ms + READ_SLACK_MS).await
    }

    async fn call<A: serde::de::DeserializeOwned>(
        &self,
        request: &ClientRequest,
        limit_ms: u64,
    ) -> Result<A, LogError> {
        let peer = self.client.peer();
        let answer = self
            .client
            .call(request, Duration::from_millis(limit_ms))
            .await?;
        let status = answer.status.as_u16();
        if status != 200 {
            let reason = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(LogError::Refused {
                peer,
                status,
                reason,
            });
        }
        decode_message(&answer.body).map_err(|error| LogError::Refused {
            peer,
            status,
            reason: error.to_string(),
        })
    }
}
