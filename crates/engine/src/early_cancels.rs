//! Cancellations that arrive before the submission of their job.
//!
//! A node may still retry a submission after its caller has cancelled the job and has been told
//! that no such job exists. The cancellation is stored before that answer, and a later submission
//! by the same account is accepted as a cancelled job, whichever owner receives it.

use {
    crate::{
        engine::Engine,
        event::{CallerResponse, Effect, Now, ReplyToken},
        job::{JobId, JobState},
        state::Job,
        stored::{Record, early_cancel_record},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Maximum number of jobs that are kept as cancelled before their submission; the oldest is
/// dropped.
const MAX_EARLY_CANCELS: usize = 16_384;

/// A job that was cancelled before it was submitted.
#[derive(Clone, Debug)]
pub(crate) struct EarlyCancel {
    pub(crate) id: JobId,
    /// Client accounts that have cancelled it, sorted.
    accounts: Vec<CompactString>,
    /// When it was last cancelled, on the monotonic clock.
    at_ms: u64,
}

/// Stored form, encoded with field names: readers ignore fields that they do not know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct StoredEarlyCancel {
    accounts: Vec<CompactString>,
}

impl EarlyCancel {
    fn record(&self) -> Record {
        let stored = StoredEarlyCancel {
            accounts: self.accounts.clone(),
        };
        let value = rmp_serde::to_vec_named(&stored).unwrap_or_default();
        early_cancel_record(self.id, value)
    }
}

impl Engine {
    fn search_early_cancel(&self, id: JobId) -> Result<usize, usize> {
        self.early_cancels
            .binary_search_by_key(&id, |known| known.id)
    }

    /// Cancels a job that is not known, and replies once this is stored.
    pub(crate) fn cancel_early(&mut self, id: JobId, account: &str, token: ReplyToken, now: Now) {
        let index = self.search_early_cancel(id).unwrap_or_else(|index| {
            let added = EarlyCancel {
                id,
                accounts: Vec::new(),
                at_ms: now.steady_ms,
            };
            self.early_cancels.insert(index, added);
            index
        });
        let cancel = &mut self.early_cancels[index];
        cancel.at_ms = now.steady_ms;
        let place = cancel
            .accounts
            .binary_search_by(|known| known.as_str().cmp(account));
        if let Err(place) = place {
            cancel.accounts.insert(place, account.into());
            let record = cancel.record();
            self.other_records.push(record);
        }
        self.drop_oldest_early_cancel();
        self.pending_effects.push(Effect::Reply {
            token,
            response: CallerResponse::Unknown,
        });
    }

    fn drop_oldest_early_cancel(&mut self) {
        if self.early_cancels.len() <= MAX_EARLY_CANCELS {
            return;
        }
        let cancels = self.early_cancels.iter().enumerate();
        let oldest = cancels.min_by_key(|(_, known)| known.at_ms);
        if let Some((index, _)) = oldest {
            self.remove_early_cancel(index);
        }
    }

    fn remove_early_cancel(&mut self, index: usize) {
        let EarlyCancel { id, .. } = self.early_cancels.remove(index);
        self.other_records.push(early_cancel_record(id, Vec::new()));
    }

    /// Returns whether an account has cancelled a job before its submission.
    pub(crate) fn is_cancelled_early(&self, id: JobId, account: &str) -> bool {
        self.search_early_cancel(id).is_ok_and(|index| {
            let accounts = &self.early_cancels[index].accounts;
            accounts.iter().any(|known| known == account)
        })
    }

    /// Accepts a job that was cancelled before its submission: it is stored as cancelled, and
    /// nothing of it starts.
    pub(crate) fn submit_cancelled(&mut self, mut job: Job, token: ReplyToken, now: Now) {
        let id = job.id;
        // Only the final state of an ended job is kept.
        job.is_spec_stored = true;
        job.waiting_callers.push(token);
        self.add_job(Box::new(job));
        if let Ok(index) = self.search(id) {
            self.end_job(index, JobState::Cancelled, now);
        }
    }

    /// Removes the cancellation of a job whose end is stored.
    pub(crate) fn forget_early_cancel(&mut self, id: JobId) {
        if let Ok(index) = self.search_early_cancel(id) {
            self.remove_early_cancel(index);
        }
    }

    /// Restores a cancellation that a previous owner has stored.
    pub(crate) fn restore_early_cancel(&mut self, id: JobId, stored: StoredEarlyCancel, now: Now) {
        let restored = EarlyCancel {
            id,
            accounts: stored.accounts,
            at_ms: now.steady_ms,
        };
        match self.search_early_cancel(id) {
            Ok(index) => self.early_cancels[index] = restored,
            Err(index) => self.early_cancels.insert(index, restored),
        }
    }

    /// Removes cancellations after the time for which ended jobs are kept.
    pub(crate) fn remove_expired_early_cancels(&mut self, now: Now) {
        for index in (0..self.early_cancels.len()).rev() {
            let until_ms = self.early_cancels[index].at_ms + self.settings.retention_ms;
            if now.steady_ms >= until_ms {
                self.remove_early_cancel(index);
            }
        }
    }
}
