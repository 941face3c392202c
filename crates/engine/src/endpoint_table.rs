//! Every life of an endpoint that is known, and which of them have changed.

use {
    crate::{
        endpoint_locations::EndpointLocations, endpoints::Endpoint, event::EndpointKey,
        reports::EndpointEntry,
    },
    compact_str::CompactString,
    std::net::SocketAddr,
};

/// Every endpoint's life that this owner has heard of, but for those that ended long ago.
///
/// A life that is handed out to be changed counts as changed until that is looked at, so that what
/// follows from a change need not be looked for among all of them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    /// Lives sorted by key.
    incarnations: Vec<Endpoint>,
    /// Their keys, in the same order: a search touches no life.
    keys: Vec<EndpointKey>,
    /// Keys sorted by id.
    by_id: Vec<EndpointKey>,
    locations: EndpointLocations,
    changed: Vec<EndpointKey>,
    next_key: EndpointKey,
    /// Stands for every life that has been forgotten: late answers may still name one.
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
    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> &Endpoint {
        match self.search_key(key) {
            Ok(index) => &self.incarnations[index],
            Err(_) => &self.forgotten,
        }
    }

    /// Returns an endpoint to change; changes of a forgotten one are lost.
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

    /// Returns the keys of lives changed since the last time.
    pub(crate) fn take_changed(&mut self) -> Vec<EndpointKey> {
        let changed = std::mem::take(&mut self.changed);
        for &key in &changed {
            if let Ok(index) = self.search_key(key) {
                self.incarnations[index].is_changed = false;
            }
        }
        changed
    }

    /// Takes over what the registry says of a life.
    pub(crate) fn update(&mut self, key: EndpointKey, entry: &EndpointEntry) {
        self.get_mut(key).update(entry);
        self.set_address(key, entry.address);
        if let Some(vm) = &entry.vm {
            self.set_vm(key, vm);
        }
    }

    /// Takes in at which address a life is.
    pub(crate) fn set_address(&mut self, key: EndpointKey, address: SocketAddr) {
        if let Ok(index) = self.search_key(key) {
            let known = std::mem::replace(&mut self.incarnations[index].address, address);
            self.locations.change_address(key, known, address);
        }
    }

    /// Takes in on which VM a life is.
    pub(crate) fn set_vm(&mut self, key: EndpointKey, vm: &CompactString) {
        if let Ok(index) = self.search_key(key)
            && self.incarnations[index].vm != *vm
        {
            let known = std::mem::replace(&mut self.incarnations[index].vm, vm.clone());
            self.locations.change_vm(key, &known, vm);
        }
    }

    /// Returns the latest life on a VM that is not known to be over.
    pub(crate) fn on_vm(&self, vm: &str) -> Option<EndpointKey> {
        let mut incarnations = self.locations.on_vm(vm).rev();
        incarnations.find(|&key| !self.get(key).has_ended)
    }

    /// Returns other lives, not known to be over, at the address or on the VM of one.
    pub(crate) fn others_at_location(&self, key: EndpointKey) -> Vec<EndpointKey> {
        let one = self.get(key);
        let at_address = self.locations.at_address(one.address);
        let on_vm = (!one.vm.is_empty()).then(|| self.locations.on_vm(&one.vm));
        let mut others: Vec<EndpointKey> = at_address
            .chain(on_vm.into_iter().flatten())
            .filter(|&other| other != key && !self.get(other).has_ended)
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Forgets lives that ended before a time and of which nothing is left.
    ///
    /// Each move of a VM ends a life and begins another. Kept for good, a busy day's lives outnumbered
    /// the endpoints by far, in memory and in every look at all of them.
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

    /// Returns the key of an id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<EndpointKey> {
        self.search_id(id).ok().map(|index| self.by_id[index])
    }

    /// Returns the key of an id, and adds the endpoint when it is new.
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

    /// Returns every endpoint with its key.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.incarnations
            .iter()
            .map(|incarnation| (incarnation.key, incarnation))
    }

    /// Returns the keys of all endpoints.
    #[must_use]
    pub fn keys(&self) -> &[EndpointKey] {
        &self.keys
    }
}
