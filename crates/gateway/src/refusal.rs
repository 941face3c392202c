//! Refusals: responses that the gateway sends itself.

use {
    http::{HeaderValue, Response, StatusCode, header},
    lynxwheel_transport::{Body, json_response},
    serde::{Deserialize, Serialize},
};

/// Response header that is set only if the request is known not to have run.
pub const DID_NOT_RUN_HEADER: &str = "lynxwheel-did-not-run";

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The body did not arrive in time.
    SlowBody,
    /// The body is too large.
    BodyTooLarge,
    /// The team exceeds its request rate.
    RateExceeded,
    /// The path names an unknown service.
    UnknownService,
    /// The service has no available endpoint.
    NoEndpoint,
    /// Every slot is taken.
    NoFreeSlot,
    /// The log, which the request needs, accepts no records.
    LogUnavailable,
    /// The key was used for another request.
    KeyReused,
    /// The key's request is still running.
    KeyPending,
    /// The key's request ran; its response is not stored.
    KeyEnded,
    /// The key is older than the retention of keys.
    KeyTooOld,
    /// The maximum number of keys is stored.
    KeysFull,
    /// The request may have run; it is not run again.
    OutcomeUnknown,
    /// The endpoint did not respond in time.
    Timeout,
    /// The node has no memory left for the body.
    NoMemory,
}

impl RefusalReason {
    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::NoEndpoint
            | Self::NoFreeSlot
            | Self::LogUnavailable
            | Self::KeysFull
            | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyPending | Self::KeyEnded | Self::KeyTooOld => StatusCode::CONFLICT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl RefusalReason {
    /// Returns whether the connection must be closed, as the next request may start anywhere in it.
    fn must_close_connection(self) -> bool {
        matches!(
            self,
            Self::BadRequest | Self::SlowBody | Self::BodyTooLarge | Self::NoMemory
        )
    }
}

/// A refusal as sent to the caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request is known not to have run.
    pub did_not_run: bool,
    /// Retry delay, in milliseconds; 0 if a retry is of no use.
    pub retry_after_ms: u64,
    /// Human-readable explanation.
    pub detail: String,
}

impl Refusal {
    /// Creates the refusal of a request that has not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            did_not_run: true,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            did_not_run: false,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Clears `did_not_run` if an earlier attempt of the request may have run.
    ///
    /// The last attempt may be refused before it starts although an earlier one ran and its
    /// connection broke.
    #[must_use]
    pub fn after_attempts(mut self, may_have_run: bool) -> Self {
        self.did_not_run &= !may_have_run;
        self
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn to_response(&self) -> Response<Body> {
        let mut response = json_response(self.reason.status(), self);
        let headers = response.headers_mut();
        if self.reason.must_close_connection() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if self.did_not_run {
            headers.insert(DID_NOT_RUN_HEADER, HeaderValue::from_static("true"));
        }
        if self.retry_after_ms > 0 {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(self.retry_after_ms.div_ceil(1_000)),
            );
        }
        response
    }
}
