//! Verdicts of recent declarations, for looking up writes whose outcome was unknown.

use {
    lynxwheel_protocol::{OperationId, OperationOutcome, Record, RecordBody, ResourceRef},
    lynxwheel_state::{FleetState, Verdict},
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Operations remembered: 8 days at 460 declarations a day.
const MAX_OPERATIONS: usize = 4_096;

/// Verdicts of the latest declarations of all nodes.
///
/// Every node folds the same records, so every node can answer for every other one.
#[derive(Debug, Default)]
pub(crate) struct Operations {
    rows: Mutex<VecDeque<Operation>>,
}

/// One remembered declaration or withdrawal.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Identity of its record.
    pub id: OperationId,
    /// Resource that it wrote.
    pub reference: ResourceRef,
    /// What became of it.
    pub outcome: OperationOutcome,
}

impl Operations {
    /// Notes what the fold made of a record, if it is a declaration.
    pub(crate) fn note(&self, offset: u64, record: &Record, verdict: &Verdict) {
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
            // The first time it came is what counts and was noted then.
            Verdict::Duplicate => return,
        };
        let mut rows = self.rows();
        if rows.len() == MAX_OPERATIONS {
            rows.pop_front();
        }
        rows.push_back(Operation {
            id: OperationId(record.id),
            reference,
            outcome,
        });
    }

    /// Returns what is known of an operation at `state`.
    ///
    /// A run's records enter the log in order, so one that is not remembered although its run
    /// came further was folded before this node's memory begins. Likewise a run older than all
    /// known ones: to call it not seen would let an operator write a second time.
    pub(crate) fn look_up(&self, id: OperationId, state: &FleetState) -> OperationOutcome {
        let found = self
            .rows()
            .iter()
            .rev()
            .find(|row| row.id == id)
            .map(|row| row.outcome.clone());
        if let Some(outcome) = found {
            return outcome;
        }
        let is_passed = match state.writers().get(id.0.incarnation) {
            Some(writer) => id.0.sequence <= writer.sequence,
            None => is_before_all(id.0.incarnation, state),
        };
        if is_passed {
            OperationOutcome::TooOld
        } else {
            OperationOutcome::NotSeen
        }
    }

    /// Returns the latest operations, the last one first.
    pub(crate) fn latest(&self, limit: usize) -> Vec<Operation> {
        self.rows().iter().rev().take(limit).cloned().collect()
    }

    fn rows(&self) -> MutexGuard<'_, VecDeque<Operation>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_before_all(incarnation: u64, state: &FleetState) -> bool {
    let oldest = state.writers().iter().next();
    oldest.is_some_and(|oldest| incarnation < oldest.incarnation)
}
