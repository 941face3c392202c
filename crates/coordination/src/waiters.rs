//! Proposers that wait for their records to come back through the log.

use {
    crate::proposer::ProposalOutcome,
    std::sync::{Mutex, MutexGuard, PoisonError},
    tokio::sync::oneshot,
};

/// Waiting proposers of this run, by sequence.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    rows: Mutex<Vec<Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    sequence: u64,
    reply: oneshot::Sender<ProposalOutcome>,
}

impl Waiters {
    /// Registers a waiter; sequences come in rising order.
    pub(crate) fn register(&self, sequence: u64) -> oneshot::Receiver<ProposalOutcome> {
        let (reply, receiver) = oneshot::channel();
        self.rows().push(Waiter { sequence, reply });
        receiver
    }

    /// Gives a waiter its decision.
    pub(crate) fn resolve(&self, sequence: u64, decision: ProposalOutcome) {
        let mut rows = self.rows();
        let Ok(row) = rows.binary_search_by_key(&sequence, |waiter| waiter.sequence) else {
            return;
        };
        let waiter = rows.remove(row);
        drop(rows);
        // A proposer that gave up waiting was told that the outcome is unknown.
        drop(waiter.reply.send(decision));
    }

    /// Forgets waiters whose records were never sent, which tells them so.
    pub(crate) fn forget(&self, sequences: &[u64]) {
        self.rows()
            .retain(|waiter| sequences.binary_search(&waiter.sequence).is_err());
    }

    fn rows(&self) -> MutexGuard<'_, Vec<Waiter>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
