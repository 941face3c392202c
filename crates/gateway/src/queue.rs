//! Requests that wait for a slot of their service.

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

/// Pause after which a waiting request looks by itself, for slots that come without a wake-up,
/// such as those of a new endpoint.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Weight of the newest service time in the mean, as a power of two.
const MEAN_SHIFT: u32 = 4;

/// Waiting requests of one service, served by class and then by arrival.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    waiting: Mutex<Waiting>,
    mean_us: AtomicU64,
}

#[derive(Debug, Default)]
struct Waiting {
    rows: Vec<Waiter>,
    arrivals: u64,
}

#[derive(Debug)]
struct Waiter {
    turn: Turn,
    wake: Arc<Notify>,
}

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    class: Class,
    arrival: u64,
}

/// Lengths of the queue as a request of some class finds them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueLengths {
    pub(crate) waiting: usize,
    pub(crate) ahead: usize,
}

impl ServiceQueue {
    /// Returns the lengths for a request of `class`.
    pub(crate) fn lengths(&self, class: Class) -> QueueLengths {
        let waiting = self.waiting();
        QueueLengths {
            waiting: waiting.rows.len(),
            ahead: waiting
                .rows
                .partition_point(|waiter| waiter.turn.class <= class),
        }
    }

    /// Puts a request into the queue.
    pub(crate) fn join(self: &Arc<Self>, class: Class) -> Place {
        let mut waiting = self.waiting();
        waiting.arrivals += 1;
        let turn = Turn {
            class,
            arrival: waiting.arrivals,
        };
        let wake = Arc::new(Notify::new());
        let row = waiting.rows.partition_point(|waiter| waiter.turn < turn);
        let waiter = Waiter {
            turn,
            wake: Arc::clone(&wake),
        };
        waiting.rows.insert(row, waiter);
        Place {
            queue: Arc::clone(self),
            turn,
            wake,
        }
    }

    /// Wakes the request whose turn it is.
    pub(crate) fn wake(&self) {
        if let Some(first) = self.waiting().rows.first() {
            first.wake.notify_one();
        }
    }

    /// Notes for how long a request took its slot.
    pub(crate) fn note_service(&self, taken: Duration) {
        let taken_us = u64::try_from(taken.as_micros()).unwrap_or(u64::MAX);
        let mean_us = self.mean_us();
        let next_us = if mean_us == 0 {
            taken_us
        } else {
            mean_us - (mean_us >> MEAN_SHIFT) + (taken_us >> MEAN_SHIFT)
        };
        self.mean_us.store(next_us, Ordering::Relaxed);
    }

    /// Returns the mean time for which a request takes a slot, in microseconds.
    pub(crate) fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's place in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub(crate) struct Place {
    queue: Arc<ServiceQueue>,
    turn: Turn,
    wake: Arc<Notify>,
}

impl Place {
    /// Tells whether it is this request's turn.
    pub(crate) fn is_first(&self) -> bool {
        let waiting = self.queue.waiting();
        waiting
            .rows
            .first()
            .is_some_and(|first| first.turn == self.turn)
    }

    /// Waits for a reason to look for a slot again.
    pub(crate) async fn wait(&self, deadline: Instant) {
        let until = deadline.min(Instant::now() + LOOK_PAUSE);
        // Either end of the wait leads to the same look.
        drop(timeout_at(until, self.wake.notified()).await);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut waiting = self.queue.waiting();
        if let Ok(row) = waiting
            .rows
            .binary_search_by_key(&self.turn, |waiter| waiter.turn)
        {
            waiting.rows.remove(row);
        }
        drop(waiting);
        // A wake-up that this request got may belong to the next one now.
        self.queue.wake();
    }
}
