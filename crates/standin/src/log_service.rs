//! Append-only streams with offsets.

use lynxwheel_protocol::{LogEntry, ReadResponse};

/// Streams by name.
#[derive(Clone, Debug, Default)]
pub struct LogService {
    streams: Vec<Stream>,
}

#[derive(Clone, Debug, Default)]
struct Stream {
    name: String,
    trimmed_to: u64,
    entries: Vec<Vec<u8>>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.trimmed_to + self.entries.len() as u64 + 1
    }
}

impl LogService {
    /// Creates a service without streams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends entries to a stream, which is made when new, and returns the first offset.
    pub fn append(&mut self, name: &str, entries: Vec<Vec<u8>>) -> u64 {
        let stream = self.stream_mut(name);
        let first_offset = stream.next_offset();
        stream.entries.extend(entries);
        first_offset
    }

    /// Reads up to `max` entries from an offset.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, max: usize) -> ReadResponse {
        let Some(stream) = self.stream(name) else {
            return ReadResponse {
                earliest_offset: 1,
                next_offset: 1,
                entries: Vec::new(),
            };
        };
        let mut answer = ReadResponse {
            earliest_offset: stream.trimmed_to + 1,
            next_offset: stream.next_offset(),
            entries: Vec::new(),
        };
        if from >= answer.earliest_offset {
            let skip = usize::try_from(from - answer.earliest_offset).unwrap_or(usize::MAX);
            answer.entries = stream
                .entries
                .iter()
                .skip(skip)
                .take(max)
                .zip(from..)
                .map(|(bytes, offset)| LogEntry {
                    offset,
                    bytes: bytes.clone(),
                })
                .collect();
        }
        answer
    }

    /// Drops the entries before an offset.
    pub fn trim(&mut self, name: &str, before: u64) {
        let stream = self.stream_mut(name);
        let dropped = before.saturating_sub(stream.trimmed_to + 1);
        let dropped = usize::try_from(dropped)
            .unwrap_or(usize::MAX)
            .min(stream.entries.len());
        stream.entries.drain(..dropped);
        stream.trimmed_to += dropped as u64;
    }

    fn stream(&self, name: &str) -> Option<&Stream> {
        let row = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name))
            .ok()?;
        self.streams.get(row)
    }

    fn stream_mut(&mut self, name: &str) -> &mut Stream {
        match self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name))
        {
            Ok(row) => &mut self.streams[row],
            Err(row) => {
                self.streams.insert(
                    row,
                    Stream {
                        name: name.into(),
                        ..Stream::default()
                    },
                );
                &mut self.streams[row]
            }
        }
    }
}
