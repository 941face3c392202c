//! Table of all known endpoint incarnations, with change tracking.

use {
    crate::{
        endpoint_locations::EndpointLocations, endpoints::Endpoint, event::EndpointKey,
        reports::EndpointEntry,
    },
    compact_str::CompactString,
    std::net::SocketAddr,
};

/// Every endpoint incarnation known to this owner, except those that ended long ago.
///
/// An incarnation counts as changed from a mutable borrow until changes are taken, so that derived
/// data can be updated without scanning the whole table.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    /// Sorted by key.
    incarnations: Vec<Endpoint>,
    /// Keys in the same order, so that a search does not touch the incarnations.
    keys: Vec<EndpointKey>,
    /// Keys sorted by id.
    by_id: Vec<EndpointKey>,
    locations: EndpointLocations,
    changed: Vec<EndpointKey>,
    next_key: EndpointKey,
    /// Placeholder for removed incarnations, which late responses may still refer to.
    forgotten: Endpoint,
}

impl Default for EndpointTable {
    fn default() -> Self {
        Self {
            incarnations: Vec::new(),
            keys: Vec::new(),
            by_id: Vec::new(),
            locations: EndpointLocations::default(),
            changed: Vec::new(),
            next_key: 0,
            forgotten: Endpoint::forgotten(),
        }
    }
}

impl EndpointTable {
    /// Returns an endpoint, or a placeholder if it was removed.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> &Endpoint {
        match self.search_key(key) {
            Ok(index) => &self.incarnations[index],
            Err(_) => &self.forgotten,
        }
    }

    /// Returns a mutable reference to an endpoint; changes of a removed one are lost.
    pub fn get_mut(&mut self, key: EndpointKey) -> &mut Endpoint {
        if let Ok(index) = self.search_key(key) {
            let incarnation = &mut self.incarnations[index];
            if !incarnation.is_changed {
                incarnation.is_changed = true;
                self.changed.push(key);
            }
            return incarnation;
        }
        self.forgotten = Endpoint::forgotten();
        &mut self.forgotten
    }

    fn search_key(&self, key: EndpointKey) -> Result<usize, usize> {
        self.keys.binary_search(&key)
    }

    /// Takes the keys of incarnations changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<EndpointKey> {
        let changed = std::mem::take(&mut self.changed);
        for &key in &changed {
            if let Ok(index) = self.search_key(key) {
                self.incarnations[index].is_changed = false;
            }
        }
        changed
    }

    /// Applies a registry entry.
    pub(crate) fn update(&mut self, key: EndpointKey, entry: &EndpointEntry) {
        self.get_mut(key).update(entry);
        self.set_address(key, entry.address);
        if let Some(vm) = &entry.vm {
            self.set_vm(key, vm);
        }
    }

    /// Sets the address of an incarnation.
    pub(crate) fn set_address(&mut self, key: EndpointKey, address: SocketAddr) {
        if let Ok(index) = self.search_key(key) {
            let known = std::mem::replace(&mut self.incarnations[index].address, address);
            self.locations.change_address(key, known, address);
        }
    }

    /// Sets the VM of an incarnation.
    pub(crate) fn set_vm(&mut self, key: EndpointKey, vm: &CompactString) {
        if let Ok(index) = self.search_key(key)
            && self.incarnations[index].vm != *vm
        {
            let known = std::mem::replace(&mut self.incarnations[index].vm, vm.clone());
            self.locations.change_vm(key, &known, vm);
        }
    }

    /// Returns the latest incarnation on a VM that is not known to have ended.
    pub(crate) fn on_vm(&self, vm: &str) -> Option<EndpointKey> {
        self.active_on_vm(vm).next_back()
    }

    /// Returns the incarnations on a VM that are not known to have ended, oldest first.
    pub(crate) fn active_on_vm(&self, vm: &str) -> impl DoubleEndedIterator<Item = EndpointKey> {
        let incarnations = self.locations.on_vm(vm);
        incarnations.filter(|&key| !self.get(key).has_ended)
    }

    /// Returns other incarnations with the same address or VM that are not known to have ended, or
    /// whose end was only inferred; no later ones with the same id, which a report cannot end.
    pub(crate) fn others_at_location(&self, key: EndpointKey) -> Vec<EndpointKey> {
        let one = self.get(key);
        let at_address = self.locations.at_address(one.address);
        let on_vm = (!one.vm.is_empty()).then(|| self.locations.on_vm(&one.vm));
        let mut others: Vec<EndpointKey> = at_address
            .chain(on_vm.into_iter().flatten())
            .filter(|&other| {
                let incarnation = self.get(other);
                other != key
                    && (!incarnation.has_ended || incarnation.is_end_inferred)
                    && !incarnation.is_later_start_of(one)
            })
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Removes incarnations that ended before a time and have no runs left.
    ///
    /// Each VM move ends an incarnation and starts another, so the table would grow without bound.
    pub fn remove_ended(&mut self, before_ms: u64) {
        let is_kept = |incarnation: &Endpoint| {
            !incarnation.has_ended
                || !incarnation.placed_runs.is_empty()
                || incarnation.ended_at_ms >= before_ms
        };
        let known = self.incarnations.len();
        self.incarnations.retain(is_kept);
        if self.incarnations.len() == known {
            return;
        }
        self.keys = self
            .incarnations
            .iter()
            .map(|incarnation| incarnation.key)
            .collect();
        let keys = &self.keys;
        let is_known = |key: EndpointKey| keys.binary_search(&key).is_ok();
        self.by_id.retain(|&key| is_known(key));
        self.locations.retain(is_known);
    }

    fn search_id(&self, id: &str) -> Result<usize, usize> {
        self.by_id
            .binary_search_by(|&key| self.get(key).id.as_str().cmp(id))
    }

    /// Returns the key of an endpoint id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<EndpointKey> {
        self.search_id(id).ok().map(|index| self.by_id[index])
    }

    /// Returns the key of an endpoint id, inserting a new endpoint if needed.
    pub fn find_or_insert(&mut self, id: &CompactString, now_ms: u64) -> EndpointKey {
        match self.search_id(id) {
            Ok(index) => self.by_id[index],
            Err(index) => {
                let key = self.next_key;
                self.next_key += 1;
                self.incarnations
                    .push(Endpoint::new(key, id.clone(), now_ms));
                self.keys.push(key);
                self.by_id.insert(index, key);
                key
            }
        }
    }

    /// Returns the key of the incarnation of a registry entry, inserting it if needed; `None` if the
    /// entry is of an earlier incarnation than the latest known one, or does not say of which.
    pub(crate) fn find_or_insert_listed(
        &mut self,
        entry: &EndpointEntry,
        now_ms: u64,
    ) -> Option<EndpointKey> {
        let key = self.find_or_insert(&entry.id, now_ms);
        let known = self.get(key);
        match (known.born_ms, entry.born_ms) {
            (None, None) => Some(key),
            (None, Some(born_ms)) if known.is_end_proved() => {
                Some(self.insert_successor(key, born_ms, now_ms))
            }
            (None, born_ms) => {
                self.get_mut(key).born_ms = born_ms;
                Some(key)
            }
            (Some(known_ms), Some(born_ms)) if known_ms < born_ms => {
                Some(self.insert_successor(key, born_ms, now_ms))
            }
            (known_ms, born_ms) => (known_ms == born_ms).then_some(key),
        }
    }

    /// Returns the key of the incarnation that has responded in place of another one with the same
    /// id, inserting it if needed.
    pub(crate) fn find_or_insert_successor(
        &mut self,
        replaced: EndpointKey,
        born_ms: u64,
        now_ms: u64,
    ) -> EndpointKey {
        let id = self.get(replaced).id.clone();
        let latest = self.find(&id).unwrap_or(replaced);
        if self.get(latest).born_ms == Some(born_ms) {
            return latest;
        }
        let address = self.get(replaced).address;
        let key = self.insert_successor(latest, born_ms, now_ms);
        self.set_address(key, address);
        key
    }

    /// Adds an incarnation with the id of another one, and refers the id to it.
    fn insert_successor(
        &mut self,
        predecessor: EndpointKey,
        born_ms: u64,
        now_ms: u64,
    ) -> EndpointKey {
        let id = self.get(predecessor).id.clone();
        let key = self.next_key;
        self.next_key += 1;
        match self.search_id(&id) {
            Ok(index) => self.by_id[index] = key,
            Err(index) => self.by_id.insert(index, key),
        }
        let mut successor = Endpoint::new(key, id, now_ms);
        successor.born_ms = Some(born_ms);
        successor.predecessor = Some(predecessor);
        self.incarnations.push(successor);
        self.keys.push(key);
        key
    }

    /// Returns every endpoint with its key.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.incarnations
            .iter()
            .map(|incarnation| (incarnation.key, incarnation))
    }

    /// Returns the keys of all endpoints, sorted.
    #[must_use]
    pub fn keys(&self) -> &[EndpointKey] {
        &self.keys
    }
}
