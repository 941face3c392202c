//! Live nodes, as seen from the requests that they forward.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Time after which a silent node no longer counts as live, in milliseconds. With callers present,
/// every node forwards requests each second.
pub const MEMBER_TIMEOUT_MS: u64 = 5_000;

/// Description of a node, sent with each forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address at which peers reach the node.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: String,
    /// Effective CPU capacity, in thousandths of a core.
    pub cpu_millis: u32,
    /// Link bandwidth, in megabits per second.
    pub link_mbps: u32,
}

/// Nodes with the time of their last request, sorted by address.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Vec<(Member, u64)>,
}

impl Members {
    /// Records a request forwarded by a node.
    pub fn record(&mut self, member: Member, now_ms: u64) {
        let index = self
            .members
            .binary_search_by_key(&member.address, |(other, _)| other.address);
        match index {
            Ok(index) => self.members[index] = (member, now_ms),
            Err(index) => self.members.insert(index, (member, now_ms)),
        }
    }

    /// Removes nodes that have timed out and returns the others.
    pub fn live(&mut self, now_ms: u64) -> Vec<Member> {
        self.members
            .retain(|(_, last_heard_ms)| now_ms < last_heard_ms + MEMBER_TIMEOUT_MS);
        self.members
            .iter()
            .map(|(member, _)| member.clone())
            .collect()
    }
}
