//! Owners that are cut off from the store: in a partition, the owner goes on with some endpoints
//! beside a successor with the others, for much longer than a lease; in an outage, no node reaches
//! the store.

use {
    super::{
        Effect, Fate, HISTORY_MS, History, RegistryChange, Restarts, SLOTS, STEP_MS, SimEndpoint,
    },
    lynxwheel_engine::MAX_PROOF_AGE_MS,
    rand::RngExt,
    std::ops::Range,
};

/// Duration of a partition, in milliseconds. Half of them outlast all leases.
const PARTITION_MS: Range<u64> = 3_000..15_000;
const LONG_PARTITION_MS: Range<u64> = 10_000..15_000;

/// Time from the beginning of a partition until the successor takes over, in milliseconds. Half of
/// them are early.
const TAKEOVER_MS: Range<u64> = 500..2_000;
const EARLY_TAKEOVER_MS: Range<u64> = 500..600;

/// Share of calls that go wrong in half of the partitions, in percent.
const PARTITION_FAULT_PERCENT: u32 = 50;

/// Time from the end of a partition until the store rejects the former owner, in milliseconds.
const DEPOSED_MS: Range<u64> = 0..500;

/// Time after which the registry entry of an endpoint that is cut off expires, in milliseconds.
const ENTRY_EXPIRY_MS: Range<u64> = 1_000..4_000;

/// Durations of outages of the store, in milliseconds.
const OUTAGES_MS: [u64; 3] = [1_500, 3_500, 6_000];

/// Interval between renewals of the ownership, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 350;

/// Time from sending a renewal of the ownership until its response, in milliseconds.
const RENEWAL_MS: Range<u64> = 0..100;

/// Time after a missed call in which an endpoint gets its next lease, in milliseconds.
const CALLED_AGAIN_MS: u64 = 2_000;

/// Time after an outage of the store in which leases are extended again, in milliseconds.
const EXTENDED_AGAIN_MS: u64 = 1_000;

/// Faults that cut owners off from the store, and the proofs of ownership that they leave.
#[derive(Debug, Default)]
pub(super) struct OwnerFaults {
    /// When the last fault may begin.
    last_begin_ms: u64,
    /// When the current fault and its consequences are over.
    until_ms: u64,
    partition: Option<Partition>,
    /// When the last outage of the store begins and ends.
    outage_ms: Range<u64>,
    /// When the last stored renewals or commits of the owner and of the former one were sent.
    proven_ms: Option<u64>,
    former_proven_ms: Option<u64>,
    /// When the last renewal was sent, and when its response arrives.
    sent_ms: u64,
    response_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Partition {
    /// When the successor takes over; `None` once it has.
    takeover_ms: Option<u64>,
    until_ms: u64,
    /// When the store rejects the owner that is cut off.
    deposed_ms: u64,
    /// Owner that is cut off from the store.
    epoch: u64,
    /// Whether the endpoint of each slot is on the side of that owner.
    is_with_owner: [bool; SLOTS],
}

impl History {
    pub(super) fn with_partitions(seed: u64) -> Self {
        let mut history = Self::new(seed, Restarts::NewId);
        history.owner_faults = Some(OwnerFaults {
            last_begin_ms: history.now_ms() + HISTORY_MS - PARTITION_MS.end - DEPOSED_MS.end,
            ..OwnerFaults::default()
        });
        history
    }

    /// Returns whether a partition or an outage goes on, or a former owner that was cut off acts.
    pub(super) fn has_owner_fault(&self) -> bool {
        let faults = self.owner_faults.as_ref();
        faults.is_some_and(|faults| self.now_ms() < faults.until_ms)
    }

    /// Returns whether an owner and the endpoint of a slot are on different sides of a partition.
    pub(super) fn is_parted(&self, slot: usize, epoch: u64) -> bool {
        self.partition()
            .is_some_and(|partition| partition.is_with_owner[slot] != (epoch <= partition.epoch))
    }

    /// Returns whether the calls of an owner do not reach the endpoint of a slot.
    pub(super) fn is_cut(&self, slot: usize, epoch: u64) -> bool {
        self.endpoints[slot].is_cut(epoch, self.now_ms()) || self.is_parted(slot, epoch)
    }

    /// Returns whether the endpoint of a slot is cut off from the store.
    pub(super) fn is_off_store(&self, slot: usize) -> bool {
        self.partition()
            .is_some_and(|partition| partition.is_with_owner[slot])
    }

    /// Returns the partition that goes on.
    fn partition(&self) -> Option<&Partition> {
        let partition = self.owner_faults.as_ref()?.partition.as_ref()?;
        (self.now_ms() < partition.until_ms).then_some(partition)
    }

    /// Returns the fate of a call across a partition, which may arrive once it is over.
    pub(super) fn parted_fate(&mut self, effect: &Effect) -> Fate {
        match self.random.random_range(0..10) {
            0..3 => Fate::Late,
            3..6 if !matches!(effect, Effect::Renew { .. }) => Fate::Unsent,
            _ => Fate::Lost,
        }
    }

    /// Records that the endpoints of the slots that satisfy `is_missed` are not called properly.
    pub(super) fn record_missed(&mut self, is_missed: impl Fn(usize) -> bool) {
        let now_ms = self.now_ms();
        for slot in (0..SLOTS).filter(|slot| is_missed(*slot)) {
            self.endpoints[slot].missed_ms = now_ms;
        }
    }

    pub(super) fn begin_owner_fault(&mut self) {
        let now_ms = self.now_ms();
        let Some(faults) = &self.owner_faults else {
            return;
        };
        let store_or_owner_ms = self.store_down_until_ms.max(self.suspended_until_ms);
        if now_ms >= faults.last_begin_ms || now_ms < faults.until_ms.max(store_or_owner_ms) {
            return;
        }
        match self.random.random_range(0..100) {
            0..6 => self.begin_partition(),
            6..8 => self.begin_outage(),
            _ => {}
        }
    }

    /// Picks from one of two ranges.
    fn pick_either(&mut self, one: Range<u64>, other: Range<u64>) -> u64 {
        let range = if self.happens(50) { one } else { other };
        self.pick(range)
    }

    fn begin_partition(&mut self) {
        let from_ms = self.now_ms();
        let until_ms = from_ms + self.pick_either(PARTITION_MS, LONG_PARTITION_MS);
        let takeover_ms = from_ms + self.pick_either(TAKEOVER_MS, EARLY_TAKEOVER_MS);
        let deposed_ms = until_ms + self.pick(DEPOSED_MS);
        let is_with_owner = std::array::from_fn(|_| self.happens(50));
        for (slot, &is_with_owner) in is_with_owner.iter().enumerate() {
            let side = if is_with_owner { "with" } else { "without" };
            let text = format!("parted until {until_ms}, {side} owner {}", self.epoch);
            self.note(slot, None, text);
            let expiry_ms = from_ms + self.pick(ENTRY_EXPIRY_MS);
            if is_with_owner && expiry_ms < until_ms {
                let removed = RegistryChange::Removed(self.endpoints[slot].id.clone());
                self.registry.push((expiry_ms, removed));
            }
        }
        if self.happens(50) {
            self.fault_percent = PARTITION_FAULT_PERCENT;
            self.phase_end_ms = until_ms;
        }
        self.store_down_until_ms = until_ms;
        let epoch = self.epoch;
        if let Some(faults) = &mut self.owner_faults {
            faults.until_ms = deposed_ms;
            faults.partition = Some(Partition {
                takeover_ms: Some(takeover_ms),
                until_ms,
                deposed_ms,
                epoch,
                is_with_owner,
            });
        }
    }

    /// Cuts all nodes off from the store, half of the time without other faults.
    fn begin_outage(&mut self) {
        let from_ms = self.now_ms();
        let until_ms = from_ms + OUTAGES_MS[self.random.random_range(0..OUTAGES_MS.len())];
        if self.happens(50) {
            self.fault_percent = 0;
            self.phase_end_ms = until_ms + EXTENDED_AGAIN_MS;
        }
        self.store_down_until_ms = until_ms;
        if let Some(faults) = &mut self.owner_faults {
            faults.until_ms = until_ms + EXTENDED_AGAIN_MS;
            faults.outage_ms = from_ms..until_ms;
        }
    }

    /// Renews the ownership, and lets the successor of an owner that is cut off take over.
    pub(super) fn advance_ownership(&mut self) {
        let Some(mut faults) = self.owner_faults.take() else {
            return;
        };
        let now_ms = self.now_ms();
        let partition = faults.partition.as_mut();
        let due = partition.filter(|one| one.takeover_ms.is_some_and(|ms| ms <= now_ms));
        if let Some(partition) = due {
            partition.takeover_ms = None;
            if self.happens(50) {
                self.fleet.store_in_flight();
            }
            self.replace_owner(partition.deposed_ms);
            faults.former_proven_ms = faults.proven_ms.take();
            faults.response_ms = None;
        }
        if faults.response_ms.is_some_and(|ms| ms <= now_ms) {
            faults.response_ms = None;
            if now_ms >= self.store_down_until_ms {
                faults.proven_ms = faults.proven_ms.max(Some(faults.sent_ms));
            }
        }
        if faults.response_ms.is_none() && now_ms >= faults.sent_ms + RENEWAL_INTERVAL_MS {
            faults.sent_ms = now_ms;
            faults.response_ms = Some(now_ms + self.pick(RENEWAL_MS));
        }
        let is_proven =
            |sent_ms: Option<u64>| sent_ms.is_some_and(|ms| now_ms <= ms + MAX_PROOF_AGE_MS);
        let engine = &mut self.fleet.engine;
        engine.allow_lease_extensions(is_proven(faults.proven_ms));
        if let Some((engine, _)) = &mut self.former {
            engine.allow_lease_extensions(is_proven(faults.former_proven_ms));
        }
        let is_outage = faults.outage_ms.contains(&now_ms);
        self.owner_faults = Some(faults);
        let is_store_lost = now_ms < self.store_down_until_ms && !is_outage;
        let is_cut: [bool; SLOTS] = std::array::from_fn(|slot| self.is_cut(slot, self.epoch));
        self.record_missed(|slot| is_store_lost || is_cut[slot]);
        if self.partition().is_some() {
            self.record_fault();
        }
    }

    /// Stores batches and releases their effects; one that is sent and stored proves the ownership.
    pub(super) fn settle(&mut self) {
        // The first one after an outage was sent before it.
        let is_back = self.now_ms() < self.store_down_until_ms + STEP_MS;
        let stored_batches = self.fleet.stored_batches;
        self.fleet.settle();
        let now_ms = self.now_ms();
        if let Some(faults) = &mut self.owner_faults
            && self.fleet.stored_batches > stored_batches
            && !is_back
        {
            faults.proven_ms = Some(now_ms);
        }
    }

    /// Work does not lapse during an outage of the store at an endpoint that is called throughout.
    pub(super) fn check_lapse(&self, slot: usize) {
        let Some(faults) = &self.owner_faults else {
            return;
        };
        let SimEndpoint {
            missed_ms,
            began_ms,
            runs,
            id,
            ..
        } = &self.endpoints[slot];
        let outage_ms = faults.outage_ms.start..faults.outage_ms.end + EXTENDED_AGAIN_MS;
        let called_since_ms = (*missed_ms).max(*began_ms) + CALLED_AGAIN_MS;
        if outage_ms.contains(&self.now_ms()) && called_since_ms < outage_ms.start {
            let mut known = runs.iter();
            if let Some(run) = known.find(|run| self.attempt(&run.task, run.run).is_some()) {
                self.fail("lapsed during an outage", Some(&run.task), id);
            }
        }
    }
}
