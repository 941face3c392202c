//! Measures how long no task starts when the owner fails.

use {
    crate::{harness::Harness, run::SoakPlan},
    nix::sys::signal::Signal,
    std::{fs, io, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Duration of a node failure, in milliseconds; long enough for another node to take over.
const OUTAGE_MS: u64 = 3_000;

/// Time between two failures, in milliseconds; lets a larger node replace a small owner.
const RECOVERY_MS: u64 = 2_000;

/// How a node fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerFailure {
    /// The process is killed.
    Kill,
    /// The process is paused and its connections stay open.
    Pause,
}

/// Makes each node fail in turn, and returns the longest time without a task start.
///
/// Only the failure of the owner delays starts.
///
/// # Errors
///
/// Returns an error if a stand-in or a node cannot be started.
pub async fn measure_takeover(plan: &SoakPlan, failure: OwnerFailure) -> io::Result<Duration> {
    let harness = Harness::start(plan).await?;
    let nodes = u64::try_from(plan.nodes).unwrap_or(u64::MAX);
    let mut tasks = JoinSet::new();
    harness.start_callers(
        plan.seed,
        (OUTAGE_MS + RECOVERY_MS) * nodes + RECOVERY_MS,
        &mut tasks,
    );
    let mut longest = Duration::ZERO;
    for node in &harness.cluster.nodes {
        sleep(Duration::from_millis(RECOVERY_MS)).await;
        // Resets the gap to the time of the failure.
        let _ = harness.checker.take_longest_gap();
        node.signal(match failure {
            OwnerFailure::Kill => Signal::SIGKILL,
            OwnerFailure::Pause => Signal::SIGSTOP,
        });
        sleep(Duration::from_millis(OUTAGE_MS)).await;
        longest = longest.max(harness.checker.take_longest_gap());
        match failure {
            OwnerFailure::Kill => node.start()?,
            OwnerFailure::Pause => node.signal(Signal::SIGCONT),
        }
    }
    drop(harness);
    fs::remove_dir_all(&plan.directory)?;
    Ok(longest)
}
