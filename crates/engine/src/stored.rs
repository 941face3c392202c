//! Records that a later owner reads.
//!
//! A job has two records: its description, written once, and its progress, written with each
//! change. Both are `MessagePack` arrays without field names. A job with tasks under which
//! endpoints have crashed has a third one, see [`crate::crash_history`], and a job that was
//! cancelled before its submission only one of its own, see [`crate::early_cancels`].

use {
    crate::{
        config::Queue,
        endpoint_table::EndpointTable,
        event::EndpointKey,
        job::{JobId, JobSpec, JobState},
        state::{Attempt, Job, LostRun, Occurrence, Phase, StepRun, StopPhase, Task},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Key prefix of job descriptions.
const SPEC_PREFIX: char = 'j';

/// Key prefix of job progress.
const PROGRESS_PREFIX: char = 's';

/// Key prefix of waves.
const WAVE_PREFIX: char = 'w';

/// Key prefix of VMs.
const VM_PREFIX: char = 'v';

/// Key prefix of crash histories of jobs.
const CRASH_HISTORY_PREFIX: char = 'c';

/// Key prefix of jobs that were cancelled before they were submitted.
const EARLY_CANCEL_PREFIX: char = 'e';

/// A record to store. The latest record of a key is kept, and one without a value deletes the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value; empty to delete the key.
    pub value: Vec<u8>,
}

/// Kind of a record, with the id from its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordKind {
    /// Description of a job.
    Spec(JobId),
    /// Progress of a job.
    Progress(JobId),
    /// A wave.
    Wave(u64),
    /// A VM.
    Vm,
    /// Crash history of a job.
    CrashHistory(JobId),
    /// A job that was cancelled before it was submitted.
    EarlyCancel(JobId),
}

/// Parses the key of a record.
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
        CRASH_HISTORY_PREFIX => rest.parse().ok().map(RecordKind::CrashHistory),
        EARLY_CANCEL_PREFIX => rest.parse().ok().map(RecordKind::EarlyCancel),
        _ => None,
    }
}

/// Stored description of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredSpec {
    /// Queue.
    pub queue: Queue,
    /// Job description.
    pub spec: JobSpec,
    /// Wall-clock time of submission, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// Stored progress of a job.
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

/// Run number, failed runs, whether done, checkpoint, attempts, crashes.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredTask(
    u32,
    u32,
    bool,
    CompactString,
    Vec<StoredAttempt>,
    #[serde(default, skip_serializing_if = "StoredCrashes::is_empty")] StoredCrashes,
);

/// Number of crashed endpoints, indexes of those that may have crashed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct StoredCrashes(u32, Vec<u32>);

impl StoredCrashes {
    fn is_empty(&self) -> bool {
        self.0 == 0 && self.1.is_empty()
    }
}

/// Run number, index of the endpoint in the list, whether it is to be stopped.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredAttempt(u32, u32, bool);

impl StoredProgress {
    /// Returns the state of the job.
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

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredWave {
    /// VMs whose maintenance was ordered, sorted.
    pub ordered: Vec<CompactString>,
    /// VMs whose maintenance has begun, sorted.
    pub begun: Vec<CompactString>,
    /// Whether maintenance of every VM has begun.
    pub is_completed: bool,
    /// Wall-clock time at which the order was first read, in milliseconds since the Unix epoch; 0
    /// before that.
    #[serde(default)]
    pub since_ms: u64,
}

/// Stored time and outcome of the last order for a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredVm {
    /// Wall-clock time of the order, in milliseconds since the Unix epoch.
    pub ordered_ms: u64,
    /// Whether the outcome is known, so that the order can no longer take effect.
    #[serde(default)]
    pub is_settled: bool,
    /// Epoch of the owner that gave the order.
    #[serde(default)]
    pub epoch: u64,
}

/// Encodes a value, which cannot fail for the types of this module.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Decodes a value.
#[must_use]
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

/// Returns the record of a job's description.
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

/// Returns the record that deletes a job's description.
#[must_use]
pub fn spec_deletion(job: JobId) -> Record {
    Record {
        key: format!("{SPEC_PREFIX}/{job}"),
        value: Vec::new(),
    }
}

/// Returns the record that deletes a job's progress.
#[must_use]
pub fn progress_deletion(job: JobId) -> Record {
    Record {
        key: format!("{PROGRESS_PREFIX}/{job}"),
        value: Vec::new(),
    }
}

/// Returns the record of a job's progress.
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
                        StoredAttempt(
                            attempt.run,
                            index_of(attempt.endpoint),
                            attempt.is_stopping(),
                        )
                    });
                    let attempts = attempts.collect();
                    let lost_on = task.lost_runs.iter().map(|lost| index_of(lost.endpoint));
                    let crashes = StoredCrashes(task.crashes, lost_on.collect());
                    let checkpoint = task.checkpoint.clone();
                    StoredTask(
                        task.run,
                        task.failed_runs,
                        task.is_done,
                        checkpoint,
                        attempts,
                        crashes,
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

/// Returns the record of a job's crash history; an empty value deletes it.
#[must_use]
pub fn crash_history_record(job: JobId, value: Vec<u8>) -> Record {
    Record {
        key: format!("{CRASH_HISTORY_PREFIX}/{job}"),
        value,
    }
}

/// Returns the record of a job that was cancelled before it was submitted; an empty value deletes
/// it.
#[must_use]
pub fn early_cancel_record(job: JobId, value: Vec<u8>) -> Record {
    Record {
        key: format!("{EARLY_CANCEL_PREFIX}/{job}"),
        value,
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

/// Returns the record of a VM's last order.
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
/// `key_of` returns the key of an endpoint by its id and address. All runs are restored as
/// inherited until their endpoints have reported. Tasks after crashes wait for an empty endpoint
/// until `isolate_until_ms` on the monotonic clock.
pub fn restore_job(
    id: JobId,
    spec: StoredSpec,
    progress: StoredProgress,
    isolate_until_ms: u64,
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
    let key_at = |index: u32| keys.get(usize::try_from(index).ok()?).copied();
    let restore_attempt = |StoredAttempt(run, index, is_stopping): StoredAttempt| {
        let endpoint = key_at(index)?;
        let mut attempt = Attempt::new(run, endpoint, 0);
        attempt.phase = Phase::Inherited;
        if is_stopping {
            attempt.stop = StopPhase::Stored;
        }
        Some(attempt)
    };
    let restore_lost_run = |index| {
        Some(LostRun {
            endpoint: key_at(index)?,
            is_unlikely: false,
            is_immediate: true,
        })
    };
    let restore_task = |stored: StoredTask| {
        let StoredTask(run, failed, is_done, checkpoint, attempts, crashes) = stored;
        let StoredCrashes(crashes, lost_on) = crashes;
        Task {
            run,
            failed_runs: failed,
            is_done,
            checkpoint,
            attempts: attempts.into_iter().filter_map(restore_attempt).collect(),
            crashes,
            // Unless a history says otherwise.
            unshared_crashes: crashes,
            immediate_crashes: crashes,
            lost_runs: lost_on.into_iter().filter_map(restore_lost_run).collect(),
            isolate_until_ms,
            ..Task::default()
        }
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
    let has_history = |task: &Task| task.crashes > 0 || !task.lost_runs.is_empty();
    let is_needed = job.tasks().any(|(_, task)| has_history(task));
    job.crash_history.is_needed = is_needed;
    job.next_occurrence = next_occurrence;
    // Writing an ended job again causes its description to be deleted.
    job.is_dirty = state.is_final();
    job.is_spec_stored = true;
    job.was_sent = true;
    job
}
