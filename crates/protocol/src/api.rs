//! Requests and responses of the resource API.

use {
    crate::{
        record::WriterId,
        resource::{Resource, ResourceRef},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Response header with whether the node is known to be current: `true` or `false`.
pub const CURRENT_HEADER: &str = "x-lynxwheel-current";

/// Response header with the log offset up to which the node has folded.
pub const REVISION_HEADER: &str = "x-lynxwheel-revision";

/// Name of the condition that holds when the actual state matches the declaration.
pub const READY_CONDITION: &str = "Ready";

/// Name of the condition that holds when a job has ended, successfully or not.
pub const FINAL_CONDITION: &str = "Final";

/// Condition of a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// Name, such as `Ready`.
    pub name: String,
    /// Whether it holds.
    pub holds: bool,
    /// Human-readable reason.
    pub reason: String,
}

/// Resource with its declaration and its status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceView {
    /// Declaration.
    #[serde(flatten)]
    pub resource: Resource,
    /// Log offset of the last accepted declaration.
    pub revision: u64,
    /// Log offset of the state from which the status was computed.
    pub observed_revision: u64,
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Status values specific to the kind.
    pub status: serde_json::Value,
}

/// Response to a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    /// Resource that was written.
    pub reference: ResourceRef,
    /// New revision; the current one if nothing was changed.
    pub revision: u64,
    /// Whether the write was a dry run, which changes nothing.
    pub dry_run: bool,
    /// Operation for looking up the outcome of the write; absent for a dry run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<OperationId>,
}

/// Identifier of a write, valid on every node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct OperationId(pub WriterId);

impl fmt::Display for OperationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.0.incarnation, self.0.sequence)
    }
}

impl From<OperationId> for String {
    fn from(id: OperationId) -> Self {
        id.to_string()
    }
}

impl FromStr for OperationId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('-').and_then(|(incarnation, sequence)| {
            Some(WriterId {
                incarnation: incarnation.parse().ok()?,
                sequence: sequence.parse().ok()?,
            })
        });
        parsed
            .map(Self)
            .ok_or("an operation is INCARNATION-SEQUENCE, two whole numbers")
    }
}

impl TryFrom<String> for OperationId {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Outcome of a write as known to a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OperationOutcome {
    /// Accepted.
    Accepted {
        /// Log offset, which is the new revision of the resource.
        offset: u64,
    },
    /// Rejected; nothing was changed.
    Rejected {
        /// Log offset of the record.
        offset: u64,
        /// Human-readable reason.
        reason: String,
    },
    /// Not in the log up to the offset that this node has folded; it may still be appended.
    NotSeen,
    /// Too old for its outcome to be kept; read the resource instead.
    TooOld,
}

/// Response with the outcome of an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperationView {
    /// Operation.
    pub operation: OperationId,
    /// Resource that was written, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reference: Option<ResourceRef>,
    /// Outcome.
    #[serde(flatten)]
    pub outcome: OperationOutcome,
    /// Log offset up to which this node has folded.
    pub observed_revision: u64,
    /// Whether this node is known to be current.
    pub current: bool,
}

/// List of recent operations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperationList {
    /// Operations, most recent first.
    pub items: Vec<OperationView>,
}

/// Page of a list of resources.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceList {
    /// Log offset of the list, from which a watch can start.
    pub revision: u64,
    /// Whether the node is known to be current.
    pub current: bool,
    /// Resources, sorted by name.
    pub items: Vec<ResourceView>,
    /// Continuation token of the next page; absent on the last page.
    #[serde(default, rename = "continue", skip_serializing_if = "Option::is_none")]
    pub continue_at: Option<String>,
}

/// Incomplete move of a VM from one pool to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveView {
    /// VM to move.
    pub vm: crate::names::VmName,
    /// Pool to which the VM belongs until it is handed over.
    pub from: crate::names::PoolName,
    /// Target pool.
    pub to: crate::names::PoolName,
    /// Whether the VM has been claimed for the move and counts against the pool's budget.
    pub claimed: bool,
}

/// Explanation of the current state of a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplanationView {
    /// Resource.
    pub reference: ResourceRef,
    /// Log offset of the explained state.
    pub observed_revision: u64,
    /// Whether the node is known to be current.
    pub current: bool,
    /// Human-readable explanation.
    pub explanation: String,
}

/// List of incomplete moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveList {
    /// Log offset of the list.
    pub revision: u64,
    /// Whether the node is known to be current.
    pub current: bool,
    /// Moves, sorted by VM.
    pub items: Vec<MoveView>,
}

/// Reason for which a request failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemReason {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or unknown.
    Unauthenticated,
    /// The role of the token does not permit the request.
    Forbidden,
    /// The path or resource does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The declaration has invalid fields.
    Invalid,
    /// The resource does not have the expected revision.
    RevisionConflict,
    /// Other resources depend on it.
    StillNeeded,
    /// The current state of the fleet does not permit it.
    Rejected,
    /// Changes since the revision are no longer kept; list again.
    TooOld,
    /// This node has not folded up to the requested revision; retry later or at another node.
    Behind,
    /// Too many watches are open on this node.
    TooManyWatches,
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The node has no memory left for the body; nothing was applied.
    NoMemory,
    /// The log is unavailable; nothing was applied.
    LogUnavailable,
    /// The write may or may not take effect; look up the operation.
    OutcomeUnknown,
}

/// Error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Reason.
    pub reason: ProblemReason,
    /// Human-readable description.
    pub detail: Box<str>,
    /// All invalid fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
    /// Resources that depend on the resource to be withdrawn.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needed_by: Vec<ResourceRef>,
    /// Current revision of the resource; 0 if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Operation whose outcome can be looked up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<OperationId>,
    /// Delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
}

impl Problem {
    /// Creates a problem with a reason and a description.
    #[must_use]
    pub fn new(reason: ProblemReason, detail: impl Into<Box<str>>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            errors: Vec::new(),
            needed_by: Vec::new(),
            revision: None,
            operation: None,
            retry_after_ms: None,
        }
    }
}

/// Invalid field of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldError {
    /// Path of the field, such as `budget.min_available`.
    pub field: String,
    /// Human-readable reason.
    pub reason: String,
}

/// Event of a watch stream, sent as one line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum WatchEvent {
    /// The resource was declared or its status changed.
    Changed {
        /// Current resource.
        view: Box<ResourceView>,
    },
    /// The resource was withdrawn.
    Deleted {
        /// Resource that was withdrawn.
        reference: ResourceRef,
        /// Log offset of the withdrawal.
        revision: u64,
    },
    /// All changes up to this offset have been sent.
    Bookmark {
        /// Log offset.
        revision: u64,
        /// Whether the node is known to be current.
        current: bool,
    },
    /// The stream ends; later changes are not sent.
    Ended {
        /// Reason.
        reason: WatchEndReason,
        /// Log offset up to which all changes have been sent.
        revision: u64,
    },
}

/// Reason for which a watch stream ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchEndReason {
    /// The node is shutting down; list again at another node.
    Stopping,
    /// Changes that were not sent yet are no longer kept; list again.
    TooOld,
}
