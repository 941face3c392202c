//! Comparison of what the endpoints ran with what callers were told.

use lynxwheel_standin::RunEntry;

/// Requests that an endpoint serves at once.
const SLOTS: u32 = 8;

/// What a caller was told about one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The whole answer to this very request.
    Answered,
    /// That it did not run.
    DidNotRun,
    /// Nothing, since the node was not there to take the request.
    NotReached,
    /// Nothing certain: no answer, a broken one, or that nobody knows; with what it got.
    Unknown(String),
    /// Another request's answer, or a part of one that was said to be whole.
    Wrong(String),
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Told {
    /// Request, which all of its attempts share.
    pub request: String,
    /// Attempt, from 0.
    pub attempt: usize,
    /// What the caller was told.
    pub verdict: Verdict,
}

impl Told {
    /// Returns the id that the attempt carries.
    pub fn id(&self) -> String {
        attempt_id(&self.request, self.attempt)
    }
}

/// Returns the id of an attempt.
pub fn attempt_id(request: &str, attempt: usize) -> String {
    format!("{request}/{attempt}")
}

/// Tells whether `id` is the id of an attempt of `request`.
pub fn is_attempt_of(id: &str, request: &str) -> bool {
    id.strip_prefix(request)
        .is_some_and(|attempt| attempt.starts_with('/'))
}

/// Returns every broken promise.
pub fn check(runs: &[RunEntry], told: &[Told]) -> Vec<String> {
    let mut broken = doubled(runs);
    for run in runs.iter().filter(|run| run.in_progress > SLOTS) {
        broken.push(format!("{} ran {} at once", run.vm, run.in_progress));
    }
    for told in told {
        let id = told.id();
        match &told.verdict {
            Verdict::Wrong(answer) => broken.push(format!("{id} got {answer}")),
            Verdict::DidNotRun | Verdict::NotReached
                if runs.iter().any(|run| run.request_id == id) =>
            {
                broken.push(format!("{id} was told not to have run, and ran"));
            }
            Verdict::Answered if !has_answer(runs, &told.request) => {
                broken.push(format!("{id} was answered without a run"));
            }
            _ => {}
        }
    }
    broken
}

/// A second attempt may get the first one's answer, so any attempt's run will do.
fn has_answer(runs: &[RunEntry], request: &str) -> bool {
    runs.iter()
        .any(|run| run.is_complete && is_attempt_of(&run.request_id, request))
}

/// Finds non-idempotent requests that ran more than once.
fn doubled(runs: &[RunEntry]) -> Vec<String> {
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
