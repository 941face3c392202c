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
struct Pending {
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
    rows: Vec<Pending>,
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
        self.rows.push(Pending {
            number,
            endpoint,
            subject,
            due_ms,
        });
    }

    fn take(&mut self, number: CallNumber) -> Option<Pending> {
        let place = self.rows.binary_search_by_key(&number, |row| row.number);
        place.ok().map(|place| self.rows.remove(place))
    }

    /// Takes in results, and returns what the engine is told.
    pub fn take_results(&mut self, results: Vec<(CallNumber, CallResult)>) -> Vec<Event> {
        results
            .into_iter()
            .filter_map(|(number, result)| {
                let known = self.take(number)?;
                known.subject.event(known.endpoint, result)
            })
            .collect()
    }

    /// Takes a call back that was not made, and returns its endpoint; none when it was given up.
    pub fn take_back(&mut self, number: CallNumber) -> Option<EndpointKey> {
        self.take(number).map(|known| known.endpoint)
    }

    /// Gives all calls up, and returns what the engine is told: nobody knows what came of them.
    pub fn give_up(&mut self) -> Vec<Event> {
        let rows = std::mem::take(&mut self.rows);
        rows.into_iter()
            .filter_map(|known| known.subject.unknown(known.endpoint))
            .collect()
    }

    /// Tells whether a result is overdue.
    #[must_use]
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.rows.iter().any(|known| known.due_ms <= now_ms)
    }

    /// Returns the number of calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.rows.len()
    }
}
