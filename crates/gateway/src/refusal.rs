//! Answers that the system gives by itself.

use {
    http::{HeaderValue, Response, StatusCode, header},
    lynxwheel_transport::{Body, json_response},
    serde::{Deserialize, Serialize},
};

/// Answer header that is set only when the request is proven not to have run.
pub const DID_NOT_RUN_HEADER: &str = "lynxwheel-did-not-run";

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The body did not come in time.
    SlowBody,
    /// The body is too large.
    BodyTooLarge,
    /// The team sent more than its rate.
    RateExceeded,
    /// The path names no service.
    UnknownService,
    /// The service has no available endpoint.
    NoEndpoint,
    /// Every slot is taken.
    NoFreeSlot,
    /// The log takes no records, which the request needs.
    LogUnavailable,
    /// The key was used for another request.
    KeyReused,
    /// The key's request is still running.
    KeyPending,
    /// The key's request ran; its answer is not kept here.
    KeyEnded,
    /// The key is older than keys are kept.
    KeyTooOld,
    /// No more keys can be kept now.
    KeysFull,
    /// The request may have run; it is not run again.
    OutcomeUnknown,
    /// The endpoint did not answer in time.
    Timeout,
}

impl RefusalReason {
    /// Returns the status that goes with it.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::NoEndpoint | Self::NoFreeSlot | Self::LogUnavailable | Self::KeysFull => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyPending | Self::KeyEnded | Self::KeyTooOld => StatusCode::CONFLICT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl RefusalReason {
    /// Tells whether what follows on the connection can no longer be trusted to be a request.
    fn spoils_connection(self) -> bool {
        matches!(self, Self::BadRequest | Self::SlowBody | Self::BodyTooLarge)
    }
}

/// A refusal as the caller gets it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Whether the request is proven not to have run.
    pub did_not_run: bool,
    /// When to come back, in milliseconds; 0 means that it is of no use.
    pub retry_after_ms: u64,
    /// What people should know.
    pub detail: String,
}

impl Refusal {
    /// Refuses a request that has not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            did_not_run: true,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Gives up on a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            did_not_run: false,
            retry_after_ms: 0,
            detail: detail.into(),
        }
    }

    /// Takes "did not run" back when an earlier attempt of the request may have run.
    ///
    /// The last attempt may be refused before it starts while an earlier one, whose connection
    /// broke, did run; its caller would be told that nothing had happened.
    #[must_use]
    pub fn after_attempts(mut self, may_have_run: bool) -> Self {
        self.did_not_run &= !may_have_run;
        self
    }

    /// Tells when to come back.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Builds the answer.
    #[must_use]
    pub fn to_response(&self) -> Response<Body> {
        let mut response = json_response(self.reason.status(), self);
        let headers = response.headers_mut();
        if self.reason.spoils_connection() {
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
