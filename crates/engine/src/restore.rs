//! Recovery of the state from the records of previous owners.

use crate::{
    engine::{EndedJob, Engine},
    event::Now,
    job::JobId,
    stored::{
        Record, RecordKind, StoredProgress, StoredSpec, StoredVm, StoredWave, decode, record_kind,
        restore_job, vm_name,
    },
};

impl Engine {
    /// Restores the state from the latest record of each key.
    ///
    /// Returns the keys of unreadable records, which are ignored.
    pub fn restore<'a>(&mut self, records: &'a [Record], now: Now) -> Vec<&'a str> {
        let mut unreadable = Vec::new();
        let mut specs: Vec<(JobId, StoredSpec)> = Vec::new();
        for record in records {
            if let Some(RecordKind::Spec(id)) = record_kind(&record.key) {
                match decode(&record.value) {
                    Some(spec) => specs.push((id, spec)),
                    None => unreadable.push(record.key.as_str()),
                }
            }
        }
        specs.sort_unstable_by_key(|(id, _)| *id);
        for record in records {
            let is_readable = match record_kind(&record.key) {
                Some(RecordKind::Progress(id)) => decode(&record.value)
                    .is_some_and(|progress| self.restore_job_record(id, progress, &specs, now)),
                Some(RecordKind::Wave(wave)) => decode::<StoredWave>(&record.value)
                    .map(|stored| self.restore_wave(wave, stored))
                    .is_some(),
                Some(RecordKind::Vm) => decode::<StoredVm>(&record.value)
                    .map(|stored| self.restore_vm(vm_name(&record.key), stored, now))
                    .is_some(),
                Some(RecordKind::Spec(_)) => true,
                None => false,
            };
            if !is_readable {
                unreadable.push(record.key.as_str());
            }
        }
        self.ended_jobs.sort_unstable_by_key(|job| job.id);
        self.charge_inherited_runs(now);
        self.is_schedule_due = true;
        unreadable
    }

    fn restore_job_record(
        &mut self,
        id: JobId,
        progress: StoredProgress,
        specs: &[(JobId, StoredSpec)],
        now: Now,
    ) -> bool {
        let spec = match specs.binary_search_by_key(&id, |(known, _)| *known) {
            Ok(index) => Some(specs[index].1.clone()),
            Err(_) => None,
        };
        let Some(spec) = spec else {
            let state = progress.state();
            let account = progress.account().clone();
            if state.is_final() {
                self.ended_jobs.push(EndedJob {
                    id,
                    state,
                    account,
                    at_ms: now.steady_ms,
                });
            }
            return state.is_final();
        };
        let endpoints = &mut self.endpoints;
        let mut job = restore_job(id, spec, progress, |name, address| {
            let key = endpoints.find_or_insert(name, now.steady_ms);
            // The endpoint is called at this address even if its registry entry has expired.
            endpoints.set_address(key, address);
            key
        });
        // The previous owner's clock is not comparable, so the retention time starts again.
        job.ended_ms = now.steady_ms;
        self.add_job(Box::new(job));
        true
    }
}
