//! Sets up a run: stand-ins, nodes with an owner, and callers.

use {
    crate::{
        callers::Callers,
        checker::Checker,
        cluster::{Cluster, ENDPOINT_CPU_MILLIS, MAX_VMS_DOWN, queues},
        run::SoakPlan,
    },
    std::{fs, io, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 6;

/// Number of callers that cancel jobs that take long.
const CANCELLING_CALLER_COUNT: u64 = 4;

/// Time for a node to take over the fleet before the traffic starts, and for restarted nodes
/// before the final checks, in milliseconds.
pub const STARTUP_MS: u64 = 1_500;

/// Cluster, callers and checker of one run.
pub struct Harness {
    pub checker: Arc<Checker>,
    pub cluster: Arc<Cluster>,
    pub callers: Callers,
}

impl Harness {
    /// Starts the cluster and creates the callers, without traffic yet.
    pub async fn start(plan: &SoakPlan) -> io::Result<Self> {
        fs::create_dir_all(&plan.directory)?;
        let checker = Arc::new(Checker::new(ENDPOINT_CPU_MILLIS, MAX_VMS_DOWN));
        let cluster = Cluster::start(plan, &checker).await?;
        sleep(Duration::from_millis(STARTUP_MS)).await;
        let callers = Callers::new(
            &cluster.caller_addresses,
            &queues(),
            cluster.accounts(),
            Arc::clone(&checker),
        );
        Ok(Self {
            checker,
            cluster: Arc::new(cluster),
            callers,
        })
    }

    /// Starts the callers, each with a seed of its own, for `traffic_ms`.
    pub fn start_callers(&self, seed: u64, traffic_ms: u64, tasks: &mut JoinSet<()>) {
        let until = Instant::now() + Duration::from_millis(traffic_ms);
        for caller in 0..CALLER_COUNT {
            let seed = seed.wrapping_mul(CALLER_COUNT).wrapping_add(caller);
            tasks.spawn(self.callers.clone().run(seed, until));
        }
    }

    /// Starts callers that submit and cancel jobs that take long, for `traffic_ms`.
    pub fn start_cancelling_callers(&self, seed: u64, traffic_ms: u64, tasks: &mut JoinSet<()>) {
        let until = Instant::now() + Duration::from_millis(traffic_ms);
        for caller in 0..CANCELLING_CALLER_COUNT {
            let seed = seed
                .wrapping_mul(CANCELLING_CALLER_COUNT)
                .wrapping_add(caller);
            tasks.spawn(self.callers.clone().run_cancelling(seed, until));
        }
    }

    /// Starts a caller that submits jobs whose tasks take some seconds, for `traffic_ms`.
    pub fn start_prolonged_caller(&self, seed: u64, traffic_ms: u64, tasks: &mut JoinSet<()>) {
        let until = Instant::now() + Duration::from_millis(traffic_ms);
        tasks.spawn(self.callers.clone().run_prolonged(seed, until));
    }

    /// Starts a caller that submits jobs whose tasks crash their endpoints, for `traffic_ms`.
    pub fn start_crashing_caller(&self, seed: u64, traffic_ms: u64, tasks: &mut JoinSet<()>) {
        let until = Instant::now() + Duration::from_millis(traffic_ms);
        tasks.spawn(self.callers.clone().run_crashing(seed, until));
    }
}
