//! Rendezvous hashing of nodes.

use {lynxwheel_protocol::NodeName, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Returns the rank of `node` among `nodes` for `subject`, from 0.
///
/// The node of rank 0 proposes first, which avoids proposals that would be rejected. Nodes with
/// different views of the live nodes only cause more such rejections.
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
