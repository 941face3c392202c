//! Jobs as callers submit them: steps, tasks and resources.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Maximum number of tasks of one occurrence of a job, and of all its open occurrences together unless
/// there is only one. An owner holds each in memory.
pub const MAX_OPEN_TASKS: usize = 100_000;

/// Number of hexadecimal digits of a job id.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by the caller: 16 hexadecimal digits.
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

/// Error of parsing a job id or a task reference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseNameError;

impl fmt::Display for ParseNameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("invalid job id or task reference")
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

/// Identifies a task by its job, occurrence, step and index.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRef {
    /// Job.
    pub job: JobId,
    /// Occurrence of a repeating job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u16,
    /// Index within the step, from 0.
    pub index: u16,
}

impl TaskRef {
    /// Returns whether both tasks belong to the same step of the same occurrence.
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

/// Amounts of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether `wanted` fits into this amount.
    #[must_use]
    pub fn can_fit(&self, wanted: &Self) -> bool {
        self.cpu_millis >= wanted.cpu_millis
            && self.memory_mb >= wanted.memory_mb
            && self.gpus >= wanted.gpus
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Returns the amount multiplied by `count`.
    #[must_use]
    pub fn scaled(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * count,
            memory_mb: self.memory_mb * count,
            gpus: self.gpus * count,
        }
    }

    /// Subtracts another amount, with each dimension saturating at 0.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// Step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties that callers set"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task requires.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Caller's estimate of a task's duration, in milliseconds.
    pub estimated_ms: u64,
    /// Steps that must be done before this one starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether tasks write checkpoints.
    pub saves_progress: bool,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Whether tasks run slower when spread over several racks.
    pub same_rack: bool,
    /// Label that an endpoint must have; empty for any endpoint.
    pub required_label: CompactString,
    /// Rack that holds the data; empty for none. Tasks run slower in other racks.
    pub data_rack: CompactString,
    /// Maximum number of tasks of the step on one endpoint; 0 means unlimited.
    pub max_per_endpoint: u16,
    /// Whether several copies of a task may run at the same time.
    pub concurrent_copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Limit of the tail latency of a serving task, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether tasks use only the processor time that other tasks leave idle.
    #[serde(rename = "fills")]
    pub filler: bool,
    /// Maximum number of tasks interrupted at the same time by the fleet; 0 means unlimited.
    pub max_unavailable: u16,
}

impl StepSpec {
    /// Returns why the number of tasks is invalid, or `None` if it is valid; `job_tasks` is the
    /// number of tasks of the job up to this step.
    #[must_use]
    pub fn count_error(&self, job_tasks: usize) -> Option<&'static str> {
        if self.count == 0 {
            return Some("count: a step needs one task or more");
        }
        (job_tasks > MAX_OPEN_TASKS)
            .then_some("count: the steps of a job have at most 100000 tasks")
    }

    /// Returns the memory of the step, in bytes.
    fn memory_bytes(&self) -> usize {
        let texts = [&self.required_label, &self.data_rack, &self.image];
        let text_bytes: usize = texts.iter().map(|text| text.len()).sum();
        size_of::<Self>() + size_of_val(self.depends_on.as_slice()) + text_bytes
    }

    /// Returns the resources that a task reserves on its endpoint.
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

    /// Returns whether tasks serve requests under a latency target.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.target_ms > 0
    }
}

/// Job as a caller submits it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text passed to the endpoint with each task.
    pub payload: CompactString,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for a single one that starts immediately.
    pub repeat_count: u32,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_due_ms: u64,
}

impl JobSpec {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Returns the due time of an occurrence, in milliseconds since the Unix epoch; 0 for
    /// immediately.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.first_due_ms + u64::from(occurrence) * self.interval_ms
    }

    /// Returns the memory of the job, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::memory_bytes);
        size_of::<Self>() + self.payload.len() + steps.sum::<usize>()
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn task_count(&self) -> usize {
        let counts = self.steps.iter().map(|step| usize::from(step.count));
        counts.sum()
    }

    /// Returns the length of the critical path by the estimates of the steps, in milliseconds.
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

    /// Returns why the job is invalid, or `None` if it is valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("steps: a job needs one or more");
        }
        if u16::try_from(self.steps.len()).is_err() {
            return Some("steps: a job has at most 65535");
        }
        let task_count = self.task_count();
        for (index, step) in self.steps.iter().enumerate() {
            if let Some(error) = step.count_error(task_count) {
                return Some(error);
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

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// Accepted; no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has failed as many times as its queue allows.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

impl JobState {
    /// Returns whether the state never changes again.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
