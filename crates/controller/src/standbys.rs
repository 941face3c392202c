//! Nodes that follow every renewal of the owner, so that it is succeeded early.
//!
//! Only a few are needed. If every large node of a large fleet did, their reads would grow with the
//! fleet although nothing happens. The owner chooses the standbys among the nodes that forward
//! requests to it and appends them to the ownership log. The other nodes read it seldom; whoever
//! gets no response from the owner follows every record again.

use {
    crate::{members::Member, ownership::is_much_smaller},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Standbys in each availability zone, so that one is left if the other is lost with the owner.
const STANDBYS_PER_ZONE: usize = 2;

/// Minimum number of large nodes for standbys to be chosen. With fewer, all of them follow.
const MIN_LARGE_NODES: usize = 20;

/// Time after which a silent node is no candidate any more, in milliseconds. A node forwards requests
/// only when it has callers.
const CANDIDATE_TIMEOUT_MS: u64 = 20_000;

/// Record of the ownership log with the standbys of an epoch.
///
/// Builds that do not know it skip it as a record that cannot be decoded, and follow every renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StandbyRecord {
    /// Epoch of the owner that chose them.
    pub epoch: u64,
    /// Addresses, sorted.
    pub standbys: Vec<SocketAddr>,
}

impl StandbyRecord {
    /// Encodes the record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if it is malformed or of another kind.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Candidates for standbys of one owner.
#[derive(Clone, Debug, Default)]
pub struct StandbyCandidates {
    /// Nodes with the monotonic time at which they were last seen, sorted by address.
    seen: Vec<(Member, u64)>,
    has_chosen: bool,
}

impl StandbyCandidates {
    /// Records the nodes that are live at a monotonic time in milliseconds.
    pub fn record(&mut self, live: &[Member], now_ms: u64) {
        self.seen
            .retain(|(_, seen_ms)| now_ms < seen_ms + CANDIDATE_TIMEOUT_MS);
        for member in live {
            let index = self
                .seen
                .binary_search_by_key(&member.address, |(other, _)| other.address);
            match index {
                Ok(index) => self.seen[index] = (member.clone(), now_ms),
                Err(index) => self.seen.insert(index, (member.clone(), now_ms)),
            }
        }
    }

    /// Returns the record to append next; `None` if there have been no standbys yet. Later it may be
    /// without any, so that all large nodes follow again.
    pub fn next_record(&mut self, epoch: u64, owner_cpu_millis: u32) -> Option<StandbyRecord> {
        let standbys = self.choose(owner_cpu_millis);
        self.has_chosen |= !standbys.is_empty();
        self.has_chosen.then_some(StandbyRecord { epoch, standbys })
    }

    /// Returns the addresses of the standbys, sorted; none if all large nodes should follow.
    ///
    /// `owner_cpu_millis` is the CPU capacity of the owner, in thousandths of a core.
    #[must_use]
    pub fn choose(&self, owner_cpu_millis: u32) -> Vec<SocketAddr> {
        let members = self.seen.iter().map(|(member, _)| member);
        let largest_millis = members.clone().map(|member| member.cpu_millis).max();
        let largest_millis = largest_millis.unwrap_or_default().max(owner_cpu_millis);
        let large = members.filter(|member| !is_much_smaller(member.cpu_millis, largest_millis));
        if large.clone().count() < MIN_LARGE_NODES {
            return Vec::new();
        }
        let mut zones: Vec<(&str, usize)> = Vec::new();
        let mut standbys = Vec::new();
        for member in large {
            let index = zones.binary_search_by(|(zone, _)| zone.cmp(&member.zone.as_str()));
            let index = index.unwrap_or_else(|index| {
                zones.insert(index, (&member.zone, 0));
                index
            });
            if zones[index].1 < STANDBYS_PER_ZONE {
                zones[index].1 += 1;
                standbys.push(member.address);
            }
        }
        standbys
    }
}
