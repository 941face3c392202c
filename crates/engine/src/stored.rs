//! What of a job lasts: records that a later owner reads.
//!
//! A job has two records: what the caller sent, written once, and how far it is, written again
//! with each change. Both are `MessagePack` arrays, so field names cost nothing.

use {
    crate::{
        config::Queue,
        endpoint_table::EndpointTable,
        event::EndpointKey,
        job::{JobId, JobSpec, JobState},
        state::{Attempt, Job, Occurrence, Phase, StepRun, Task},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// First character of the key of a record with what the caller sent.
const SPEC_PREFIX: char = 'j';

/// First character of the key of a record that says how far a job is.
const PROGRESS_PREFIX: char = 's';

/// First character of the key of a record of a wave.
const WAVE_PREFIX: char = 'w';

/// First character of the key of a record of a VM.
const VM_PREFIX: char = 'v';

/// A record to store: the newest one with a key lasts, and one without value drops the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value; empty to drop the key.
    pub value: Vec<u8>,
}

/// What a key says of its record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordKind {
    /// What a caller sent.
    Spec(JobId),
    /// How far a job is.
    Progress(JobId),
    /// A wave.
    Wave(u64),
    /// A VM.
    Vm,
}

/// Decodes a key.
#[must_use]
pub fn record_kind(key: &str) -> Option<RecordKind> {
    let (kind, rest) = key.split_once('/')?;
    let mut letters = kind.chars();
    let letter = letters.next()?;
    if letters.next().is_some() {
        return None;
    }
    match letter {
        SPEC_PREFIX => rest.parse().ok().map(RecordKind::Spec),
        PROGRESS_PREFIX => rest.parse().ok().map(RecordKind::Progress),
        WAVE_PREFIX => rest.parse().ok().map(RecordKind::Wave),
        VM_PREFIX => Some(RecordKind::Vm),
        _ => None,
    }
}

/// What the caller sent, as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredSpec {
    /// Queue.
    pub queue: Queue,
    /// What the caller sent.
    pub spec: JobSpec,
    /// Time of day of the hand-in, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// How far a job is, as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredProgress {
    state: JobState,
    next_occurrence: u32,
    endpoints: Vec<(CompactString, SocketAddr)>,
    occurrences: Vec<StoredOccurrence>,
    #[serde(default)]
    account: CompactString,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredOccurrence(u32, Vec<Vec<StoredTask>>);

/// Run, failed runs, whether done, checkpoint, attempts.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredTask(u32, u32, bool, CompactString, Vec<StoredAttempt>);

/// Run, place of the endpoint in the list, whether it was to be stopped.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredAttempt(u32, u32, bool);

impl StoredProgress {
    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Returns the client account; empty for none.
    #[must_use]
    pub fn account(&self) -> &CompactString {
        &self.account
    }
}

/// A wave, as it is stored: the VMs for which maintenance was ordered.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredWave {
    /// VMs whose maintenance was ordered, sorted.
    pub ordered: Vec<CompactString>,
    /// VMs whose maintenance is known to have begun, sorted.
    pub begun: Vec<CompactString>,
    /// Whether every VM has had its maintenance.
    pub is_completed: bool,
    /// Time of day at which the order was read first, in milliseconds since 1970; 0 before that.
    #[serde(default)]
    pub since_ms: u64,
}

/// A VM, as it is stored: when something was ordered for it last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredVm {
    /// Time of day of the order, in milliseconds since 1970.
    pub ordered_ms: u64,
    /// Whether the outcome is known, so that the order cannot be carried out any more.
    #[serde(default)]
    pub is_settled: bool,
    /// Epoch of the owner that gave it.
    #[serde(default)]
    pub epoch: u64,
}

/// Encodes a value; the types of this module always can be.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Decodes a value.
#[must_use]
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

/// Returns the record with what the caller sent.
#[must_use]
pub fn spec_record(job: &Job) -> Record {
    let stored = StoredSpec {
        queue: job.queue.clone(),
        spec: job.spec.clone(),
        accepted_ms: job.accepted_ms,
    };
    Record {
        key: format!("{SPEC_PREFIX}/{}", job.id),
        value: encode(&stored),
    }
}

/// Returns the record that drops what the caller sent.
#[must_use]
pub fn spec_deletion(job: JobId) -> Record {
    Record {
        key: format!("{SPEC_PREFIX}/{job}"),
        value: Vec::new(),
    }
}

/// Returns the record that drops a job.
#[must_use]
pub fn progress_deletion(job: JobId) -> Record {
    Record {
        key: format!("{PROGRESS_PREFIX}/{job}"),
        value: Vec::new(),
    }
}

/// Returns the record that says how far a job is.
#[must_use]
pub fn progress_record(job: &Job, endpoints: &EndpointTable) -> Record {
    let mut names: Vec<(CompactString, SocketAddr)> = Vec::new();
    let mut keys: Vec<EndpointKey> = Vec::new();
    let mut index_of = |key: EndpointKey| {
        let index = keys.iter().position(|&known| known == key);
        let index = index.unwrap_or_else(|| {
            keys.push(key);
            let endpoint = endpoints.get(key);
            names.push((endpoint.id.clone(), endpoint.address()));
            keys.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    };
    let occurrences = job
        .occurrences
        .iter()
        .map(|occurrence| {
            let steps = occurrence.steps.iter().map(|step| {
                let tasks = step.tasks.iter().map(|task| {
                    let attempts = task.attempts.iter().map(|attempt| {
                        StoredAttempt(attempt.run, index_of(attempt.endpoint), attempt.is_stopping)
                    });
                    let attempts = attempts.collect();
                    let checkpoint = task.checkpoint.clone();
                    StoredTask(
                        task.run,
                        task.failed_runs,
                        task.is_done,
                        checkpoint,
                        attempts,
                    )
                });
                tasks.collect()
            });
            StoredOccurrence(occurrence.number, steps.collect())
        })
        .collect();
    let stored = StoredProgress {
        state: job.state,
        next_occurrence: job.next_occurrence,
        endpoints: names,
        occurrences,
        account: job.account.clone(),
    };
    Record {
        key: format!("{PROGRESS_PREFIX}/{}", job.id),
        value: encode(&stored),
    }
}

/// Returns the record of a wave.
#[must_use]
pub fn wave_record(wave: u64, stored: &StoredWave) -> Record {
    Record {
        key: format!("{WAVE_PREFIX}/{wave}"),
        value: encode(stored),
    }
}

/// Returns the record of a VM for which something is ordered.
#[must_use]
pub fn vm_record(name: &str, stored: StoredVm) -> Record {
    Record {
        key: format!("{VM_PREFIX}/{name}"),
        value: encode(&stored),
    }
}

/// Returns the name of the VM in a key.
#[must_use]
pub fn vm_name(key: &str) -> &str {
    key.split_once('/').map_or("", |(_, name)| name)
}

/// Builds a job from its two records.
///
/// `key_of` names an endpoint by its id and address. Runs are taken as inherited: whether they are under way
/// is known only when their endpoints have been asked.
pub fn restore_job(
    id: JobId,
    spec: StoredSpec,
    progress: StoredProgress,
    mut key_of: impl FnMut(&CompactString, SocketAddr) -> EndpointKey,
) -> Job {
    let StoredProgress {
        state,
        next_occurrence,
        endpoints,
        occurrences,
        account,
    } = progress;
    let keys: Vec<EndpointKey> = endpoints
        .iter()
        .map(|(id, address)| key_of(id, *address))
        .collect();
    let restore_attempt = |StoredAttempt(run, index, is_stopping): StoredAttempt| {
        let endpoint = *keys.get(usize::try_from(index).ok()?)?;
        let mut attempt = Attempt::new(run, endpoint, 0);
        attempt.phase = Phase::Inherited;
        attempt.is_stopping = is_stopping;
        attempt.is_stop_stored = is_stopping;
        Some(attempt)
    };
    let restore_task = |StoredTask(run, failed, is_done, checkpoint, attempts): StoredTask| Task {
        run,
        failed_runs: failed,
        is_done,
        checkpoint,
        attempts: attempts.into_iter().filter_map(restore_attempt).collect(),
        ..Task::default()
    };
    let occurrences = occurrences
        .into_iter()
        .map(|StoredOccurrence(number, steps)| Occurrence {
            number,
            steps: steps
                .into_iter()
                .map(|tasks| StepRun {
                    tasks: tasks.into_iter().map(restore_task).collect(),
                })
                .collect(),
        })
        .collect();
    let mut job = Job::new(id, spec.queue, spec.spec, spec.accepted_ms).with_account(account);
    job.state = state;
    job.visible_state = Some(state);
    job.occurrences = occurrences;
    job.next_occurrence = next_occurrence;
    // A job that had ended is written once more, so that its details are dropped.
    job.is_dirty = state.is_final();
    job.is_spec_stored = true;
    job
}
