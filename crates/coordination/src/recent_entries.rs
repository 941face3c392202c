//! The last folded entries, for peers that are cut from the log.

use {
    lynxwheel_protocol::LogEntry,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Bytes of records kept at most.
const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// Bytes of records in one answer at most.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Bounded window of the last folded entries, without gaps.
#[derive(Debug, Default)]
pub(crate) struct RecentEntries {
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    entries: VecDeque<LogEntry>,
    size_bytes: usize,
}

impl RecentEntries {
    /// Adds folded entries; entries that do not follow the last one start the window anew.
    pub(crate) fn note(&self, entries: &[LogEntry]) {
        let mut window = self.window();
        for entry in entries {
            window.push(entry);
        }
    }

    /// Returns entries from `from` on, or nothing when `from` is outside of the window.
    pub(crate) fn from(&self, from: u64) -> Vec<LogEntry> {
        let window = self.window();
        let Some(first) = window.entries.front() else {
            return Vec::new();
        };
        let Some(skipped) = from.checked_sub(first.offset) else {
            return Vec::new();
        };
        let mut left_bytes = MAX_ANSWER_BYTES;
        window
            .entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take_while(|entry| {
                let fits = entry.bytes.len() <= left_bytes;
                left_bytes = left_bytes.saturating_sub(entry.bytes.len());
                fits
            })
            .cloned()
            .collect()
    }

    fn window(&self) -> MutexGuard<'_, Window> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Window {
    fn push(&mut self, entry: &LogEntry) {
        let last = self.entries.back().map(|last| last.offset);
        if last.is_some_and(|last| entry.offset <= last) {
            return;
        }
        if last.is_some_and(|last| entry.offset != last + 1) {
            self.entries.clear();
            self.size_bytes = 0;
        }
        self.size_bytes += entry.bytes.len();
        self.entries.push_back(entry.clone());
        while self.size_bytes > MAX_KEPT_BYTES {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.size_bytes -= dropped.bytes.len();
        }
    }
}
