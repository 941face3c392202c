//! Log service with append-only streams.

use lynxwheel_protocol::{LogEntry, ReadResponse};

/// In-memory log service; its streams are sorted by name.
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

    /// Appends entries to a stream and returns the offset of the first; creates a missing stream.
    pub fn append(&mut self, name: &str, entries: Vec<Vec<u8>>) -> u64 {
        let stream = self.stream_mut(name);
        let first_offset = stream.next_offset();
        stream.entries.extend(entries);
        first_offset
    }

    /// Returns up to `max` entries, starting at offset `from`.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, max: usize) -> ReadResponse {
        let Some(stream) = self.stream(name) else {
            return ReadResponse {
                earliest_offset: 1,
                next_offset: 1,
                entries: Vec::new(),
            };
        };
        let mut response = ReadResponse {
            earliest_offset: stream.trimmed_to + 1,
            next_offset: stream.next_offset(),
            entries: Vec::new(),
        };
        if from >= response.earliest_offset {
            let skip = usize::try_from(from - response.earliest_offset).unwrap_or(usize::MAX);
            response.entries = stream
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
        response
    }

    /// Drops the entries before offset `before`.
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
        let index = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name))
            .ok()?;
        self.streams.get(index)
    }

    fn stream_mut(&mut self, name: &str) -> &mut Stream {
        match self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name))
        {
            Ok(index) => &mut self.streams[index],
            Err(index) => {
                self.streams.insert(
                    index,
                    Stream {
                        name: name.into(),
                        ..Stream::default()
                    },
                );
                &mut self.streams[index]
            }
        }
    }
}
