//! Errors of commands and their exit codes.

use {
    crate::declarations::DeclarationError,
    lynxwheel_protocol::{OperationId, Problem, ProblemReason, ResourceRef},
    lynxwheel_transport::TransportError,
    std::{error, fmt, net::SocketAddr},
};

/// Description of the exit codes, which all commands share.
pub const EXIT_CODES: &str = "Exit codes: 0 done; 1 refused; 2 bad command line; 3 bad declarations or \
     token; 4 no server answered or the log takes no records; 5 outcome of a write unknown; 6 \
     another operator was faster; 7 not ready in time, or never will be; 8 diff found differences";

/// Error of a command.
#[derive(Debug)]
pub enum CtlError {
    /// The declarations have errors; nothing was applied.
    Declarations(Vec<DeclarationError>),
    /// The token, the servers or the request are not valid; nothing was sent.
    InvalidSetup {
        /// Reason.
        reason: String,
    },
    /// No server responded; a write was not sent.
    Unreachable {
        /// Last error.
        source: TransportError,
    },
    /// A write was sent without a response; it may or may not take effect.
    NoResponse {
        /// Error of the connection.
        source: TransportError,
    },
    /// The server refused the request.
    Refused {
        /// Request, such as `get pool/maps`.
        action: String,
        /// Problem that the server reported.
        problem: Box<Problem>,
    },
    /// The response does not conform to the API.
    InvalidResponse {
        /// Server.
        peer: SocketAddr,
        /// Reason.
        reason: String,
    },
    /// Some resources were applied before one failed.
    ApplyInterrupted {
        /// Applied resources.
        applied: Vec<ResourceRef>,
        /// Resource that failed.
        failed: ResourceRef,
        /// Resources after the failed one, which were not applied.
        not_applied: Vec<ResourceRef>,
        /// Error of the failed resource.
        cause: Box<Self>,
    },
    /// A resource is not ready.
    NotReady {
        /// Resource.
        reference: ResourceRef,
        /// Reason.
        reason: String,
    },
    /// The files and the fleet differ.
    Differs {
        /// Differences, in readable form.
        text: String,
    },
}

impl CtlError {
    /// Returns the exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { problem, .. } => match problem.reason {
                ProblemReason::RevisionConflict => 6,
                ProblemReason::Behind
                | ProblemReason::LogUnavailable
                | ProblemReason::NoMemory
                | ProblemReason::TooManyWatches => 4,
                ProblemReason::OutcomeUnknown => 5,
                _ => 1,
            },
            Self::InvalidResponse { .. } => 1,
            Self::Declarations(_) | Self::InvalidSetup { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::NoResponse { .. } => 5,
            Self::ApplyInterrupted { cause, .. } => cause.exit_code(),
            Self::NotReady { .. } => 7,
            Self::Differs { .. } => 8,
        }
    }

    /// Returns the operation to look up when the outcome of a write is unknown.
    #[must_use]
    pub fn operation(&self) -> Option<OperationId> {
        match self {
            Self::Refused { problem, .. } => problem.operation,
            _ => None,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Declarations(errors) => {
                for error in errors {
                    writeln!(formatter, "{error}")?;
                }
                write!(formatter, "{} mistakes, nothing was applied", errors.len())
            }
            Self::InvalidSetup { reason } => write!(formatter, "{reason}"),
            Self::Unreachable { source } => write!(formatter, "no server answered: {source}"),
            Self::NoResponse { source } => write!(
                formatter,
                "sent, but no answer came, so it may or may not take effect: {source}\n\
                 lynxctl operation lists the latest writes"
            ),
            Self::Refused { action, problem } => write_refusal(formatter, action, problem),
            Self::InvalidResponse { peer, reason } => {
                write!(formatter, "the answer of {peer} cannot be read: {reason}")
            }
            Self::ApplyInterrupted {
                applied,
                failed,
                not_applied,
                cause,
            } => {
                for reference in applied {
                    writeln!(formatter, "applied      {reference}")?;
                }
                writeln!(formatter, "stopped at   {failed}: {cause}")?;
                for reference in not_applied {
                    writeln!(formatter, "not applied  {reference}")?;
                }
                write!(formatter, "run it again to go on")
            }
            Self::NotReady { reference, reason } => {
                write!(formatter, "{reference} is not ready: {reason}")
            }
            Self::Differs { text } => write!(formatter, "{text}"),
        }
    }
}

/// Writes a problem with its field errors, dependents and retry delay.
fn write_refusal(
    formatter: &mut fmt::Formatter<'_>,
    action: &str,
    problem: &Problem,
) -> fmt::Result {
    write!(formatter, "{action}: {}", problem.detail)?;
    for error in &problem.errors {
        write!(formatter, "\n  {}: {}", error.field, error.reason)?;
    }
    for reference in &problem.needed_by {
        write!(formatter, "\n  needed by {reference}")?;
    }
    if let Some(retry_after_ms) = problem.retry_after_ms {
        write!(formatter, "\n  come back in {retry_after_ms} ms")?;
    }
    Ok(())
}

impl error::Error for CtlError {}
