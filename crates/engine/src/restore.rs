//! Recovery of the state from the records of previous owners.

use {
    crate::{
        config::Queue,
        crash_history::StoredCrashHistory,
        crashes::ISOLATION_WAIT_MS,
        early_cancels::StoredEarlyCancel,
        engine::{EndedJob, Engine},
        event::Now,
        job::{JobId, JobSpec},
        stored::{
            Record, RecordKind, StoredProgress, StoredSpec, StoredVm, StoredWave,
            crash_history_record, decode, record_kind, restore_job, vm_name,
        },
    },
    serde::Deserialize,
};

/// Why a stored record is not used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnreadCause {
    /// Progress of a job that has not ended, without a readable description. Its tasks do not start
    /// but its runs keep their room.
    MissingSpec,
    /// The value cannot be decoded.
    Undecodable,
    /// The key is of no known kind.
    UnknownKey,
}

/// A stored record that is not used, except for the runs of a job without a description.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnreadRecord<'a> {
    /// Key.
    pub key: &'a str,
    /// Index among the records that were read.
    pub index: usize,
    /// Why it is not used.
    pub cause: UnreadCause,
}

impl Engine {
    /// Restores the state from the latest record of each key.
    ///
    /// Returns the records that are not used, in the order in which they were read.
    pub fn restore<'a>(&mut self, records: &'a [Record], now: Now) -> Vec<UnreadRecord<'a>> {
        let mut specs: Vec<(JobId, Option<StoredSpec>)> = records
            .iter()
            .filter_map(|record| match record_kind(&record.key) {
                Some(RecordKind::Spec(id)) => Some((id, decode(&record.value))),
                _ => None,
            })
            .collect();
        specs.sort_unstable_by_key(|(id, _)| *id);
        let mut unread = Vec::new();
        for (index, record) in records.iter().enumerate() {
            if let Err(cause) = self.restore_record(record, &specs, now) {
                let key = record.key.as_str();
                unread.push(UnreadRecord { key, index, cause });
            }
        }
        self.restore_crash_histories(records);
        self.ended_jobs.sort_unstable_by_key(|job| job.id);
        self.charge_inherited_runs(now);
        self.is_schedule_due = true;
        unread
    }

    fn restore_record(
        &mut self,
        record: &Record,
        specs: &[(JobId, Option<StoredSpec>)],
        now: Now,
    ) -> Result<(), UnreadCause> {
        let Record { key, value } = record;
        match record_kind(key).ok_or(UnreadCause::UnknownKey)? {
            RecordKind::Spec(id) => find_spec(specs, id)
                .map(drop)
                .ok_or(UnreadCause::Undecodable),
            RecordKind::Progress(id) => {
                let progress = decode_value(value)?;
                self.restore_job_record(id, progress, find_spec(specs, id), now)
            }
            RecordKind::Wave(wave) => {
                self.restore_wave(wave, decode_value::<StoredWave>(value)?);
                Ok(())
            }
            RecordKind::Vm => {
                self.restore_vm(vm_name(key), decode_value::<StoredVm>(value)?, now);
                Ok(())
            }
            RecordKind::EarlyCancel(id) => {
                let stored = decode_value::<StoredEarlyCancel>(value)?;
                self.restore_early_cancel(id, stored, now);
                Ok(())
            }
            // Applied after the progress of all jobs.
            RecordKind::CrashHistory(_) => decode_value::<StoredCrashHistory>(value).map(drop),
        }
    }

    /// Applies the crash histories of the restored jobs, and deletes those of other jobs, which an
    /// owner without crash histories leaves behind.
    fn restore_crash_histories(&mut self, records: &[Record]) {
        for Record { key, value } in records {
            let Some(RecordKind::CrashHistory(id)) = record_kind(key) else {
                continue;
            };
            match self.search(id) {
                Ok(index) => {
                    let job = self.jobs.get_mut_untracked(index);
                    if let Some(history) = decode::<StoredCrashHistory>(value) {
                        history.apply(job);
                    }
                    job.crash_history.stored.clone_from(value);
                    job.crash_history.is_needed = true;
                }
                Err(_) => self
                    .other_records
                    .push(crash_history_record(id, Vec::new())),
            }
        }
    }

    fn restore_job_record(
        &mut self,
        id: JobId,
        progress: StoredProgress,
        spec: Option<&StoredSpec>,
        now: Now,
    ) -> Result<(), UnreadCause> {
        let state = progress.state();
        if spec.is_none() && state.is_final() {
            self.ended_jobs.push(EndedJob {
                id,
                state,
                account: progress.account().clone(),
                at_ms: now.steady_ms,
            });
            return Ok(());
        }
        // The job is kept without steps, so that it stays known and its runs keep their room.
        let known_spec = spec.cloned().unwrap_or_else(|| StoredSpec {
            queue: Queue::default(),
            spec: JobSpec::default(),
            accepted_ms: now.wall_ms,
        });
        let endpoints = &mut self.endpoints;
        // How long the previous owner has waited is not stored.
        let isolate_until_ms = now.steady_ms + ISOLATION_WAIT_MS;
        let mut job = restore_job(
            id,
            known_spec,
            progress,
            isolate_until_ms,
            |name, address| {
                let key = endpoints.find_or_insert(name, now.steady_ms);
                // The endpoint is called at this address even if its registry entry has expired.
                endpoints.set_address(key, address);
                key
            },
        );
        // The previous owner's clock is not comparable, so the retention time starts again.
        job.ended_ms = now.steady_ms;
        self.add_job(Box::new(job));
        spec.map(drop).ok_or(UnreadCause::MissingSpec)
    }
}

/// Returns the description of a job, if it is stored and readable.
fn find_spec(specs: &[(JobId, Option<StoredSpec>)], id: JobId) -> Option<&StoredSpec> {
    let index = specs.binary_search_by_key(&id, |(known, _)| *known).ok()?;
    specs[index].1.as_ref()
}

fn decode_value<'a, T: Deserialize<'a>>(value: &'a [u8]) -> Result<T, UnreadCause> {
    decode(value).ok_or(UnreadCause::Undecodable)
}
