//! Nodes that were heard of lately, from the requests that they pass on.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Age up to which a node that was heard of counts as there, in milliseconds: every node passes some
/// request on each second while callers come.
pub const MEMBER_TIMEOUT_MS: u64 = 5_000;

/// A node, as it says of itself with every request that it passes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address at which it takes other nodes' requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Processor that it has at the moment, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}

/// Nodes heard of, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Vec<(Member, u64)>,
}

impl Members {
    /// Takes in that a node was heard of.
    pub fn record(&mut self, member: Member, now_ms: u64) {
        let index = self
            .members
            .binary_search_by_key(&member.address, |(known, _)| known.address);
        match index {
            Ok(index) => self.members[index] = (member, now_ms),
            Err(index) => self.members.insert(index, (member, now_ms)),
        }
    }

    /// Returns the nodes that count as there, and forgets the others.
    pub fn live(&mut self, now_ms: u64) -> Vec<Member> {
        self.members
            .retain(|(_, last_heard_ms)| now_ms < last_heard_ms + MEMBER_TIMEOUT_MS);
        self.members
            .iter()
            .map(|(member, _)| member.clone())
            .collect()
    }
}
