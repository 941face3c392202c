//! Checks the responses to callers against the requests that the endpoints ran.

use lynxwheel_standin::RunEntry;

/// Concurrent requests per endpoint.
const SLOTS: u32 = 8;

/// Outcome of one attempt, as the caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response to this request.
    Answered,
    /// A response that says that the request did not run.
    DidNotRun,
    /// No connection to the node, so the request was not sent.
    NotReached,
    /// No response, an incomplete one, or one with an unknown outcome; with the details.
    Unknown(String),
    /// The response to another request, or an incomplete one that claims to be complete.
    Wrong(String),
}

/// An attempt of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Name of the request, shared by all of its attempts.
    pub request: String,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// Outcome.
    pub outcome: AttemptOutcome,
}

impl AttemptRecord {
    /// Returns the request id of the attempt.
    pub fn id(&self) -> String {
        attempt_id(&self.request, self.attempt)
    }
}

/// Returns the request id of an attempt.
pub fn attempt_id(request: &str, attempt: usize) -> String {
    format!("{request}/{attempt}")
}

/// Returns whether `id` belongs to an attempt of `request`.
pub fn is_attempt_of(id: &str, request: &str) -> bool {
    id.strip_prefix(request)
        .is_some_and(|attempt| attempt.starts_with('/'))
}

/// Returns all violated guarantees.
pub fn check(runs: &[RunEntry], records: &[AttemptRecord]) -> Vec<String> {
    let mut violations = duplicate_runs(runs);
    for run in runs.iter().filter(|run| run.in_progress > SLOTS) {
        violations.push(format!("{} ran {} at once", run.vm, run.in_progress));
    }
    for record in records {
        let id = record.id();
        match &record.outcome {
            AttemptOutcome::Wrong(response) => violations.push(format!("{id} got {response}")),
            AttemptOutcome::DidNotRun | AttemptOutcome::NotReached
                if runs.iter().any(|run| run.request_id == id) =>
            {
                violations.push(format!("{id} ran although the response says otherwise"));
            }
            AttemptOutcome::Answered if !has_complete_run(runs, &record.request) => {
                violations.push(format!("{id} was answered without a run"));
            }
            _ => {}
        }
    }
    violations
}

/// Returns whether any attempt of a request ran to its end; a retry may get the response of the
/// first attempt.
fn has_complete_run(runs: &[RunEntry], request: &str) -> bool {
    runs.iter()
        .any(|run| run.is_complete && is_attempt_of(&run.request_id, request))
}

/// Returns the non-idempotent requests that ran more than once.
fn duplicate_runs(runs: &[RunEntry]) -> Vec<String> {
    let mut names: Vec<&str> = runs
        .iter()
        .filter(|run| run.method == "POST")
        .map(|run| match run.key.as_str() {
            "" => run.request_id.as_str(),
            key => key,
        })
        .collect();
    names.sort_unstable();
    names
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| format!("{} ran twice", pair[0]))
        .collect()
}
