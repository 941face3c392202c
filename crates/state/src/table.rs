//! Sorted copy-on-write table.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::DeserializeOwned},
    std::{cmp::Ordering, sync::Arc},
};

/// Maximum number of rows in a chunk; copies of a table share unchanged chunks.
const MAX_CHUNK_ROWS: usize = 64;

/// A row with a key that is unique within its table.
pub trait Keyed {
    /// Type of the key.
    type Key: Ord + ?Sized;

    /// Returns the key of the row.
    fn key(&self) -> &Self::Key;
}

/// Rows sorted by key in copy-on-write chunks.
///
/// Readers keep copies of earlier states while the fold changes a few rows, so a copy shares all
/// unchanged chunks with the original.
#[derive(Clone, Debug)]
pub struct SortedTable<T> {
    chunks: Vec<Arc<Vec<T>>>,
    len: usize,
}

impl<T> Default for SortedTable<T> {
    fn default() -> Self {
        Self {
            chunks: Vec::new(),
            len: 0,
        }
    }
}

impl<T: Clone + Keyed> SortedTable<T> {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the row with `key`.
    #[must_use]
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        let chunk = self.chunks.get(self.chunk_index(key))?;
        let row = chunk.binary_search_by(|row| row.key().cmp(key)).ok()?;
        chunk.get(row)
    }

    /// Returns a mutable reference to the row with `key`; its key must not be changed.
    pub fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        let index = self.chunk_index(key);
        let chunk = self.chunks.get_mut(index)?;
        let row = chunk.binary_search_by(|row| row.key().cmp(key)).ok()?;
        Arc::make_mut(chunk).get_mut(row)
    }

    /// Inserts a row and returns the row with the same key that it replaces, if any.
    pub fn insert(&mut self, value: T) -> Option<T> {
        if self.chunks.is_empty() {
            self.chunks.push(Arc::new(vec![value]));
            self.len = 1;
            return None;
        }
        let last = self.chunks.len() - 1;
        let index = self.chunk_index(value.key()).min(last);
        let chunk = Arc::make_mut(&mut self.chunks[index]);
        match chunk.binary_search_by(|row| row.key().cmp(value.key())) {
            Ok(row) => Some(std::mem::replace(&mut chunk[row], value)),
            Err(row) => {
                self.len += 1;
                if let Some(upper) = insert_into(chunk, row, value, index == last) {
                    self.chunks.insert(index + 1, Arc::new(upper));
                }
                None
            }
        }
    }

    /// Removes and returns the row with `key`.
    pub fn remove(&mut self, key: &T::Key) -> Option<T> {
        let index = self.chunk_index(key);
        let chunk = self.chunks.get_mut(index)?;
        let row = chunk.binary_search_by(|row| row.key().cmp(key)).ok()?;
        let removed = Arc::make_mut(chunk).remove(row);
        if chunk.is_empty() {
            self.chunks.remove(index);
        }
        self.len -= 1;
        Some(removed)
    }

    /// Returns the first row.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.chunks.first()?.first()
    }

    /// Iterates over the rows in order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// Iterates in order over the rows whose key is at or after `key`.
    pub fn iter_from<'a>(&'a self, key: &'a T::Key) -> impl Iterator<Item = &'a T> {
        self.chunks[self.chunk_index(key).min(self.chunks.len())..]
            .iter()
            .flat_map(|chunk| chunk.iter())
            .skip_while(move |row| row.key() < key)
    }

    /// Returns the rows of `self` and of `other` in chunks that the two tables do not share.
    ///
    /// Both lists are sorted and may contain rows that are equal in the two tables.
    #[must_use]
    pub fn unshared_rows<'a>(&'a self, other: &'a Self) -> (Vec<&'a T>, Vec<&'a T>) {
        let own = self.chunk_pointers();
        let others = other.chunk_pointers();
        (self.rows_not_in(&others), other.rows_not_in(&own))
    }

    fn chunk_pointers(&self) -> Vec<*const Vec<T>> {
        let mut pointers: Vec<_> = self.chunks.iter().map(Arc::as_ptr).collect();
        pointers.sort_unstable();
        pointers
    }

    fn rows_not_in(&self, shared: &[*const Vec<T>]) -> Vec<&T> {
        self.chunks
            .iter()
            .filter(|chunk| shared.binary_search(&Arc::as_ptr(chunk)).is_err())
            .flat_map(|chunk| chunk.iter())
            .collect()
    }

    /// Returns the index of the first chunk whose last key is not less than `key`.
    fn chunk_index(&self, key: &T::Key) -> usize {
        self.chunks.partition_point(|chunk| {
            chunk
                .last()
                .is_some_and(|row| row.key().cmp(key) == Ordering::Less)
        })
    }
}

/// Inserts a row into a chunk, and returns the upper part as a new chunk if the chunk was full.
///
/// A row appended to the table goes to a new chunk of its own. Splitting in the middle would leave
/// all chunks half empty when rows are inserted in order.
fn insert_into<T>(chunk: &mut Vec<T>, row: usize, value: T, is_last: bool) -> Option<Vec<T>> {
    if chunk.len() < MAX_CHUNK_ROWS {
        chunk.insert(row, value);
        return None;
    }
    let is_append = is_last && row == chunk.len();
    let split_at = if is_append { row } else { chunk.len() / 2 };
    let mut upper = chunk.split_off(split_at);
    if row < split_at {
        chunk.insert(row, value);
    } else {
        upper.insert(row - split_at, value);
    }
    Some(upper)
}

impl<T: Clone + Keyed> FromIterator<T> for SortedTable<T> {
    fn from_iter<I: IntoIterator<Item = T>>(rows: I) -> Self {
        let mut table = Self::new();
        for row in rows {
            table.insert(row);
        }
        table
    }
}

impl<T: Clone + Keyed + PartialEq> PartialEq for SortedTable<T> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl<T: Clone + Keyed + Serialize> Serialize for SortedTable<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter().collect::<Vec<_>>())
    }
}

impl<'de, T: Clone + DeserializeOwned + Keyed> Deserialize<'de> for SortedTable<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Vec::<T>::deserialize(deserializer)?.into_iter().collect())
    }
}
