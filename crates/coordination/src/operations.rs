//! Outcomes of recent declarations, for lookups after a write with an unknown outcome.

use {
    lynxwheel_protocol::{OperationId, OperationOutcome, Record, RecordBody, ResourceRef},
    lynxwheel_state::{FleetState, Verdict},
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of operations kept: 8 days at 460 declarations a day.
const MAX_OPERATIONS: usize = 4_096;

/// Outcomes of the latest declarations of all nodes.
///
/// All nodes fold the same records, so each can look up the operations of the others.
#[derive(Debug, Default)]
pub(crate) struct OperationHistory {
    operations: Mutex<VecDeque<Operation>>,
}

/// A declaration or deletion of a resource and its outcome.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Identity of the operation's record.
    pub id: OperationId,
    /// Resource that it declared or deleted.
    pub reference: ResourceRef,
    /// Outcome.
    pub outcome: OperationOutcome,
}

impl OperationHistory {
    /// Adds the verdict on a record if the record declares or deletes a resource.
    pub(crate) fn add(&self, offset: u64, record: &Record, verdict: &Verdict) {
        let reference = match &record.body {
            RecordBody::Delete { reference, .. } => reference.clone(),
            RecordBody::Put { resource, .. } => resource.reference(),
            _ => return,
        };
        let outcome = match verdict {
            Verdict::Accepted => OperationOutcome::Accepted { offset },
            Verdict::Rejected(rejection) => OperationOutcome::Rejected {
                offset,
                reason: rejection.to_string(),
            },
            // The verdict on the first copy has been added already.
            Verdict::Duplicate => return,
        };
        let mut operations = self.lock();
        if operations.len() == MAX_OPERATIONS {
            operations.pop_front();
        }
        operations.push_back(Operation {
            id: OperationId(record.id),
            reference,
            outcome,
        });
    }

    /// Returns the outcome of an operation as known at `state`.
    ///
    /// The records of an incarnation enter the log in order, so an unknown operation at or below
    /// its incarnation's last sequence was folded before the history begins. The same is assumed
    /// for an incarnation older than all known ones, as `NotSeen` would invite a repeated write.
    pub(crate) fn look_up(&self, id: OperationId, state: &FleetState) -> OperationOutcome {
        let known_outcome = self
            .lock()
            .iter()
            .rev()
            .find(|operation| operation.id == id)
            .map(|operation| operation.outcome.clone());
        if let Some(outcome) = known_outcome {
            return outcome;
        }
        let is_folded = match state.writers().get(id.0.incarnation) {
            Some(writer) => id.0.sequence <= writer.sequence,
            None => is_older_than_all(id.0.incarnation, state),
        };
        if is_folded {
            OperationOutcome::TooOld
        } else {
            OperationOutcome::NotSeen
        }
    }

    /// Returns the latest operations, newest first.
    pub(crate) fn latest(&self, limit: usize) -> Vec<Operation> {
        self.lock().iter().rev().take(limit).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Operation>> {
        self.operations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_older_than_all(incarnation: u64, state: &FleetState) -> bool {
    let oldest = state.writers().iter().next();
    oldest.is_some_and(|oldest| incarnation < oldest.incarnation)
}
