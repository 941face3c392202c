//! Window of the latest folded entries, served to peers that cannot read the log.

use {
    lynxwheel_protocol::LogEntry,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum size of the records in the window, in bytes.
const MAX_WINDOW_BYTES: usize = 1024 * 1024;

/// Maximum size of the records in one response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Bounded window of the latest folded entries, without gaps.
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
    /// Appends folded entries; a gap clears the window first.
    pub(crate) fn extend(&self, entries: &[LogEntry]) {
        let mut window = self.lock();
        for entry in entries {
            window.push(entry);
        }
    }

    /// Returns the entries from `offset` on; empty when `offset` is outside of the window.
    pub(crate) fn starting_at(&self, offset: u64) -> Vec<LogEntry> {
        let window = self.lock();
        let Some(first) = window.entries.front() else {
            return Vec::new();
        };
        let Some(skipped) = offset.checked_sub(first.offset) else {
            return Vec::new();
        };
        let mut remaining_bytes = MAX_RESPONSE_BYTES;
        window
            .entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take_while(|entry| {
                let fits = entry.bytes.len() <= remaining_bytes;
                remaining_bytes = remaining_bytes.saturating_sub(entry.bytes.len());
                fits
            })
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Window> {
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
        while self.size_bytes > MAX_WINDOW_BYTES {
            let Some(dropped) = self.entries.pop_front() else {
                return;
            };
            self.size_bytes -= dropped.bytes.len();
        }
    }
}
