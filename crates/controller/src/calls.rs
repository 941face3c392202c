//! Calls to endpoints, as the owner or another node for it makes them, and what comes of them.

use {
    log::info,
    lynxwheel_engine::{
        CallOutcome, EndpointAddress, EndpointKey, EndpointReport, Event, StartOrder, TaskRef,
    },
    lynxwheel_platform::EndpointClient,
    serde::{Deserialize, Serialize},
};

/// A call to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum EndpointCall {
    /// Start a run.
    Start(Box<StartOrder>),
    /// Stop a run.
    Stop(TaskRef, u32),
    /// Renew the lease and ask for the report.
    Renew {
        /// End of the lease on the endpoint's clock, if it is to be renewed.
        deadline_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// Time that the endpoint may wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Let a run work at a share of its speed, in percent.
    Pace(TaskRef, u32, u8),
}

/// What came of a call to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallResult {
    /// Of a start or a stop.
    Ordered(CallOutcome<u64>),
    /// Of a renewal.
    Renewed(CallOutcome<EndpointReport>),
    /// Of a change of pace: whether it was carried out.
    Paced(bool),
}

/// What a call was about, to tell the engine what came of it.
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
    /// Returns what the call is about.
    #[must_use]
    pub fn subject(&self) -> CallSubject {
        match self {
            Self::Start(order) => CallSubject::Start(order.task, order.run),
            Self::Stop(task, run) => CallSubject::Stop(*task, *run),
            Self::Renew { .. } => CallSubject::Renew,
            Self::Pace(task, run, percent) => CallSubject::Pace(*task, *run, *percent),
        }
    }

    /// Returns the time that the endpoint may take before it answers, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Renew { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }

    /// Makes the call.
    pub async fn make(&self, calls: &EndpointClient, to: &EndpointAddress) -> CallResult {
        match self {
            Self::Start(order) => {
                let outcome = calls.start_run(to, order).await;
                info!(
                    event = "start_task", task:% = order.task, run = order.run,
                    endpoint = to.id.as_str(), deadline_ms = order.deadline_ms,
                    outcome:? = outcome;
                    ""
                );
                CallResult::Ordered(outcome)
            }
            Self::Stop(task, run) => {
                let outcome = calls.stop_run(to, task, *run).await;
                info!(
                    event = "stop_task", task:% = task, run = *run, endpoint = to.id.as_str(),
                    outcome:? = outcome;
                    ""
                );
                CallResult::Ordered(outcome)
            }
            Self::Renew {
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let outcome = calls
                    .renew_lease(to, *deadline_ms, *acknowledged, *wait_ms)
                    .await;
                if !matches!(outcome, CallOutcome::Done(_)) {
                    info!(
                        event = "renewal_failed", endpoint = to.id.as_str(), peer:% = to.address,
                        outcome:? = outcome;
                        ""
                    );
                }
                CallResult::Renewed(outcome)
            }
            Self::Pace(task, run, percent) => {
                let is_done = calls.set_pace(to, task, *run, *percent).await;
                info!(
                    event = "pace", task:% = task, run = *run, percent = *percent,
                    is_done = is_done;
                    ""
                );
                CallResult::Paced(is_done)
            }
        }
    }
}

impl CallSubject {
    /// Returns what the engine is told of a result; nothing when the result is none of such a call.
    #[must_use]
    pub fn event(self, endpoint: EndpointKey, result: CallResult) -> Option<Event> {
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

    /// Returns what the engine is told when nobody knows what came of the call.
    #[must_use]
    pub fn unknown(self, endpoint: EndpointKey) -> Option<Event> {
        let result = match self {
            Self::Start(..) | Self::Stop(..) => CallResult::Ordered(CallOutcome::Unknown),
            Self::Renew => CallResult::Renewed(CallOutcome::Unknown),
            Self::Pace(..) => CallResult::Paced(false),
        };
        self.event(endpoint, result)
    }
}
