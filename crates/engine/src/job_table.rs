//! Table of jobs in progress, with change tracking.

use {
    crate::{job::JobId, state::Job},
    std::ops::{Index, IndexMut},
};

/// A job with its id, so that a search does not touch the job.
#[derive(Debug)]
struct Row {
    id: JobId,
    /// Boxed to make insertion cheap.
    job: Box<Job>,
    is_changed: bool,
}

/// Jobs in progress, sorted by id.
///
/// A job counts as changed from a mutable borrow until changes are taken, so that derived data can
/// be updated without scanning the whole table.
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

    /// Adds a job, unless its id is already present.
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
            // A removal counts as a change.
            self.changed.push(row.id);
        }
        row.job
    }

    /// Returns a job without tracking the change, which must neither make a task wait or run nor
    /// have to be stored.
    pub(crate) fn get_mut_untracked(&mut self, index: usize) -> &mut Job {
        &mut self.rows[index].job
    }

    /// Takes the ids of jobs changed since the last call, sorted; some may have been removed.
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

    /// Returns the ids of changed jobs without taking them, in order of change.
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
