//! Documents of the resource API.

use {
    crate::resource::{Resource, ResourceRef},
    serde::{Deserialize, Serialize},
};

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
pub struct WriteAnswer {
    /// What was written.
    pub reference: ResourceRef,
    /// Its new revision.
    pub revision: u64,
    /// Whether nothing was changed because it was a trial.
    pub dry_run: bool,
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
    },
}
