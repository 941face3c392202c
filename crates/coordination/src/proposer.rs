//! Proposing records and learning what became of them.

use {
    crate::{
        appender::{Appender, Submit},
        divergence::Divergence,
    },
    kameo::{actor::ActorRef, error::SendError},
    lynxwheel_protocol::{RecordBody, WriterId},
    lynxwheel_state::Verdict,
    std::{error, fmt, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time after which to come back when the log refuses, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the fold made of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProposalOutcome {
    /// Identity of the record.
    pub id: WriterId,
    /// Offset of the record.
    pub offset: u64,
    /// Verdict.
    pub verdict: Verdict,
}

/// Why a proposal has no decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// It was not appended and never will be.
    NotAppended {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have been appended, or may be later.
    OutcomeUnknown {
        /// Identity of the record, by which its outcome can be looked up.
        id: WriterId,
    },
}

impl fmt::Display for ProposeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAppended { retry_after_ms } => {
                write!(
                    formatter,
                    "the log takes no records; come back in {retry_after_ms} ms"
                )
            }
            Self::OutcomeUnknown { id } => write!(
                formatter,
                "the outcome of record {}-{} is not known yet",
                id.incarnation, id.sequence
            ),
        }
    }
}

impl error::Error for ProposeError {}

/// Handle for proposing records.
#[derive(Clone, Debug)]
pub struct Proposer {
    appender: ActorRef<Appender>,
    limit: Duration,
    divergence: Arc<Divergence>,
}

impl Proposer {
    pub(crate) fn new(
        appender: ActorRef<Appender>,
        limit: Duration,
        divergence: Arc<Divergence>,
    ) -> Self {
        Self {
            appender,
            limit,
            divergence,
        }
    }

    /// Proposes a record and waits until it has come back through the log.
    ///
    /// # Errors
    ///
    /// Fails when the record was not appended, or when its outcome is not known in time.
    pub async fn propose(&self, body: RecordBody) -> Result<ProposalOutcome, ProposeError> {
        let not_appended = ProposeError::NotAppended {
            retry_after_ms: RETRY_AFTER_MS,
        };
        if self.divergence.has_diverged() {
            return Err(not_appended);
        }
        let ticket = match self.appender.ask(Submit { body }).try_send().await {
            Ok(ticket) => ticket,
            Err(SendError::HandlerError(error)) => return Err(error),
            Err(_) => return Err(not_appended),
        };
        match timeout(self.limit, ticket.decision).await {
            Ok(Ok(decision)) => Ok(decision),
            Ok(Err(_)) => Err(not_appended),
            Err(_) => Err(ProposeError::OutcomeUnknown { id: ticket.id }),
        }
    }

    /// Proposes a record and tells whether it was accepted.
    pub async fn propose_and_confirm(&self, body: RecordBody) -> bool {
        matches!(self.propose(body).await, Ok(decision) if decision.verdict.is_accepted())
    }
}
