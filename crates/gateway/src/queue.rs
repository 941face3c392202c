//! Queues of requests that wait for a slot of their service.

use {
    lynxwheel_protocol::Class,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Interval at which a waiting request polls for slots that appear without a notification, such as
/// those of a new endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Weight of a new service time in the moving average, as a negative power of two.
const MEAN_WEIGHT_SHIFT: u32 = 4;

/// Queue of a service, ordered by class and then by arrival.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    list: Mutex<WaitList>,
    mean_us: AtomicU64,
}

#[derive(Debug, Default)]
struct WaitList {
    waiters: Vec<Waiter>,
    arrival_count: u64,
}

#[derive(Debug)]
struct Waiter {
    position: QueuePosition,
    wake: Arc<Notify>,
}

/// Position of a waiting request in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    class: Class,
    arrival: u64,
}

/// Length of the queue and number of requests ahead of a new one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueLengths {
    pub(crate) waiting: usize,
    pub(crate) ahead: usize,
}

impl ServiceQueue {
    /// Returns the lengths for a request of `class`.
    pub(crate) fn lengths(&self, class: Class) -> QueueLengths {
        let list = self.list();
        QueueLengths {
            waiting: list.waiters.len(),
            ahead: list
                .waiters
                .partition_point(|waiter| waiter.position.class <= class),
        }
    }

    /// Adds a request to the queue.
    pub(crate) fn enqueue(self: &Arc<Self>, class: Class) -> QueueTicket {
        let mut list = self.list();
        list.arrival_count += 1;
        let position = QueuePosition {
            class,
            arrival: list.arrival_count,
        };
        let wake = Arc::new(Notify::new());
        let index = list
            .waiters
            .partition_point(|waiter| waiter.position < position);
        let waiter = Waiter {
            position,
            wake: Arc::clone(&wake),
        };
        list.waiters.insert(index, waiter);
        QueueTicket {
            queue: Arc::clone(self),
            position,
            wake,
        }
    }

    /// Wakes the first request in the queue.
    pub(crate) fn wake(&self) {
        if let Some(first) = self.list().waiters.first() {
            first.wake.notify_one();
        }
    }

    /// Adds the time for which a request used its slot to the moving average.
    pub(crate) fn record_service_time(&self, elapsed: Duration) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let mean_us = self.mean_service_us();
        let next_us = if mean_us == 0 {
            elapsed_us
        } else {
            mean_us - (mean_us >> MEAN_WEIGHT_SHIFT) + (elapsed_us >> MEAN_WEIGHT_SHIFT)
        };
        self.mean_us.store(next_us, Ordering::Relaxed);
    }

    /// Returns the mean time for which a request uses a slot, in microseconds.
    pub(crate) fn mean_service_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }

    fn list(&self) -> MutexGuard<'_, WaitList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's entry in the queue; dropping it removes the entry.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    queue: Arc<ServiceQueue>,
    position: QueuePosition,
    wake: Arc<Notify>,
}

impl QueueTicket {
    /// Returns whether the request is the first in the queue.
    pub(crate) fn is_first(&self) -> bool {
        let list = self.queue.list();
        list.waiters
            .first()
            .is_some_and(|first| first.position == self.position)
    }

    /// Waits for a notification, the poll interval or the deadline.
    pub(crate) async fn wait(&self, deadline: Instant) {
        let until = deadline.min(Instant::now() + POLL_INTERVAL);
        // The caller checks for a slot in either case.
        drop(timeout_at(until, self.wake.notified()).await);
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut list = self.queue.list();
        if let Ok(index) = list
            .waiters
            .binary_search_by_key(&self.position, |waiter| waiter.position)
        {
            list.waiters.remove(index);
        }
        drop(list);
        // Pass on a notification that this request received but did not use.
        self.queue.wake();
    }
}
