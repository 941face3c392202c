//! How long no task starts when the owner is lost.

use {
    crate::{run::SoakPlan, scene::Scene},
    nix::sys::signal::Signal,
    std::{fs, io, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Time for which a node is lost, in milliseconds: beyond any silence that calls for a successor.
const LOST_MS: u64 = 3_000;

/// Time between two losses, in milliseconds: a larger node asks a small owner to yield meanwhile.
const REST_MS: u64 = 2_000;

/// How a node is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerLoss {
    /// Its process ends at once.
    Kill,
    /// It stands still, and its connections with it.
    Pause,
}

/// Loses each node in turn, and returns the longest time without a start: that of the owner.
///
/// # Errors
///
/// Fails when stand-ins or nodes cannot be started.
pub async fn measure_takeover(plan: &SoakPlan, loss: OwnerLoss) -> io::Result<Duration> {
    let scene = Scene::start(plan).await?;
    let nodes = u64::try_from(plan.nodes).unwrap_or(u64::MAX);
    let mut tasks = JoinSet::new();
    scene.call(plan.seed, (LOST_MS + REST_MS) * nodes + REST_MS, &mut tasks);
    let mut longest = Duration::ZERO;
    for node in &scene.world.nodes {
        sleep(Duration::from_millis(REST_MS)).await;
        // What came before the loss does not count.
        let _ = scene.checker.take_longest_gap();
        node.signal(match loss {
            OwnerLoss::Kill => Signal::SIGKILL,
            OwnerLoss::Pause => Signal::SIGSTOP,
        });
        sleep(Duration::from_millis(LOST_MS)).await;
        longest = longest.max(scene.checker.take_longest_gap());
        match loss {
            OwnerLoss::Kill => node.start()?,
            OwnerLoss::Pause => node.signal(Signal::SIGCONT),
        }
    }
    drop(scene);
    fs::remove_dir_all(&plan.folder)?;
    Ok(longest)
}
