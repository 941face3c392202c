//! Index of endpoint incarnations by VM and by address.

use {crate::event::EndpointKey, compact_str::CompactString, std::net::SocketAddr};

/// Incarnations by VM and by address, both sorted, including ended ones until they are removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointLocations {
    by_vm: Vec<(CompactString, EndpointKey)>,
    by_address: Vec<(SocketAddr, EndpointKey)>,
}

impl EndpointLocations {
    /// Moves an incarnation between VMs; an empty name means none.
    pub(crate) fn change_vm(&mut self, key: EndpointKey, from: &str, to: &CompactString) {
        if let Ok(index) = self.vm_index(from, key) {
            self.by_vm.remove(index);
        }
        if !to.is_empty()
            && let Err(index) = self.vm_index(to, key)
        {
            self.by_vm.insert(index, (to.clone(), key));
        }
    }

    /// Changes the address of an incarnation.
    pub(crate) fn change_address(&mut self, key: EndpointKey, from: SocketAddr, to: SocketAddr) {
        if let Ok(index) = self.by_address.binary_search(&(from, key)) {
            self.by_address.remove(index);
        }
        if let Err(index) = self.by_address.binary_search(&(to, key)) {
            self.by_address.insert(index, (to, key));
        }
    }

    fn vm_index(&self, vm: &str, key: EndpointKey) -> Result<usize, usize> {
        self.by_vm
            .binary_search_by(|(known, other)| (known.as_str(), *other).cmp(&(vm, key)))
    }

    /// Returns the incarnations on a VM, the latest last.
    pub(crate) fn on_vm(&self, vm: &str) -> impl DoubleEndedIterator<Item = EndpointKey> {
        let begin = self.by_vm.partition_point(|(known, _)| known.as_str() < vm);
        let length = self.by_vm[begin..].partition_point(|(known, _)| known.as_str() == vm);
        self.by_vm[begin..begin + length]
            .iter()
            .map(|(_, key)| *key)
    }

    /// Returns the incarnations at an address, the latest last.
    pub(crate) fn at_address(
        &self,
        address: SocketAddr,
    ) -> impl DoubleEndedIterator<Item = EndpointKey> {
        let begin = self
            .by_address
            .partition_point(|(known, _)| *known < address);
        let length = self.by_address[begin..].partition_point(|(known, _)| *known == address);
        self.by_address[begin..begin + length]
            .iter()
            .map(|(_, key)| *key)
    }

    /// Keeps only the incarnations that satisfy a predicate.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(EndpointKey) -> bool) {
        self.by_vm.retain(|(_, key)| is_kept(*key));
        self.by_address.retain(|(_, key)| is_kept(*key));
    }
}
