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
    /// Id of the attempt.
    pub id: String,
    /// What the caller was told.
    pub verdict: Verdict,
}

/// Returns every broken promise.
pub fn check(runs: &[RunEntry], told: &[Told]) -> Vec<String> {
    let mut broken = doubled(runs);
    for run in runs.iter().filter(|run| run.in_progress > SLOTS) {
        broken.push(format!("{} ran {} at once", run.vm, run.in_progress));
    }
    for attempt in told {
        let mut ran = runs.iter().filter(|run| run.request_id == attempt.id);
        match &attempt.verdict {
            Verdict::Wrong(answer) => broken.push(format!("{} got {answer}", attempt.id)),
            Verdict::DidNotRun | Verdict::NotReached if ran.next().is_some() => {
                broken.push(format!("{} was told not to have run, and ran", attempt.id));
            }
            Verdict::Answered if !ran.any(|run| run.is_complete) => {
                broken.push(format!("{} was answered without a run", attempt.id));
            }
            _ => {}
        }
    }
    broken
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
