//! Tickets for steps whose endpoints are chosen by the advice service.

use {
    crate::{
        endpoint_table::EndpointTable,
        engine::Engine,
        event::{Effect, EndpointKey, Now},
        job::TaskRef,
    },
    compact_str::CompactString,
};

/// Maximum number of endpoints per request. The service takes time for each endpoint, and the latency
/// objective of a step allows for a request of this size.
const MAX_ENDPOINTS_PER_REQUEST: usize = 30;

/// Time before the end of a ticket from which it is not used, in milliseconds. It covers the time
/// that a start takes to be stored and to reach its endpoint.
const TICKET_MARGIN_MS: u64 = 300;

/// Delay after a failed request, in milliseconds.
const REQUEST_RETRY_MS: u64 = 300;

/// Time after which a request counts as lost, in milliseconds; the caller times out earlier.
const REQUEST_TIMEOUT_MS: u64 = 8_000;

/// Ticket for the tasks of a step on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id of the endpoint.
    pub endpoint: CompactString,
    /// Text sent with each start.
    pub text: CompactString,
}

/// Tickets and pending request of one step.
#[derive(Clone, Debug)]
pub(crate) struct StepAdvice {
    step: TaskRef,
    /// Tickets with the end of their use on the monotonic clock.
    tickets: Vec<(EndpointKey, CompactString, u64)>,
    /// Endpoints that may not run the step, which is final.
    refused: Vec<EndpointKey>,
    requested: Vec<EndpointKey>,
    next_request_ms: u64,
}

impl StepAdvice {
    fn new(step: TaskRef) -> Self {
        Self {
            step,
            tickets: Vec::new(),
            refused: Vec::new(),
            requested: Vec::new(),
            next_request_ms: 0,
        }
    }

    fn ticket(&self, key: EndpointKey, now: Now) -> Option<&CompactString> {
        self.tickets
            .iter()
            .find(|(known, _, until_ms)| *known == key && now.steady_ms < *until_ms)
            .map(|(_, text, _)| text)
    }
}

impl Engine {
    fn advice_index(&mut self, step: &TaskRef) -> usize {
        let step = TaskRef { index: 0, ..*step };
        match self.advice.binary_search_by_key(&step, |known| known.step) {
            Ok(index) => index,
            Err(index) => {
                self.advice.insert(index, StepAdvice::new(step));
                index
            }
        }
    }

    /// Returns the endpoints for which a step has a valid ticket, and requests tickets for others.
    pub(crate) fn endpoints_with_ticket(
        &mut self,
        step: &TaskRef,
        members: &[EndpointKey],
        now: Now,
    ) -> Vec<EndpointKey> {
        let index = self.advice_index(step);
        let advice = &mut self.advice[index];
        let usable: Vec<EndpointKey> = members
            .iter()
            .copied()
            .filter(|&key| advice.ticket(key, now).is_some())
            .collect();
        if now.steady_ms >= advice.next_request_ms {
            let unknown = members
                .iter()
                .copied()
                .filter(|key| !advice.refused.contains(key) && !usable.contains(key));
            advice.requested = unknown.take(MAX_ENDPOINTS_PER_REQUEST).collect();
            if !advice.requested.is_empty() {
                advice.next_request_ms = now.steady_ms + REQUEST_TIMEOUT_MS;
                self.immediate_effects.push(Effect::GetTickets {
                    step: *step,
                    endpoints: names(&self.endpoints, &advice.requested),
                });
            }
        }
        usable
    }

    /// Returns the ticket for a start; empty if none is required.
    pub(crate) fn ticket_for(&self, task: &TaskRef, key: EndpointKey, now: Now) -> CompactString {
        let step = TaskRef { index: 0, ..*task };
        let index = self.advice.binary_search_by_key(&step, |known| known.step);
        index
            .ok()
            .and_then(|index| self.advice[index].ticket(key, now))
            .cloned()
            .unwrap_or_default()
    }

    /// Processes a response: tickets for the endpoints that may run the step, or `None` if the call
    /// failed.
    pub(crate) fn tickets_received(
        &mut self,
        step: &TaskRef,
        response: Option<(Vec<Ticket>, u64)>,
        now: Now,
    ) {
        let index = self.advice_index(step);
        let endpoints = &self.endpoints;
        let advice = &mut self.advice[index];
        let requested = std::mem::take(&mut advice.requested);
        let Some((tickets, valid_ms)) = response else {
            advice.next_request_ms = now.steady_ms + REQUEST_RETRY_MS;
            return;
        };
        advice.next_request_ms = now.steady_ms;
        let until_ms = now.steady_ms + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        for key in requested {
            let id = &endpoints.get(key).id;
            advice.tickets.retain(|(known, _, _)| *known != key);
            match tickets.iter().find(|ticket| ticket.endpoint == *id) {
                Some(ticket) => advice.tickets.push((key, ticket.text.clone(), until_ms)),
                None => advice.refused.push(key),
            }
        }
        self.is_schedule_due = true;
    }

    /// Removes a ticket that an endpoint refused.
    pub(crate) fn ticket_refused(&mut self, task: &TaskRef, key: EndpointKey) {
        let index = self.advice_index(task);
        self.advice[index]
            .tickets
            .retain(|(known, _, _)| *known != key);
    }

    /// Removes the tickets of jobs that have ended.
    pub(crate) fn remove_advice(&mut self) {
        let jobs = &self.jobs;
        self.advice
            .retain(|advice| jobs.search(advice.step.job).is_ok());
    }
}

fn names(endpoints: &EndpointTable, keys: &[EndpointKey]) -> Vec<CompactString> {
    keys.iter()
        .map(|&key| endpoints.get(key).id.clone())
        .collect()
}
