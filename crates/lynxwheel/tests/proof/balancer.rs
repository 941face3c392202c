//! Load balancer that polls the readiness of the nodes and leaves out those that are not ready.

use {
    http::StatusCode,
    lynxwheel_transport::Client,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Interval at which the readiness of a node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Readiness of the nodes; clones share it.
#[derive(Clone)]
pub struct Balancer {
    is_ready: Arc<Vec<AtomicBool>>,
}

impl Balancer {
    /// Starts to poll the nodes, until the last clone is dropped.
    pub fn start(nodes: &[Client]) -> Self {
        let is_ready = Arc::new(nodes.iter().map(|_| AtomicBool::new(true)).collect());
        let balancer = Self { is_ready };
        for (index, node) in nodes.iter().enumerate() {
            let weak = Arc::downgrade(&balancer.is_ready);
            // A separate connection, so that the check does not queue behind requests.
            let node = Client::new(node.peer(), 1);
            tokio::spawn(async move {
                while let Some(is_ready) = weak.upgrade() {
                    let response = node.get("/readyz", READINESS_TIMEOUT).await;
                    let is_ok = response.is_ok_and(|response| response.status == StatusCode::OK);
                    is_ready[index].store(is_ok, Ordering::Relaxed);
                    drop(is_ready);
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
        }
        balancer
    }

    /// Returns the first ready node at or after `start`, or `start` itself when none is ready.
    pub fn choose(&self, start: usize) -> usize {
        let count = self.is_ready.len();
        (0..count)
            .map(|offset| (start + offset) % count)
            .find(|index| self.is_ready[*index].load(Ordering::Relaxed))
            .unwrap_or(start % count)
    }
}
