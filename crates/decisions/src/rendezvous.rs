//! Order of nodes for a subject by rendezvous hashing.

use {lynxwheel_protocol::NodeName, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Returns how many of `nodes` come before `node` for `subject`.
///
/// The node of rank 0 speaks first and the others wait, which spares rejected proposals; a wrong
/// view of the nodes costs no more than that.
#[must_use]
pub fn rendezvous_rank(subject: &str, node: &NodeName, nodes: &[NodeName]) -> usize {
    let own = weight(subject, node);
    nodes
        .iter()
        .filter(|other| *other != node)
        .filter(|other| (weight(subject, other), other.as_str()) > (own, node.as_str()))
        .count()
}

fn weight(subject: &str, node: &NodeName) -> u64 {
    xxh3_64_with_seed(
        node.as_str().as_bytes(),
        xxh3_64_with_seed(subject.as_bytes(), 0),
    )
}
