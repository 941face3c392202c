//! Records that are larger than the store accepts, stored in parts.
//!
//! A record in parts has a header under its own key, written after the parts that it names. Parts of
//! two generations alternate, so that the parts of the stored header remain until the next header is
//! stored.

use {
    lynxwheel_engine::Record,
    lynxwheel_platform::{KeyedRecord, encode_keyed_record},
    serde::{Deserialize, Serialize},
};

/// First byte of a header. `MessagePack`, in which all other values are encoded, never uses it.
const HEADER_MARKER: u8 = 0xc1;

/// Prefix of the keys of parts.
const PART_PREFIX: &str = "p/";

/// Header of a record in parts: which parts make it up, and its size in bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Header {
    generation: u8,
    parts: usize,
    bytes: usize,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut value = vec![HEADER_MARKER];
        // Cannot fail for integers.
        value.extend(rmp_serde::to_vec(self).unwrap_or_default());
        value
    }

    fn decode(value: &[u8]) -> Option<Self> {
        let (&marker, header) = value.split_first()?;
        (marker == HEADER_MARKER).then(|| rmp_serde::from_slice(header).ok())?
    }

    fn part_keys(&self, key: &str) -> impl Iterator<Item = String> {
        let generation = self.generation;
        (0..self.parts).map(move |index| format!("{PART_PREFIX}{generation}/{index}/{key}"))
    }
}

/// Divides records for the store, and knows which of the stored ones are in parts.
#[derive(Clone, Debug)]
pub struct RecordParts {
    max_record_bytes: usize,
    /// Stored headers by key, sorted.
    headers: Vec<(String, Header)>,
    /// Keys of stored parts that no header names.
    unused: Vec<String>,
}

/// Records that were joined from their parts.
#[derive(Debug, Default)]
pub struct JoinedRecords {
    /// Records.
    pub records: Vec<Record>,
    /// Offset of each record in the topic, if known; of the header for a record in parts.
    pub offsets: Vec<Option<u64>>,
    /// Keys of records of which a part is missing.
    pub incomplete: Vec<String>,
    headers: Vec<(String, Header)>,
    unused: Vec<String>,
}

impl RecordParts {
    /// Creates the state for a store without records in parts.
    #[must_use]
    pub fn new(max_record_bytes: usize) -> Self {
        Self {
            max_record_bytes,
            headers: Vec::new(),
            unused: Vec::new(),
        }
    }

    /// Sets which records are stored in parts.
    #[must_use]
    pub fn with_stored(self, joined: &JoinedRecords) -> Self {
        Self {
            headers: joined.headers.clone(),
            unused: joined.unused.clone(),
            ..self
        }
    }

    /// Returns the records that delete the parts that no header names.
    pub fn take_unused(&mut self) -> Vec<Record> {
        let keys = std::mem::take(&mut self.unused);
        keys.into_iter().map(deletion).collect()
    }

    /// Returns the records that store a record, in the order in which they are to be stored.
    pub fn divide(&mut self, record: &Record) -> Vec<Record> {
        let Record { key, value } = record;
        let position = self
            .headers
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        let stored = position.ok().map(|index| self.headers[index].1);
        if encode_keyed_record(key, value).len() <= self.max_record_bytes {
            if let Ok(index) = position {
                self.headers.remove(index);
            }
            let mut records = vec![record.clone()];
            records.extend(part_deletions(key, stored));
            return records;
        }
        let generation = stored.map_or(0, |header| 1 - header.generation.min(1));
        let mut header = Header {
            generation,
            parts: value.len(),
            bytes: value.len(),
        };
        // The key of the last part is the longest.
        let longest = header.part_keys(key).last().unwrap_or_default();
        let overhead = encode_keyed_record(&longest, &[]).len();
        let part_bytes = self.max_record_bytes.saturating_sub(overhead).max(1);
        header.parts = value.len().div_ceil(part_bytes);
        let parts = header.part_keys(key).zip(value.chunks(part_bytes));
        let mut records: Vec<Record> = parts
            .map(|(key, part)| Record {
                key,
                value: part.to_vec(),
            })
            .collect();
        records.push(Record {
            key: key.clone(),
            value: header.encode(),
        });
        records.extend(part_deletions(key, stored));
        match position {
            Ok(index) => self.headers[index].1 = header,
            Err(index) => self.headers.insert(index, (key.clone(), header)),
        }
        records
    }
}

impl JoinedRecords {
    /// Joins the latest record of each key.
    #[must_use]
    pub fn new(stored: Vec<KeyedRecord>) -> Self {
        let (mut parts, others): (Vec<KeyedRecord>, Vec<KeyedRecord>) = stored
            .into_iter()
            .partition(|record| record.key.starts_with(PART_PREFIX));
        parts.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        let mut joined = Self::default();
        let mut used: Vec<usize> = Vec::new();
        for KeyedRecord { key, value, offset } in others {
            let Some(header) = Header::decode(&value) else {
                joined.records.push(Record { key, value });
                joined.offsets.push(offset);
                continue;
            };
            let indices: Option<Vec<usize>> = header
                .part_keys(&key)
                .map(|part| parts.binary_search_by(|known| known.key.cmp(&part)).ok())
                .collect();
            let indices = indices.unwrap_or_default();
            let value: Vec<u8> = indices
                .iter()
                .flat_map(|&index| parts[index].value.iter().copied())
                .collect();
            used.extend(indices);
            joined.headers.push((key.clone(), header));
            if value.len() == header.bytes {
                joined.records.push(Record { key, value });
                joined.offsets.push(offset);
            } else {
                joined.incomplete.push(key);
            }
        }
        used.sort_unstable();
        joined
            .headers
            .sort_unstable_by(|one, other| one.0.cmp(&other.0));
        let indexed = parts.into_iter().enumerate();
        let unused = indexed.filter(|(index, _)| used.binary_search(index).is_err());
        joined.unused = unused.map(|(_, record)| record.key).collect();
        joined
    }
}

fn deletion(key: String) -> Record {
    Record {
        key,
        value: Vec::new(),
    }
}

fn part_deletions(key: &str, stored: Option<Header>) -> impl Iterator<Item = Record> {
    let headers = stored.into_iter();
    headers.flat_map(move |header| header.part_keys(key).map(deletion).collect::<Vec<_>>())
}
