//! Calls that other nodes make and whose results are to come.

use {
    crate::{
        calls::{CallResult, CallSubject},
        delegate_messages::CallNumber,
    },
    lynxwheel_engine::{EndpointKey, Event},
};

/// A call whose result is to come.
#[derive(Debug)]
struct PendingCall {
    number: CallNumber,
    endpoint: EndpointKey,
    subject: CallSubject,
    due_ms: u64,
}

/// Calls that one node has been given. Each of them has one result: what the node tells, or that nobody
/// knows. What comes after that is passed over, as the engine may have asked again meanwhile.
#[derive(Debug, Default)]
pub struct PendingCalls {
    /// Sorted by number.
    calls: Vec<PendingCall>,
}

impl PendingCalls {
    /// Adds a call, with a number above all before, and when its result is due.
    pub fn add(
        &mut self,
        number: CallNumber,
        endpoint: EndpointKey,
        subject: CallSubject,
        due_ms: u64,
    ) {
        self.calls.push(PendingCall {
            number,
            endpoint,
            subject,
            due_ms,
        });
    }

    fn remove(&mut self, number: CallNumber) -> Option<PendingCall> {
        let index = self.calls.binary_search_by_key(&number, |call| call.number);
        index.ok().map(|index| self.calls.remove(index))
    }

    /// Takes in results, and returns what the engine is told.
    pub fn apply_results(&mut self, results: Vec<(CallNumber, CallResult)>) -> Vec<Event> {
        results
            .into_iter()
            .filter_map(|(number, result)| {
                let call = self.remove(number)?;
                call.subject.result_event(call.endpoint, result)
            })
            .collect()
    }

    /// Takes a call back that was not made, and returns its endpoint; none when it was given up.
    pub fn withdraw(&mut self, number: CallNumber) -> Option<EndpointKey> {
        self.remove(number).map(|call| call.endpoint)
    }

    /// Gives all calls up, and returns what the engine is told: nobody knows what came of them.
    pub fn abandon_all(&mut self) -> Vec<Event> {
        let calls = std::mem::take(&mut self.calls);
        calls
            .into_iter()
            .filter_map(|call| call.subject.unknown_outcome_event(call.endpoint))
            .collect()
    }

    /// Tells whether a result is overdue.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.calls.iter().any(|call| call.due_ms <= now_ms)
    }

    /// Returns the number of calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.calls.len()
    }
}
