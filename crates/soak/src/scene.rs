//! What a run begins with: stand-ins, nodes with an owner, and callers.

use {
    crate::{
        callers::Callers,
        checker::Checker,
        run::SoakPlan,
        world::{CPU_MILLIS, MAX_DOWN, World, queues},
    },
    std::{fs, io, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Callers at work at once.
const CALLERS: u64 = 6;

/// Time for an owner to take the fleet up before the traffic begins, and for nodes that were just
/// started before they are told to stop, in milliseconds.
pub const SETTLE_MS: u64 = 1_500;

/// Everything of one run.
pub struct Scene {
    pub checker: Arc<Checker>,
    pub world: Arc<World>,
    pub callers: Callers,
}

impl Scene {
    /// Starts everything but the traffic.
    pub async fn start(plan: &SoakPlan) -> io::Result<Self> {
        fs::create_dir_all(&plan.folder)?;
        let checker = Arc::new(Checker::new(CPU_MILLIS, MAX_DOWN));
        let world = World::start(plan, &checker).await?;
        sleep(Duration::from_millis(SETTLE_MS)).await;
        let callers = Callers::new(
            &world.caller_addresses,
            &queues(),
            world.accounts(),
            Arc::clone(&checker),
        );
        Ok(Self {
            checker,
            world: Arc::new(world),
            callers,
        })
    }

    /// Lets the callers work for a time, each with its part of the seed.
    pub fn call(&self, seed: u64, length_ms: u64, tasks: &mut JoinSet<()>) {
        let until = Instant::now() + Duration::from_millis(length_ms);
        for caller in 0..CALLERS {
            let seed = seed.wrapping_mul(CALLERS).wrapping_add(caller);
            tasks.spawn(self.callers.clone().work(seed, until));
        }
    }
}
