//! Balancer in front of the nodes: asks each whether it is ready and leaves out those that are not.

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

/// Time between two questions to a node.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time that a node may take to say that it is ready.
const PATIENCE: Duration = Duration::from_millis(500);

/// Which nodes get requests; copies share it.
#[derive(Clone)]
pub struct Balancer {
    is_ready: Arc<Vec<AtomicBool>>,
}

impl Balancer {
    /// Starts asking the nodes, for as long as any copy is held.
    pub fn start(nodes: &[Client]) -> Self {
        let is_ready = Arc::new(nodes.iter().map(|_| AtomicBool::new(true)).collect());
        let balancer = Self { is_ready };
        for (row, node) in nodes.iter().enumerate() {
            let weak = Arc::downgrade(&balancer.is_ready);
            // A connection of its own, so that the question does not wait behind requests.
            let node = Client::new(node.peer(), 1);
            tokio::spawn(async move {
                while let Some(is_ready) = weak.upgrade() {
                    let answer = node.get("/readyz", PATIENCE).await;
                    let is_well = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
                    is_ready[row].store(is_well, Ordering::Relaxed);
                    drop(is_ready);
                    tokio::time::sleep(INTERVAL).await;
                }
            });
        }
        balancer
    }

    /// Returns the first ready node from `start` on, or that one when none is ready.
    pub fn choose(&self, start: usize) -> usize {
        let count = self.is_ready.len();
        (0..count)
            .map(|step| (start + step) % count)
            .find(|row| self.is_ready[*row].load(Ordering::Relaxed))
            .unwrap_or(start % count)
    }
}
