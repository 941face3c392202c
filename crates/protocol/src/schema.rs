//! Schema of each kind: paths, types, defaults and descriptions of the fields.
//!
//! The resource API, the declaration files and the `OpenAPI` document all use this table, so that a
//! field has the same path, default and errors in each of them.

use crate::resource::Kind;

/// Type of a field.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldType {
    /// Name of a resource, 1 to [`MAX_NAME_CHARS`](crate::MAX_NAME_CHARS) characters.
    Name,
    /// Sorted list of distinct names.
    Names,
    /// Whole number up to 2^32 - 1.
    Count,
    /// Whole number of milliseconds up to 2^53.
    Milliseconds,
    /// Boolean.
    Flag,
    /// One of a set of strings.
    Choice(&'static [&'static str]),
    /// Number of VMs or percentage of a pool's size.
    Amount,
}

/// Default value of a field.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldDefault {
    /// No default; the field is required.
    Required,
    /// Number.
    Number(u64),
    /// Boolean.
    Flag(bool),
    /// String.
    Word(&'static str),
}

/// Field of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Field {
    /// Path, such as `budget.min_available`.
    pub path: &'static str,
    /// Type.
    pub field_type: FieldType,
    /// Default value.
    pub default: FieldDefault,
    /// Human-readable description.
    pub doc: &'static str,
}

const fn field(
    path: &'static str,
    field_type: FieldType,
    default: FieldDefault,
    doc: &'static str,
) -> Field {
    Field {
        path,
        field_type,
        default,
        doc,
    }
}

const NAME: Field = field(
    "name",
    FieldType::Name,
    FieldDefault::Required,
    "Unique name within the kind",
);

const POOL: Field = field(
    "pool",
    FieldType::Name,
    FieldDefault::Required,
    "Pool that it belongs to",
);

const CLASSES: &[&str] = &["urgent", "normal", "batch"];

const ACTIONS: &[&str] = &["reboot"];

const GOALS: &[&str] = &["run", "pause", "abort"];

/// Default retention time of idempotency keys in milliseconds: one day.
const DEFAULT_KEY_KEEP_MS: u64 = 24 * 60 * 60 * 1_000;

const POLICY: &[Field] = &[
    NAME,
    count("weights.roll_out", 1, "Weight of the time a wave takes"),
    count("weights.buffer", 1, "Weight of spare capacity held back"),
    count("weights.moves", 1, "Weight of relocated VMs and jobs"),
    milliseconds(
        "key_keep_ms",
        DEFAULT_KEY_KEEP_MS,
        "How long an idempotency key is kept",
    ),
    count("key_limit", 65_536, "Idempotency keys kept at most"),
];

const TEAM: &[Field] = &[
    NAME,
    count(
        "quota.cores_milli",
        0,
        "Processor quota in thousandths of a core",
    ),
    count("quota.memory_mib", 0, "Memory quota in mebibytes"),
    count("quota.accelerators", 0, "Accelerators at once"),
];

const POOL_FIELDS: &[Field] = &[
    NAME,
    field(
        "size",
        FieldType::Count,
        FieldDefault::Required,
        "Promised number of VMs, the base of percentages",
    ),
    field(
        "budget.min_available",
        FieldType::Amount,
        FieldDefault::Required,
        "VMs that planned work leaves available",
    ),
    count(
        "budget.zones_at_once",
        1,
        "Zones in which VMs may be claimed at the same time",
    ),
];

const VM: &[Field] = &[NAME, POOL];

const SERVICE: &[Field] = &[
    NAME,
    POOL,
    count(
        "slots_per_endpoint",
        8,
        "Requests an endpoint serves at once",
    ),
    count(
        "connections_per_endpoint",
        64,
        "Connections an endpoint accepts",
    ),
    milliseconds(
        "deadline_ms",
        10_000,
        "Deadline of a request that brings none",
    ),
    count(
        "team_rate_per_s",
        0,
        "Requests a second admitted for one team on one node; 0 means no limit",
    ),
];

const JOB: &[Field] = &[
    NAME,
    POOL,
    field(
        "team",
        FieldType::Name,
        FieldDefault::Required,
        "Team whose quota it uses",
    ),
    field(
        "class",
        FieldType::Choice(CLASSES),
        FieldDefault::Word("normal"),
        "Importance",
    ),
    count(
        "demand.cores_milli",
        0,
        "Processor demand in thousandths of a core",
    ),
    count("demand.memory_mib", 0, "Memory demand in mebibytes"),
    count("demand.accelerators", 0, "Accelerators"),
    field(
        "run_time_ms",
        FieldType::Milliseconds,
        FieldDefault::Required,
        "Declared run time",
    ),
    field(
        "checkpoint",
        FieldType::Flag,
        FieldDefault::Flag(false),
        "Whether it can be checkpointed and resumed elsewhere",
    ),
    count("max_attempts", 3, "Starts before the job is given up"),
    field(
        "cancelled",
        FieldType::Flag,
        FieldDefault::Flag(false),
        "Whether the operator wants it cancelled",
    ),
];

const WAVE: &[Field] = &[
    NAME,
    field(
        "pools",
        FieldType::Names,
        FieldDefault::Required,
        "Pools whose VMs it maintains",
    ),
    field(
        "action",
        FieldType::Choice(ACTIONS),
        FieldDefault::Word("reboot"),
        "What is done with each VM",
    ),
    field(
        "goal",
        FieldType::Choice(GOALS),
        FieldDefault::Word("run"),
        "What the wave does now",
    ),
    field(
        "due_before_ms",
        FieldType::Milliseconds,
        FieldDefault::Required,
        "VMs maintained before this time are due, in milliseconds since the epoch",
    ),
    milliseconds(
        "deadline_ms",
        0,
        "When it should be complete, in milliseconds since the epoch; 0 means no deadline",
    ),
];

const fn count(path: &'static str, default: u64, doc: &'static str) -> Field {
    field(path, FieldType::Count, FieldDefault::Number(default), doc)
}

const fn milliseconds(path: &'static str, default: u64, doc: &'static str) -> Field {
    field(
        path,
        FieldType::Milliseconds,
        FieldDefault::Number(default),
        doc,
    )
}

/// Returns the fields of a kind, starting with the name.
#[must_use]
pub fn fields(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::Policy => POLICY,
        Kind::Team => TEAM,
        Kind::Pool => POOL_FIELDS,
        Kind::Vm => VM,
        Kind::Service => SERVICE,
        Kind::Job => JOB,
        Kind::Wave => WAVE,
    }
}
