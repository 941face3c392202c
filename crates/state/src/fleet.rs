//! State of the fleet and the entry point of the fold.

use {
    crate::{
        jobs::{JobState, TeamState},
        keys::{KeyEntry, Keys},
        table::{Keyed, SortedTable},
        time::FoldTime,
        verdict::{Rejection, Verdict},
        vms::{PoolState, VmState, WaveState},
        writers::{Writer, Writers},
    },
    lynxwheel_protocol::{
        PolicySpec, Record, RecordBody, RequestKey, ServiceSpec, SnapshotId, VmPhase, VmReport,
        Weights,
    },
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Retention of idempotency keys when no policy is declared, in milliseconds.
const DEFAULT_KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Maximum number of idempotency keys when no policy is declared.
const DEFAULT_KEY_LIMIT: usize = 65_536;

/// Tolerated difference between the clocks of the nodes, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// Weights when no policy is declared.
const DEFAULT_WEIGHTS: Weights = Weights {
    roll_out: 1,
    buffer: 1,
    moves: 1,
};

/// A declaration with its revision, for kinds of resources without status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Revised<T> {
    pub(crate) spec: T,
    pub(crate) revision: u64,
}

impl Keyed for Revised<ServiceSpec> {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}

impl Keyed for Revised<PolicySpec> {
    type Key = str;

    fn key(&self) -> &str {
        self.spec.name.as_str()
    }
}

/// State of the fleet after all records up to an offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetState {
    pub(crate) offset: u64,
    pub(crate) time_ms: u64,
    /// Time of the record that is being applied, clamped to the tolerated clock skew.
    pub(crate) transition_ms: u64,
    pub(crate) fold_time: FoldTime,
    pub(crate) chain: u64,
    pub(crate) fold_version: u32,
    pub(crate) config_revision: u64,
    pub(crate) writers: Writers,
    pub(crate) policies: SortedTable<Revised<PolicySpec>>,
    pub(crate) teams: SortedTable<TeamState>,
    pub(crate) pools: SortedTable<PoolState>,
    pub(crate) vms: SortedTable<VmState>,
    pub(crate) services: SortedTable<Revised<ServiceSpec>>,
    pub(crate) jobs: SortedTable<JobState>,
    pub(crate) waves: SortedTable<WaveState>,
    pub(crate) keys: Keys,
    pub(crate) snapshot: Option<SnapshotId>,
    pub(crate) snapshot_ms: u64,
}

impl FleetState {
    /// Creates the state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fold_version: 1,
            ..Self::default()
        }
    }

    /// Applies the record at `offset` and returns the outcome.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Verdict {
        // `record_time` replaces this by the confirmed time, unless the record is a duplicate or its
        // writer is unknown.
        self.time_ms = self.time_ms.max(record.time_ms);
        let verdict = self.apply_record(offset, record);
        self.offset = offset;
        self.chain = next_digest(self.chain, offset, record, &verdict);
        verdict
    }

    /// Skips a record that this build cannot decode.
    pub fn skip(&mut self, offset: u64) {
        self.offset = offset;
        self.chain = xxh3_64_with_seed(&offset.to_le_bytes(), self.chain);
    }

    /// Returns the offset of the last applied record.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the highest time confirmed by two nodes, in milliseconds since the epoch.
    ///
    /// As long as only one node has written records, its time counts.
    #[must_use]
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Returns a digest of all records and their verdicts up to the offset.
    ///
    /// Nodes whose folds of the same records have diverged have different digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.chain
    }

    /// Returns the active fold version.
    #[must_use]
    pub fn fold_version(&self) -> u32 {
        self.fold_version
    }

    /// Returns the offset of the last accepted declaration of any kind.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.config_revision
    }

    /// Returns the known incarnations of the nodes.
    #[must_use]
    pub fn writers(&self) -> &Writers {
        &self.writers
    }

    /// Returns the pools.
    #[must_use]
    pub fn pools(&self) -> &SortedTable<PoolState> {
        &self.pools
    }

    /// Returns the VMs.
    #[must_use]
    pub fn vms(&self) -> &SortedTable<VmState> {
        &self.vms
    }

    /// Returns the jobs.
    #[must_use]
    pub fn jobs(&self) -> &SortedTable<JobState> {
        &self.jobs
    }

    /// Returns the teams.
    #[must_use]
    pub fn teams(&self) -> &SortedTable<TeamState> {
        &self.teams
    }

    /// Returns the waves.
    #[must_use]
    pub fn waves(&self) -> &SortedTable<WaveState> {
        &self.waves
    }

    /// Returns the service with `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name).map(|row| &row.spec)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.iter().map(|row| &row.spec)
    }

    /// Returns the active policy, the first by name.
    #[must_use]
    pub fn policy(&self) -> Option<&PolicySpec> {
        self.policies.first().map(|row| &row.spec)
    }

    /// Returns the active weights.
    #[must_use]
    pub fn weights(&self) -> Weights {
        self.policy()
            .map_or(DEFAULT_WEIGHTS, |policy| policy.weights)
    }

    /// Returns the entry of an idempotency key.
    #[must_use]
    pub fn key(&self, key: RequestKey) -> Option<&KeyEntry> {
        self.keys.get(key)
    }

    /// Iterates over the idempotency keys.
    pub fn keys(&self) -> impl Iterator<Item = &KeyEntry> {
        self.keys.iter()
    }

    /// Returns the number of idempotency keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the retention of idempotency keys, in milliseconds.
    #[must_use]
    pub fn key_retention_ms(&self) -> u64 {
        self.policy()
            .map_or(DEFAULT_KEY_RETENTION_MS, |policy| policy.key_keep_ms)
    }

    fn apply_record(&mut self, offset: u64, record: &Record) -> Verdict {
        if let RecordBody::Join { node, fold_version } = &record.body {
            let verdict = self.writers.join(Writer {
                incarnation: record.id.incarnation,
                node: node.clone(),
                fold_version: *fold_version,
                sequence: record.id.sequence,
                time_ms: record.time_ms,
            });
            self.record_time(record);
            return verdict;
        }
        if let Some(verdict) = self.writers.record_sequence(record.id, record.time_ms) {
            return verdict;
        }
        self.record_time(record);
        self.apply_body(offset, record)
    }

    fn apply_body(&mut self, offset: u64, record: &Record) -> Verdict {
        match &record.body {
            RecordBody::Join { .. } => Verdict::Duplicate,
            RecordBody::RaiseVersion { fold_version } => self.raise_version(*fold_version),
            RecordBody::Put {
                resource,
                if_revision,
            } => self.put(offset, resource, *if_revision),
            RecordBody::Delete {
                reference,
                if_revision,
            } => self.delete(offset, reference, *if_revision),
            RecordBody::Report { reports } => self.apply_reports(reports),
            RecordBody::Claim {
                vm,
                purpose,
                holder,
            } => self.claim(offset, vm, purpose, holder),
            RecordBody::Begin {
                vm,
                fence,
                not_after_ms,
            } => self.begin(vm, *fence, *not_after_ms),
            RecordBody::TakeOver { vm, fence, holder } => {
                self.take_over(offset, vm, *fence, holder)
            }
            RecordBody::Release { vm, fence } => self.release(vm, *fence),
            RecordBody::Done {
                vm,
                fence,
                succeeded,
            } => self.done(vm, *fence, *succeeded),
            RecordBody::HandOver { vm, fence } => self.hand_over(vm, *fence),
            RecordBody::Start {
                job,
                attempt,
                vm,
                reserved,
                holder,
            } => self.start(offset, job, *attempt, vm, reserved, holder),
            RecordBody::Stop { job, attempt } => self.stop(job, *attempt),
            RecordBody::End {
                job,
                attempt,
                outcome,
            } => self.end(job, *attempt, *outcome),
            RecordBody::Usage { job, attempt, used } => self.usage(job, *attempt, used),
            RecordBody::GiveUp { job, reason } => self.give_up(job, reason),
            RecordBody::Quarantine { vm, until_ms } => self.quarantine(vm, *until_ms),
            RecordBody::Intent {
                key,
                request_digest,
                holder,
            } => {
                let entry = KeyEntry {
                    key: *key,
                    request_digest: *request_digest,
                    holder: holder.clone(),
                    incarnation: record.id.incarnation,
                    state: crate::keys::KeyState::Pending,
                    since_ms: self.time_ms,
                    offset,
                };
                self.add_intent(entry)
            }
            RecordBody::Outcome { key, outcome } => {
                self.keys
                    .record_outcome(*key, *outcome, record.id.incarnation)
            }
            RecordBody::Snapshot { id } => self.record_snapshot(*id),
            RecordBody::Tick => Verdict::Accepted,
        }
    }

    /// Returns the last snapshot that is complete in the snapshot stream.
    #[must_use]
    pub fn snapshot(&self) -> Option<SnapshotId> {
        self.snapshot
    }

    /// Returns the time at which the last snapshot was recorded, in milliseconds since the epoch, or
    /// 0 if there is none.
    #[must_use]
    pub fn snapshot_ms(&self) -> u64 {
        self.snapshot_ms
    }

    fn record_snapshot(&mut self, id: SnapshotId) -> Verdict {
        if self.snapshot.is_some_and(|known| id.offset <= known.offset) {
            return Verdict::Rejected(Rejection::OldSnapshot);
        }
        self.snapshot = Some(id);
        self.snapshot_ms = self.time_ms;
        Verdict::Accepted
    }

    fn record_time(&mut self, record: &Record) {
        if let Some(writer) = self.writers.get(record.id.incarnation) {
            self.fold_time.record(&writer.node, record.time_ms);
            self.time_ms = self.fold_time.now_ms();
            // One below the bound of evidence, so that later evidence is accepted even if only one
            // node writes and the time does not advance.
            let latest_ms = self.time_ms + MAX_CLOCK_SKEW_MS - 1;
            self.transition_ms = record.time_ms.clamp(self.time_ms, latest_ms);
        }
    }

    fn add_intent(&mut self, entry: KeyEntry) -> Verdict {
        let retention_ms = self.key_retention_ms();
        let limit = self
            .policy()
            .map_or(DEFAULT_KEY_LIMIT, |policy| policy.key_limit as usize);
        self.keys.expire(self.time_ms.saturating_sub(retention_ms));
        self.keys.add_intent(entry, limit)
    }

    /// Raises the fold version if the latest incarnation of every known node supports the next one.
    ///
    /// During an upgrade, a build that does not support a version would diverge on its records.
    fn raise_version(&mut self, fold_version: u32) -> Verdict {
        let is_next = fold_version == self.fold_version + 1;
        let is_supported = self.writers.iter().all(|writer| {
            let is_latest = self
                .writers
                .latest(writer.node.as_str())
                .is_some_and(|latest| latest.incarnation == writer.incarnation);
            !is_latest || writer.fold_version >= fold_version
        });
        if !is_next || !is_supported {
            return Verdict::Rejected(Rejection::VersionNotKnown { fold_version });
        }
        self.fold_version = fold_version;
        Verdict::Accepted
    }

    /// Changes a VM and updates the counts of its pool.
    pub(crate) fn change_vm(&mut self, name: &str, change: impl FnOnce(&mut VmState)) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(vm.pool.as_str()) {
            pool.remove_vm(vm);
        }
        change(vm);
        if let Some(pool) = self.pools.get_mut(vm.pool.as_str()) {
            pool.add_vm(vm);
        }
    }

    fn apply_reports(&mut self, reports: &[VmReport]) -> Verdict {
        let mut has_change = false;
        for report in reports {
            has_change |= self.apply_report(report);
        }
        match reports.first() {
            Some(first) if !has_change => Verdict::Rejected(Rejection::OldEvidence {
                vm: first.vm.clone(),
            }),
            _ => Verdict::Accepted,
        }
    }

    /// Limits the time of evidence to the tolerated clock skew.
    ///
    /// Otherwise a report of a node whose clock runs far ahead would cause all later reports of the
    /// VM to be ignored.
    pub(crate) fn clamp_evidence_ms(&self, evidence_ms: u64) -> u64 {
        evidence_ms.min(self.time_ms + MAX_CLOCK_SKEW_MS)
    }

    /// Applies a report if its evidence is not older than the VM's last transition.
    ///
    /// The platform's VM list lags and reports race, so a VM that reboots would otherwise be
    /// reported as live.
    fn apply_report(&mut self, report: &VmReport) -> bool {
        let Some(vm) = self.vms.get(report.vm.as_str()) else {
            return false;
        };
        let evidence_ms = self.clamp_evidence_ms(report.evidence_ms);
        let is_same_incarnation = report.incarnation == vm.incarnation;
        let is_current = report.incarnation > vm.incarnation || is_same_incarnation;
        if !is_current || evidence_ms < vm.evidence_ms {
            return false;
        }
        // A node that lags behind the log reports known incarnations as new and thus unknown.
        // Applying such reports would make all endpoints unavailable.
        let is_same_address = is_same_incarnation && report.address == vm.address;
        if is_same_address && report.phase == VmPhase::Unknown {
            return false;
        }
        self.change_vm(report.vm.as_str(), |vm| {
            if !is_same_incarnation {
                vm.failures = 0;
                vm.quarantined_until_ms = 0;
            }
            vm.incarnation = report.incarnation;
            vm.zone = report.zone.clone();
            vm.rack = report.rack.clone();
            vm.address.clone_from(&report.address);
            vm.capacity = report.capacity;
            vm.phase = report.phase;
            vm.evidence_ms = evidence_ms;
        });
        true
    }
}

fn next_digest(chain: u64, offset: u64, record: &Record, verdict: &Verdict) -> u64 {
    let outcome = match verdict {
        Verdict::Accepted => 1_u64,
        Verdict::Duplicate => 2,
        Verdict::Rejected(_) => 3,
    };
    let mut bytes = [0_u8; 32];
    bytes[..8].copy_from_slice(&offset.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.id.incarnation.to_le_bytes());
    bytes[16..24].copy_from_slice(&record.id.sequence.to_le_bytes());
    bytes[24..].copy_from_slice(&outcome.to_le_bytes());
    xxh3_64_with_seed(&bytes, chain)
}
