//! Calls accepted by a delegate that await their results.

use {
    crate::{
        calls::{CallResult, CallSubject},
        delegate_messages::CallNumber,
    },
    lynxwheel_engine::{EndpointKey, Event},
};

/// Call that awaits its result.
#[derive(Debug)]
struct PendingCall {
    number: CallNumber,
    endpoint: EndpointKey,
    subject: CallSubject,
    due_ms: u64,
}

/// Pending calls of one delegate. Each call has exactly one result: the reported one, or an unknown
/// outcome after a timeout. Later results are ignored, as the engine may have repeated the call.
#[derive(Debug, Default)]
pub struct PendingCalls {
    /// Sorted by number.
    calls: Vec<PendingCall>,
}

impl PendingCalls {
    /// Adds a call. Numbers must be increasing.
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

    /// Applies results and returns the resulting engine events.
    pub fn apply_results(&mut self, results: Vec<(CallNumber, CallResult)>) -> Vec<Event> {
        results
            .into_iter()
            .filter_map(|(number, result)| {
                let call = self.remove(number)?;
                call.subject.result_event(call.endpoint, result)
            })
            .collect()
    }

    /// Removes a call that was not executed and returns its endpoint; `None` if the call was
    /// abandoned.
    pub fn withdraw(&mut self, number: CallNumber) -> Option<EndpointKey> {
        self.remove(number).map(|call| call.endpoint)
    }

    /// Removes all calls and returns engine events with unknown outcomes.
    pub fn abandon_all(&mut self) -> Vec<Event> {
        let calls = std::mem::take(&mut self.calls);
        calls
            .into_iter()
            .filter_map(|call| call.subject.unknown_outcome_event(call.endpoint))
            .collect()
    }

    /// Returns whether any result is overdue.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.calls.iter().any(|call| call.due_ms <= now_ms)
    }

    /// Returns the number of pending calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.calls.len()
    }
}
