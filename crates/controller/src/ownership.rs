//! Who owns the fleet: the records in the log, and what a node concludes from them.
//!
//! A claim is appended on the condition that the log ends where the claimant has read to, so of
//! several one succeeds, and a renewal in between defeats them all. The claim's offset, plus one,
//! is the epoch: no two claims share it, and it rises. It is a hint for who should act; safety
//! comes from the epoch at the store and at the endpoints, which refuse lower ones.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Time between an owner's renewals, in milliseconds: three fit into the silence allowed.
pub const RENEWAL_INTERVAL_MS: u64 = 350;

/// Silence after which another node claims, in milliseconds. A store slowed to a hundredth takes
/// some 400 ms an append, so that even then a sound owner is heard every 800 ms.
pub const OWNER_TIMEOUT_MS: u64 = 1_300;

/// Silence after which the owner is asked whether it is there, in milliseconds: a renewal and its
/// usual delays. One that does not answer either is succeeded; one that does is given the whole
/// silence, as then the store may be slow.
pub const SUSPICION_TIMEOUT_MS: u64 = 550;

/// Age of the last renewal up to which an owner gives orders for VMs, in milliseconds: well below
/// the silence after which there may be a successor.
pub const FRESH_RENEWAL_MS: u64 = 1_000;

/// Time for which an owner's address has to refuse connections before another node claims, in
/// milliseconds: a restarted process is back at its address sooner than its leases suffer, but one
/// that was only slow to listen is left alone.
pub const REFUSED_CONNECTIONS_MS: u64 = 200;

/// Statements kept on what was stored by when: at a renewal each 350 ms, five seconds, which is
/// longer than any order of an earlier owner matters.
const MAX_STORED_MARKS: usize = 16;

/// Time for which a small node lets larger ones claim first, in milliseconds: they may find out half a
/// second later, and a small owner of a large fleet falls behind at once.
pub const SMALL_NODE_CLAIM_DELAY_MS: u64 = 700;

/// Time over which nodes spread their asks whether the owner is there, in milliseconds: where all ask
/// in the same moment, its queue of new connections overflows, and a sound owner seems not to answer.
const PROBE_JITTER_MS: u64 = 60;

/// The same for small nodes, of which there may be hundreds and which would claim last.
const SMALL_NODE_PROBE_JITTER_MS: u64 = 900;

/// Time that a node waits with the very first claim each time that its processor is halved, from a whole
/// core on, in milliseconds: one of half a core is ahead of one of an eighth by [`SMALL_NODE_DELAY_MS`].
const FIRST_CLAIM_DELAY_PER_HALVING_MS: f64 = 360.0;

/// Longest of these waits, in milliseconds: tiny nodes that are alike gain nothing by waiting.
const MAX_FIRST_CLAIM_DELAY_MS: f64 = 1_200.0;

/// A whole core, in thousandths of one.
const CORE_MILLIS: u32 = 1_000;

/// What a record of the ownership log says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnershipKind {
    /// A node takes over; the record's offset gives the epoch.
    Claim,
    /// The owner goes on.
    Renewal,
    /// The owner gives up.
    Release,
}

/// Record of the ownership log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// What it says.
    pub kind: OwnershipKind,
    /// Epoch of the writer; 0 in a claim.
    pub epoch: u64,
    /// Life of the writer's process.
    pub incarnation: u64,
    /// Address at which the writer takes other nodes' requests.
    pub address: SocketAddr,
    /// Processor that the writer has, in thousandths of a core.
    pub cpu_millis: u32,
    /// Offset up to which the writer knows the owners' records to be stored; 0 for none.
    pub stored_end: u64,
}

/// Returns how long a node waits with the very first claim, in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "within the longest wait"
)]
fn first_claim_delay_ms(cpu_millis: u32) -> u64 {
    let halvings = (f64::from(CORE_MILLIS) / f64::from(cpu_millis.max(1))).log2();
    (halvings * FIRST_CLAIM_DELAY_PER_HALVING_MS).clamp(0.0, MAX_FIRST_CLAIM_DELAY_MS) as u64
}

/// Tells whether a node is so much smaller than another that the other should own the fleet.
/// Three quarters leave alike nodes alone, whatever their figures are rounded to.
fn is_much_smaller(cpu_millis: u32, other_millis: u32) -> bool {
    u64::from(cpu_millis) * 4 < u64::from(other_millis) * 3
}

impl OwnershipRecord {
    /// Encodes the record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record; nothing when it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// An owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerInfo {
    /// Epoch.
    pub epoch: u64,
    /// Life of its process.
    pub incarnation: u64,
    /// Address at which it takes other nodes' requests.
    pub address: SocketAddr,
    /// Processor that it has, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Everything before an offset of the owners' records was stored by a time on this node's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct StoredMark {
    end: u64,
    observed_ms: u64,
}

/// What a node knows of ownership.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnershipView {
    /// Owner, if there is one; one that has given up goes on until it is succeeded.
    pub owner: Option<OwnerInfo>,
    /// Highest epoch heard of.
    pub epoch: u64,
    /// Offset up to which the log was read.
    pub next_offset: u64,
    /// Whether the owner has given up.
    pub is_released: bool,
    /// Owner before that one.
    predecessor: Option<OwnerInfo>,
    /// Most processor that a writer of the log had, in thousandths of a core.
    pub largest_cpu_millis: u32,
    /// What was stored by when, in the order heard.
    stored_marks: Vec<StoredMark>,
    /// Since when the owner's address refuses connections.
    refused_since_ms: Option<u64>,
    /// Whether the owner was silent and did not answer when it was asked.
    is_unresponsive: bool,
    last_heard_ms: u64,
    reading_since_ms: Option<u64>,
}

impl OwnershipView {
    /// Takes in the record at the offset up to which the log was read.
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
            // One that was under way when the owner gave up takes nothing back.
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

    fn record_stored_end(&mut self, end: u64, now_ms: u64) {
        let newest = self.stored_marks.last().map_or(0, |known| known.end);
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

    /// Returns by when a record of the owners was stored at the latest, on this node's clock;
    /// nothing when that was not heard.
    #[must_use]
    pub fn stored_by_ms(&self, offset: u64) -> Option<u64> {
        let index = self
            .stored_marks
            .partition_point(|known| known.end <= offset);
        self.stored_marks.get(index).map(|known| known.observed_ms)
    }

    /// Takes in that nothing listens at the address of the owner of an epoch.
    ///
    /// Its process has ended though its VM lives. Waiting for its silence kept callers for 1.3 s,
    /// and those that were refused meanwhile came back only a second later. A renewal that is read
    /// after the refusal takes it back, and a claim on a mistake is harmless but for a change of
    /// owners.
    pub fn record_refused_connection(&mut self, epoch: u64, now_ms: u64) {
        if epoch == self.epoch {
            self.refused_since_ms.get_or_insert(now_ms);
        }
    }

    /// Tells whether the owner's process has been known to be over for long enough to succeed it.
    fn has_owner_refused_connections(&self, now_ms: u64) -> bool {
        self.owner.is_some()
            && self
                .refused_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + REFUSED_CONNECTIONS_MS)
    }

    /// Returns how long the owner may stay silent before it is asked, in milliseconds; nothing
    /// without an owner, or while the log cannot be read.
    #[must_use]
    pub fn until_suspected_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.reading_since_ms?;
        self.owner?;
        Some((self.last_heard_ms.max(since_ms) + SUSPICION_TIMEOUT_MS).saturating_sub(now_ms))
    }

    /// Takes in that the owner of an epoch, silent in the log, did not answer either.
    pub fn record_unresponsive(&mut self, epoch: u64, now_ms: u64) {
        if epoch == self.epoch && self.until_suspected_ms(now_ms) == Some(0) {
            self.is_unresponsive = true;
        }
    }

    /// Takes in that the log was read up to its end.
    pub fn record_read(&mut self, now_ms: u64) {
        self.reading_since_ms.get_or_insert(now_ms);
    }

    /// Takes in that the log could not be read: silence says nothing about the owner then.
    pub fn record_read_failure(&mut self) {
        self.reading_since_ms = None;
    }

    /// Continues at an offset, as the records before it have expired.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = offset;
    }

    /// Tells whether the owner's process is known to be over: another one listens at its address.
    #[must_use]
    pub fn is_owner_restarted_at(&self, incarnation: u64, address: SocketAddr) -> bool {
        self.owner
            .is_some_and(|owner| owner.address == address && owner.incarnation != incarnation)
    }

    /// Returns the epoch of the owner before this one if its process is known to be over: a later
    /// life at its address is the owner now.
    #[must_use]
    pub fn ended_predecessor_epoch(&self) -> Option<u64> {
        let (predecessor, owner) = self.predecessor.zip(self.owner)?;
        let has_ended =
            predecessor.address == owner.address && predecessor.incarnation != owner.incarnation;
        has_ended.then_some(predecessor.epoch)
    }

    /// Returns how long a node lets larger ones claim first, in milliseconds.
    ///
    /// The owner does a good part of the fleet's work, and a small node that owns it falls behind
    /// in bursts: jobs then start seconds late. While nobody has ever owned the fleet the sizes of
    /// the others are not known, so a node waits by its own, from the start of its process on: after a
    /// while of failed tries nothing is gained by more of it.
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

    /// Returns the time over which a node spreads its ask whether the owner is there, in milliseconds.
    #[must_use]
    pub fn probe_jitter_ms(&self, cpu_millis: u32) -> u64 {
        if self.is_small(cpu_millis) {
            SMALL_NODE_PROBE_JITTER_MS
        } else {
            PROBE_JITTER_MS
        }
    }

    /// Tells whether a node is much smaller than the largest that has owned the fleet.
    #[must_use]
    pub fn is_small(&self, cpu_millis: u32) -> bool {
        is_much_smaller(cpu_millis, self.largest_cpu_millis)
    }

    /// Tells whether the owner is so small that a node of this size should ask to succeed it.
    #[must_use]
    pub fn has_small_owner(&self, cpu_millis: u32) -> bool {
        self.owner
            .is_some_and(|owner| is_much_smaller(owner.cpu_millis, cpu_millis))
    }

    /// Tells whether the fleet needs an owner.
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
