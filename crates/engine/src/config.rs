//! What the operator has put in force: queues, pools and limits.

use {
    crate::accounts::ClientAccounts,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Queue into which callers hand jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Host that callers name.
    pub host: CompactString,
    /// Beginning of the paths that belong to the queue.
    pub path_prefix: CompactString,
    /// Pool whose endpoints run the tasks.
    pub pool: CompactString,
    /// Rank: 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// Factor of the longest chain of work within which a job is on time.
    pub stretch: f64,
    /// Time added to that, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether another service tells which endpoints may run a step.
    pub advised: bool,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Queue {
    /// Tells whether a queue is the one of this host and prefix.
    #[must_use]
    pub fn has_same_route(&self, other: &Self) -> bool {
        self.host == other.host && self.path_prefix == other.path_prefix
    }
}

/// Pool of VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Name.
    pub name: CompactString,
    /// Whether its VMs are switched off and cost nothing.
    pub is_standby: bool,
    /// Whether its endpoints refuse what does not fit.
    pub checks_admission: bool,
}

/// Bounds for callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Bytes of a body at most.
    pub max_body_bytes: usize,
    /// Bytes of a head at most.
    pub max_header_bytes: usize,
    /// Time within which a head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// The figures of the platform's examples, until a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            header_timeout_ms: 3_000,
        }
    }
}

/// Configuration in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version; a node never goes back to a lower one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Bounds for callers' requests.
    pub limits: CallerLimits,
    /// Client accounts.
    pub accounts: ClientAccounts,
}

impl FleetConfig {
    /// Returns the queue with the longest prefix that a path begins with.
    #[must_use]
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.path_prefix.as_str()))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns a pool.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let index = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name));
        index.ok().map(|index| &self.pools[index])
    }
}
