//! Proposes records and waits for their outcomes.

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

/// Suggested retry delay when a proposal is rejected locally, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Outcome of a proposal that was appended and folded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProposalOutcome {
    /// Identity of the record.
    pub id: WriterId,
    /// Offset of the record in the log.
    pub offset: u64,
    /// Verdict of the fold.
    pub verdict: Verdict,
}

/// Error of a proposal without an outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// The record was not appended and never will be.
    NotAppended {
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The record may have been appended, or may still be.
    OutcomeUnknown {
        /// Identity of the record, for looking up its outcome later.
        id: WriterId,
    },
}

impl fmt::Display for ProposeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAppended { retry_after_ms } => {
                write!(
                    formatter,
                    "the log accepts no records; retry in {retry_after_ms} ms"
                )
            }
            Self::OutcomeUnknown { id } => write!(
                formatter,
                "the outcome of record {}-{} is unknown",
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
    outcome_timeout: Duration,
    divergence: Arc<Divergence>,
}

impl Proposer {
    pub(crate) fn new(
        appender: ActorRef<Appender>,
        outcome_timeout: Duration,
        divergence: Arc<Divergence>,
    ) -> Self {
        Self {
            appender,
            outcome_timeout,
            divergence,
        }
    }

    /// Proposes a record and waits until the fold has decided on it.
    ///
    /// # Errors
    ///
    /// Returns an error when the record was not appended, or when its outcome is not known within
    /// the timeout.
    pub async fn propose(&self, body: RecordBody) -> Result<ProposalOutcome, ProposeError> {
        let not_appended = ProposeError::NotAppended {
            retry_after_ms: RETRY_AFTER_MS,
        };
        if self.divergence.has_diverged() {
            return Err(not_appended);
        }
        let submission = match self.appender.ask(Submit { body }).try_send().await {
            Ok(submission) => submission,
            Err(SendError::HandlerError(error)) => return Err(error),
            Err(_) => return Err(not_appended),
        };
        match timeout(self.outcome_timeout, submission.outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(_)) => Err(not_appended),
            Err(_) => Err(ProposeError::OutcomeUnknown { id: submission.id }),
        }
    }

    /// Proposes a record and returns whether it was accepted.
    pub async fn propose_and_confirm(&self, body: RecordBody) -> bool {
        matches!(self.propose(body).await, Ok(outcome) if outcome.verdict.is_accepted())
    }
}
