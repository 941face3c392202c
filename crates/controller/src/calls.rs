//! Calls to endpoints and their results.

use {
    log::info,
    lynxwheel_engine::{
        CallOutcome, EndpointAddress, EndpointKey, EndpointReport, Event, StartOrder, TaskRef,
    },
    lynxwheel_platform::EndpointClient,
    serde::{Deserialize, Serialize},
};

/// Call to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum EndpointCall {
    /// Starts a run.
    Start(Box<StartOrder>),
    /// Stops a run.
    Stop(TaskRef, u32),
    /// Requests a status report and renews the lease if a deadline is given.
    Renew {
        /// New end of the lease on the endpoint's clock.
        deadline_ms: Option<u64>,
        /// Run ends up to this number may be forgotten by the endpoint.
        acknowledged: u64,
        /// Maximum time for which the endpoint waits for a run to end, in milliseconds.
        wait_ms: u64,
    },
    /// Limits a run to a percentage of its speed.
    Pace(TaskRef, u32, u8),
}

/// Result of a call to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallResult {
    /// Result of a start or stop.
    Ordered(CallOutcome<u64>),
    /// Result of a renewal.
    Renewed(CallOutcome<EndpointReport>),
    /// Whether a change of pace is known to be applied.
    Paced(bool),
}

/// Identifies the call that a result belongs to.
#[derive(Clone, Copy, Debug)]
pub enum CallSubject {
    /// Start of a run.
    Start(TaskRef, u32),
    /// Stop of a run.
    Stop(TaskRef, u32),
    /// Renewal of the lease.
    Renew,
    /// Change of a run's pace, in percent.
    Pace(TaskRef, u32, u8),
}

impl EndpointCall {
    /// Returns the subject of the call.
    #[must_use]
    pub fn subject(&self) -> CallSubject {
        match self {
            Self::Start(order) => CallSubject::Start(order.task, order.run),
            Self::Stop(task, run) => CallSubject::Stop(*task, *run),
            Self::Renew { .. } => CallSubject::Renew,
            Self::Pace(task, run, percent) => CallSubject::Pace(*task, *run, *percent),
        }
    }

    /// Returns how long the endpoint may delay its response, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Renew { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }

    /// Executes the call and logs its outcome.
    pub async fn execute(&self, client: &EndpointClient, to: &EndpointAddress) -> CallResult {
        match self {
            Self::Start(order) => {
                let sent = client.start_run(to, order).await;
                info!(
                    event = "start_task", task:% = order.task, run = order.run,
                    endpoint = to.id.as_str(), deadline_ms = order.deadline_ms,
                    tries = sent.record.tries, sent_ago_ms = sent.sent_ago_ms(),
                    outcome:? = sent.outcome;
                    "run start sent"
                );
                CallResult::Ordered(sent.outcome)
            }
            Self::Stop(task, run) => {
                let sent = client.stop_run(to, task, *run).await;
                info!(
                    event = "stop_task", task:% = task, run = *run, endpoint = to.id.as_str(),
                    tries = sent.record.tries, sent_ago_ms = sent.sent_ago_ms(),
                    outcome:? = sent.outcome;
                    "run stop sent"
                );
                CallResult::Ordered(sent.outcome)
            }
            Self::Renew {
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let sent = client
                    .renew_lease(to, *deadline_ms, *acknowledged, *wait_ms)
                    .await;
                if !matches!(sent.outcome, CallOutcome::Done(_)) {
                    info!(
                        event = "renewal_failed", endpoint = to.id.as_str(), peer:% = to.address,
                        tries = sent.record.tries, sent_ago_ms = sent.sent_ago_ms(),
                        outcome:? = sent.outcome;
                        "lease renewal failed"
                    );
                }
                CallResult::Renewed(sent.outcome)
            }
            Self::Pace(task, run, percent) => {
                let sent = client.set_pace(to, task, *run, *percent).await;
                info!(
                    event = "pace", task:% = task, run = *run, percent = *percent,
                    tries = sent.record.tries, sent_ago_ms = sent.sent_ago_ms(),
                    is_done = sent.outcome;
                    "run pace changed"
                );
                CallResult::Paced(sent.outcome)
            }
        }
    }
}

impl CallSubject {
    /// Converts a result into an engine event; `None` if its kind does not match the call.
    #[must_use]
    pub fn result_event(self, endpoint: EndpointKey, result: CallResult) -> Option<Event> {
        match (self, result) {
            (Self::Start(task, run), CallResult::Ordered(outcome)) => Some(Event::Started {
                endpoint,
                task,
                run,
                outcome,
            }),
            (Self::Stop(task, run), CallResult::Ordered(outcome)) => Some(Event::Stopped {
                endpoint,
                task,
                run,
                outcome,
            }),
            (Self::Renew, CallResult::Renewed(outcome)) => {
                Some(Event::Renewed { endpoint, outcome })
            }
            (Self::Pace(task, run, percent), CallResult::Paced(is_done)) => Some(Event::Paced {
                endpoint,
                task,
                run,
                percent,
                is_done,
            }),
            _ => None,
        }
    }

    /// Returns the engine event for a call whose outcome is unknown.
    #[must_use]
    pub fn unknown_outcome_event(self, endpoint: EndpointKey) -> Option<Event> {
        let result = match self {
            Self::Start(..) | Self::Stop(..) => CallResult::Ordered(CallOutcome::Unknown),
            Self::Renew => CallResult::Renewed(CallOutcome::Unknown),
            Self::Pace(..) => CallResult::Paced(false),
        };
        self.result_event(endpoint, result)
    }
}
