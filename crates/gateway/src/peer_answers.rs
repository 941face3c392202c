//! Messages by which a node asks the holder of a key for the response to its request.

use {
    crate::{
        attempts::{Attempt, Attempts, Progress, StoredResponse, wait_until_ended},
        refusal::Refusal,
    },
    http::{Request, Response, StatusCode},
    lynxwheel_protocol::{RequestKey, decode_message},
    lynxwheel_transport::{Body, RequestBody, collect_body, error_response, message_response},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// Path of the peer listener under which [`crate::Gateway::handle_peer_answer`] is mounted.
pub const PEER_ANSWER_PATH: &str = "/peer/answer";

/// Maximum size of an encoded [`PeerAnswerRequest`].
const MAX_REQUEST_BYTES: usize = 1_024;

/// Maximum time for which a peer may ask to wait, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Request for the response to the request with a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAnswerRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Incarnation of the node that holds the key.
    pub incarnation: u64,
    /// How long to wait for a running request, in milliseconds.
    pub wait_ms: u64,
}

/// What the holder of a key knows about its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerAnswer {
    /// The stored response.
    Answered(StoredResponse),
    /// The request was answered with this status code; the response is too large to store.
    TooLarge(u16),
    /// The request ended with this refusal.
    Refused(Refusal),
    /// The request is still running.
    Running,
    /// Nothing is stored for the key.
    NotKept,
    /// The node was restarted since it held the key.
    OtherRun,
}

/// Answers a peer's request from the attempts of this node's `incarnation`.
pub(crate) async fn answer_peer_request(
    attempts: &Attempts,
    incarnation: u64,
    request: Request<RequestBody>,
) -> Response<Body> {
    let bytes = match collect_body(request.into_body(), MAX_REQUEST_BYTES).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let Ok(query) = decode_message::<PeerAnswerRequest>(&bytes) else {
        return error_response(StatusCode::BAD_REQUEST, "no question for an answer");
    };
    if query.incarnation != incarnation {
        return message_response(&PeerAnswer::OtherRun);
    }
    let Some(Attempt::Duplicate { progress, .. }) = attempts.find(query.key) else {
        return message_response(&PeerAnswer::NotKept);
    };
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let answer = match wait_until_ended(progress, Instant::now() + wait).await {
        Some(Progress::Answered(stored)) => PeerAnswer::Answered(StoredResponse::clone(&stored)),
        Some(Progress::TooLarge(status)) => PeerAnswer::TooLarge(status),
        Some(Progress::Refused(refusal)) => PeerAnswer::Refused(refusal),
        Some(Progress::Running) => PeerAnswer::Running,
        None => PeerAnswer::NotKept,
    };
    message_response(&answer)
}
