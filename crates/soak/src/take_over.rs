//! How long no task starts when the owner is lost.

use {
    crate::{
        callers::Callers,
        ledger::Ledger,
        run::{CALLERS, SETTLE_MS, SoakPlan},
        world::{CPU_MILLIS, MAX_DOWN, World, queues},
    },
    nix::sys::signal::Signal,
    std::{fs, io, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
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
pub async fn measure_take_over(plan: &SoakPlan, loss: OwnerLoss) -> io::Result<Duration> {
    fs::create_dir_all(&plan.folder)?;
    let ledger = Arc::new(Ledger::new(CPU_MILLIS, MAX_DOWN));
    let world = World::start(&plan.program, &plan.folder, plan.nodes, &ledger).await?;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let callers = Callers::new(&world.caller_addresses, &queues(), Arc::clone(&ledger));
    let nodes = u64::try_from(plan.nodes).unwrap_or(u64::MAX);
    let until = Instant::now() + Duration::from_millis((LOST_MS + REST_MS) * nodes + REST_MS);
    for caller in 0..CALLERS {
        let seed = plan.seed.wrapping_mul(CALLERS).wrapping_add(caller);
        tokio::spawn(callers.clone().work(seed, until));
    }
    let mut longest = Duration::ZERO;
    for node in &world.nodes {
        sleep(Duration::from_millis(REST_MS)).await;
        // What came before the loss does not count.
        let _ = ledger.take_longest_gap();
        node.signal(match loss {
            OwnerLoss::Kill => Signal::SIGKILL,
            OwnerLoss::Pause => Signal::SIGSTOP,
        });
        sleep(Duration::from_millis(LOST_MS)).await;
        longest = longest.max(ledger.take_longest_gap());
        match loss {
            OwnerLoss::Kill => node.start()?,
            OwnerLoss::Pause => node.signal(Signal::SIGCONT),
        }
    }
    drop(world);
    fs::remove_dir_all(&plan.folder)?;
    Ok(longest)
}
