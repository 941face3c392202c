//! Jobs in progress, and which of them have changed.

use {
    crate::{job::JobId, state::Job},
    std::ops::{Index, IndexMut},
};

/// A job, with its id beside it: a search touches no job.
#[derive(Debug)]
struct Row {
    id: JobId,
    /// Boxed, so that inserting moves little.
    job: Box<Job>,
    is_changed: bool,
}

/// Jobs in progress, sorted by id.
///
/// Every job that is handed out to be changed counts as changed until that is looked at, so that what
/// follows from a change need not be looked for among all jobs.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    rows: Vec<Row>,
    changed: Vec<JobId>,
}

impl JobTable {
    pub(crate) fn search(&self, id: JobId) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&id, |row| row.id)
    }

    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        let index = self.search(id).ok()?;
        Some(&self.rows[index].job)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.rows.iter().map(|row| row.job.as_ref())
    }

    /// Adds a job, unless one with its id is known.
    pub(crate) fn add(&mut self, job: Box<Job>) {
        if let Err(index) = self.search(job.id) {
            self.changed.push(job.id);
            let row = Row {
                id: job.id,
                job,
                is_changed: true,
            };
            self.rows.insert(index, row);
        }
    }

    pub(crate) fn remove(&mut self, index: usize) -> Box<Job> {
        let row = self.rows.remove(index);
        if !row.is_changed {
            // Whoever follows changes learns that it is gone.
            self.changed.push(row.id);
        }
        row.job
    }

    /// Returns a job for a change that makes no task wait or run and needs not be stored.
    pub(crate) fn get_mut_untracked(&mut self, index: usize) -> &mut Job {
        &mut self.rows[index].job
    }

    /// Returns the ids of jobs changed since the last time, sorted; some may be gone.
    pub(crate) fn take_changed(&mut self) -> Vec<JobId> {
        let mut changed = std::mem::take(&mut self.changed);
        for id in &changed {
            if let Ok(index) = self.search(*id) {
                self.rows[index].is_changed = false;
            }
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Returns the ids of jobs changed since they were taken last, in the order of change.
    pub(crate) fn changed(&self) -> &[JobId] {
        &self.changed
    }
}

impl Index<usize> for JobTable {
    type Output = Job;

    fn index(&self, index: usize) -> &Job {
        &self.rows[index].job
    }
}

impl IndexMut<usize> for JobTable {
    fn index_mut(&mut self, index: usize) -> &mut Job {
        let row = &mut self.rows[index];
        if !row.is_changed {
            row.is_changed = true;
            self.changed.push(row.id);
        }
        &mut row.job
    }
}
