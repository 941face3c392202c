//! Configuration by the operator: queues, pools, limits and accounts.

use {
    crate::accounts::ClientAccounts,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Queue to which callers submit jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Host name in requests.
    pub host: CompactString,
    /// Path prefix of requests.
    pub path_prefix: CompactString,
    /// Pool whose endpoints run the tasks.
    pub pool: CompactString,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails.
    pub max_attempts: u32,
    /// Multiple of the critical path within which a job is on time.
    pub stretch: f64,
    /// Time added to that, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether the advice service chooses the endpoints of a step.
    pub advised: bool,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Queue {
    /// Returns whether both queues have the same host and path prefix.
    #[must_use]
    pub fn has_same_route(&self, other: &Self) -> bool {
        self.host == other.host && self.path_prefix == other.path_prefix
    }

    /// Returns whether its jobs have to be completed within a time.
    #[must_use]
    pub fn has_objective(&self) -> bool {
        self.stretch > 0.0 || self.target_latency_ms > 0
    }
}

/// Pool of VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Name.
    pub name: CompactString,
    /// Whether its VMs are switched off and cost nothing.
    pub is_standby: bool,
    /// Whether its endpoints refuse tasks that do not fit.
    pub checks_admission: bool,
}

/// Limits of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Time within which a request head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the values of the platform's examples, used until a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            header_timeout_ms: 3_000,
        }
    }
}

/// Configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version; a node never returns to a lower one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Limits of callers' requests.
    pub limits: CallerLimits,
    /// Client accounts.
    pub accounts: ClientAccounts,
}

impl FleetConfig {
    /// Returns the queue with the longest matching path prefix.
    #[must_use]
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.path_prefix.as_str()))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the pool with the given name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let index = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name));
        index.ok().map(|index| &self.pools[index])
    }
}
