//! Index of endpoints that accept starts, by pool and free processor.

use {
    crate::{endpoints::Endpoint, event::EndpointKey},
    compact_str::CompactString,
};

/// Number of a pool, stable for the lifetime of the index.
pub(crate) type PoolNumber = usize;

/// Free processor of an endpoint in thousandths of a core, and its key.
pub(crate) type FreeSlot = (u64, EndpointKey);

#[derive(Clone, Debug)]
struct PoolCapacity {
    name: CompactString,
    /// Sorted by free processor.
    slots: Vec<FreeSlot>,
    /// Those of endpoints without runs, sorted by free processor.
    empty_slots: Vec<FreeSlot>,
    /// Sum over all slots, in thousandths of a core.
    free_cpu_millis: u64,
}

/// Indexed values of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Indexed {
    key: EndpointKey,
    pool: PoolNumber,
    free_cpu_millis: u64,
    is_empty: bool,
}

/// Endpoints that accept starts, by pool and free processor.
///
/// The fullest endpoint that fits a task is found without visiting fuller ones. For a task without
/// further requirements emptier ones are not visited either.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeCapacity {
    pools: Vec<PoolCapacity>,
    /// Sorted by key.
    indexed: Vec<Indexed>,
}

impl FreeCapacity {
    /// Returns the number of a pool, adding the pool if needed.
    pub(crate) fn pool_number(&mut self, name: &CompactString) -> PoolNumber {
        self.find_pool(name).unwrap_or_else(|| {
            self.pools.push(PoolCapacity {
                name: name.clone(),
                slots: Vec::new(),
                empty_slots: Vec::new(),
                free_cpu_millis: 0,
            });
            self.pools.len() - 1
        })
    }

    /// Returns the number of a pool if it is known.
    pub(crate) fn find_pool(&self, name: &str) -> Option<PoolNumber> {
        self.pools.iter().position(|pool| pool.name == name)
    }

    fn search(&self, key: EndpointKey) -> Result<usize, usize> {
        self.indexed.binary_search_by_key(&key, |entry| entry.key)
    }

    /// Adds or updates an endpoint.
    pub(crate) fn set(&mut self, endpoint: &Endpoint) {
        let index = self.search(endpoint.key);
        let known = index.ok().map(|index| self.indexed[index]);
        let pool = match known {
            Some(known) if self.pools[known.pool].name == endpoint.pool => known.pool,
            _ => self.pool_number(&endpoint.pool),
        };
        let entry = Indexed {
            key: endpoint.key,
            pool,
            free_cpu_millis: endpoint.free().cpu_millis,
            is_empty: endpoint.placed_runs.is_empty(),
        };
        match index {
            Ok(_) if known == Some(entry) => return,
            Ok(index) => {
                self.remove_slot(self.indexed[index]);
                self.indexed[index] = entry;
            }
            Err(index) => self.indexed.insert(index, entry),
        }
        self.add_slot(entry);
    }

    /// Removes an endpoint.
    pub(crate) fn remove(&mut self, key: EndpointKey) {
        if let Ok(index) = self.search(key) {
            let entry = self.indexed.remove(index);
            self.remove_slot(entry);
        }
    }

    fn add_slot(&mut self, entry: Indexed) {
        let capacity = &mut self.pools[entry.pool];
        let slot = (entry.free_cpu_millis, entry.key);
        if let Err(index) = capacity.slots.binary_search(&slot) {
            capacity.slots.insert(index, slot);
            capacity.free_cpu_millis += slot.0;
        }
        if entry.is_empty
            && let Err(index) = capacity.empty_slots.binary_search(&slot)
        {
            capacity.empty_slots.insert(index, slot);
        }
    }

    fn remove_slot(&mut self, entry: Indexed) {
        let capacity = &mut self.pools[entry.pool];
        let slot = (entry.free_cpu_millis, entry.key);
        if let Ok(index) = capacity.slots.binary_search(&slot) {
            capacity.slots.remove(index);
            capacity.free_cpu_millis -= slot.0;
        }
        if entry.is_empty
            && let Ok(index) = capacity.empty_slots.binary_search(&slot)
        {
            capacity.empty_slots.remove(index);
        }
    }

    /// Returns the endpoints of a pool with at least `cpu_millis` free, the fullest first.
    pub(crate) fn slots_with(&self, pool: PoolNumber, cpu_millis: u64) -> &[FreeSlot] {
        with_free(&self.pools[pool].slots, cpu_millis)
    }

    /// Returns those of them that have no runs.
    pub(crate) fn empty_slots_with(&self, pool: PoolNumber, cpu_millis: u64) -> &[FreeSlot] {
        with_free(&self.pools[pool].empty_slots, cpu_millis)
    }

    /// Returns the total free processor of a pool, in thousandths of a core.
    pub(crate) fn free_cpu_millis(&self, pool: PoolNumber) -> u64 {
        self.pools[pool].free_cpu_millis
    }

    /// Returns whether any endpoint of a pool has at least `cpu_millis` free.
    pub(crate) fn has_slot(&self, pool: PoolNumber, cpu_millis: u64) -> bool {
        let slots = &self.pools[pool].slots;
        slots.last().is_some_and(|(free, _)| *free >= cpu_millis)
    }

    /// Returns the endpoints of a pool, sorted by key.
    pub(crate) fn members(&self, pool: PoolNumber) -> Vec<EndpointKey> {
        let slots = &self.pools[pool].slots;
        let mut keys: Vec<EndpointKey> = slots.iter().map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys
    }
}

fn with_free(slots: &[FreeSlot], cpu_millis: u64) -> &[FreeSlot] {
    let begin = slots.partition_point(|(free, _)| *free < cpu_millis);
    &slots[begin..]
}
