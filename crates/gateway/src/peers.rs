//! Asking the node that ran a key's request for its answer.

use {
    crate::{
        answers::{Answers, Attempt, Progress, StoredResponse, wait_ended},
        refusal::Refusal,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    lynxwheel_protocol::{RequestKey, decode_message},
    lynxwheel_transport::{Body, collect_body, error_response, message_response},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// Path of the peer listener under which [`crate::Gateway::handle_peer_answer`] is mounted.
pub const PEER_ANSWER_PATH: &str = "/peer/answer";

/// Bytes of a question at most.
const MAX_QUESTION_BYTES: usize = 1_024;

/// Longest time for which a peer may wait, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Question for the answer of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerAnswerRequest {
    /// Key.
    pub key: RequestKey,
    /// Run of the node that holds the key.
    pub incarnation: u64,
    /// How long to wait for a request under way, in milliseconds.
    pub wait_ms: u64,
}

/// What the holder knows of a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerAnswer {
    /// The answer.
    Answered(StoredResponse),
    /// It was answered with this status, and the answer is too large to keep.
    TooLarge(u16),
    /// It ended with this refusal.
    Refused(Refusal),
    /// It is still running.
    Running,
    /// Nothing is kept of it.
    NotKept,
    /// This run of the node never held it.
    OtherRun,
}

/// Answers a peer's question from the answers of the run `incarnation`.
pub(crate) async fn answer_peer(
    answers: &Answers,
    incarnation: u64,
    request: Request<Incoming>,
) -> Response<Body> {
    let bytes = match collect_body(request.into_body(), MAX_QUESTION_BYTES).await {
        Ok(bytes) => bytes,
        Err(answer) => return answer,
    };
    let Ok(question) = decode_message::<PeerAnswerRequest>(&bytes) else {
        return error_response(StatusCode::BAD_REQUEST, "no question for an answer");
    };
    if question.incarnation != incarnation {
        return message_response(&PeerAnswer::OtherRun);
    }
    let Some(Attempt::Second { progress, .. }) = answers.find(question.key) else {
        return message_response(&PeerAnswer::NotKept);
    };
    let wait = Duration::from_millis(question.wait_ms.min(MAX_WAIT_MS));
    let answer = match wait_ended(progress, Instant::now() + wait).await {
        Some(Progress::Answered(kept)) => PeerAnswer::Answered(StoredResponse::clone(&kept)),
        Some(Progress::TooLarge(status)) => PeerAnswer::TooLarge(status),
        Some(Progress::Refused(refusal)) => PeerAnswer::Refused(refusal),
        Some(Progress::Running) => PeerAnswer::Running,
        None => PeerAnswer::NotKept,
    };
    message_response(&answer)
}
