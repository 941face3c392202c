//! Ownership of the fleet: records of the ownership log and the state derived from them.
//!
//! A claim is a conditional append at the offset up to which the claimant has read the log, so only
//! one of several concurrent claims succeeds, and a renewal defeats them all. The epoch is the
//! claim's offset plus one, which makes it unique and increasing. Ownership only coordinates who
//! should act; safety comes from the store and the endpoints, which reject lower epochs.

use {
    crate::standbys::StandbyRecord,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Interval between renewals, in milliseconds; several fit into the owner timeout.
pub const RENEWAL_INTERVAL_MS: u64 = 350;

/// Time without a renewal after which another node claims the ownership, in milliseconds. Allows
/// for appends of about 400 ms to a slow store.
pub const OWNER_TIMEOUT_MS: u64 = 1_300;

/// Time without a renewal after which nodes probe the owner, in milliseconds. An owner that does
/// not respond is replaced; one that does gets the full timeout, as the store may be slow.
pub const SUSPICION_TIMEOUT_MS: u64 = 550;

/// Maximum age of the last renewal for an owner to issue VM orders, in milliseconds; below the
/// owner timeout, so that there is no successor yet.
pub const FRESH_RENEWAL_MS: u64 = 1_000;

/// Time for which the owner's address must refuse connections before another node claims, in
/// milliseconds. Tolerates an owner that is slow to start listening.
pub const REFUSED_CONNECTIONS_MS: u64 = 200;

/// Number of stored marks kept: five seconds at the renewal interval, longer than an earlier
/// owner's orders matter.
const MAX_STORED_MARKS: usize = 16;

/// Time for which a small node lets larger ones claim first, in milliseconds. Larger nodes may
/// detect the failure later, and a small node cannot keep up as the owner of a large fleet.
pub const SMALL_NODE_CLAIM_DELAY_MS: u64 = 700;

/// Random delay before the owner is probed, in milliseconds. Simultaneous probes would overflow the
/// owner's accept queue and make it look unresponsive.
const PROBE_JITTER_MS: u64 = 60;

/// Random delay of probes from small nodes, in milliseconds; there may be hundreds of them.
const SMALL_NODE_PROBE_JITTER_MS: u64 = 900;

/// Delay of the first claim for each halving of the CPU capacity below one core, in milliseconds. A
/// node with half a core is ahead of one with an eighth by more than [`SMALL_NODE_CLAIM_DELAY_MS`].
const FIRST_CLAIM_DELAY_PER_HALVING_MS: f64 = 360.0;

/// Maximum delay of the first claim, in milliseconds. Small nodes of the same size gain nothing by
/// waiting longer.
const MAX_FIRST_CLAIM_DELAY_MS: f64 = 1_200.0;

/// One core, in thousandths.
const CORE_MILLIS: u32 = 1_000;

/// Kind of ownership record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipKind {
    /// Claims the ownership; the record's offset determines the epoch.
    Claim,
    /// Renews the ownership.
    Renewal,
    /// Releases the ownership.
    Release,
}

/// Record of the ownership log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// Kind of record.
    pub kind: OwnershipKind,
    /// Epoch of the writer; 0 in a claim.
    pub epoch: u64,
    /// Identifier of the writer's process lifetime.
    pub incarnation: u64,
    /// Address at which peers reach the writer.
    pub address: SocketAddr,
    /// Effective CPU capacity of the writer, in thousandths of a core.
    pub cpu_millis: u32,
    /// Offset below which the owner's state records are known to be stored; 0 if unknown.
    pub stored_end: u64,
}

/// Returns the delay of the first claim in an empty log, in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "within the longest wait"
)]
fn first_claim_delay_ms(cpu_millis: u32) -> u64 {
    let halvings = (f64::from(CORE_MILLIS) / f64::from(cpu_millis.max(1))).log2();
    (halvings * FIRST_CLAIM_DELAY_PER_HALVING_MS).clamp(0.0, MAX_FIRST_CLAIM_DELAY_MS) as u64
}

/// Returns whether a node is so much smaller than another that the other should own the fleet. The
/// factor tolerates differences between similar nodes.
pub fn is_much_smaller(cpu_millis: u32, other_millis: u32) -> bool {
    u64::from(cpu_millis) * 4 < u64::from(other_millis) * 3
}

impl OwnershipRecord {
    /// Encodes the record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Node that owns the fleet in an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerInfo {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Identifier of the owner's process lifetime.
    pub incarnation: u64,
    /// Address at which peers reach the owner.
    pub address: SocketAddr,
    /// Effective CPU capacity of the owner, in thousandths of a core.
    pub cpu_millis: u32,
}

/// State records below an offset were stored by a monotonic time of this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct StoredMark {
    end: u64,
    observed_ms: u64,
}

/// Ownership state of a node, replayed from the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnershipView {
    /// Current owner, if any. An owner that has released the ownership remains until it is
    /// succeeded.
    pub owner: Option<OwnerInfo>,
    /// Highest known epoch.
    pub epoch: u64,
    /// Offset of the next record to read.
    pub next_offset: u64,
    /// Whether the current owner has released the ownership.
    pub is_released: bool,
    /// Nodes that the owner has chosen to follow every renewal, sorted.
    standbys: Vec<SocketAddr>,
    /// Owner before the current one.
    predecessor: Option<OwnerInfo>,
    /// Largest CPU capacity of any writer, in thousandths of a core.
    pub largest_cpu_millis: u32,
    /// Bounds on when records were stored, sorted by offset.
    stored_marks: Vec<StoredMark>,
    /// Time since which the owner's address has refused connections.
    refused_since_ms: Option<u64>,
    /// Whether the owner missed its renewals and did not respond to a probe.
    is_unresponsive: bool,
    last_heard_ms: u64,
    reading_since_ms: Option<u64>,
}

impl OwnershipView {
    /// Applies the record at `next_offset`; `None` stands for a record that cannot be decoded.
    pub fn apply(&mut self, record: Option<&OwnershipRecord>, now_ms: u64) {
        let offset = self.next_offset;
        self.next_offset += 1;
        let Some(record) = record else {
            return;
        };
        let epoch = match record.kind {
            OwnershipKind::Claim => offset + 1,
            OwnershipKind::Renewal | OwnershipKind::Release => record.epoch,
        };
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            // Not only with a claim, which may have been trimmed before this node read it.
            self.standbys.clear();
        }
        self.epoch = epoch;
        self.last_heard_ms = now_ms;
        self.refused_since_ms = None;
        self.is_unresponsive = false;
        self.record_stored_end(record.stored_end, now_ms);
        if record.kind == OwnershipKind::Claim {
            self.predecessor = self.owner;
        }
        self.is_released = match record.kind {
            OwnershipKind::Claim => false,
            // A renewal that was in flight during the release does not revoke it.
            OwnershipKind::Renewal => self.is_released,
            OwnershipKind::Release => true,
        };
        self.owner = Some(OwnerInfo {
            epoch,
            incarnation: record.incarnation,
            address: record.address,
            cpu_millis: record.cpu_millis,
        });
        self.largest_cpu_millis = self.largest_cpu_millis.max(record.cpu_millis);
    }

    /// Applies the record of standbys at `next_offset`.
    pub fn apply_standbys(&mut self, record: &StandbyRecord) {
        self.next_offset += 1;
        if record.epoch == self.epoch {
            self.standbys.clone_from(&record.standbys);
        }
    }

    /// Returns whether the owner has standbys, and the node at an address is none of them.
    #[must_use]
    pub fn has_standby_elsewhere(&self, address: SocketAddr) -> bool {
        !self.standbys.is_empty() && self.standbys.binary_search(&address).is_err()
    }

    fn record_stored_end(&mut self, end: u64, now_ms: u64) {
        let newest = self.stored_marks.last().map_or(0, |mark| mark.end);
        if end > newest {
            if self.stored_marks.len() == MAX_STORED_MARKS {
                self.stored_marks.remove(0);
            }
            self.stored_marks.push(StoredMark {
                end,
                observed_ms: now_ms,
            });
        }
    }

    /// Returns the latest time at which the state record at `offset` was stored, on this node's
    /// monotonic clock; `None` if unknown.
    #[must_use]
    pub fn stored_by_ms(&self, offset: u64) -> Option<u64> {
        let index = self.stored_marks.partition_point(|mark| mark.end <= offset);
        self.stored_marks.get(index).map(|mark| mark.observed_ms)
    }

    /// Records that the address of the owner of `epoch` refused a connection.
    ///
    /// The owner's process has ended while its VM is still running, so another node need not wait
    /// for the owner timeout. A later renewal clears the refusal. A mistake costs a change of owner,
    /// and nothing else.
    pub fn record_refused_connection(&mut self, epoch: u64, now_ms: u64) {
        if epoch == self.epoch {
            self.refused_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns whether the owner's address has refused connections for long enough to replace the
    /// owner.
    fn has_owner_refused_connections(&self, now_ms: u64) -> bool {
        self.owner.is_some()
            && self
                .refused_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + REFUSED_CONNECTIONS_MS)
    }

    /// Returns the time until the owner is to be probed, in milliseconds; `None` without an owner
    /// or while the log cannot be read.
    #[must_use]
    pub fn until_suspected_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.reading_since_ms?;
        self.owner?;
        Some((self.last_heard_ms.max(since_ms) + SUSPICION_TIMEOUT_MS).saturating_sub(now_ms))
    }

    /// Records that the owner of `epoch` missed its renewals and did not respond to a probe.
    pub fn record_unresponsive(&mut self, epoch: u64, now_ms: u64) {
        if epoch == self.epoch && self.until_suspected_ms(now_ms) == Some(0) {
            self.is_unresponsive = true;
        }
    }

    /// Returns the offset at which the owner of `epoch` appends its next renewal, given the end of
    /// its previous one; `None` if a newer epoch is known.
    ///
    /// A renewal is stored only if nothing else is at its offset, which proves that there is no newer
    /// claim as long as everything before the offset was read by the same owner.
    #[must_use]
    pub fn renewal_offset(&self, epoch: u64, previous_end: u64) -> Option<u64> {
        (self.epoch <= epoch).then(|| self.next_offset.max(previous_end))
    }

    /// Records that the log was read to its end.
    pub fn record_read(&mut self, now_ms: u64) {
        self.reading_since_ms.get_or_insert(now_ms);
    }

    /// Records that the log could not be read; missing renewals do not count until it can be again.
    pub fn record_read_failure(&mut self) {
        self.reading_since_ms = None;
    }

    /// Continues at `offset` after earlier records have been trimmed.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = offset;
    }

    /// Returns whether the process `incarnation` at `address` has replaced the owner's process
    /// there.
    #[must_use]
    pub fn is_owner_restarted_at(&self, incarnation: u64, address: SocketAddr) -> bool {
        self.owner
            .is_some_and(|owner| owner.address == address && owner.incarnation != incarnation)
    }

    /// Returns the epoch of the previous owner if its process has ended, which is known when the
    /// current owner is a later process at the same address.
    #[must_use]
    pub fn ended_predecessor_epoch(&self) -> Option<u64> {
        let (predecessor, owner) = self.predecessor.zip(self.owner)?;
        let has_ended =
            predecessor.address == owner.address && predecessor.incarnation != owner.incarnation;
        has_ended.then_some(predecessor.epoch)
    }

    /// Returns how long a node waits before claiming, so that larger nodes go first, in
    /// milliseconds.
    ///
    /// A small owner falls behind during bursts. Until the first claim, the sizes of other nodes
    /// are unknown, so the delay depends on the node's own size and is counted from its start.
    #[must_use]
    pub fn claim_delay_ms(&self, cpu_millis: u32, uptime_ms: u64) -> u64 {
        if self.largest_cpu_millis == 0 {
            return first_claim_delay_ms(cpu_millis).saturating_sub(uptime_ms);
        }
        if self.is_small(cpu_millis) {
            SMALL_NODE_CLAIM_DELAY_MS
        } else {
            0
        }
    }

    /// Returns the range of the random delay before a probe, in milliseconds.
    #[must_use]
    pub fn probe_jitter_ms(&self, cpu_millis: u32) -> u64 {
        if self.is_small(cpu_millis) {
            SMALL_NODE_PROBE_JITTER_MS
        } else {
            PROBE_JITTER_MS
        }
    }

    /// Returns whether a node is much smaller than the largest one seen in the log.
    #[must_use]
    pub fn is_small(&self, cpu_millis: u32) -> bool {
        is_much_smaller(cpu_millis, self.largest_cpu_millis)
    }

    /// Returns whether the owner is so small that a node of this size should replace it.
    #[must_use]
    pub fn has_small_owner(&self, cpu_millis: u32) -> bool {
        self.owner
            .is_some_and(|owner| is_much_smaller(owner.cpu_millis, cpu_millis))
    }

    /// Returns whether a node should claim the ownership.
    #[must_use]
    pub fn needs_owner(&self, now_ms: u64) -> bool {
        let Some(since_ms) = self.reading_since_ms else {
            return false;
        };
        if self.is_released || self.epoch == 0 {
            return true;
        }
        let is_gone = self.is_unresponsive || self.has_owner_refused_connections(now_ms);
        is_gone || now_ms > self.last_heard_ms.max(since_ms) + OWNER_TIMEOUT_MS
    }
}
