//! What callers hand in: jobs, their steps, and the names of their tasks.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Length of a job's id in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Id of a job, as its caller chose it: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "[u8; ID_DIGITS]", try_from = "[u8; ID_DIGITS]")]
pub struct JobId([u8; ID_DIGITS]);

impl JobId {
    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A name that is none of a job or task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseNameError;

impl fmt::Display for ParseNameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("no name of a job or task")
    }
}

impl TryFrom<[u8; ID_DIGITS]> for JobId {
    type Error = ParseNameError;

    fn try_from(digits: [u8; ID_DIGITS]) -> Result<Self, ParseNameError> {
        if digits.iter().all(u8::is_ascii_hexdigit) {
            Ok(Self(digits))
        } else {
            Err(ParseNameError)
        }
    }
}

impl From<JobId> for [u8; ID_DIGITS] {
    fn from(id: JobId) -> Self {
        id.0
    }
}

impl FromStr for JobId {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        let digits: [u8; ID_DIGITS] = text.as_bytes().try_into().map_err(|_| ParseNameError)?;
        Self::try_from(digits)
    }
}

/// One task: a job's step, the occurrence of the job, and the place in the step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRef {
    /// Job.
    pub job: JobId,
    /// Occurrence of a job that repeats, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u16,
    /// Place in the step, from 0.
    pub index: u16,
}

impl TaskRef {
    /// Tells whether another task belongs to the same step of the same occurrence.
    #[must_use]
    pub fn is_sibling(&self, other: &Self) -> bool {
        self.job == other.job && self.occurrence == other.occurrence && self.step == other.step
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskRef {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(ParseNameError);
        let task = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| ParseNameError)?,
            step: next()?.parse().map_err(|_| ParseNameError)?,
            index: next()?.parse().map_err(|_| ParseNameError)?,
        };
        if parts.next().is_some() {
            return Err(ParseNameError);
        }
        Ok(task)
    }
}

/// Amounts of an endpoint's room.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Tells whether `wanted` fits in.
    #[must_use]
    pub fn can_fit(&self, wanted: &Self) -> bool {
        self.cpu_millis >= wanted.cpu_millis
            && self.memory_mb >= wanted.memory_mb
            && self.gpus >= wanted.gpus
    }

    /// Adds an amount.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Returns so many times the amount.
    #[must_use]
    pub fn scaled(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * count,
            memory_mb: self.memory_mb * count,
            gpus: self.gpus * count,
        }
    }

    /// Returns what is left after `other` was taken, or nothing of an amount that does not suffice.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties that callers set"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Room that each task asks for.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Caller's rough estimate of a task's duration, in milliseconds.
    pub estimated_ms: u64,
    /// Steps of which every task must be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether tasks write checkpoints as they go.
    pub saves_progress: bool,
    /// Whether the tasks work only when all of one run are present.
    pub gang: bool,
    /// Whether the tasks are slower when they run in more than one rack.
    pub same_rack: bool,
    /// Label that the endpoint must have; empty for any.
    pub required_label: CompactString,
    /// Rack in which the data is; empty for none. Elsewhere tasks are slower.
    pub data_rack: CompactString,
    /// Tasks of the step on one endpoint at most; 0 for any number.
    pub max_per_endpoint: u16,
    /// Whether copies of a task may run at once.
    pub concurrent_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Bound of the tail of response times of a serving task, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only what other tasks leave unused.
    #[serde(rename = "fills")]
    pub filler: bool,
    /// Tasks that may be away at once by orders of ours; 0 for any number.
    pub max_unavailable: u16,
}

impl StepSpec {
    /// Returns the room that a task takes of its endpoint.
    #[must_use]
    pub fn reserved_resources(&self) -> Resources {
        if self.filler {
            return Resources {
                cpu_millis: 0,
                ..self.resources
            };
        }
        self.resources
    }

    /// Tells whether the tasks serve users of their own.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.target_ms > 0
    }
}

/// What a caller hands in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text that endpoints get with each task.
    pub payload: CompactString,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Times that the steps run; 0 for once, at once.
    pub repeat_count: u32,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_due_ms: u64,
}

impl JobSpec {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970; 0 for at once.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.first_due_ms + u64::from(occurrence) * self.interval_ms
    }

    /// Returns the longest chain of estimated work, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .depends_on
                .iter()
                .filter_map(|&before| ends.get(usize::from(before)))
                .max();
            ends.push(start.copied().unwrap_or_default() + step.estimated_ms);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns why the job cannot be taken, if so.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("steps: a job needs one or more");
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("count: a step needs one task or more");
            }
            if step
                .depends_on
                .iter()
                .any(|&before| usize::from(before) >= index)
            {
                return Some("depends_on: only earlier steps");
            }
        }
        None
    }
}

/// What a caller is told of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// Accepted, and no task has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task has ended as done.
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

impl JobState {
    /// Tells whether nothing more happens.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
