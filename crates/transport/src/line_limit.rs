//! Limit of the log lines about refusals.

/// Maximum number of lines per second.
const MAX_LINES_PER_S: u32 = 20;

/// Limits the lines of a log to a number per second, and counts the omitted ones.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    second: u64,
    lines: u32,
    omitted: u64,
}

impl LineLimit {
    /// Returns the number of lines omitted before this one, or `None` to omit this one, too.
    ///
    /// `now_s` is a monotonic time in seconds.
    pub(crate) fn next(&mut self, now_s: u64) -> Option<u64> {
        if self.second != now_s {
            self.second = now_s;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_S {
            self.omitted += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
