//! Proposers waiting for their records to be read back from the log.

use {
    crate::proposer::ProposalOutcome,
    std::sync::{Mutex, MutexGuard, PoisonError},
    tokio::sync::oneshot,
};

/// Waiting proposers of this incarnation, sorted by sequence.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    waiters: Mutex<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    sequence: u64,
    reply: oneshot::Sender<ProposalOutcome>,
}

impl Waiters {
    /// Registers a waiter; sequences must be registered in ascending order.
    pub(crate) fn register(&self, sequence: u64) -> oneshot::Receiver<ProposalOutcome> {
        let (reply, receiver) = oneshot::channel();
        self.lock().push(Waiter { sequence, reply });
        receiver
    }

    /// Sends the outcome to the waiter of a sequence, if there is one.
    pub(crate) fn resolve(&self, sequence: u64, outcome: ProposalOutcome) {
        let mut waiters = self.lock();
        let Ok(index) = waiters.binary_search_by_key(&sequence, |waiter| waiter.sequence) else {
            return;
        };
        let waiter = waiters.remove(index);
        drop(waiters);
        // The proposer may have timed out and dropped its receiver.
        drop(waiter.reply.send(outcome));
    }

    /// Removes waiters whose records were not appended; their channels close without an outcome.
    pub(crate) fn cancel(&self, sequences: &[u64]) {
        self.lock()
            .retain(|waiter| sequences.binary_search(&waiter.sequence).is_err());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
