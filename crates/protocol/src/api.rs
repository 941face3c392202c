//! Documents of the resource API.

use {
    crate::{
        record::WriterId,
        resource::{Resource, ResourceRef},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Header that tells whether the node knows that it is current.
pub const CURRENT_HEADER: &str = "x-lynxwheel-current";

/// Header that names the offset up to which the node has folded.
pub const REVISION_HEADER: &str = "x-lynxwheel-revision";

/// Condition that holds when what was declared is so.
pub const READY: &str = "Ready";

/// Condition of a job that has its final answer, whether or not it is the one wanted.
pub const FINAL: &str = "Final";

/// One thing that holds or does not hold of a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// What is told, such as `Ready`.
    pub name: String,
    /// Whether it holds.
    pub holds: bool,
    /// Why, for people.
    pub reason: String,
}

/// A resource as operators see it: what is declared beside what is so.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceView {
    /// What is declared.
    #[serde(flatten)]
    pub resource: Resource,
    /// Offset of its last accepted declaration.
    pub revision: u64,
    /// Offset up to which the status was observed.
    pub observed_revision: u64,
    /// What holds.
    pub conditions: Vec<Condition>,
    /// Figures of the kind.
    pub status: serde_json::Value,
}

/// Answer to a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    /// What was written.
    pub reference: ResourceRef,
    /// Its new revision; the present one when nothing was changed.
    pub revision: u64,
    /// Whether nothing was changed because it was a trial.
    pub dry_run: bool,
    /// Operation by which the write can be looked up; absent for a trial.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<OperationId>,
}

/// Names one write of one node's run, on every node.
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

/// What a node knows of a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OperationOutcome {
    /// Accepted.
    Accepted {
        /// Offset, the revision of what was written.
        offset: u64,
    },
    /// Rejected; nothing was changed.
    Rejected {
        /// Offset of its record.
        offset: u64,
        /// Why, for people.
        reason: String,
    },
    /// Not in the log as far as this node has folded; it may still arrive.
    NotSeen,
    /// So long ago that its outcome is no longer kept; look at the resource itself.
    TooOld,
}

/// Answer about an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperationView {
    /// Operation.
    pub operation: OperationId,
    /// Resource that it wrote, if it is remembered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reference: Option<ResourceRef>,
    /// What became of it.
    #[serde(flatten)]
    pub outcome: OperationOutcome,
    /// Offset up to which this node has folded.
    pub observed_revision: u64,
    /// Whether this node knows that it has seen everything up to a moment ago.
    pub current: bool,
}

/// The latest operations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperationList {
    /// Operations, the last one first.
    pub items: Vec<OperationView>,
}

/// Page of a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceList {
    /// Offset at which the page was made; where a watch starts.
    pub revision: u64,
    /// Whether the node knows that it has seen everything up to a moment ago.
    pub current: bool,
    /// Resources by name.
    pub items: Vec<ResourceView>,
    /// Where the next page starts; absent on the last one.
    #[serde(default, rename = "continue", skip_serializing_if = "Option::is_none")]
    pub continue_at: Option<String>,
}

/// A VM's move from one pool to another that is not yet complete.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveView {
    /// VM.
    pub vm: crate::names::VmName,
    /// Pool that it belongs to until the hand-over.
    pub from: crate::names::PoolName,
    /// Pool that it is to belong to.
    pub to: crate::names::PoolName,
    /// Whether the VM is charged to the budget for the move already.
    pub claimed: bool,
}

/// Why a resource stands where it does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplanationView {
    /// Resource.
    pub reference: ResourceRef,
    /// Offset of the state that was explained.
    pub observed_revision: u64,
    /// Whether the node knows that it has seen everything up to a moment ago.
    pub current: bool,
    /// Reason, for people.
    pub explanation: String,
}

/// List of moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveList {
    /// Offset at which the list was made.
    pub revision: u64,
    /// Whether the node knows that it has seen everything up to a moment ago.
    pub current: bool,
    /// Moves by VM.
    pub items: Vec<MoveView>,
}

/// Why a request was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemReason {
    /// The request itself is malformed.
    BadRequest,
    /// No token, or one that is not known.
    Unauthenticated,
    /// The token's role does not allow it.
    Forbidden,
    /// No such path or resource.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The declaration has bad fields.
    Invalid,
    /// The resource has another revision than expected.
    RevisionConflict,
    /// Other resources need it.
    StillNeeded,
    /// The fleet's state forbids it now.
    Rejected,
    /// Not every change since the revision can be told; list again.
    TooOld,
    /// This node has not folded as far as the revision asked for; come back or ask another.
    Behind,
    /// Too many watches are open on this node.
    TooManyWatches,
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The log takes no records now; nothing was applied.
    LogUnavailable,
    /// The write may or may not take effect; look the operation up.
    OutcomeUnknown,
}

/// Answer to a request that was not carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Why.
    pub reason: ProblemReason,
    /// Why, for people.
    pub detail: Box<str>,
    /// Every bad field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
    /// Resources that still need the one to be withdrawn.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needed_by: Vec<ResourceRef>,
    /// Revision that the resource has; 0 when it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Operation to look up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<OperationId>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
}

impl Problem {
    /// Describes a problem.
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

/// One bad field of a declaration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FieldError {
    /// Path of the field, such as `budget.min_available`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// One line of a watch stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum WatchEvent {
    /// Declared, or its status changed.
    Changed {
        /// The resource now.
        view: Box<ResourceView>,
    },
    /// Withdrawn.
    Deleted {
        /// What was withdrawn.
        reference: ResourceRef,
        /// Offset of its withdrawal.
        revision: u64,
    },
    /// Everything up to this offset has been told.
    Bookmark {
        /// Offset.
        revision: u64,
        /// Whether the node knows that it has seen everything up to a moment ago.
        current: bool,
    },
    /// The stream ends; later changes are not told.
    Ended {
        /// Why.
        reason: WatchEndReason,
        /// Offset up to which everything has been told.
        revision: u64,
    },
}

/// Why a watch stream ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchEndReason {
    /// The node stops; list again at another node.
    Stopping,
    /// Changes that were not told yet are no longer kept; list again.
    TooOld,
}
